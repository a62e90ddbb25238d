package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Write is a change to be made durable under our grant.
type Write struct {
	Key   string // of a job's end
	Slot  int    // of a bundle, if Key is empty
	Value any
	vers  map[string]uint64 // the entries, with the versions that the value has
	known map[string]bool   // names in the tables of the dense form
	size  int
	// lost tells that the same write got no answer before, and may yet be carried out
	// late.
	lost bool
}

// jobKeyPrefix is the beginning of the keys of jobs.
const jobKeyPrefix = "job/"

// push queues an entry to be written, unless it is queued already.
func (h *State) push(entry string) {
	if !h.queued[entry] {
		h.queued[entry] = true
		h.queue = append(h.queue, entry)
	}
}

// markChanged marks a machine's record as changed.
func (h *State) markChanged(m *model.Machine) {
	m.Version++
	h.push(MachineEntry + m.ID)
}

// Queued is the number of records waiting to be written.
func (h *State) Queued() int { return len(h.ends) + len(h.queue) + len(h.again) }

// include puts an entry's present value into a bundle.
func (h *State) include(w *Write, entry string) {
	rec, _ := w.Value.(BundleRecord)
	rec.Dense = h.Params.Dense
	size := h.sizeIn(entry, w.known)
	included := false
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		included = h.includeMachine(w, &rec, machineID)
	} else {
		included = h.includeFinished(w, &rec, entry)
	}
	if !included {
		return
	}
	w.Value = rec
	w.size += size
	h.learnNames(entry, w.known)
}

// includeMachine puts a machine's record into a bundle, nil if it is gone. It tells
// whether that is needed.
func (h *State) includeMachine(w *Write, rec *BundleRecord, machineID string) bool {
	entry := MachineEntry + machineID
	m := h.Machines[machineID]
	if m == nil && h.copiesElsewhere(entry, w.Slot) == 0 {
		return false // no durable record is left that would have to be denied
	}
	if rec.Machines == nil {
		rec.Machines = map[string]*MachineRecord{}
	}
	if m == nil {
		rec.Machines[machineID], w.vers[entry] = nil, 0
	} else {
		rec.Machines[machineID], w.vers[entry] = record(m), m.Version
	}
	return true
}

// copiesElsewhere is the number of other slots that hold some version of an entry.
func (h *State) copiesElsewhere(entry string, slot int) int {
	copies := h.copies[entry]
	if _, ok := h.slots[slot].has[entry]; ok {
		copies--
	}
	return copies
}

// includeFinished puts the finished tasks of a job that has not ended into a bundle. It
// tells whether there is such a job.
func (h *State) includeFinished(w *Write, rec *BundleRecord, entry string) bool {
	js, part := h.partOf(entry)
	if js == nil || js.Ended != "" {
		return false
	}
	if rec.Done == nil {
		rec.Done = map[string][]byte{}
	}
	bits := js.Done.Bytes()
	if part >= 0 {
		bits = js.Done.Part(part)
	}
	rec.Done[strings.TrimPrefix(entry, DoneEntry)], w.vers[entry] = slices.Clone(bits), 0
	if v := versions(js, part); v != nil {
		w.vers[entry] = v.Now
	}
	return true
}

// maxEndBytes is what a job's end takes in a transaction at most.
const maxEndBytes = 300

// transaction collects the writes of one transaction.
type transaction struct {
	maxWrites  int
	bytesLeft  int
	writes     []*Write
	bundle     *Write          // entries are added to it while they fit
	takenSlots map[int]bool    // slots that are written by this transaction
	written    map[string]bool // entries that are written by this transaction
}

// Writes takes changes from the queue, in order, as many as fit. Each value is
// made now, so it covers everything decided until now. If the transaction fails,
// they are given back by Retry. What got no answer goes first, as it was and alone:
// until its keys have been written again, a late copy could bring back what has
// been overwritten in other bundles.
func (h *State) Writes(ops, bytes int) []Write {
	if n := min(ops, len(h.again)); n > 0 {
		writes := h.again[:n:n]
		h.again = h.again[n:]
		return writes
	}
	txn := &transaction{maxWrites: ops, bytesLeft: bytes, takenSlots: map[int]bool{}, written: map[string]bool{}}
	// Ends first: users, and jobs that await these, wait for them. They need no order
	// among the rest: whatever is still bound of such a job has completed.
	h.addEnds(txn)
	h.addQueued(txn)
	return txn.result()
}

// addEnds adds the ends of jobs to a transaction, as many as fit.
func (h *State) addEnds(txn *transaction) {
	for len(h.ends) > 0 && len(txn.writes) < txn.maxWrites && txn.bytesLeft >= maxEndBytes {
		jobID := h.ends[0]
		h.ends = h.ends[1:]
		if js := h.Jobs[jobID]; js != nil && js.Ended == "" {
			txn.bytesLeft -= maxEndBytes
			txn.writes = append(txn.writes, &Write{Key: jobKeyPrefix + jobID, Slot: -1, Value: JobRecord{End: "done", Tasks: js.Tasks}})
		}
	}
}

