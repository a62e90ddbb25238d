package shard

import (
	"strconv"
	"strings"

	"woadweir/internal/core/model"
)

// MachineRecord is the durable record of a machine and the tasks bound to it.
type MachineRecord struct {
	MachineType string                 `json:"build"`
	Zone        string                 `json:"yard"`
	Spot        bool                   `json:"spot,omitempty"`
	Tasks       map[string][][2]uint64 `json:"pieces,omitempty"` // job -> pairs of task index and attempt
}

// BundleRecord holds the records of some machines and the finished tasks of some jobs, so
// that changes of many of them are written at once. A shard has several bundles. If a
// machine or job is in more than one of them, the bundle that was written last takes
// precedence. A machine whose record is nil is gone.
type BundleRecord struct {
	Machines map[string]*MachineRecord `json:"hosts,omitempty"`
	Done     map[string][]byte         `json:"done,omitempty"` // job -> bit set of finished tasks
	// Dense selects the dense encoding (see denseVersion).
	Dense bool `json:"-"`
}

// PartSeparator separates a job id and the number of a part of its finished tasks.
// Finished tasks are stored in parts if the whole set would be too large for a bundle.
const PartSeparator = "#"

// PartEntry returns the name of the entry that holds a part of a job's finished tasks.
func PartEntry(jobID string, part int) string {
	return DoneEntry + jobID + PartSeparator + strconv.Itoa(part)
}

// Has reports whether the bundle has an entry of the given name.
func (b *BundleRecord) Has(name string) (ok bool) {
	if machineID, isMachine := strings.CutPrefix(name, MachineEntry); isMachine {
		_, ok = b.Machines[machineID]
	} else {
		_, ok = b.Done[strings.TrimPrefix(name, DoneEntry)]
	}
	return ok
}

// Names returns the names of the entries of the bundle.
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

// JobRecord is the durable record of a job: its submission until the job ends, and after
// that its end, permanently. A cancelled job keeps its submission, because its tasks may
// still be on machines and use resources. A job that is done has no tasks there.
type JobRecord struct {
	Spec  *model.Submission `json:"spec,omitempty"`
	End   string            `json:"end,omitempty"`
	Tasks int               `json:"pieces,omitempty"`
	// EndedMs is the time of day of the end. The waiting times of jobs that depend on this
	// one are measured from it.
	EndedMs int64 `json:"atMs,omitempty"`
}

// The prefixes of the names of entries in bundles.
const (
	MachineEntry = "host/" // + machine id: the record of a machine
	DoneEntry    = "done/" // + job id, and part if any: finished tasks of a job
)

// machineRecord returns the current record of a machine.
func machineRecord(machine *model.Machine) *MachineRecord {
	tasks := make(map[string][][2]uint64, len(machine.Bindings))
	for id, binding := range machine.Bindings {
		tasks[id.Job] = append(tasks[id.Job], [2]uint64{uint64(id.Index), binding.Attempt})
	}
	return &MachineRecord{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Tasks: tasks}
}
