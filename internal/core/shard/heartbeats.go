package shard

import (
	"woadweir/internal/core/model"
)

// TaskStatus is the reported status of one attempt of a task in a heartbeat.
type TaskStatus struct {
	ID         model.TaskID
	Attempt    uint64
	Status     model.TaskState
	Cause      ExitCause // why the attempt has exited, empty until then
	StateSaved bool      // the task saved its state before it exited
}

// ExitCause is the cause of an attempt's exit. Its value is sent by workers and logged.
type ExitCause string

// The causes of exits.
const (
	CauseDone           ExitCause = "done"
	CauseError          ExitCause = "error"
	CauseStopped        ExitCause = "stopped"    // by a command
	CauseGangMemberGone ExitCause = "mates_gone" // another task of the gang is gone
	CauseGangIncomplete ExitCause = "alone"      // the gang was not complete in time
	CauseJobUnknown     ExitCause = "unknown"    // refused: there is no such job or task
	CauseNoCapacity     ExitCause = "full"       // refused: not enough free resources
	CauseOtherAttempt   ExitCause = "in_use"     // refused: the machine has another attempt
)

// Heartbeat is a worker's message about its machine and the tasks on it.
type Heartbeat struct {
	Machine, Addr, MachineType, Zone string
	Spot                             bool
	Incarnation, Sequence, Token     uint64
	SpotNotice                       bool         // the cloud is going to reclaim the machine
	ReclaimedIn                      model.Micros // time until it does, if SpotNotice is set
	Tasks                            []TaskStatus
}

// HeartbeatResult is the result of ApplyHeartbeat.
type HeartbeatResult uint8

// The results of ApplyHeartbeat.
const (
	// Accepted means that the heartbeat was applied. It is answered with commands.
	Accepted HeartbeatResult = iota
	// Stale means that the heartbeat is a late copy, or that its machine is being deleted.
	Stale
	// HigherToken means that the worker knows a higher fencing token than that of this
	// shard's owner.
	HigherToken
	// TokenUnknown means that the machine is unknown and does not know the owner's token
	// yet. It is answered with the token alone: unless the heartbeat is an old copy, the
	// machine's next heartbeat has that token.
	TokenUnknown
)

// ApplyHeartbeat updates the state from a heartbeat. The commands for the response are
// returned by Commands, after the placement round that the heartbeat may have caused.
func (s *State) ApplyHeartbeat(heartbeat *Heartbeat, now model.Micros) HeartbeatResult {
	if heartbeat.Token > s.Token {
		return HigherToken
	}
	machine := s.Machines[heartbeat.Machine]
	if machine == nil && heartbeat.Token != s.Token {
		// It may be an old copy of a heartbeat of a machine that is gone.
		return TokenUnknown
	}
	if machine == nil {
		machine = s.AddMachine(heartbeat.Machine, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot, now)
		s.Log(Event{Kind: EventAppeared, Machine: heartbeat.Machine})
	}
	if machine.Deleting || isStale(machine, heartbeat) {
		return Stale
	}
	s.updateMachine(machine, heartbeat, now)
	reported := s.applyTaskStatuses(machine, heartbeat.Tasks, now)
	s.detectSlowMachine(machine, now)
	s.quarantineIfFaulty(machine, now)
	if heartbeat.Token == s.Token {
		// Under an older token, a start command of an earlier owner may still be in flight.
		s.unbindMissing(machine, reported, now)
	}
	return Accepted
}

// isStale reports whether the same or a newer heartbeat of the machine has been applied
// already. A late copy must not revert its effects.
func isStale(machine *model.Machine, heartbeat *Heartbeat) bool {
	return heartbeat.Incarnation < machine.Incarnation || heartbeat.Incarnation == machine.Incarnation && heartbeat.Sequence <= machine.Sequence
}

// updateMachine applies the fields of a heartbeat that describe the machine itself.
func (s *State) updateMachine(machine *model.Machine, heartbeat *Heartbeat, now model.Micros) {
	s.checkReceivesResponses(machine, heartbeat, now)
	// The response must not wait for a placement round if it may not reach the worker.
	machine.HasNewCapacity = machine.HasNewCapacity && machine.ReceivesResponses
	if !machine.Up && heartbeat.Token == s.Token {
		machine.Up, machine.HasNewCapacity, s.NeedsPlacement = true, true, true
		s.Log(Event{Kind: EventUp, Machine: machine.ID})
	}
	machine.Lost = false
	machine.Addr, machine.Token = heartbeat.Addr, heartbeat.Token
	machine.Incarnation, machine.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	machine.LastHeartbeat, machine.LastResponse = now, now
	if heartbeat.SpotNotice && !machine.SpotNotice {
		machine.SpotNotice, machine.ReclaimedAt = true, now+heartbeat.ReclaimedIn
		s.stopBeforeReclaim(machine, now)
	}
}

