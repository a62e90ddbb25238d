package autoscaler

import (
	"testing"

	"woadweir/internal/core/model"
)

const sec = model.Second

var machineTypes = map[string]*model.MachineType{
	"box": {Name: "box", Cores: 10, MemoryGB: 40, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"a", "b"}},
	"gpu": {Name: "gpu", Cores: 20, GPUs: 4, MemoryGB: 80, Price: 12, SpotPrice: 3, BootS: 20, Zones: []string{"a", "b"}},
}

func machine(machineID, machineType string, used model.Resources) *model.Machine {
	h := &model.Machine{ID: machineID, MachineType: machineType, Zone: "a", Size: machineTypes[machineType].Size(), Used: used, Up: true, Bindings: map[model.TaskID]*model.Binding{}}
	if !used.IsZero() {
		h.Bindings[model.TaskID{Job: "j-0"}] = &model.Binding{Job: &model.Job{}}
	}
	return h
}

func demand(n int, need model.Resources, spot bool) Demand {
	return Demand{Job: &model.JobState{Job: &model.Job{Tasks: n, Request: need, AllowsSpot: spot}}, Count: n}
}

func input(now model.Micros, machines ...*model.Machine) *Input {
	return &Input{Now: now, Machines: machines, MachineTypes: machineTypes, CloudOK: true}
}

func (p *Provisioner) machinesOf(big bool) (machineIDs []string) {
	for _, placeholder := range p.placeholders {
		if placeholder.largest == big {
			machineIDs = append(machineIDs, placeholder.machine)
		}
	}
	return machineIDs
}

// Version 2 of the proposal, more complete idea: the largest task, each amount
// taken alone, and the rest of the extra split evenly.
func TestPlaceholderSizes(t *testing.T) {
	provisioner := New(Defaults())
	var machines []*model.Machine
	for _, machineID := range []string{"h1", "h2", "h3", "h4"} {
		machines = append(machines, machine(machineID, "box", model.Resources{}))
	}
	in := input(0, machines...)
	in.Sizes = []model.Resources{{Cores: 2000, Mem: 1000}, {Cores: 1000, Mem: 3000}}
	provisioner.Round(in)
	var sum model.Resources
	n := 0
	for _, placeholder := range provisioner.placeholders {
		sum = sum.Plus(placeholder.size)
		if !placeholder.largest {
			n++
		} else if placeholder.size != (model.Resources{Cores: 2000, Mem: 3000}) {
			t.Errorf("the largest placeholder is %v", placeholder.size)
		}
	}
	if n != 4*5 || sum.Cores != 4000 || sum.Mem != 16000 {
		t.Errorf("%d small placeholders, %v in all, want 20 and a tenth of the fleet", n, sum)
	}
	in.Sizes = []model.Resources{{Cores: 50_000, Mem: 500_000}}
	provisioner.Round(in)
	if len(provisioner.placeholders) != 1 || provisioner.placeholders[0].size != (model.Resources{Cores: 10_000, Mem: 40_000}) {
		t.Errorf("%d placeholders, first %v: want one, cut to the biggest machine", len(provisioner.placeholders), provisioner.placeholders[0].size)
	}
}

func TestPlaceholdersStayAndArePushed(t *testing.T) {
	provisioner := New(Defaults())
	h1, h2 := machine("h1", "box", model.Resources{Cores: 6000}), machine("h2", "box", model.Resources{Cores: 1000})
	in := input(0, h1, h2)
	in.Sizes = []model.Resources{{Cores: 3000, Mem: 1000}}
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); len(got) != 1 || got[0] != "h1" {
		t.Fatalf("the largest is at %v, want the fuller machine", got)
	}
	h2.Used = model.Resources{Cores: 6500} // now h2 would be the better fit
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); got[0] != "h1" {
		t.Fatalf("the largest moved to %v without need", got)
	}
	h1.Used, h2.Used = model.Resources{Cores: 9000}, model.Resources{Cores: 2000}
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); got[0] != "h2" {
		t.Fatalf("the largest is at %v though real tasks pushed it out", got)
	}
}

