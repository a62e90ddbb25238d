package controller

import (
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/tracing"
)

// intentDraft is a decision of the leader that is not known to be durable yet: a rental or
// a return.
type intentDraft struct {
	slotKey      string       // key of the slot that it is written to, "": not chosen yet
	rental       *duty.Rental // nil: a return
	returnIntent *duty.Return // nil: a rental
	span         tracing.Span
}

// intentLog holds the leader's intents: those not known to be durable yet, and those whose
// outcome is pending.
type intentLog struct {
	queue      []*intentDraft          // not written yet, or not known to be
	inFlight   []*intentDraft          // in the transaction in flight
	rentals    map[string]string       // keys of open rental intents, by request ID
	returns    map[string][]string     // machines of open return intents, by key
	finishedAt map[string]model.Micros // when a rental intent was first seen finished, by key
	sentAt     model.Micros            // when intents were last written
}

func newIntentLog() intentLog {
	return intentLog{rentals: map[string]string{}, returns: map[string][]string{}, finishedAt: map[string]model.Micros{}}
}

// usesIntents reports whether this controller, as the leader, rents and returns machines
// through intents. It then does not call the cloud for that as the leader.
func (c *controller) usesIntents() bool {
	leaderRecord := c.view.Leader
	return leaderRecord != nil && leaderRecord.Session == c.session && leaderRecord.UsesIntents
}

// queueRental queues an intent to rent machines. Until its outcome is known, the machines
// count as pending rentals.
func (l *leader) queueRental(rental cloud.Rental) {
	span := tracing.Start("", "intent", attribute.String("request", rental.RequestID), attribute.Int("count", rental.Count))
	l.intents.queue = append(l.intents.queue, &intentDraft{span: span, rental: &duty.Rental{
		Request:     rental.RequestID,
		MachineType: rental.MachineType,
		Zone:        rental.Zone,
		Spot:        rental.Spot,
		Count:       rental.Count,
		Grant:       l.token,
		State:       duty.Open,
		Trace:       span.Context(),
	}})
}

// extendQueuedRental adds machines to a queued rental of the same kind that was not
// written yet, and reports whether there is one. If each round queued a rental of its own,
// they would accumulate while the state service sustains only few writes.
func (l *leader) extendQueuedRental(rental autoscaler.Rental, count int) bool {
	for _, draft := range l.intents.queue {
		if draft.rental == nil || draft.slotKey != "" || !sameOffer(draft.rental, rental) || draft.rental.Count+count > duty.RentAtMost(l.controller.maxValueBytes()) {
			continue
		}
		draft.rental.Count += count
		pending := l.inventory.pendingRentals[draft.rental.Request]
		pending.Count = draft.rental.Count
		l.inventory.pendingRentals[draft.rental.Request] = pending
		return true
	}
	return false
}

// sameOffer reports whether an intent is for machines of the same kind as a rental.
func sameOffer(intent *duty.Rental, rental autoscaler.Rental) bool {
	return intent.MachineType == rental.MachineType && intent.Zone == rental.Zone && intent.Spot == rental.Spot
}

// queueReturn queues intents to return machines. It first adds machines to queued returns
// that were not written yet.
func (l *leader) queueReturn(machineIDs []string) {
	limit := duty.ReturnAtMost(l.controller.maxValueBytes())
	for _, draft := range l.intents.queue {
		if draft.returnIntent != nil && draft.slotKey == "" {
			fit := max(0, min(len(machineIDs), limit-len(draft.returnIntent.Machines)))
			draft.returnIntent.Machines = append(draft.returnIntent.Machines, machineIDs[:fit]...)
			machineIDs = machineIDs[fit:]
		}
	}
	slices.Sort(machineIDs)
	for chunk := range slices.Chunk(machineIDs, limit) {
		span := tracing.Start("", "intent", attribute.Int("machines", len(chunk)))
		returnIntent := &duty.Return{Machines: chunk, Grant: l.token, State: duty.Open, Trace: span.Context()}
		l.intents.queue = append(l.intents.queue, &intentDraft{span: span, returnIntent: returnIntent})
	}
}

// isStored reports whether the view shows that a draft has been written.
func (l *leader) isStored(draft *intentDraft) bool {
	if draft.slotKey == "" {
		return false
	}
	if draft.rental != nil {
		rental := l.controller.view.Rentals[draft.slotKey]
		return rental != nil && rental.Request == draft.rental.Request
	}
	returnIntent := l.controller.view.Returns[draft.slotKey]
	return returnIntent != nil && returnIntent.Grant == l.token && slices.Equal(returnIntent.Machines, draft.returnIntent.Machines)
}

// awaitOutcome records that a draft is durable and that its outcome is pending.
func (l *leader) awaitOutcome(draft *intentDraft) {
	draft.span.End("")
	if draft.rental != nil {
		l.intents.rentals[draft.rental.Request] = draft.slotKey
		delete(l.intents.finishedAt, draft.slotKey)
		return
	}
	l.intents.returns[draft.slotKey] = draft.returnIntent.Machines
}
