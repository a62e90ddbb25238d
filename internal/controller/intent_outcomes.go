package controller

import (
	"log/slog"
	"maps"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// slowOutcomeDelay is how long an outcome may wait to be written before this is logged.
const slowOutcomeDelay = 5 * model.Second

// Intents and outcomes may be written this often even if other writes use the whole
// budget, each time up to this share of the writes that it allows in a second.
const (
	intentWritePeriod = model.Second / 4
	intentWriteShare  = 0.1
)

// maxTxnMachines is the number of machines beyond which nothing is added to a transaction
// of intents or outcomes. It keeps the transaction within the state service's size limit.
const maxTxnMachines = 1000

// writeOutcomes writes the outcomes of a duty's intents under the duty's token, as many as
// the limits allow. It reports whether it sent a transaction.
func (d *dutyManager) writeOutcomes(snapshot *duty.Snapshot, name duty.Name) bool {
	c := d.controller
	token, holds := snapshot.Holds(name)
	if !holds {
		return false
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: name.Key(), Revision: token}}}
	limit, machines := min(c.limits.TxnOps, d.maxIntentWrites(d.outcomesWrittenAt)), 0
	for _, key := range slices.Sorted(maps.Keys(d.calls)) {
		call := d.calls[key]
		if call.duty != name || call.outcome == nil || c.view.Revisions[key] != call.revision {
			continue
		}
		d.logSlowOutcome(key, call)
		if len(txn.Then) >= limit || machines > maxTxnMachines {
			continue
		}
		outcome, count := outcomeWithToken(token, call.outcome)
		machines += count
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: call.revision})
		txn.Then = append(txn.Then, state.Op{Set: key, Value: outcome})
	}
	if len(txn.Then) == 0 {
		return false
	}
	d.outcomesWrittenAt = c.now
	c.send(laneDuty, msgCommitted{txn: txn, token: token})
	return true
}

// logSlowOutcome logs once that an outcome has waited long to be written.
func (d *dutyManager) logSlowOutcome(key string, call *intentCall) {
	waited := d.controller.now - call.answeredAt
	if call.slowLogged || waited <= slowOutcomeDelay {
		return
	}
	call.slowLogged = true
	slog.Info("the outcome of an intent is not written yet", "duty", call.duty, "intent", key, "s", waited.Seconds())
}

// outcomeWithToken returns an outcome with the token of the duty under which it is
// written, and the number of its machines.
func outcomeWithToken(token uint64, outcome any) (_ any, machines int) {
	switch outcome := outcome.(type) {
	case duty.Rental:
		outcome.Token = token
		return outcome, len(outcome.Machines)
	case duty.Return:
		outcome.Token = token
		return outcome, len(outcome.Machines)
	}
	return outcome, 0
}

// maxIntentWrites returns how many intents, or outcomes of them, may be written now; last
// is when some were last written. A few may be written even if bindings and users' writes
// use up the whole budget; the other writes then have to wait until it is refilled. There
// are few intents, and tasks that wait for machines wait for intents and outcomes both.
func (d *dutyManager) maxIntentWrites(last model.Micros) int {
	c := d.controller
	limit := c.writeBudget.Left(c.now)
	if c.now-last >= intentWritePeriod {
		limit = max(limit, 1, int(c.writeBudget.Rate()*intentWriteShare))
	}
	return limit
}
