package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// standsFor tells which work a placeholder holds room for.
type standsFor uint8

const (
	anyWork      standsFor = iota // no work needs ordinary machines: all is alike
	ordinaryWork                  // work that needs ordinary machines
	flexibleWork                  // work that may use spot machines
)

// placeholder is a virtual task.
type placeholder struct {
	size    model.Resources
	machine string // "": homeless
	gpu     bool   // true: GPU group
	largest bool   // the group's largest
	work    standsFor
	zone    string // the only zone, "": any
}

// suits tells whether a placeholder may hold room on a machine: on a spot machine that
// is none for work which needs ordinary ones, and on an ordinary one it would cost
// several times as much as work that may use spot machines has to pay.
func (p *placeholder) suits(s *slot) bool {
	return (s.size.GPUs > 0) == p.gpu && p.allows(s.offer.Zone, s.offer.Spot)
}

func (p *placeholder) allows(zone string, spot bool) bool {
	switch {
	case p.work == ordinaryWork && spot, p.work == flexibleWork && !spot:
		return false
	}
	return p.zone == "" || p.zone == zone
}

// like tells that two placeholders may use the same machines.
func (p *placeholder) like(o *placeholder) bool {
	return p.gpu == o.gpu && p.work == o.work && p.zone == o.zone
}

// placePlaceholders puts placeholders into rooms and returns those that found none.
func (l *Provisioner) placePlaceholders(ps []*placeholder, slots []*slot) (rest []*placeholder) {
	var failed *placeholder // the last that found none: its like need not look
	for _, p := range ps {
		if failed != nil && failed.like(p) && failed.size.Fits(p.size) {
			rest = append(rest, p)
			continue
		}
		var best *slot
		for _, s := range slots {
			if !p.suits(s) || !p.size.Fits(s.spare) {
				continue
			}
			if best == nil || s.spare.Cores < best.spare.Cores {
				best = s
			}
		}
		if best == nil {
			failed = p
			rest = append(rest, p)
			continue
		}
		best.spare = best.spare.Minus(p.size)
		best.placeholders = append(best.placeholders, p)
		if best.machine != nil {
			p.machine = best.machine.ID
		}
	}
	return rest
}

// flexibleShare is how many times the extra share of ordinary machines is held on spot
// machines. A spot machine that is idle costs a fraction of an ordinary one, and those
// that are taken without notice take their tasks with them, which then need room at once.
const flexibleShare = 2

// resize brings number and sizes of the placeholders to what the fleet and the
// tasks ask for, keeping those that exist on their machines. Where some work needs
// ordinary machines, each kind of machine has its own, and those on ordinary ones are a
// share of the whole fleet.
func (l *Provisioner) resize(in *Input, slots []*slot) {
	if len(in.OrdinarySizes) == 0 {
		l.resizeKind(in, slots, anyWork, in.Sizes)
	} else {
		l.resizeKind(in, slots, ordinaryWork, in.OrdinarySizes)
		l.resizeKind(in, slots, flexibleWork, in.FlexibleSizes)
	}
	// The largest first: they are the hardest to place.
	slices.SortStableFunc(l.placeholders, func(a, b *placeholder) int { return cmp.Compare(b.size.Cores, a.size.Cores) })
}

func (l *Provisioner) resizeKind(in *Input, slots []*slot, work standsFor, sizes []model.Resources) {
	for _, gpu := range []bool{false, true} {
		var capacity, biggest, largest model.Resources
		machines := 0
		for _, s := range slots {
			if (s.size.GPUs > 0) == gpu && !(work == flexibleWork && !s.offer.Spot) {
				capacity = capacity.Plus(s.size)
				machines++
			}
		}
		for _, f := range in.MachineTypes {
			if z := f.Size(); (z.GPUs > 0) == gpu && z.Cores >= biggest.Cores {
				biggest = z
			}
		}
		for _, z := range sizes {
			if (z.GPUs > 0) == gpu {
				largest = model.Resources{Cores: max(largest.Cores, z.Cores), GPUs: max(largest.GPUs, z.GPUs), Mem: max(largest.Mem, z.Mem)}
			}
		}
		largest = model.Resources{Cores: min(largest.Cores, biggest.Cores), GPUs: min(largest.GPUs, biggest.GPUs), Mem: min(largest.Mem, biggest.Mem)}
		rate := l.Params.ExtraCapacityRate
		if work == flexibleWork {
			rate *= flexibleShare
		}
		extra := model.Resources{Cores: share(capacity.Cores, rate), GPUs: share(capacity.GPUs, rate), Mem: share(capacity.Mem, rate)}
		count := machines * l.Params.Granularity
		var each model.Resources
		if rest := extra.Minus(largest); count > 0 {
			each = model.Resources{Cores: max(0, rest.Cores) / model.Milli(count), GPUs: max(0, rest.GPUs) / model.Milli(count), Mem: max(0, rest.Mem) / model.Milli(count)}
		}
		if each.IsZero() {
			count = 0
		}
		l.keepGroup(placeholder{gpu: gpu, work: work}, largest, each, count)
	}
}

// keepGroup has a group of placeholders be one of the largest size and count others.
func (l *Provisioner) keepGroup(group placeholder, largest, each model.Resources, count int) {
	var kept []*placeholder
	small, big := 0, false
	for _, p := range l.placeholders {
		switch {
		case p.gpu != group.gpu || p.work != group.work && p.work != anyWork && group.work != anyWork:
			kept = append(kept, p)
		case p.largest && !largest.IsZero() && !big:
			big = true
			p.size, p.work = largest, group.work
			kept = append(kept, p)
		case !p.largest && small < count:
			small++
			p.size, p.work = each, group.work
			kept = append(kept, p)
		}
	}
	if !big && !largest.IsZero() {
		kept = append(kept, &placeholder{size: largest, gpu: group.gpu, work: group.work, largest: true})
	}
	for ; small < count; small++ {
		kept = append(kept, &placeholder{size: each, gpu: group.gpu, work: group.work})
	}
	l.placeholders = kept
}

func share(m model.Milli, rate float64) model.Milli { return model.Milli(float64(m) * rate) }

// assignZones spreads the placeholders evenly over the zones, if they are to be even.
func (l *Provisioner) assignZones() {
	zones := slices.Sorted(maps.Keys(l.zoneMachines))
	next := 0
	for _, p := range l.placeholders {
		p.zone = ""
		if len(zones) > 1 && p.work == ordinaryWork {
			p.zone = zones[next%len(zones)]
			next++
		}
	}
}

// available tells whether an ordinary machine may be had in a zone now.
func (l *Provisioner) available(in *Input, zone string) bool {
	for name, f := range in.MachineTypes {
		if f.In(zone) && in.Now >= l.refused[Offer{name, zone, false}] {
			return true
		}
	}
	return false
}
