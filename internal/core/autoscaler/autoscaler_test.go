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
	m := &model.Machine{ID: machineID, MachineType: machineType, Zone: "a", Size: machineTypes[machineType].Size(), Used: used, Up: true, Bindings: map[model.TaskID]*model.Binding{}}
	if !used.IsZero() {
		m.Bindings[model.TaskID{Job: "j-0"}] = &model.Binding{Job: &model.Job{}}
	}
	return m
}

func demand(n int, need model.Resources, spot bool) Demand {
	return Demand{Job: &model.JobState{Job: &model.Job{Tasks: n, Request: need, AllowsSpot: spot}}, Count: n}
}

func input(now model.Micros, machines ...*model.Machine) *Input {
	return &Input{Now: now, Machines: machines, MachineTypes: machineTypes, CloudOK: true}
}

// machinesOf returns the machines of the largest placeholders, or of the others.
func (p *Provisioner) machinesOf(largest bool) (machineIDs []string) {
	for _, placeholder := range p.placeholders {
		if placeholder.largest == largest {
			machineIDs = append(machineIDs, placeholder.machine)
		}
	}
	return machineIDs
}

// One placeholder has the size of the largest task, each resource taken separately, and
// the others split the rest of the extra capacity evenly.
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
			t.Errorf("the largest placeholder is %v, want the largest amount of each resource", placeholder.size)
		}
	}
	if n != 4*5 || sum.Cores != 4000 || sum.Mem != 16000 {
		t.Errorf("%d small placeholders, %v in total, want 20 and a tenth of the fleet", n, sum)
	}
	in.Sizes = []model.Resources{{Cores: 50_000, Mem: 500_000}}
	provisioner.Round(in)
	if len(provisioner.placeholders) != 1 || provisioner.placeholders[0].size != (model.Resources{Cores: 10_000, Mem: 40_000}) {
		t.Errorf("%d placeholders, first %v: want one, limited to the largest machine", len(provisioner.placeholders), provisioner.placeholders[0].size)
	}
}

// A placeholder is placed on the fullest machine, stays there while it fits, and moves only
// when real tasks displace it.
func TestPlaceholdersMoveOnlyWhenDisplaced(t *testing.T) {
	provisioner := New(Defaults())
	h1, h2 := machine("h1", "box", model.Resources{Cores: 6000}), machine("h2", "box", model.Resources{Cores: 1000})
	in := input(0, h1, h2)
	in.Sizes = []model.Resources{{Cores: 3000, Mem: 1000}}
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); len(got) != 1 || got[0] != "h1" {
		t.Fatalf("the largest placeholder is on %v, want h1, the fuller machine", got)
	}
	h2.Used = model.Resources{Cores: 6500} // now h2 would be the better fit
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); got[0] != "h1" {
		t.Fatalf("the largest placeholder moved to %v though it still fits on h1", got)
	}
	h1.Used, h2.Used = model.Resources{Cores: 9000}, model.Resources{Cores: 2000}
	provisioner.Round(in)
	if got := provisioner.machinesOf(true); got[0] != "h2" {
		t.Fatalf("the largest placeholder is on %v, want h2: real tasks displaced it from h1", got)
	}
}

// Machines are rented for unplaced tasks and placeholders: as few as possible at the lowest
// price, with one request per type and round. Machines that are booting are counted, but not
// those that are long overdue.
func TestRenting(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	in.Waiting = []Demand{demand(25, model.Resources{Cores: 1000, Mem: 1000}, true)}
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	out := provisioner.Round(in)
	if len(out.Rent) != 1 || out.Rent[0] != (Rental{"box", "a", true, 3}) {
		t.Fatalf("rents %+v, want three spot boxes in one request", out.Rent)
	}
	provisioner.OfferRefused(Offer{"box", "a", true}, 0)
	provisioner.OfferRefused(Offer{"box", "b", true}, 0)
	if out = provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].Spot || out.Rent[0].MachineType != "box" {
		t.Fatalf("rents %+v, want on-demand boxes after spot ones were refused", out.Rent)
	}
	for range 3 {
		in.Machines = append(in.Machines, &model.Machine{ID: "~" + string(rune('a'+len(in.Machines))), MachineType: "box", Zone: "a", Size: machineTypes["box"].Size()})
	}
	if out = provisioner.Round(in); len(out.Rent) != 0 {
		t.Fatalf("rents %+v though enough machines are booting", out.Rent)
	}
	in.Now = 10 * 10 * sec // ten boot times later the machines are still not up
	if out = provisioner.Round(in); len(out.Rent) != 1 {
		t.Fatal("rents nothing though the booting machines are long overdue")
	}
}

