package controller

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// renewalState is how a guest's questions to one home cell stand.
type renewalState struct {
	busy  bool
	askAt model.Micros // when the next may be sent
	next  int          // the job with which the next begins
}

// jobOf is the job that the key of a guest's record names.
func jobOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// takeIn makes a lent job known to the block, without a right to run it.
func (s *spiller) takeIn(key string) {
	l := s.l
	record := l.c.view.LentIn[key]
	job := jobOf(key)
	if js := l.block.Jobs[job]; js != nil && js.HomeCell != record.Home {
		// A job of this cell or of another by that name became known a moment before: nothing
		// of this one is here, and home takes it back as it is not asked for it.
		s.want(key, spillChange{})
		return
	}
	s.hostings[key] = spill.NewHosting(record, l.c.now)
	if l.block.Jobs[job] == nil {
		guest := record.Spec.Job(l.c.view.Revisions[key])
		guest.Priority = model.LowPriority // this cell's own work comes first
		l.block.AddGuest(guest, record.Home, model.SetOf(record.Done), l.c.now)
	}
}

// hostingNews takes what the view says of a job that another cell has lent.
func (s *spiller) hostingNews(key string) {
	l := s.l
	record, hosting := l.c.view.LentIn[key], s.hostings[key]
	switch {
	case record == nil:
		delete(s.hostings, key)
		l.jobChanged(jobOf(key)) // one of this cell's own by that name may begin
	case hosting == nil || hosting.Token != record.Token:
		s.takeIn(key)
		slog.Info("taken in", "job", jobOf(key), "home", record.Home, "token", record.Token)
	case record.State == spill.Returned:
		hosting.SetReturned()
	}
}

// guestJob is the block's job that a record stands for, nil if it is gone or another's.
func (s *spiller) guestJob(key string) *model.JobState {
	js := s.l.block.Jobs[jobOf(key)]
	if js == nil || js.HomeCell != s.hostings[key].Home {
		return nil
	}
	return js
}

// isGuest tells whether a job's name stands for one that another cell has lent.
func (s *spiller) isGuest(job string) bool {
	if js := s.l.block.Jobs[job]; js != nil {
		return js.HomeCell != ""
	}
	for key := range s.hostings {
		if jobOf(key) == job {
			return true
		}
	}
	return false
}

// withhold is how long workers get no answer after a right has ended.
func (s *spiller) withhold() model.Micros {
	return model.Seconds(s.l.c.set.Params.Workers.LeaseS) / withholdShare
}

// applyRights suspends what this cell has no right to run, and resumes what it has. It is
// called before every decision and every answer to a worker.
func (s *spiller) applyRights() {
	for key, hosting := range s.hostings {
		js := s.guestJob(key)
		if js == nil {
			continue
		}
		switch hosting.Phase(s.withhold(), s.l.c.now) {
		case spill.MayRun:
			s.l.block.Resume(js)
		case spill.Withheld:
			js.Suspended = true
		case spill.Stopped:
			s.l.block.Suspend(js, "no right to run it for "+hosting.Home, s.l.c.now)
		}
		if len(js.Bindings) > 0 {
			hosting.Begun()
		}
	}
}

// withheld tells that a machine has tasks of a lent job for which the right has ended a
// moment ago. Its worker gets no answer: one would renew its lease.
func (s *spiller) withheld(machine string) bool {
	if len(s.hostings) == 0 {
		return false
	}
	m := s.l.block.Machines[machine]
	if m == nil {
		return false
	}
	for key, hosting := range s.hostings {
		if m.TaskCounts[jobOf(key)] > 0 && hosting.Phase(s.withhold(), s.l.c.now) == spill.Withheld {
			return true
		}
	}
	return false
}

// stepHostings returns what has not begun, and forgets what is over.
func (s *spiller) stepHostings() {
	l := s.l
	for _, key := range sortedKeys(s.hostings) {
		hosting, job := s.hostings[key], jobOf(key)
		js := s.guestJob(key)
		bound := js != nil && len(js.Bindings) > 0
		if hosting.IsOver() || s.orphaned(hosting) {
			if js != nil {
				l.block.EndJob(job, "over", l.c.now)
			}
			if !bound && (hosting.Forgettable() || s.orphaned(hosting)) {
				s.want(key, spillChange{})
			}
			continue
		}
		if s.policy != nil {
			hosting.Consider(s.policy.Start, l.c.now)
		}
		if js != nil && js.UnknownToWorkers {
			s.noteUnknown(key)
			hosting.ScaleIn()
		}
		if hosting.GivingBack() && !hosting.IsReturned() && !bound {
			s.scaleIn(key)
		}
	}
}

