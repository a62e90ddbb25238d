package shard

import "woadweir/internal/core/model"

// failGangAttempt marks a gang's attempt as failed and stops its remaining tasks, so that
// the next attempt can begin.
func (s *State) failGangAttempt(job *model.JobState, reason string, now model.Micros) {
	job.AttemptFailed = true
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			s.stop(b, 0, reason, now)
		}
	}
}

// checkGang fails an attempt that has not started within the time that fetching the
// images and waiting for the other members can take. Without this limit its machines
// could stay idle indefinitely.
func (s *State) checkGang(job *model.JobState, now model.Micros) {
	if job.Kind != model.Gang || job.AttemptFailed || job.FinalStatus != "" || job.EndPending || len(job.Bindings) == 0 {
		return
	}
	maxFetch, boundSince := model.Micros(0), now
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			if b.Status >= model.Running {
				return
			}
			maxFetch, boundSince = max(maxFetch, b.ExpectedFetch), min(boundSince, b.BoundAt)
		}
	}
	if now-boundSince > 3*maxFetch+2*s.Params.GangWait+s.LeaseExpiry() {
		s.failGangAttempt(job, "gang attempt has not started in time", now)
	}
}
