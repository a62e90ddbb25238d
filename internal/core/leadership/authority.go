// Package leadership holds what leadership, authority and grants rest on: spans of
// time that are safe whatever the clocks do, and the credit of teams' limits.
package leadership

import (
	"woadweir/internal/core/model"
)

// drift is how far two steady clocks may part, doubled for margin: 0.05% on
// each side.
const driftDivisor = 500

// Spans are the times that the safety argument needs, from the settings.
type Spans struct {
	TTL    model.Micros // of the session's lease in the state service
	Margin model.Micros
}

// margin covers what clocks and answers may be late by, and least is the shortest
// session that can be kept. A steady one outlives a state service that is slow for a
// while, and some requests that are lost.
const (
	margin = model.Second / 2
	least  = 2 * model.Second
	steady = 8 * model.Second
)

// Settle computes the session's length: authority, the worker's lease after it
// and a margin have to end before cancel, and a dead holder's workers are to be
// taken over before their lease is over, while the lease outlives an outage of
// the state service. The operators' block lease is the upper bound.
//
// Two more report periods are kept free before cancel, where that leaves a steady
// session: no rule needs them, but with long reports beside a short cancellation they
// would leave one that a single lost request ends.
func Settle(blockLease, lease, report, cancel model.Micros) Spans {
	safe := safest(lease, cancel)
	ttl := min(blockLease, lease-3*report, max(safe-2*report, min(safe, steady)))
	return Spans{TTL: max(ttl, least), Margin: margin}
}

// safest is the longest session after which a worker's lease still ends before
// cancel.
func safest(lease, cancel model.Micros) model.Micros {
	return cancel - lease - lease/driftDivisor - 4*margin
}

// Possible tells whether there can be a session that is safe.
func Possible(lease, cancel model.Micros) bool { return safest(lease, cancel) >= least }

// Until is how long authority runs that rests on a request sent at that time.
func (s Spans) Until(sent model.Micros) model.Micros {
	return sent + s.TTL - s.TTL/driftDivisor - s.Margin
}

// Authority tracks until when this process may act. It rests on the last good
// touch of the session and on the last time the view of the state was known to
// be caught up, each counted from when the request was sent.
type Authority struct {
	Spans   Spans
	touched model.Micros
	synced  model.Micros
	session bool
	caught  bool
}

// Touched notes a good touch (or grant) that was sent at that time.
func (a *Authority) Touched(sent model.Micros) { a.touched, a.session = max(a.touched, sent), true }

// Synced notes a good catch-up that was sent at that time.
func (a *Authority) Synced(sent model.Micros) { a.synced, a.caught = max(a.synced, sent), true }

// Ended notes that the session is known to be over.
func (a *Authority) Ended() { a.session, a.touched = false, 0 }

// Holds tells whether the process may act now.
func (a *Authority) Holds(now model.Micros) bool {
	return a.session && a.caught && now < a.Ends()
}

// Ends is when authority ends that holds now.
func (a *Authority) Ends() model.Micros { return a.Spans.Until(min(a.touched, a.synced)) }

// Fresh tells whether the view alone is recent enough to serve users.
func (a *Authority) Fresh(now model.Micros) bool {
	return a.caught && now < a.Spans.Until(a.synced)
}
