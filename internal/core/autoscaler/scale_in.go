package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

// idleBootShare is the part of its boot time that a machine has to be empty before it is
// released: one in so many.
const idleBootShare = 2

// idleHold is how long placeholders alone keep a machine: the more expensive it is per
// core than the cheapest, the shorter.
func (l *Provisioner) idleHold(in *Input, machineType *model.MachineType, spot bool) model.Micros {
	lowest := math.Inf(1)
	for _, other := range in.MachineTypes {
		if other.Cores > 0 {
			lowest = min(lowest, other.Price/other.Cores)
		}
	}
	own := machineType.PriceOf(spot) / max(machineType.Cores, 1)
	return model.Micros(float64(l.Params.IdleHold) * min(1, lowest/own))
}

// scaleIn chooses empty machines that are not needed: no waiting task was put
// there, its placeholders find room elsewhere, and keeping it for the next work
// would by now have cost more than renting anew. It leaves the candidates sorted by
// price, the most expensive first.
func (l *Provisioner) scaleIn(in *Input, candidates []*candidateMachine) (released []*model.Machine) {
	price := func(candidate *candidateMachine) float64 {
		return in.MachineTypes[candidate.offer.MachineType].PriceOf(candidate.offer.Spot)
	}
	slices.SortStableFunc(candidates, func(a, b *candidateMachine) int { return cmp.Compare(price(b), price(a)) })
	for i, candidate := range candidates {
		if !l.idle(in, candidate) {
			continue
		}
		others := slices.Concat(candidates[:i:i], candidates[i+1:])
		others = slices.DeleteFunc(others, func(other *candidateMachine) bool { return slices.Contains(released, other.machine) })
		if l.yields(in, candidate, others) {
			released = append(released, candidate.machine)
		}
	}
	return released
}

// idle reports whether a machine is empty and has been held and empty for long enough.
func (l *Provisioner) idle(in *Input, candidate *candidateMachine) bool {
	machine := candidate.machine
	if !machine.Up || len(machine.Bindings) > 0 || candidate.used {
		return false
	}
	minEmpty := model.Seconds(in.MachineTypes[candidate.offer.MachineType].BootS / idleBootShare)
	return in.Now-machine.RentedAt >= l.Params.MinHeld && in.Now-machine.EmptySince >= minEmpty
}

// yields moves a machine's placeholders to others and reports whether the machine can be
// released. If placeholders that find no other room keep it, all stay where they are.
func (l *Provisioner) yields(in *Input, candidate *candidateMachine, others []*candidateMachine) bool {
	spare := saveSpare(others)
	machineIDs := make([]string, len(candidate.placeholders))
	for i, p := range candidate.placeholders {
		machineIDs[i] = p.machine
	}
	unplaced := l.placePlaceholders(candidate.placeholders, others)
	if len(unplaced) == 0 || !l.keptByPlaceholders(in, candidate) {
		return true
	}
	restoreSpare(others, spare)
	for i, p := range candidate.placeholders {
		p.machine = machineIDs[i]
	}
	return false
}

// keptByPlaceholders tells whether placeholders that find no other room keep an empty
// machine. Those that stand for work which needs ordinary machines keep what they would
// rent again at once; others keep it for a while.
func (l *Provisioner) keptByPlaceholders(in *Input, candidate *candidateMachine) bool {
	hold := l.idleHold(in, in.MachineTypes[candidate.offer.MachineType], candidate.offer.Spot)
	if len(in.OrdinarySizes) > 0 && hold >= l.Params.IdleHold/minHoldShare {
		return true
	}
	return in.Now-candidate.machine.EmptySince < hold
}
