package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// renewal answers a guest's question for the right to run.
func (s *spiller) renewal(r *spill.Renewal) (*spill.RenewalAnswer, error) {
	c := s.l.c
	if s.policy == nil {
		return nil, spill.ErrNotHolder
	}
	answer := &spill.RenewalAnswer{Home: s.policy.Cell, Age: c.now - c.sync.succeededAt}
	for i := range r.Jobs {
		answer.Jobs = append(answer.Jobs, s.verdict(r, &r.Jobs[i]))
	}
	return answer, nil
}

// verdict answers a question about one job, and takes in what the guest tells of it.
func (s *spiller) verdict(r *spill.Renewal, report *spill.JobReport) spill.Verdict {
	c := s.l.c
	verdict := spill.Verdict{Job: report.Job, Token: report.Token}
	if end, ended := c.view.Final(report.Job); ended {
		verdict.Kind, verdict.End = spill.Ended, end
		if lending := s.lendings[report.Job]; lending != nil {
			lending.AnswerEnded(r.Guest, report)
		}
		return verdict
	}
	record, lending, job := c.view.LentOut[report.Job], s.lendings[report.Job], s.l.shard.Jobs[report.Job]
	if job != nil && job.HomeCell == "" {
		s.l.shard.CompleteElsewhere(job, report.Done, report.Complete, c.now)
		verdict.Confirmed = s.l.shard.StoredDone(job)
	}
	switch {
	case record != nil && record.State == spill.Unreadable:
	case lending != nil && lending.Record.State == spill.Lent && lending.Record.Token == report.Token:
		verdict.Kind = lending.Answer(r.Guest, report, r.WorkerLease, model.Seconds(c.set.Params.Workers.CancelS), c.now)
		verdict.Lease = lending.Record.Lease()
	default:
		verdict.Kind = spill.Revoked
	}
	return verdict
}
