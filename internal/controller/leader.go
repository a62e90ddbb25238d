package controller

import (
	"errors"
	"log/slog"

	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
)

// Intervals of placement rounds: these use a share of the processor time that the
// settings grant, within bounds. Rounds that may preempt work take longer.
const (
	minPlacementInterval  = 40 * model.Millisecond
	maxPlacementInterval  = 400 * model.Millisecond
	placementCPUShare     = 0.15
	maxPreemptionInterval = 800 * model.Millisecond
	preemptionCPUShare    = 0.1
)

const (
	// maxTxnBytes keeps a transaction within the state service's 64 KiB, with room for
	// keys and conditions.
	maxTxnBytes = 48 << 10
	// machineTypesRetry is how soon machine types are fetched again that are not known.
	machineTypesRetry = model.Second
)

// taskSize is what a task takes, and whether it may use spot machines.
type taskSize struct {
	request    model.Resources
	allowsSpot bool
}

// leader is what a controller has only while it leads: the scheduler of tasks, the
// provisioner of machines, and what spills to other cells. It is part of the controller
// actor.
type leader struct {
	c                *controller
	token            uint64       // the fencing token: the revision of the leader's grant
	ready            bool         // it has taken over what former leaders wrote
	resync           bool         // a transaction failed: none before a synchronization of the view
	block            *shard.State // the scheduler
	pendingResponses []pendingResponse

	provisioner      *autoscaler.Provisioner
	nextProvisioning model.Micros // the next round at the latest
	provisionSoon    bool         // something has changed: do not wait for that
	lastProvisioning model.Micros
	rentalCount      int
	pendingRentals   map[string]cloud.Rental
	cloudBad         model.Micros // when the cloud last failed
	cloudGood        model.Micros
	recentSizes      map[taskSize]model.Micros
	deletedMachines  map[string]model.Micros // machines that were deleted
	missingFromLists map[string]int

	machineTypesAt, listAt, sweepAt, placeAt model.Micros
	placeGap                                 model.Micros // until the next placement round
	preemptAt, preemptGap                    model.Micros // the same for those that may preempt
	machineTypesBusy, listBusy               bool
	machineTypesKnown                        bool
	pendingDeletions                         map[string]model.Micros // when it is to be sent, see deletionSent
	seenLists                                int
	intents                                  intentLog
	spill                                    *spiller
}

func newLeader(c *controller, token uint64) *leader {
	params := autoscaler.Defaults()
	params.ExtraCapacityRate = float64(c.op.ExtraCapacityRate)
	params.Granularity = int(c.op.Granularity)
	params.RefusedPause = model.Seconds(float64(c.op.RefusedPauseS))
	l := &leader{
		c:                c,
		token:            token,
		provisioner:      autoscaler.New(params),
		pendingRentals:   map[string]cloud.Rental{},
		recentSizes:      map[taskSize]model.Micros{},
		deletedMachines:  map[string]model.Micros{},
		missingFromLists: map[string]int{},
		pendingDeletions: map[string]model.Micros{},
		intents:          newIntentLog(),
	}
	l.spill = newSpiller(l, c.op.Spill)
	return l
}

// takeOver builds the scheduler from a view that has everything that former leaders
// wrote: the new grant has fenced off their transactions.
func (l *leader) takeOver() {
	c := l.c
	l.block = shard.New(l.schedulerParams(), l.token)
	l.block.Log = logEvent
	l.block.SetMachineTypes(c.view.MachineTypes)
	l.spill.takeOver()
	for jobID := range c.view.Jobs {
		l.jobChanged(jobID)
	}
	c.view.Machines(l.restoreMachine)
	slots, names := c.view.Bundles(blockName)
	for i, slot := range slots {
		l.block.LoadSlot(slot, names[i])
	}
	l.block.StopSuperseded()
	l.spill.afterRestore()
	l.takeOverIntents()
	l.ready = true
	slog.Info("took over", "token", l.token, "machines", len(l.block.Machines), "jobs", len(l.block.Jobs))
}

