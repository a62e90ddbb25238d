package shard

import (
	"encoding/json"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
)

// Bytes of records in JSON, counted from above.
const (
	bytesPerMachine = len(`"":{"build":,"yard":,"spot":true,"pieces":{}},`)
	bytesPerTask    = len(`[,],`)   // and the digits
	bytesPerJob     = len(`"":[],`) // of the pieces on a machine
	bytesPerDone    = len(`"":"",`) + 4
	bytesBundle     = len(`{"hosts":{},"done":{}}`)
)

func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}

// taskBytes is what a bound task takes in its machine's record, beside its job.
func taskBytes(n int, attempt uint64) int { return bytesPerTask + digits(uint64(n)) + digits(attempt) }

// quoted is what a string takes in JSON.
func quoted(s string) int {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

func (h *State) machineBytes(m *model.Machine) int {
	return bytesPerMachine + len(m.ID) + h.label(m.MachineType) + h.label(m.Zone) + m.RecordBytes
}

// label is what a machine type's or a zone's name takes in JSON: there are few.
func (h *State) label(s string) int {
	n, ok := h.labels[s]
	if !ok {
		n = quoted(s)
		h.labels[s] = n
	}
	return n
}

// addRecordBytes books a task in its machine's record, or takes it out with -1.
func addRecordBytes(b *model.Binding, sign int) {
	m := b.Machine
	m.RecordBytes += sign * taskBytes(b.ID.Index, b.Attempt)
	was := m.TaskCounts[b.ID.Job]
	if was == 0 || was == 1 && sign < 0 {
		m.RecordBytes += sign * (bytesPerJob + len(b.ID.Job))
	}
	if m.TaskCounts == nil {
		m.TaskCounts = map[string]int{}
	}
	if m.TaskCounts[b.ID.Job] = was + sign; was+sign == 0 {
		delete(m.TaskCounts, b.ID.Job)
	}
}

// TaskSlots is how many more tasks of a job may be bound to a machine, so that its record
// fits into a bundle beside what that has to carry along.
func (h *State) TaskSlots(j *model.Job, m *model.Machine) int {
	if h.Params.MaxValue == 0 {
		return model.MaxTasks
	}
	left := h.Params.MaxValue - h.Params.MaxValue/carryShare - h.bundleBytes()
	if h.Params.Dense {
		left -= h.denseSize(MachineEntry+m.ID, nil) + inBase64(denseJob+denseName(j.ID, nil))
		return max(0, left*3/4/h.denseTask(j.Tasks, (h.Token+1)<<20))
	}
	left -= h.machineBytes(m) + bytesPerJob + len(j.ID)
	return max(0, left/taskBytes(j.Tasks, (h.Token+1)<<20))
}

// parted tells whether a job's finished tasks are stored in parts.
func (h *State) parted(j *model.Job) bool {
	return h.Params.MaxValue > 0 && j.Tasks > model.TasksPerPart && doneBytes(j, (j.Tasks+7)/8) > h.Params.MaxValue/2
}

func doneBytes(j *model.Job, bits int) int { return bytesPerDone + len(j.ID) + (bits+2)/3*4 }

// partOf is the job and the number of the part that an entry of finished tasks is
// about, -1 for the whole.
func (h *State) partOf(entry string) (*model.JobState, int) {
	ref, part, parted := strings.Cut(strings.TrimPrefix(entry, DoneEntry), PartMark)
	if !parted {
		return h.Jobs[ref], -1
	}
	k, err := strconv.Atoi(part)
	js := h.Jobs[ref]
	if err != nil || js == nil || k < 0 || k >= model.Parts(js.Tasks) {
		return nil, 0
	}
	return js, k
}

// bundleBytes is what a bundle takes beside its entries.
func (h *State) bundleBytes() int {
	if h.Params.Dense {
		return denseBundle
	}
	return bytesBundle
}

// size is what an entry takes in a bundle of its own.
func (h *State) size(entry string) int { return h.sizeIn(entry, nil) }

// sizeIn is what an entry takes in a bundle that has the known names in its tables.
func (h *State) sizeIn(entry string, known map[string]bool) int {
	if h.Params.Dense {
		return h.denseSize(entry, known)
	}
	if ref, ok := strings.CutPrefix(entry, MachineEntry); ok {
		if m := h.Machines[ref]; m != nil {
			return h.machineBytes(m)
		}
		return bytesPerMachine + len(ref)
	}
	js, k := h.partOf(entry)
	switch {
	case js == nil:
		return bytesPerDone
	case k >= 0:
		return doneBytes(js.Job, len(js.Done.Part(k))) + 4
	}
	return doneBytes(js.Job, len(js.Done.Bytes()))
}
