package controller

import (
	"errors"
	"log/slog"

	"woadweir/internal/core/shard"
	"woadweir/internal/state"
)

// maxTxnBytes limits the values of a transaction, so that it stays within the state
// service's 64 KiB with room for keys and conditions.
const maxTxnBytes = 48 << 10

// writeBindings writes the scheduler's changes to the state service, one transaction at a
// time.
func (l *leader) writeBindings() {
	c := l.controller
	if !c.lanes.isFree(laneBindings, c.now) || l.resync || l.shard.PendingWrites() == 0 {
		return
	}
	limit := min(c.limits.TxnOps, c.writeBudget.Left(c.now))
	if limit < 1 {
		return
	}
	l.shard.Params.DenseBundles = c.usesDenseLayout()
	writes := l.withoutEndedJobs(l.shard.Writes(limit, maxTxnBytes))
	if len(writes) == 0 {
		return
	}
	for i := range writes {
		if record, ok := writes[i].Value.(shard.JobRecord); ok {
			record.EndedMs = c.wallClockMs()
			writes[i].Value = record
		}
	}
	c.send(laneBindings, msgCommitted{txn: l.bindingsTxn(writes), writes: writes, token: l.token})
}

// withoutEndedJobs removes the ends of jobs that have ended already according to the view, and
// ends these jobs in the scheduler: an end is written only once.
func (l *leader) withoutEndedJobs(writes []shard.Write) []shard.Write {
	c := l.controller
	kept := make([]shard.Write, 0, len(writes))
	for _, write := range writes {
		jobID, isEnd := write.EndedJob()
		end, ended := c.view.EffectiveEnd(jobID)
		if !isEnd || !ended {
			kept = append(kept, write)
			continue
		}
		slog.Error("the scheduler has completed a job that has ended already: the first end stays", "job", jobID, "end", end)
		l.shard.EndJob(jobID, end, c.now)
	}
	return kept
}

// bindingsTxn returns the transaction for the scheduler's writes. It is conditional on the
// grant, on the acceptance of every job that it ends, and on the known revision of every other
// key, so that a duplicate that is executed late changes nothing.
func (l *leader) bindingsTxn(writes []shard.Write) *state.Txn {
	txn := &state.Txn{Conditions: []state.Condition{{Path: grantKey, Revision: l.token}}}
	for _, write := range writes {
		key, revision := l.writeCondition(&write)
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: revision})
		txn.Then = append(txn.Then, state.Op{Set: key, Value: write.Value})
	}
	return txn
}

// writeCondition returns the key of a write, and the revision that it must have.
func (l *leader) writeCondition(write *shard.Write) (key string, revision uint64) {
	view := l.controller.view
	if jobID, isEnd := write.EndedJob(); isEnd {
		return write.Key, view.AcceptedRevision(jobID)
	}
	key = state.BundleKey(shardName, write.Slot)
	return key, view.Revisions[key]
}

// bindingsCommitted handles the outcome of a transaction of the scheduler's writes.
func (l *leader) bindingsCommitted(m msgCommitted) {
	c := l.controller
	switch {
	case m.err != nil:
		l.bindingsFailed(m)
	case m.result.OK:
		c.view.Apply(m.txn, m.result.Revision)
		l.shard.Committed(m.writes, c.now)
	default:
		slog.Info("transaction of bindings refused: records have changed since the view was read", "keys", m.result.Failed)
		if m.lostGrant() {
			c.stepDown(reasonGrantLost)
			return
		}
		l.shard.Retry(m.writes, false)
		l.needSync()
	}
}

// bindingsFailed makes the scheduler retry writes that were refused or got no answer, in
// smaller pieces if they were too large.
func (l *leader) bindingsFailed(m msgCommitted) {
	slog.Debug("transaction of bindings failed", "err", m.err)
	if errors.Is(m.err, state.ErrTooBig) {
		l.controller.lowerStateLimits(m.err)
		l.shard.Params.MaxValue = l.controller.maxValueBytes()
		l.shard.RetryTooLarge(m.writes)
	} else {
		l.shard.Retry(m.writes, !state.NotExecuted(m.err))
	}
	if l.controller.writeFailed(m) {
		l.needSync()
	}
}
