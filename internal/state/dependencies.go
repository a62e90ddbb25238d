package state

import "woadweir/internal/core/model"

// dependencies is a job's node in the dependency graph: the state that follows from the jobs that
// it awaits and from those that await it. It is derived from stored records only, so every
// controller computes the same after any failure. A job that depends on a cancelled one is
// cancelled as soon as that end is written. No task of such a job can be on a machine, because a
// job starts only when all its dependencies are done, and the end of a job is written only once.
type dependencies struct {
	pendingDependencies int      // jobs that it awaits and that are not known to be done
	dependencyCancelled bool     // a direct or indirect dependency is cancelled
	dependents          []string // jobs that await it, as long as it has no end
	endMs               int64    // wall-clock time of its end, 0: not recorded
	readyMs             int64    // wall-clock time when its last dependency was done
	readyRevision       uint64   // revision at which that end was written
	priority            model.Priority
	deadlineMs          int64 // wall-clock time of its effective deadline, 0: none
}

// Ready reports whether all dependencies of a job are done, so that it may start.
func (j *JobView) Ready() bool { return j.pendingDependencies == 0 && !j.dependencyCancelled }

// IsIndependent reports whether a job neither awaits other jobs nor is awaited.
func (j *JobView) IsIndependent() bool {
	return len(j.Submission.Awaits) == 0 && len(j.dependents) == 0
}

// ReadyMs returns the wall-clock time from which a job's times count, other than its deadline.
func (j *JobView) ReadyMs() int64 { return max(j.Submission.AcceptedMs, j.readyMs) }

// Order returns a job's position in the order of age: the revision of its acceptance or, if that
// is later, of the end of its last dependency.
func (j *JobView) Order() uint64 { return max(j.Revision, j.readyRevision) }

// Job converts the submission to the form that the scheduler uses, with the effective priority and
// deadline.
func (j *JobView) Job() *model.Job {
	job := j.Submission.Job(j.Order())
	job.Priority, job.Deadline = j.EffectivePriority()
	return job
}

// EffectivePriority returns the highest priority among a job and all its dependents, and the time
// after ReadyMs within which the job has to be done so that its own deadline and those of its
// dependents can be met, 0 if there is no deadline.
func (j *JobView) EffectivePriority() (model.Priority, model.Micros) {
	if j.deadlineMs == 0 {
		return j.priority, 0
	}
	return j.priority, max(1, model.Micros(j.deadlineMs-j.ReadyMs())*model.Millisecond)
}

// TakeChangedJobs returns the jobs that have become ready, or got another priority or deadline,
// because of other jobs' records since the last call.
func (v *View) TakeChangedJobs() []string {
	changed := v.changedJobs
	v.changedJobs = nil
	return changed
}

// addDependencies links a job to the jobs that it awaits, once its submission is known. The jobs
// that await it may have become known earlier.
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

// dependencyDone records that a job that this one awaits was done, by an end written at the given
// revision.
func (j *JobView) dependencyDone(awaited *JobView, revision uint64) {
	j.readyMs = max(j.readyMs, awaited.endMs)
	j.readyRevision = max(j.readyRevision, revision)
}

// lowerDeadline sets the wall-clock time of the job's effective deadline, unless it already has an
// earlier one. It reports whether the deadline has changed.
func (j *JobView) lowerDeadline(ms int64) bool {
	if j.deadlineMs != 0 && j.deadlineMs <= ms {
		return false
	}
	j.deadlineMs = ms
	return true
}

// jobEnded applies a job's end, written at the given revision, to its dependents.
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

// cancelDependents marks all direct and indirect dependents of a cancelled job.
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

// propagatePriority passes a job's priority and deadline on to its direct and indirect
// dependencies. It stops where nothing changes.
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

// inheritPriority raises the priority of an awaited job to that of its dependent, and lowers its
// deadline so that the dependent can meet its own. It reports whether either has changed.
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

// estimateMs returns how long the job is expected to run.
func (j *JobView) estimateMs() int64 { return int64(j.Submission.EstimateS * 1000) }
