package block

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// HostRecord is the durable record of a machine: what is bound to it.
type HostRecord struct {
	Build  string                 `json:"build"`
	Yard   string                 `json:"yard"`
	Spot   bool                   `json:"spot,omitempty"`
	Pieces map[string][][2]uint64 `json:"pieces,omitempty"` // job -> (task, try)
}

// BundleRecord holds the records of some machines and the finished tasks of some
// jobs, so that what changed on many of them costs a single change. A block has
// several bundles; of a machine or job that stands in more than one, the bundle
// that was written last counts. A machine that is nil there is gone.
type BundleRecord struct {
	Hosts map[string]*HostRecord `json:"hosts,omitempty"`
	Done  map[string][]byte      `json:"done,omitempty"` // job -> bit set of finished tasks
}

// Names lists the entries of a bundle.
func (b *BundleRecord) Names() []string {
	names := make([]string, 0, len(b.Hosts)+len(b.Done))
	for ref := range b.Hosts {
		names = append(names, hostEntry+ref)
	}
	for ref := range b.Done {
		names = append(names, doneEntry+ref)
	}
	return names
}

// JobRecord is a job's one key for its whole life: the submission until its end,
// and then the end, for ever. A withdrawn job keeps its submission, as what is
// still on machines has to be counted; of a done one nothing can be.
type JobRecord struct {
	Spec   *model.Submission `json:"spec,omitempty"`
	End    string            `json:"end,omitempty"`
	Pieces int               `json:"pieces,omitempty"`
}

// What waits to be written: entries of bundles, and ends of jobs.
const (
	hostEntry = "host/"
	doneEntry = "done/"
	endEntry  = "end/"
)

// Write is a change to be made durable under our grant.
type Write struct {
	Key   string // of a job's end
	Slot  int    // of a bundle, if Key is empty
	Value any
	vers  map[string]uint64 // the entries, with the versions that the value has
	size  int
}

// slot is a place for a bundle: what stands there durably, with the sizes it had
// when it was written, and how much of that is the latest version.
type slot struct {
	has  map[string]int
	live int
}

func (h *Holder) push(entry string) {
	if !h.queued[entry] {
		h.queued[entry] = true
		h.queue = append(h.queue, entry)
	}
}

// touch marks a host's record as changed.
func (h *Holder) touch(m *model.Host) {
	m.Ver++
	h.push(hostEntry + m.Ref)
}

// Queued is the number of records waiting to be written.
func (h *Holder) Queued() int { return len(h.queue) }

// LoadSlot books what stands durably in a slot: a bundle that was just written, or
// one of an earlier holder's. Bundles have to be booked in the order in which they
// were written.
func (h *Holder) LoadSlot(k int, names []string) {
	for len(h.slots) <= k {
		h.slots = append(h.slots, &slot{})
	}
	s := h.slots[k]
	old := s.has
	s.has, s.live = make(map[string]int, len(names)), 0
	for _, e := range names {
		size := h.size(e)
		s.has[e] = size
		s.live += size
		if _, ok := old[e]; !ok {
			h.copies[e]++
		}
		if was, ok := h.liveAt[e]; ok && was != k {
			h.slots[was].live -= h.slots[was].has[e]
		}
		h.liveAt[e] = k
	}
	for e := range old {
		if _, ok := s.has[e]; ok {
			continue
		}
		if h.copies[e]--; h.copies[e] == 0 {
			delete(h.copies, e)
		}
		if h.liveAt[e] == k {
			delete(h.liveAt, e)
		}
	}
}

// Sizes of records, estimated from above.
const (
	bytesPerHost  = 120
	bytesPerPiece = 40
	bytesPerDone  = 40
)

// size estimates the bytes of an entry.
func (h *Holder) size(entry string) int {
	if ref, ok := strings.CutPrefix(entry, hostEntry); ok {
		n := bytesPerHost
		if m := h.Hosts[ref]; m != nil {
			for id := range m.Bound {
				n += bytesPerPiece + len(id.Job)
			}
		}
		return n
	}
	if js := h.Jobs[strings.TrimPrefix(entry, doneEntry)]; js != nil {
		return bytesPerDone + len(js.Ref) + len(js.Done.Bytes())*4/3
	}
	return bytesPerDone
}

