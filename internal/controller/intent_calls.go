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

// Limits of the calls to the cloud that carry out intents.
const (
	maxCallsInFlight = 8            // for each duty
	callRetryDelay   = model.Second // after a call that failed
)

// intentCall is an open intent that this controller carries out.
type intentCall struct {
	revision uint64 // of the intent's key
	duty     duty.Name
	inFlight bool         // a request has been sent and has no answer yet
	retryAt  model.Micros // when a failed request may be repeated
	outcome  any          // the record to be written, nil: none yet
	// answeredAt is when the cloud's answer arrived. slowLogged is true if it was logged
	// that the outcome has waited long to be written.
	answeredAt model.Micros
	slowLogged bool
	span       tracing.Span
}

// executeIntents sends the requests of open intents under the duties that this controller
// holds. It drops calls of duties that it no longer holds, and of intents that have changed.
func (d *dutyManager) executeIntents(snapshot *duty.Snapshot) {
	view := d.controller.view
	for key, call := range d.calls {
		_, holds := snapshot.Holds(call.duty)
		if !call.inFlight && (!holds || view.Revisions[key] != call.revision) {
			call.span.End("")
			delete(d.calls, key)
		}
	}
	if _, holds := snapshot.Holds(duty.Renting); holds {
		for _, key := range slices.Sorted(maps.Keys(view.Rentals)) {
			if rental := view.Rentals[key]; rental.State == duty.Open && d.mayExecute(key, duty.Renting) {
				d.executeRental(key, rental)
			}
		}
	}
	if _, holds := snapshot.Holds(duty.Returning); holds {
		for _, key := range slices.Sorted(maps.Keys(view.Returns)) {
			if returnIntent := view.Returns[key]; returnIntent.State == duty.Open && d.mayExecute(key, duty.Returning) {
				d.executeReturn(key, returnIntent)
			}
		}
	}
}

// mayExecute reports whether the request of an open intent may be sent now.
func (d *dutyManager) mayExecute(key string, name duty.Name) bool {
	if call := d.calls[key]; call != nil {
		return !call.inFlight && call.outcome == nil && d.controller.now >= call.retryAt
	}
	inFlight := 0
	for _, call := range d.calls {
		if call.duty == name && call.inFlight {
			inFlight++
		}
	}
	return inFlight < maxCallsInFlight
}

// startCall records that the request of an intent is sent, and returns the reference to the
// intent that goes with it.
func (d *dutyManager) startCall(key string, name duty.Name, trace string) intentRef {
	call := d.calls[key]
	if call == nil {
		call = &intentCall{revision: d.controller.view.Revisions[key], duty: name,
			span: tracing.Start(trace, "call", attribute.String("duty", string(name)), attribute.String("intent", key), attribute.Int64("token", int64(d.held[name])))}
		d.calls[key] = call
	}
	call.inFlight = true
	return intentRef{intentKey: key, intentRevision: call.revision, sendBefore: d.controller.authority.ExpiresAt()}
}

func (d *dutyManager) executeRental(key string, rental *duty.Rental) {
	d.controller.io.rentMachines(msgRented{rental: requestOf(rental), intentRef: d.startCall(key, duty.Renting, rental.Trace)})
}

func (d *dutyManager) executeReturn(key string, returnIntent *duty.Return) {
	d.controller.io.deleteMachines(msgDeleted{machineIDs: returnIntent.Machines, intentRef: d.startCall(key, duty.Returning, returnIntent.Trace)})
}

// requestOf returns the rental request that carries out a rental intent.
func requestOf(rental *duty.Rental) cloud.Rental {
	return cloud.Rental{RequestID: rental.Request, MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot, Count: rental.Count}
}

// callEnded handles the end of a request. It returns the intent's call if the request has
// an outcome that is to be written, else nil.
func (d *dutyManager) callEnded(ref intentRef, err error) *intentCall {
	call := d.calls[ref.intentKey]
	if call == nil || call.revision != ref.intentRevision {
		return nil
	}
	call.inFlight, call.answeredAt = false, d.controller.now
	switch {
	case err == nil || errors.Is(err, cloud.ErrNoCapacity):
		d.cloudAnswered(err)
		return call
	case errors.Is(err, errTooLate):
		call.retryAt = d.controller.now
	default:
		slog.Debug("call to the cloud for an intent failed", "key", ref.intentKey, "err", err)
		call.retryAt = d.controller.now + callRetryDelay
		d.cloudAnswered(err)
	}
	return nil
}

// rented handles the cloud's answer to the request of a rental intent.
func (d *dutyManager) rented(m msgRented) {
	call := d.callEnded(m.intentRef, m.err)
	rental := d.controller.view.Rentals[m.intentKey]
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

// deleted handles the cloud's answer to the request of a return intent.
func (d *dutyManager) deleted(m msgDeleted) {
	call := d.callEnded(m.intentRef, m.err)
	returnIntent := d.controller.view.Returns[m.intentKey]
	if call == nil || returnIntent == nil {
		return
	}
	outcome := *returnIntent
	outcome.State = duty.Gone
	call.outcome = outcome
}
