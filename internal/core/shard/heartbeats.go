package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// TaskStatus is a task in a report.
type TaskStatus struct {
	ID      model.TaskID
	Attempt uint64
	Status  model.Status
	Cause   string
	Stored  bool
}

// Report is a worker's report.
type Report struct {
	Machine, Addr, MachineType, Zone string
	Spot                             bool
	Session, Sequence, Token         uint64
	SpotNotice                       bool
	ReclaimedIn                      model.Micros
	Tasks                            []TaskStatus
}

// Verdict is what to do with a report.
type Verdict uint8

// Verdicts: Taken reports get a 200, Stale ones are late copies, Deposed means
// that the worker knows a higher token than ours, and Introduced ones, of machines
// that nobody expected, are answered with our token alone: if it is no old copy,
// the next report will show that token.
const (
	Taken Verdict = iota
	Stale
	Deposed
	Introduced
)

// ApplyHeartbeat takes a report in. The answer is made by Commands, after what the report
// made possible has been decided.
func (h *State) ApplyHeartbeat(r *Report, now model.Micros) Verdict {
	if r.Token > h.Token {
		return Deposed
	}
	m := h.Machines[r.Machine]
	if m == nil && r.Token != h.Token {
		// Perhaps the copy of a report of a machine that is long gone.
		return Introduced
	}
	if m == nil {
		m = h.AddMachine(r.Machine, r.MachineType, r.Zone, r.Spot, now)
		h.Log(Event{What: "appeared", Machine: r.Machine})
	}
	if m.Deleting || isLateCopy(m, r) {
		return Stale
	}
	h.updateMachine(m, r, now)
	reported := h.applyTaskStatuses(m, r.Tasks, now)
	h.detectSlowMachine(m, now)
	h.blame(m, now)
	if r.Token == h.Token {
		// Under an older token an earlier holder's start may still be on its way.
		h.unbindMissing(m, reported, now)
	}
	return Taken
}

// isLateCopy tells whether the machine has sent a newer report already: a late copy must
// not move knowledge back.
func isLateCopy(m *model.Machine, r *Report) bool {
	return r.Session < m.Incarnation || r.Session == m.Incarnation && r.Sequence <= m.Sequence
}

// updateMachine takes what a report says of the machine itself.
func (h *State) updateMachine(m *model.Machine, r *Report, now model.Micros) {
	h.checkAnswersArrive(m, r, now)
	m.HasNews = m.HasNews && m.ReceivesAnswers // what a report of a deaf machine made room for waits
	if !m.Up && r.Token == h.Token {
		m.Up, m.HasNews, h.NeedsPlacement = true, true, true
		h.Log(Event{What: "up", Machine: m.ID})
	}
	m.Lost = false
	m.Addr, m.Token = r.Addr, r.Token
	m.Incarnation, m.Sequence = r.Session, r.Sequence
	m.LastHeartbeat, m.LastAnswer = now, now
	if r.SpotNotice && !m.SpotNotice {
		m.SpotNotice, m.ReclaimedAt = true, now+r.ReclaimedIn
		h.drain(m, now)
	}
}

// applyTaskStatuses takes the states of the tasks in a report. It returns the bound tasks
// that the report shows.
func (h *State) applyTaskStatuses(m *model.Machine, tasks []TaskStatus, now model.Micros) map[model.TaskID]bool {
	reported := make(map[model.TaskID]bool, len(tasks))
	for i := range tasks {
		task := &tasks[i]
		b := m.Bindings[task.ID]
		if b != nil && b.Attempt == task.Attempt {
			reported[task.ID] = true
			h.progress(b, task, now)
		} else if task.Status == model.Exited && task.Cause == "done" {
			h.complete(task.ID, nil, now)
		}
	}
	return reported
}

