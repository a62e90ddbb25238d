package controller

import (
	"fmt"
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// intentDraft is a decision of the leader that is not known to be durable yet.
type intentDraft struct {
	key    string // its slot, "": not chosen yet
	rental *duty.Rental
	ret    *duty.Return
	span   tracing.Span
}

// intentLog is the leader's side of intents: what it has decided, and which outcomes it
// waits for.
type intentLog struct {
	queue      []*intentDraft
	inFlight   []*intentDraft
	rentals    map[string]string       // open rental intents: request -> key
	returns    map[string][]string     // open return intents: key -> machines
	finishedAt map[string]model.Micros // when a rental intent was seen finished, by key
	sentAt     model.Micros            // when intents were last written
}

func newIntentLog() intentLog {
	return intentLog{rentals: map[string]string{}, returns: map[string][]string{}, finishedAt: map[string]model.Micros{}}
}

// actsThroughIntents tells whether this controller, as the leader, rents and returns
// through intents. It then never calls the cloud for that as the leader.
func (c *controller) actsThroughIntents() bool {
	l := c.view.Leader
	return l != nil && l.Session == c.session && l.Duties
}

// decideRental has machines rented through an intent. Until its outcome is known they
// count as under way.
func (l *leader) decideRental(rental cloud.Rental) {
	span := tracing.Start("", "intent", attribute.String("request", rental.RequestID), attribute.Int("count", rental.Count))
	l.intents.queue = append(l.intents.queue, &intentDraft{span: span, rental: &duty.Rental{Request: rental.RequestID, MachineType: rental.MachineType,
		Zone: rental.Zone, Spot: rental.Spot, Count: rental.Count, Grant: l.token, State: duty.Open, Trace: span.Context()}})
}

// extendRental adds machines to a rental that is decided, but was not written yet, if
// there is one of the same kind. Else the requests would pile up, one each round, where
// the state service bears few changes.
func (l *leader) extendRental(r autoscaler.Rental, count int) bool {
	for _, d := range l.intents.queue {
		if d.rental == nil || d.key != "" || d.rental.MachineType != r.MachineType || d.rental.Zone != r.Zone || d.rental.Spot != r.Spot ||
			d.rental.Count+count > duty.RentAtMost(l.c.maxValue()) {
			continue
		}
		d.rental.Count += count
		pending := l.pendingRentals[d.rental.Request]
		pending.Count = d.rental.Count
		l.pendingRentals[d.rental.Request] = pending
		return true
	}
	return false
}

// decideReturn has machines returned through intents, if possible with those that were
// decided before and not written yet.
func (l *leader) decideReturn(machines []string) {
	for _, d := range l.intents.queue {
		if d.ret != nil && d.key == "" {
			fit := min(len(machines), duty.ReturnAtMost(l.c.maxValue())-len(d.ret.Machines))
			d.ret.Machines = append(d.ret.Machines, machines[:max(0, fit)]...)
			machines = machines[max(0, fit):]
		}
	}
	slices.Sort(machines)
	for names := range slices.Chunk(machines, duty.ReturnAtMost(l.c.maxValue())) {
		span := tracing.Start("", "intent", attribute.Int("machines", len(names)))
		l.intents.queue = append(l.intents.queue, &intentDraft{span: span,
			ret: &duty.Return{Machines: names, Grant: l.token, State: duty.Open, Trace: span.Context()}})
	}
}

// recorded tells that the view shows a draft as carried out.
func (l *leader) recorded(d *intentDraft) bool {
	if d.key == "" {
		return false
	}
	if d.rental != nil {
		r := l.c.view.Rentals[d.key]
		return r != nil && r.Request == d.rental.Request
	}
	r := l.c.view.Returns[d.key]
	return r != nil && r.Grant == l.token && slices.Equal(r.Machines, d.ret.Machines)
}

// open notes that a draft is durable: its outcome is waited for.
func (l *leader) open(d *intentDraft) {
	d.span.End("")
	if d.rental != nil {
		l.intents.rentals[d.rental.Request] = d.key
		delete(l.intents.finishedAt, d.key)
		return
	}
	l.intents.returns[d.key] = d.ret.Machines
}

// freeSlot finds a key for a draft: one whose intent is finished, or a new one.
func (l *leader) freeSlot(d *intentDraft, taken map[string]bool) string {
	for k := 0; ; k++ {
		key := duty.ReturnKey(k)
		if d.rental != nil {
			key = duty.RentalKey(k)
		}
		if !taken[key] && l.slotFree(key) {
			return key
		}
	}
}

func (l *leader) slotFree(key string) bool {
	if r := l.c.view.Rentals[key]; r != nil {
		at, seen := l.intents.finishedAt[key]
		return r.State == duty.Refused || r.State == duty.Filled && seen && l.c.now-at >= duty.RetainRental
	}
	r := l.c.view.Returns[key]
	return r == nil || r.State != duty.Open && l.intents.returns[key] == nil
}

// writeIntents makes the leader's decisions durable, some at a time.
func (l *leader) writeIntents() {
	c := l.c
	if !c.lanes.free(laneIntent, c.now) || l.resync || len(l.intents.queue) == 0 {
		return
	}
	most := min(c.limits.TxnOps, c.duties.intentsAtMost(l.intents.sentAt))
	if most < 1 {
		return
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: "grant/" + blockName, Revision: l.token}}}
	taken := map[string]bool{}
	names := 0
	for len(l.intents.queue) > 0 && len(txn.Then) < most && names <= maxTxnMachines {
		d := l.intents.queue[0]
		l.intents.queue = l.intents.queue[1:]
		if l.recorded(d) {
			l.open(d)
			continue
		}
		if d.key == "" || taken[d.key] || !l.slotFree(d.key) {
			d.key = l.freeSlot(d, taken)
		}
		taken[d.key] = true
		op := state.Op{Set: d.key}
		if d.rental != nil {
			op.Value = *d.rental
		} else {
			op.Value = *d.ret
			names += len(d.ret.Machines)
		}
		txn.Conditions = append(txn.Conditions, state.Condition{Path: d.key, Revision: c.view.Revisions[d.key]})
		txn.Then = append(txn.Then, op)
		l.intents.inFlight = append(l.intents.inFlight, d)
	}
	if len(txn.Then) > 0 {
		l.intents.sentAt = c.now
		c.send(laneIntent, msgCommitted{txn: txn, token: l.token})
	}
}

