package controller

import (
	"log/slog"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
)

// machineFailedStatus is the status of a listed machine that has failed for good.
const machineFailedStatus = "failed"

// How many consecutive lists have to lack a machine before it counts as gone. A machine
// that has been listed stays listed until it is gone, but a list may be older than the
// previous one, so a young machine may be missing from one.
const (
	missesUntilGone      = 1
	missesUntilYoungGone = 2
	youngListLags        = 5 // a machine is young for this many times the list lag
)

// listed handles the cloud's answer to a request for the machine list.
func (c *controller) listed(m msgListed) {
	c.duties.cloudAnswered(m.err)
	l := c.leading
	if l == nil || !l.ready {
		return
	}
	l.polling.machineListInFlight = false
	if m.err != nil {
		l.cloudHealth.failed(c.now)
		return
	}
	l.cloudHealth.succeeded(c.now)
	l.inventory.listsReceived++
	listed := make(map[string]bool, len(m.machines))
	for i := range m.machines {
		entry := &m.machines[i]
		listed[entry.ID] = true
		if !l.inventory.isDeleted(entry.ID) {
			l.recordListed(entry, m.sentAt)
		}
	}
	l.inventory.countMisses(l.shard.Machines, listed)
}

// recordListed records one machine of a list that was requested at a time. It adds the
// machine to the fleet if its rental got no answer.
func (l *leader) recordListed(entry *cloud.Machine, requested model.Micros) {
	machine := l.shard.Machines[entry.ID]
	if machine == nil {
		machine = l.shard.AddMachine(entry.ID, entry.MachineType, entry.Zone, entry.Spot, l.controller.now)
		machine.RentedAt = requested - model.Seconds(entry.HeldS)
		slog.Info("machine found in the cloud's list", "machine", entry.ID, "type", entry.MachineType, "status", entry.Status)
	}
	machine.Listed = true
	if entry.Status == machineFailedStatus && !machine.Failed {
		machine.Failed = true
		slog.Info("machine failed", "machine", entry.ID)
	}
}

// goneFromLists reports whether enough consecutive lists lacked a machine for it to count
// as gone.
func (l *leader) goneFromLists(machine *model.Machine) bool {
	enough := missesUntilYoungGone
	if l.controller.now-machine.RentedAt > youngListLags*model.Seconds(l.controller.settings.Params.Cloud.ListLagS) {
		enough = missesUntilGone
	}
	return l.inventory.listMisses[machine.ID] >= enough
}