func (l *leader) schedulerParams() shard.Params {
	c := l.c
	workers := c.set.Params.Workers
	return shard.Params{
		Teams:     c.teams,
		Report:    model.Seconds(workers.ReportS),
		Lease:     model.Seconds(workers.LeaseS),
		GangWait:  model.Seconds(workers.GangWaitS),
		Margin:    model.Second,
		MaxValue:  c.maxValue(),
		Dense:     c.dense(),
		Waits:     c.set.Waits(),
		Finish:    c.set.Finish(),
		Deadlines: c.set.Deadlines(),
		Guarantee: c.set.Guarantee(),
	}
}

// restoreMachine adds a machine with the tasks bound to it from its record.
func (l *leader) restoreMachine(machineID string, record *shard.MachineRecord) {
	machine := l.block.AddMachine(machineID, record.MachineType, record.Zone, record.Spot, l.c.now)
	machine.Stored = true
	for jobID, tasks := range record.Tasks {
		job := l.block.Jobs[jobID]
		if job == nil {
			continue // it has ended, so none of its tasks is on any machine
		}
		for _, task := range tasks {
			l.block.Restore(job, int(task[0]), task[1], machine)
		}
	}
}

// reload tells the scheduler of everything that a new listing has.
func (l *leader) reload() {
	if !l.ready {
		return
	}
	for jobID := range l.c.view.Jobs {
		l.jobChanged(jobID)
	}
	l.spill.reload()
}

// jobChanged tells the scheduler what the view says of a job.
func (l *leader) jobChanged(jobID string) {
	job := l.c.view.Jobs[jobID]
	if job == nil || l.spill.isGuest(jobID) {
		return // unknown, or it begins once the job of that name lent by another cell is gone
	}
	if scheduled := l.block.Jobs[jobID]; scheduled != nil {
		if job.End != "" {
			l.block.EndJob(jobID, job.End, l.c.now)
		} else {
			scheduled.Priority, scheduled.Deadline = job.Standing()
		}
		return
	}
	if job.Submission == nil || !job.Ready() || job.End != "" && l.ready {
		// No task of a job that has ended, or not begun, is on any machine.
		return
	}
	age := model.Micros(max(0, l.c.wall()-job.ReadyMs())) * model.Millisecond
	l.block.AddJob(job.Job(), l.c.view.Done(jobID), job.End, l.c.now, age)
	l.spill.jobAdded(jobID)
	l.provisionSoon = true
}

// due reports whether something is to be done again, and notes that it is done now.
func (l *leader) due(at *model.Micros, interval model.Micros) bool {
	if *at != 0 && l.c.now-*at < interval {
		return false
	}
	*at = l.c.now
	return true
}

// lead does what is due for a leader.
func (c *controller) lead() {
	l := c.leading
	if !l.ready || !c.auth.Holds(c.now) {
		l.answerPending(true)
		return
	}
	if l.due(&l.sweepAt, sweepGap) {
		l.block.Tick(c.now)
		l.releaseUnusableMachines()
	}
	l.takeOutcomes()
	l.spill.applyRights()
	l.spill.step()
	l.place()
	l.writeIntents()
	l.writeBindings()
	l.answerPending(false)
	l.refreshCloudData()
	if c.now >= l.nextProvisioning || l.provisionSoon && c.now-l.lastProvisioning >= provisionGap {
		l.provision()
	}
}

// refreshCloudData asks the cloud for machine types and for the list of machines, where
// these are due.
func (l *leader) refreshCloudData() {
	if !l.machineTypesBusy && l.machineTypesDue() {
		l.machineTypesAt, l.machineTypesBusy = l.c.now, true
		l.c.io.fetchMachineTypes()
	}
	if !l.listBusy && l.due(&l.listAt, listGap) {
		l.listBusy = true
		l.c.io.listMachines()
	}
}

func (l *leader) machineTypesDue() bool {
	age := l.c.now - l.machineTypesAt
	return l.machineTypesAt == 0 || age > machineTypesGap || !l.machineTypesKnown && age > machineTypesRetry
}

