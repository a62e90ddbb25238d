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
	if ref, ok := strings.CutPrefix(entry, MachineEntry); ok {
		m := h.Machines[ref]
		others := h.copies[entry]
		if _, ok := h.slots[w.Slot].has[entry]; ok {
			others--
		}
		if m == nil && others == 0 {
			return // nothing durable is left that would have to be denied
		}
		if rec.Machines == nil {
			rec.Machines = map[string]*MachineRecord{}
		}
		if m == nil {
			rec.Machines[ref], w.vers[entry] = nil, 0
		} else {
			rec.Machines[ref], w.vers[entry] = record(m), m.Version
		}
	} else if js, k := h.partOf(entry); js != nil && js.Ended == "" {
		if rec.Done == nil {
			rec.Done = map[string][]byte{}
		}
		bits := js.Done.Bytes()
		if k >= 0 {
			bits = js.Done.Part(k)
		}
		rec.Done[strings.TrimPrefix(entry, DoneEntry)], w.vers[entry] = slices.Clone(bits), 0
		if v := versions(js, k); v != nil {
			w.vers[entry] = v.Now
		}
	} else {
		return
	}
	w.Value = rec
	w.size += size
	h.learnNames(entry, w.known)
}

// maxEndBytes is what a job's end takes in a transaction at most.
const maxEndBytes = 300

// Writes takes changes from the queue, in order, as many as fit. Each value is
// made now, so it covers everything decided until now. If the transaction fails,
// they are given back by Retry. What got no answer goes first, as it was and alone:
// until its keys have been written again, a late copy could bring back what has
// been overwritten in other bundles.
func (h *State) Writes(ops, bytes int) []Write {
	if n := min(ops, len(h.again)); n > 0 {
		ws := h.again[:n:n]
		h.again = h.again[n:]
		return ws
	}
	var ws []*Write
	// Ends first: users, and jobs that await these, wait for them. They need no order
	// among the rest: whatever is still booked of such a job has completed.
	for len(h.ends) > 0 && len(ws) < ops && bytes >= maxEndBytes {
		ref := h.ends[0]
		h.ends = h.ends[1:]
		if js := h.Jobs[ref]; js != nil && js.Ended == "" {
			bytes -= maxEndBytes
			ws = append(ws, &Write{Key: "job/" + ref, Slot: -1, Value: JobRecord{End: "done", Tasks: js.Tasks}})
		}
	}
	taken := map[int]bool{}
	written := map[string]bool{}
	var cur *Write
	var left []string
	used := 0
	for _, entry := range h.queue {
		if written[entry] {
			// It was carried along, at its present version. Two versions of it with the
			// same stamp would leave readers to guess which one counts.
			used++
			continue
		}
		if js, k := h.partOf(entry); js != nil && versions(js, k) == nil {
			used++ // its parts are queued
			continue
		}
		size := h.size(entry)
		if h.bundleBytes()+size > h.Params.MaxValue && strings.HasPrefix(entry, MachineEntry) {
			// A machine on which a holder with larger values has bound more than a value
			// bears now. It gets nothing new, so it will fit; until then a new holder finds
			// tasks on it that are gone, which it has to see for itself.
			left = append(left, entry)
			used++
			continue
		}
		if cur != nil {
			size = h.sizeIn(entry, cur.known)
		}
		if cur == nil || cur.size+size > h.Params.MaxValue {
			size = h.size(entry)
			if len(ws) >= ops || bytes < size {
				break
			}
			cur = h.open(taken, size)
			for e := range cur.vers {
				written[e] = true
			}
			bytes -= cur.size
			ws = append(ws, cur)
			if written[entry] {
				used++
				continue
			}
		}
		if bytes < size && len(cur.vers) > 0 {
			break
		}
		before := cur.size
		h.include(cur, entry)
		written[entry] = true
		bytes -= cur.size - before
		used++
	}
	for _, entry := range h.queue[:used] {
		delete(h.queued, entry)
	}
	h.queue = h.queue[used:]
	for _, entry := range left {
		h.push(entry)
	}
	out := make([]Write, 0, len(ws))
	for _, w := range ws {
		if w.Value == nil && w.Slot >= 0 {
			w.Value = BundleRecord{}
		}
		out = append(out, *w)
	}
	return out
}

// Committed takes note that the changes are durable.
func (h *State) Committed(ws []Write, now model.Micros) {
	for i := range ws {
		w := &ws[i]
		if w.Slot < 0 {
			h.EndJob(strings.TrimPrefix(w.Key, "job/"), "done", now)
			continue
		}
		names := make([]string, 0, len(w.vers))
		for e, ver := range w.vers {
			names = append(names, e)
			if ref, ok := strings.CutPrefix(e, MachineEntry); ok {
				if m := h.Machines[ref]; m != nil {
					m.DurableVersion, m.Stored = max(m.DurableVersion, ver), true
				}
			} else if js, k := h.partOf(e); js != nil {
				if v := versions(js, k); v != nil {
					v.Stored = max(v.Stored, ver)
				}
			}
		}
		h.LoadSlot(w.Slot, names)
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
			ends = append(ends, strings.TrimPrefix(w.Key, "job/"))
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
