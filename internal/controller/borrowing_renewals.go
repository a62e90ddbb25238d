package controller

import (
	"log/slog"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits of the renewals of execution leases.
const (
	renewalsPerLease = 6 // renewals in the duration of an execution lease
	maxRenewalPeriod = 1500 * model.Millisecond
	jobsPerRenewal   = 64
)

// renewalSchedule is the state of the renewals that are sent to one home cell.
type renewalSchedule struct {
	inFlight bool
	nextAt   model.Micros // when the next may be sent
	nextJob  int          // index of the job that the next begins with
}

// sendRenewals sends each home cell a renewal of the execution leases of the jobs that it
// has lent to this cell.
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
		schedule := s.renewals[home]
		if schedule == nil {
			schedule = &renewalSchedule{}
			s.renewals[home] = schedule
		}
		if schedule.inFlight || c.now < schedule.nextAt || !s.policy.HasNeighbour(home) {
			continue
		}
		schedule.inFlight = true
		c.cells.renew(msgRenewed{home: home, sentAt: c.now, token: s.leader.token, renewal: s.newRenewal(schedule, keys)})
	}
}

// newRenewal returns the next renewal for a home cell. It has up to jobsPerRenewal jobs;
// if there are more, successive renewals take turns over them.
func (s *spillManager) newRenewal(schedule *renewalSchedule, keys []string) *spill.Renewal {
	renewal := &spill.Renewal{ExecutionCell: s.policy.Cell, WorkerLease: model.Seconds(s.leader.controller.settings.Params.Workers.LeaseS)}
	schedule.nextAt = s.leader.controller.now + min(maxRenewalPeriod, s.policy.Lease/renewalsPerLease)
	if len(keys) > jobsPerRenewal {
		// Renew more often, so that each job is renewed as often as with fewer jobs.
		schedule.nextAt = s.leader.controller.now + (schedule.nextAt-s.leader.controller.now)*jobsPerRenewal/model.Micros(len(keys))
	}
	for i := range min(len(keys), jobsPerRenewal) {
		key := keys[(schedule.nextJob+i)%len(keys)]
		renewal.Jobs = append(renewal.Jobs, s.jobReport(key))
	}
	schedule.nextJob = (schedule.nextJob + len(renewal.Jobs)) % len(keys)
	return renewal
}

// jobReport returns this cell's report on a borrowed job. The call runs concurrently with
// the actor, so the report has a copy of the set of finished tasks.
func (s *spillManager) jobReport(key string) spill.JobReport {
	borrowed := s.borrowedJobs[key]
	report := spill.JobReport{Job: borrowedJobID(key), Token: borrowed.Token}
	job := s.borrowedJob(key)
	report.Returned = borrowed.ReportsReturned(job != nil && len(job.Bindings) > 0)
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

// renewalAnswered handles a home cell's answer to a renewal, or its failure.
func (s *spillManager) renewalAnswered(m msgRenewed) {
	c := s.leader.controller
	if schedule := s.renewals[m.home]; schedule != nil {
		schedule.inFlight = false
	}
	if m.err != nil {
		slog.Debug("renewal of execution leases failed", "home", m.home, "err", m.err)
		return
	}
	for i := range min(len(m.answer.Jobs), len(m.renewal.Jobs)) { // verdicts have the order of the renewal
		verdict := &m.answer.Jobs[i]
		key := spill.InKey(m.home, verdict.Job)
		borrowed := s.borrowedJobs[key]
		if borrowed == nil || borrowed.Token != verdict.Token || m.renewal.Jobs[i].Job != verdict.Job {
			continue
		}
		if job := s.borrowedJob(key); job != nil && job.FinalStatus == "" {
			s.leader.shard.ConfirmCompletions(job, verdict.Confirmed)
		}
		borrowed.ApplyVerdict(verdict, m.renewal.Jobs[i].Returned, m.sentAt, m.answer.Age)
	}
	s.applyExecutionLeases()
	s.stepBorrowedJobs()
	c.leading.provisioningSchedule.runSoon()
}
