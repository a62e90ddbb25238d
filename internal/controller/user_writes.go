package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

const (
	// userWriteDeadline is how long a user's write may wait in the queue.
	userWriteDeadline = 4 * model.Second
	// maxUserTxnBytes limits the estimated size of a transaction of user writes.
	maxUserTxnBytes = 40_000
	// userWriteOverhead is the estimated size of a write's key and condition in a
	// transaction, in bytes.
	userWriteOverhead = 200
	// cancellationBytes is the estimated size of the record of a cancelled job.
	cancellationBytes = 600
)

// userWrite is an acceptance or cancellation of a job that waits to be written to the state
// service.
type userWrite struct {
	jobID      string
	submission *model.Submission // nil for a cancellation
	replies    []chan<- userapi.Answer
	deadline   model.Micros
}

func (w *userWrite) isCancellation() bool { return w.submission == nil }

func (w *userWrite) answer(answer userapi.Answer) {
	for _, reply := range w.replies {
		reply <- answer
	}
	w.replies = nil
}

// userWriteQueue holds the user writes that wait for a transaction, in the order in
// which they are to be written.
type userWriteQueue struct {
	queue []userWrite
}

func (q *userWriteQueue) append(writes ...userWrite) { q.queue = append(q.queue, writes...) }

// prepend queues writes before all others.
func (q *userWriteQueue) prepend(writes ...userWrite) { q.queue = append(writes, q.queue...) }

// joinSubmission adds a reply to a queued submission of the same job, if there is one.
func (q *userWriteQueue) joinSubmission(jobID string, reply chan<- userapi.Answer) bool {
	for i := range q.queue {
		if write := &q.queue[i]; write.jobID == jobID && !write.isCancellation() {
			write.replies = append(write.replies, reply)
			return true
		}
	}
	return false
}

// expire answers and removes the writes whose deadline has passed.
func (q *userWriteQueue) expire(now model.Micros) {
	q.queue = slices.DeleteFunc(q.queue, func(write userWrite) bool {
		if now < write.deadline {
			return false
		}
		write.answer(userapi.Error(http.StatusServiceUnavailable, "try again", 1))
		return true
	})
}

// userBatch is a transaction of user writes under construction. The transaction's
// operations are in the order of the writes.
type userBatch struct {
	txn    *state.Txn
	writes []userWrite
	jobIDs map[string]bool
	bytes  int
}

func newUserBatch() *userBatch {
	return &userBatch{txn: &state.Txn{}, jobIDs: map[string]bool{}}
}

// hasRoomFor reports whether a write can be added. No batch has two writes to the same job,
// because the condition of the second would not hold.
func (b *userBatch) hasRoomFor(jobID string, size, limit int) bool {
	return len(b.writes) < limit && b.bytes+size <= maxUserTxnBytes && !b.jobIDs[jobID]
}

// add adds a write under the condition that the job's record is at a revision.
func (b *userBatch) add(write userWrite, record shard.JobRecord, size int, revision uint64) {
	key := state.JobKey(write.jobID)
	b.txn.Conditions = append(b.txn.Conditions, state.Condition{Path: key, Revision: revision})
	b.txn.Then = append(b.txn.Then, state.Op{Set: key, Value: record})
	b.writes = append(b.writes, write)
	b.jobIDs[write.jobID] = true
	b.bytes += size + userWriteOverhead
}

// sendUserWrites sends the next transaction of queued user writes, if a lane is free.
func (c *controller) sendUserWrites() {
	if len(c.userWrites.queue) == 0 {
		return
	}
	c.userWrites.expire(c.now)
	free, ok := c.lanes.findFreeUserLane(c.now)
	if !ok {
		return
	}
	limit := min(len(c.userWrites.queue), c.limits.TxnOps, c.writeBudget.Left(c.now))
	if limit <= 0 {
		return
	}
	batch := c.takeUserBatch(limit)
	if len(batch.writes) == 0 {
		return
	}
	c.send(free, msgCommitted{txn: batch.txn, userWrites: batch.writes})
}

