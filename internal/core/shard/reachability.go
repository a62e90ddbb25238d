package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// checkReceivesResponses determines from a heartbeat whether the response to the previous
// one reached the worker. In that case the heartbeat has the owner's token, arrives
// without the delay of a retry, is of the same incarnation, and contains the tasks that
// the response started. A worker whose response was lost tries another controller first,
// after a pause. A machine whose heartbeats arrive while no response reaches it kills its
// tasks whenever its lease expires.
func (s *State) checkReceivesResponses(machine *model.Machine, heartbeat *Heartbeat, now model.Micros) {
	receivedBefore := machine.ReceivesResponses
	machine.ReceivesResponses = s.receivedLastResponse(machine, heartbeat, now)
	switch {
	case machine.ReceivesResponses:
		machine.NoResponseSince = 0
	case machine.NoResponseSince == 0:
		machine.NoResponseSince = now
	}
	if machine.ReceivesResponses && !receivedBefore {
		machine.HasNewCapacity, s.NeedsPlacement = true, true
	}
}

// receivedLastResponse reports whether a heartbeat shows that the worker has received the
// response to its previous heartbeat.
func (s *State) receivedLastResponse(machine *model.Machine, heartbeat *Heartbeat, now model.Micros) bool {
	if heartbeat.Token != s.Token || heartbeat.Incarnation != machine.Incarnation {
		return false
	}
	if now-machine.LastHeartbeat > s.Params.HeartbeatInterval*3/2+model.Second {
		return false
	}
	for _, b := range machine.Bindings {
		started := b.SentIncarnation == machine.Incarnation && b.SentSequence == machine.Sequence
		if started && !heartbeat.has(b) {
			return false
		}
	}
	return true
}

// has reports whether the heartbeat contains the attempt of a binding.
func (h *Heartbeat) has(b *model.Binding) bool {
	return slices.ContainsFunc(h.Tasks, func(task TaskStatus) bool {
		return task.ID == b.ID && task.Attempt == b.Attempt
	})
}

// Unreachable reports whether a machine still sends heartbeats, but has not received
// responses for longer than its tasks can run without them.
func (s *State) Unreachable(m *model.Machine, now model.Micros) bool {
	if m.NoResponseSince == 0 || now-m.LastHeartbeat >= s.LeaseExpiry() {
		return false
	}
	return now-m.NoResponseSince > s.LeaseExpiry()+2*s.Params.HeartbeatInterval
}
