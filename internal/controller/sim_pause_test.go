package controller

import (
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// pausePoint is a point between check, write, send and answer at which a process may
// stand still.
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

// pointOf is the point before a transaction is sent.
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

// answerOf is the point at which an answer comes in.
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

// reaches has the process stand still if it is to do so at this point.
func (n *simNode) reachPausePoint(point pausePoint) bool {
	if point == noPausePoint || n.paused || n.shouldPause == nil || !n.shouldPause(point) {
		return false
	}
	n.paused = true
	return true
}

// stopped tells that the process stands still; f is done when it goes on.
func (n *simNode) deferIfPaused(f func()) bool {
	if n.paused {
		n.deferredCalls = append(n.deferredCalls, f)
	}
	return n.paused
}

// pauseFor has a process stand still for a while: its clock goes on.
func (n *simNode) pauseFor(duration model.Micros) {
	n.paused = true
	n.resumeAfter(duration)
}

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