// unbindMissing unbinds the tasks that a report proves not to be on the machine.
func (h *State) unbindMissing(m *model.Machine, reported map[model.TaskID]bool, now model.Micros) {
	for id, b := range m.Bindings {
		if reported[id] {
			continue
		}
		sent := b.SentIncarnation != 0 || b.SentSequence != 0
		switch {
		case b.Seen:
			h.unbind(b, "newer report without it", now)
		case b.Stopping || h.Jobs[id.Job].Done.Has(id.Index) || h.Jobs[id.Job].Ended != "":
			// Never started by us, or the response was dropped: a worker acts on no
			// response but the one to its last report, and this report is newer.
			h.unbind(b, "newer report without it, not wanted", now)
		case sent && now-b.BoundAt > h.Params.GangWait:
			h.unbind(b, "start never took", now)
		}
	}
}

// checkAnswersArrive tells from a report whether our answer to the one before reached
// the worker: it bears our token, comes as soon as after an answer, in the same
// session, and shows what that answer started. One whose answer got lost goes to
// another controller first, after a pause. A machine whose reports arrive while
// nothing reaches it ends its tasks with its lease, session after session.
func (h *State) checkAnswersArrive(m *model.Machine, r *Report, now model.Micros) {
	was := m.ReceivesAnswers
	m.ReceivesAnswers = r.Token == h.Token && r.Session == m.Incarnation && now-m.LastHeartbeat <= h.Params.Report*3/2+model.Second
	if m.ReceivesAnswers {
		for _, b := range m.Bindings {
			if b.SentIncarnation == m.Incarnation && b.SentSequence == m.Sequence && !slices.ContainsFunc(r.Tasks, func(p TaskStatus) bool { return p.ID == b.ID && p.Attempt == b.Attempt }) {
				m.ReceivesAnswers = false
				break
			}
		}
	}
	switch {
	case m.ReceivesAnswers:
		m.UnansweredSince = 0
	case m.UnansweredSince == 0:
		m.UnansweredSince = now
	}
	if m.ReceivesAnswers && !was {
		m.HasNews, h.NeedsPlacement = true, true
	}
}

// Unreachable tells that a machine goes on reporting, but has not heard us for longer
// than its tasks can have lived without an answer.
func (h *State) Unreachable(m *model.Machine, now model.Micros) bool {
	return m.UnansweredSince != 0 && now-m.UnansweredSince > h.LeaseExpiry()+2*h.Params.Report && now-m.LastHeartbeat < h.LeaseExpiry()
}

// progress takes the reported state of a bound task.
func (h *State) progress(b *model.Binding, p *TaskStatus, now model.Micros) {
	m := b.Machine
	b.Seen = true
	if b.Status != model.Running && p.Status == model.Running {
		b.RunningSince, h.Jobs[b.ID.Job].HasRun = now, true
		h.clearFailures(m)
		h.Log(Event{What: "runs", Machine: m.ID, Task: b.ID.String(), Attempt: b.Attempt})
	}
	b.Status = p.Status
	if p.Status == model.Running || p.Status == model.WaitingForGang || p.Cause == "done" {
		delete(m.ReadyAt, b.Job.Image)
	}
	if p.Status != model.Exited {
		return
	}
	if m.Token != h.Token {
		// The report may be an old copy: the same attempt may have been started
		// again since. A completion is a fact all the same.
		if p.Cause == "done" {
			h.complete(p.ID, b, now)
		}
		return
	}
	js := h.Jobs[b.ID.Job]
	switch p.Cause {
	case "done":
		h.complete(p.ID, b, now)
		h.clearFailures(m)
		h.unbind(b, "ended: done", now)
		return
	case "error":
		h.failed(js, m, now)
	case "full", "in_use", "unknown":
		js.UnknownToWorkers = js.UnknownToWorkers || p.Cause == "unknown"
		js.NotBefore = max(js.NotBefore, now+model.Second)
	}
	h.unbind(b, "ended: "+p.Cause, now)
}

