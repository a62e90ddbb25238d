package controller

import "woadweir/internal/core/model"

// What makes a controller overloaded: ticks that are so late, so many in a row, for so
// long. A process that was paused once is late once.
const (
	lateTick       = model.Second
	minLateTicks   = 3
	overloadPeriod = 5 * model.Second
)

// lagDetector finds out whether a controller's actor falls behind its ticks.
type lagDetector struct {
	tickAt    model.Micros // of the last tick
	lateSince model.Micros
	lateTicks int // in a row
}

// ticked records a tick.
func (g *lagDetector) ticked(now model.Micros) {
	switch {
	case g.tickAt == 0 || now-g.tickAt < lateTick:
		g.lateSince, g.lateTicks = 0, 0
	case g.lateTicks == 0:
		g.lateSince, g.lateTicks = g.tickAt, 1
	default:
		g.lateTicks++
	}
	g.tickAt = now
}

// overloaded reports whether the actor has fallen behind for long.
func (g *lagDetector) overloaded(now model.Micros) bool {
	return g.lateTicks >= minLateTicks && now-g.lateSince >= overloadPeriod
}
