package controller

import (
	"log/slog"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits of the questions for the right to run lent jobs.
const (
	renewalsPerLease = 6 // questions in the time for which a right is granted
	maxRenewalPeriod = 1500 * model.Millisecond
	jobsPerRenewal   = 64
)

// renewalState is how a guest's questions to one home cell stand.
type renewalState struct {
	busy  bool
	askAt model.Micros // when the next may be sent
	next  int          // the job with which the next begins
}

// renew asks each home cell for the right to go on with what it has lent.
func (s *spiller) renew() {
	c := s.l.c
	if c.cells == nil || !c.auth.IsValid(c.now) {
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
	renewal.askAt = s.l.c.now + min(maxRenewalPeriod, s.policy.Lease/renewalsPerLease)
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
	job := s.guestJob(key)
	report.Returned = hosting.Report(job != nil && len(job.Bindings) > 0)
	if job == nil {
		return report
	}
	report.Complete, report.Done = job.EndPending, slices.Clone(job.Done.Bytes())
	for _, bindings := range job.Bindings {
		for _, binding := range bindings {
			if binding.Status >= model.WaitingForGang && binding.Status != model.Exited {
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
		if job := s.guestJob(key); job != nil && job.Ended == "" {
			s.l.shard.Confirm(job, verdict.Confirmed)
		}
		hosting.Heard(verdict, m.renewal.Jobs[i].Returned, m.sent, m.answer.Age)
	}
	s.applyRights()
	s.stepHostings()
	c.leading.schedule.runSoon()
}
