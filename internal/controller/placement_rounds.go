package controller

import "woadweir/internal/core/model"

// Intervals of placement rounds: these use a share of the processor time that the
// settings grant, within bounds. Rounds that may preempt work take longer.
const (
	minPlacementInterval  = 40 * model.Millisecond
	maxPlacementInterval  = 400 * model.Millisecond
	placementCPUShare     = 0.15
	maxPreemptionInterval = 800 * model.Millisecond
	preemptionCPUShare    = 0.1
)

// placementRounds paces the leader's placement rounds by how long they take.
type placementRounds struct {
	lastAt             model.Micros
	interval           model.Micros // until the next round
	lastPreemptionAt   model.Micros
	preemptionInterval model.Micros // until the next round that may preempt work
}

// recordDuration sets the interval until the next round of its kind from how long one has taken.
func (p *placementRounds) recordDuration(duration model.Micros, preempted bool, cores float64) {
	if preempted {
		p.preemptionInterval = min(intervalFor(duration, preemptionCPUShare, cores), maxPreemptionInterval)
		return
	}
	p.interval = min(max(minPlacementInterval, intervalFor(duration, placementCPUShare, cores)), maxPlacementInterval)
}

// intervalFor is the interval at which something that takes so long uses only a share
// of the processor time of some cores. Placement uses one core at most.
func intervalFor(duration model.Micros, share, cores float64) model.Micros {
	if cores <= 0 || cores > 1 {
		cores = 1
	}
	return model.Micros(float64(duration) / (share * cores))
}

// place runs a placement round if one is due. On a large fleet heartbeats come much
// faster than rounds can be run: a round then serves many of them.
func (l *leader) place() {
	c, rounds := l.controller, &l.placement
	if !l.shard.NeedsPlacement || !l.due(&rounds.lastAt, rounds.interval) {
		return
	}
	preempt := l.due(&rounds.lastPreemptionAt, rounds.preemptionInterval)
	start := c.clock()
	l.shard.Place(c.now, preempt)
	rounds.recordDuration(c.clock()-start, preempt, c.settings.Params.Quota.Cores)
	l.provisioning.runSoon()
}
