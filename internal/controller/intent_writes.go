package controller

import (
	"log/slog"

	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// freeKey finds a key for a draft: one whose intent is finished, or a new one.
func (l *leader) freeKey(draft *intentDraft, taken map[string]bool) string {
	for slot := 0; ; slot++ {
		key := duty.ReturnKey(slot)
		if draft.rental != nil {
			key = duty.RentalKey(slot)
		}
		if !taken[key] && l.keyFree(key) {
			return key
		}
	}
}

// keyFree reports whether a key may be used for another intent.
func (l *leader) keyFree(key string) bool {
	if rental := l.c.view.Rentals[key]; rental != nil {
		at, seen := l.intents.finishedAt[key]
		return rental.State == duty.Refused || rental.State == duty.Filled && seen && l.c.now-at >= duty.RetainRental
	}
	ret := l.c.view.Returns[key]
	return ret == nil || ret.State != duty.Open && l.intents.returns[key] == nil
}

// writeIntents makes the leader's decisions durable, some at a time.
func (l *leader) writeIntents() {
	c := l.c
	if !c.lanes.free(laneIntent, c.now) || l.resync || len(l.intents.queue) == 0 {
		return
	}
	limit := min(c.limits.TxnOps, c.duties.intentsAtMost(l.intents.sentAt))
	if limit < 1 {
		return
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: grantKey, Revision: l.token}}}
	taken := map[string]bool{}
	machines := 0
	for len(l.intents.queue) > 0 && len(txn.Then) < limit && machines <= maxTxnMachines {
		draft := l.intents.queue[0]
		l.intents.queue = l.intents.queue[1:]
		if l.recorded(draft) {
			l.open(draft)
			continue
		}
		if draft.key == "" || taken[draft.key] || !l.keyFree(draft.key) {
			draft.key = l.freeKey(draft, taken)
		}
		taken[draft.key] = true
		txn.Conditions = append(txn.Conditions, state.Condition{Path: draft.key, Revision: c.view.Revisions[draft.key]})
		txn.Then = append(txn.Then, draft.op())
		if draft.ret != nil {
			machines += len(draft.ret.Machines)
		}
		l.intents.inFlight = append(l.intents.inFlight, draft)
	}
	if len(txn.Then) > 0 {
		l.intents.sentAt = c.now
		c.send(laneIntent, msgCommitted{txn: txn, token: l.token})
	}
}

// op writes a draft's record.
func (d *intentDraft) op() state.Op {
	if d.rental != nil {
		return state.Op{Set: d.key, Value: *d.rental}
	}
	return state.Op{Set: d.key, Value: *d.ret}
}

// intentsCommitted takes the end of a write of intents.
func (l *leader) intentsCommitted(m msgCommitted) {
	c := l.c
	drafts := l.intents.inFlight
	l.intents.inFlight = nil
	if m.err == nil && m.res.OK {
		c.view.Apply(m.txn, m.res.Revision)
		for _, draft := range drafts {
			l.open(draft)
		}
		return
	}
	// Whether it was carried out is told by the next catch-up.
	l.intents.queue = append(drafts, l.intents.queue...)
	switch {
	case m.lostGrant():
		slog.Info("fenced write refused", "duty", duty.Reclaiming, "token", l.token, "keys", m.res.Failed)
		c.stepDown(reasonGrantLost)
	case c.writeFailed(m):
		l.needSync()
	}
}
