package controller

import (
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// leaseMismatchPause is how long a cell is not asked whose workers' lease does not fit.
const leaseMismatchPause = 60 * model.Second

// sendOffer asks a cell whether it takes a job, with token 0, or offers what is lent to it. The
// call goes on beside the actor, so it gets a set of finished tasks of its own.
func (s *spillManager) sendOffer(jobID, cell string, token uint64) {
	c := s.leader.controller
	job, view := s.leader.shard.Jobs[jobID], c.view.Jobs[jobID]
	if c.cells == nil || job == nil || view == nil || view.Submission == nil || s.policy == nil {
		return
	}
	offer := &spill.Offer{Home: s.policy.Cell, Token: token, Spec: view.Submission, Done: slices.Clone(job.Done.Bytes()), Trace: s.lendingTrace(jobID)}
	c.cells.offer(msgOffered{cell: cell, job: jobID, sentAt: c.now, token: s.leader.token, offer: offer})
}

// lendingTrace is the trace of a lending, "" if there is none.
func (s *spillManager) lendingTrace(jobID string) string {
	if lent := s.lentJobs[jobID]; lent != nil {
		return lent.Record.Trace
	}
	return ""
}

// offerAnswered takes a cell's answer to an offer.
func (s *spillManager) offerAnswered(m msgOffered) {
	c := s.leader.controller
	pacer := s.pacer(m.cell)
	if m.offer.Token == 0 {
		delete(s.probed, m.cell)
	}
	if m.err != nil {
		pacer.RecordFailure(0, c.jitter(), c.now)
		slog.Debug("offer", "cell", m.cell, "err", m.err)
		return
	}
	if m.answer.Refusal != spill.NotRefused {
		pacer.RecordFailure(m.answer.RetryAfter, c.jitter(), c.now)
		slog.Info("offer refused", "job", m.job, "cell", m.cell, "why", m.answer.Refusal, "detail", m.answer.Detail)
		if lent := s.lentJobs[m.job]; lent != nil && lent.Record.Token == m.offer.Token {
			lent.MarkRefused()
		}
		return
	}
	pacer.RecordSuccess(c.now-m.sentAt, c.now)
	if m.offer.Token == 0 {
		s.lend(m.job, m.cell, m.answer.WorkerLease)
		s.lastProbeAt = 0 // the next may follow at once
	}
}

// lend decides that a job is lent. Nothing of it is bound from now on; it is offered once
// the record is durable.
func (s *spillManager) lend(jobID, cell string, workerLease model.Micros) {
	c := s.leader.controller
	job := s.leader.shard.Jobs[jobID]
	if !s.isEnabled() || job == nil || !s.mayLend(job) || !s.policy.HasNeighbour(cell) {
		return
	}
	cancel := model.Seconds(c.settings.Params.Workers.CancelS)
	if !spill.FitsCancel(s.policy.Lease, workerLease, cancel) {
		if !s.leaseMismatches[cell] {
			s.leaseMismatches[cell] = true
			slog.Error("nothing is lent to this cell: its workers' lease does not fit into cancel_s", "cell", cell, "lease_s", workerLease.Seconds(), "cancel_s", cancel.Seconds())
		}
		s.pacer(cell).RecordFailure(leaseMismatchPause, c.jitter(), c.now)
		return
	}
	record := spill.OutRecord{
		Cell:          cell,
		Token:         s.leader.shard.NextAttempt(),
		State:         spill.Lent,
		SinceMs:       c.wallClockMs(),
		LeaseUs:       int64(s.policy.Lease),
		WorkerLeaseUs: int64(workerLease),
		Team:          job.Team,
		CoresMilli:    int64(job.Request.Cores) * int64(job.Tasks),
		GPUsMilli:     int64(job.Request.GPUs) * int64(job.Tasks),
	}
	record.Trace = recordSpan("", "lend", jobID, attribute.String("cell", cell), attribute.Int64("token", int64(record.Token)))
	s.suspendLent(jobID)
	s.reserve(jobID, &record)
	s.queueChange(spill.OutKey(jobID), spillChange{value: record, jobID: jobID})
}
