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
func (g *lagDetector) ticked(now model.Micros) {
	switch {
	case g.lastTickAt == 0 || now-g.lastTickAt < lateTickGap:
		g.lateSince, g.lateTicks = 0, 0
	case g.lateTicks == 0:
		g.lateSince, g.lateTicks = g.lastTickAt, 1
	default:
		g.lateTicks++
	}
	g.lastTickAt = now
}

// isOverloaded reports whether the actor has fallen behind for long.
func (g *lagDetector) isOverloaded(now model.Micros) bool {
	return g.lateTicks >= minLateTicks && now-g.lateSince >= minOverload
}
