package controller

import (
	"log/slog"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// leader is the state that a controller has only while it is the leader: the scheduler of
// tasks, the provisioner of machines, and the exchange of jobs with other cells. It is part
// of the controller actor.
type leader struct {
	controller *controller
	token      uint64 // the fencing token: the revision of the leader's grant
	ready      bool   // the state that former leaders wrote has been loaded
	resync     bool   // a transaction failed: the view must be synchronized before the next one

	// Scheduling.
	shard             *shard.State // the scheduler
	placementSchedule placementSchedule
	pendingResponses  []pendingResponse
	lastSweepAt       model.Micros // when timeouts were last checked
	spill             *spillManager

	// Provisioning.
	provisioner          *autoscaler.Provisioner
	provisioningSchedule provisioningSchedule
	recentSizes          recentTaskSizes
	intents              intentLog

	// The machines in the cloud, and whether the cloud answers.
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

// takeOver builds the scheduler from a view that includes everything that former leaders
// wrote: the new grant fences off any later transactions of theirs.
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
	slog.Info("took over leadership: loaded the state of former leaders", "token", l.token, "machines", len(l.shard.Machines), "jobs", len(l.shard.Jobs))
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
			continue // the job has ended, so none of its tasks is on any machine
		}
		for _, task := range tasks {
			l.shard.Restore(job, int(task[0]), task[1], machine)
		}
	}
}

// reload passes every job of a newly listed view to the scheduler.
func (l *leader) reload() {
	if !l.ready {
		return
	}
	for jobID := range l.controller.view.Jobs {
		l.jobChanged(jobID)
	}
	l.spill.reload()
}

// jobChanged passes the view's state of a job to the scheduler.
func (l *leader) jobChanged(jobID string) {
	job := l.controller.view.Jobs[jobID]
	if job == nil || l.spill.isBorrowed(jobID) {
		return // unknown, or it starts only after the job with this ID that another cell lent is gone
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
		// No task of a job that has ended or has not started yet is on any machine.
		return
	}
	age := model.Micros(max(0, l.controller.wallClockMs()-job.ReadyMs())) * model.Millisecond
	l.shard.AddJob(job.Job(), l.controller.view.Done(jobID), job.End, l.controller.now, age)
	l.spill.suspendIfLent(jobID)
	l.provisioningSchedule.runSoon()
}

// due reports whether periodic work is due, and if so, sets the time of its last run to
// now.
func (l *leader) due(lastAt *model.Micros, interval model.Micros) bool {
	if *lastAt != 0 && l.controller.now-*lastAt < interval {
		return false
	}
	*lastAt = l.controller.now
	return true
}

// lead runs all periodic work of the leader that is due.
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
	if l.provisioningSchedule.isDue(c.now) {
		l.provision()
	}
}

// committed handles the outcome of a transaction that this leader sent.
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
