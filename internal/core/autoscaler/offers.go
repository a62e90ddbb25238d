package autoscaler

import (
	"maps"
	"math"
	"slices"

	"woadweir/internal/core/model"
)

const (
	maxMachinesPerRequest = 50      // the cloud's limit of machines in one rental request
	unlimitedTasks        = 1 << 20 // more tasks than fit on any machine
)

// Rental is a request for machines to be rented.
type Rental struct {
	MachineType, Zone string
	Spot              bool
	Count             int
}

// Offer identifies a kind of machine that can be rented from the cloud: a type, in a zone,
// as a spot or an on-demand machine. A spill.Offer, in contrast, is a job that one cell
// offers to another.
type Offer struct {
	MachineType, Zone string
	Spot              bool
}

// rentalNeed describes the tasks that a machine is to be rented for.
type rentalNeed struct {
	request  model.Resources // of one task
	count    int             // number of such tasks
	anyPrice bool            // rent even if waiting for a cheaper machine would be better
	allows   func(machineType, zone string, spot bool) bool
}

// cheapest returns a machine of the offer that runs the tasks at the lowest price per
// task, or nil if there is none. A round makes one request for each machine type and kind
// (spot or on-demand), so a type that the round has already chosen is only requested in
// the same zone. Spot and on-demand machines are requested separately, because the cloud has
// separate stocks of them, and with one request for both, spot-tolerant work would get
// on-demand machines whenever other work rents these in the same round.
func (p *Provisioner) cheapest(in *Input, toRent []*candidateMachine, need rentalNeed) *candidateMachine {
	search := offerSearch{provisioner: p, now: in.Now, need: need, lowestPrice: math.Inf(1)}
	for _, name := range slices.Sorted(maps.Keys(in.MachineTypes)) {
		machineType := in.MachineTypes[name]
		if need.request.FitCount(machineType.Size(), need.count) == 0 {
			continue
		}
		planned := plannedRequests(toRent, name)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				if need.allows(name, zone, spot) {
					search.consider(Offer{name, zone, spot}, machineType, planned[spot])
				}
			}
		}
	}
	if search.isTooExpensive() {
		return nil
	}
	return search.best
}

// offerSearch holds the state of a search for the cheapest offer.
type offerSearch struct {
	provisioner *Provisioner
	now         model.Micros
	need        rentalNeed
	best        *candidateMachine // nil: none yet
	bestPrice   float64           // per task
	lowestPrice float64           // per task, if every offer had capacity
}

// consider makes an offer the best one if it is available and cheaper than the best so
// far. planned is what the round already requests of the offer's type and kind.
func (s *offerSearch) consider(offer Offer, machineType *model.MachineType, planned plannedRequest) {
	size, price := machineType.Size(), machineType.HourlyPrice(offer.Spot)
	s.lowestPrice = min(s.lowestPrice, price/float64(s.need.request.FitCount(size, unlimitedTasks)))
	if s.now < s.provisioner.refusedUntil[offer] || planned.machines > 0 && planned.offer != offer || planned.machines >= maxMachinesPerRequest {
		return
	}
	perTask := price / float64(s.need.request.FitCount(size, s.need.count))
	if s.best == nil || perTask < s.bestPrice || perTask == s.bestPrice && s.balancesZones(offer) {
		s.best = &candidateMachine{offer: offer, size: size, free: size, freeForOnDemand: size, spare: size}
		s.bestPrice = perTask
	}
}

// balancesZones reports whether an on-demand machine of an offer balances the zones better
// than one of the best offer so far.
func (s *offerSearch) balancesZones(offer Offer) bool {
	machines := s.provisioner.onDemandByZone
	return !offer.Spot && machines[offer.Zone] < machines[s.best.offer.Zone]
}

// isTooExpensive reports whether it is better to wait for a cheaper machine than to take
// the best offer.
func (s *offerSearch) isTooExpensive() bool {
	if s.best == nil || s.need.anyPrice {
		return false
	}
	request, size := s.need.request, s.best.size
	price := s.bestPrice * float64(request.FitCount(size, s.need.count))
	return price > s.provisioner.Params.MaxPriceRatio*s.lowestPrice*float64(request.FitCount(size, unlimitedTasks))
}

// onDemandAvailable reports whether the cloud may have an on-demand machine in a zone now.
func (p *Provisioner) onDemandAvailable(in *Input, zone string) bool {
	for name, machineType := range in.MachineTypes {
		if machineType.OfferedIn(zone) && in.Now >= p.refusedUntil[Offer{name, zone, false}] {
			return true
		}
	}
	return false
}

// plannedRequest is what a round requests of one machine type and kind.
type plannedRequest struct {
	offer    Offer
	machines int
}

// plannedRequests returns the requests for a machine type that the machines to be rented
// amount to, by kind: true for spot machines.
func plannedRequests(toRent []*candidateMachine, machineType string) map[bool]plannedRequest {
	planned := map[bool]plannedRequest{}
	for _, candidate := range toRent {
		if candidate.offer.MachineType == machineType {
			planned[candidate.offer.Spot] = plannedRequest{candidate.offer, planned[candidate.offer.Spot].machines + 1}
		}
	}
	return planned
}

// groupRentals combines the machines of each type and kind into one request.
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