// noteUnknown keeps a job out for a while that the workers do not know.
func (s *spiller) noteUnknown(key string) {
	now := s.l.c.now
	maps.DeleteFunc(s.unknown, func(_ string, at model.Micros) bool { return now-at >= unknownPause })
	s.unknown[key] = now
}

// orphaned tells that a job's home can't be asked, as it is not in the file, and the right
// to run the job is over. A guest may forget what it has nothing bound of at any time.
func (s *spiller) orphaned(hosting *spill.Hosting) bool {
	known := s.policy != nil && s.policy.Knows(hosting.Home)
	return !known && hosting.Phase(s.withhold(), s.l.c.now) == spill.Stopped
}

// scaleIn has a return made durable: from then on no holder of this cell starts anything
// of the job under this token.
func (s *spiller) scaleIn(key string) {
	record := *s.l.c.view.LentIn[key]
	record.State = spill.Returned
	if _, pending := s.changes[key]; !pending {
		s.want(key, spillChange{value: record})
		noteStep(record.Trace, "return", jobOf(key))
		slog.Info("returned", "job", jobOf(key), "home", record.Home, "token", record.Token)
	}
}

// renew asks each home cell for the right to go on with what it has lent.
func (s *spiller) renew() {
	c := s.l.c
	if c.cells == nil || !c.auth.Holds(c.now) {
		return
	}
	byHome := map[string][]string{}
	for _, key := range sortedKeys(s.hostings) {
		home := s.hostings[key].Home
		byHome[home] = append(byHome[home], key)
	}
	for home, keys := range byHome {
		renewal := s.renewals[home]
		if renewal == nil {
			renewal = &renewalState{}
			s.renewals[home] = renewal
		}
		if renewal.busy || c.now < renewal.askAt || !s.policy.Knows(home) {
			continue
		}
		renewal.busy = true
		c.cells.renew(msgRenewed{home: home, sent: c.now, term: s.l.token, renewal: s.question(renewal, keys)})
	}
}

// question is what a home cell is asked next: about as many jobs as a question may name,
// in turn.
func (s *spiller) question(renewal *renewalState, keys []string) *spill.Renewal {
	r := &spill.Renewal{Guest: s.policy.Cell, WorkerLease: model.Seconds(s.l.c.set.Params.Workers.LeaseS)}
	renewal.askAt = s.l.c.now + min(mostRenewGap, s.policy.Lease/renewShare)
	if len(keys) > jobsPerRenewal {
		// All of them are to be asked about in the same time.
		renewal.askAt = s.l.c.now + (renewal.askAt-s.l.c.now)*jobsPerRenewal/model.Micros(len(keys))
	}
	for i := range min(len(keys), jobsPerRenewal) {
		key := keys[(renewal.next+i)%len(keys)]
		r.Jobs = append(r.Jobs, s.jobReport(key))
	}
	renewal.next = (renewal.next + len(r.Jobs)) % len(keys)
	return r
}

// jobReport is what this cell knows of a lent job. The call goes on beside the actor, so it
// gets a set of finished tasks of its own.
func (s *spiller) jobReport(key string) spill.JobReport {
	hosting := s.hostings[key]
	report := spill.JobReport{Job: jobOf(key), Token: hosting.Token}
	js := s.guestJob(key)
	report.Returned = hosting.Report(js != nil && len(js.Bindings) > 0)
	if js == nil {
		return report
	}
	report.Complete, report.Done = js.EndPending, slices.Clone(js.Done.Bytes())
	for _, bs := range js.Bindings {
		for _, b := range bs {
			if b.Status >= model.WaitingForGang && b.Status != model.Exited {
				report.Running++
			}
		}
	}
	return report
}

// renewed takes a home cell's answer.
func (s *spiller) renewed(m msgRenewed) {
	c := s.l.c
	if renewal := s.renewals[m.home]; renewal != nil {
		renewal.busy = false
	}
	if m.err != nil {
		slog.Debug("renewal", "home", m.home, "err", m.err)
		return
	}
	for i := range min(len(m.answer.Jobs), len(m.renewal.Jobs)) { // in the order of the question
		verdict := &m.answer.Jobs[i]
		key := spill.InKey(m.home, verdict.Job)
		hosting := s.hostings[key]
		if hosting == nil || hosting.Token != verdict.Token || m.renewal.Jobs[i].Job != verdict.Job {
			continue
		}
		if js := s.guestJob(key); js != nil && js.Ended == "" {
			s.l.block.Confirm(js, verdict.Confirmed)
		}
		hosting.Heard(verdict, m.renewal.Jobs[i].Returned, m.sent, m.answer.Age)
	}
	s.applyRights()
	s.stepHostings()
	c.leading.provisionSoon = true
}