// maxTxnMachines keeps a transaction of return intents within the state service's limit.
const maxTxnMachines = 1000

func (l *leader) intentsCommitted(m msgCommitted) {
	c := l.c
	drafts := l.intents.inFlight
	l.intents.inFlight = nil
	if m.err == nil && m.res.OK {
		c.view.Apply(m.txn, m.res.Revision)
		for _, d := range drafts {
			l.open(d)
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

// takeOverIntents takes up what former leaders have decided: nothing more can be written
// under their grants.
func (l *leader) takeOverIntents() {
	view, now := l.c.view, l.c.now
	for key, r := range view.Returns {
		for _, machine := range r.Machines {
			h := l.block.Machines[machine]
			switch {
			case r.State != duty.Open:
				l.machineGone(machine)
			case h != nil:
				h.Deleting = true
				l.pendingDeletions[machine] = deletionSent
			default:
				// Nothing is bound to it, and nothing may be: its reports are not answered.
				l.deletedMachines[machine] = now
				l.pendingDeletions[machine] = deletionSent
			}
		}
		if r.State == duty.Open {
			l.intents.returns[key] = r.Machines
		}
	}
	for key, r := range view.Rentals {
		switch r.State {
		case duty.Open:
			l.intents.rentals[r.Request] = key
			l.pendingRentals[r.Request] = requestOf(r)
		case duty.Filled:
			l.adopt(r)
		}
		if r.State != duty.Open {
			l.intents.finishedAt[key] = now
		}
	}
}

// adopt takes the machines of a filled rental intent into the fleet.
func (l *leader) adopt(r *duty.Rental) {
	for _, machine := range r.Machines {
		if l.deletedMachines[machine] == 0 {
			l.block.AddMachine(machine, r.MachineType, r.Zone, r.Spot, l.c.now)
		}
	}
}

// takeOutcomes takes note of the outcomes that the view shows.
func (l *leader) takeOutcomes() {
	view := l.c.view
	for request, key := range l.intents.rentals {
		r := view.Rentals[key]
		if r == nil || r.Request != request || r.State == duty.Open {
			continue
		}
		delete(l.intents.rentals, request)
		delete(l.pendingRentals, request)
		l.intents.finishedAt[key] = l.c.now
		l.provisionSoon = true
		slog.Info("rented", "request", request, "state", r.State, "type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "machines", r.Machines)
		if r.State == duty.Refused || len(r.Machines) < r.Count {
			offer := autoscaler.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot}
			l.spill.refused[offer] = l.c.now
			l.provisioner.Refuse(offer, l.c.now)
		}
		l.adopt(r)
	}
	for key, machines := range l.intents.returns {
		r := view.Returns[key]
		if r == nil || r.State == duty.Open || !slices.Equal(r.Machines, machines) {
			continue
		}
		delete(l.intents.returns, key)
		for _, machine := range machines {
			l.machineGone(machine)
		}
		l.provisionSoon = true
	}
}

// rentalName makes the name of a request. The token is this leader's alone, so no other
// process ever makes the same name.
func (l *leader) rentalName() string {
	l.rentalCount++
	return fmt.Sprintf("w%d-%d", l.token, l.rentalCount)
}