// kept tells whether an entry has to stay when its slot is written anew: its
// latest version stands there and still says something. A machine that is gone
// is remembered as long as an older version of it stands elsewhere.
func (h *Holder) kept(entry string, k int) bool {
	if h.liveAt[entry] != k {
		return false
	}
	if ref, ok := strings.CutPrefix(entry, hostEntry); ok {
		return h.Hosts[ref] != nil || h.copies[entry] > 1
	}
	js := h.Jobs[strings.TrimPrefix(entry, doneEntry)]
	return js != nil && js.Ended == ""
}

// carried is what would have to be written along with anything new in a slot.
func (h *Holder) carried(k int) (entries []string, size int) {
	for e := range h.slots[k].has {
		if h.kept(e, k) {
			entries = append(entries, e)
			size += h.size(e)
		}
	}
	return entries, size
}

// open begins a bundle in the slot that has least to be carried along. A slot
// whose last write got no answer goes first: until that write is surely
// overtaken, its late copy could bring back old values. A new slot is added when
// all are rather full.
func (h *Holder) open(taken map[int]bool) *Write {
	best := -1
	for _, k := range h.pinned {
		if !taken[k] {
			best = k
			break
		}
	}
	if best < 0 {
		best = h.emptiest(taken)
		if best >= 0 && h.slots[best].live > h.P.MaxValue/4 {
			// What has ended since may be all that fills them.
			for k := range h.slots {
				h.recount(k)
			}
			best = h.emptiest(taken)
		}
		if best < 0 || h.slots[best].live > h.P.MaxValue/4 {
			best = len(h.slots)
			h.slots = append(h.slots, &slot{})
		}
	}
	taken[best] = true
	w := &Write{Slot: best, vers: map[string]uint64{}}
	entries, _ := h.carried(best)
	slices.Sort(entries)
	for _, e := range entries {
		h.include(w, e)
	}
	return w
}

// recount finds out anew how much of a slot still has to be kept.
func (h *Holder) recount(k int) {
	s := h.slots[k]
	s.live = 0
	for e := range s.has {
		s.has[e] = 0
		if h.kept(e, k) {
			s.has[e] = h.size(e)
			s.live += s.has[e]
		}
	}
}

// emptiest is the slot in which least is still the latest version, -1 if all are
// taken. Looking through all entries of all slots would cost more, on a large
// fleet, than all else that a transaction takes.
func (h *Holder) emptiest(taken map[int]bool) int {
	best := -1
	for k, s := range h.slots {
		if !taken[k] && (best < 0 || s.live < h.slots[best].live) {
			best = k
		}
	}
	return best
}

// include puts an entry's present value into a bundle.
func (h *Holder) include(w *Write, entry string) {
	if _, ok := w.vers[entry]; ok {
		return
	}
	rec, _ := w.Value.(BundleRecord)
	if ref, ok := strings.CutPrefix(entry, hostEntry); ok {
		m := h.Hosts[ref]
		others := h.copies[entry]
		if _, ok := h.slots[w.Slot].has[entry]; ok {
			others--
		}
		if m == nil && others == 0 {
			return // nothing durable is left that would have to be denied
		}
		if rec.Hosts == nil {
			rec.Hosts = map[string]*HostRecord{}
		}
		if m == nil {
			rec.Hosts[ref], w.vers[entry] = nil, 0
		} else {
			rec.Hosts[ref], w.vers[entry] = record(m), m.Ver
		}
	} else if js := h.Jobs[strings.TrimPrefix(entry, doneEntry)]; js != nil && js.Ended == "" {
		if rec.Done == nil {
			rec.Done = map[string][]byte{}
		}
		rec.Done[js.Ref], w.vers[entry] = slices.Clone(js.Done.Bytes()), js.ProgVer
	}
	w.Value = rec
	w.size += h.size(entry)
}

