package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// enqueueFinished queues the finished tasks of a job to be written. If they are stored in
// parts, only the part that contains the task with the given index is queued.
func (s *State) enqueueFinished(job *model.JobState, index int) {
	if job.HomeCell != "" {
		return // the home cell stores them
	}
	if len(job.DoneVersions) == 1 {
		job.DoneVersions[0].Current++
		s.enqueue(DoneEntry + job.ID)
		return
	}
	part := index / model.TasksPerPart
	job.DoneVersions[part].Current++
	s.enqueue(PartEntry(job.ID, part))
}

// finishedVersions returns the versions of a part of a job's finished tasks, or of the
// whole set if part is -1. It returns nil if the job is stored in the other form: such an
// entry was written by an owner with other size limits, and is only copied when its slot
// is rewritten.
func finishedVersions(job *model.JobState, part int) *model.Versions {
	if (part < 0) != (len(job.DoneVersions) == 1) {
		return nil
	}
	return &job.DoneVersions[max(part, 0)]
}

// storeInParts switches a job to storing its finished tasks in parts, and queues the
// parts that are not empty.
func (s *State) storeInParts(job *model.JobState) {
	job.DoneVersions = make([]model.Versions, model.PartCount(job.Tasks))
	for part := range job.DoneVersions {
		if slices.ContainsFunc(job.Done.Part(part), func(b byte) bool { return b != 0 }) {
			s.enqueueFinished(job, part*model.TasksPerPart)
		}
	}
}

// isCompletionDurable reports whether the completion of a task is durable, or will be
// with the end of the job.
func isCompletionDurable(job *model.JobState, index int) bool {
	if job.HomeCell != "" {
		return job.Confirmed.Has(index)
	}
	versions := job.DoneVersions[0]
	if len(job.DoneVersions) > 1 {
		versions = job.DoneVersions[index/model.TasksPerPart]
	}
	return versions.Stored >= versions.Current
}
