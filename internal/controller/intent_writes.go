package controller

import (
	"log/slog"

	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// findFreeKey returns a key for a draft: one whose intent is finished, or a new one.
func (l *leader) findFreeKey(draft *intentDraft, usedKeys map[string]bool) string {
	for slot := 0; ; slot++ {
		key := duty.ReturnKey(slot)
		if draft.rental != nil {
			key = duty.RentalKey(slot)
		}
		if !usedKeys[key] && l.isKeyFree(key) {
			return key
		}
	}
}

// isKeyFree reports whether a key may be reused for another intent.
func (l *leader) isKeyFree(key string) bool {
	if rental := l.controller.view.Rentals[key]; rental != nil {
		at, seen := l.intents.finishedAt[key]
		return rental.State == duty.Refused || rental.State == duty.Filled && seen && l.controller.now-at >= duty.RetainRental
	}
	returnIntent := l.controller.view.Returns[key]
	return returnIntent == nil || returnIntent.State != duty.Open && l.intents.returns[key] == nil
}

// writeIntents writes the leader's queued intents, as many as the limits allow.
func (l *leader) writeIntents() {
	c := l.controller
	if !c.lanes.isFree(laneIntent, c.now) || l.resync || len(l.intents.queue) == 0 {
		return
	}
	limit := min(c.limits.TxnOps, c.duties.maxIntentWrites(l.intents.sentAt))
	if limit < 1 {
		return
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: grantKey, Revision: l.token}}}
	usedKeys := map[string]bool{}
	machines := 0
	for len(l.intents.queue) > 0 && len(txn.Then) < limit && machines <= maxTxnMachines {
		draft := l.intents.queue[0]
		l.intents.queue = l.intents.queue[1:]
		if l.isStored(draft) {
			l.awaitOutcome(draft)
			continue
		}
		if draft.slotKey == "" || usedKeys[draft.slotKey] || !l.isKeyFree(draft.slotKey) {
			draft.slotKey = l.findFreeKey(draft, usedKeys)
		}
		usedKeys[draft.slotKey] = true
		txn.Conditions = append(txn.Conditions, state.Condition{Path: draft.slotKey, Revision: c.view.Revisions[draft.slotKey]})
		txn.Then = append(txn.Then, draft.op())
		if draft.returnIntent != nil {
			machines += len(draft.returnIntent.Machines)
		}
		l.intents.inFlight = append(l.intents.inFlight, draft)
	}
	if len(txn.Then) > 0 {
		l.intents.sentAt = c.now
		c.send(laneIntent, msgCommitted{txn: txn, token: l.token})
	}
}

// op returns the operation that writes a draft's record.
func (d *intentDraft) op() state.Op {
	if d.rental != nil {
		return state.Op{Set: d.slotKey, Value: *d.rental}
	}
	return state.Op{Set: d.slotKey, Value: *d.returnIntent}
}

// intentsCommitted handles the outcome of a transaction of intents.
func (l *leader) intentsCommitted(m msgCommitted) {
	c := l.controller
	drafts := l.intents.inFlight
	l.intents.inFlight = nil
	if m.err == nil && m.result.OK {
		c.view.Apply(m.txn, m.result.Revision)
		for _, draft := range drafts {
			l.awaitOutcome(draft)
		}
		return
	}
	// The next synchronization of the view shows whether the transaction was executed.
	l.intents.queue = append(drafts, l.intents.queue...)
	switch {
	case m.lostGrant():
		slog.Info("fenced write refused", "duty", duty.Reclaiming, "token", l.token, "keys", m.result.Failed)
		c.stepDown(reasonGrantLost)
	case c.writeFailed(m):
		l.needSync()
	}
}
