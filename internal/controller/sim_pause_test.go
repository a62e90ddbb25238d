package controller

import (
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// pausePoint is a point at which a process may pause: before it sends a request, or when an
// answer arrives.
type pausePoint int

const (
	noPausePoint pausePoint = iota
	beforeLease
	beforeHandOver
	beforeIntent
	beforeRentOutcome
	beforeReturnOutcome
	beforeRemoval
	beforeRent
	beforeDelete
	rentAnswer
	deleteAnswer
	leaseAnswer
	intentAnswer
	beforeRenewal
	renewalAnswer
	pausePointCount
)

// pausePointBefore returns the point before a transaction is sent.
func pausePointBefore(m msgCommitted) pausePoint {
	if m.lane == laneIntent {
		return beforeIntent
	}
	if m.lane != laneDuty || len(m.txn.Then) == 0 {
		return noPausePoint
	}
	switch op := m.txn.Then[0]; {
	case op.Drop != "":
		return beforeRemoval
	case strings.HasPrefix(op.Set, duty.RentalPrefix):
		return beforeRentOutcome
	case strings.HasPrefix(op.Set, duty.ReturnPrefix):
		return beforeReturnOutcome
	case m.token != 0:
		return beforeHandOver
	}
	return beforeLease
}

// pausePointOnAnswer returns the point at which a message with an answer arrives.
func pausePointOnAnswer(m any) pausePoint {
	switch m := m.(type) {
	case msgRented:
		return rentAnswer
	case msgDeleted:
		return deleteAnswer
	case msgCommitted:
		if m.lane == laneIntent {
			return intentAnswer
		}
		if p := pausePointBefore(m); p == beforeLease || p == beforeHandOver {
			return leaseAnswer
		}
	}
	return noPausePoint
}

// reachPausePoint pauses the process if it is to pause at this point, and reports whether it
// did.
func (n *simNode) reachPausePoint(point pausePoint) bool {
	if point == noPausePoint || n.paused || n.shouldPause == nil || !n.shouldPause(point) {
		return false
	}
	n.paused = true
	return true
}

// deferIfPaused reports whether the process is paused; if so, f is called when it resumes.
func (n *simNode) deferIfPaused(f func()) bool {
	if n.paused {
		n.deferredCalls = append(n.deferredCalls, f)
	}
	return n.paused
}

// pauseFor pauses the process for a while; its clock runs on.
func (n *simNode) pauseFor(duration model.Micros) {
	n.paused = true
	n.resumeAfter(duration)
}

// resumeAfter resumes the process after that time, with all deferred calls, unless it has
// restarted or ended by then.
func (n *simNode) resumeAfter(duration model.Micros) {
	incarnation := n.incarnation
	n.sim.After(duration, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		calls := n.deferredCalls
		n.paused, n.deferredCalls = false, nil
		for _, f := range calls {
			f()
		}
	})
}