// takeOffer answers another cell that asks whether a job is taken, or lends it.
func (s *spiller) takeOffer(o *spill.Offer) *spill.OfferAnswer {
	answer := &spill.OfferAnswer{WorkerLease: model.Seconds(s.l.c.set.Params.Workers.LeaseS)}
	answer.Refusal, answer.Detail = s.whyNot(o)
	if s.policy != nil {
		answer.Cell = s.policy.Cell
	}
	if answer.Refusal != spill.NotRefused {
		answer.RetryAfter = refusedPause
		return answer
	}
	key := spill.InKey(o.Home, o.Spec.ID)
	if _, pending := s.changes[key]; o.Token == 0 || s.has(key, o.Token) || pending {
		return answer
	}
	context := noteStep(o.Trace, "take in", o.Spec.ID, attribute.String("home", o.Home), attribute.Int64("token", int64(o.Token)))
	s.want(key, spillChange{value: spill.InRecord{Home: o.Home, Token: o.Token, State: spill.Accepted, Spec: o.Spec, Done: o.Done, SinceMs: s.l.c.wall(), Trace: context}})
	return answer
}

// has tells whether a job is known as lent under a token.
func (s *spiller) has(key string, token uint64) bool {
	hosting := s.hostings[key]
	return hosting != nil && hosting.Token == token
}

// whyNot tells why a job is not taken, and more about it for logs.
func (s *spiller) whyNot(o *spill.Offer) (spill.Refusal, string) {
	c, block, job := s.l.c, s.l.block, o.Spec.ID
	key := spill.InKey(o.Home, job)
	if !s.enabled() || !s.policy.Knows(o.Home) {
		return spill.Disabled, "not set up to take jobs of " + o.Home
	}
	if o.Token != 0 && s.has(key, o.Token) {
		return spill.NotRefused, ""
	}
	if s.stale(key, o.Token) {
		return spill.Stale, ""
	}
	if c.view.Known(job) {
		return spill.OwnJob, ""
	}
	if s.isGuest(job) {
		return spill.Stale, "lent by another cell"
	}
	spec := o.Spec.Job(0)
	if why := spec.CanEverRun(c.teams, c.view.MachineTypes); why != "" {
		return spill.Never, why
	}
	if spec.Kind == model.Service || len(o.Spec.Awaits) > 0 || !c.fits(spill.InRecord{Home: o.Home, Token: 1 << 62, State: spill.Accepted, Spec: o.Spec, Done: make([]byte, spec.Tasks/8+1), SinceMs: 1 << 50}) {
		return spill.Never, "its kind or its record's size"
	}
	if at, unknown := s.unknown[key]; unknown && c.now-at < unknownPause {
		return spill.Never, "the workers do not know it"
	}
	if o.Token != 0 {
		return spill.NotRefused, "" // it was asked before
	}
	if block.OwnWorkWaits(ownPatience, c.now) {
		return spill.Busy, ""
	}
	if !s.canServe(o, spec) {
		return spill.NoRoom, ""
	}
	return spill.NotRefused, ""
}

// stale tells that an earlier lending of a job is not gone yet, or that a later one than
// that under the token is known.
func (s *spiller) stale(key string, token uint64) bool {
	if js := s.l.block.Jobs[jobOf(key)]; js != nil && js.HomeCell != "" {
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
func (s *spiller) canServe(o *spill.Offer, spec *model.Job) bool {
	c := s.l.c
	done := model.SetOf(o.Done)
	js := &model.JobState{Job: spec, Done: done}
	least := 1
	if spec.Kind == model.Gang {
		least = spec.Tasks
	}
	if !s.l.block.WithinLimit(spec, least) {
		return false
	}
	unbegun := 0
	for _, hosting := range s.hostings {
		if !hosting.HasBegun() && !hosting.IsOver() {
			unbegun++
		}
	}
	if unbegun >= mostUnbegun {
		return false
	}
	if s.l.block.RoomFor(spec, s.roomWanted(js), float64(c.op.ExtraCapacityRate)) {
		return true
	}
	return s.l.cloudOK() && s.mayRentFor(spec)
}

// mayRentFor tells whether the cloud may have a machine for a job: it has not refused all
// that fit a moment ago.
func (s *spiller) mayRentFor(spec *model.Job) bool {
	for name, machineType := range s.l.block.MachineTypes {
		if !spec.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				at, refused := s.refused[autoscaler.Offer{MachineType: name, Zone: zone, Spot: spot}]
				if spec.Allows(name, zone, spot) && (!refused || s.l.c.now-at > refusalQuiet) {
					return true
				}
			}
		}
	}
	return false
}
