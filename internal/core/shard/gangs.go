package shard

import "woadweir/internal/core/model"

// failGangAttempt stops what is left of a gang's attempt, so that the next attempt can
// begin.
func (s *State) failGangAttempt(job *model.JobState, why string, now model.Micros) {
	job.AttemptFailed = true
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			s.stop(b, 0, why, now)
		}
	}
}

// checkGang fails an attempt that has not started in the time that fetching the images
// and waiting for the other members can take. Its machines must not stay idle for it
// without end.
func (s *State) checkGang(job *model.JobState, now model.Micros) {
	if job.Kind != model.Gang || job.AttemptFailed || job.FinalStatus != "" || job.EndPending || len(job.Bindings) == 0 {
		return
	}
	fetch, since := model.Micros(0), now
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			if b.Status >= model.Running {
				return
			}
			fetch, since = max(fetch, b.ExpectedFetch), min(since, b.BoundAt)
		}
	}
	if now-since > 3*fetch+2*s.Params.GangWait+s.LeaseExpiry() {
		s.failGangAttempt(job, "it does not come together", now)
	}
}
