package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// candidateMachine is a machine of the round, existing or to be rented, with the room
// that is left beside the tasks and placeholders that the round has put there.
type candidateMachine struct {
	machine          *model.Machine // nil: to be rented
	offer            Offer
	size             model.Resources
	free             model.Resources // after real and waiting tasks
	freeForOnDemand  model.Resources // after those that need ordinary machines, on one of these
	spare            model.Resources // what placeholders leave of open
	assigned         bool            // a waiting task was put here
	runsOnDemandTask bool            // a task that needs an ordinary machine is here
	surplus          bool            // an ordinary machine that is to become empty
	placeholders     []*placeholder
}

func (m *candidateMachine) isOnDemand() bool { return !m.offer.Spot }

// isUsable reports whether a machine can be counted on for work.
func (p *Provisioner) isUsable(machine *model.Machine, machineType *model.MachineType, now model.Micros) bool {
	if machine.Lost || machine.Draining || machine.Deleting || machine.SpotNotice || machine.Quarantined || machine.Failed || machineType == nil {
		return false
	}
	return machine.Up || now-machine.RentedAt < model.Seconds(machineType.BootS*p.Params.LateAfterBoots)
}

// candidates lists the machines that can be counted on, by ID.
func (p *Provisioner) candidates(in *Input) []*candidateMachine {
	candidates := make([]*candidateMachine, 0, len(in.Machines))
	for _, machine := range in.Machines {
		if !p.isUsable(machine, in.MachineTypes[machine.MachineType], in.Now) {
			continue
		}
		candidate := &candidateMachine{machine: machine, offer: Offer{machine.MachineType, machine.Zone, machine.Spot}, size: machine.Size, free: machine.Free()}
		candidate.freeForOnDemand = candidate.free
		if !machine.Spot && len(in.OnDemandSizes) > 0 {
			candidate.addPreemptibleRoom(in)
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b *candidateMachine) int { return cmp.Compare(a.machine.ID, b.machine.ID) })
	return candidates
}

// addPreemptibleRoom counts the room of preemptible work on an ordinary machine as open to
// work that needs ordinary machines and to the placeholders that stand for it.
// Preemptible is work that may use spot machines, is of lower priority, and is stopped
// sooner than a machine could boot. Else each such task that is placed there while the
// room is idle would have one more ordinary machine rented, at several times the price of
// the spot machine that it could have had.
func (m *candidateMachine) addPreemptibleRoom(in *Input) {
	fasterThanBoot := in.OnDemandMaxWait < model.Seconds(in.MachineTypes[m.offer.MachineType].BootS)
	for _, binding := range m.machine.Bindings {
		job := binding.Job
		if fasterThanBoot && job.AllowsSpot && job.Kind != model.Gang && job.Priority < in.OnDemandPriority {
			m.freeForOnDemand = m.freeForOnDemand.Plus(job.Request)
		}
		m.runsOnDemandTask = m.runsOnDemandTask || !job.AllowsSpot
	}
}

// countOnDemandByZone counts the ordinary machines of each zone where jobs have to be spread over
// zones. Room in one zone alone is no use to such a job beyond its share there, so
// placeholders and rentals go to the zones by turns.
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

// saveSpare copies the spare room of machines, for restoreSpare.
func saveSpare(candidates []*candidateMachine) []model.Resources {
	saved := make([]model.Resources, len(candidates))
	for i, candidate := range candidates {
		saved[i] = candidate.spare
	}
	return saved
}

// restoreSpare undoes changes of spare room since saveSpare.
func restoreSpare(candidates []*candidateMachine, saved []model.Resources) {
	for i, candidate := range candidates {
		candidate.spare = saved[i]
	}
}