// applyTaskStatuses applies the statuses of the tasks in a heartbeat. It returns which
// bound tasks are in it.
func (s *State) applyTaskStatuses(machine *model.Machine, tasks []TaskStatus, now model.Micros) map[model.TaskID]bool {
	reported := make(map[model.TaskID]bool, len(tasks))
	for i := range tasks {
		task := &tasks[i]
		binding := machine.Bindings[task.ID]
		if binding != nil && binding.Attempt == task.Attempt {
			reported[task.ID] = true
			s.updateBinding(binding, task, now)
		} else if task.Status == model.Exited && task.Cause == CauseDone {
			s.recordCompletion(task.ID, nil, now)
		}
	}
	return reported
}

// unbindMissing removes the bindings of tasks that are proven not to be on the machine
// because they are missing from its heartbeat.
func (s *State) unbindMissing(machine *model.Machine, reported map[model.TaskID]bool, now model.Micros) {
	for id, binding := range machine.Bindings {
		if reported[id] {
			continue
		}
		sent := binding.SentIncarnation != 0 || binding.SentSequence != 0
		switch {
		case binding.Reported:
			s.unbind(binding, "missing from a newer heartbeat", now)
		case binding.Stopping || s.Jobs[id.Job].Done.Has(id.Index) || s.Jobs[id.Job].FinalStatus != "":
			// The start was never sent, or that response was lost: a worker only acts on the
			// response to its last heartbeat, and this heartbeat is newer.
			s.unbind(binding, "missing from a newer heartbeat, no longer needed", now)
		case sent && now-binding.BoundAt > s.Params.GangWait:
			s.unbind(binding, "start had no effect", now)
		}
	}
}

// updateBinding applies the reported status of a bound task.
func (s *State) updateBinding(binding *model.Binding, task *TaskStatus, now model.Micros) {
	machine := binding.Machine
	binding.Reported = true
	if binding.Status != model.Running && task.Status == model.Running {
		binding.RunningSince, s.Jobs[binding.ID.Job].HasRun = now, true
		s.clearFailures(machine)
		s.Log(Event{Kind: EventRunning, Machine: machine.ID, Task: binding.ID.String(), Attempt: binding.Attempt})
	}
	binding.Status = task.Status
	if task.Status == model.Running || task.Status == model.WaitingForGang || task.Cause == CauseDone {
		delete(machine.ReadyAt, binding.Job.Image)
	}
	if task.Status == model.Exited {
		s.applyExit(binding, task, now)
	}
}

// applyExit applies the exit of a bound task.
func (s *State) applyExit(binding *model.Binding, task *TaskStatus, now model.Micros) {
	machine := binding.Machine
	if machine.Token != s.Token {
		// The heartbeat may be an old copy, and the same attempt may have been started
		// again since. A completion remains valid in any case.
		if task.Cause == CauseDone {
			s.recordCompletion(task.ID, binding, now)
		}
		return
	}
	job := s.Jobs[binding.ID.Job]
	switch task.Cause {
	case CauseDone:
		s.recordCompletion(task.ID, binding, now)
		s.clearFailures(machine)
		s.unbind(binding, "exited: done", now)
		return
	case CauseError:
		s.recordFailure(job, machine, now)
	case CauseNoCapacity, CauseOtherAttempt, CauseJobUnknown:
		job.UnknownToWorkers = job.UnknownToWorkers || task.Cause == CauseJobUnknown
		job.NotBefore = max(job.NotBefore, now+model.Second)
	}
	s.unbind(binding, "exited: "+string(task.Cause), now)
}

// recordCompletion marks a task as done, and requests the end of its job if it was the
// last task. The binding is nil if the attempt is not bound.
func (s *State) recordCompletion(id model.TaskID, binding *model.Binding, now model.Micros) {
	job := s.Jobs[id.Job]
	if job == nil || job.FinalStatus != "" || id.Index >= job.Tasks {
		return
	}
	if binding != nil && binding.RunningSince != 0 && binding.RunningSince > binding.BoundAt {
		s.recordRunTime(job.Class, now-binding.RunningSince)
	}
	if job.Kind == model.Gang {
		// A gang is done as soon as one of its tasks is done.
		s.requestEnd(job)
		return
	}
	if !job.Done.Add(id.Index) {
		return
	}
	s.removeFromWaiting(job, id.Index)
	if job.Done.Len() >= job.Tasks {
		s.requestEnd(job)
		return
	}
	s.enqueueFinished(job, id.Index)
}
