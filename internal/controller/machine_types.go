package controller

import (
	"log/slog"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// machineTypesFetched handles the cloud's answer to a request for its machine types.
func (c *controller) machineTypesFetched(m msgMachineTypes) {
	c.duties.cloudAnswered(m.err)
	if c.leading != nil {
		c.leading.machineTypesFetched(m)
	}
}

func (l *leader) machineTypesFetched(m msgMachineTypes) {
	c := l.controller
	l.polling.machineTypesInFlight = false
	if m.err != nil || len(m.machineTypes) == 0 {
		slog.Debug("the cloud's machine types could not be read", "err", m.err)
		l.cloudHealth.failed(c.now)
		return
	}
	l.polling.machineTypesKnown = true
	l.cloudHealth.succeeded(c.now)
	if !sameMachineTypes(m.machineTypes, c.view.MachineTypes) && !c.lanes.busy[laneMisc] {
		l.writeMachineTypes(m.machineTypes)
	}
	if l.ready {
		l.shard.SetMachineTypes(m.machineTypes)
		l.provisioningSchedule.runSoon()
	}
}

// sameMachineTypes reports whether two lists have the same names and sizes.
func sameMachineTypes(a, b []model.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Size() != b[i].Size() {
			return false
		}
	}
	return true
}

// writeMachineTypes stores the machine types for all controllers, as many as fit into a
// value: when the cloud has become unreachable, a controller that knows some of them can
// still decide for most submissions whether they can run.
func (l *leader) writeMachineTypes(machineTypes []model.MachineType) {
	c := l.controller
	record := state.MachineTypesRecord{MachineTypes: machineTypes}
	for len(record.MachineTypes) > 0 && !c.fitsValue(record) {
		record.MachineTypes = record.MachineTypes[:len(record.MachineTypes)-1]
	}
	txn := &state.Txn{
		Conditions: []state.Condition{
			{Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]},
			{Path: state.MachineTypesKey, Revision: c.view.Revisions[state.MachineTypesKey]},
		},
		Then: []state.Op{{Set: state.MachineTypesKey, Value: record}},
	}
	c.send(laneMisc, msgCommitted{txn: txn, token: l.token})
}
