package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// Suspend keeps a job from being placed and started, and stops what is bound of it.
func (h *State) Suspend(js *model.JobState, why string, now model.Micros) {
	js.Suspended = true
	delete(h.reservations, js)
	for _, bs := range js.Bindings {
		for _, b := range bs {
			h.stop(b, 0, why, now)
		}
	}
	if js.Kind == model.Gang && len(js.Bindings) > 0 {
		js.AttemptFailed = true
	}
}

// Resume lets a suspended job be placed again.
func (h *State) Resume(js *model.JobState) {
	if js.Suspended {
		js.Suspended = false
		h.NeedsPlacement = true
	}
}

// Reserve counts what a team's work takes elsewhere towards its limit here.
func (h *State) Reserve(team string, amount model.Resources) {
	h.Used[team] = h.Used[team].Plus(amount)
}

// Release ends a reservation.
func (h *State) Release(team string, amount model.Resources) {
	h.Used[team] = h.Used[team].Minus(amount)
	h.NeedsPlacement = true
}

// AddGuest makes a job of another cell known. It begins suspended. What is done of it is
// stored by its home cell, and so is its end.
func (h *State) AddGuest(j *model.Job, home string, done model.Set, now model.Micros) *model.JobState {
	js := &model.JobState{Job: j, Done: done, Bindings: map[int][]*model.Binding{}, DoneVersions: make([]model.Versions, 1),
		ReadySince: now, IdleSince: now, HomeCell: home, Suspended: true}
	js.Confirmed = model.SetOf(done.Bytes())
	for i := range j.Tasks {
		if !done.Has(i) {
			js.Waiting = append(js.Waiting, i)
		}
	}
	h.Jobs[j.ID] = js
	h.Log(Event{What: "job", Task: j.ID, Why: j.Class + " of " + j.Team + ", lent by " + home})
	return js
}

// Confirm takes note of finished tasks that a guest job's home cell has stored: the
// workers may forget them.
func (h *State) Confirm(js *model.JobState, stored []byte) {
	js.Confirmed.Merge(stored, 0)
	for i := range js.Tasks {
		if js.Confirmed.Has(i) && js.Done.Add(i) {
			h.noLongerWaits(js, i)
		}
	}
}

// noLongerWaits takes a finished task out of those that wait.
func (h *State) noLongerWaits(js *model.JobState, n int) {
	if i, ok := slices.BinarySearch(js.Waiting, n); ok {
		js.Waiting = slices.Delete(js.Waiting, i, i+1)
	}
}

// CompleteElsewhere takes note of tasks that have finished in another cell: each task of an
// array, a gang as a whole. A completion is a fact, whoever had the right to run the job.
func (h *State) CompleteElsewhere(js *model.JobState, done []byte, whole bool, now model.Micros) {
	if js.Kind == model.Gang {
		if whole {
			h.complete(model.TaskID{Job: js.ID}, nil, now)
		}
		return
	}
	reported := model.SetOf(done)
	if reported.Len() == 0 {
		return
	}
	for i := range js.Tasks {
		if reported.Has(i) {
			h.complete(model.TaskID{Job: js.ID, Index: i}, nil, now)
		}
	}
}

// StoredDone is the set of a job's finished tasks that are durable.
func (h *State) StoredDone(js *model.JobState) []byte {
	if !slices.ContainsFunc(js.DoneVersions, func(v model.Versions) bool { return v.Stored < v.Now }) {
		return slices.Clone(js.Done.Bytes())
	}
	var stored model.Set
	for i := range js.Tasks {
		if js.Done.Has(i) && isDurable(js, i) {
			stored.Add(i)
		}
	}
	return stored.Bytes()
}