// complete takes note of a finished task.
func (h *State) complete(id model.TaskID, b *model.Binding, now model.Micros) {
	js := h.Jobs[id.Job]
	if js == nil || js.Ended != "" || id.Index >= js.Tasks {
		return
	}
	if b != nil && b.RunningSince != 0 && b.RunningSince > b.BoundAt {
		h.recordRunTime(js.Class, now-b.RunningSince)
	}
	if js.Kind == model.Gang {
		// If one task of a gang is done, all of them are.
		h.requestEnd(js)
		return
	}
	if !js.Done.Add(id.Index) {
		return
	}
	h.noLongerWaits(js, id.Index)
	if js.Done.Len() >= js.Tasks {
		h.requestEnd(js)
		return
	}
	h.pushDone(js, id.Index)
}

// failed takes a failed task into account. Mostly the machine is at fault; but a
// job that was submitted with a mistake fails on every machine, and its failures
// must not get healthy machines set aside: each would be drained and another
// rented for its work. Machines are therefore judged apart from the jobs that
// fail on them (see blame), and a job that fails on several machines waits longer
// before each new try.
func (h *State) failed(js *model.JobState, m *model.Machine, now model.Micros) {
	if js.NoteFailure(m.ID, now) && js.NeedsBackoff() {
		h.Log(Event{What: "fails everywhere", Machine: m.ID, Task: js.ID, Why: "to be retried with one task, later and later"})
	}
	if !js.IsKnownToRun() && runsOther(js, m) {
		js.AtFault = true
	}
	if !js.IsAtFault() {
		m.NoteFailure(js.ID, now)
	}
}

// runsOther tells whether a task of another job runs on the machine.
func runsOther(js *model.JobState, m *model.Machine) bool {
	for id, b := range m.Bindings {
		if id.Job != js.ID && b.Status == model.Running {
			return true
		}
	}
	return false
}

// clearFailures takes note of a task that runs on a machine, or has completed there:
// the machine is not faulty, so what failed on it without ever running is at fault
// itself.
func (h *State) clearFailures(m *model.Machine) {
	for _, f := range m.FailuresInRow {
		if js := h.Jobs[f.Job]; js != nil && !js.IsKnownToRun() {
			js.AtFault = true
		}
	}
	m.FailuresInRow = nil
}

// How failures are judged.
const (
	// faultyAfterProven is how many failures in a row, of jobs that are known to run,
	// set a machine aside.
	faultyAfterProven = 2
	// faultyAfterUnproven is how many failures in a row, of jobs that have not run
	// anywhere yet, set it aside as long as nothing else runs on it: such a job may have
	// nowhere else to go, and would fail there for ever. It does so to one machine only.
	faultyAfterUnproven = 3
)

// blame sets a machine aside if the failures on it are thought to be its own fault. A
// failure weighs more once its job is known to run: the first tasks of new jobs with a
// mistake come to the same machines at once and are no evidence. So a machine is judged
// with every report, when its jobs may have been seen to run elsewhere meanwhile.
func (h *State) blame(m *model.Machine, now model.Micros) {
	if m.Quarantined || len(m.FailuresInRow) < faultyAfterProven {
		return
	}
	proven, unproven := 0, 0
	for _, f := range m.FailuresInRow {
		js := h.Jobs[f.Job]
		switch {
		case js == nil || js.IsAtFault():
		case js.IsKnownToRun():
			proven++
		default:
			unproven++
		}
	}
	if proven < faultyAfterProven && unproven < faultyAfterUnproven {
		return
	}
	// The jobs that have not run anywhere have had their one machine: should they fail
	// on the next as well, the fault is theirs.
	for _, f := range m.FailuresInRow {
		if js := h.Jobs[f.Job]; js != nil && !js.IsKnownToRun() {
			js.AtFault = true
		}
	}
	m.Quarantined, m.Draining = true, true
	h.Log(Event{What: "sick", Machine: m.ID, Why: "tasks fail on it"})
	for _, b := range m.Bindings {
		if b.Status != model.Running {
			h.stop(b, 0, "machine is sick", now)
		}
	}
}