// An empty fleet has no extra capacity, but a machine is rented for the largest
// placeholder as soon as a task size is known.
func TestEmptyFleetRentsForTheLargest(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	if out := provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].Spot || out.Rent[0].Count != 1 {
		t.Fatalf("rents %+v, want one on-demand box", out.Rent)
	}
}

// An empty machine is released only after the minimum billed time, when it has been empty
// for a while, the cloud answers, and neither waiting tasks nor placeholders need it.
// Placeholders alone keep it for a limited time.
func TestScaleIn(t *testing.T) {
	provisioner := New(Defaults())
	h1, h2 := machine("h1", "box", model.Resources{Cores: 1000}), machine("h2", "box", model.Resources{})
	in := input(30*sec, h1, h2)
	in.Sizes = []model.Resources{{Cores: 1000, Mem: 1000}}
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("releases a machine before the minimum billed time is over")
	}
	in.Now = 70 * sec
	h2.EmptySince = 67 * sec
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("releases a machine that has just become empty")
	}
	h2.EmptySince = 30 * sec
	in.CloudOK = false
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("releases a machine while the cloud is down")
	}
	in.CloudOK = true
	in.Waiting = []Demand{demand(12, model.Resources{Cores: 1000, Mem: 1000}, false)}
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("releases a machine that waiting tasks need")
	}
	in.Waiting = nil
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 || out.ScaleIn[0] != h2 {
		t.Fatalf("releases %v, want h2", out.ScaleIn)
	}
	h1.Used = model.Resources{Cores: 10_000} // the placeholder fits nowhere else
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Fatal("releases the placeholder's machine")
	}
	in.Now += provisioner.Params.IdleHold
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 {
		t.Fatal("a placeholder keeps an empty machine after the idle hold time")
	}
}

// A machine that costs many times the lowest price is rented for urgent tasks only; others
// wait for a cheaper one.
func TestExpensiveMachines(t *testing.T) {
	provisioner := New(Defaults())
	in := input(0)
	d := demand(2, model.Resources{Cores: 1000, Mem: 1000}, false)
	in.Waiting = []Demand{d}
	provisioner.OfferRefused(Offer{"box", "a", false}, 0)
	provisioner.OfferRefused(Offer{"box", "b", false}, 0)
	if out := provisioner.Round(in); len(out.Rent) != 0 {
		t.Fatalf("rents %+v, want nothing: only machines that are too expensive are available", out.Rent)
	}
	d.Job.Priority = model.HighPriority
	if out := provisioner.Round(in); len(out.Rent) != 1 || out.Rent[0].MachineType != "gpu" {
		t.Fatalf("rents %+v for urgent work, want a gpu machine", out.Rent)
	}
}

// addSpotTolerant binds a task to a machine that may use spot machines and can be preempted
// for work that needs on-demand machines.
func addSpotTolerant(m *model.Machine, need model.Resources) *model.Machine {
	m.Used = m.Used.Plus(need)
	m.Bindings[model.TaskID{Job: "j-1", Index: len(m.Bindings)}] = &model.Binding{Job: &model.Job{AllowsSpot: true, Request: need}}
	return m
}

// mixedInput returns an input with both work that needs on-demand machines and
// spot-tolerant work.
func mixedInput(machines ...*model.Machine) *Input {
	in := input(0, machines...)
	in.OnDemandSizes = []model.Resources{{Cores: 5000}}
	in.SpotTolerantSizes = []model.Resources{{Cores: 5000}}
	in.OnDemandPriority, in.OnDemandMaxWait = model.HighPriority, 5*sec
	return in
}

// onDemandDemand returns a demand of production priority that needs on-demand machines.
func onDemandDemand(n int, need model.Resources) Demand {
	d := demand(n, need, false)
	d.Job.Priority = model.ProductionPriority
	return d
}