// writeBindings makes the scheduler's changes durable, one transaction at a time.
func (l *leader) writeBindings() {
	c := l.c
	if !c.lanes.free(laneBindings, c.now) || l.resync || l.block.Queued() == 0 {
		return
	}
	limit := min(c.limits.TxnOps, c.budget.Left(c.now))
	if limit < 1 {
		return
	}
	l.block.Params.Dense = c.dense()
	writes := l.block.Writes(limit, maxTxnBytes)
	if len(writes) == 0 {
		return
	}
	for i := range writes {
		if end, ok := writes[i].Value.(shard.JobRecord); ok {
			end.AtMs = c.wall()
			writes[i].Value = end
		}
	}
	c.send(laneBindings, msgCommitted{txn: l.bindingsTxn(writes), writes: writes, token: l.token})
}

// bindingsTxn makes a transaction of the scheduler's writes. Its conditions are the
// grant, and the known revision of every key, so that a copy that is executed late
// changes nothing.
func (l *leader) bindingsTxn(writes []shard.Write) *state.Txn {
	txn := &state.Txn{Conditions: []state.Condition{{Path: grantKey, Revision: l.token}}}
	for _, w := range writes {
		key := w.Key
		if key == "" {
			key = state.BundleKey(blockName, w.Slot)
		}
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: l.c.view.Revisions[key]})
		txn.Then = append(txn.Then, state.Op{Set: key, Value: w.Value})
	}
	return txn
}

// committed handles the outcome of a transaction that this leader has sent.
func (l *leader) committed(m msgCommitted) {
	switch m.lane {
	case laneMisc:
		if m.err == nil && m.res.OK {
			l.c.view.Apply(m.txn, m.res.Revision)
		}
	case laneIntent:
		l.intentsCommitted(m)
	case laneSpill:
		l.spill.committed(m)
	default:
		l.bindingsCommitted(m)
	}
}

// bindingsCommitted handles the outcome of a transaction of the scheduler's writes.
func (l *leader) bindingsCommitted(m msgCommitted) {
	c := l.c
	switch {
	case m.err != nil:
		l.bindingsFailed(m)
	case m.res.OK:
		c.view.Apply(m.txn, m.res.Revision)
		l.block.Committed(m.writes, c.now)
	default:
		slog.Info("conflict", "keys", m.res.Failed)
		if m.lostGrant() {
			c.stepDown(reasonGrantLost)
			return
		}
		l.block.Retry(m.writes, false)
		l.needSync()
	}
}

// bindingsFailed has the scheduler retry writes that were refused or got no answer, in
// smaller pieces if they were too large.
func (l *leader) bindingsFailed(m msgCommitted) {
	slog.Debug("commit", "err", m.err)
	if errors.Is(m.err, state.ErrTooBig) {
		l.c.lowerStateLimits(m.err)
		l.block.Params.MaxValue = l.c.maxValue()
		l.block.Recut(m.writes)
	} else {
		l.block.Retry(m.writes, !state.NotExecuted(m.err))
	}
	if l.c.writeFailed(m) {
		l.needSync()
	}
}

func (l *leader) needSync() {
	l.c.needSync(&l.resync)
}

// place runs a placement round if one is due. On a large fleet heartbeats come much
// faster than rounds can be run: a round then serves many of them.
func (l *leader) place() {
	c := l.c
	if !l.block.NeedsPlacement || !l.due(&l.placeAt, l.placeGap) {
		return
	}
	preempt := l.due(&l.preemptAt, l.preemptGap)
	start := c.clock()
	l.block.Place(c.now, preempt)
	took := c.clock() - start
	if preempt {
		l.preemptGap = min(l.intervalFor(took, preemptionCPUShare), maxPreemptionInterval)
	} else {
		l.placeGap = min(max(minPlacementInterval, l.intervalFor(took, placementCPUShare)), maxPlacementInterval)
	}
	l.provisionSoon = true
}

// intervalFor is the interval at which something that took so long uses only a share of
// the processor time that the settings grant.
func (l *leader) intervalFor(took model.Micros, share float64) model.Micros {
	cores := l.c.set.Params.Quota.Cores
	if cores <= 0 || cores > 1 {
		cores = 1
	}
	return model.Micros(float64(took) / (share * cores))
}
