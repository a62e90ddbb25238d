package shard

import (
	"sort"

	"woadweir/internal/core/model"
)

// Command is a command to a worker.
type Command struct {
	Op      string
	Task    model.TaskID
	Attempt uint64
	Grace   model.Micros
}

// Commands makes the commands of the response to the report that was taken last
// from this machine. The caller sends them at once or not at all.
func (h *State) Commands(r *Report, now model.Micros) []Command {
	m := h.Machines[r.Machine]
	if m == nil {
		return nil
	}
	var commands []Command
	for i := range r.Tasks {
		if command, ok := h.commandFor(m, &r.Tasks[i], now); ok {
			commands = append(commands, command)
		}
	}
	for _, b := range h.bindingsToStart(m, r.Tasks) {
		b.SentIncarnation, b.SentSequence = r.Session, r.Sequence
		commands = append(commands, Command{Op: "start", Task: b.ID, Attempt: b.Attempt})
	}
	return commands
}

// commandFor is the command for a reported task, if it needs one.
func (h *State) commandFor(m *model.Machine, task *TaskStatus, now model.Micros) (Command, bool) {
	if b := m.Bindings[task.ID]; b != nil && b.Attempt == task.Attempt {
		return stopCommand(b, task, now)
	}
	if task.Status != model.Exited {
		// Nothing durable says that it may be here.
		return Command{Op: "stop", Task: task.ID, Attempt: task.Attempt}, true
	}
	if task.Cause == "done" && h.awaitsDurableCompletion(task.ID) {
		return Command{}, false // the worker must not forget it yet
	}
	return Command{Op: "clear", Task: task.ID, Attempt: task.Attempt}, true
}

// stopCommand is the command to stop a bound task, if that was decided and the task
// neither has exited nor saves its state for it.
func stopCommand(b *model.Binding, task *TaskStatus, now model.Micros) (Command, bool) {
	if !b.Stopping || task.Status == model.Exited {
		return Command{}, false
	}
	if b.StopSentAt == 0 {
		b.StopSentAt = now
	}
	if task.Status == model.Saving && b.StopGrace > 0 {
		return Command{}, false
	}
	return Command{Op: "stop", Task: task.ID, Attempt: task.Attempt, Grace: b.StopGrace}, true
}

// awaitsDurableCompletion tells whether the completion of a task is known but not
// durable yet.
func (h *State) awaitsDurableCompletion(id model.TaskID) bool {
	js := h.Jobs[id.Job]
	return js != nil && js.Ended == "" && (js.EndPending || !isDurable(js, id.Index))
}

// bindingsToStart are the bindings of a machine that are to be started and that its
// report does not show, in the order in which to start them.
func (h *State) bindingsToStart(m *model.Machine, tasks []TaskStatus) []*model.Binding {
	reported := make(map[model.TaskID]uint64, len(tasks))
	for i := range tasks {
		reported[tasks[i].ID] = tasks[i].Attempt
	}
	var starts []*model.Binding
	for id, b := range m.Bindings {
		if reported[id] != b.Attempt && h.mayStart(b) {
			starts = append(starts, b)
		}
	}
	sort.Slice(starts, func(i, j int) bool {
		a, b := starts[i], starts[j]
		return a.Job.Priority > b.Job.Priority || a.Job.Priority == b.Job.Priority && a.Attempt < b.Attempt
	})
	return starts
}

// mayStart tells whether a binding is durable and its task may be started now.
func (h *State) mayStart(b *model.Binding) bool {
	if b.Version > b.Machine.DurableVersion || b.Stopping || b.Seen {
		return false
	}
	js := h.Jobs[b.ID.Job]
	if js.Ended != "" || js.EndPending || js.Suspended || js.Done.Has(b.ID.Index) {
		return false
	}
	if js.Kind != model.Gang {
		return true
	}
	return !js.AttemptFailed && h.gangDurable(js) && !h.startsLater(js, b)
}

// gangDurable tells whether every binding of the attempt is durable: none
// starts before all may.
func (h *State) gangDurable(js *model.JobState) bool {
	if len(js.Bindings) != js.Tasks {
		return false
	}
	for _, bs := range js.Bindings {
		for _, b := range bs {
			if b.Version > b.Machine.DurableVersion {
				return false
			}
		}
	}
	return true
}

// startsLater tells that a gang's task had better start later: others of the gang have
// an image to fetch that may take longer than a task waits for its gang. It
// starts when theirs is there. The order among them is by the length of the
// fetch, so that no two wait for each other.
func (h *State) startsLater(js *model.JobState, b *model.Binding) bool {
	for _, bs := range js.Bindings {
		for _, o := range bs {
			if o.ExpectedFetch-b.ExpectedFetch > h.Params.GangWait*2/3 && o.Status < model.WaitingForGang {
				return true
			}
		}
	}
	return false
}

// Pending tells whether the machine has a binding that is not durable yet.
func (h *State) Pending(ref string) bool {
	m := h.Machines[ref]
	return m != nil && m.Version > m.DurableVersion
}