// Work that needs on-demand machines and spot-tolerant work get machines of their own kind,
// also in the same round. With one request for both kinds, all of it got on-demand
// machines, at four times the price.
func TestOnDemandAndSpotMachinesInOneRound(t *testing.T) {
	need := model.Resources{Cores: 5000}
	in := mixedInput()
	in.Waiting = []Demand{onDemandDemand(4, need), demand(6, need, true)}
	rents := map[bool]int{}
	for _, r := range New(Defaults()).Round(in).Rent {
		rents[r.Spot] += r.Count
	}
	// Each kind has one more machine for its largest placeholder.
	if rents[false] != 3 || rents[true] != 4 {
		t.Errorf("rents %d on-demand and %d spot boxes, want 2 and 3 for tasks and one each for placeholders", rents[false], rents[true])
	}
}

// Preemptible tasks do not displace the placeholders of work that needs on-demand machines,
// and no additional machines are rented for that work, but only if the tasks are preempted
// for it sooner than a machine boots.
func TestPreemptibleWork(t *testing.T) {
	need := model.Resources{Cores: 5000}
	rentedOnDemand := func(maxWait model.Micros) (n int) {
		in := mixedInput(addSpotTolerant(addSpotTolerant(machine("h1", "box", model.Resources{}), need), need))
		in.OnDemandMaxWait = maxWait
		in.Waiting = []Demand{onDemandDemand(1, need)}
		for _, r := range New(Defaults()).Round(in).Rent {
			if !r.Spot {
				n += r.Count
			}
		}
		return n
	}
	if n := rentedOnDemand(5 * sec); n != 0 {
		t.Errorf("rents %d on-demand boxes, want none: the tasks on h1 can be preempted for a task and a placeholder", n)
	}
	if n := rentedOnDemand(100 * sec); n != 1 {
		t.Errorf("rents %d on-demand boxes, want one: no task is preempted before a new box is up", n)
	}
}

// On-demand machines without work that needs one are surplus and are to become empty.
// Spot-tolerant work uses them only while it can't get spot machines.
func TestSurplusMachines(t *testing.T) {
	need := model.Resources{Cores: 5000}
	h1 := machine("h1", "box", model.Resources{Cores: 5000}) // has a task that needs on-demand, and gets the placeholder
	h2 := addSpotTolerant(machine("h2", "box", model.Resources{}), need)
	in := mixedInput(h1, h2)
	in.SpotTolerantSizes = nil // no placeholder for spot-tolerant work
	in.Waiting = []Demand{demand(1, need, true)}
	provisioner := New(Defaults())
	out := provisioner.Round(in)
	if len(out.Surplus) != 1 || out.Surplus[0] != h2 {
		t.Fatalf("surplus is %v, want h2", out.Surplus)
	}
	if len(out.Rent) != 0 {
		t.Errorf("rents %v though the task fits on h1", out.Rent)
	}
	in.Waiting = []Demand{demand(2, need, true)}
	if out = provisioner.Round(in); len(out.Rent) != 1 || !out.Rent[0].Spot {
		t.Errorf("rents %v, want a spot box though the task fits on h2: that is surplus", out.Rent)
	}
	for _, machineType := range []string{"box", "gpu"} {
		for _, zone := range []string{"a", "b"} {
			provisioner.OfferRefused(Offer{machineType, zone, true}, 0)
		}
	}
	if out = provisioner.Round(in); len(out.Surplus) != 0 || out.Unplaced != 0 {
		t.Errorf("surplus %v, %d unplaced tasks, want none: no spot machine is available, so h2 is used", out.Surplus, out.Unplaced)
	}
	// The same holds while nothing waits, so that the next task can be placed immediately.
	in.SpotTolerantSizes, in.Waiting = []model.Resources{need}, nil
	if out = provisioner.Round(in); len(out.Surplus) != 0 {
		t.Errorf("surplus %v while spot machines are scarce, want none", out.Surplus)
	}
}

// If jobs have to be spread over zones, placeholders are spread as well: with capacity
// reserved in one zone only, half of the new replicas would fit nowhere.
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
		t.Errorf("placeholders by zone: %v, want numbers that differ by at most one", zones)
	}
	rented := 0
	for _, r := range out.Rent {
		if !r.Spot && r.Zone == "b" {
			rented += r.Count
		}
	}
	if rented == 0 {
		t.Errorf("rents %v, want a box in zone b, which has no machine", out.Rent)
	}
}