// Unplaced placeholders and waiting tasks rent: the fewest machines of the
// lowest price, one call per type and round; what is on its way counts.
func TestRenting(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	in.Waiting = []Demand{demand(25, model.Resources{Cores: 1000, Mem: 1000}, true)}
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	out := provisioner.Round(in)
	if len(out.Rent) != 1 || out.Rent[0] != (Rental{"box", "a", true, 3}) {
		t.Fatalf("rents %+v, want three spot boxes in one call", out.Rent)
	}
	provisioner.OfferRefused(Offer{"box", "a", true}, 0)
	provisioner.OfferRefused(Offer{"box", "b", true}, 0)
	if out = provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].Spot || out.Rent[0].MachineType != "box" {
		t.Fatalf("rents %+v, want ordinary boxes after spot ones were refused", out.Rent)
	}
	for range 3 {
		in.Machines = append(in.Machines, &model.Machine{ID: "~" + string(rune('a'+len(in.Machines))), MachineType: "box", Zone: "a", Size: machineTypes["box"].Size()})
	}
	if out = provisioner.Round(in); len(out.Rent) != 0 {
		t.Fatalf("rents %+v though enough is on its way", out.Rent)
	}
	in.Now = 10 * 10 * sec // it never came
	if out = provisioner.Round(in); len(out.Rent) != 1 {
		t.Fatal("counts on machines that are long overdue")
	}
}

// An empty fleet has no extra, but the largest placeholder stands as soon as a
// task has been seen.
func TestEmptyFleetRentsForTheLargest(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	if out := provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].Spot || out.Rent[0].Count != 1 {
		t.Fatalf("rents %+v, want one ordinary box", out.Rent)
	}
}

func TestGiveBack(t *testing.T) {
	provisioner := New(Defaults())
	h1, h2 := machine("h1", "box", model.Resources{Cores: 1000}), machine("h2", "box", model.Resources{})
	in := input(30*sec, h1, h2)
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("gives back before the time that is charged anyway")
	}
	in.Now = 70 * sec
	h2.EmptySince = 67 * sec
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("gives back what got empty just now")
	}
	h2.EmptySince = 30 * sec
	in.CloudOK = false
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("gives back while the cloud is down")
	}
	in.CloudOK = true
	in.Waiting = []Demand{demand(12, model.Resources{Cores: 1000, Mem: 1000}, false)}
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("gives back what waiting tasks need")
	}
	in.Waiting = nil
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 || out.ScaleIn[0] != h2 {
		t.Fatalf("gives back %v, want h2", out.ScaleIn)
	}
	h1.Used = model.Resources{Cores: 10_000} // the placeholder has nowhere else to go
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("gives back the placeholder's machine")
	}
	in.Now += provisioner.Params.IdleHold
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 {
		t.Fatal("a placeholder keeps an empty machine for ever")
	}
}

// A task that is not urgent does not pay many times the lowest price.
func TestDearMachines(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	d := demand(2, model.Resources{Cores: 1000, Mem: 1000}, false)
	in.Waiting = []Demand{d}
	provisioner.OfferRefused(Offer{"box", "a", false}, 0)
	provisioner.OfferRefused(Offer{"box", "b", false}, 0)
	if out := provisioner.Round(in); len(out.Rent) != 0 {
		t.Fatalf("rents %+v", out.Rent)
	}
	d.Job.Priority = model.HighPriority
	if out := provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].MachineType != "gpu" {
		t.Fatalf("rents %+v for urgent work", out.Rent)
	}
}

// addSpotTolerant puts a task on a machine that may use spot machines and yields to work that
// needs ordinary ones.
func addSpotTolerant(h *model.Machine, need model.Resources) *model.Machine {
	h.Used = h.Used.Plus(need)
	h.Bindings[model.TaskID{Job: "j-1", Index: len(h.Bindings)}] = &model.Binding{Job: &model.Job{AllowsSpot: true, Request: need}}
	return h
}

// mixedInput is an input with work that needs ordinary machines beside work that does not.
func mixedInput(machines ...*model.Machine) *Input {
	in := input(0, machines...)
	in.OnDemandSizes = []model.Resources{{Cores: 5000}}
	in.SpotTolerantSizes = []model.Resources{{Cores: 5000}}
	in.OnDemandPriority, in.OnDemandMaxWait = model.HighPriority, 5*sec
	return in
}

func onDemandDemand(n int, need model.Resources) Demand {
	d := demand(n, need, false)
	d.Job.Priority = model.ProductionPriority
	return d
}

// Work that needs ordinary machines and work that does not get each their own, also in
// the same round: once, all got ordinary ones, at four times the price.
func TestOrdinaryAndSpotMachinesInOneRound(t *testing.T) {
	need := model.Resources{Cores: 5000}
	in := mixedInput()
	in.Waiting = []Demand{onDemandDemand(4, need), demand(6, need, true)}
	rents := map[bool]int{}
	for _, r := range New(Defaults()).Round(in).Rent {
		rents[r.Spot] += r.Count
	}
	// Each kind has one machine more for its largest placeholder.
	if rents[false] != 3 || rents[true] != 4 {
		t.Errorf("rents %d ordinary and %d spot boxes, want 2 and 3 for tasks and one each for placeholders", rents[false], rents[true])
	}
}

