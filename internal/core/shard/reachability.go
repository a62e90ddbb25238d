package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// checkReceivesAnswers finds out from a heartbeat whether our response to the one
// before reached the worker. In that case the heartbeat has our token, comes without
// the delay of a retry, is of the same incarnation, and has the tasks that the response
// started. A worker whose response was lost tries another controller first, after a
// pause. A machine whose heartbeats arrive while no response reaches it kills its tasks
// whenever its lease expires.
func (s *State) checkReceivesAnswers(machine *model.Machine, heartbeat *Heartbeat, now model.Micros) {
	receivedBefore := machine.ReceivesAnswers
	machine.ReceivesAnswers = s.receivedLastResponse(machine, heartbeat, now)
	switch {
	case machine.ReceivesAnswers:
		machine.UnansweredSince = 0
	case machine.UnansweredSince == 0:
		machine.UnansweredSince = now
	}
	if machine.ReceivesAnswers && !receivedBefore {
		machine.HasNewCapacity, s.NeedsPlacement = true, true
	}
}

// receivedLastResponse tells whether a heartbeat shows that the worker has received our
// response to the one before.
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

// has tells whether the attempt of a binding is in the heartbeat.
func (h *Heartbeat) has(b *model.Binding) bool {
	return slices.ContainsFunc(h.Tasks, func(task TaskStatus) bool {
		return task.ID == b.ID && task.Attempt == b.Attempt
	})
}

// Unreachable tells whether a machine still sends heartbeats, but has not received our
// responses for longer than its tasks can live without them.
func (s *State) Unreachable(m *model.Machine, now model.Micros) bool {
	if m.UnansweredSince == 0 || now-m.LastHeartbeat >= s.LeaseExpiry() {
		return false
	}
	return now-m.UnansweredSince > s.LeaseExpiry()+2*s.Params.HeartbeatInterval
}
