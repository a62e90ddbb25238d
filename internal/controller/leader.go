package controller

import (
	"errors"
	"log/slog"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
)

// Rhythm of placement rounds: they take so much of the processor's share that the
// settings grant, within bounds. Rounds that may preempt work take longer.
const (
	placeLeast   = 40 * model.Millisecond
	placeMost    = 400 * model.Millisecond
	placeShare   = 0.15
	preemptMost  = 800 * model.Millisecond
	preemptShare = 0.1
)

// pace is the pause after something that took so long, so that it gets no more
// than a part of the processor's share.
func (l *leader) pace(took model.Micros, part float64) model.Micros {
	cores := l.c.set.Params.Quota.Cores
	if cores <= 0 || cores > 1 {
		cores = 1
	}
	return model.Micros(float64(took) / (part * cores))
}

// leader is what a controller has only while it leads. It is part of the
// controller actor.
type leader struct {
	c                *controller
	token            uint64
	ready            bool
	resync           bool // a transaction failed: no further one before a catch-up
	block            *shard.State
	pendingResponses []pendingResponse

	provisioner *autoscaler.Provisioner
	schedule    provisioningSchedule
	recentSizes recentTaskSizes
	inventory   machineInventory
	polling     cloudPolling
	cloudHealth cloudHealth

	sweepAt, placeAt      model.Micros
	placeGap              model.Micros // until the next placement round
	preemptAt, preemptGap model.Micros // the same for those that may preempt
	intents               intentLog
	spill                 *spiller
}

func newLeader(c *controller, token uint64) *leader {
	p := autoscaler.Defaults()
	p.ExtraCapacityRate, p.Granularity, p.RefusedPause = float64(c.op.ExtraCapacityRate), int(c.op.Granularity), model.Seconds(float64(c.op.RefusedPauseS))
	l := &leader{c: c, token: token, provisioner: autoscaler.New(p), recentSizes: recentTaskSizes{}, inventory: newMachineInventory(), intents: newIntentLog()}
	l.spill = newSpiller(l, c.op.Spill)
	return l
}

// takeOver builds the holder from a view that has everything that former
// holders wrote: their transactions are shut out by the new grant.
func (l *leader) takeOver() {
	c := l.c
	w := c.set.Params.Workers
	l.block = shard.New(shard.Params{Teams: c.teams, Report: model.Seconds(w.ReportS), Lease: model.Seconds(w.LeaseS),
		GangWait: model.Seconds(w.GangWaitS), Margin: model.Second, MaxValue: c.maxValue(), Dense: c.dense(),
		Waits: c.set.Waits(), Finish: c.set.Finish(), Deadlines: c.set.Deadlines(), Guarantee: c.set.Guarantee()}, l.token)
	l.block.Log = logEvent
	l.block.SetMachineTypes(c.view.MachineTypes)
	l.spill.takeOver()
	for ref := range c.view.Jobs {
		l.jobNews(ref)
	}
	c.view.Machines(func(ref string, rec *shard.MachineRecord) {
		m := l.block.AddMachine(ref, rec.MachineType, rec.Zone, rec.Spot, c.now)
		m.Stored = true
		for job, ps := range rec.Tasks {
			js := l.block.Jobs[job]
			if js == nil {
				continue // it is done, so nothing of it is on any machine
			}
			for _, p := range ps {
				l.block.Restore(js, int(p[0]), p[1], m)
			}
		}
	})
	slots, names := c.view.Bundles(blockName)
	for i, k := range slots {
		l.block.LoadSlot(k, names[i])
	}
	l.block.StopSuperseded()
	l.spill.afterRestore()
	l.takeOverIntents()
	l.ready = true
	slog.Info("took over", "token", l.token, "machines", len(l.block.Machines), "jobs", len(l.block.Jobs))
}

// reload tells the holder of everything that a fresh listing has.
func (l *leader) reload() {
	if !l.ready {
		return
	}
	for ref := range l.c.view.Jobs {
		l.jobNews(ref)
	}
	l.spill.reload()
}

