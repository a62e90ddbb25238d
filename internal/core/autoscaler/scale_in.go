package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

// idleBootDivisor sets how long a machine has to be empty before it is released:
// 1/idleBootDivisor of its boot time.
const idleBootDivisor = 2

// idleHold returns how long placeholders alone keep a machine. The more expensive it is
// per core than the cheapest, the shorter that is.
func (p *Provisioner) idleHold(in *Input, machineType *model.MachineType, spot bool) model.Micros {
	lowest := math.Inf(1)
	for _, other := range in.MachineTypes {
		if other.Cores > 0 {
			lowest = min(lowest, other.Price/other.Cores)
		}
	}
	own := machineType.HourlyPrice(spot) / max(machineType.Cores, 1)
	return model.Micros(float64(p.Params.IdleHold) * min(1, lowest/own))
}

// scaleIn chooses empty machines that are not needed: no waiting task was assigned to
// them, their placeholders fit elsewhere, and keeping them for future work would by now
// have cost more than renting again. It leaves the candidates sorted by price, the most
// expensive first.
func (p *Provisioner) scaleIn(in *Input, candidates []*candidateMachine) (released []*model.Machine) {
	price := func(candidate *candidateMachine) float64 {
		return in.MachineTypes[candidate.offer.MachineType].HourlyPrice(candidate.offer.Spot)
	}
	slices.SortStableFunc(candidates, func(a, b *candidateMachine) int { return cmp.Compare(price(b), price(a)) })
	for i, candidate := range candidates {
		if !p.isIdle(in, candidate) {
			continue
		}
		others := slices.Concat(candidates[:i:i], candidates[i+1:])
		others = slices.DeleteFunc(others, func(other *candidateMachine) bool { return slices.Contains(released, other.machine) })
		if p.tryVacate(in, candidate, others) {
			released = append(released, candidate.machine)
		}
	}
	return released
}

// isIdle reports whether a machine is empty and has been rented and empty for long enough
// to be released.
func (p *Provisioner) isIdle(in *Input, candidate *candidateMachine) bool {
	machine := candidate.machine
	if !machine.Up || len(machine.Bindings) > 0 || candidate.assigned {
		return false
	}
	minEmpty := model.Seconds(in.MachineTypes[candidate.offer.MachineType].BootS / idleBootDivisor)
	return in.Now-machine.RentedAt >= p.Params.MinBilled && in.Now-machine.EmptySince >= minEmpty
}

// tryVacate moves a machine's placeholders to other machines and reports whether the
// machine can be released. If placeholders that fit nowhere else keep it, all of them stay
// where they are.
func (p *Provisioner) tryVacate(in *Input, candidate *candidateMachine, others []*candidateMachine) bool {
	spare := saveSpare(others)
	machineIDs := make([]string, len(candidate.placeholders))
	for i, placeholder := range candidate.placeholders {
		machineIDs[i] = placeholder.machine
	}
	unplaced := p.placePlaceholders(candidate.placeholders, others)
	if len(unplaced) == 0 || !p.isKeptByPlaceholders(in, candidate) {
		return true
	}
	restoreSpare(others, spare)
	for i, placeholder := range candidate.placeholders {
		placeholder.machine = machineIDs[i]
	}
	return false
}

// isKeptByPlaceholders reports whether placeholders that fit nowhere else keep an empty
// machine. If some work needs on-demand machines, they keep a machine that would be rented
// for them again immediately; other machines are kept for a while.
func (p *Provisioner) isKeptByPlaceholders(in *Input, candidate *candidateMachine) bool {
	hold := p.idleHold(in, in.MachineTypes[candidate.offer.MachineType], candidate.offer.Spot)
	if len(in.OnDemandSizes) > 0 && hold >= p.Params.IdleHold/minHoldDivisor {
		return true
	}
	return in.Now-candidate.machine.EmptySince < hold
}
