package controller

import (
	"log/slog"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// leader is what a controller has only while it leads: the scheduler of tasks, the
// provisioner of machines, and what spills to other cells. It is part of the controller
// actor.
type leader struct {
	controller *controller
	token      uint64 // the fencing token: the revision of the leader's grant
	ready      bool   // it has taken over what former leaders wrote
	resync     bool   // a transaction failed: none before a synchronization of the view

	// Scheduling.
	shard            *shard.State // the scheduler
	placement        placementRounds
	pendingResponses []pendingResponse
	lastSweepAt      model.Micros // when timeouts were last looked for
	spill            *spillManager

	// Provisioning.
	provisioner  *autoscaler.Provisioner
	provisioning provisioningSchedule
	recentSizes  recentTaskSizes
	intents      intentLog

	// The cloud's machines, and whether it answers.
	inventory   machineInventory
	polling     cloudPolling
	cloudHealth cloudHealth
}

func newLeader(c *controller, token uint64) *leader {
	params := autoscaler.Defaults()
	params.ExtraCapacityRate = float64(c.operator.ExtraCapacityRate)
	params.Granularity = int(c.operator.Granularity)
	params.RefusedPause = model.Seconds(float64(c.operator.RefusedPauseS))
	l := &leader{
		controller:  c,
		token:       token,
		provisioner: autoscaler.New(params),
		recentSizes: recentTaskSizes{},
		intents:     newIntentLog(),
		inventory:   newMachineInventory(),
	}
	l.spill = newSpillManager(l, c.operator.Spill)
	return l
}

// takeOver builds the scheduler from a view that has everything that former leaders
// wrote: the new grant has fenced off their transactions.
func (l *leader) takeOver() {
	c := l.controller
	l.shard = shard.New(l.schedulerParams(), l.token)
	l.shard.Log = logEvent
	l.shard.SetMachineTypes(c.view.MachineTypes)
	l.spill.takeOver()
	for jobID := range c.view.Jobs {
		l.jobChanged(jobID)
	}
	c.view.Machines(l.restoreMachine)
	slots, names := c.view.Bundles(shardName)
	for i, slot := range slots {
		l.shard.SetSlotEntries(slot, names[i])
	}
	l.shard.StopSuperseded()
	l.spill.suspendRestored()
	l.takeOverIntents()
	l.ready = true
	slog.Info("took over", "token", l.token, "machines", len(l.shard.Machines), "jobs", len(l.shard.Jobs))
}

func (l *leader) schedulerParams() shard.Params {
	c := l.controller
	workers := c.settings.Params.Workers
	return shard.Params{
		Teams:              c.teams,
		HeartbeatInterval:  model.Seconds(workers.ReportS),
		WorkerLease:        model.Seconds(workers.LeaseS),
		GangWait:           model.Seconds(workers.GangWaitS),
		LeaseMargin:        model.Second,
		MaxValue:           c.maxValueBytes(),
		DenseBundles:       c.usesDenseLayout(),
		StartObjectives:    c.settings.StartObjectives(),
		FinishObjectives:   c.settings.FinishObjectives(),
		DeadlineObjectives: c.settings.DeadlineObjectives(),
		GuaranteeObjective: c.settings.GuaranteeObjective(),
	}
}

// restoreMachine adds a machine with the tasks bound to it from its record.
func (l *leader) restoreMachine(machineID string, record *shard.MachineRecord) {
	machine := l.shard.AddMachine(machineID, record.MachineType, record.Zone, record.Spot, l.controller.now)
	machine.Stored = true
	for jobID, tasks := range record.Tasks {
		job := l.shard.Jobs[jobID]
		if job == nil {
			continue // it has ended, so none of its tasks is on any machine
		}
		for _, task := range tasks {
			l.shard.Restore(job, int(task[0]), task[1], machine)
		}
	}
}

// reload tells the scheduler of everything that a new listing has.
func (l *leader) reload() {
	if !l.ready {
		return
	}
	for jobID := range l.controller.view.Jobs {
		l.jobChanged(jobID)
	}
	l.spill.reload()
}

// jobChanged tells the scheduler what the view says of a job.
func (l *leader) jobChanged(jobID string) {
	job := l.controller.view.Jobs[jobID]
	if job == nil || l.spill.isBorrowed(jobID) {
		return // unknown, or it begins once the job of that name lent by another cell is gone
	}
	if scheduled := l.shard.Jobs[jobID]; scheduled != nil {
		if job.End != "" {
			l.shard.EndJob(jobID, job.End, l.controller.now)
		} else {
			scheduled.Priority, scheduled.Deadline = job.EffectivePriority()
		}
		return
	}
	if job.Submission == nil || !job.Ready() || job.End != "" && l.ready {
		// No task of a job that has ended, or not begun, is on any machine.
		return
	}
	age := model.Micros(max(0, l.controller.wallClockMs()-job.ReadyMs())) * model.Millisecond
	l.shard.AddJob(job.Job(), l.controller.view.Done(jobID), job.End, l.controller.now, age)
	l.spill.suspendIfLent(jobID)
	l.provisioning.runSoon()
}

// due reports whether something is to be done again, and notes that it is done now.
func (l *leader) due(lastAt *model.Micros, interval model.Micros) bool {
	if *lastAt != 0 && l.controller.now-*lastAt < interval {
		return false
	}
	*lastAt = l.controller.now
	return true
}

// lead does what is due for a leader.
func (c *controller) lead() {
	l := c.leading
	if !l.ready || !c.authority.IsValid(c.now) {
		l.answerPending(true)
		return
	}
	if l.due(&l.lastSweepAt, sweepInterval) {
		l.shard.Tick(c.now)
		l.releaseUnusableMachines()
	}
	l.applyOutcomes()
	l.spill.applyExecutionLeases()
	l.spill.step()
	l.place()
	l.writeIntents()
	l.writeBindings()
	l.answerPending(false)
	l.pollCloud()
	if l.provisioning.isDue(c.now) {
		l.provision()
	}
}

// committed handles the outcome of a transaction that this leader has sent.
func (l *leader) committed(m msgCommitted) {
	switch m.lane {
	case laneMisc:
		if m.err == nil && m.result.OK {
			l.controller.view.Apply(m.txn, m.result.Revision)
		}
	case laneIntent:
		l.intentsCommitted(m)
	case laneSpill:
		l.spill.committed(m)
	default:
		l.bindingsCommitted(m)
	}
}

// needSync keeps the leader from writing until the view has been synchronized.
func (l *leader) needSync() {
	l.controller.needSync(&l.resync)
}
