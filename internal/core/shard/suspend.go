package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// Suspend stops the tasks of a job and prevents them from being placed and started.
func (s *State) Suspend(job *model.JobState, reason string, now model.Micros) {
	job.Suspended = true
	delete(s.reservations, job)
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			s.stop(b, 0, reason, now)
		}
	}
	if job.Kind == model.Gang && len(job.Bindings) > 0 {
		job.AttemptFailed = true
	}
}

// Resume allows a suspended job to be placed again.
func (s *State) Resume(job *model.JobState) {
	if job.Suspended {
		job.Suspended = false
		s.NeedsPlacement = true
	}
}

// ReserveQuota counts resources that a team uses in other cells towards its limit in this
// cell.
func (s *State) ReserveQuota(team string, amount model.Resources) {
	s.Used[team] = s.Used[team].Plus(amount)
}

// ReleaseQuota reverts ReserveQuota.
func (s *State) ReleaseQuota(team string, amount model.Resources) {
	s.Used[team] = s.Used[team].Minus(amount)
	s.NeedsPlacement = true
}

// AddBorrowedJob adds a job that is borrowed from another cell. It is suspended initially. Its
// home cell stores its finished tasks and its end.
func (s *State) AddBorrowedJob(spec *model.Job, homeCell string, done model.TaskSet, now model.Micros) *model.JobState {
	job := &model.JobState{Job: spec, Done: done, Bindings: map[int][]*model.Binding{}, DoneVersions: make([]model.Versions, 1),
		ReadySince: now, IdleSince: now, HomeCell: homeCell, Suspended: true}
	job.Confirmed = model.TaskSetFromBytes(done.Bytes())
	for i := range spec.Tasks {
		if !done.Has(i) {
			job.Waiting = append(job.Waiting, i)
		}
	}
	s.Jobs[spec.ID] = job
	s.Log(Event{Kind: EventJob, Task: spec.ID, Reason: spec.Class + " of " + spec.Team + ", lent by " + homeCell})
	return job
}

// ConfirmCompletions records the finished tasks of a borrowed job that its home cell has
// stored. Workers may then clear them.
func (s *State) ConfirmCompletions(job *model.JobState, stored []byte) {
	job.Confirmed.Merge(stored, 0)
	for i := range job.Tasks {
		if job.Confirmed.Has(i) && job.Done.Add(i) {
			s.removeFromWaiting(job, i)
		}
	}
}

// removeFromWaiting removes a finished task from the waiting tasks of its job.
func (s *State) removeFromWaiting(job *model.JobState, index int) {
	if i, ok := slices.BinarySearch(job.Waiting, index); ok {
		job.Waiting = slices.Delete(job.Waiting, i, i+1)
	}
}

// RecordRemoteCompletions records the tasks that are done in another cell: single tasks
// of an array, or a gang as a whole if allDone is set. A completion counts regardless of
// which cell had the right to run the job.
func (s *State) RecordRemoteCompletions(job *model.JobState, done []byte, allDone bool, now model.Micros) {
	if job.Kind == model.Gang {
		if allDone {
			s.recordCompletion(model.TaskID{Job: job.ID}, nil, now)
		}
		return
	}
	reported := model.TaskSetFromBytes(done)
	if reported.Len() == 0 {
		return
	}
	for i := range job.Tasks {
		if reported.Has(i) {
			s.recordCompletion(model.TaskID{Job: job.ID, Index: i}, nil, now)
		}
	}
}

// DurableCompletions returns the set of a job's finished tasks whose completion is
// durable.
func (s *State) DurableCompletions(job *model.JobState) []byte {
	if !slices.ContainsFunc(job.DoneVersions, func(v model.Versions) bool { return v.Stored < v.Current }) {
		return slices.Clone(job.Done.Bytes())
	}
	var stored model.TaskSet
	for i := range job.Tasks {
		if job.Done.Has(i) && isCompletionDurable(job, i) {
			stored.Add(i)
		}
	}
	return stored.Bytes()
}
