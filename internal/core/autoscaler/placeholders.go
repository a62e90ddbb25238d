package autoscaler

import (
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// minHoldDivisor limits which machines are rented for placeholders: only those that
// placeholders keep for at least IdleHold/minHoldDivisor. A more expensive one would soon
// be released unused.
const minHoldDivisor = 3

// workClass is the class of work that a placeholder reserves capacity for.
type workClass uint8

const (
	anyWork          workClass = iota // no work needs on-demand machines: classes are not distinguished
	onDemandWork                      // work that needs on-demand machines
	spotTolerantWork                  // work that may use spot machines
)

// placeholder is a virtual task that reserves capacity for future tasks.
type placeholder struct {
	size    model.Resources
	machine string // its machine's ID, "": unplaced
	gpu     bool   // reserves capacity on machines with GPUs, else on those without
	largest bool   // the largest placeholder of its group
	work    workClass
	zone    string // the only zone that it may be placed in, "": any
}

// isAllowedOn reports whether a placeholder may reserve capacity on a machine. Capacity on a
// spot machine is of no use to work that needs on-demand machines, and on an on-demand
// machine it costs several times as much as spot-tolerant work has to pay.
func (p *placeholder) isAllowedOn(candidate *candidateMachine) bool {
	return (candidate.size.GPUs > 0) == p.gpu && p.allows(candidate.offer.Zone, candidate.offer.Spot)
}

// allows reports whether a placeholder's class of work and zone permit such a machine.
func (p *placeholder) allows(zone string, spot bool) bool {
	switch {
	case p.work == onDemandWork && spot, p.work == spotTolerantWork && !spot:
		return false
	}
	return p.zone == "" || p.zone == zone
}

// hasSameConstraints reports whether two placeholders may use the same machines.
func (p *placeholder) hasSameConstraints(other *placeholder) bool {
	return p.gpu == other.gpu && p.work == other.work && p.zone == other.zone
}

// placePlaceholders assigns each placeholder to the fullest machine that has room for it,
// and returns those that fit nowhere.
func (p *Provisioner) placePlaceholders(placeholders []*placeholder, candidates []*candidateMachine) (unplaced []*placeholder) {
	// failed is the last one that fit nowhere: no larger one with the same constraints is tried.
	var failed *placeholder
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

// fullestMachine returns the machine with the fewest spare cores that has room for a
// placeholder, nil if there is none.
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

// keepPlaceholders leaves placeholders on their machines if they still fit there, and
// returns the others. It handles those for spot-tolerant work, after that work has been
// placed, or all others.
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

// resetSpare makes all that tasks leave of a machine available to placeholders. Once
// spot-tolerant work is placed, a spot machine's spare resources exclude what it uses.
func (c *candidateMachine) resetSpare(spotTolerantPlaced bool) {
	c.spare = c.freeForOnDemand
	if spotTolerantPlaced && c.offer.Spot {
		c.spare = c.free
	}
}

// assignZones spreads the placeholders for work that needs on-demand machines evenly over
// the zones if jobs have to be spread.
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

// detachFromUnlisted detaches placeholders from machines that are not among the
// candidates, so that the next round places them again. Machines that are to be rented
// have no ID yet.
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

// rentForPlaceholders adds the machines that unplaced placeholders need to the machines to
// be rented.
func (p *Provisioner) rentForPlaceholders(in *Input, candidates, toRent []*candidateMachine, unplaced []*placeholder) []*candidateMachine {
	for _, candidate := range toRent {
		candidate.resetSpare(true)
	}
	unplaced = p.placePlaceholders(unplaced, toRent)
	unplaced = p.moveToOtherZones(in, candidates, unplaced)
	// failed is the last one that no machine can be rented for: no larger one with the same
	// constraints is tried.
	var failed *placeholder
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

// moveToOtherZones places placeholders in other zones if their zone has no machine
// available at present: capacity in another zone is better than none. It returns those that
// are still unplaced.
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

// cheapestForPlaceholder returns the machine to be rented for a placeholder, nil if there
// is none. Unless the placeholder is for spot-tolerant work, that is an on-demand machine.
func (p *Provisioner) cheapestForPlaceholder(in *Input, toRent []*candidateMachine, placeholder *placeholder) *candidateMachine {
	allows := func(machineType, zone string, spot bool) bool {
		return placeholder.allows(zone, spot) && (placeholder.work == spotTolerantWork || !spot) &&
			p.idleHold(in, in.MachineTypes[machineType], spot) >= p.Params.IdleHold/minHoldDivisor
	}
	return p.cheapest(in, toRent, rentalNeed{request: placeholder.size, count: 1, allows: allows})
}
