package standin

import (
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
)

// Cloud is a test double for the cloud's API. It owns the simulated machines and their
// workers.
type Cloud struct {
	MachineTypes   []model.MachineType
	Capacity       map[string]int                // number of machines that may be rented at once, by type/zone/spot
	Down           bool                          // every call fails
	FastBootChance float64                       // probability that a machine is up within two seconds
	ListLag        model.Micros                  // approximate age of the machine list that List returns
	TaskDuration   func(*model.Job) model.Micros // run time of a task of the job
	Times          WorkerTimes                   // settings of new workers
	Cell           string                        // the cell that rents from this cloud, "" if there is only one cell

	// Calls are the rentals and deletions that were carried out, in order.
	Calls []CloudCall

	sim        *Sim
	net        Net
	invariants *InvariantChecker
	gangs      map[gangKey]map[*Task]bool
	machines   []*machine
	rentals    map[string][]string // machine IDs by request ID
	nextID     int
}

// CloudCall is a rental that got machines or a deletion that ended machines.
type CloudCall struct {
	At       model.Micros
	Request  string // the request ID of a rental, "" for a deletion
	Machines []string
}

// neverUp is the upAt of a machine that never comes up.
const neverUp = -1

type machine struct {
	worker        *Worker
	rentedAt      model.Micros
	upAt          model.Micros // when it comes up, or neverUp
	goneAt        model.Micros
	gone          bool
	workerStarted bool
}

// NewCloud returns a cloud without machines and without capacity.
func NewCloud(sim *Sim, net Net, invariants *InvariantChecker, machineTypes []model.MachineType, times WorkerTimes) *Cloud {
	return &Cloud{MachineTypes: machineTypes, Capacity: map[string]int{}, ListLag: 3 * model.Second, Times: times, sim: sim, net: net, invariants: invariants,
		gangs: map[gangKey]map[*Task]bool{}, rentals: map[string][]string{}, TaskDuration: func(j *model.Job) model.Micros { return j.EstimatedRun }}
}

// capacityKey returns the key of Cloud.Capacity for a kind of machine.
func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// Rent rents the requested machines, or as many of them as the capacity allows: POST
// /rentals. A repeated request gets the same machines again.
func (c *Cloud) Rent(rental *cloud.Rental) ([]string, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	if previous, ok := c.rentals[rental.RequestID]; ok {
		return previous, nil
	}
	if rental.Count < 1 || rental.Count > 50 {
		panic("rental count is not between 1 and 50")
	}
	granted := min(rental.Count, c.freeCapacity(rental))
	if granted <= 0 {
		return nil, cloud.ErrNoCapacity
	}
	machineType := c.machineType(rental.MachineType)
	var machineIDs []string
	for range granted {
		m := c.addMachine(rental, machineType)
		machineIDs = append(machineIDs, m.worker.ID)
		c.boot(m, machineType)
	}
	c.rentals[rental.RequestID] = machineIDs
	c.Calls = append(c.Calls, CloudCall{c.sim.Now, rental.RequestID, machineIDs})
	return machineIDs, nil
}

// freeCapacity returns how many more machines of the requested kind can be rented.
func (c *Cloud) freeCapacity(rental *cloud.Rental) int {
	used := 0
	for _, m := range c.machines {
		if !m.gone && m.worker.MachineType == rental.MachineType && m.worker.Zone == rental.Zone && m.worker.Spot == rental.Spot {
			used++
		}
	}
	return c.Capacity[capacityKey(rental.MachineType, rental.Zone, rental.Spot)] - used
}

func (c *Cloud) machineType(name string) *model.MachineType {
	i := slices.IndexFunc(c.MachineTypes, func(t model.MachineType) bool { return t.Name == name })
	return &c.MachineTypes[i]
}

func (c *Cloud) addMachine(rental *cloud.Rental, machineType *model.MachineType) *machine {
	worker := &Worker{ID: fmt.Sprintf("host-%06d", c.nextID), Cell: c.Cell, MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot, Size: machineType.Size(),
		sim: c.sim, net: c.net, invariants: c.invariants, gangs: c.gangs, taskDuration: c.TaskDuration, times: c.Times}
	c.nextID++
	m := &machine{rentedAt: c.sim.Now, worker: worker}
	c.machines = append(c.machines, m)
	return m
}

// bootFailureChance is the probability that a rented machine never comes up.
const bootFailureChance = 0.03

// boot draws when a machine comes up, if at all, and schedules the start of its worker.
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

// Delete ends the rental of machines: POST /rentals/delete. Machines that are already gone
// are ignored.
func (c *Cloud) Delete(machineIDs []string) error {
	if c.Down {
		return cloud.ErrUnavailable
	}
	requested := make(map[string]bool, len(machineIDs))
	for _, id := range machineIDs {
		requested[id] = true
	}
	var deleted []string
	for _, m := range c.machines {
		if requested[m.worker.ID] && !m.gone {
			m.worker.Terminate()
			m.gone, m.goneAt = true, c.sim.Now
			deleted = append(deleted, m.worker.ID)
		}
	}
	if len(deleted) > 0 {
		c.Calls = append(c.Calls, CloudCall{At: c.sim.Now, Machines: deleted})
	}
	return nil
}

// List returns the rented machines as they were between half of ListLag and twice ListLag
// ago: GET /rentals.
func (c *Cloud) List() ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	asOf := c.sim.Now - c.sim.Between(c.ListLag/2, 2*c.ListLag)
	var listed []cloud.Machine
	for _, m := range c.machines {
		if m.rentedAt > asOf || m.gone && m.goneAt <= asOf {
			continue
		}
		status := "starting"
		if m.upAt != neverUp && m.upAt <= asOf {
			status = "running"
		}
		listed = append(listed, cloud.Machine{ID: m.worker.ID, MachineType: m.worker.MachineType, Zone: m.worker.Zone, Spot: m.worker.Spot, Status: status,
			HeldS: (asOf - m.rentedAt).Seconds()})
	}
	return listed, nil
}

// Workers returns the workers of the machines that are up.
func (c *Cloud) Workers() (workers []*Worker) {
	for _, m := range c.machines {
		if m.workerStarted && !m.gone && !m.worker.dead {
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// RentedCount returns the number of machines that are being paid for.
func (c *Cloud) RentedCount() (n int) {
	for _, m := range c.machines {
		if !m.gone {
			n++
		}
	}
	return n
}

// Describe returns the machines with their tasks, for failure messages.
func (c *Cloud) Describe() string {
	var b strings.Builder
	for _, w := range c.Workers() {
		b.WriteString(w.Describe() + "\n")
	}
	return b.String()
}
