package shard

import (
	"strconv"
	"strings"

	"woadweir/internal/core/model"
)

// MachineRecord is the durable record of a machine: what is bound to it.
type MachineRecord struct {
	MachineType string                 `json:"build"`
	Zone        string                 `json:"yard"`
	Spot        bool                   `json:"spot,omitempty"`
	Tasks       map[string][][2]uint64 `json:"pieces,omitempty"` // job -> (task, try)
}

// BundleRecord holds the records of some machines and the finished tasks of some
// jobs, so that what changed on many of them costs a single change. A block has
// several bundles; of a machine or job that stands in more than one, the bundle
// that was written last counts. A machine that is nil there is gone.
type BundleRecord struct {
	Machines map[string]*MachineRecord `json:"hosts,omitempty"`
	Done     map[string][]byte         `json:"done,omitempty"` // job -> bit set of finished tasks
	// Dense has it written in the dense form.
	Dense bool `json:"-"`
}

// PartMark stands between a job and the number of a part of its finished tasks. A
// job has parts if all its tasks' bits would be too large for a bundle.
const PartMark = "#"

// PartEntry names a part of a job's finished tasks.
func PartEntry(ref string, k int) string { return DoneEntry + ref + PartMark + strconv.Itoa(k) }

// Has tells whether an entry stands in the bundle.
func (b *BundleRecord) Has(name string) (ok bool) {
	if ref, machine := strings.CutPrefix(name, MachineEntry); machine {
		_, ok = b.Machines[ref]
	} else {
		_, ok = b.Done[strings.TrimPrefix(name, DoneEntry)]
	}
	return ok
}

// Names lists the entries of a bundle.
func (b *BundleRecord) Names() []string {
	names := make([]string, 0, len(b.Machines)+len(b.Done))
	for ref := range b.Machines {
		names = append(names, MachineEntry+ref)
	}
	for ref := range b.Done {
		names = append(names, DoneEntry+ref)
	}
	return names
}

// JobRecord is a job's one key for its whole life: the submission until its end,
// and then the end, for ever. A withdrawn job keeps its submission, as what is
// still on machines has to be counted; of a done one nothing can be.
type JobRecord struct {
	Spec  *model.Submission `json:"spec,omitempty"`
	End   string            `json:"end,omitempty"`
	Tasks int               `json:"pieces,omitempty"`
	// AtMs is the time of day of the end: the times of jobs that await this one count
	// from then.
	AtMs int64 `json:"atMs,omitempty"`
}

// Entries of bundles.
const (
	MachineEntry = "host/"
	DoneEntry    = "done/"
)

func record(m *model.Machine) *MachineRecord {
	rec := &MachineRecord{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Tasks: make(map[string][][2]uint64, len(m.Bindings))}
	for id, b := range m.Bindings {
		rec.Tasks[id.Job] = append(rec.Tasks[id.Job], [2]uint64{uint64(id.Index), b.Attempt})
	}
	return rec
}