// addQueued adds the entries of the queue to a transaction, as many as fit.
func (h *State) addQueued(txn *transaction) {
	taken := 0
	var postponed []string
	for taken < len(h.queue) {
		entry := h.queue[taken]
		switch {
		case txn.written[entry]:
			// It was carried along, at its present version. Two versions of it with the
			// same stamp would leave readers to guess which one counts.
		case h.isStoredInParts(entry):
			// Its parts are queued.
		case h.exceedsValue(entry):
			postponed = append(postponed, entry)
		default:
			if !h.addEntry(txn, entry) {
				h.dequeue(taken, postponed)
				return
			}
		}
		taken++
	}
	h.dequeue(taken, postponed)
}

// dequeue takes the first entries out of the queue, and puts the postponed ones of
// them back at its end.
func (h *State) dequeue(taken int, postponed []string) {
	for _, entry := range h.queue[:taken] {
		delete(h.queued, entry)
	}
	h.queue = h.queue[taken:]
	for _, entry := range postponed {
		h.push(entry)
	}
}

// isStoredInParts tells whether an entry is about all finished tasks of a job whose
// finished tasks are now stored in parts.
func (h *State) isStoredInParts(entry string) bool {
	js, part := h.partOf(entry)
	return js != nil && versions(js, part) == nil
}

// exceedsValue tells whether a machine's record is too large for a bundle: an earlier
// holder with larger values has bound more to it than a value bears now. It gets nothing
// new, so it will fit; until then a new holder finds tasks on it that are gone, which it
// has to see for itself.
func (h *State) exceedsValue(entry string) bool {
	return strings.HasPrefix(entry, MachineEntry) && h.bundleBytes()+h.size(entry) > h.Params.MaxValue
}

// addEntry adds an entry to the transaction's bundle, or to a new one if it does not
// fit there. It tells whether the transaction had room for it.
func (h *State) addEntry(txn *transaction, entry string) bool {
	size := 0
	if txn.bundle != nil {
		size = h.sizeIn(entry, txn.bundle.known)
	}
	if txn.bundle == nil || txn.bundle.size+size > h.Params.MaxValue {
		size = h.size(entry)
		if len(txn.writes) >= txn.maxWrites || txn.bytesLeft < size {
			return false
		}
		h.addBundle(txn, size)
		if txn.written[entry] {
			return true
		}
	}
	if txn.bytesLeft < size && len(txn.bundle.vers) > 0 {
		return false
	}
	before := txn.bundle.size
	h.include(txn.bundle, entry)
	txn.written[entry] = true
	txn.bytesLeft -= txn.bundle.size - before
	return true
}

// addBundle begins a new bundle, for an entry of that size.
func (h *State) addBundle(txn *transaction, size int) {
	txn.bundle = h.open(txn.takenSlots, size)
	for entry := range txn.bundle.vers {
		txn.written[entry] = true
	}
	txn.bytesLeft -= txn.bundle.size
	txn.writes = append(txn.writes, txn.bundle)
}

func (txn *transaction) result() []Write {
	writes := make([]Write, 0, len(txn.writes))
	for _, w := range txn.writes {
		if w.Value == nil && w.Slot >= 0 {
			w.Value = BundleRecord{}
		}
		writes = append(writes, *w)
	}
	return writes
}

// Committed takes note that the changes are durable.
func (h *State) Committed(writes []Write, now model.Micros) {
	for i := range writes {
		w := &writes[i]
		if w.Slot < 0 {
			h.EndJob(strings.TrimPrefix(w.Key, jobKeyPrefix), "done", now)
			continue
		}
		entries := make([]string, 0, len(w.vers))
		for entry, version := range w.vers {
			entries = append(entries, entry)
			h.markDurable(entry, version)
		}
		h.LoadSlot(w.Slot, entries)
	}
}

// markDurable takes note that a version of an entry is durable.
func (h *State) markDurable(entry string, version uint64) {
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		if m := h.Machines[machineID]; m != nil {
			m.DurableVersion, m.Stored = max(m.DurableVersion, version), true
		}
		return
	}
	if js, part := h.partOf(entry); js != nil {
		if v := versions(js, part); v != nil {
			v.Stored = max(v.Stored, version)
		}
	}
}

// Recut takes back changes that were refused as too large: they are cut anew, by
// MaxValue as it is now. Earlier tries at them will not be carried out any more.
func (h *State) Recut(ws []Write) {
	for _, js := range h.Jobs {
		if len(js.DoneVersions) == 1 && h.parted(js.Job) {
			h.split(js)
		}
	}
	for i := range ws {
		ws[i].lost = false
	}
	h.Retry(ws, false)
}

// Retry takes back changes whose transaction failed, or got no answer (lost). In
// the latter case bundles are written once more just as they were: that they fit is
// known, and the guards on the versions that we last saw make it harmless.
func (h *State) Retry(ws []Write, lost bool) {
	var head, ends []string
	var again []Write
	for i := range ws {
		w := ws[i]
		if w.Slot < 0 {
			ends = append(ends, strings.TrimPrefix(w.Key, jobKeyPrefix))
			continue
		}
		if w.lost = w.lost || lost; w.lost {
			again = append(again, w)
			continue
		}
		for e := range w.vers {
			head = append(head, e)
		}
	}
	h.again = append(again, h.again...)
	h.ends = append(ends, h.ends...)
	slices.Sort(head)
	// What was changed again meanwhile moves to the front.
	h.queue = slices.DeleteFunc(h.queue, func(e string) bool { return slices.Contains(head, e) })
	for _, e := range head {
		h.queued[e] = true
	}
	h.queue = append(head, h.queue...)
}
