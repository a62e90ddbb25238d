// Package leadership computes for how long a controller may act as the leader: lease
// times that are safe whatever the clocks do, the authority that rests on a session
// lease, and the protocol that keeps this lease in the state service.
package leadership

import (
	"woadweir/internal/core/model"
)

const (
	// driftDivisor bounds how far two monotonic clocks may drift apart, 1/driftDivisor
	// of the time passed: 0.05% on each side, doubled as a margin.
	driftDivisor = 500
	// safetyMargin covers what clocks and responses may be late by.
	safetyMargin = model.Second / 2
	// minSessionTTL is the shortest session lease that can be kept.
	minSessionTTL = 2 * model.Second
	// stableSessionTTL is long enough to outlive a state service that is slow for a
	// while, and some lost requests.
	stableSessionTTL = 8 * model.Second
)

// LeaseTimes are the times on which the safety of a session lease rests.
type LeaseTimes struct {
	TTL    model.Micros // of the session lease in the state service
	Margin model.Micros // by which this process stops acting before the lease may expire
}

// ComputeLeaseTimes computes the session's TTL. Authority, the workerLease after it and a
// margin have to end before cancelWithin, within which a cancelled task has to stop. The
// workers of a dead leader are to be taken over before their lease is over, while the
// session outlives an outage of the state service. The operators' blockLease is the upper
// bound.
//
// Two more report periods are kept free before cancelWithin, where that leaves a stable
// session: no rule needs them, but with long report periods beside a short cancellation
// they would leave a session that a single lost request ends.
func ComputeLeaseTimes(blockLease, workerLease, reportPeriod, cancelWithin model.Micros) LeaseTimes {
	safe := maxSafeTTL(workerLease, cancelWithin)
	preferred := max(safe-2*reportPeriod, min(safe, stableSessionTTL))
	ttl := min(blockLease, workerLease-3*reportPeriod, preferred)
	return LeaseTimes{TTL: max(ttl, minSessionTTL), Margin: safetyMargin}
}

// maxSafeTTL is the longest TTL of a session after which a worker's lease still ends
// before cancelWithin.
func maxSafeTTL(workerLease, cancelWithin model.Micros) model.Micros {
	return cancelWithin - workerLease - workerLease/driftDivisor - 4*safetyMargin
}

// IsFeasible tells whether any session is safe with these times.
func IsFeasible(workerLease, cancelWithin model.Micros) bool {
	return maxSafeTTL(workerLease, cancelWithin) >= minSessionTTL
}

// ValidUntil is when authority ends that rests on a request sent at that time.
func (t LeaseTimes) ValidUntil(sentAt model.Micros) model.Micros {
	return sentAt + t.TTL - t.TTL/driftDivisor - t.Margin
}

// Authority tracks until when this process may act. It rests on the last successful
// renewal of the session lease and on the last time the view of the state was known to be
// up to date, each counted from when the request was sent, as the service may have
// answered at any time since.
type Authority struct {
	Times      LeaseTimes
	renewedAt  model.Micros
	syncedAt   model.Micros
	hasSession bool
	hasView    bool
}

// Renewed notes a successful grant or renewal of the session lease that was sent at that
// time.
func (a *Authority) Renewed(sentAt model.Micros) {
	a.renewedAt = max(a.renewedAt, sentAt)
	a.hasSession = true
}

// ViewSynced notes a successful update of the view that was sent at that time.
func (a *Authority) ViewSynced(sentAt model.Micros) {
	a.syncedAt = max(a.syncedAt, sentAt)
	a.hasView = true
}

// Revoke notes that the session is over.
func (a *Authority) Revoke() {
	a.hasSession = false
	a.renewedAt = 0
}

// IsValid tells whether the process may act now.
func (a *Authority) IsValid(now model.Micros) bool {
	return a.hasSession && a.hasView && now < a.ExpiresAt()
}

// ExpiresAt is when authority ends that is valid now.
func (a *Authority) ExpiresAt() model.Micros {
	return a.Times.ValidUntil(min(a.renewedAt, a.syncedAt))
}

// IsViewFresh tells whether the view alone is recent enough to answer users from it.
func (a *Authority) IsViewFresh(now model.Micros) bool {
	return a.hasView && now < a.Times.ValidUntil(a.syncedAt)
}
