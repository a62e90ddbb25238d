package controller

import "woadweir/internal/core/model"

// What makes a controller overloaded: ticks that are so late, so many in a row, for so
// long. A process that was paused once is late once.
const (
	lateTickGap  = model.Second
	minLateTicks = 3
	minOverload  = 5 * model.Second
)

// lagDetector finds out whether a controller's actor falls behind its ticks.
type lagDetector struct {
	lastTickAt model.Micros // of the last tick
	lateSince  model.Micros
	lateTicks  int // in a row
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

// isOverloaded reports whether the actor has fallen behind for long.
func (d *lagDetector) isOverloaded(now model.Micros) bool {
	return d.lateTicks >= minLateTicks && now-d.lateSince >= minOverload
}
