package controller

import (
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// misfitPause is how long a cell is not asked whose workers' lease does not fit.
const misfitPause = 60 * model.Second

// offer asks a cell whether it takes a job, with token 0, or offers what is lent to it. The
// call goes on beside the actor, so it gets a set of finished tasks of its own.
func (s *spiller) offer(jobID, cell string, token uint64) {
	c := s.l.c
	job, view := s.l.shard.Jobs[jobID], c.view.Jobs[jobID]
	if c.cells == nil || job == nil || view == nil || view.Submission == nil || s.policy == nil {
		return
	}
	offer := &spill.Offer{Home: s.policy.Cell, Token: token, Spec: view.Submission, Done: slices.Clone(job.Done.Bytes()), Trace: s.traceOf(jobID)}
	c.cells.offer(msgOffered{cell: cell, job: jobID, sent: c.now, term: s.l.token, offer: offer})
}

// traceOf is the trace of a lending, "" if there is none.
func (s *spiller) traceOf(jobID string) string {
	if lending := s.lendings[jobID]; lending != nil {
		return lending.Record.Trace
	}
	return ""
}

// offered takes a cell's answer to an offer.
func (s *spiller) offered(m msgOffered) {
	c := s.l.c
	contact := s.contact(m.cell)
	if m.offer.Token == 0 {
		delete(s.probing, m.cell)
	}
	if m.err != nil {
		contact.Failed(0, c.jitter(), c.now)
		slog.Debug("offer", "cell", m.cell, "err", m.err)
		return
	}
	if m.answer.Refusal != spill.NotRefused {
		contact.Failed(m.answer.RetryAfter, c.jitter(), c.now)
		slog.Info("offer refused", "job", m.job, "cell", m.cell, "why", m.answer.Refusal, "detail", m.answer.Detail)
		if lending := s.lendings[m.job]; lending != nil && lending.Record.Token == m.offer.Token {
			lending.Refuse()
		}
		return
	}
	contact.Answered(c.now-m.sent, c.now)
	if m.offer.Token == 0 {
		s.lend(m.job, m.cell, m.answer.WorkerLease)
		s.candidateAt = 0 // the next may follow at once
	}
}

// lend decides that a job is lent. Nothing of it is bound from now on; it is offered once
// the record is durable.
func (s *spiller) lend(jobID, cell string, workerLease model.Micros) {
	c := s.l.c
	job := s.l.shard.Jobs[jobID]
	if !s.enabled() || job == nil || !s.mayLend(job) || !s.policy.Knows(cell) {
		return
	}
	cancel := model.Seconds(c.set.Params.Workers.CancelS)
	if !spill.FitsCancel(s.policy.Lease, workerLease, cancel) {
		if !s.misfits[cell] {
			s.misfits[cell] = true
			slog.Error("nothing is lent to this cell: its workers' lease does not fit into cancel_s", "cell", cell, "lease_s", workerLease.Seconds(), "cancel_s", cancel.Seconds())
		}
		s.contact(cell).Failed(misfitPause, c.jitter(), c.now)
		return
	}
	record := spill.OutRecord{
		Cell:          cell,
		Token:         s.l.shard.NextAttempt(),
		State:         spill.Lent,
		SinceMs:       c.wall(),
		LeaseUs:       int64(s.policy.Lease),
		WorkerLeaseUs: int64(workerLease),
		Team:          job.Team,
		CoresMilli:    int64(job.Request.Cores) * int64(job.Tasks),
		GPUsMilli:     int64(job.Request.GPUs) * int64(job.Tasks),
	}
	record.Trace = noteStep("", "lend", jobID, attribute.String("cell", cell), attribute.Int64("token", int64(record.Token)))
	s.keepHome(jobID)
	s.reserve(jobID, &record)
	s.want(spill.OutKey(jobID), spillChange{value: record, jobID: jobID})
}
