package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// When services end, the remaining ones are scattered over many partly used machines, none
// of which becomes empty as long as a service lasts. A replica that moves to a machine
// which has its image is down for about one heartbeat interval. That is worth it if it
// empties a machine that is mostly unused, and if it does not happen more often than this.
const (
	drainInterval     = 5 * model.Second  // between the drains of two machines
	minRunBeforeMove  = 60 * model.Second // a replica that has run for less is not moved
	drainUsageDivisor = 2                 // at most 1/drainUsageDivisor of a drained machine is used
)

// drain chooses a machine that is mostly unused and whose replicas all fit on other
// machines that have their images, in addition to the placeholders there.
func (p *Provisioner) drain(in *Input, candidates []*candidateMachine) []*model.Machine {
	if in.Now-p.lastDrain < drainInterval {
		return nil
	}
	var drainable []*candidateMachine
	for _, candidate := range candidates {
		if p.isDrainable(in, candidate) {
			drainable = append(drainable, candidate)
		}
	}
	slices.SortFunc(drainable, func(a, b *candidateMachine) int {
		return cmp.Or(len(a.machine.Bindings)-len(b.machine.Bindings), cmp.Compare(a.machine.ID, b.machine.ID))
	})
	for _, candidate := range drainable {
		if p.fitsElsewhere(candidate, candidates) {
			p.lastDrain = in.Now
			return []*model.Machine{candidate.machine}
		}
	}
	return nil
}

// isDrainable reports whether a machine is mostly unused and has only movable replicas.
func (p *Provisioner) isDrainable(in *Input, candidate *candidateMachine) bool {
	machine := candidate.machine
	if !machine.Up || machine.Spot || candidate.assigned || len(machine.Bindings) == 0 || in.Now-machine.RentedAt < p.Params.MinBilled {
		return false
	}
	used := machine.Used.Times(drainUsageDivisor)
	if used.Cores > machine.Size.Cores || used.GPUs > machine.Size.GPUs || used.Mem > machine.Size.Mem {
		return false
	}
	for _, binding := range machine.Bindings {
		if !isMovable(binding, in.Now) {
			return false
		}
	}
	return true
}

// isMovable reports whether a binding is of a replica that has run long enough to be moved.
func isMovable(binding *model.Binding, now model.Micros) bool {
	return binding.Job.Kind == model.Service && !binding.Stopping && binding.RunningSince != 0 && now-binding.RunningSince >= minRunBeforeMove
}

// fitsElsewhere reports whether all replicas of a machine fit on other machines of its
// zone that have the images, and its placeholders on any machines. If so, it assigns
// them there.
func (p *Provisioner) fitsElsewhere(drained *candidateMachine, candidates []*candidateMachine) bool {
	others := slices.DeleteFunc(slices.Clone(candidates), func(other *candidateMachine) bool {
		return other == drained || other.surplus || other.offer.Spot || !other.machine.Up || len(other.machine.Bindings) <= len(drained.machine.Bindings)
	})
	spare := saveSpare(others)
	if !assignReplicas(drained, others) || len(p.placePlaceholders(drained.placeholders, others)) > 0 {
		restoreSpare(others, spare)
		return false
	}
	return true
}

// assignReplicas assigns each replica of a machine to another machine of its zone that has
// the replica's image. It stops and returns false at the first replica that fits nowhere.
func assignReplicas(drained *candidateMachine, others []*candidateMachine) bool {
	for _, binding := range drained.machine.Bindings {
		job := binding.Job
		i := slices.IndexFunc(others, func(other *candidateMachine) bool {
			return other.offer.Zone == drained.offer.Zone && job.Allows(other.offer.MachineType, other.offer.Zone, false) &&
				job.Request.Fits(other.spare) && job.Request.Fits(other.free) && other.machine.HasImage(job.Image)
		})
		if i < 0 {
			return false
		}
		others[i].spare = others[i].spare.Minus(job.Request)
	}
	return true
}
