package autoscaler

import (
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// minHoldDivisor is the least part of the cheapest machine's IdleHold for which a machine
// has to be kept to be worth renting for placeholders: one that is more expensive would
// soon be released unused.
const minHoldDivisor = 3

// workClass tells which work a placeholder holds room for.
type workClass uint8

const (
	anyWork          workClass = iota // no work needs ordinary machines: all is alike
	onDemandWork                      // work that needs ordinary machines
	spotTolerantWork                  // work that may use spot machines
)

// placeholder is a virtual task.
type placeholder struct {
	size    model.Resources
	machine string // its machine's ID, "": unplaced
	gpu     bool   // true: GPU group
	largest bool   // the group's largest
	work    workClass
	zone    string // the only zone, "": any
}

// isAllowedOn tells whether a placeholder may hold room on a machine: on a spot machine that
// is none for work which needs ordinary ones, and on an ordinary one it would cost
// several times as much as work that may use spot machines has to pay.
func (p *placeholder) isAllowedOn(candidate *candidateMachine) bool {
	return (candidate.size.GPUs > 0) == p.gpu && p.allows(candidate.offer.Zone, candidate.offer.Spot)
}

// allows reports whether a placeholder's work and zone permit such a machine.
func (p *placeholder) allows(zone string, spot bool) bool {
	switch {
	case p.work == onDemandWork && spot, p.work == spotTolerantWork && !spot:
		return false
	}
	return p.zone == "" || p.zone == zone
}

// hasSameConstraints tells that two placeholders may use the same machines.
func (p *placeholder) hasSameConstraints(other *placeholder) bool {
	return p.gpu == other.gpu && p.work == other.work && p.zone == other.zone
}

// placePlaceholders puts each placeholder on the fullest machine that has room for it,
// and returns those that found none.
func (p *Provisioner) placePlaceholders(placeholders []*placeholder, candidates []*candidateMachine) (unplaced []*placeholder) {
	var failed *placeholder // the last that found none: its like need not look
	for _, placeholder := range placeholders {
		if failed != nil && failed.hasSameConstraints(placeholder) && failed.size.Fits(placeholder.size) {
			unplaced = append(unplaced, placeholder)
			continue
		}
		best := placeholder.fullestMachine(candidates)
		if best == nil {
			failed = placeholder
			unplaced = append(unplaced, placeholder)
			continue
		}
		best.spare = best.spare.Minus(placeholder.size)
		best.placeholders = append(best.placeholders, placeholder)
		if best.machine != nil {
			placeholder.machine = best.machine.ID
		}
	}
	return unplaced
}

// fullestMachine is the machine with the fewest spare cores that has room for a placeholder.
func (p *placeholder) fullestMachine(candidates []*candidateMachine) *candidateMachine {
	var best *candidateMachine
	for _, candidate := range candidates {
		if !p.isAllowedOn(candidate) || !p.size.Fits(candidate.spare) {
			continue
		}
		if best == nil || candidate.spare.Cores < best.spare.Cores {
			best = candidate
		}
	}
	return best
}

// keepPlaceholders leaves the placeholders on their machines as far as they fit there,
// and returns the others. Those for flexible work come after that work has been placed.
func (p *Provisioner) keepPlaceholders(candidates []*candidateMachine, spotTolerant bool) (unplaced []*placeholder) {
	byID := make(map[string]*candidateMachine, len(candidates))
	for _, candidate := range candidates {
		if !spotTolerant || candidate.offer.Spot {
			candidate.resetSpare(spotTolerant)
		}
		byID[candidate.machine.ID] = candidate
	}
	for _, placeholder := range p.placeholders {
		if (placeholder.work == spotTolerantWork) != spotTolerant {
			continue
		}
		candidate := byID[placeholder.machine]
		if candidate != nil && placeholder.isAllowedOn(candidate) && placeholder.size.Fits(candidate.spare) {
			candidate.spare = candidate.spare.Minus(placeholder.size)
			candidate.placeholders = append(candidate.placeholders, placeholder)
			continue
		}
		placeholder.machine = ""
		unplaced = append(unplaced, placeholder)
	}
	return unplaced
}

// resetSpare has placeholders find all that tasks leave of a machine. Once flexible work
// is placed, that is on spot machines what this work leaves, too.
func (m *candidateMachine) resetSpare(spotTolerantPlaced bool) {
	m.spare = m.freeForOnDemand
	if spotTolerantPlaced && m.offer.Spot {
		m.spare = m.free
	}
}

// assignZones spreads the placeholders evenly over the zones where jobs have to be spread.
func (p *Provisioner) assignZones() {
	zones := slices.Sorted(maps.Keys(p.onDemandByZone))
	next := 0
	for _, placeholder := range p.placeholders {
		placeholder.zone = ""
		if len(zones) > 1 && placeholder.work == onDemandWork {
			placeholder.zone = zones[next%len(zones)]
			next++
		}
	}
}

// detachFromUnlisted has the placeholders of machines that are to be rented, which have no
// ID yet, be placed again in the next round.
func (p *Provisioner) detachFromUnlisted(candidates []*candidateMachine) {
	known := make(map[string]bool, len(candidates))
	for _, candidate := range candidates {
		known[candidate.machine.ID] = true
	}
	for _, placeholder := range p.placeholders {
		if !known[placeholder.machine] {
			placeholder.machine = ""
		}
	}
}

// rentForPlaceholders adds the machines that unplaced placeholders need to those to be
// rented.
func (p *Provisioner) rentForPlaceholders(in *Input, candidates, toRent []*candidateMachine, unplaced []*placeholder) []*candidateMachine {
	for _, candidate := range toRent {
		candidate.resetSpare(true)
	}
	unplaced = p.placePlaceholders(unplaced, toRent)
	unplaced = p.moveToOtherZones(in, candidates, unplaced)
	var failed *placeholder // none can be rented for it, nor for its like
	for _, pending := range unplaced {
		if failed != nil && failed.hasSameConstraints(pending) && failed.size.Fits(pending.size) {
			continue
		}
		if len(p.placePlaceholders([]*placeholder{pending}, toRent)) == 0 {
			continue
		}
		candidate := p.cheapestForPlaceholder(in, toRent, pending)
		if candidate == nil {
			failed = pending
			continue
		}
		candidate.resetSpare(true)
		toRent = append(toRent, candidate)
		p.placePlaceholders([]*placeholder{pending}, toRent)
	}
	return toRent
}

// moveToOtherZones places placeholders elsewhere if no machine can be had in their zone at
// present: room in another zone is better than none. It returns those without a place.
func (p *Provisioner) moveToOtherZones(in *Input, candidates []*candidateMachine, unplaced []*placeholder) []*placeholder {
	var moved []*placeholder
	for _, placeholder := range unplaced {
		if placeholder.zone != "" && !p.onDemandAvailable(in, placeholder.zone) {
			placeholder.zone = ""
			moved = append(moved, placeholder)
		}
	}
	if len(moved) == 0 {
		return unplaced
	}
	p.placePlaceholders(moved, candidates)
	return slices.DeleteFunc(unplaced, func(placeholder *placeholder) bool { return placeholder.machine != "" })
}

// cheapestForPlaceholder chooses the machine to be rented for a placeholder, nil if there
// is none. Placeholders for any task to come need an ordinary machine.
func (p *Provisioner) cheapestForPlaceholder(in *Input, toRent []*candidateMachine, placeholder *placeholder) *candidateMachine {
	allows := func(machineType, zone string, spot bool) bool {
		return placeholder.allows(zone, spot) && (placeholder.work == spotTolerantWork || !spot) &&
			p.idleHold(in, in.MachineTypes[machineType], spot) >= p.Params.IdleHold/minHoldDivisor
	}
	return p.cheapest(in, toRent, rentalNeed{request: placeholder.size, count: 1, allows: allows})
}
