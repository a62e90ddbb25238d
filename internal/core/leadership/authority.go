// Package leadership determines for how long a controller may act as the leader. It
// computes lease times that are safe despite clock drift, tracks the authority that is
// based on a session lease, and implements the protocol that maintains this lease in the
// state service.
package leadership

import (
	"woadweir/internal/core/model"
)

const (
	// driftDivisor bounds how far two monotonic clocks may drift apart: by 1/driftDivisor
	// of the time passed, which is 0.05% for each clock, doubled as a margin.
	driftDivisor = 500
	// safetyMargin covers the delays of clocks and responses.
	safetyMargin = model.Second / 2
	// minSessionTTL is the shortest session lease that can be maintained.
	minSessionTTL = 2 * model.Second
	// stableSessionTTL is long enough for a session to survive a temporarily slow state
	// service and some lost requests.
	stableSessionTTL = 8 * model.Second
)

// LeaseTimes are the times on which the safety of a session lease depends.
type LeaseTimes struct {
	TTL    model.Micros // TTL of the session lease in the state service
	Margin model.Micros // how long before the lease may expire this process stops acting
}

// ComputeLeaseTimes computes the times of a session lease. Authority, a workerLease granted
// at its end and a margin have to end within cancelWithin, in which a cancelled task has to
// stop. The workers of a dead leader are to be taken over before their leases expire, while
// the session should survive an outage of the state service. blockLease, set by the
// operators, is the upper bound of the TTL.
//
// Two more heartbeat intervals are kept free before cancelWithin if that leaves a stable
// session. No rule requires them; with long heartbeat intervals and a short cancelWithin,
// they would leave a session so short that a single lost request ends it.
func ComputeLeaseTimes(blockLease, workerLease, heartbeatInterval, cancelWithin model.Micros) LeaseTimes {
	safe := maxSafeTTL(workerLease, cancelWithin)
	preferred := max(safe-2*heartbeatInterval, min(safe, stableSessionTTL))
	ttl := min(blockLease, workerLease-3*heartbeatInterval, preferred)
	return LeaseTimes{TTL: max(ttl, minSessionTTL), Margin: safetyMargin}
}

// maxSafeTTL returns the longest TTL of a session with which a worker's lease still ends
// within cancelWithin.
func maxSafeTTL(workerLease, cancelWithin model.Micros) model.Micros {
	return cancelWithin - workerLease - workerLease/driftDivisor - 4*safetyMargin
}

// IsFeasible reports whether a safe session is possible with these times.
func IsFeasible(workerLease, cancelWithin model.Micros) bool {
	return maxSafeTTL(workerLease, cancelWithin) >= minSessionTTL
}

// ValidUntil returns when authority ends that is based on a request sent at sentAt.
func (t LeaseTimes) ValidUntil(sentAt model.Micros) model.Micros {
	return sentAt + t.TTL - t.TTL/driftDivisor - t.Margin
}

// Authority tracks until when this process may act. It is based on the last successful
// renewal of the session lease and on the last time when the view of the state was known to
// be up to date. Both count from when the request was sent, as the service may have
// executed it at any time since.
type Authority struct {
	Times      LeaseTimes
	renewedAt  model.Micros
	syncedAt   model.Micros
	hasSession bool
	hasView    bool
}

// Renewed records a successful grant or renewal of the session lease that was sent at
// sentAt.
func (a *Authority) Renewed(sentAt model.Micros) {
	a.renewedAt = max(a.renewedAt, sentAt)
	a.hasSession = true
}

// ViewSynced records a successful update of the view that was requested at sentAt.
func (a *Authority) ViewSynced(sentAt model.Micros) {
	a.syncedAt = max(a.syncedAt, sentAt)
	a.hasView = true
}

// Revoke records that the session has ended.
func (a *Authority) Revoke() {
	a.hasSession = false
	a.renewedAt = 0
}

// IsValid reports whether the process may act now.
func (a *Authority) IsValid(now model.Micros) bool {
	return a.hasSession && a.hasView && now < a.ExpiresAt()
}

// ExpiresAt returns when the current authority ends.
func (a *Authority) ExpiresAt() model.Micros {
	return a.Times.ValidUntil(min(a.renewedAt, a.syncedAt))
}

// IsViewFresh reports whether the view is recent enough to answer users from it, regardless
// of the session.
func (a *Authority) IsViewFresh(now model.Micros) bool {
	return a.hasView && now < a.Times.ValidUntil(a.syncedAt)
}
