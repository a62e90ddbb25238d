package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

// idleBootDivisor is the part of its boot time that a machine has to be empty before it is
// released: one in so many.
const idleBootDivisor = 2

// idleHold is how long placeholders alone keep a machine: the more expensive it is per
// core than the cheapest, the shorter.
func (l *Provisioner) idleHold(in *Input, machineType *model.MachineType, spot bool) model.Micros {
	lowest := math.Inf(1)
	for _, other := range in.MachineTypes {
		if other.Cores > 0 {
			lowest = min(lowest, other.Price/other.Cores)
		}
	}
	own := machineType.HourlyPrice(spot) / max(machineType.Cores, 1)
	return model.Micros(float64(l.Params.IdleHold) * min(1, lowest/own))
}

// scaleIn chooses empty machines that are not needed: no waiting task was put
// there, its placeholders find room elsewhere, and keeping it for the next work
// would by now have cost more than renting anew. It leaves the candidates sorted by
// price, the most expensive first.
func (l *Provisioner) scaleIn(in *Input, candidates []*candidateMachine) (released []*model.Machine) {
	price := func(candidate *candidateMachine) float64 {
		return in.MachineTypes[candidate.offer.MachineType].HourlyPrice(candidate.offer.Spot)
	}
	slices.SortStableFunc(candidates, func(a, b *candidateMachine) int { return cmp.Compare(price(b), price(a)) })
	for i, candidate := range candidates {
		if !l.isIdle(in, candidate) {
			continue
		}
		others := slices.Concat(candidates[:i:i], candidates[i+1:])
		others = slices.DeleteFunc(others, func(other *candidateMachine) bool { return slices.Contains(released, other.machine) })
		if l.tryVacate(in, candidate, others) {
			released = append(released, candidate.machine)
		}
	}
	return released
}

// isIdle reports whether a machine is empty and has been held and empty for long enough.
func (l *Provisioner) isIdle(in *Input, candidate *candidateMachine) bool {
	machine := candidate.machine
	if !machine.Up || len(machine.Bindings) > 0 || candidate.assigned {
		return false
	}
	minEmpty := model.Seconds(in.MachineTypes[candidate.offer.MachineType].BootS / idleBootDivisor)
	return in.Now-machine.RentedAt >= l.Params.MinBilled && in.Now-machine.EmptySince >= minEmpty
}

// tryVacate moves a machine's placeholders to others and reports whether the machine can be
// released. If placeholders that find no other room keep it, all stay where they are.
func (l *Provisioner) tryVacate(in *Input, candidate *candidateMachine, others []*candidateMachine) bool {
	spare := saveSpare(others)
	machineIDs := make([]string, len(candidate.placeholders))
	for i, p := range candidate.placeholders {
		machineIDs[i] = p.machine
	}
	unplaced := l.placePlaceholders(candidate.placeholders, others)
	if len(unplaced) == 0 || !l.isKeptByPlaceholders(in, candidate) {
		return true
	}
	restoreSpare(others, spare)
	for i, p := range candidate.placeholders {
		p.machine = machineIDs[i]
	}
	return false
}

// isKeptByPlaceholders tells whether placeholders that find no other room keep an empty
// machine. Those that stand for work which needs ordinary machines keep what they would
// rent again at once; others keep it for a while.
func (l *Provisioner) isKeptByPlaceholders(in *Input, candidate *candidateMachine) bool {
	hold := l.idleHold(in, in.MachineTypes[candidate.offer.MachineType], candidate.offer.Spot)
	if len(in.OnDemandSizes) > 0 && hold >= l.Params.IdleHold/minHoldDivisor {
		return true
	}
	return in.Now-candidate.machine.EmptySince < hold
}
