package shard

import (
	"sort"

	"woadweir/internal/core/model"
)

// Command is an instruction to a worker about an attempt of a task.
type Command struct {
	Op      CommandOp
	Task    model.TaskID
	Attempt uint64
	Grace   model.Micros // for StopTask: the time that the task gets to save its state
}

// CommandOp is the operation of a command.
type CommandOp uint8

// The operations of commands.
const (
	StartTask CommandOp = iota + 1 // start an attempt
	StopTask                       // stop an attempt
	ClearTask                      // drop the status of an attempt that has exited
)

// Commands returns the commands for the response to the last heartbeat that was accepted
// from its machine. The caller must send them immediately or not at all.
func (s *State) Commands(heartbeat *Heartbeat, now model.Micros) []Command {
	machine := s.Machines[heartbeat.Machine]
	if machine == nil {
		return nil
	}
	var commands []Command
	for i := range heartbeat.Tasks {
		if command, ok := s.commandFor(machine, &heartbeat.Tasks[i], now); ok {
			commands = append(commands, command)
		}
	}
	for _, b := range s.bindingsToStart(machine, heartbeat.Tasks) {
		b.SentIncarnation, b.SentSequence = heartbeat.Incarnation, heartbeat.Sequence
		commands = append(commands, Command{Op: StartTask, Task: b.ID, Attempt: b.Attempt})
	}
	return commands
}

// commandFor returns the command for a task in a heartbeat, if it needs one.
func (s *State) commandFor(machine *model.Machine, task *TaskStatus, now model.Micros) (Command, bool) {
	if b := machine.Bindings[task.ID]; b != nil && b.Attempt == task.Attempt {
		return stopCommand(b, task, now)
	}
	if task.Status != model.Exited {
		// No durable record says that the task may be on this machine.
		return Command{Op: StopTask, Task: task.ID, Attempt: task.Attempt}, true
	}
	if task.Cause == CauseDone && s.awaitsDurableCompletion(task.ID) {
		return Command{}, false // the worker must not clear it yet
	}
	return Command{Op: ClearTask, Task: task.ID, Attempt: task.Attempt}, true
}

// stopCommand returns the command to stop a bound task if it is marked to be stopped, and
// has neither exited nor begun to save its state.
func stopCommand(binding *model.Binding, task *TaskStatus, now model.Micros) (Command, bool) {
	if !binding.Stopping || task.Status == model.Exited {
		return Command{}, false
	}
	if binding.StopSentAt == 0 {
		binding.StopSentAt = now
	}
	if task.Status == model.Saving && binding.StopGrace > 0 {
		return Command{}, false
	}
	return Command{Op: StopTask, Task: task.ID, Attempt: task.Attempt, Grace: binding.StopGrace}, true
}

// awaitsDurableCompletion reports whether a task is known to be done, but its completion
// is not durable yet.
func (s *State) awaitsDurableCompletion(id model.TaskID) bool {
	job := s.Jobs[id.Job]
	return job != nil && job.FinalStatus == "" && (job.EndPending || !isCompletionDurable(job, id.Index))
}

// bindingsToStart returns the bindings of a machine whose tasks are to be started and
// are not in its heartbeat, in the order in which they are to start.
func (s *State) bindingsToStart(machine *model.Machine, tasks []TaskStatus) []*model.Binding {
	reported := make(map[model.TaskID]uint64, len(tasks))
	for i := range tasks {
		reported[tasks[i].ID] = tasks[i].Attempt
	}
	var toStart []*model.Binding
	for id, b := range machine.Bindings {
		if reported[id] != b.Attempt && s.mayStart(b) {
			toStart = append(toStart, b)
		}
	}
	sort.Slice(toStart, func(i, j int) bool {
		a, b := toStart[i], toStart[j]
		return a.Job.Priority > b.Job.Priority || a.Job.Priority == b.Job.Priority && a.Attempt < b.Attempt
	})
	return toStart
}

// mayStart reports whether a binding is durable and its task may be started now.
func (s *State) mayStart(binding *model.Binding) bool {
	if binding.Version > binding.Machine.DurableVersion || binding.Stopping || binding.Reported {
		return false
	}
	job := s.Jobs[binding.ID.Job]
	if job.FinalStatus != "" || job.EndPending || job.Suspended || job.Done.Has(binding.ID.Index) {
		return false
	}
	if job.Kind != model.Gang {
		return true
	}
	return !job.AttemptFailed && s.isGangDurable(job) && !s.shouldStartLater(job, binding)
}

// isGangDurable reports whether all bindings of a gang's attempt are durable. No task of
// the gang is started before that.
func (s *State) isGangDurable(job *model.JobState) bool {
	if len(job.Bindings) != job.Tasks {
		return false
	}
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			if b.Version > b.Machine.DurableVersion {
				return false
			}
		}
	}
	return true
}

// shouldStartLater reports whether the start of a gang's task should be delayed because
// other members of the gang may take longer to fetch their image than a task waits for
// its gang. The task starts once their images are there. A member only waits for members
// with a longer fetch, so no two members wait for each other.
func (s *State) shouldStartLater(job *model.JobState, binding *model.Binding) bool {
	for _, bindings := range job.Bindings {
		for _, member := range bindings {
			if member.ExpectedFetch-binding.ExpectedFetch > s.Params.GangWait*2/3 && member.Status < model.WaitingForGang {
				return true
			}
		}
	}
	return false
}

// HasPendingWrite reports whether the machine's record has changes that are not durable
// yet.
func (s *State) HasPendingWrite(machineID string) bool {
	m := s.Machines[machineID]
	return m != nil && m.Version > m.DurableVersion
}