// takeUserBatch moves as many queued writes as fit into a batch. Writes that no longer need
// a transaction or can't be encoded are answered at once.
func (c *controller) takeUserBatch(limit int) *userBatch {
	batch := newUserBatch()
	var rest []userWrite
	for _, write := range c.userWrites.queue {
		if end, ended := c.view.EffectiveEnd(write.jobID); ended && write.isCancellation() {
			// The job ended while its cancellation was queued. The view already includes
			// the end, so the condition would hold and the end would be overwritten.
			write.answer(userapi.Accepted(http.StatusOK, write.jobID, end))
			continue
		}
		record, size, err := c.userRecord(&write)
		if err != nil {
			write.answer(userapi.Error(http.StatusBadRequest, err.Error(), 0))
			continue
		}
		if !batch.hasRoomFor(write.jobID, size, limit) {
			rest = append(rest, write)
			continue
		}
		batch.add(write, record, size, c.expectedRevision(&write))
	}
	c.userWrites.queue = rest
	return batch
}

// userRecord returns the job record that a write stores, and its approximate size in bytes.
func (c *controller) userRecord(write *userWrite) (record shard.JobRecord, size int, err error) {
	if write.isCancellation() {
		return c.cancelledRecord(c.view.Jobs[write.jobID].Submission), cancellationBytes, nil
	}
	raw, err := json.Marshal(write.submission)
	if err != nil {
		return shard.JobRecord{}, 0, err
	}
	return shard.JobRecord{Spec: write.submission}, len(raw), nil
}

// expectedRevision returns the revision that the job's record must have for a write. For an
// acceptance it is 0: there must be no record yet.
func (c *controller) expectedRevision(write *userWrite) uint64 {
	if write.isCancellation() {
		return c.view.AcceptedRevision(write.jobID)
	}
	return 0
}

// userWritesCommitted handles the outcome of a transaction of user writes.
func (c *controller) userWritesCommitted(m msgCommitted) {
	switch {
	case errors.Is(m.err, state.ErrBusy):
		c.writeBudget.Drain(c.now)
		c.lanes.pauseUntil(laneUsers, c.now+writeRetryPause)
		c.userWrites.prepend(m.userWrites...)
	case errors.Is(m.err, state.ErrTooBig):
		c.lowerStateLimits(m.err)
		c.userWrites.prepend(m.userWrites...)
	case m.err != nil:
		c.lanes.pauseUntil(laneUsers, c.now+writeRetryPause)
		for i := range m.userWrites {
			m.userWrites[i].answer(userapi.Error(http.StatusServiceUnavailable, "state not reachable", 1))
		}
	case m.result.OK:
		c.userWritesDurable(m)
	default:
		c.userWritesConflicted(m)
	}
}

// userWritesDurable applies committed writes to the view, and answers them.
func (c *controller) userWritesDurable(m msgCommitted) {
	for i := range m.userWrites {
		write := &m.userWrites[i]
		op := m.txn.Then[i]
		c.view.Put(op.Set, op.Value, m.result.Revision)
		if write.isCancellation() {
			write.answer(userapi.Accepted(http.StatusOK, write.jobID, model.JobCancelled))
		} else {
			write.answer(userapi.Accepted(http.StatusCreated, write.jobID, model.JobPending))
		}
		c.jobChanged(write.jobID)
	}
}

// userWritesConflicted handles a transaction some of whose conditions did not hold. Writes
// whose own condition held are queued again; the others are resolved after a read barrier,
// against the records of the state service.
func (c *controller) userWritesConflicted(m msgCommitted) {
	conflicted := map[string]bool{}
	for _, path := range m.result.Failed {
		conflicted[strings.TrimPrefix(path, state.JobPrefix)] = true
	}
	for _, write := range m.userWrites {
		if !conflicted[write.jobID] {
			c.userWrites.append(write)
			continue
		}
		c.sync.afterReadBarrier(func(ok bool) { c.resolveConflict(write, ok) })
	}
}

// resolveConflict answers a write whose job was changed by another write first, or queues
// it again if that change does not determine the answer. synced reports whether the read
// barrier succeeded.
func (c *controller) resolveConflict(write userWrite, synced bool) {
	status, _, _, known := c.view.Status(write.jobID)
	_, ended := c.view.EffectiveEnd(write.jobID)
	switch {
	case !synced:
		write.answer(c.stateUnreachable())
	case known && (!write.isCancellation() || ended):
		write.answer(userapi.Accepted(http.StatusOK, write.jobID, status))
	default:
		c.userWrites.append(write)
	}
}
