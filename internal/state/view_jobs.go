package state

import (
	"log/slog"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/spill"
)

// JobView is the view's information on a job.
type JobView struct {
	Submission *model.Submission // nil once the job is done
	Revision   uint64            // revision at which its acceptance was written
	End        string            // the stored end; see View.EffectiveEnd
	DoneTasks  int               // number of finished tasks, set once the job is done
	dependencies
}

// putJob applies a job's submission or its end, and the consequences for its dependents. An end is
// final: a later record of the job is not applied.
func (v *View) putJob(jobID string, record shard.JobRecord, revision uint64) {
	job := v.job(jobID)
	if job.End != "" {
		slog.Error("a job that has ended has another record: the first end stays", "job", jobID, "end", job.End, "ignored", record.End, "revision", revision)
		return
	}
	isNew := job.Submission == nil
	job.Submission = submissionOf(jobID, record.Spec)
	if record.End == "" {
		job.Revision = revision
	} else {
		v.setJobEnd(jobID, job, &record)
	}
	if isNew && record.Spec != nil {
		v.addDependencies(jobID, job)
	}
	if record.End != "" {
		v.jobEnded(job, revision)
	}
}

// submissionOf returns the submission of the job that a record's key names. A submission that
// names another job must not be taken for that job's.
func submissionOf(jobID string, submission *model.Submission) *model.Submission {
	if submission == nil || submission.ID == jobID {
		return submission
	}
	slog.Error("a record's submission names another job than its key: the key counts", "job", jobID, "named", submission.ID)
	renamed := *submission
	renamed.ID = jobID
	return &renamed
}

func (v *View) setJobEnd(jobID string, job *JobView, record *shard.JobRecord) {
	job.End, job.endMs = record.End, record.EndedMs
	if record.End == model.JobDone {
		job.DoneTasks = record.Tasks
	}
	tasks := record.Tasks
	if record.Spec != nil {
		tasks = record.Spec.Tasks
	}
	v.dropDoneEntries(jobID, tasks)
}

// job returns the view of a job. It adds an empty one if nothing is known of the job yet.
func (v *View) job(jobID string) *JobView {
	job := v.Jobs[jobID]
	if job == nil {
		job = &JobView{}
		v.Jobs[jobID] = job
	}
	return job
}

// AcceptedRevision returns the revision at which a job's acceptance was written, 0 if it is not
// known. A write on condition that the job's record is still at this revision can't replace the
// job's end, whatever the view contains.
func (v *View) AcceptedRevision(jobID string) uint64 {
	if job := v.Jobs[jobID]; job != nil {
		return job.Revision
	}
	return 0
}

// Known reports whether a job was accepted.
func (v *View) Known(jobID string) bool {
	job := v.Jobs[jobID]
	return job != nil && (job.Submission != nil || job.End != "")
}

// Status returns a job's status and its numbers of finished and running tasks, as far as they
// follow from the stored state. known is false if the job was not accepted.
func (v *View) Status(jobID string) (status string, done, running int, known bool) {
	if !v.Known(jobID) {
		return "", 0, 0, false
	}
	if end, ended := v.EffectiveEnd(jobID); ended {
		return end, v.Jobs[jobID].DoneTasks, 0, true
	}
	finished := v.Done(jobID)
	done = finished.Len()
	if bound := v.boundTasks[jobID]; bound > 0 {
		return model.JobRunning, done, bound, true
	}
	if lent := v.LentJobs[jobID]; lent != nil && lent.State == spill.Lent && lent.Running > 0 {
		return model.JobRunning, done, lent.Running, true
	}
	return model.JobPending, done, 0, true
}

// EffectiveEnd returns a job's end if there is one: the stored end, or model.JobCancelled if a
// direct or indirect dependency was cancelled.
func (v *View) EffectiveEnd(jobID string) (end string, ended bool) {
	job := v.Jobs[jobID]
	switch {
	case job == nil:
		return "", false
	case job.End != "":
		return job.End, true
	case job.dependencyCancelled && job.Submission != nil:
		return model.JobCancelled, true
	}
	return "", false
}
