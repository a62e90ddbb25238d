package state

import "woadweir/internal/core/model"

// dependencies is a job's place among the jobs that it awaits and those that await it.
// All of it follows from stored records, so every controller computes the same after any
// failure: a job that depends on a cancelled one is cancelled as soon as that end is
// written. No task of such a job can be on a machine, as it begins only when all that it
// depends on is done, and an end is written once.
type dependencies struct {
	pendingDependencies int      // jobs that it depends on and that are not known to be done
	dependencyCancelled bool     // a job that it depends on, directly or through others, is cancelled
	dependents          []string // jobs that await it, as long as it has no end
	endMs               int64    // time of day of its end, 0: not recorded
	readyMs             int64    // time of day when the last job it depends on was done
	readyRevision       uint64   // revision of that end
	priority            model.Priority
	deadlineMs          int64 // time of day when it is due, 0: never
}

// Ready tells whether all that a job depends on is done, so that it may begin.
func (j *JobView) Ready() bool { return j.pendingDependencies == 0 && !j.dependencyCancelled }

// IsIndependent tells that a job neither awaits others nor is awaited.
func (j *JobView) IsIndependent() bool {
	return len(j.Submission.Awaits) == 0 && len(j.dependents) == 0
}

// ReadyMs is the time of day from which a job's times count, other than its deadline.
func (j *JobView) ReadyMs() int64 { return max(j.Submission.AcceptedMs, j.readyMs) }

// Order is a job's age among other jobs: the revision of its acceptance, or of the end
// of the last job that it depends on.
func (j *JobView) Order() uint64 { return max(j.Revision, j.readyRevision) }

// Job converts the submission to the form that scheduling decisions use, with the
// effective priority and deadline.
func (j *JobView) Job() *model.Job {
	job := j.Submission.Job(j.Order())
	job.Priority, job.Deadline = j.EffectivePriority()
	return job
}

// EffectivePriority is the highest priority among a job and all that depend on it, and
// the time from ReadyMs on within which it has to be done so that what runs after it
// meets its deadlines, 0 if there is none.
func (j *JobView) EffectivePriority() (model.Priority, model.Micros) {
	if j.deadlineMs == 0 {
		return j.priority, 0
	}
	return j.priority, max(1, model.Micros(j.deadlineMs-j.ReadyMs())*model.Millisecond)
}

// TakeChangedJobs gives the jobs that other jobs' records have made ready, or given
// another priority or deadline, since it was last called.
func (v *View) TakeChangedJobs() []string {
	changed := v.changedJobs
	v.changedJobs = nil
	return changed
}

// addDependencies links a job to the jobs that it awaits, once its submission is known.
// The jobs that await it may have become known earlier.
func (v *View) addDependencies(jobID string, job *JobView) {
	submitted := job.Submission.Job(0)
	job.priority = max(job.priority, submitted.Priority)
	if submitted.Deadline > 0 {
		job.lowerDeadline(job.Submission.AcceptedMs + int64(submitted.Deadline/model.Millisecond))
	}
	for _, awaitedID := range job.Submission.Awaits {
		awaited := v.job(awaitedID)
		switch {
		case awaited.End == model.JobDone:
			job.dependencyDone(awaited, v.Revisions[JobKey(awaitedID)])
		case awaited.End != "" || awaited.dependencyCancelled:
			job.dependencyCancelled = true
		default:
			awaited.dependents = append(awaited.dependents, jobID)
			job.pendingDependencies++
		}
	}
	if job.dependencyCancelled {
		v.cancelDependents(job)
		return
	}
	v.propagatePriority(jobID)
}

// dependencyDone notes the end, written at a revision, of a job that this one awaits.
func (j *JobView) dependencyDone(awaited *JobView, revision uint64) {
	j.readyMs = max(j.readyMs, awaited.endMs)
	j.readyRevision = max(j.readyRevision, revision)
}

// lowerDeadline sets the time of day by which the job is due, unless it is due earlier
// already. It tells whether the deadline has changed.
func (j *JobView) lowerDeadline(ms int64) bool {
	if j.deadlineMs != 0 && j.deadlineMs <= ms {
		return false
	}
	j.deadlineMs = ms
	return true
}

// jobEnded applies a job's end, written at a revision, to the jobs that depend on it.
func (v *View) jobEnded(job *JobView, revision uint64) {
	if job.End != model.JobDone {
		v.cancelDependents(job)
		return
	}
	for _, dependentID := range job.dependents {
		dependent := v.Jobs[dependentID]
		dependent.dependencyDone(job, revision)
		dependent.pendingDependencies--
		if dependent.pendingDependencies == 0 {
			v.changedJobs = append(v.changedJobs, dependentID)
		}
	}
	job.dependents = nil
}

// cancelDependents marks all jobs that depend on a cancelled one, directly or through
// others.
func (v *View) cancelDependents(cancelled *JobView) {
	for queue := []*JobView{cancelled}; len(queue) > 0; {
		job := queue[0]
		queue = queue[1:]
		for _, dependentID := range job.dependents {
			dependent := v.Jobs[dependentID]
			if !dependent.dependencyCancelled && dependent.End == "" {
				dependent.dependencyCancelled = true
				queue = append(queue, dependent)
			}
		}
		job.dependents = nil
	}
}

// propagatePriority passes a job's priority and deadline on to the jobs that it depends
// on, directly or through others. It stops where nothing changes.
func (v *View) propagatePriority(jobID string) {
	for queue := []string{jobID}; len(queue) > 0; {
		job := v.Jobs[queue[0]]
		queue = queue[1:]
		if job.Submission == nil || job.End != "" {
			continue
		}
		for _, awaitedID := range job.Submission.Awaits {
			if v.inheritPriority(awaitedID, job) {
				queue = append(queue, awaitedID)
			}
		}
	}
}

// inheritPriority raises the priority of an awaited job to that of its dependent, and
// has it done early enough for the dependent's deadline. It tells whether that changed
// anything.
func (v *View) inheritPriority(awaitedID string, dependent *JobView) bool {
	awaited := v.Jobs[awaitedID]
	if awaited.End != "" {
		return false
	}
	changed := dependent.priority > awaited.priority
	awaited.priority = max(awaited.priority, dependent.priority)
	if dependent.deadlineMs != 0 && awaited.lowerDeadline(dependent.deadlineMs-dependent.estimateMs()) {
		changed = true
	}
	if changed && awaited.Submission != nil && awaited.pendingDependencies == 0 {
		v.changedJobs = append(v.changedJobs, awaitedID)
	}
	return changed
}

// estimateMs is how long the job is expected to run.
func (j *JobView) estimateMs() int64 { return int64(j.Submission.EstimateS * 1000) }
