package controller

import (
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/duty"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// leaseWrite is a write to a duty's lease that is in flight.
type leaseWrite struct {
	duty.Action
	span tracing.Span
}

// updateHeld updates which duties this controller holds, and logs which it has acquired,
// and which it has lost and why.
func (d *dutyManager) updateHeld(snapshot *duty.Snapshot) {
	leaderRecord := d.controller.view.Leader
	for _, name := range duty.Movable {
		token, holds := snapshot.Holds(name)
		previousToken := d.held[name]
		lease := snapshot.Leases[name]
		if previousToken != 0 && previousToken != token {
			delete(d.held, name)
			slog.Info("duty lost", "duty", name, "token", previousToken, "why", d.lossReason(snapshot, lease))
		}
		if holds && previousToken != token {
			d.held[name] = token
			d.vacancies.acquired(name, snapshot.Now)
			slog.Info("duty acquired", "duty", name, "token", token, "previous", lease.Previous, "previous_token", lease.PreviousToken, "why", lease.Why)
		}
		d.vacancies.observe(name, lease.Token == 0 && leaderRecord != nil && leaderRecord.UsesIntents, snapshot.Now)
	}
}

// lossReason returns why this controller no longer holds a duty, for the log.
func (d *dutyManager) lossReason(snapshot *duty.Snapshot, lease duty.StoredLease) string {
	switch {
	case d.controller.session == 0:
		return "the session has ended"
	case snapshot.Session == 0:
		return "no authority: the state service was not reached in time"
	case lease.Token == 0:
		return "the lease is gone"
	default:
		return string(lease.Why) + ", held by " + lease.Holder
	}
}

// writeLease acquires a duty or hands it over.
func (d *dutyManager) writeLease(action duty.Action) {
	c := d.controller
	step := "acquire"
	if action.Kind == duty.HandOver {
		step = "hand over"
	}
	span := tracing.Start(c.leaseTrace(action.Name), step, attribute.String("duty", string(action.Name)), attribute.String("holder", action.Lease.Holder))
	action.Lease.Trace = span.Context()
	key := action.Name.Key()
	txn := &state.Txn{
		Conditions: []state.Condition{{Path: key, Revision: action.Token}, {Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}},
		Then:       []state.Op{{Set: key, Value: action.Lease, LeaseID: action.Lease.Session}},
	}
	if action.Kind == duty.HandOver {
		txn.Conditions = append(txn.Conditions, state.Condition{Path: state.NodeKey(action.Successor.Name), Revision: action.Successor.Revision})
	}
	d.pendingLease = &leaseWrite{action, span}
	c.send(laneDuty, msgCommitted{txn: txn, token: action.Token})
}

// leaseTrace returns the trace context of a duty's present lease, "" if it has none.
func (c *controller) leaseTrace(name duty.Name) string {
	if lease := c.view.Duties[name]; lease != nil {
		return lease.Trace
	}
	return ""
}

// committed handles the outcome of a transaction that writes a lease, outcomes of intents or
// removals of keys.
func (d *dutyManager) committed(m msgCommitted) {
	c := d.controller
	written := d.pendingLease
	d.pendingLease = nil
	failure := ""
	switch {
	case m.err != nil:
		failure = m.err.Error()
		if c.writeFailed(m) {
			d.needSync()
		}
	case m.result.OK:
		c.view.Apply(m.txn, m.result.Revision)
	default:
		failure = "refused"
		d.logRefusedWrite(m)
		if c.writeFailed(m) {
			d.needSync()
		}
	}
	if written != nil {
		written.span.End(failure)
		if failure != "" {
			slog.Info("lease not written", "duty", written.Name, "holder", written.Lease.Holder, "why", failure)
		}
	}
}

// logRefusedWrite logs and traces a write that the state service refused because another
// controller holds the duty.
func (d *dutyManager) logRefusedWrite(m msgCommitted) {
	for _, name := range duty.Movable {
		if m.token != 0 && slices.Contains(m.result.Failed, name.Key()) {
			slog.Info("fenced write refused", "duty", name, "token", m.token, "keys", m.result.Failed)
			tracing.Start(d.controller.leaseTrace(name), "refusal", attribute.String("duty", string(name)), attribute.Int64("token", int64(m.token))).End("held by another")
		}
	}
}

// needSync keeps the duty manager from writing until the view has been synchronized.
func (d *dutyManager) needSync() {
	d.controller.needSync(&d.resync)
}
