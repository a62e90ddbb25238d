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
	nowhere pausePoint = iota
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
	pausePoints
)

// pointOf is the point before a transaction is sent.
func pointOf(m msgCommitted) pausePoint {
	if m.lane == laneIntent {
		return beforeIntent
	}
	if m.lane != laneDuty || len(m.txn.Then) == 0 {
		return nowhere
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
func answerOf(m any) pausePoint {
	switch m := m.(type) {
	case msgRented:
		return rentAnswer
	case msgDeleted:
		return deleteAnswer
	case msgCommitted:
		if m.lane == laneIntent {
			return intentAnswer
		}
		if p := pointOf(m); p == beforeLease || p == beforeHandOver {
			return leaseAnswer
		}
	}
	return nowhere
}

// reaches has the process stand still if it is to do so at this point.
func (n *simNode) reaches(point pausePoint) bool {
	if point == nowhere || n.paused || n.pauseAt == nil || !n.pauseAt(point) {
		return false
	}
	n.paused = true
	return true
}

// stopped tells that the process stands still; f is done when it goes on.
func (n *simNode) stopped(f func()) bool {
	if n.paused {
		n.waiting = append(n.waiting, f)
	}
	return n.paused
}

// pauseFor has a process stand still for a while: its clock goes on.
func (n *simNode) pauseFor(d model.Micros) {
	n.paused = true
	n.resumeAfter(d)
}

func (n *simNode) resumeAfter(d model.Micros) {
	life := n.life
	n.w.After(d, func() {
		if n.life != life || !n.alive {
			return
		}
		waiting := n.waiting
		n.paused, n.waiting = false, nil
		for _, f := range waiting {
			f()
		}
	})
}
