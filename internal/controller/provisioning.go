package controller

import (
	"fmt"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// cloudFailurePause is how long nothing is rented after a failed call to the cloud, unless
// a later call has succeeded.
const cloudFailurePause = 2 * model.Second

// provision runs a round of the autoscaler and carries out its decisions.
func (l *leader) provision() {
	c := l.controller
	l.provisioningSchedule.started(c.now, model.Seconds(float64(c.operator.LoopPeriodS)))
	if len(l.shard.MachineTypes) == 0 || l.inventory.listsReceived == 0 {
		// Until the first machine list arrives, the fleet may look empty although machines
		// are rented.
		l.provisioningSchedule.runSoon()
		return
	}
	out := l.provisioner.Round(l.provisioningInput())
	l.markSurplus(out.Surplus)
	if l.cloudHealth.isHealthy() || !l.cloudHealth.failedWithin(cloudFailurePause, c.now) {
		for _, rental := range out.Rent {
			l.rent(rental, out.Unplaced)
		}
	}
	for _, machine := range out.ScaleIn {
		l.releaseMachine(machine, "idle")
	}
	for _, machine := range out.Drain {
		l.shard.Drain(machine, c.now)
	}
	if out.Unplaced > 0 {
		l.provisioningSchedule.runSoon()
	}
}

// markSurplus marks exactly the given machines as surplus.
func (l *leader) markSurplus(surplus []*model.Machine) {
	for _, machine := range l.shard.Machines {
		machine.Surplus = false
	}
	for _, machine := range surplus {
		machine.Surplus = true
	}
}

// provisioningInput collects the input of a round of the autoscaler.
func (l *leader) provisioningInput() *autoscaler.Input {
	round := l.shard.NewRound(l.controller.now)
	round.Sort()
	in := &autoscaler.Input{
		Now:              l.controller.now,
		Machines:         round.Machines,
		MachineTypes:     l.shard.MachineTypes,
		CloudOK:          l.cloudHealth.isHealthy(),
		OnDemandPriority: model.ProductionPriority,
	}
	l.addPendingRentals(in)
	l.addWaitingWork(in, round)
	l.recentSizes.addTo(in)
	return in
}

// addPendingRentals adds requested machines as if they were rented already, so that they
// are not requested again.
func (l *leader) addPendingRentals(in *autoscaler.Input) {
	for requestID, rental := range l.inventory.pendingRentals {
		for k := range rental.Count {
			in.Machines = append(in.Machines, &model.Machine{
				ID:          fmt.Sprintf("~%s-%d", requestID, k),
				MachineType: rental.MachineType,
				Zone:        rental.Zone,
				Spot:        rental.Spot,
				Size:        l.shard.MachineTypes[rental.MachineType].Size(),
				RentedAt:    l.controller.now,
				EmptySince:  l.controller.now,
			})
		}
	}
}

// addWaitingWork adds the waiting tasks that may start within their teams' limits.
func (l *leader) addWaitingWork(in *autoscaler.Input, round *placement.Round) {
	now := l.controller.now
	remaining := map[string]model.Resources{}
	for _, team := range l.controller.teams {
		remaining[team.Name] = team.Limit.Minus(round.Used[team.Name])
	}
	for _, job := range round.Jobs {
		l.recentSizes.record(job, now)
		if !job.AllowsSpot {
			in.OnDemandPriority = min(in.OnDemandPriority, job.Priority)
			in.OnDemandMaxWait = max(in.OnDemandMaxWait, round.Estimates.MaxWait(job))
			in.Spread = in.Spread || job.Spread
		}
		if len(job.Waiting) == 0 || now < job.NotBefore {
			continue
		}
		count, need := startableTasks(job, remaining[job.Team])
		remaining[job.Team] = remaining[job.Team].Minus(need.Times(count))
		if count > 0 {
			in.Waiting = append(in.Waiting, autoscaler.Demand{Job: job, Count: count})
		}
	}
}

// startableTasks returns how many of a job's waiting tasks may start within what remains
// of its team's limit, and how much of that each task uses. Memory is not limited.
func startableTasks(job *model.JobState, remaining model.Resources) (count int, need model.Resources) {
	need = job.Request
	need.Mem = 0
	// For a job that fails on every machine, rent only for the task that is retried.
	count = job.BindableTasks(need.FitCount(remaining, len(job.Waiting)))
	if job.Kind == model.Gang && count < len(job.Waiting) {
		return 0, need
	}
	return count, need
}
