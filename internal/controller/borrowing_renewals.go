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

// renewalSchedule is how a guest's questions to one home cell stand.
type renewalSchedule struct {
	inFlight bool
	nextAt   model.Micros // when the next may be sent
	nextJob  int          // the job with which the next begins
}

// sendRenewals asks each home cell for the right to go on with what it has lent.
func (s *spillManager) sendRenewals() {
	c := s.leader.controller
	if c.cells == nil || !c.authority.IsValid(c.now) {
		return
	}
	byHome := map[string][]string{}
	for _, key := range sortedKeys(s.borrowedJobs) {
		home := s.borrowedJobs[key].Home
		byHome[home] = append(byHome[home], key)
	}
	for home, keys := range byHome {
		renewal := s.renewals[home]
		if renewal == nil {
			renewal = &renewalSchedule{}
			s.renewals[home] = renewal
		}
		if renewal.inFlight || c.now < renewal.nextAt || !s.policy.HasNeighbour(home) {
			continue
		}
		renewal.inFlight = true
		c.cells.renew(msgRenewed{home: home, sentAt: c.now, token: s.leader.token, renewal: s.newRenewal(renewal, keys)})
	}
}

// newRenewal is what a home cell is asked next: about as many jobs as a question may name,
// in turn.
func (s *spillManager) newRenewal(renewal *renewalSchedule, keys []string) *spill.Renewal {
	r := &spill.Renewal{ExecutionCell: s.policy.Cell, WorkerLease: model.Seconds(s.leader.controller.settings.Params.Workers.LeaseS)}
	renewal.nextAt = s.leader.controller.now + min(maxRenewalPeriod, s.policy.Lease/renewalsPerLease)
	if len(keys) > jobsPerRenewal {
		// All of them are to be asked about in the same time.
		renewal.nextAt = s.leader.controller.now + (renewal.nextAt-s.leader.controller.now)*jobsPerRenewal/model.Micros(len(keys))
	}
	for i := range min(len(keys), jobsPerRenewal) {
		key := keys[(renewal.nextJob+i)%len(keys)]
		r.Jobs = append(r.Jobs, s.jobReport(key))
	}
	renewal.nextJob = (renewal.nextJob + len(r.Jobs)) % len(keys)
	return r
}

// jobReport is what this cell knows of a lent job. The call goes on beside the actor, so it
// gets a set of finished tasks of its own.
func (s *spillManager) jobReport(key string) spill.JobReport {
	hosting := s.borrowedJobs[key]
	report := spill.JobReport{Job: borrowedJobID(key), Token: hosting.Token}
	job := s.borrowedJob(key)
	report.Returned = hosting.ReportsReturned(job != nil && len(job.Bindings) > 0)
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

// renewalAnswered takes a home cell's answer.
func (s *spillManager) renewalAnswered(m msgRenewed) {
	c := s.leader.controller
	if renewal := s.renewals[m.home]; renewal != nil {
		renewal.inFlight = false
	}
	if m.err != nil {
		slog.Debug("renewal", "home", m.home, "err", m.err)
		return
	}
	for i := range min(len(m.answer.Jobs), len(m.renewal.Jobs)) { // in the order of the question
		verdict := &m.answer.Jobs[i]
		key := spill.InKey(m.home, verdict.Job)
		hosting := s.borrowedJobs[key]
		if hosting == nil || hosting.Token != verdict.Token || m.renewal.Jobs[i].Job != verdict.Job {
			continue
		}
		if job := s.borrowedJob(key); job != nil && job.FinalStatus == "" {
			s.leader.shard.ConfirmCompletions(job, verdict.Confirmed)
		}
		hosting.ApplyVerdict(verdict, m.renewal.Jobs[i].Returned, m.sentAt, m.answer.Age)
	}
	s.applyExecutionLeases()
	s.stepBorrowedJobs()
	c.leading.provisioning.runSoon()
}
