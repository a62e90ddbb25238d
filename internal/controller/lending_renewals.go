package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// answerRenewal answers an execution cell's renewal of its execution leases.
func (s *spillManager) answerRenewal(renewal *spill.Renewal) (*spill.RenewalAnswer, error) {
	c := s.leader.controller
	if s.policy == nil {
		return nil, spill.ErrNotHolder
	}
	answer := &spill.RenewalAnswer{Home: s.policy.Cell, Age: c.now - c.sync.succeededAt}
	for i := range renewal.Jobs {
		answer.Jobs = append(answer.Jobs, s.verdict(renewal, &renewal.Jobs[i]))
	}
	return answer, nil
}

// verdict returns the answer for one job of a renewal, and records what the execution cell
// reports on the job.
func (s *spillManager) verdict(renewal *spill.Renewal, report *spill.JobReport) spill.Verdict {
	c := s.leader.controller
	verdict := spill.Verdict{Job: report.Job, Token: report.Token}
	if end, ended := c.view.EffectiveEnd(report.Job); ended {
		verdict.Kind, verdict.End = spill.Ended, end
		if lent := s.lentJobs[report.Job]; lent != nil {
			lent.RecordReportAfterEnd(renewal.ExecutionCell, report)
		}
		return verdict
	}
	record, lent, job := c.view.LentJobs[report.Job], s.lentJobs[report.Job], s.leader.shard.Jobs[report.Job]
	if job != nil && job.HomeCell == "" {
		s.leader.shard.RecordRemoteCompletions(job, report.Done, report.Complete, c.now)
		verdict.Confirmed = s.leader.shard.DurableCompletions(job)
	}
	switch {
	case record != nil && record.State == spill.Unreadable:
	case lent != nil && lent.Record.State == spill.Lent && lent.Record.Token == report.Token:
		verdict.Kind = lent.AnswerRenewal(renewal.ExecutionCell, report, renewal.WorkerLease, model.Seconds(c.settings.Params.Workers.CancelS), c.now)
		verdict.Lease = lent.Record.Lease()
	default:
		verdict.Kind = spill.Revoked
	}
	return verdict
}
