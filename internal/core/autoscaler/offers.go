package autoscaler

import (
	"maps"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

const (
	maxMachinesPerRequest = 50      // how many machines the cloud rents in one call
	unlimitedTasks        = 1 << 20 // stands for as many tasks as a machine holds
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

// rentalNeed is what a machine is rented for.
type rentalNeed struct {
	request  model.Resources // of one task
	count    int             // of such tasks
	anyPrice bool            // a machine is rented also if waiting would be far cheaper
	allows   func(machineType, zone string, spot bool) bool
}

// cheapest chooses the offer that holds the tasks at the lowest price per task. A type
// already chosen in this round is only requested in the same zone: one call per type,
// kind and round. Ordinary and spot machines are separate stocks, and were there one call
// for both, work that may use spot machines would be given ordinary ones whenever other
// work rents these in the same round.
func (p *Provisioner) cheapest(in *Input, toRent []*candidateMachine, need rentalNeed) *candidateMachine {
	search := offerSearch{provisioner: p, now: in.Now, need: need, lowestPrice: math.Inf(1)}
	for _, name := range slices.Sorted(maps.Keys(in.MachineTypes)) {
		machineType := in.MachineTypes[name]
		if need.request.FitCount(machineType.Size(), need.count) == 0 {
			continue
		}
		called := plannedRequests(toRent, name)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				if need.allows(name, zone, spot) {
					search.consider(Offer{name, zone, spot}, machineType, called[spot])
				}
			}
		}
	}
	if search.isTooExpensive() {
		return nil
	}
	return search.best
}

// offerSearch is a search for the cheapest offer.
type offerSearch struct {
	provisioner *Provisioner
	now         model.Micros
	need        rentalNeed
	best        *candidateMachine // nil: none yet
	bestPrice   float64           // per task
	lowestPrice float64           // per task, had everything capacity
}

// consider makes an offer the best if it can be had and is cheaper than the best so far.
// Called is what the round requests of its type and kind already.
func (s *offerSearch) consider(offer Offer, machineType *model.MachineType, called plannedRequest) {
	size, price := machineType.Size(), machineType.HourlyPrice(offer.Spot)
	s.lowestPrice = min(s.lowestPrice, price/float64(s.need.request.FitCount(size, unlimitedTasks)))
	if s.now < s.provisioner.refusedUntil[offer] || called.machines > 0 && called.offer != offer || called.machines >= maxMachinesPerRequest {
		return
	}
	perTask := price / float64(s.need.request.FitCount(size, s.need.count))
	if s.best == nil || perTask < s.bestPrice || perTask == s.bestPrice && s.balancesZones(offer) {
		s.best = &candidateMachine{offer: offer, size: size, free: size, freeForOnDemand: size, spare: size}
		s.bestPrice = perTask
	}
}

// balancesZones reports whether an ordinary machine of an offer makes the zones more even
// than one of the best offer.
func (s *offerSearch) balancesZones(offer Offer) bool {
	machines := s.provisioner.onDemandByZone
	return !offer.Spot && machines[offer.Zone] < machines[s.best.offer.Zone]
}

// isTooExpensive reports whether waiting for a cheaper machine is better than the best offer.
func (s *offerSearch) isTooExpensive() bool {
	if s.best == nil || s.need.anyPrice {
		return false
	}
	request, size := s.need.request, s.best.size
	price := s.bestPrice * float64(request.FitCount(size, s.need.count))
	return price > s.provisioner.Params.MaxPriceRatio*s.lowestPrice*float64(request.FitCount(size, unlimitedTasks))
}

// onDemandAvailable reports whether an ordinary machine may be had in a zone now.
func (p *Provisioner) onDemandAvailable(in *Input, zone string) bool {
	for name, machineType := range in.MachineTypes {
		if machineType.OfferedIn(zone) && in.Now >= p.refusedUntil[Offer{name, zone, false}] {
			return true
		}
	}
	return false
}

// plannedRequest is what a round requests of one type and kind.
type plannedRequest struct {
	offer    Offer
	machines int
}

// plannedRequests are the calls for a type among the machines to be rented, by kind: true
// for spot machines.
func plannedRequests(toRent []*candidateMachine, machineType string) map[bool]plannedRequest {
	called := map[bool]plannedRequest{}
	for _, candidate := range toRent {
		if candidate.offer.MachineType == machineType {
			called[candidate.offer.Spot] = plannedRequest{candidate.offer, called[candidate.offer.Spot].machines + 1}
		}
	}
	return called
}

// groupRentals makes one request of the machines of each type and kind.
func groupRentals(toRent []*candidateMachine) []Rental {
	var rentals []Rental
	for _, candidate := range toRent {
		offer := candidate.offer
		i := slices.IndexFunc(rentals, func(r Rental) bool { return r.MachineType == offer.MachineType && r.Spot == offer.Spot })
		if i < 0 {
			rentals = append(rentals, Rental{offer.MachineType, offer.Zone, offer.Spot, 1})
		} else {
			rentals[i].Count++
		}
	}
	return rentals
}
