package controller

import (
	"strings"

	"woadweir/internal/spill"
	"woadweir/internal/state"
)

// spillChange is a change of a record of spilling that is to be made durable. It is
// repeated as it is until the view shows it, or it is pointless: a copy of it that got no
// answer may still be carried out.
type spillChange struct {
	value any    // nil: the record is removed
	jobID string // a job of this cell that must not have changed, "": none
}

// queueChange has a change made durable, in the place of an earlier one of the same record.
func (s *spillManager) queueChange(key string, change spillChange) { s.pendingChanges[key] = change }

// writeChanges sends the changes that are due, one transaction at a time. Each is guarded by the
// grant and by the record's own revision, and a lending by that of the job: a job that
// has ended is never lent.
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
			txn.Conditions = append(txn.Conditions, state.Condition{Path: state.JobKey(change.jobID), Revision: c.view.Revisions[state.JobKey(change.jobID)]})
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

// isSettled tells that a change stands in the view, or that it is pointless.
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

// committed takes the end of a transaction of spill records.
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
