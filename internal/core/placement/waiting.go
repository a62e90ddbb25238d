package placement

import "woadweir/internal/core/model"

// How long jobs wait, relative to the times that the caller gives.
const (
	// guaranteeWaitDivisor is the part of the time in which guaranteed work is to start
	// after which others may be preempted for it: a fourth.
	guaranteeWaitDivisor = 4
	// promptStartStopTimes bounds the longest wait of a class that is to start promptly, in
	// times that stopping a task takes.
	promptStartStopTimes = 2
	// gangWaitPercent is how long a gang waits for machines that suit it better, in percent
	// of its longest wait.
	gangWaitPercent = 160
)

// waitedLongEnough tells that a job has waited as long as it may before others are
// preempted for it. For work within its team's guarantee, the wait is bounded by the
// time in which such work is to start.
func (r *Round) waitedLongEnough(job *model.JobState) bool {
	maxWait := r.Estimates.MaxWait(job)
	if job.CanMeetGuarantee {
		maxWait = min(maxWait, r.GuaranteeObjective/guaranteeWaitDivisor)
	}
	return r.Now-job.ReadySince+r.StopTime >= maxWait
}

// mustStartNow tells that a job of high priority is late, and its class is to start
// within a few heartbeats.
func (r *Round) mustStartNow(job *model.JobState) bool {
	return job.Priority >= model.HighPriority && r.waitedLongEnough(job) && r.Estimates.MaxWait(job) < promptStartStopTimes*r.StopTime
}

// gangCanWait tells that a gang can still wait for machines that suit it better.
func (r *Round) gangCanWait(job *model.JobState) bool {
	return job.Kind == model.Gang && r.Now-job.ReadySince < r.Estimates.MaxWait(job)*gangWaitPercent/100
}

// idleSince is since when a job waits with none of its tasks bound: from the start if no
// task has run.
func idleSince(job *model.JobState) model.Micros {
	if !job.IsKnownToRun() {
		return job.ReadySince
	}
	return job.IdleSince
}
