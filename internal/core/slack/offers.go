package slack

import (
	"math"
	"slices"

	"woadweir/internal/core/model"
)

// Rental is a request to be made.
type Rental struct {
	MachineType, Zone string
	Spot              bool
	Count             int
}

// Offer names what can be rented.
type Offer struct {
	MachineType, Zone string
	Spot              bool
}

// cheapest chooses the offer that holds n such tasks at the lowest price per
// task. A type already chosen in this round is only asked for in the same zone
// and kind: one call per type and round.
func (l *Provisioner) cheapest(in *Input, fresh []*slot, need model.Resources, n int, anyPrice bool, allows func(machineType, zone string, spot bool) bool) *slot {
	var best *slot
	bestCost := 0.0
	floor := math.Inf(1) // the lowest price per task, had everything capacity
	var labels []string
	for label := range in.MachineTypes {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	for _, label := range labels {
		f := in.MachineTypes[label]
		size := f.Size()
		k := need.Count(size, n)
		if k == 0 {
			continue
		}
		var called *Offer
		calls := 0
		for _, s := range fresh {
			if s.offer.MachineType == label {
				called = &s.offer
				calls++
			}
		}
		if calls >= 50 {
			continue
		}
		for _, y := range f.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{label, y, spot}
				if !allows(label, y, spot) {
					continue
				}
				cost := f.PriceOf(spot) / float64(need.Count(size, 1<<20))
				floor = min(floor, cost)
				if in.Now < l.refused[o] || called != nil && *called != o {
					continue
				}
				cost = f.PriceOf(spot) / float64(k)
				if best == nil || cost < bestCost {
					best, bestCost = &slot{offer: o, size: size, free: size, spare: size}, cost
				}
			}
		}
	}
	if best != nil && !anyPrice && bestCost*float64(need.Count(best.size, n)) > l.Params.MaxPriceRatio*floor*float64(need.Count(best.size, 1<<20)) {
		return nil
	}
	return best
}

// calls groups the machines to be rented.
func calls(fresh []*slot) []Rental {
	var rs []Rental
	for _, s := range fresh {
		i := slices.IndexFunc(rs, func(r Rental) bool { return r.MachineType == s.offer.MachineType })
		if i < 0 {
			rs = append(rs, Rental{s.offer.MachineType, s.offer.Zone, s.offer.Spot, 1})
		} else {
			rs[i].Count++
		}
	}
	return rs
}
