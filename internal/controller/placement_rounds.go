package controller

import "woadweir/internal/core/model"

// Limits of the intervals between placement rounds. The intervals follow from the share of
// the configured CPU quota that rounds may use, within these bounds. Rounds that may
// preempt tasks take longer, and so have limits of their own.
const (
	minPlacementInterval  = 40 * model.Millisecond
	maxPlacementInterval  = 400 * model.Millisecond
	placementCPUShare     = 0.15
	maxPreemptionInterval = 800 * model.Millisecond
	preemptionCPUShare    = 0.1
)

// placementSchedule paces the leader's placement rounds by how long they take.
type placementSchedule struct {
	lastAt             model.Micros
	interval           model.Micros // until the next round
	lastPreemptionAt   model.Micros
	preemptionInterval model.Micros // until the next round that may preempt tasks
}

// recordDuration sets the interval until the next round of the same kind from the duration
// of a round. cores is the configured CPU quota; 0 counts as one core.
func (p *placementSchedule) recordDuration(duration model.Micros, preempted bool, cores float64) {
	if preempted {
		p.preemptionInterval = min(intervalFor(duration, preemptionCPUShare, cores), maxPreemptionInterval)
		return
	}
	p.interval = min(max(minPlacementInterval, intervalFor(duration, placementCPUShare, cores)), maxPlacementInterval)
}

// intervalFor returns the interval at which work of the given duration uses only a share of
// the CPU time of some cores. Placement uses one core at most.
func intervalFor(duration model.Micros, share, cores float64) model.Micros {
	if cores <= 0 || cores > 1 {
		cores = 1
	}
	return model.Micros(float64(duration) / (share * cores))
}

// place runs a placement round if one is due. On a large fleet, heartbeats arrive much
// faster than rounds can be run, so one round serves many of them.
func (l *leader) place() {
	c, schedule := l.controller, &l.placementSchedule
	if !l.shard.NeedsPlacement || !l.due(&schedule.lastAt, schedule.interval) {
		return
	}
	preempt := l.due(&schedule.lastPreemptionAt, schedule.preemptionInterval)
	start := c.clock()
	l.shard.Place(c.now, preempt)
	schedule.recordDuration(c.clock()-start, preempt, c.settings.Params.Quota.Cores)
	l.provisioningSchedule.runSoon()
}
