package standin

import (
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
)

// Cloud is a stand-in for the cloud's API, and has the machines with their workers.
type Cloud struct {
	MachineTypes   []model.MachineType
	Capacity       map[string]int                // machines that may be rented at once, by type/zone/spot
	Down           bool                          // every call fails
	FastBootChance float64                       // the chance that a machine is up within two seconds
	ListLag        model.Micros                  // about how old the listed machines are
	TaskDuration   func(*model.Job) model.Micros // how long a task runs
	Times          WorkerTimes                   // the settings of new workers
	Cell           string                        // the cell that rents here, "": there is one

	// Calls are the rentals and deletions that were carried out.
	Calls []CloudCall

	sim      *Sim
	net      Net
	rules    *InvariantChecker
	gangs    map[gangKey]map[*Task]bool
	machines []*machine
	rentals  map[string][]string // the machines of each request
	nextID   int
}

// CloudCall is a rental or a deletion that changed something.
type CloudCall struct {
	At       model.Micros
	Request  string // the request ID of a rental, "" for a deletion
	Machines []string
}

// neverUp stands in the place of the time when a machine is up.
const neverUp = -1

type machine struct {
	worker        *Worker
	rentedAt      model.Micros
	upAt          model.Micros // when it is up, or neverUp
	goneAt        model.Micros
	gone          bool
	workerStarted bool
}

// NewCloud returns a cloud without machines and without capacity.
func NewCloud(sim *Sim, net Net, rules *InvariantChecker, machineTypes []model.MachineType, t WorkerTimes) *Cloud {
	return &Cloud{MachineTypes: machineTypes, Capacity: map[string]int{}, ListLag: 3 * model.Second, Times: t, sim: sim, net: net, rules: rules,
		gangs: map[gangKey]map[*Task]bool{}, rentals: map[string][]string{}, TaskDuration: func(j *model.Job) model.Micros { return j.EstimatedRun }}
}

func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// Rent rents machines, as many of the wanted ones as there are: POST /rentals. A request
// that is repeated gets the machines that it got before.
func (c *Cloud) Rent(r *cloud.Rental) ([]string, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	if old, ok := c.rentals[r.RequestID]; ok {
		return old, nil
	}
	if r.Count < 1 || r.Count > 50 {
		panic("rental of a bad count")
	}
	granted := min(r.Count, c.freeCapacity(r))
	if granted <= 0 {
		return nil, cloud.ErrNoCapacity
	}
	machineType := c.machineType(r.MachineType)
	var refs []string
	for range granted {
		m := c.addMachine(r, machineType)
		refs = append(refs, m.worker.ID)
		c.boot(m, machineType)
	}
	c.rentals[r.RequestID] = refs
	c.Calls = append(c.Calls, CloudCall{c.sim.Now, r.RequestID, refs})
	return refs, nil
}

// free is how many machines of the wanted kind the cloud still has.
func (c *Cloud) freeCapacity(r *cloud.Rental) int {
	used := 0
	for _, m := range c.machines {
		if !m.gone && m.worker.MachineType == r.MachineType && m.worker.Zone == r.Zone && m.worker.Spot == r.Spot {
			used++
		}
	}
	return c.Capacity[capacityKey(r.MachineType, r.Zone, r.Spot)] - used
}

func (c *Cloud) machineType(name string) *model.MachineType {
	i := slices.IndexFunc(c.MachineTypes, func(t model.MachineType) bool { return t.Name == name })
	return &c.MachineTypes[i]
}

func (c *Cloud) addMachine(r *cloud.Rental, machineType *model.MachineType) *machine {
	worker := &Worker{ID: fmt.Sprintf("host-%06d", c.nextID), Cell: c.Cell, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Size: machineType.Size(),
		sim: c.sim, net: c.net, rules: c.rules, gangs: c.gangs, taskDuration: c.TaskDuration, times: c.Times}
	c.nextID++
	m := &machine{rentedAt: c.sim.Now, worker: worker}
	c.machines = append(c.machines, m)
	return m
}

// bootFailure is the chance that a rented machine never comes up.
const bootFailureChance = 0.03

// boot has a machine come up after a while, unless it is one of those that never do.
func (c *Cloud) boot(m *machine, machineType *model.MachineType) {
	if c.sim.Chance(bootFailureChance) {
		m.upAt = neverUp
		return
	}
	m.upAt = c.sim.Now + c.sim.Between(model.Seconds(machineType.BootS*0.6), model.Seconds(machineType.BootS*1.5))
	if c.FastBootChance > 0 && c.sim.Chance(c.FastBootChance) {
		m.upAt = c.sim.Now + c.sim.Between(200*model.Millisecond, 2*model.Second)
	}
	c.sim.At(m.upAt, func() {
		if !m.gone {
			m.workerStarted = true
			m.worker.start()
		}
	})
}

// Delete gives machines back: POST /rentals/delete. Those that are gone are passed over.
func (c *Cloud) Delete(refs []string) error {
	if c.Down {
		return cloud.ErrUnavailable
	}
	named := make(map[string]bool, len(refs))
	for _, ref := range refs {
		named[ref] = true
	}
	var gone []string
	for _, m := range c.machines {
		if named[m.worker.ID] && !m.gone {
			m.worker.Terminate()
			m.gone, m.goneAt = true, c.sim.Now
			gone = append(gone, m.worker.ID)
		}
	}
	if len(gone) > 0 {
		c.Calls = append(c.Calls, CloudCall{At: c.sim.Now, Machines: gone})
	}
	return nil
}

// List returns the rented machines as they were some time ago: GET /rentals.
func (c *Cloud) List() ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	at := c.sim.Now - c.sim.Between(c.ListLag/2, 2*c.ListLag)
	var out []cloud.Machine
	for _, m := range c.machines {
		if m.rentedAt > at || m.gone && m.goneAt <= at {
			continue
		}
		status := "starting"
		if m.upAt != neverUp && m.upAt <= at {
			status = "running"
		}
		out = append(out, cloud.Machine{ID: m.worker.ID, MachineType: m.worker.MachineType, Zone: m.worker.Zone, Spot: m.worker.Spot, Status: status,
			HeldS: (at - m.rentedAt).Seconds()})
	}
	return out, nil
}

// Workers are the workers of the machines that are up.
func (c *Cloud) Workers() (ws []*Worker) {
	for _, m := range c.machines {
		if m.workerStarted && !m.gone && !m.worker.dead {
			ws = append(ws, m.worker)
		}
	}
	return ws
}

// Rented is the number of machines that are paid for.
func (c *Cloud) RentedCount() (n int) {
	for _, m := range c.machines {
		if !m.gone {
			n++
		}
	}
	return n
}

// Describe lists the machines with their tasks, for failure messages.
func (c *Cloud) Describe() string {
	var b strings.Builder
	for _, w := range c.Workers() {
		b.WriteString(w.Describe() + "\n")
	}
	return b.String()
}
