package shard

import (
	"strconv"
	"strings"

	"woadweir/internal/core/model"
)

// MachineRecord is the durable record of a machine and the tasks that are bound to it.
type MachineRecord struct {
	MachineType string                 `json:"build"`
	Zone        string                 `json:"yard"`
	Spot        bool                   `json:"spot,omitempty"`
	Tasks       map[string][][2]uint64 `json:"pieces,omitempty"` // job -> pairs of task index and attempt
}

// BundleRecord holds the records of some machines and the finished tasks of some jobs,
// so that changes of many of them are written at once. A shard has several bundles. Of
// a machine or job that is in more than one, the bundle that was written last counts. A
// machine that is nil is gone.
type BundleRecord struct {
	Machines map[string]*MachineRecord `json:"hosts,omitempty"`
	Done     map[string][]byte         `json:"done,omitempty"` // job -> bit set of finished tasks
	// Dense selects the dense encoding.
	Dense bool `json:"-"`
}

// PartSeparator separates a job and the number of a part of its finished tasks. Finished
// tasks are stored in parts if the whole would be too large for a bundle.
const PartSeparator = "#"

// PartEntry returns the name of the entry of a part of a job's finished tasks.
func PartEntry(jobID string, part int) string {
	return DoneEntry + jobID + PartSeparator + strconv.Itoa(part)
}

// Has tells whether the bundle has an entry of this name.
func (b *BundleRecord) Has(name string) (ok bool) {
	if machineID, isMachine := strings.CutPrefix(name, MachineEntry); isMachine {
		_, ok = b.Machines[machineID]
	} else {
		_, ok = b.Done[strings.TrimPrefix(name, DoneEntry)]
	}
	return ok
}

// Names lists the names of the entries of a bundle.
func (b *BundleRecord) Names() []string {
	names := make([]string, 0, len(b.Machines)+len(b.Done))
	for machineID := range b.Machines {
		names = append(names, MachineEntry+machineID)
	}
	for jobOrPart := range b.Done {
		names = append(names, DoneEntry+jobOrPart)
	}
	return names
}

// JobRecord is the durable record of a job: its submission until the job ends, and then
// its end, for ever. A cancelled job keeps its submission, as its tasks may still be on
// machines and use resources. A done job has none there.
type JobRecord struct {
	Spec  *model.Submission `json:"spec,omitempty"`
	End   string            `json:"end,omitempty"`
	Tasks int               `json:"pieces,omitempty"`
	// EndedMs is the time of day of the end, from which the waiting times of jobs that
	// depend on this one count.
	EndedMs int64 `json:"atMs,omitempty"`
}

// The prefixes of the names of the entries of bundles.
const (
	MachineEntry = "host/"
	DoneEntry    = "done/"
)

// machineRecord returns the present record of a machine.
func machineRecord(machine *model.Machine) *MachineRecord {
	tasks := make(map[string][][2]uint64, len(machine.Bindings))
	for id, binding := range machine.Bindings {
		tasks[id.Job] = append(tasks[id.Job], [2]uint64{uint64(id.Index), binding.Attempt})
	}
	return &MachineRecord{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Tasks: tasks}
}
