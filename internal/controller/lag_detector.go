package controller

import "woadweir/internal/core/model"

// A controller counts as overloaded after several consecutive late ticks over a longer
// time. A process that was paused once has only one late tick.
const (
	lateTickGap  = model.Second // a tick that comes this long after the previous one is late
	minLateTicks = 3            // consecutive
	minOverload  = 5 * model.Second
)

// lagDetector detects that a controller's actor falls behind its ticks.
type lagDetector struct {
	lastTickAt model.Micros
	lateSince  model.Micros // time of the last tick before the late ones
	lateTicks  int          // consecutive
}

// ticked records a tick.
func (d *lagDetector) ticked(now model.Micros) {
	switch {
	case d.lastTickAt == 0 || now-d.lastTickAt < lateTickGap:
		d.lateSince, d.lateTicks = 0, 0
	case d.lateTicks == 0:
		d.lateSince, d.lateTicks = d.lastTickAt, 1
	default:
		d.lateTicks++
	}
	d.lastTickAt = now
}

// isOverloaded reports whether the actor has been behind its ticks for at least minOverload.
func (d *lagDetector) isOverloaded(now model.Micros) bool {
	return d.lateTicks >= minLateTicks && now-d.lateSince >= minOverload
}
