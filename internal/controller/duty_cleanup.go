package controller

import (
	"log/slog"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// cleanupPeriod is how often the holder of the cleanup duty looks for unneeded keys.
const cleanupPeriod = 5 * model.Second

// cleanUp removes keys that are no longer needed, if this controller holds the cleanup duty.
func (d *dutyManager) cleanUp(snapshot *duty.Snapshot) {
	c := d.controller
	token, holds := snapshot.Holds(duty.Cleanup)
	if !holds || c.now-d.lastCleanupAt < cleanupPeriod {
		return
	}
	d.lastCleanupAt = c.now
	removals := d.cleaner.Plan(c.now, d.unneeded(), min(c.limits.TxnOps, c.writeBudget.Left(c.now)))
	if len(removals) == 0 {
		return
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: duty.Cleanup.Key(), Revision: token}}}
	for _, removal := range removals {
		txn.Conditions = append(txn.Conditions, state.Condition{Path: removal.Key, Revision: removal.Revision})
		txn.Then = append(txn.Then, state.Op{Drop: removal.Key})
	}
	slog.Info("removing unneeded keys", "token", token, "keys", len(removals))
	c.send(laneDuty, msgCommitted{txn: txn, token: token})
}

// unneeded lists the keys that can be removed if they don't change for long enough.
func (d *dutyManager) unneeded() []duty.UnneededKey {
	view := d.controller.view
	var list []duty.UnneededKey
	for key, intent := range view.Rentals {
		if intent.State != duty.Open {
			list = append(list, duty.UnneededIntent(key, view.Revisions[key]))
		}
	}
	for key, intent := range view.Returns {
		if intent.State != duty.Open {
			list = append(list, duty.UnneededIntent(key, view.Revisions[key]))
		}
	}
	view.UnusedBundles(func(key string, revision uint64) { list = append(list, duty.UnneededBundle(key, revision)) })
	return list
}