// Tasks that yield do not push out the placeholders of work that needs ordinary machines,
// nor does that work have machines rented beside them; but only where they are stopped
// for it sooner than a machine boots.
func TestYieldingWork(t *testing.T) {
	need := model.Resources{Cores: 5000}
	ordinary := func(patience model.Micros) (n int) {
		in := mixedInput(addSpotTolerant(addSpotTolerant(machine("h1", "box", model.Resources{}), need), need))
		in.OnDemandMaxWait = patience
		in.Waiting = []Demand{onDemandDemand(1, need)}
		for _, r := range New(Defaults()).Round(in).Rent {
			if !r.Spot {
				n += r.Count
			}
		}
		return n
	}
	if n := ordinary(5 * sec); n != 0 {
		t.Errorf("rents %d ordinary boxes though the tasks on one yield to a task and a placeholder", n)
	}
	if n := ordinary(100 * sec); n != 1 {
		t.Errorf("rents %d ordinary boxes, want one: no task is stopped for such work before a box is up", n)
	}
}

// Ordinary machines that no work needs which has to be on one are to come empty; work
// that may use spot machines counts on them only where it can't have those.
func TestSurplusMachines(t *testing.T) {
	need := model.Resources{Cores: 5000}
	h1 := machine("h1", "box", model.Resources{Cores: 5000}) // has an ordinary task, and takes the placeholder
	h2 := addSpotTolerant(machine("h2", "box", model.Resources{}), need)
	in := mixedInput(h1, h2)
	in.SpotTolerantSizes = nil // no placeholder for such work
	in.Waiting = []Demand{demand(1, need, true)}
	provisioner := New(Defaults())
	out := provisioner.Round(in)
	if len(out.Surplus) != 1 || out.Surplus[0] != h2 {
		t.Fatalf("surplus is %v, want h2", out.Surplus)
	}
	if len(out.Rent) != 0 {
		t.Errorf("rents %v though there is room on h1", out.Rent)
	}
	in.Waiting = []Demand{demand(2, need, true)}
	if out = provisioner.Round(in); len(out.Rent) != 1 || !out.Rent[0].Spot {
		t.Errorf("rents %v, want a spot box beside the surplus one", out.Rent)
	}
	for _, machineType := range []string{"box", "gpu"} {
		for _, zone := range []string{"a", "b"} {
			provisioner.OfferRefused(Offer{machineType, zone, true}, 0)
		}
	}
	if out = provisioner.Round(in); len(out.Surplus) != 0 || out.Unplaced != 0 {
		t.Errorf("surplus %v, %d tasks without a place: no spot machine can be had, h2 is wanted", out.Surplus, out.Unplaced)
	}
	// Also while nothing waits: what comes next is to find it at once.
	in.SpotTolerantSizes, in.Waiting = []model.Resources{need}, nil
	if out = provisioner.Round(in); len(out.Surplus) != 0 {
		t.Errorf("surplus %v while spot machines are scarce", out.Surplus)
	}
}

// Where jobs have to be spread over zones, placeholders are too: room for a new replica in
// one zone alone leaves half of them without.
func TestPlaceholdersAreSpreadOverZones(t *testing.T) {
	in := mixedInput(machine("h1", "box", model.Resources{}), machine("h2", "box", model.Resources{}), machine("h3", "box", model.Resources{}))
	in.Spread = true
	provisioner := New(Defaults())
	out := provisioner.Round(in)
	zones := map[string]int{}
	for _, placeholder := range provisioner.placeholders {
		if placeholder.work == onDemandWork {
			zones[placeholder.zone]++
		}
	}
	if len(zones) != 2 || zones["a"]-zones["b"] > 1 || zones["b"]-zones["a"] > 1 {
		t.Errorf("placeholders by zone: %v, want as many in each", zones)
	}
	rented := 0
	for _, r := range out.Rent {
		if !r.Spot && r.Zone == "b" {
			rented += r.Count
		}
	}
	if rented == 0 {
		t.Errorf("rents %v, want a box in zone b, where there is none", out.Rent)
	}
}

// A placeholder of work that needs ordinary machines keeps the machine that it would have
// rented again at once.
func TestOrdinaryPlaceholdersKeepTheirMachine(t *testing.T) {
	h := machine("h1", "box", model.Resources{})
	in := mixedInput(h)
	in.SpotTolerantSizes = nil
	in.Now = 1000 * sec
	provisioner := New(Defaults())
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Errorf("gives back %v, which holds the only placeholder", out.ScaleIn)
	}
	in.Machines = append(in.Machines, machine("h2", "box", model.Resources{}))
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 {
		t.Errorf("gives back %v, want one of two", out.ScaleIn)
	}
}

