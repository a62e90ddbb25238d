package controller

import (
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// leaseMismatchPause is how long no offers are sent to a cell whose worker lease is too long.
const leaseMismatchPause = 60 * model.Second

// sendOffer sends a cell an offer: with token 0 it only asks whether the cell would accept
// the job, else it offers a job that is lent to it. The call runs concurrently with the
// actor, so the offer has a copy of the set of finished tasks.
func (s *spillManager) sendOffer(jobID, cell string, token uint64) {
	c := s.leader.controller
	job, jobView := s.leader.shard.Jobs[jobID], c.view.Jobs[jobID]
	if c.cells == nil || job == nil || jobView == nil || jobView.Submission == nil || s.policy == nil {
		return
	}
	offer := &spill.Offer{Home: s.policy.Cell, Token: token, Spec: jobView.Submission, Done: slices.Clone(job.Done.Bytes()), Trace: s.lendingTrace(jobID)}
	c.cells.offer(msgOffered{cell: cell, job: jobID, sentAt: c.now, token: s.leader.token, offer: offer})
}

// lendingTrace returns the trace context of a job's lending, "" if there is none.
func (s *spillManager) lendingTrace(jobID string) string {
	if lent := s.lentJobs[jobID]; lent != nil {
		return lent.Record.Trace
	}
	return ""
}

// offerAnswered handles a cell's answer to an offer, or its failure.
func (s *spillManager) offerAnswered(m msgOffered) {
	c := s.leader.controller
	pacer := s.pacer(m.cell)
	if m.offer.Token == 0 {
		delete(s.probed, m.cell)
	}
	if m.err != nil {
		pacer.RecordFailure(0, c.jitter(), c.now)
		slog.Debug("offer failed", "cell", m.cell, "err", m.err)
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
		s.lastProbeAt = 0 // the next probe may follow at once
	}
}

// lend decides to lend a job. From now on none of its tasks is bound here. The job is
// offered once the record of the lending is durable.
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
			slog.Error("no jobs are lent to this cell: its worker lease is too long for cancel_s", "cell", cell, "lease_s", workerLease.Seconds(), "cancel_s", cancel.Seconds())
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
