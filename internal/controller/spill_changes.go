package controller

import (
	"strings"

	"woadweir/internal/spill"
	"woadweir/internal/state"
)

// spillChange is a change of a spill record that is to be written. It is repeated unchanged
// until the view shows it or it has become pointless, because a copy of it that got no
// answer may still be executed.
type spillChange struct {
	value any    // nil: the record is removed
	jobID string // a job of this cell whose record must not have changed, "": none
}

// queueChange queues a change. It replaces an earlier one of the same record.
func (s *spillManager) queueChange(key string, change spillChange) { s.pendingChanges[key] = change }

// writeChanges sends the queued changes, one transaction at a time. Each change is
// conditional on the grant and on the record's own revision. A lending is also conditional
// on the acceptance of the job, so that a job that has ended is never lent.
func (s *spillManager) writeChanges() {
	c := s.leader.controller
	if !c.lanes.isFree(laneSpill, c.now) || s.resync || len(s.pendingChanges) == 0 {
		return
	}
	limit := min(c.limits.TxnOps, c.writeBudget.Left(c.now))
	txn := &state.Txn{Conditions: []state.Condition{{Path: grantKey, Revision: s.leader.token}}}
	for _, key := range sortedKeys(s.pendingChanges) {
		change := s.pendingChanges[key]
		if s.isSettled(key, change) {
			delete(s.pendingChanges, key)
			s.recordChanged(key)
			continue
		}
		if len(txn.Then) >= limit {
			break
		}
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: c.view.Revisions[key]})
		if change.jobID != "" {
			txn.Conditions = append(txn.Conditions, state.Condition{Path: state.JobKey(change.jobID), Revision: c.view.AcceptedRevision(change.jobID)})
		}
		if change.value == nil {
			txn.Then = append(txn.Then, state.Op{Drop: key})
		} else {
			txn.Then = append(txn.Then, state.Op{Set: key, Value: change.value})
		}
	}
	if len(txn.Then) > 0 {
		c.send(laneSpill, msgCommitted{txn: txn, token: s.leader.token})
	}
}

// isSettled reports whether the view shows a change, or the change has become pointless.
func (s *spillManager) isSettled(key string, change spillChange) bool {
	view := s.leader.controller.view
	if change.jobID != "" {
		if _, ended := view.EffectiveEnd(change.jobID); ended {
			return true
		}
	}
	switch value := change.value.(type) {
	case spill.OutRecord:
		record := view.LentJobs[strings.TrimPrefix(key, spill.OutPrefix)]
		return record != nil && *record == value
	case spill.InRecord:
		record := view.BorrowedJobs[key]
		return record != nil && record.Token == value.Token && record.State == value.State
	default:
		_, exists := view.Revisions[key]
		return !exists
	}
}

// committed handles the outcome of a transaction of spill records.
func (s *spillManager) committed(m msgCommitted) {
	c := s.leader.controller
	if m.err == nil && m.result.OK {
		c.view.Apply(m.txn, m.result.Revision)
		for _, op := range m.txn.Then {
			key := op.Set + op.Drop // one of them is empty
			if change, pending := s.pendingChanges[key]; pending && s.isSettled(key, change) {
				delete(s.pendingChanges, key)
			}
			s.recordChanged(key)
		}
		return
	}
	if m.lostGrant() {
		c.stepDown(reasonGrantLost)
		return
	}
	if c.writeFailed(m) {
		c.needSync(&s.resync)
	}
}
