// Package autoscaler decides which machines to rent and which to release. It follows the
// "Resource Slack" design: placeholders, which live only in the leader, reserve room for
// tasks to come, real tasks push them out, and what finds no room has machines rented.
package autoscaler

import (
	"slices"

	"woadweir/internal/core/model"
)

// Params are the settings of the autoscaler, some of them the operators' own.
type Params struct {
	ExtraCapacityRate float64 // min_extra_capacity_rate
	Granularity       int
	LateAfterBoots    float64 // boot times after which a machine is no longer counted on
	FailedAfterBoots  float64 // boot times after which a machine that was never up is released
	RefusedPause      model.Micros
	MinBilled         model.Micros // the shortest time that is charged
	MaxPriceRatio     float64      // waiting beats a machine that costs this many times the cheapest
	IdleHold          model.Micros // how long placeholders alone keep the cheapest machine
}

// Defaults are the starting values.
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

// Demand is a number of waiting tasks of one job.
type Demand struct {
	Job   *model.JobState
	Count int
}

// Input is what a round looks at.
type Input struct {
	Now          model.Micros
	Machines     []*model.Machine
	Waiting      []Demand // in the order in which they are served
	MachineTypes map[string]*model.MachineType
	// Sizes of tasks that are requested now or were lately, and of those of them that
	// need ordinary machines and that may use spot machines.
	Sizes, OnDemandSizes, SpotTolerantSizes []model.Resources
	// OnDemandPriority is the lowest priority of unfinished jobs that need ordinary
	// machines. Work of lower priority that may use spot machines yields to them.
	OnDemandPriority model.Priority
	// OnDemandMaxWait is how long at most such a job waits before others are stopped to
	// make room for it.
	OnDemandMaxWait model.Micros
	// Spread tells that some of these jobs have to be spread over zones.
	Spread bool
	// CloudOK tells that the cloud answers: what can't be rented again is kept.
	CloudOK bool
}

// Output is what a round decides.
type Output struct {
	Rent    []Rental
	ScaleIn []*model.Machine
	// Drain are machines whose tasks have room elsewhere and are to move there.
	Drain []*model.Machine
	// Surplus are ordinary machines without work or placeholders that need one. They are
	// to become empty, so work that may use spot machines is not to be placed on them.
	Surplus  []*model.Machine
	Unplaced int // waiting tasks without a place
}

// Provisioner runs the rounds and keeps the placeholders between them.
type Provisioner struct {
	Params         Params
	placeholders   []*placeholder
	refusedUntil   map[Offer]model.Micros // until when an offer is not requested again
	lastDrain      model.Micros
	onDemandByZone map[string]int // ordinary machines by zone, nil unless jobs have to be spread
}

// New makes a provisioner without placeholders; a new leader starts with this.
func New(p Params) *Provisioner {
	return &Provisioner{Params: p, refusedUntil: map[Offer]model.Micros{}}
}

// OfferRefused notes that an offer had no (or too little) capacity.
func (p *Provisioner) OfferRefused(offer Offer, now model.Micros) {
	p.refusedUntil[offer] = now + p.Params.RefusedPause
}

// Round decides once what to rent, release and drain.
func (p *Provisioner) Round(in *Input) Output {
	candidates := p.candidates(in)
	p.countOnDemandByZone(in, candidates)
	onDemand, spotTolerant := in.splitWaiting()

	// Waiting tasks take room first: they push placeholders out.
	unplaced := placeWaiting(candidates, onDemand, false)
	p.resize(in, candidates)
	p.assignZones()
	unplacedPlaceholders := p.placePlaceholders(p.keepPlaceholders(candidates, false), candidates)
	p.markSurplus(in, candidates)
	unplacedSpotTolerant := p.placeSpotTolerant(in, candidates, spotTolerant)
	unplacedPlaceholders = append(unplacedPlaceholders, p.placePlaceholders(p.keepPlaceholders(candidates, true), candidates)...)

	// Machines are rented for what is unplaced now.
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
