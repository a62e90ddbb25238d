package placement

import "woadweir/internal/core/model"

// Waiting times of jobs, relative to times that the caller provides.
const (
	// guaranteeWaitDivisor defines when others may be preempted for guaranteed work: after a
	// fourth of the guarantee objective.
	guaranteeWaitDivisor = 4
	// promptStartStopTimes bounds the MaxWait of classes that have to start promptly, in
	// multiples of StopTime.
	promptStartStopTimes = 2
	// gangWaitPercent is how long a gang waits for machines that suit it better, in percent
	// of its MaxWait.
	gangWaitPercent = 160
)

// waitedLongEnough reports whether a job has waited so long that others are preempted for
// it. For work within its team's guarantee, the guarantee objective bounds the wait.
func (r *Round) waitedLongEnough(job *model.JobState) bool {
	maxWait := r.Estimates.MaxWait(job)
	if job.CanMeetGuarantee {
		maxWait = min(maxWait, r.GuaranteeObjective/guaranteeWaitDivisor)
	}
	return r.Now-job.ReadySince+r.StopTime >= maxWait
}

// mustStartNow reports whether a job of high priority is late, and its class has to start
// within a few heartbeats.
func (r *Round) mustStartNow(job *model.JobState) bool {
	return job.Priority >= model.HighPriority && r.waitedLongEnough(job) && r.Estimates.MaxWait(job) < promptStartStopTimes*r.StopTime
}

// gangCanWait reports whether a gang can still wait for machines that suit it better.
func (r *Round) gangCanWait(job *model.JobState) bool {
	return job.Kind == model.Gang && r.Now-job.ReadySince < r.Estimates.MaxWait(job)*gangWaitPercent/100
}

// idleSince returns since when a job has been waiting with none of its tasks bound. For a
// job that is not known to have run, that is ReadySince.
func idleSince(job *model.JobState) model.Micros {
	if !job.IsKnownToRun() {
		return job.ReadySince
	}
	return job.IdleSince
}
