package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// Restore books a binding that an earlier holder made durable.
func (h *State) Restore(js *model.JobState, n int, attempt uint64, m *model.Machine) {
	b := h.addBinding(js, n, m, attempt, m.LastAnswer)
	b.Version = m.DurableVersion
	m.Stored = true
	if js.Kind == model.Gang && attempt > js.Attempt {
		js.Attempt = attempt
	}
}

func (h *State) addBinding(js *model.JobState, n int, m *model.Machine, attempt uint64, now model.Micros) *model.Binding {
	id := model.TaskID{Job: js.ID, Index: n}
	b := &model.Binding{ID: id, Attempt: attempt, Job: js.Job, Machine: m, BoundAt: now}
	m.Bindings[id] = b
	addRecordBytes(b, 1)
	js.Bindings[n] = append(js.Bindings[n], b)
	if i, ok := slices.BinarySearch(js.Waiting, n); ok {
		js.Waiting = slices.Delete(js.Waiting, i, i+1)
	}
	m.Used = m.Used.Plus(js.Request)
	h.Used[js.Team] = h.Used[js.Team].Plus(js.Request)
	if f := h.MachineTypes[m.MachineType]; f != nil {
		if !m.HasImage(js.Image) && f.FetchGBps > 0 {
			if m.ReadyAt == nil {
				m.ReadyAt = map[string]model.Micros{}
			}
			m.ReadyAt[js.Image] = now + max(h.Params.Report/2, m.FetchTimeLeft(now)) + model.Seconds(js.ImageGB/f.FetchGBps)
		}
		b.ExpectedFetch = max(0, m.ReadyAt[js.Image]-now)
		m.TouchImage(js.Image, js.ImageGB, f.CacheGB)
	}
	return b
}

// bind decides that a task goes to a machine. The start may be sent only once the
// record is durable.
func (h *State) bind(js *model.JobState, n int, m *model.Machine, attempt uint64, now model.Micros) {
	b := h.addBinding(js, n, m, attempt, now)
	h.markChanged(m)
	b.Version = m.Version
	if js.Kind == model.Gang {
		js.Attempt, js.AttemptFailed = attempt, false
	}
	h.Log(Event{What: "bind", Machine: m.ID, Task: b.ID.String(), Attempt: attempt})
}

// unbind ends a binding. The caller has proof that the attempt is not on the
// machine and can never start there.
func (h *State) unbind(b *model.Binding, proof string, now model.Micros) {
	m := b.Machine
	if m.Bindings[b.ID] != b {
		return
	}
	delete(m.Bindings, b.ID)
	addRecordBytes(b, -1)
	m.Used = m.Used.Minus(b.Job.Request)
	m.HasNews = true
	if len(m.Bindings) == 0 {
		m.EmptySince = now
	}
	h.Used[b.Job.Team] = h.Used[b.Job.Team].Minus(b.Job.Request)
	js := h.Jobs[b.ID.Job]
	js.Bindings[b.ID.Index] = slices.DeleteFunc(js.Bindings[b.ID.Index], func(x *model.Binding) bool { return x == b })
	if len(js.Bindings[b.ID.Index]) == 0 {
		delete(js.Bindings, b.ID.Index)
		js.IdleSince = now
		if js.Ended == "" && !js.Done.Has(b.ID.Index) {
			if i, ok := slices.BinarySearch(js.Waiting, b.ID.Index); !ok {
				js.Waiting = slices.Insert(js.Waiting, i, b.ID.Index)
			}
		}
	}
	if !js.Done.Has(b.ID.Index) || js.Ended != "" {
		// It may be bound elsewhere next, so the record of its leaving has to be
		// durable first: the queue is first in, first out. A completed task is
		// never bound again, and its leaving can wait for the next write.
		h.markChanged(m)
	}
	h.Log(Event{What: "unbind", Machine: m.ID, Task: b.ID.String(), Attempt: b.Attempt, Why: proof})
	if js.Kind == model.Gang && js.Ended == "" && !js.EndPending && len(js.Bindings) > 0 && !js.AttemptFailed {
		h.failGangAttempt(js, "mate "+b.ID.String()+" gone", now)
	}
	h.NeedsPlacement = true
	h.forget(js)
}