// jobNews tells the holder what the view says of a job.
func (l *leader) jobNews(ref string) {
	j := l.c.view.Jobs[ref]
	if j == nil || l.spill.isGuest(ref) {
		return // unknown, or it begins when one of that name that another cell has lent is gone
	}
	if js := l.block.Jobs[ref]; js != nil {
		if j.End != "" {
			l.block.EndJob(ref, j.End, l.c.now)
		} else {
			js.Priority, js.Deadline = j.EffectivePriority()
		}
		return
	}
	if j.Submission == nil || !j.Ready() || j.End != "" && l.ready {
		// Of what is done nothing is on any machine, nor of what has not begun.
		return
	}
	age := model.Micros(max(0, l.c.wall()-j.ReadyMs())) * model.Millisecond
	l.block.AddJob(j.Job(), l.c.view.Done(ref), j.End, l.c.now, age)
	l.spill.jobAdded(ref)
	l.schedule.runSoon()
}

// due tells that something is to be done again, and notes that it is done now.
func (l *leader) due(at *model.Micros, gap model.Micros) bool {
	if *at != 0 && l.c.now-*at < gap {
		return false
	}
	*at = l.c.now
	return true
}

// lead does what is due for a leader.
func (c *controller) lead() {
	l := c.leading
	if !l.ready || !c.auth.IsValid(c.now) {
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
	l.pollCloud()
	if l.schedule.due(c.now) {
		l.provision()
	}
}

// writeBindings makes the holder's changes durable, one transaction at a time.
func (l *leader) writeBindings() {
	c := l.c
	if c.busy[laneHolder] || l.resync || c.now < c.pauses[laneHolder] || l.block.Queued() == 0 {
		return
	}
	n := min(c.limits.TxnOps, c.budget.Left(c.now))
	if n < 1 {
		return
	}
	l.block.Params.Dense = c.dense()
	ws := l.block.Writes(n, maxTxnBytes)
	if len(ws) == 0 {
		return
	}
	for i := range ws {
		if end, ok := ws[i].Value.(shard.JobRecord); ok {
			end.AtMs = c.wall()
			ws[i].Value = end
		}
	}
	t := holderTxn(blockName, ws, c.view.Revisions, state.Condition{Path: state.GrantKey(blockName), Revision: l.token})
	c.send(laneHolder, msgCommitted{txn: t, writes: ws, token: l.token})
}

// maxTxnBytes keeps a transaction within the state service's 64 KiB, with room
// for keys and guards.
const maxTxnBytes = 48 << 10

func (l *leader) committed(m msgCommitted) {
	c := l.c
	switch m.lane {
	case laneMisc:
		if m.err == nil && m.res.OK {
			c.view.Apply(m.txn, m.res.Revision)
		}
		return
	case laneIntent:
		l.intentsCommitted(m)
		return
	case laneSpill:
		l.spill.committed(m)
		return
	}
	switch {
	case m.err != nil:
		slog.Debug("commit", "err", m.err)
		if errors.Is(m.err, state.ErrTooBig) {
			c.tighten(m.err)
			l.block.Params.MaxValue = c.maxValue()
			l.block.RetryTooLarge(m.writes)
		} else {
			l.block.Retry(m.writes, !state.NotExecuted(m.err))
		}
		if c.writeFailed(m) {
			l.needSync()
		}
	case m.res.OK:
		c.view.Apply(m.txn, m.res.Revision)
		l.block.Committed(m.writes, c.now)
	default:
		slog.Info("conflict", "keys", m.res.Failed)
		if m.lostGrant() {
			c.stepDown("the grant is not ours any more")
			return
		}
		l.block.Retry(m.writes, false)
		l.needSync()
	}
}

func (l *leader) needSync() {
	l.c.needSync(&l.resync)
}

// place runs a placement round if one is due. On a large fleet reports come much
// faster than rounds can be had: a round then serves many of them.
func (l *leader) place() {
	c := l.c
	if !l.block.NeedsPlacement || !l.due(&l.placeAt, l.placeGap) {
		return
	}
	displace := l.due(&l.preemptAt, l.preemptGap)
	start := c.clock()
	l.block.Place(c.now, displace)
	took := c.clock() - start
	if displace {
		l.preemptGap = min(l.pace(took, preemptShare), preemptMost)
	} else {
		l.placeGap = min(max(placeLeast, l.pace(took, placeShare)), placeMost)
	}
	l.schedule.runSoon()
}