func record(m *model.Host) *HostRecord {
	rec := &HostRecord{Build: m.Build, Yard: m.Yard, Spot: m.Spot, Pieces: make(map[string][][2]uint64, len(m.Bound))}
	for id, b := range m.Bound {
		rec.Pieces[id.Job] = append(rec.Pieces[id.Job], [2]uint64{uint64(id.N), b.Try})
	}
	return rec
}

// maxEndBytes is what a job's end takes in a transaction at most.
const maxEndBytes = 300

// Writes takes changes from the queue, in order, as many as fit. Each value is
// made now, so it covers everything decided until now. If the transaction fails,
// they are given back by Retry.
func (h *Holder) Writes(ops, bytes int) []Write {
	var ws []*Write
	taken := map[int]bool{}
	var cur *Write
	begin := func() {
		cur = h.open(taken)
		bytes -= cur.size
		ws = append(ws, cur)
	}
	for range h.pinned {
		if len(ws) < ops && bytes > 0 {
			begin()
		}
	}
	used := 0
	for _, entry := range h.queue {
		if ref, ok := strings.CutPrefix(entry, endEntry); ok {
			js := h.Jobs[ref]
			if js != nil && js.Ended == "" {
				if len(ws) >= ops || bytes < maxEndBytes {
					break
				}
				bytes -= maxEndBytes
				ws = append(ws, &Write{Key: "job/" + ref, Slot: -1, Value: JobRecord{End: "done", Pieces: js.Pieces},
					vers: map[string]uint64{entry: 0}})
			}
			used++
			continue
		}
		size := h.size(entry)
		if cur == nil || cur.size+size > h.P.MaxValue {
			if len(ws) >= ops || bytes < size {
				break
			}
			begin()
		}
		if bytes < size && cur.size > 0 {
			break
		}
		before := cur.size
		h.include(cur, entry)
		bytes -= cur.size - before
		used++
	}
	for _, entry := range h.queue[:used] {
		delete(h.queued, entry)
	}
	h.queue = h.queue[used:]
	out := make([]Write, 0, len(ws))
	for _, w := range ws {
		if w.Value == nil {
			w.Value = BundleRecord{}
		}
		out = append(out, *w)
	}
	return out
}

// Committed takes note that the changes are durable.
func (h *Holder) Committed(ws []Write, now model.Micros) {
	for i := range ws {
		w := &ws[i]
		if w.Slot < 0 {
			h.EndJob(strings.TrimPrefix(w.Key, "job/"), "done", now)
			continue
		}
		names := make([]string, 0, len(w.vers))
		for e, ver := range w.vers {
			names = append(names, e)
			if m := h.Hosts[strings.TrimPrefix(e, hostEntry)]; m != nil {
				m.DurableVer, m.Stored = max(m.DurableVer, ver), true
			} else if js := h.Jobs[strings.TrimPrefix(e, doneEntry)]; js != nil {
				js.ProgStored = max(js.ProgStored, ver)
			}
		}
		h.LoadSlot(w.Slot, names)
		h.pinned = slices.DeleteFunc(h.pinned, func(k int) bool { return k == w.Slot })
	}
}

// Retry puts changes whose transaction failed, or got no answer, back to the
// head of the queue, and has the same slots written next. Writing them again is
// harmless: every key is guarded by the version that we last saw.
func (h *Holder) Retry(ws []Write) {
	var head []string
	for i := range ws {
		w := &ws[i]
		if w.Slot >= 0 && !slices.Contains(h.pinned, w.Slot) {
			h.pinned = append(h.pinned, w.Slot)
		}
		for e := range w.vers {
			head = append(head, e)
		}
	}
	slices.Sort(head)
	// What was changed again meanwhile moves to the front.
	h.queue = slices.DeleteFunc(h.queue, func(e string) bool { return slices.Contains(head, e) })
	for _, e := range head {
		h.queued[e] = true
	}
	h.queue = append(head, h.queue...)
}