func (h *State) stop(b *model.Binding, leeway model.Micros, why string, now model.Micros) {
	if b.Stopping && leeway >= b.StopGrace {
		return
	}
	if !b.Stopping {
		b.StopDecidedAt = now
		h.Log(Event{What: "stop", Machine: b.Machine.ID, Task: b.ID.String(), Attempt: b.Attempt, Why: why})
	}
	b.Stopping, b.StopGrace, b.StopReason = true, leeway, why
}

// drain moves work off a spot machine that is about to be taken: what can save
// does so in time, and what cannot finish in time starts anew elsewhere.
func (h *State) drain(m *model.Machine, now model.Micros) {
	h.Log(Event{What: "recall", Machine: m.ID})
	left := m.ReclaimedAt - now
	for _, b := range m.Bindings {
		js := h.Jobs[b.ID.Job]
		if js.Kind == model.Gang {
			for _, bs := range js.Bindings {
				for _, g := range bs {
					h.stop(g, h.stopGrace(js, left), "spot notice", now)
				}
			}
			js.AttemptFailed = true
			continue
		}
		rest := h.Remaining(b, now)
		if b.Status == model.Running && (rest < left || js.CheckpointInterval == 0 && rest < left*3/2) {
			continue
		}
		h.stop(b, h.stopGrace(js, left), "spot notice", now)
	}
}

func (h *State) stopGrace(js *model.JobState, left model.Micros) model.Micros {
	if js.CheckpointInterval == 0 || left < js.SaveTime {
		return 0
	}
	return max(js.SaveTime, left-model.Second)
}

// MachineDeleted unbinds everything on a machine whose deletion was answered.
func (h *State) MachineDeleted(ref, proof string, now model.Micros) {
	m := h.Machines[ref]
	if m == nil {
		return
	}
	for _, b := range m.Bindings {
		h.unbind(b, proof, now)
	}
	delete(h.Machines, ref)
	if m.Stored || m.Version > 0 {
		h.push(MachineEntry + ref)
	}
}

// LeaseExpiry is how long after the last possible answer a worker surely has
// killed everything.
func (h *State) LeaseExpiry() model.Micros {
	return h.Params.Lease + h.Params.Lease/500 + h.Params.Margin
}

// Tick unbinds what was on machines whose lease has surely run out.
func (h *State) Tick(now model.Micros) {
	for _, m := range h.Machines {
		if now-m.LastAnswer <= h.LeaseExpiry() {
			continue
		}
		for _, b := range m.Bindings {
			h.unbind(b, "worker's lease is over", now)
		}
		if m.Up && !m.Lost {
			m.Lost = true
			h.Log(Event{What: "lost", Machine: m.ID})
		}
	}
	for _, js := range h.Jobs {
		h.checkGang(js, now)
	}
	// Time alone makes jobs late.
	h.NeedsPlacement = true
}

// StopSuperseded drops what a takeover found ended already, once everything has been
// restored. Where a task is bound more than once, the earlier holder had proof
// that the older attempts were gone, and only their leaving was not written any
// more: they must never be started again beside the newest.
func (h *State) StopSuperseded() {
	for _, js := range h.Jobs {
		for _, bs := range js.Bindings {
			newest := uint64(0)
			for _, b := range bs {
				newest = max(newest, b.Attempt)
			}
			for _, b := range bs {
				switch {
				case js.Ended != "":
					h.stop(b, 0, "job "+js.Ended, b.Machine.LastAnswer)
				case b.Attempt < newest:
					h.stop(b, 0, "a newer attempt is bound", b.Machine.LastAnswer)
				}
			}
		}
		if js.Kind == model.Gang && len(js.Bindings) > 0 && len(js.Bindings) < js.Tasks && js.Ended == "" {
			h.failGangAttempt(js, "attempt is not whole", 0)
		}
		h.forget(js)
	}
	h.oldest()
}

// ReportOverdue is how long after a worker's last report the next one should have come:
// they go out every period, give or take a quarter.
func (h *State) ReportOverdue() model.Micros { return h.Params.Report*5/4 + model.Second }

// Vacate has the tasks on a machine begin anew elsewhere, so that it can be returned.
func (h *State) Vacate(m *model.Machine, now model.Micros) {
	m.Draining = true
	for _, b := range m.Bindings {
		h.stop(b, h.stopGrace(h.Jobs[b.ID.Job], b.Job.SaveTime+model.Second), "moved to other machines", now)
	}
}
