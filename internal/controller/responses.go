package controller

import (
	"net/http"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/workerapi"
)

const (
	// maxResponseDelay is the maximum time for which a response waits for bindings to be
	// committed.
	maxResponseDelay = 250 * model.Millisecond
	// maxWithheldDelay is the maximum time for which a response waits for the execution
	// lease of a job that another cell lent.
	maxWithheldDelay = 1500 * model.Millisecond
)

// pendingResponse is a delayed response to a worker's heartbeat.
type pendingResponse struct {
	msg   msgHeartbeat
	until model.Micros
}

// handleHeartbeat processes a worker's heartbeat. The response may be delayed for bindings
// that the heartbeat makes possible.
func (l *leader) handleHeartbeat(m msgHeartbeat) {
	machineID := m.heartbeat.Machine
	if l.inventory.isDeleted(machineID) {
		m.reply <- workerUnavailable()
		return
	}
	switch l.shard.ApplyHeartbeat(m.heartbeat, l.controller.now) {
	case shard.Stale:
		m.reply <- workerUnavailable()
		return
	case shard.HigherToken:
		l.controller.sync.request()
		m.reply <- redirectTo("")
		return
	case shard.TokenUnknown:
		m.reply <- workerAnswer{code: http.StatusOK, body: workerapi.Answer(l.token, nil)}
		return
	}
	l.place()
	if l.shouldDelay(machineID) {
		l.pendingResponses = append(l.pendingResponses, pendingResponse{m, l.controller.now + l.responseDelay(machineID)})
		return
	}
	l.respond(m)
}

// responseDelay returns the maximum delay of the response to a machine.
func (l *leader) responseDelay(machineID string) model.Micros {
	if l.spill.withholdsAnswers(machineID) {
		// A refused worker would try the next controller and lose seconds of its lease.
		return maxWithheldDelay
	}
	return maxResponseDelay
}

// shouldDelay reports whether the response to a machine's heartbeat should wait: for the
// machine's bindings to be committed, for the placement round that may bind tasks to it, or
// for the execution lease of lent tasks.
func (l *leader) shouldDelay(machineID string) bool {
	if l.shard.HasPendingWrite(machineID) || l.spill.withholdsAnswers(machineID) {
		return true
	}
	machine := l.shard.Machines[machineID]
	return l.shard.NeedsPlacement && machine != nil && machine.HasNewCapacity
}

// respond sends a machine its commands, unless a newer heartbeat from the machine has
// arrived since or this controller may no longer command it.
func (l *leader) respond(m msgHeartbeat) {
	machine := l.shard.Machines[m.heartbeat.Machine]
	l.spill.applyExecutionLeases()
	if l.spill.withholdsAnswers(m.heartbeat.Machine) {
		m.reply <- workerUnavailable()
		return
	}
	if machine == nil || machine.Incarnation != m.heartbeat.Incarnation || machine.Sequence != m.heartbeat.Sequence || machine.Deleting || !l.controller.authority.IsValid(l.controller.now) {
		m.reply <- workerUnavailable()
		return
	}
	m.reply <- workerAnswer{code: http.StatusOK, body: workerapi.Answer(l.token, l.shard.Commands(m.heartbeat, l.controller.now))}
}

// answerPending sends the delayed responses that no longer need to wait, or all of them.
func (l *leader) answerPending(all bool) {
	if len(l.pendingResponses) == 0 {
		return
	}
	waiting := l.pendingResponses[:0]
	for _, pending := range l.pendingResponses {
		if !all && l.shouldDelay(pending.msg.heartbeat.Machine) && l.controller.now < pending.until {
			waiting = append(waiting, pending)
			continue
		}
		l.respond(pending.msg)
	}
	l.pendingResponses = waiting
}
