package shard

import "woadweir/internal/core/model"

// failGangAttempt ends what is left of a gang's attempt, so that the next can begin.
func (h *State) failGangAttempt(js *model.JobState, why string, now model.Micros) {
	js.AttemptFailed = true
	for _, bs := range js.Bindings {
		for _, b := range bs {
			h.stop(b, 0, why, now)
		}
	}
}

// checkGang ends an attempt that has not come together in all the time that its
// images and the waiting for each other can have taken: whatever holds it up,
// its machines must not stand idle for it for ever.
func (h *State) checkGang(js *model.JobState, now model.Micros) {
	if js.Kind != model.Gang || js.AttemptFailed || js.Ended != "" || js.EndPending || len(js.Bindings) == 0 {
		return
	}
	fetch, since := model.Micros(0), now
	for _, bs := range js.Bindings {
		for _, b := range bs {
			if b.Status >= model.Running {
				return
			}
			fetch, since = max(fetch, b.ExpectedFetch), min(since, b.BoundAt)
		}
	}
	if now-since > 3*fetch+2*h.Params.GangWait+h.LeaseExpiry() {
		h.failGangAttempt(js, "it does not come together", now)
	}
}
