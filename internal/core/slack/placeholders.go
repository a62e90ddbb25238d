package slack

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// placeholder is a virtual task.
type placeholder struct {
	size    model.Resources
	machine string // "": homeless
	gpu     bool   // true: GPU group
	largest bool   // the group's largest
}

// placePlaceholders puts placeholders into rooms and returns those that found none.
func (l *Provisioner) placePlaceholders(ps []*placeholder, slots []*slot) (rest []*placeholder) {
	var failed *placeholder // the last that found none: its like need not look
	for _, p := range ps {
		if failed != nil && failed.gpu == p.gpu && failed.size.Fits(p.size) {
			rest = append(rest, p)
			continue
		}
		var best *slot
		for _, s := range slots {
			if (s.size.GPUs > 0) != p.gpu || !p.size.Fits(s.spare) {
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

// resize brings number and sizes of the placeholders to what the fleet and the
// tasks ask for, keeping those that exist on their machines.
func (l *Provisioner) resize(in *Input, slots []*slot) {
	for _, gpu := range []bool{false, true} {
		var capacity, biggest, largest model.Resources
		machines := 0
		for _, s := range slots {
			if (s.size.GPUs > 0) == gpu {
				capacity = capacity.Plus(s.size)
				machines++
			}
		}
		for _, f := range in.MachineTypes {
			if z := f.Size(); (z.GPUs > 0) == gpu && z.Cores >= biggest.Cores {
				biggest = z
			}
		}
		for _, z := range in.Sizes {
			if (z.GPUs > 0) == gpu {
				largest = model.Resources{Cores: max(largest.Cores, z.Cores), GPUs: max(largest.GPUs, z.GPUs), Mem: max(largest.Mem, z.Mem)}
			}
		}
		largest = model.Resources{Cores: min(largest.Cores, biggest.Cores), GPUs: min(largest.GPUs, biggest.GPUs), Mem: min(largest.Mem, biggest.Mem)}
		extra := model.Resources{Cores: share(capacity.Cores, l.Params.ExtraCapacityRate), GPUs: share(capacity.GPUs, l.Params.ExtraCapacityRate), Mem: share(capacity.Mem, l.Params.ExtraCapacityRate)}
		count := machines * l.Params.Granularity
		var each model.Resources
		if rest := extra.Minus(largest); count > 0 {
			each = model.Resources{Cores: max(0, rest.Cores) / model.Milli(count), GPUs: max(0, rest.GPUs) / model.Milli(count), Mem: max(0, rest.Mem) / model.Milli(count)}
		}
		if each.IsZero() {
			count = 0
		}
		var kept []*placeholder
		mine := 0
		big := false
		for _, p := range l.placeholders {
			if p.gpu != gpu {
				kept = append(kept, p)
				continue
			}
			if p.largest && !largest.IsZero() && !big {
				big = true
				p.size = largest
				kept = append(kept, p)
			} else if !p.largest && mine < count {
				mine++
				p.size = each
				kept = append(kept, p)
			}
		}
		if !big && !largest.IsZero() {
			kept = append(kept, &placeholder{size: largest, gpu: gpu, largest: true})
		}
		for ; mine < count; mine++ {
			kept = append(kept, &placeholder{size: each, gpu: gpu})
		}
		l.placeholders = kept
	}
	// The largest first: they are the hardest to place.
	slices.SortStableFunc(l.placeholders, func(a, b *placeholder) int { return cmp.Compare(b.size.Cores, a.size.Cores) })
}

func share(m model.Milli, rate float64) model.Milli { return model.Milli(float64(m) * rate) }