// A machine that is mostly unused is drained if its replicas have room, with their images,
// on fuller ones of its zone beside the placeholders.
func TestDrain(t *testing.T) {
	need := model.Resources{Cores: 2000}
	replicas := func(machineID string, n int) *model.Machine {
		h := machine(machineID, "box", model.Resources{})
		h.Cache = []string{"i"}
		for i := range n {
			h.Used = h.Used.Plus(need)
			h.Bindings[model.TaskID{Job: "j-" + machineID, Index: i}] = &model.Binding{RunningSince: sec,
				Job: &model.Job{Kind: model.Service, Priority: model.ProductionPriority, Request: need, Image: "i"}}
		}
		return h
	}
	round := func(change func(in *Input, little, fuller *model.Machine)) []*model.Machine {
		little, fuller := replicas("h1", 1), replicas("h2", 3)
		in := mixedInput(little, fuller)
		in.OnDemandSizes = []model.Resources{{Cores: 1000}}
		in.Now = 100 * sec
		change(in, little, fuller)
		return New(Defaults()).Round(in).Drain
	}
	if got := round(func(*Input, *model.Machine, *model.Machine) {}); len(got) != 1 || got[0].ID != "h1" {
		t.Errorf("drains %v, want h1", got)
	}
	for why, change := range map[string]func(in *Input, little, fuller *model.Machine){
		"the image is not there":    func(_ *Input, _, fuller *model.Machine) { fuller.Cache = nil },
		"no room":                   func(_ *Input, _, fuller *model.Machine) { fuller.Used = fuller.Size },
		"another zone":              func(_ *Input, _, fuller *model.Machine) { fuller.Zone = "b" },
		"it began just now":         func(in *Input, _, _ *model.Machine) { in.Now = 61*sec - 1 },
		"an array runs there":       func(_ *Input, little, _ *model.Machine) { addSpotTolerant(little, need) },
		"the room is placeholders'": func(in *Input, _, _ *model.Machine) { in.OnDemandSizes = []model.Resources{{Cores: 4000}} },
		"the cloud is down":         func(in *Input, _, _ *model.Machine) { in.CloudOK = false },
		"tasks wait for a machine":  func(in *Input, _, _ *model.Machine) { in.Waiting = []Demand{onDemandDemand(9, need)} },
	} {
		if got := round(change); len(got) != 0 {
			t.Errorf("drains %v though %s", got[0].ID, why)
		}
	}
}

// Room in a zone that the rules on zones close to a job's tasks is none for them:
// machines are rented where they may go. Once, the second replica of a service that has
// to be apart waited beside such room for ever.
func TestRoomInTheWrongZoneIsNone(t *testing.T) {
	need := model.Resources{Cores: 4000}
	rent := func(provisioner *Provisioner, d Demand) []Rental {
		in := input(0, machine("h1", "box", model.Resources{}), machine("h2", "box", model.Resources{}))
		in.Waiting = []Demand{d}
		return provisioner.Round(in).Rent
	}
	apart := demand(2, need, false)
	apart.Job.Spread = true
	if rs := rent(New(Defaults()), apart); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 1 {
		t.Errorf("one of two may be in zone a, where there is room; rented %v", rs)
	}
	apart.Job.Bindings = map[int][]*model.Binding{0: {{Machine: &model.Machine{Zone: "a"}}}}
	apart.Count = 1
	if rs := rent(New(Defaults()), apart); len(rs) != 1 || rs[0].Zone != "b" {
		t.Errorf("the second of two, the first is in zone a; rented %v", rs)
	}
	together := demand(5, need, false)
	together.Job.SameZone = true
	if rs := rent(New(Defaults()), together); len(rs) != 1 || rs[0].Zone != "a" || rs[0].Count != 1 {
		t.Errorf("four of five that have to be together fit into zone a; rented %v", rs)
	}
	provisioner := New(Defaults())
	for _, machineType := range []string{"box", "gpu"} {
		provisioner.OfferRefused(Offer{machineType, "a", false}, 0)
	}
	if rs := rent(provisioner, together); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 3 {
		t.Errorf("nothing can be rented in zone a; rented %v", rs)
	}
	together.Job.Bindings = map[int][]*model.Binding{0: {{Machine: &model.Machine{Zone: "b"}}}}
	together.Count = 4
	if rs := rent(New(Defaults()), together); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 2 {
		t.Errorf("the first of five that have to be together is in zone b; rented %v", rs)
	}
}
