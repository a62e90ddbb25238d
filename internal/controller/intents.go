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

// intentDraft is a decision of the leader that is not known to be durable yet.
type intentDraft struct {
	slotKey string // its slot, "": not chosen yet
	rental  *duty.Rental
	ret     *duty.Return
	span    tracing.Span
}

// intentLog is the leader's side of intents: what it has decided, and which outcomes it
// waits for.
type intentLog struct {
	queue      []*intentDraft          // not written yet, or not known to be
	inFlight   []*intentDraft          // of the write in flight
	rentals    map[string]string       // open rental intents: request -> key
	returns    map[string][]string     // open return intents: key -> machines
	finishedAt map[string]model.Micros // when a rental intent was seen finished, by key
	sentAt     model.Micros            // when intents were last written
}

func newIntentLog() intentLog {
	return intentLog{rentals: map[string]string{}, returns: map[string][]string{}, finishedAt: map[string]model.Micros{}}
}

// usesIntents tells whether this controller, as the leader, rents and returns
// through intents. It then never calls the cloud for that as the leader.
func (c *controller) usesIntents() bool {
	l := c.view.Leader
	return l != nil && l.Session == c.session && l.UsesIntents
}

// queueRental has machines rented through an intent. Until its outcome is known they
// count as under way.
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

// extendQueuedRental adds machines to a rental that is decided, but was not written yet, if
// there is one of the same kind. Else the requests would pile up, one each round, where
// the state service bears few changes.
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

// sameOffer reports whether an intent rents machines of the same kind.
func sameOffer(intent *duty.Rental, rental autoscaler.Rental) bool {
	return intent.MachineType == rental.MachineType && intent.Zone == rental.Zone && intent.Spot == rental.Spot
}

// queueReturn has machines returned through intents, if possible with those that were
// decided before and not written yet.
func (l *leader) queueReturn(machineIDs []string) {
	limit := duty.ReturnAtMost(l.controller.maxValueBytes())
	for _, draft := range l.intents.queue {
		if draft.ret != nil && draft.slotKey == "" {
			fit := max(0, min(len(machineIDs), limit-len(draft.ret.Machines)))
			draft.ret.Machines = append(draft.ret.Machines, machineIDs[:fit]...)
			machineIDs = machineIDs[fit:]
		}
	}
	slices.Sort(machineIDs)
	for chunk := range slices.Chunk(machineIDs, limit) {
		span := tracing.Start("", "intent", attribute.Int("machines", len(chunk)))
		ret := &duty.Return{Machines: chunk, Grant: l.token, State: duty.Open, Trace: span.Context()}
		l.intents.queue = append(l.intents.queue, &intentDraft{span: span, ret: ret})
	}
}

// isStored tells that the view shows a draft as carried out.
func (l *leader) isStored(draft *intentDraft) bool {
	if draft.slotKey == "" {
		return false
	}
	if draft.rental != nil {
		rental := l.controller.view.Rentals[draft.slotKey]
		return rental != nil && rental.Request == draft.rental.Request
	}
	ret := l.controller.view.Returns[draft.slotKey]
	return ret != nil && ret.Grant == l.token && slices.Equal(ret.Machines, draft.ret.Machines)
}

// awaitOutcome notes that a draft is durable: its outcome is waited for.
func (l *leader) awaitOutcome(draft *intentDraft) {
	draft.span.End("")
	if draft.rental != nil {
		l.intents.rentals[draft.rental.Request] = draft.slotKey
		delete(l.intents.finishedAt, draft.slotKey)
		return
	}
	l.intents.returns[draft.slotKey] = draft.ret.Machines
}
