package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Write is a change of one key that is to be made durable under our grant.
type Write struct {
	Key        string // key of a job's end, empty for a bundle
	Slot       int    // slot of a bundle, noSlot for a job's end
	Value      any
	versions   map[string]uint64 // the entries of the bundle, with their versions
	tableNames map[string]bool   // names in the tables of the dense encoding
	size       int               // bytes of the value at most
	// unanswered means that the same write got no answer before, and may yet be
	// carried out late.
	unanswered bool
}

// noSlot is the slot of writes that are not bundles.
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

// markChanged queues the record of a machine that has changed.
func (s *State) markChanged(machine *model.Machine) {
	machine.Version++
	s.enqueue(MachineEntry + machine.ID)
}

// PendingWrites returns the number of records that wait to be written.
func (s *State) PendingWrites() int {
	return len(s.pendingEnds) + len(s.queue) + len(s.unansweredWrites)
}

// include adds the present value of an entry to a bundle.
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
// It tells whether the record is needed.
func (s *State) includeMachine(write *Write, bundle *BundleRecord, machineID string) bool {
	entry := MachineEntry + machineID
	machine := s.Machines[machineID]
	if machine == nil && s.copiesElsewhere(entry, write.Slot) == 0 {
		return false // no other slot has a record that would bring the machine back
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

// copiesElsewhere returns the number of other slots with some version of an entry.
func (s *State) copiesElsewhere(entry string, slot int) int {
	copies := s.copies[entry]
	if _, ok := s.slots[slot].sizes[entry]; ok {
		copies--
	}
	return copies
}

// includeFinished adds the finished tasks of a job to a bundle. It tells whether they
// are needed, as the job has not ended.
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

// maxEndBytes is the most that the end of a job takes in a transaction.
const maxEndBytes = 300

// transaction collects the writes of one transaction, within its limits.
type transaction struct {
	maxWrites int
	bytesLeft int
	writes    []*Write
	bundle    *Write          // the last bundle, to which entries are added while they fit
	usedSlots map[int]bool    // slots of the bundles
	written   map[string]bool // entries of the bundles
}

// Writes takes changes from the queue, in order, as many as fit into a transaction of
// so many operations and bytes. The values are made now, so they contain everything
// decided before. If the transaction fails, the caller gives them back with Retry.
// Writes that got no answer go first, unchanged and alone: until their keys have been
// written again, a late copy of them could revert entries that were since written to
// other bundles.
func (s *State) Writes(maxWrites, maxBytes int) []Write {
	if count := min(maxWrites, len(s.unansweredWrites)); count > 0 {
		writes := s.unansweredWrites[:count:count]
		s.unansweredWrites = s.unansweredWrites[count:]
		return writes
	}
	txn := &transaction{maxWrites: maxWrites, bytesLeft: maxBytes, usedSlots: map[int]bool{}, written: map[string]bool{}}
	// Ends of jobs go first, as users and dependent jobs wait for them. Their order among
	// the bundles does not matter: all tasks of these jobs are done.
	s.addEnds(txn)
	s.addQueued(txn)
	return txn.result()
}

// addEnds adds as many ends of jobs as fit.
func (s *State) addEnds(txn *transaction) {
	for len(s.pendingEnds) > 0 && len(txn.writes) < txn.maxWrites && txn.bytesLeft >= maxEndBytes {
		jobID := s.pendingEnds[0]
		s.pendingEnds = s.pendingEnds[1:]
		if job := s.Jobs[jobID]; job != nil && job.FinalStatus == "" {
			txn.bytesLeft -= maxEndBytes
			record := JobRecord{End: model.JobDone, Tasks: job.Tasks}
			txn.writes = append(txn.writes, &Write{Key: jobKeyPrefix + jobID, Slot: noSlot, Value: record})
		}
	}
}

// addQueued adds as many entries of the queue as fit.
func (s *State) addQueued(txn *transaction) {
	processed := 0
	var postponed []string
	for processed < len(s.queue) {
		entry := s.queue[processed]
		switch {
		case txn.written[entry]:
			// A bundle has its present version already. Readers could not tell which of two
			// versions in one transaction counts.
		case s.isStoredInParts(entry):
			// The parts are queued themselves.
		case s.exceedsMaxValue(entry):
			postponed = append(postponed, entry)
		default:
			if !s.addEntry(txn, entry) {
				s.dequeue(processed, postponed)
				return
			}
		}
		processed++
	}
	s.dequeue(processed, postponed)
}

// dequeue removes the first entries from the queue, and puts the postponed ones among
// them back at its end.
func (s *State) dequeue(count int, postponed []string) {
	for _, entry := range s.queue[:count] {
		delete(s.queued, entry)
	}
	s.queue = s.queue[count:]
	for _, entry := range postponed {
		s.enqueue(entry)
	}
}

// isStoredInParts tells whether an entry has all finished tasks of a job that is now
// stored in parts.
func (s *State) isStoredInParts(entry string) bool {
	job, part := s.partOf(entry)
	return job != nil && finishedVersions(job, part) == nil
}

// exceedsMaxValue tells whether the record of a machine is too large for a bundle, as an
// earlier owner with a higher limit has bound too many tasks to it. The machine gets no
// new tasks, so its record will fit. Until then, a new owner finds tasks in the old
// record that are gone, and has to get its own proof of that.
func (s *State) exceedsMaxValue(entry string) bool {
	return strings.HasPrefix(entry, MachineEntry) && s.bundleBytes()+s.entryBytes(entry) > s.Params.MaxValue
}

// addEntry adds an entry to the last bundle, or to a new one if it does not fit there.
// It tells whether the transaction had room for it.
func (s *State) addEntry(txn *transaction, entry string) bool {
	size := 0
	if txn.bundle != nil {
		size = s.entryBytesIn(entry, txn.bundle.tableNames)
	}
	if txn.bundle == nil || txn.bundle.size+size > s.Params.MaxValue {
		size = s.entryBytes(entry)
		if len(txn.writes) >= txn.maxWrites || txn.bytesLeft < size {
			return false
		}
		s.addBundle(txn, size)
		if txn.written[entry] {
			return true
		}
	}
	if txn.bytesLeft < size && len(txn.bundle.versions) > 0 {
		return false
	}
	sizeBefore := txn.bundle.size
	s.include(txn.bundle, entry)
	txn.written[entry] = true
	txn.bytesLeft -= txn.bundle.size - sizeBefore
	return true
}

// addBundle adds a bundle for an entry of the given size.
func (s *State) addBundle(txn *transaction, size int) {
	txn.bundle = s.newBundle(txn.usedSlots, size)
	for entry := range txn.bundle.versions {
		txn.written[entry] = true
	}
	txn.bytesLeft -= txn.bundle.size
	txn.writes = append(txn.writes, txn.bundle)
}

// result returns the writes with their values.
func (txn *transaction) result() []Write {
	writes := make([]Write, 0, len(txn.writes))
	for _, write := range txn.writes {
		if write.Value == nil && write.Slot != noSlot {
			write.Value = BundleRecord{}
		}
		writes = append(writes, *write)
	}
	return writes
}

// Committed notes that writes are durable.
func (s *State) Committed(writes []Write, now model.Micros) {
	for i := range writes {
		write := &writes[i]
		if write.Slot == noSlot {
			s.EndJob(strings.TrimPrefix(write.Key, jobKeyPrefix), model.JobDone, now)
			continue
		}
		entries := make([]string, 0, len(write.versions))
		for entry, version := range write.versions {
			entries = append(entries, entry)
			s.markDurable(entry, version)
		}
		s.SetSlotEntries(write.Slot, entries)
	}
}

// markDurable notes that a version of an entry is durable.
func (s *State) markDurable(entry string, version uint64) {
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		if machine := s.Machines[machineID]; machine != nil {
			machine.DurableVersion, machine.Stored = max(machine.DurableVersion, version), true
		}
		return
	}
	if job, part := s.partOf(entry); job != nil {
		if versions := finishedVersions(job, part); versions != nil {
			versions.Stored = max(versions.Stored, version)
		}
	}
}

// RetryTooLarge takes back writes that were refused as too large: their entries are
// written in bundles within MaxValue, which the caller has lowered. Earlier tries of
// these writes will not be carried out any more.
func (s *State) RetryTooLarge(writes []Write) {
	for _, job := range s.Jobs {
		if len(job.DoneVersions) == 1 && s.needsParts(job.Job) {
			s.storeInParts(job)
		}
	}
	for i := range writes {
		writes[i].unanswered = false
	}
	s.Retry(writes, false)
}

// Retry takes back writes whose transaction failed, or got no answer (lost). In the
// latter case bundles are written again unchanged: they are known to fit, and the
// conditions on the revisions that we last saw make late copies harmless.
func (s *State) Retry(writes []Write, outcomeUnknown bool) {
	var entries, endedJobs []string
	var unanswered []Write
	for i := range writes {
		write := writes[i]
		if write.Slot == noSlot {
			endedJobs = append(endedJobs, strings.TrimPrefix(write.Key, jobKeyPrefix))
			continue
		}
		if write.unanswered = write.unanswered || outcomeUnknown; write.unanswered {
			unanswered = append(unanswered, write)
			continue
		}
		for entry := range write.versions {
			entries = append(entries, entry)
		}
	}
	s.unansweredWrites = append(unanswered, s.unansweredWrites...)
	s.pendingEnds = append(endedJobs, s.pendingEnds...)
	slices.Sort(entries)
	// Entries that have changed again since move to the front.
	s.queue = slices.DeleteFunc(s.queue, func(entry string) bool { return slices.Contains(entries, entry) })
	for _, entry := range entries {
		s.queued[entry] = true
	}
	s.queue = append(entries, s.queue...)
}
