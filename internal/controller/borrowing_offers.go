package controller

import (
	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits for accepting offers.
const (
	maxNotStarted     = 4                 // borrowed jobs that have not started yet and may still lack machines
	ownJobMaxWait     = 5 * model.Second  // no job is accepted if one of this cell's own has waited for longer
	offerRetryPause   = 10 * model.Second // pause that a refused cell is asked to make before its next offer
	cloudRefusalPause = 60 * model.Second // after this the cloud may have machines again that it refused
)

// Numbers with as many digits as any that a record may contain.
const (
	longestToken  = 1 << 62
	longestTimeMs = 1 << 50
)

// answerOffer answers another cell's offer. With token 0 the offer only asks whether the job
// would be accepted. With the token of a lending, acceptance is queued to be written.
func (s *spillManager) answerOffer(offer *spill.Offer) *spill.OfferAnswer {
	answer := &spill.OfferAnswer{WorkerLease: model.Seconds(s.leader.controller.settings.Params.Workers.LeaseS)}
	answer.Refusal, answer.Detail = s.refusal(offer)
	if s.policy != nil {
		answer.Cell = s.policy.Cell
	}
	if answer.Refusal != spill.NotRefused {
		answer.RetryAfter = offerRetryPause
		return answer
	}
	key := spill.InKey(offer.Home, offer.Spec.ID)
	if _, pending := s.pendingChanges[key]; offer.Token == 0 || s.hasBorrowed(key, offer.Token) || pending {
		return answer
	}
	trace := recordSpan(offer.Trace, "take in", offer.Spec.ID, attribute.String("home", offer.Home), attribute.Int64("token", int64(offer.Token)))
	s.queueChange(key, spillChange{value: spill.InRecord{
		Home:    offer.Home,
		Token:   offer.Token,
		State:   spill.Accepted,
		Spec:    offer.Spec,
		Done:    offer.Done,
		SinceMs: s.leader.controller.wallClockMs(),
		Trace:   trace,
	}})
	return answer
}

// hasBorrowed reports whether a job is borrowed under a token.
func (s *spillManager) hasBorrowed(key string, token uint64) bool {
	borrowed := s.borrowedJobs[key]
	return borrowed != nil && borrowed.Token == token
}

// refusal returns why an offer is refused, NotRefused if it is accepted, with details for
// logs.
func (s *spillManager) refusal(offer *spill.Offer) (spill.Refusal, string) {
	c, jobID := s.leader.controller, offer.Spec.ID
	key := spill.InKey(offer.Home, jobID)
	if !s.isEnabled() || !s.policy.HasNeighbour(offer.Home) {
		return spill.Disabled, "not set up to take jobs of " + offer.Home
	}
	if offer.Token != 0 && s.hasBorrowed(key, offer.Token) {
		return spill.NotRefused, ""
	}
	if s.isStale(key, offer.Token) {
		return spill.Stale, ""
	}
	if c.view.Known(jobID) {
		return spill.OwnJob, ""
	}
	if s.isBorrowed(jobID) {
		return spill.Stale, "lent by another cell"
	}
	spec := offer.Spec.Job(0)
	if why := spec.InfeasibleReason(c.teams, c.view.MachineTypes); why != "" {
		return spill.CannotRun, why
	}
	if spec.Kind == model.Service || len(offer.Spec.Awaits) > 0 || !c.fitsValue(largestRecord(offer, spec)) {
		return spill.CannotRun, "its kind or its record's size"
	}
	if at, unknown := s.unknownJobs[key]; unknown && c.now-at < unknownJobPause {
		return spill.CannotRun, "the workers do not know it"
	}
	if offer.Token != 0 {
		return spill.NotRefused, "" // capacity was checked when the home cell asked with token 0
	}
	if s.leader.shard.OwnWorkWaits(ownJobMaxWait, c.now) {
		return spill.Busy, ""
	}
	if !s.canRun(offer, spec) {
		return spill.NoRoom, ""
	}
	return spill.NotRefused, ""
}

// largestRecord returns the largest record that a borrowed job may need: with the longest
// numbers and all tasks done.
func largestRecord(offer *spill.Offer, spec *model.Job) spill.InRecord {
	return spill.InRecord{Home: offer.Home, Token: longestToken, State: spill.Accepted, Spec: offer.Spec, Done: make([]byte, spec.Tasks/8+1), SinceMs: longestTimeMs}
}

// isStale reports whether something of an earlier lending of a job is still here, or a later
// lending than that of the token is known.
func (s *spillManager) isStale(key string, token uint64) bool {
	if job := s.leader.shard.Jobs[borrowedJobID(key)]; job != nil && job.HomeCell != "" {
		return true
	}
	borrowed := s.borrowedJobs[key]
	if borrowed == nil {
		return false
	}
	gone := borrowed.IsReturned() || borrowed.IsLendingOver()
	return !gone || token != 0 && token < borrowed.Token
}

// canRun reports whether a job would start soon: on free capacity beyond this cell's own
// headroom, or on machines that the cloud may have.
func (s *spillManager) canRun(offer *spill.Offer, spec *model.Job) bool {
	c := s.leader.controller
	done := model.TaskSetFromBytes(offer.Done)
	job := &model.JobState{Job: spec, Done: done}
	minTasks := 1
	if spec.Kind == model.Gang {
		minTasks = spec.Tasks
	}
	if !s.leader.shard.WithinLimit(spec, minTasks) {
		return false
	}
	notStarted := 0
	for _, borrowed := range s.borrowedJobs {
		if !borrowed.HasStarted() && !borrowed.IsLendingOver() {
			notStarted++
		}
	}
	if notStarted >= maxNotStarted {
		return false
	}
	if s.leader.shard.HasCapacityFor(spec, s.minTasksToFit(job), float64(c.operator.ExtraCapacityRate)) {
		return true
	}
	return s.leader.cloudHealth.isHealthy() && s.mayRentFor(spec)
}

// mayRentFor reports whether the cloud may have a machine for a job: it has not refused all
// suitable offers within cloudRefusalPause.
func (s *spillManager) mayRentFor(spec *model.Job) bool {
	for name, machineType := range s.leader.shard.MachineTypes {
		if !spec.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				at, refused := s.refusedOffers[autoscaler.Offer{MachineType: name, Zone: zone, Spot: spot}]
				if spec.Allows(name, zone, spot) && (!refused || s.leader.controller.now-at > cloudRefusalPause) {
					return true
				}
			}
		}
	}
	return false
}
