package controller

import (
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/duty"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// leaseWrite is a write to a duty's lease.
type leaseWrite struct {
	duty.Action
	span tracing.Span
}

// noteHeld logs which duties this controller has acquired, and which it has lost and why.
func (d *dutyHolder) noteHeld(s *duty.Situation) {
	leader := d.c.view.Leader
	for _, name := range duty.Movable {
		token, mine := s.Holds(name)
		before := d.held[name]
		lease := s.Leases[name]
		if before != 0 && before != token {
			delete(d.held, name)
			slog.Info("duty lost", "duty", name, "token", before, "why", d.whyLost(s, lease))
		}
		if mine && before != token {
			d.held[name] = token
			d.vacancies.ended(name, s.Now)
			slog.Info("duty held", "duty", name, "token", token, "previous", lease.Previous, "previous_token", lease.PreviousToken, "why", lease.Why)
		}
		d.vacancies.observe(name, lease.Token == 0 && leader != nil && leader.Duties, s.Now)
	}
}

// whyLost is why this controller does not hold a duty any more, for the log.
func (d *dutyHolder) whyLost(s *duty.Situation, lease duty.Held) string {
	switch {
	case d.c.session == 0:
		return "the session is over"
	case s.Session == 0:
		return "no authority: the state service was not reached in time"
	case lease.Token == 0:
		return "the lease is gone"
	default:
		return string(lease.Why) + ", held by " + lease.Holder
	}
}

// writeLease acquires a duty or hands it over.
func (d *dutyHolder) writeLease(action duty.Action) {
	c := d.c
	step := "acquire"
	if action.Kind == duty.HandOver {
		step = "hand over"
	}
	span := tracing.Start(c.traceOf(action.Name), step, attribute.String("duty", string(action.Name)), attribute.String("holder", action.Lease.Holder))
	action.Lease.Trace = span.Context()
	key := action.Name.Key()
	txn := &state.Txn{
		Conditions: []state.Condition{{Path: key, Revision: action.Token}, {Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}},
		Then:       []state.Op{{Set: key, Value: action.Lease, LeaseID: action.Lease.Session}},
	}
	if action.Kind == duty.HandOver {
		txn.Conditions = append(txn.Conditions, state.Condition{Path: state.NodeKey(action.Successor.Name), Revision: action.Successor.Revision})
	}
	d.writing = &leaseWrite{action, span}
	c.send(laneDuty, msgCommitted{txn: txn, token: action.Token})
}

// traceOf is the trace context of a duty's present lease.
func (c *controller) traceOf(name duty.Name) string {
	if lease := c.view.Duties[name]; lease != nil {
		return lease.Trace
	}
	return ""
}

// committed takes the end of a write to a lease, of outcomes or of removals.
func (d *dutyHolder) committed(m msgCommitted) {
	c := d.c
	written := d.writing
	d.writing = nil
	failure := ""
	switch {
	case m.err != nil:
		failure = m.err.Error()
		if c.writeFailed(m) {
			d.needSync()
		}
	case m.res.OK:
		c.view.Apply(m.txn, m.res.Revision)
	default:
		failure = "refused"
		d.refused(m)
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

// refused reports a write that the state service refused as another holds the duty.
func (d *dutyHolder) refused(m msgCommitted) {
	for _, name := range duty.Movable {
		if m.token != 0 && slices.Contains(m.res.Failed, name.Key()) {
			slog.Info("fenced write refused", "duty", name, "token", m.token, "keys", m.res.Failed)
			tracing.Start(d.c.traceOf(name), "refusal", attribute.String("duty", string(name)), attribute.Int64("token", int64(m.token))).End("held by another")
		}
	}
}

func (d *dutyHolder) needSync() {
	d.c.needSync(&d.resync)
}
