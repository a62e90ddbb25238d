// Package autoscaler decides which machines to rent and which to release. It follows the
// "Resource Slack" design: placeholders, which exist only in the leader's memory, reserve
// capacity for future tasks; real tasks displace them; and machines are rented for tasks and
// placeholders that fit nowhere.
package autoscaler

import (
	"slices"

	"woadweir/internal/core/model"
)

// Params holds the autoscaler's settings. Operators can set some of them.
type Params struct {
	ExtraCapacityRate float64 // min_extra_capacity_rate
	Granularity       int
	LateAfterBoots    float64      // a machine not up after this many boot times is no longer planned with
	FailedAfterBoots  float64      // a machine that was never up is released after this many boot times
	RefusedPause      model.Micros // pause before a refused offer is requested again
	MinBilled         model.Micros // minimum time that the cloud bills for a machine
	MaxPriceRatio     float64      // a task waits rather than pay more than this many times the lowest price
	IdleHold          model.Micros // how long placeholders alone keep a machine of the lowest price per core
}

// Defaults returns the default parameters.
func Defaults() Params {
	return Params{
		ExtraCapacityRate: 0.1,
		Granularity:       5,
		LateAfterBoots:    2.5,
		FailedAfterBoots:  4,
		RefusedPause:      6 * model.Second,
		MinBilled:         60 * model.Second,
		MaxPriceRatio:     5,
		IdleHold:          60 * model.Second,
	}
}

// Demand is a number of waiting tasks of one job that may be started.
type Demand struct {
	Job   *model.JobState
	Count int
}

// Input is the state that a round works on.
type Input struct {
	Now          model.Micros
	Machines     []*model.Machine
	Waiting      []Demand // in the order in which they are served
	MachineTypes map[string]*model.MachineType
	// Sizes lists the sizes of tasks that are requested now or were recently.
	// OnDemandSizes and SpotTolerantSizes list those of tasks that need on-demand
	// machines and of tasks that may use spot machines.
	Sizes, OnDemandSizes, SpotTolerantSizes []model.Resources
	// OnDemandPriority is the lowest priority of unfinished jobs that need on-demand
	// machines. Spot-tolerant work of lower priority can be preempted for them.
	OnDemandPriority model.Priority
	// OnDemandMaxWait is the longest time that such a job waits before other work is
	// preempted for it.
	OnDemandMaxWait model.Micros
	// Spread is true if some of these jobs have to be spread over zones.
	Spread bool
	// CloudOK is true if the cloud answers. While it does not, no machine is released or
	// drained, because it could not be rented again.
	CloudOK bool
}

// Output holds the decisions of a round.
type Output struct {
	Rent    []Rental
	ScaleIn []*model.Machine
	// Drain lists machines whose tasks fit elsewhere and are to move there.
	Drain []*model.Machine
	// Surplus lists on-demand machines without tasks or placeholders that need an
	// on-demand machine. They are to become empty, so spot-tolerant work must not be
	// placed on them.
	Surplus  []*model.Machine
	Unplaced int // waiting tasks that fit nowhere
}

// Provisioner runs the rounds and keeps the placeholders between them.
type Provisioner struct {
	Params         Params
	placeholders   []*placeholder
	refusedUntil   map[Offer]model.Micros // time until which a refused offer is not requested again
	lastDrain      model.Micros
	onDemandByZone map[string]int // on-demand machines by zone; nil unless jobs have to be spread
}

// New returns a provisioner without placeholders, as a new leader needs it.
func New(p Params) *Provisioner {
	return &Provisioner{Params: p, refusedUntil: map[Offer]model.Micros{}}
}

// OfferRefused records that the cloud had no capacity, or too little, for an offer.
func (p *Provisioner) OfferRefused(offer Offer, now model.Micros) {
	p.refusedUntil[offer] = now + p.Params.RefusedPause
}

// Round decides which machines to rent, release and drain.
func (p *Provisioner) Round(in *Input) Output {
	candidates := p.candidates(in)
	p.countOnDemandByZone(in, candidates)
	onDemand, spotTolerant := in.splitWaiting()

	// Waiting tasks are placed before placeholders and so displace them.
	unplaced := placeWaiting(candidates, onDemand, false)
	p.resize(in, candidates)
	p.assignZones()
	unplacedPlaceholders := p.placePlaceholders(p.keepPlaceholders(candidates, false), candidates)
	p.markSurplus(in, candidates)
	unplacedSpotTolerant := p.placeSpotTolerant(in, candidates, spotTolerant)
	unplacedPlaceholders = append(unplacedPlaceholders, p.placePlaceholders(p.keepPlaceholders(candidates, true), candidates)...)

	// Rent machines for the tasks and placeholders that are still unplaced.
	var toRent []*candidateMachine
	toRent = p.rentForTasks(in, toRent, unplaced)
	toRent = p.rentForTasks(in, toRent, unplacedSpotTolerant)
	toRent = p.rentForPlaceholders(in, candidates, toRent, unplacedPlaceholders)

	out := Output{Rent: groupRentals(toRent), Unplaced: countTasks(unplaced) + countTasks(unplacedSpotTolerant)}
	if in.CloudOK {
		out.ScaleIn = p.scaleIn(in, candidates)
		if len(unplaced) == 0 && !slices.ContainsFunc(toRent, (*candidateMachine).isOnDemand) {
			out.Drain = p.drain(in, candidates)
		}
	}
	for _, candidate := range candidates {
		if candidate.surplus {
			out.Surplus = append(out.Surplus, candidate.machine)
		}
	}
	p.detachFromUnlisted(candidates)
	return out
}
