package standin

import (
	"fmt"
	"strings"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
)

// Cloud is a stand-in for the cloud, with the machines and their workers.
type Cloud struct {
	MachineTypes []model.MachineType
	Capacity     map[string]int // build/yard/spot -> machines at once
	Down         bool
	Quick        float64 // the chance that a machine is up within two seconds
	Lag          model.Micros
	Run          func(*model.Job) model.Micros
	Times        Times
	Cell         string // the cell that rents here, "": there is one

	// Calls are the rentals and deletions that were carried out.
	Calls []CloudCall

	sim      *Sim
	net      Net
	rules    *Rules
	gangs    map[gangKey]map[*Task]bool
	machines []*machine
	hires    map[string][]string
	next     int
}

// CloudCall is a rental or a deletion that changed something.
type CloudCall struct {
	At       model.Micros
	Request  string // of a rental, "": a deletion
	Machines []string
}

type machine struct {
	w        *Worker
	rented   model.Micros
	up       model.Micros // -1: never
	goneAt   model.Micros
	gone     bool
	upWorker bool
}

// NewCloud makes a cloud without machines.
func NewCloud(sim *Sim, net Net, rules *Rules, machineTypes []model.MachineType, t Times) *Cloud {
	return &Cloud{MachineTypes: machineTypes, Capacity: map[string]int{}, Lag: 3 * model.Second, Times: t, sim: sim, net: net, rules: rules,
		gangs: map[gangKey]map[*Task]bool{}, hires: map[string][]string{}, Run: func(j *model.Job) model.Micros { return j.EstimatedRun }}
}

func offer(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// Rent is POST /rentals.
func (c *Cloud) Rent(r *cloud.Rental) ([]string, error) {
	if c.Down {
		return nil, cloud.ErrTrouble
	}
	if old, ok := c.hires[r.RequestID]; ok {
		return old, nil
	}
	if r.Count < 1 || r.Count > 50 {
		panic("rental of a bad count")
	}
	used := 0
	for _, m := range c.machines {
		if !m.gone && m.w.MachineType == r.MachineType && m.w.Zone == r.Zone && m.w.Spot == r.Spot {
			used++
		}
	}
	n := min(r.Count, c.Capacity[offer(r.MachineType, r.Zone, r.Spot)]-used)
	if n <= 0 {
		return nil, cloud.ErrNoCapacity
	}
	var f *model.MachineType
	for i := range c.MachineTypes {
		if c.MachineTypes[i].Name == r.MachineType {
			f = &c.MachineTypes[i]
		}
	}
	var refs []string
	for range n {
		ref := fmt.Sprintf("host-%06d", c.next)
		c.next++
		m := &machine{rented: c.sim.Now, w: &Worker{ID: ref, Cell: c.Cell, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Size: f.Size(),
			sim: c.sim, net: c.net, rules: c.rules, gangs: c.gangs, run: c.Run, t: c.Times}}
		c.machines = append(c.machines, m)
		refs = append(refs, ref)
		if c.sim.Chance(0.03) {
			m.up = -1
			continue
		}
		m.up = c.sim.Now + c.sim.Between(model.Seconds(f.BootS*0.6), model.Seconds(f.BootS*1.5))
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
	c.hires[r.RequestID] = refs
	c.Calls = append(c.Calls, CloudCall{c.sim.Now, r.RequestID, refs})
	return refs, nil
}

// Delete is POST /rentals/delete.
func (c *Cloud) Delete(refs []string) error {
	if c.Down {
		return cloud.ErrTrouble
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

// List is GET /rentals, late by the lag.
func (c *Cloud) List() ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrTrouble
	}
	at := c.sim.Now - c.sim.Between(c.Lag/2, 2*c.Lag)
	var out []cloud.Machine
	for _, m := range c.machines {
		if m.rented > at || m.gone && m.goneAt <= at {
			continue
		}
		st := "starting"
		if m.up >= 0 && m.up <= at {
			st = "running"
		}
		out = append(out, cloud.Machine{ID: m.w.ID, MachineType: m.w.MachineType, Zone: m.w.Zone, Spot: m.w.Spot, Status: st,
			HeldS: (at - m.rented).Seconds()})
	}
	return out, nil
}

// Workers are the machines that are up.
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

// Describe is for failure messages.
func (c *Cloud) Describe() string {
	var b strings.Builder
	for _, w := range c.Workers() {
		b.WriteString(w.Describe() + "\n")
	}
	return b.String()
}
