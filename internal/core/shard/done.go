package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// pushDone notes that finished tasks of a job are to be written: the part of them
// that task n is in.
func (h *State) pushDone(js *model.JobState, n int) {
	if js.HomeCell != "" {
		return // its home stores that
	}
	if len(js.DoneVersions) == 1 {
		js.DoneVersions[0].Now++
		h.push(DoneEntry + js.ID)
		return
	}
	k := n / model.TasksPerPart
	js.DoneVersions[k].Now++
	h.push(PartEntry(js.ID, k))
}

// versions are those of a part of a job's finished tasks, or of the whole (-1). There
// are none if the job is stored in the other form: such an entry is one of a holder
// that had other limits, and is only carried along.
func versions(js *model.JobState, part int) *model.Versions {
	if (part < 0) != (len(js.DoneVersions) == 1) {
		return nil
	}
	return &js.DoneVersions[max(part, 0)]
}

// split has a job's finished tasks stored in parts from now on.
func (h *State) split(js *model.JobState) {
	js.DoneVersions = make([]model.Versions, model.Parts(js.Tasks))
	for k := range js.DoneVersions {
		if slices.ContainsFunc(js.Done.Part(k), func(b byte) bool { return b != 0 }) {
			h.pushDone(js, k*model.TasksPerPart)
		}
	}
}

// isDurable tells that the completion of a task is durable, or will be with the
// job's end.
func isDurable(js *model.JobState, n int) bool {
	if js.HomeCell != "" {
		return js.Confirmed.Has(n)
	}
	v := js.DoneVersions[0]
	if len(js.DoneVersions) > 1 {
		v = js.DoneVersions[n/model.TasksPerPart]
	}
	return v.Stored >= v.Now
}
