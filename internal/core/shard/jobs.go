package shard

import "woadweir/internal/core/model"

// AddJob makes a job known that was accepted age ago, with the tasks that are
// already done.
func (h *State) AddJob(j *model.Job, done model.Set, ended string, now, age model.Micros) *model.JobState {
	if js := h.Jobs[j.ID]; js != nil {
		return js
	}
	js := &model.JobState{Job: j, Done: done, Ended: ended, Bindings: map[int][]*model.Binding{}, ReadySince: now - age, IdleSince: now - age}
	js.DoneVersions = make([]model.Versions, 1)
	if h.parted(j) && ended == "" {
		// What is done may stand in a whole that is too large to be written again.
		h.split(js)
	}
	if ended == "" {
		js.Waiting = make([]int, 0, j.Tasks-done.Len())
		for i := range j.Tasks {
			if !done.Has(i) {
				js.Waiting = append(js.Waiting, i)
			}
		}
		if done.Len() >= j.Tasks {
			h.requestEnd(js)
		}
	}
	h.Jobs[j.ID] = js
	h.NeedsPlacement = true
	h.Log(Event{What: "job", Task: j.ID, Why: j.Class + " of " + j.Team})
	return js
}

// EndJob takes note of a job's durable end.
func (h *State) EndJob(ref, status string, now model.Micros) {
	js := h.Jobs[ref]
	if js == nil || js.Ended != "" {
		return
	}
	js.Ended, js.EndPending, js.Waiting = status, false, nil
	for _, bs := range js.Bindings {
		for _, b := range bs {
			h.stop(b, 0, "job "+status, now)
		}
	}
	h.forget(js)
}

// forget drops an ended job once nothing of it is bound: its end is kept in the
// state service, for ever.
func (h *State) forget(js *model.JobState) {
	if js.Ended != "" && len(js.Bindings) == 0 {
		delete(h.Jobs, js.ID)
	}
}

func (h *State) requestEnd(js *model.JobState) {
	if js.Ended == "" && !js.EndPending {
		js.EndPending = true
		js.Waiting = nil
		if js.HomeCell == "" { // else its home writes the end
			h.ends = append(h.ends, js.ID)
		}
	}
}
