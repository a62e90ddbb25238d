package autoscaler

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
// task. A type already chosen in this round is only asked for in the same zone: one
// call per type, kind and round. Ordinary and spot machines are separate stocks, and
// were there one call for both, work that may use spot machines would be given
// ordinary ones whenever other work rents these in the same round.
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
		called := calledOffers(fresh, label)
		for _, y := range f.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{label, y, spot}
				if !allows(label, y, spot) {
					continue
				}
				call := called[spot]
				cost := f.PriceOf(spot) / float64(need.Count(size, 1<<20))
				floor = min(floor, cost)
				if in.Now < l.refused[o] || call.machines > 0 && call.offer != o || call.machines >= maxPerCall {
					continue
				}
				cost = f.PriceOf(spot) / float64(k)
				if best == nil || cost < bestCost || cost == bestCost && !spot && l.zoneMachines[y] < l.zoneMachines[best.offer.Zone] {
					best, bestCost = &slot{offer: o, size: size, free: size, open: size, spare: size}, cost
				}
			}
		}
	}
	if best != nil && !anyPrice && bestCost*float64(need.Count(best.size, n)) > l.Params.MaxPriceRatio*floor*float64(need.Count(best.size, 1<<20)) {
		return nil
	}
	return best
}

// maxPerCall is how many machines the cloud rents in one call.
const maxPerCall = 50

// call is what a round asks for of one type and kind.
type call struct {
	offer    Offer
	machines int
}

// calledOffers are the calls for a type among the machines to be rented, by kind.
func calledOffers(fresh []*slot, machineType string) map[bool]call {
	called := map[bool]call{}
	for _, s := range fresh {
		if s.offer.MachineType == machineType {
			called[s.offer.Spot] = call{s.offer, called[s.offer.Spot].machines + 1}
		}
	}
	return called
}

// calls groups the machines to be rented.
func calls(fresh []*slot) []Rental {
	var rs []Rental
	for _, s := range fresh {
		i := slices.IndexFunc(rs, func(r Rental) bool { return r.MachineType == s.offer.MachineType && r.Spot == s.offer.Spot })
		if i < 0 {
			rs = append(rs, Rental{s.offer.MachineType, s.offer.Zone, s.offer.Spot, 1})
		} else {
			rs[i].Count++
		}
	}
	return rs
}
