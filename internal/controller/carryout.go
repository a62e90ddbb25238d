package controller

import (
	"errors"
	"log/slog"
	"maps"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// Limits of the calls by which intents are carried out.
const (
	callsAtOnce = 8            // of a duty
	callRetry   = model.Second // after a call that failed
)

// Intents and outcomes may be written this often, so many of a second's changes each
// time, whatever else is to be written.
const (
	intentGap   = model.Second / 4
	intentShare = 0.1
)

// intentCall is an open intent that this controller carries out.
type intentCall struct {
	stamp   uint64 // the intent's revision
	name    duty.Name
	busy    bool         // a request is on its way
	retryAt model.Micros // after a failure
	outcome any          // the record to be written, nil: none yet
	// answeredAt is when the outcome was known, and reported tells that it has waited
	// for long to be written, which was logged.
	answeredAt model.Micros
	reported   bool
	span       tracing.Span
}

// carryOut sends the requests of open intents under the duties that this controller
// holds, and forgets what has become of those it holds no more.
func (d *dutyHolder) carryOut(s *duty.Situation) {
	v := d.c.view
	for key, call := range d.calls {
		_, mine := s.Holds(call.name)
		if !call.busy && (!mine || v.Revisions[key] != call.stamp) {
			call.span.End("")
			delete(d.calls, key)
		}
	}
	if _, mine := s.Holds(duty.Renting); mine {
		for _, key := range slices.Sorted(maps.Keys(v.Rentals)) {
			if r := v.Rentals[key]; r.State == duty.Open && d.mayCall(key, duty.Renting) {
				d.callRent(key, r)
			}
		}
	}
	if _, mine := s.Holds(duty.Returning); mine {
		for _, key := range slices.Sorted(maps.Keys(v.Returns)) {
			if r := v.Returns[key]; r.State == duty.Open && d.mayCall(key, duty.Returning) {
				d.callDelete(key, r)
			}
		}
	}
}

// mayCall tells whether the request of an open intent is to be sent now.
func (d *dutyHolder) mayCall(key string, name duty.Name) bool {
	if call := d.calls[key]; call != nil {
		return !call.busy && call.outcome == nil && d.c.now >= call.retryAt
	}
	busy := 0
	for _, call := range d.calls {
		if call.name == name && call.busy {
			busy++
		}
	}
	return busy < callsAtOnce
}

// begin notes that the request of an intent is sent, and gives what it rests on.
func (d *dutyHolder) begin(key string, name duty.Name, trace string) carryOut {
	call := d.calls[key]
	if call == nil {
		call = &intentCall{stamp: d.c.view.Revisions[key], name: name,
			span: tracing.Start(trace, "call", attribute.String("duty", string(name)), attribute.String("intent", key), attribute.Int64("token", int64(d.held[name])))}
		d.calls[key] = call
	}
	call.busy = true
	return carryOut{intent: key, stamp: call.stamp, until: d.c.auth.Ends()}
}

func (d *dutyHolder) callRent(key string, r *duty.Rental) {
	d.c.io.rentMachines(msgRented{rental: requestOf(r), carryOut: d.begin(key, duty.Renting, r.Trace)})
}

// requestOf is the request by which a rental intent is carried out.
func requestOf(r *duty.Rental) cloud.Rental {
	return cloud.Rental{RequestID: r.Request, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

func (d *dutyHolder) callDelete(key string, r *duty.Return) {
	d.c.io.deleteMachines(msgDeleted{machineIDs: r.Machines, carryOut: d.begin(key, duty.Returning, r.Trace)})
}

// answered takes the end of a request. It returns the intent's call if an outcome is
// still to be written.
func (d *dutyHolder) answered(m carryOut, err error) *intentCall {
	call := d.calls[m.intent]
	if call == nil || call.stamp != m.stamp {
		return nil
	}
	call.busy, call.answeredAt = false, d.c.now
	switch {
	case err == nil || errors.Is(err, cloud.ErrNoCapacity):
		d.cloudAnswered(err)
		return call
	case errors.Is(err, errTooLate):
		call.retryAt = d.c.now
	default:
		slog.Debug("intent", "key", m.intent, "err", err)
		call.retryAt = d.c.now + callRetry
		d.cloudAnswered(err)
	}
	return nil
}

func (d *dutyHolder) rented(m msgRented) {
	call := d.answered(m.carryOut, m.err)
	r := d.c.view.Rentals[m.intent]
	if call == nil || r == nil || r.Request != m.rental.RequestID {
		return
	}
	outcome := *r
	outcome.State, outcome.Machines = duty.Filled, m.machines
	if m.err != nil {
		outcome.State, outcome.Machines = duty.Refused, nil
	}
	call.outcome = outcome
}

func (d *dutyHolder) deleted(m msgDeleted) {
	call := d.answered(m.carryOut, m.err)
	r := d.c.view.Returns[m.intent]
	if call == nil || r == nil {
		return
	}
	outcome := *r
	outcome.State = duty.Gone
	call.outcome = outcome
}

// writeOutcomes makes the outcomes of a duty's intents durable, some at a time, under the
// duty's token. It tells whether it sent a write.
func (d *dutyHolder) writeOutcomes(s *duty.Situation, name duty.Name) bool {
	c := d.c
	token, mine := s.Holds(name)
	if !mine {
		return false
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: name.Key(), Revision: token}}}
	most, machines := min(c.limits.TxnOps, d.intentsAtMost(d.outcomesAt)), 0
	for _, key := range slices.Sorted(maps.Keys(d.calls)) {
		call := d.calls[key]
		if call.name != name || call.outcome == nil || c.view.Revisions[key] != call.stamp {
			continue
		}
		if !call.reported && c.now-call.answeredAt > outcomePatience {
			call.reported = true
			slog.Info("an outcome waits to be written", "duty", name, "intent", key, "s", (c.now - call.answeredAt).Seconds())
		}
		if len(txn.Then) >= most || machines > maxTxnMachines {
			continue
		}
		outcome := call.outcome
		switch r := outcome.(type) {
		case duty.Rental:
			r.Token = token
			machines += len(r.Machines)
			outcome = r
		case duty.Return:
			r.Token = token
			machines += len(r.Machines)
			outcome = r
		}
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: call.stamp})
		txn.Then = append(txn.Then, state.Op{Set: key, Value: outcome})
	}
	if len(txn.Then) == 0 {
		return false
	}
	d.outcomesAt = c.now
	c.send(laneDuty, msgCommitted{txn: txn, token: token})
	return true
}

// intentsAtMost is how many intents, or outcomes of them, may be written now, where the
// last were written at that time. A few are written also if bindings and users' changes
// take the whole budget, which then waits for them: there are few, and what waits for
// machines waits for both.
func (d *dutyHolder) intentsAtMost(last model.Micros) int {
	c := d.c
	most := c.budget.Left(c.now)
	if c.now-last >= intentGap {
		most = max(most, 1, int(c.budget.Rate()*intentShare))
	}
	return most
}
