package controller

import (
	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits of the jobs that are taken in.
const (
	maxUnbegun        = 4                 // jobs taken in the hope of machines, not yet begun
	ownWorkMaxWait    = 5 * model.Second  // own work that waits for so long keeps others' out
	offerRetryPause   = 10 * model.Second // after which a refused cell may ask again
	cloudRefusalPause = 60 * model.Second // a cloud that refused so long ago may have machines again
)

// Numbers that take as many digits as any that a record may hold.
const (
	longestToken  = 1 << 62
	longestTimeMs = 1 << 50
)

// takeOffer answers another cell that asks whether a job is taken, or lends it.
func (s *spiller) takeOffer(offer *spill.Offer) *spill.OfferAnswer {
	answer := &spill.OfferAnswer{WorkerLease: model.Seconds(s.l.c.set.Params.Workers.LeaseS)}
	answer.Refusal, answer.Detail = s.whyNot(offer)
	if s.policy != nil {
		answer.Cell = s.policy.Cell
	}
	if answer.Refusal != spill.NotRefused {
		answer.RetryAfter = offerRetryPause
		return answer
	}
	key := spill.InKey(offer.Home, offer.Spec.ID)
	if _, pending := s.changes[key]; offer.Token == 0 || s.has(key, offer.Token) || pending {
		return answer
	}
	trace := noteStep(offer.Trace, "take in", offer.Spec.ID, attribute.String("home", offer.Home), attribute.Int64("token", int64(offer.Token)))
	s.want(key, spillChange{value: spill.InRecord{
		Home:    offer.Home,
		Token:   offer.Token,
		State:   spill.Accepted,
		Spec:    offer.Spec,
		Done:    offer.Done,
		SinceMs: s.l.c.wall(),
		Trace:   trace,
	}})
	return answer
}

// has tells whether a job is known as lent under a token.
func (s *spiller) has(key string, token uint64) bool {
	hosting := s.hostings[key]
	return hosting != nil && hosting.Token == token
}

// whyNot tells why a job is not taken, and more about it for logs.
func (s *spiller) whyNot(offer *spill.Offer) (spill.Refusal, string) {
	c, jobID := s.l.c, offer.Spec.ID
	key := spill.InKey(offer.Home, jobID)
	if !s.enabled() || !s.policy.Knows(offer.Home) {
		return spill.Disabled, "not set up to take jobs of " + offer.Home
	}
	if offer.Token != 0 && s.has(key, offer.Token) {
		return spill.NotRefused, ""
	}
	if s.stale(key, offer.Token) {
		return spill.Stale, ""
	}
	if c.view.Known(jobID) {
		return spill.OwnJob, ""
	}
	if s.isGuest(jobID) {
		return spill.Stale, "lent by another cell"
	}
	spec := offer.Spec.Job(0)
	if why := spec.CanEverRun(c.teams, c.view.MachineTypes); why != "" {
		return spill.Never, why
	}
	if spec.Kind == model.Service || len(offer.Spec.Awaits) > 0 || !c.fits(longestRecord(offer, spec)) {
		return spill.Never, "its kind or its record's size"
	}
	if at, unknown := s.unknown[key]; unknown && c.now-at < unknownPause {
		return spill.Never, "the workers do not know it"
	}
	if offer.Token != 0 {
		return spill.NotRefused, "" // it was asked before
	}
	if s.l.shard.OwnWorkWaits(ownWorkMaxWait, c.now) {
		return spill.Busy, ""
	}
	if !s.canServe(offer, spec) {
		return spill.NoRoom, ""
	}
	return spill.NotRefused, ""
}

// longestRecord is a guest's record of a job, with the longest numbers and all tasks done.
func longestRecord(offer *spill.Offer, spec *model.Job) spill.InRecord {
	return spill.InRecord{Home: offer.Home, Token: longestToken, State: spill.Accepted, Spec: offer.Spec, Done: make([]byte, spec.Tasks/8+1), SinceMs: longestTimeMs}
}

// stale tells that an earlier lending of a job is not gone yet, or that a later one than
// that under the token is known.
func (s *spiller) stale(key string, token uint64) bool {
	if job := s.l.shard.Jobs[jobOf(key)]; job != nil && job.HomeCell != "" {
		return true
	}
	hosting := s.hostings[key]
	if hosting == nil {
		return false
	}
	gone := hosting.IsReturned() || hosting.IsOver()
	return !gone || token != 0 && token < hosting.Token
}

// canServe tells whether a job would begin soon: beside room that is left beyond this
// cell's own headroom, or on machines that the cloud may have.
func (s *spiller) canServe(offer *spill.Offer, spec *model.Job) bool {
	c := s.l.c
	done := model.SetOf(offer.Done)
	job := &model.JobState{Job: spec, Done: done}
	minTasks := 1
	if spec.Kind == model.Gang {
		minTasks = spec.Tasks
	}
	if !s.l.shard.WithinLimit(spec, minTasks) {
		return false
	}
	unbegun := 0
	for _, hosting := range s.hostings {
		if !hosting.HasBegun() && !hosting.IsOver() {
			unbegun++
		}
	}
	if unbegun >= maxUnbegun {
		return false
	}
	if s.l.shard.RoomFor(spec, s.roomWanted(job), float64(c.op.ExtraCapacityRate)) {
		return true
	}
	return s.l.cloudHealth.healthy() && s.mayRentFor(spec)
}

// mayRentFor tells whether the cloud may have a machine for a job: it has not refused all
// that fit a moment ago.
func (s *spiller) mayRentFor(spec *model.Job) bool {
	for name, machineType := range s.l.shard.MachineTypes {
		if !spec.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				at, refused := s.refused[autoscaler.Offer{MachineType: name, Zone: zone, Spot: spot}]
				if spec.Allows(name, zone, spot) && (!refused || s.l.c.now-at > cloudRefusalPause) {
					return true
				}
			}
		}
	}
	return false
}
