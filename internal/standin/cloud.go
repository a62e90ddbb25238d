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
	MachineTypes []model.MachineType
	Capacity     map[string]int                // machines that may be rented at once, by type/zone/spot
	Down         bool                          // every call fails
	Quick        float64                       // the chance that a machine is up within two seconds
	Lag          model.Micros                  // about how old the listed machines are
	Run          func(*model.Job) model.Micros // how long a task runs
	Times        Times                         // the settings of new workers
	Cell         string                        // the cell that rents here, "": there is one

	// Calls are the rentals and deletions that were carried out.
	Calls []CloudCall

	sim      *Sim
	net      Net
	rules    *Rules
	gangs    map[gangKey]map[*Task]bool
	machines []*machine
	rentals  map[string][]string // the machines of each request
	next     int
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
	w        *Worker
	rented   model.Micros
	up       model.Micros // when it is up, or neverUp
	goneAt   model.Micros
	gone     bool
	upWorker bool
}

// NewCloud returns a cloud without machines and without capacity.
func NewCloud(sim *Sim, net Net, rules *Rules, machineTypes []model.MachineType, t Times) *Cloud {
	return &Cloud{MachineTypes: machineTypes, Capacity: map[string]int{}, Lag: 3 * model.Second, Times: t, sim: sim, net: net, rules: rules,
		gangs: map[gangKey]map[*Task]bool{}, rentals: map[string][]string{}, Run: func(j *model.Job) model.Micros { return j.EstimatedRun }}
}

func offer(machineType, zone string, spot bool) string {
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
	granted := min(r.Count, c.free(r))
	if granted <= 0 {
		return nil, cloud.ErrNoCapacity
	}
	machineType := c.machineType(r.MachineType)
	var refs []string
	for range granted {
		m := c.addMachine(r, machineType)
		refs = append(refs, m.w.ID)
		c.boot(m, machineType)
	}
	c.rentals[r.RequestID] = refs
	c.Calls = append(c.Calls, CloudCall{c.sim.Now, r.RequestID, refs})
	return refs, nil
}

// free is how many machines of the wanted kind the cloud still has.
func (c *Cloud) free(r *cloud.Rental) int {
	used := 0
	for _, m := range c.machines {
		if !m.gone && m.w.MachineType == r.MachineType && m.w.Zone == r.Zone && m.w.Spot == r.Spot {
			used++
		}
	}
	return c.Capacity[offer(r.MachineType, r.Zone, r.Spot)] - used
}

func (c *Cloud) machineType(name string) *model.MachineType {
	i := slices.IndexFunc(c.MachineTypes, func(t model.MachineType) bool { return t.Name == name })
	return &c.MachineTypes[i]
}

func (c *Cloud) addMachine(r *cloud.Rental, machineType *model.MachineType) *machine {
	worker := &Worker{ID: fmt.Sprintf("host-%06d", c.next), Cell: c.Cell, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Size: machineType.Size(),
		sim: c.sim, net: c.net, rules: c.rules, gangs: c.gangs, run: c.Run, times: c.Times}
	c.next++
	m := &machine{rented: c.sim.Now, w: worker}
	c.machines = append(c.machines, m)
	return m
}

// bootFailure is the chance that a rented machine never comes up.
const bootFailure = 0.03

// boot has a machine come up after a while, unless it is one of those that never do.
func (c *Cloud) boot(m *machine, machineType *model.MachineType) {
	if c.sim.Chance(bootFailure) {
		m.up = neverUp
		return
	}
	m.up = c.sim.Now + c.sim.Between(model.Seconds(machineType.BootS*0.6), model.Seconds(machineType.BootS*1.5))
	if c.Quick > 0 && c.sim.Chance(c.Quick) {
		m.up = c.sim.Now + c.sim.Between(200*model.Millisecond, 2*model.Second)
	}
	c.sim.At(m.up, func() {
		if !m.gone {
			m.upWorker = true
			m.w.begin()
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
		if named[m.w.ID] && !m.gone {
			m.w.Die()
			m.gone, m.goneAt = true, c.sim.Now
			gone = append(gone, m.w.ID)
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
	at := c.sim.Now - c.sim.Between(c.Lag/2, 2*c.Lag)
	var out []cloud.Machine
	for _, m := range c.machines {
		if m.rented > at || m.gone && m.goneAt <= at {
			continue
		}
		status := "starting"
		if m.up != neverUp && m.up <= at {
			status = "running"
		}
		out = append(out, cloud.Machine{ID: m.w.ID, MachineType: m.w.MachineType, Zone: m.w.Zone, Spot: m.w.Spot, Status: status,
			HeldS: (at - m.rented).Seconds()})
	}
	return out, nil
}

// Workers are the workers of the machines that are up.
func (c *Cloud) Workers() (ws []*Worker) {
	for _, m := range c.machines {
		if m.upWorker && !m.gone && !m.w.dead {
			ws = append(ws, m.w)
		}
	}
	return ws
}

// Rented is the number of machines that are paid for.
func (c *Cloud) Rented() (n int) {
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
