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
		p := &r.Tasks[i]
		if b := m.Bindings[p.ID]; b != nil && b.Attempt == p.Attempt {
			if b.Stopping && p.Status != model.Exited {
				if b.StopSentAt == 0 {
					b.StopSentAt = now
				}
				if !(p.Status == model.Saving && b.StopGrace > 0) {
					commands = append(commands, Command{Op: "stop", Task: p.ID, Attempt: p.Attempt, Grace: b.StopGrace})
				}
			}
			continue
		}
		if p.Status != model.Exited {
			// Nothing durable says that it may be here.
			commands = append(commands, Command{Op: "stop", Task: p.ID, Attempt: p.Attempt})
			continue
		}
		if js := h.Jobs[p.ID.Job]; p.Cause == "done" && js != nil && js.Ended == "" &&
			(js.EndPending || !isDurable(js, p.ID.Index)) {
			continue // its completion is not durable yet: it must not be forgotten
		}
		commands = append(commands, Command{Op: "clear", Task: p.ID, Attempt: p.Attempt})
	}
	reported := make(map[model.TaskID]uint64, len(r.Tasks))
	for i := range r.Tasks {
		reported[r.Tasks[i].ID] = r.Tasks[i].Attempt
	}
	var starts []*model.Binding
	for id, b := range m.Bindings {
		js := h.Jobs[id.Job]
		if b.Version > m.DurableVersion || b.Stopping || b.Seen || js.Ended != "" || js.EndPending || js.Suspended || js.Done.Has(id.Index) || reported[id] == b.Attempt {
			continue
		}
		if js.Kind == model.Gang && (js.AttemptFailed || !h.gangDurable(js) || h.startsLater(js, b)) {
			continue
		}
		starts = append(starts, b)
	}
	sort.Slice(starts, func(i, j int) bool {
		a, b := starts[i], starts[j]
		return a.Job.Priority > b.Job.Priority || a.Job.Priority == b.Job.Priority && a.Attempt < b.Attempt
	})
	for _, b := range starts {
		b.SentIncarnation, b.SentSequence = r.Session, r.Sequence
		commands = append(commands, Command{Op: "start", Task: b.ID, Attempt: b.Attempt})
	}
	return commands
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
