package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Write is a change of one key that has to be made durable under the owner's grant.
type Write struct {
	Key        string // key of a job's end, empty for a bundle
	Slot       int    // slot of a bundle, noSlot for a job's end
	Value      any
	versions   map[string]uint64 // entry of the bundle -> its version
	tableNames map[string]bool   // names in the string tables of the dense encoding
	size       int               // maximum size of the value in bytes
	// unanswered is set if an earlier try of the same write got no response, and may still
	// take effect.
	unanswered bool
}

// EndedJob returns the ID of the job whose end this is; ok is false for a bundle.
func (w *Write) EndedJob() (jobID string, ok bool) { return strings.CutPrefix(w.Key, jobKeyPrefix) }

// noSlot is the value of Slot in writes that are not bundles.
const noSlot = -1

// jobKeyPrefix is the prefix of the keys of jobs.
const jobKeyPrefix = "job/"

// enqueue queues an entry to be written, unless it is queued already.
func (s *State) enqueue(entry string) {
	if !s.queued[entry] {
		s.queued[entry] = true
		s.queue = append(s.queue, entry)
	}
}

// markChanged increments the version of a machine's record and queues the record.
func (s *State) markChanged(machine *model.Machine) {
	machine.Version++
	s.enqueue(MachineEntry + machine.ID)
}

// PendingWrites returns the number of records that are waiting to be written.
func (s *State) PendingWrites() int {
	return len(s.pendingEnds) + len(s.queue) + len(s.unansweredWrites)
}

// include adds the current value of an entry to a bundle, if it is needed.
func (s *State) include(write *Write, entry string) {
	bundle, _ := write.Value.(BundleRecord)
	bundle.Dense = s.Params.DenseBundles
	size := s.entryBytesIn(entry, write.tableNames)
	included := false
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		included = s.includeMachine(write, &bundle, machineID)
	} else {
		included = s.includeFinished(write, &bundle, entry)
	}
	if !included {
		return
	}
	write.Value = bundle
	write.size += size
	s.addTableNames(entry, write.tableNames)
}

// includeMachine adds the record of a machine to a bundle, nil if the machine is gone.
// It reports whether the record is needed.
func (s *State) includeMachine(write *Write, bundle *BundleRecord, machineID string) bool {
	entry := MachineEntry + machineID
	machine := s.Machines[machineID]
	if machine == nil && s.copiesElsewhere(entry, write.Slot) == 0 {
		return false // no other slot has a record from which the machine would be restored
	}
	if bundle.Machines == nil {
		bundle.Machines = map[string]*MachineRecord{}
	}
	if machine == nil {
		bundle.Machines[machineID], write.versions[entry] = nil, 0
	} else {
		bundle.Machines[machineID], write.versions[entry] = machineRecord(machine), machine.Version
	}
	return true
}

// copiesElsewhere returns the number of other slots that hold any version of an entry.
func (s *State) copiesElsewhere(entry string, slot int) int {
	copies := s.copies[entry]
	if _, ok := s.slots[slot].sizes[entry]; ok {
		copies--
	}
	return copies
}

// includeFinished adds the finished tasks of a job to a bundle. It reports whether they
// are needed: they are not once the job has ended.
func (s *State) includeFinished(write *Write, bundle *BundleRecord, entry string) bool {
	job, part := s.partOf(entry)
	if job == nil || job.FinalStatus != "" {
		return false
	}
	if bundle.Done == nil {
		bundle.Done = map[string][]byte{}
	}
	bits := job.Done.Bytes()
	if part >= 0 {
		bits = job.Done.Part(part)
	}
	bundle.Done[strings.TrimPrefix(entry, DoneEntry)], write.versions[entry] = slices.Clone(bits), 0
	if versions := finishedVersions(job, part); versions != nil {
		write.versions[entry] = versions.Current
	}
	return true
}
