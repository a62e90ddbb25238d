package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// candidateMachine is a machine that the round plans with, existing or to be rented, and
// the resources that the tasks and placeholders assigned to it leave.
type candidateMachine struct {
	machine          *model.Machine // nil: to be rented
	offer            Offer
	size             model.Resources
	free             model.Resources // not used by bound tasks and assigned waiting tasks
	freeForOnDemand  model.Resources // free plus what preemptible and newly assigned spot-tolerant tasks use
	spare            model.Resources // what placeholders leave of freeForOnDemand, or of free
	assigned         bool            // the round assigned a waiting task to it
	runsOnDemandTask bool            // has a task that needs an on-demand machine
	surplus          bool            // an on-demand machine that is to become empty
	placeholders     []*placeholder
}

func (c *candidateMachine) isOnDemand() bool { return !c.offer.Spot }

// isUsable reports whether tasks can be planned on a machine.
func (p *Provisioner) isUsable(machine *model.Machine, machineType *model.MachineType, now model.Micros) bool {
	if machine.Lost || machine.Draining || machine.Deleting || machine.SpotNotice || machine.Quarantined || machine.Failed || machineType == nil {
		return false
	}
	return machine.Up || now-machine.RentedAt < model.Seconds(machineType.BootS*p.Params.LateAfterBoots)
}

// candidates returns the usable machines, sorted by ID.
func (p *Provisioner) candidates(in *Input) []*candidateMachine {
	candidates := make([]*candidateMachine, 0, len(in.Machines))
	for _, machine := range in.Machines {
		if !p.isUsable(machine, in.MachineTypes[machine.MachineType], in.Now) {
			continue
		}
		candidate := &candidateMachine{machine: machine, offer: Offer{machine.MachineType, machine.Zone, machine.Spot}, size: machine.Size, free: machine.Free()}
		candidate.freeForOnDemand = candidate.free
		if !machine.Spot && len(in.OnDemandSizes) > 0 {
			candidate.addPreemptible(in)
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b *candidateMachine) int { return cmp.Compare(a.machine.ID, b.machine.ID) })
	return candidates
}

// addPreemptible adds the resources of preemptible tasks on an on-demand machine to those
// that tasks which need on-demand machines, and their placeholders, may use. A task is
// preemptible if it may use spot machines, has a lower priority, and would be preempted
// sooner than a new machine could boot. Otherwise each such task that is placed there
// while these resources are idle would cause another on-demand machine to be rented, at
// several times the price of the spot machine that it could have used.
func (c *candidateMachine) addPreemptible(in *Input) {
	fasterThanBoot := in.OnDemandMaxWait < model.Seconds(in.MachineTypes[c.offer.MachineType].BootS)
	for _, binding := range c.machine.Bindings {
		job := binding.Job
		if fasterThanBoot && job.AllowsSpot && job.Kind != model.Gang && job.Priority < in.OnDemandPriority {
			c.freeForOnDemand = c.freeForOnDemand.Plus(job.Request)
		}
		c.runsOnDemandTask = c.runsOnDemandTask || !job.AllowsSpot
	}
}

// countOnDemandByZone counts the on-demand machines of each zone if jobs have to be spread
// over zones. Such a job can't use capacity in one zone beyond its share there, so
// placeholders and rentals are distributed evenly over the zones.
func (p *Provisioner) countOnDemandByZone(in *Input, candidates []*candidateMachine) {
	p.onDemandByZone = nil
	if !in.Spread {
		return
	}
	p.onDemandByZone = map[string]int{}
	for _, machineType := range in.MachineTypes {
		for _, zone := range machineType.Zones {
			p.onDemandByZone[zone] += 0
		}
	}
	for _, candidate := range candidates {
		if candidate.isOnDemand() {
			p.onDemandByZone[candidate.offer.Zone]++
		}
	}
}

// saveSpare returns a copy of the spare resources of machines, for restoreSpare.
func saveSpare(candidates []*candidateMachine) []model.Resources {
	saved := make([]model.Resources, len(candidates))
	for i, candidate := range candidates {
		saved[i] = candidate.spare
	}
	return saved
}

// restoreSpare undoes changes to spare resources since saveSpare.
func restoreSpare(candidates []*candidateMachine, saved []model.Resources) {
	for i, candidate := range candidates {
		candidate.spare = saved[i]
	}
}
