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
	"woadweir/internal/tracing"
)

// Limits of the calls by which intents are carried out.
const (
	maxCallsInFlight = 8            // of a duty
	callRetryDelay   = model.Second // after a call that failed
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
			if rental := v.Rentals[key]; rental.State == duty.Open && d.mayCall(key, duty.Renting) {
				d.callRent(key, rental)
			}
		}
	}
	if _, mine := s.Holds(duty.Returning); mine {
		for _, key := range slices.Sorted(maps.Keys(v.Returns)) {
			if ret := v.Returns[key]; ret.State == duty.Open && d.mayCall(key, duty.Returning) {
				d.callDelete(key, ret)
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
	return busy < maxCallsInFlight
}

// begin records that the request of an intent is sent, and returns what it depends on.
func (d *dutyHolder) begin(key string, name duty.Name, trace string) carryOut {
	call := d.calls[key]
	if call == nil {
		call = &intentCall{stamp: d.c.view.Revisions[key], name: name,
			span: tracing.Start(trace, "call", attribute.String("duty", string(name)), attribute.String("intent", key), attribute.Int64("token", int64(d.held[name])))}
		d.calls[key] = call
	}
	call.busy = true
	return carryOut{intent: key, stamp: call.stamp, until: d.c.auth.ExpiresAt()}
}

func (d *dutyHolder) callRent(key string, rental *duty.Rental) {
	d.c.io.rentMachines(msgRented{rental: requestOf(rental), carryOut: d.begin(key, duty.Renting, rental.Trace)})
}

func (d *dutyHolder) callDelete(key string, ret *duty.Return) {
	d.c.io.deleteMachines(msgDeleted{machineIDs: ret.Machines, carryOut: d.begin(key, duty.Returning, ret.Trace)})
}

// requestOf is the request by which a rental intent is carried out.
func requestOf(rental *duty.Rental) cloud.Rental {
	return cloud.Rental{RequestID: rental.Request, MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot, Count: rental.Count}
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
		call.retryAt = d.c.now + callRetryDelay
		d.cloudAnswered(err)
	}
	return nil
}

// rented takes the cloud's answer to the request of a rental intent.
func (d *dutyHolder) rented(m msgRented) {
	call := d.answered(m.carryOut, m.err)
	rental := d.c.view.Rentals[m.intent]
	if call == nil || rental == nil || rental.Request != m.rental.RequestID {
		return
	}
	outcome := *rental
	outcome.State, outcome.Machines = duty.Filled, m.machines
	if m.err != nil {
		outcome.State, outcome.Machines = duty.Refused, nil
	}
	call.outcome = outcome
}

// deleted takes the cloud's answer to the request of a return intent.
func (d *dutyHolder) deleted(m msgDeleted) {
	call := d.answered(m.carryOut, m.err)
	ret := d.c.view.Returns[m.intent]
	if call == nil || ret == nil {
		return
	}
	outcome := *ret
	outcome.State = duty.Gone
	call.outcome = outcome
}
