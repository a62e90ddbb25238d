package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

// idleHold is how long placeholders alone keep a machine: the dearer it is per
// core than the cheapest, the shorter.
func (l *Provisioner) idleHold(in *Input, f *model.MachineType, spot bool) model.Micros {
	floor := math.Inf(1)
	for _, o := range in.MachineTypes {
		if o.Cores > 0 {
			floor = min(floor, o.Price/o.Cores)
		}
	}
	own := f.PriceOf(spot) / max(f.Cores, 1)
	return model.Micros(float64(l.Params.IdleHold) * min(1, floor/own))
}

// scaleIn chooses empty machines that are not needed: no waiting task was put
// there, its placeholders find room elsewhere, and keeping it for the next work
// would by now have cost more than renting anew.
func (l *Provisioner) scaleIn(in *Input, slots []*slot) (back []*model.Machine) {
	slices.SortStableFunc(slots, func(a, b *slot) int {
		return cmp.Compare(in.MachineTypes[b.offer.MachineType].PriceOf(b.offer.Spot), in.MachineTypes[a.offer.MachineType].PriceOf(a.offer.Spot))
	})
	for i, s := range slots {
		f := in.MachineTypes[s.offer.MachineType]
		if !s.machine.Up || len(s.machine.Bindings) > 0 || s.used ||
			in.Now-s.machine.RentedAt < l.Params.MinHeld || in.Now-s.machine.EmptySince < model.Seconds(f.BootS/2) {
			continue
		}
		others := slices.Concat(slots[:i:i], slots[i+1:])
		others = slices.DeleteFunc(others, func(o *slot) bool { return slices.Contains(back, o.machine) })
		saved := make([]model.Resources, len(others))
		for k, o := range others {
			saved[k] = o.spare
		}
		moved := make([]string, len(s.placeholders))
		for k, p := range s.placeholders {
			moved[k] = p.machine
		}
		if rest := l.placePlaceholders(s.placeholders, others); len(rest) > 0 && l.holds(in, s, f) {
			for k, o := range others {
				o.spare = saved[k]
			}
			for k, p := range s.placeholders {
				p.machine = moved[k]
			}
			continue
		}
		back = append(back, s.machine)
	}
	return back
}

// holds tells whether placeholders that find no other room keep an empty machine. Those
// that stand for work which needs ordinary machines keep what they would rent again at
// once; others keep it for a while.
func (l *Provisioner) holds(in *Input, s *slot, f *model.MachineType) bool {
	hold := l.idleHold(in, f, s.offer.Spot)
	if len(in.OrdinarySizes) > 0 && hold >= l.Params.IdleHold/3 {
		return true
	}
	return in.Now-s.machine.EmptySince < hold
}
