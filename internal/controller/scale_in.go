package controller

import (
	"log/slog"

	"woadweir/internal/core/model"
)

// Limits of the sweeps that release unusable machines.
const (
	sweepInterval      = 500 * model.Millisecond
	lostMachineMargin  = 5 * model.Second  // between a lost machine's lease expiry and its release
	minBootTimeout     = 60 * model.Second // every machine gets at least this long to boot
	unreachableDivisor = 4                 // unreachable machines are released if at most 1/unreachableDivisor of the fleet are
)

// releaseUnusableMachines releases unusable machines and sends the deletions that are due.
func (l *leader) releaseUnusableMachines() {
	fewUnreachable := l.fewUnreachable()
	for _, machine := range l.shard.Machines {
		if reason := l.unusableReason(machine, fewUnreachable); reason != "" {
			l.releaseMachine(machine, reason)
		}
	}
	l.inventory.forgetDeleted(l.controller.now)
	l.sendDeletions()
}

// unusableReason returns why a machine is to be released, or "" if it is not. Unreachable
// machines are released only if there are few of them.
func (l *leader) unusableReason(machine *model.Machine, fewUnreachable bool) string {
	now := l.controller.now
	silence := now - max(machine.LastHeartbeat, machine.RentedAt)
	switch {
	case machine.Deleting:
		return ""
	case machine.Failed:
		return "the cloud lists it as failed"
	case l.goneFromLists(machine) && silence > l.shard.MaxHeartbeatGap():
		return "no longer listed by the cloud"
	case machine.Up && machine.Lost && silence > l.shard.LeaseExpiry()+lostMachineMargin:
		return "no heartbeats"
	case fewUnreachable && l.shard.Unreachable(machine, now):
		return "does not receive responses"
	case machine.Draining && len(machine.Bindings) == 0:
		return "drained"
	case l.neverBooted(machine, silence):
		return "did not boot in time"
	}
	return ""
}

// neverBooted reports whether a machine has been silent since it was rented for far
// longer than machines of its type take to boot.
func (l *leader) neverBooted(machine *model.Machine, silence model.Micros) bool {
	machineType := l.shard.MachineTypes[machine.MachineType]
	if machine.Up || machineType == nil || len(machine.Bindings) > 0 {
		return false
	}
	bootLimit := model.Seconds(machineType.BootS * l.provisioner.Params.FailedAfterBoots)
	return silence > max(bootLimit, minBootTimeout)
}

// fewUnreachable reports whether only few machines fail to receive our responses. If many
// do, the fault may be ours, for example because this controller falls behind, and
// releasing them all would do more harm than keeping them.
func (l *leader) fewUnreachable() bool {
	unreachable := 0
	for _, machine := range l.shard.Machines {
		if machine.NoResponseSince != 0 {
			unreachable++
		}
	}
	return unreachable <= max(1, len(l.shard.Machines)/unreachableDivisor)
}

// releaseMachine decides that a machine is deleted. This can't be undone, because a
// deletion that got no answer may still be carried out.
func (l *leader) releaseMachine(machine *model.Machine, why string) {
	if machine.Deleting {
		return
	}
	machine.Deleting = true
	l.inventory.pendingDeletions[machine.ID] = deletionDue
	slog.Info("releasing machine", "machine", machine.ID, "type", machine.MachineType, "why", why)
}

// sendDeletions requests the deletions that are due, or queues intents for them.
func (l *leader) sendDeletions() {
	machineIDs := l.inventory.takeDueDeletions(l.controller.now)
	switch {
	case len(machineIDs) == 0:
	case l.controller.usesIntents():
		l.queueReturn(machineIDs)
	default:
		l.controller.io.deleteMachines(msgDeleted{machineIDs: machineIDs, token: l.token})
	}
}

// deleted handles the cloud's answer to a deletion.
func (c *controller) deleted(m msgDeleted) {
	if m.intentKey != "" {
		c.duties.deleted(m)
		return
	}
	l := c.leading
	if l == nil || l.token != m.token {
		return
	}
	if m.err != nil {
		l.cloudHealth.failed(c.now)
		l.inventory.retryDeletions(m.machineIDs, c.now)
		return
	}
	l.cloudHealth.succeeded(c.now)
	for _, machineID := range m.machineIDs {
		l.machineDeleted(machineID)
	}
	l.provisioningSchedule.runSoon()
}

// machineDeleted handles a deletion that the cloud has confirmed.
func (l *leader) machineDeleted(machineID string) {
	l.inventory.confirmDeletion(machineID, l.controller.now)
	l.shard.MachineDeleted(machineID, "deleted", l.controller.now)
	slog.Info("machine deleted", "machine", machineID)
}