// A placeholder for work that needs on-demand machines keeps its machine, because the same
// machine would be rented for it again immediately.
func TestOnDemandPlaceholdersKeepTheirMachine(t *testing.T) {
	h1 := machine("h1", "box", model.Resources{})
	in := mixedInput(h1)
	in.SpotTolerantSizes = nil
	in.Now = 1000 * sec
	provisioner := New(Defaults())
	if out := provisioner.Round(in); len(out.ScaleIn) != 0 {
		t.Errorf("releases %v, which has the only placeholder", out.ScaleIn)
	}
	in.Machines = append(in.Machines, machine("h2", "box", model.Resources{}))
	if out := provisioner.Round(in); len(out.ScaleIn) != 1 {
		t.Errorf("releases %v, want one of two", out.ScaleIn)
	}
}

// A machine that is mostly unused is drained if its replicas fit on fuller machines of its
// zone that have their images, in addition to the placeholders there.
func TestDrain(t *testing.T) {
	need := model.Resources{Cores: 2000}
	replicas := func(machineID string, n int) *model.Machine {
		m := machine(machineID, "box", model.Resources{})
		m.Cache = []string{"i"}
		for i := range n {
			m.Used = m.Used.Plus(need)
			m.Bindings[model.TaskID{Job: "j-" + machineID, Index: i}] = &model.Binding{RunningSince: sec,
				Job: &model.Job{Kind: model.Service, Priority: model.ProductionPriority, Request: need, Image: "i"}}
		}
		return m
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
		"the image is missing":       func(_ *Input, _, fuller *model.Machine) { fuller.Cache = nil },
		"the other machine is full":  func(_ *Input, _, fuller *model.Machine) { fuller.Used = fuller.Size },
		"the other is in zone b":     func(_ *Input, _, fuller *model.Machine) { fuller.Zone = "b" },
		"its replica is too young":   func(in *Input, _, _ *model.Machine) { in.Now = 61*sec - 1 },
		"an array task runs on it":   func(_ *Input, little, _ *model.Machine) { addSpotTolerant(little, need) },
		"placeholders need the rest": func(in *Input, _, _ *model.Machine) { in.OnDemandSizes = []model.Resources{{Cores: 4000}} },
		"the cloud is down":          func(in *Input, _, _ *model.Machine) { in.CloudOK = false },
		"tasks wait for a machine":   func(in *Input, _, _ *model.Machine) { in.Waiting = []Demand{onDemandDemand(9, need)} },
	} {
		if got := round(change); len(got) != 0 {
			t.Errorf("drains %v though %s", got[0].ID, why)
		}
	}
}

// Capacity in a zone that a job's zone rules exclude does not count for its tasks:
// machines are rented in zones that they may use. Otherwise the second replica of a
// service that has to be spread over zones waits indefinitely while there is capacity in
// the first one's zone.
func TestCapacityInExcludedZoneDoesNotCount(t *testing.T) {
	need := model.Resources{Cores: 4000}
	rent := func(provisioner *Provisioner, d Demand) []Rental {
		in := input(0, machine("h1", "box", model.Resources{}), machine("h2", "box", model.Resources{}))
		in.Waiting = []Demand{d}
		return provisioner.Round(in).Rent
	}
	spread := demand(2, need, false)
	spread.Job.Spread = true
	if rs := rent(New(Defaults()), spread); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 1 {
		t.Errorf("rented %v, want one in zone b: only one of two tasks may be in zone a, where there is capacity", rs)
	}
	spread.Job.Bindings = map[int][]*model.Binding{0: {{Machine: &model.Machine{Zone: "a"}}}}
	spread.Count = 1
	if rs := rent(New(Defaults()), spread); len(rs) != 1 || rs[0].Zone != "b" {
		t.Errorf("rented %v, want zone b: the first of two tasks is in zone a", rs)
	}
	together := demand(5, need, false)
	together.Job.SameZone = true
	if rs := rent(New(Defaults()), together); len(rs) != 1 || rs[0].Zone != "a" || rs[0].Count != 1 {
		t.Errorf("rented %v, want one in zone a: four of five tasks that have to be in the same zone fit there", rs)
	}
	provisioner := New(Defaults())
	for _, machineType := range []string{"box", "gpu"} {
		provisioner.OfferRefused(Offer{machineType, "a", false}, 0)
	}
	if rs := rent(provisioner, together); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 3 {
		t.Errorf("rented %v, want three in zone b: nothing can be rented in zone a", rs)
	}
	together.Job.Bindings = map[int][]*model.Binding{0: {{Machine: &model.Machine{Zone: "b"}}}}
	together.Count = 4
	if rs := rent(New(Defaults()), together); len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 2 {
		t.Errorf("rented %v, want two in zone b: the first of five tasks is there", rs)
	}
}
