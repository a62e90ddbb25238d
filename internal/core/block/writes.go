package block

import (
	"encoding/json"
	"slices"
	"strconv"
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
	if ref, host := strings.CutPrefix(name, HostEntry); host {
		_, ok = b.Hosts[ref]
	} else {
		_, ok = b.Done[strings.TrimPrefix(name, DoneEntry)]
	}
	return ok
}

// Names lists the entries of a bundle.
func (b *BundleRecord) Names() []string {
	names := make([]string, 0, len(b.Hosts)+len(b.Done))
	for ref := range b.Hosts {
		names = append(names, HostEntry+ref)
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
	Spec   *model.Submission `json:"spec,omitempty"`
	End    string            `json:"end,omitempty"`
	Pieces int               `json:"pieces,omitempty"`
	// AtMs is the time of day of the end: the times of jobs that await this one count
	// from then.
	AtMs int64 `json:"atMs,omitempty"`
}

// Entries of bundles.
const (
	HostEntry = "host/"
	DoneEntry = "done/"
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
	h.push(HostEntry + m.Ref)
}

// Queued is the number of records waiting to be written.
func (h *Holder) Queued() int { return len(h.ends) + len(h.queue) + len(h.again) }

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

// Bytes of records in JSON, counted from above.
const (
	bytesPerHost = len(`"":{"build":,"yard":,"spot":true,"pieces":{}},`)
	bytesPerTask = len(`[,],`)   // and the digits
	bytesPerJob  = len(`"":[],`) // of the pieces on a machine
	bytesPerDone = len(`"":"",`) + 4
	bytesBundle  = len(`{"hosts":{},"done":{}}`)
)

func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}

// taskBytes is what a bound piece takes in its host's record, beside its job.
func taskBytes(n int, try uint64) int { return bytesPerTask + digits(uint64(n)) + digits(try) }

// quoted is what a string takes in JSON.
func quoted(s string) int {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

func (h *Holder) hostBytes(m *model.Host) int {
	return bytesPerHost + len(m.Ref) + h.label(m.Build) + h.label(m.Yard) + m.Bytes
}

// label is what a machine type's or a zone's name takes in JSON: there are few.
func (h *Holder) label(s string) int {
	n, ok := h.labels[s]
	if !ok {
		n = quoted(s)
		h.labels[s] = n
	}
	return n
}

// weigh books a piece in its host's record, or takes it out with -1.
func weigh(b *model.Bound, sign int) {
	m := b.Host
	m.Bytes += sign * taskBytes(b.ID.N, b.Try)
	was := m.Tasks[b.ID.Job]
	if was == 0 || was == 1 && sign < 0 {
		m.Bytes += sign * (bytesPerJob + len(b.ID.Job))
	}
	if m.Tasks == nil {
		m.Tasks = map[string]int{}
	}
	if m.Tasks[b.ID.Job] = was + sign; was+sign == 0 {
		delete(m.Tasks, b.ID.Job)
	}
}

// Slots is how many more tasks of a job may be bound to a host, so that its record
// fits into a bundle beside what that has to carry along.
func (h *Holder) Slots(j *model.Job, m *model.Host) int {
	if h.P.MaxValue == 0 {
		return model.MaxPieces
	}
	left := h.P.MaxValue - h.P.MaxValue/carryShare - h.bundleBytes()
	if h.P.Dense {
		left -= h.denseSize(HostEntry+m.Ref, nil) + inBase64(denseJob+denseName(j.Ref, nil))
		return max(0, left*3/4/h.denseTask(j.Pieces, (h.Token+1)<<20))
	}
	left -= h.hostBytes(m) + bytesPerJob + len(j.Ref)
	return max(0, left/taskBytes(j.Pieces, (h.Token+1)<<20))
}

// parted tells whether a job's finished tasks are stored in parts.
func (h *Holder) parted(j *model.Job) bool {
	return h.P.MaxValue > 0 && j.Pieces > model.PartPieces && doneBytes(j, (j.Pieces+7)/8) > h.P.MaxValue/2
}

func doneBytes(j *model.Job, bits int) int { return bytesPerDone + len(j.Ref) + (bits+2)/3*4 }

// partOf is the job and the number of the part that an entry of finished tasks is
// about, -1 for the whole.
func (h *Holder) partOf(entry string) (*model.JobState, int) {
	ref, part, parted := strings.Cut(strings.TrimPrefix(entry, DoneEntry), PartMark)
	if !parted {
		return h.Jobs[ref], -1
	}
	k, err := strconv.Atoi(part)
	js := h.Jobs[ref]
	if err != nil || js == nil || k < 0 || k >= model.Parts(js.Pieces) {
		return nil, 0
	}
	return js, k
}

// bundleBytes is what a bundle takes beside its entries.
func (h *Holder) bundleBytes() int {
	if h.P.Dense {
		return denseBundle
	}
	return bytesBundle
}

// size is what an entry takes in a bundle of its own.
func (h *Holder) size(entry string) int { return h.sizeIn(entry, nil) }

// sizeIn is what an entry takes in a bundle that has the known names in its tables.
func (h *Holder) sizeIn(entry string, known map[string]bool) int {
	if h.P.Dense {
		return h.denseSize(entry, known)
	}
	if ref, ok := strings.CutPrefix(entry, HostEntry); ok {
		if m := h.Hosts[ref]; m != nil {
			return h.hostBytes(m)
		}
		return bytesPerHost + len(ref)
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

// pushDone notes that finished tasks of a job are to be written: the part of them
// that piece n is in.
func (h *Holder) pushDone(js *model.JobState, n int) {
	if len(js.Parts) == 1 {
		js.Parts[0].Now++
		h.push(DoneEntry + js.Ref)
		return
	}
	k := n / model.PartPieces
	js.Parts[k].Now++
	h.push(PartEntry(js.Ref, k))
}

// versions are those of a part of a job's finished tasks, or of the whole (-1). There
// are none if the job is stored in the other form: such an entry is one of a holder
// that had other limits, and is only carried along.
func versions(js *model.JobState, part int) *model.Versions {
	if (part < 0) != (len(js.Parts) == 1) {
		return nil
	}
	return &js.Parts[max(part, 0)]
}

// split has a job's finished tasks stored in parts from now on.
func (h *Holder) split(js *model.JobState) {
	js.Parts = make([]model.Versions, model.Parts(js.Pieces))
	for k := range js.Parts {
		if slices.ContainsFunc(js.Done.Part(k), func(b byte) bool { return b != 0 }) {
			h.pushDone(js, k*model.PartPieces)
		}
	}
}

// settled tells that the completion of a task is durable, or will be with the
// job's end.
func settled(js *model.JobState, n int) bool {
	v := js.Parts[0]
	if len(js.Parts) > 1 {
		v = js.Parts[n/model.PartPieces]
	}
	return v.Stored >= v.Now
}

// kept tells whether an entry has to stay when its slot is written anew: its
// latest version stands there and still says something. A machine that is gone
// is remembered as long as an older version of it stands elsewhere.
func (h *Holder) kept(entry string, k int) bool {
	if h.liveAt[entry] != k {
		return false
	}
	if ref, ok := strings.CutPrefix(entry, HostEntry); ok {
		return h.Hosts[ref] != nil || h.copies[entry] > 1
	}
	js, part := h.partOf(entry)
	if js == nil || js.Ended != "" {
		return false
	}
	if part < 0 && len(js.Parts) > 1 {
		// The whole, of a holder that had larger values: it is read as long as not all
		// that it says stands in parts.
		return slices.ContainsFunc(js.Parts, func(v model.Versions) bool { return v.Stored == 0 && v.Now > 0 })
	}
	return true
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

// carryShare is the part of a bundle that may be carried along from what stood in
// its slot.
const carryShare = 4

// open begins a bundle for an entry of that size, in the slot that has least to be
// carried along. A new slot is added when all are rather full.
func (h *Holder) open(taken map[int]bool, size int) *Write {
	most := max(0, min(h.P.MaxValue/carryShare, h.P.MaxValue-h.bundleBytes()-size))
	best := h.emptiest(taken)
	if best >= 0 && h.slots[best].live > most && h.opened > len(h.slots)/4 {
		// What has ended since may be all that fills them.
		h.opened = 0
		h.oldest()
		for k := range h.slots {
			h.recount(k)
		}
		best = h.emptiest(taken)
	}
	for best >= 0 && h.slots[best].live <= most {
		// What it has may have grown since it was written.
		if h.recount(best); h.slots[best].live <= most {
			break
		}
		best = h.emptiest(taken)
	}
	if best < 0 || h.slots[best].live > most {
		best = len(h.slots)
		h.slots = append(h.slots, &slot{})
	}
	h.opened++
	taken[best] = true
	w := &Write{Slot: best, vers: map[string]uint64{}, known: map[string]bool{}, size: h.bundleBytes()}
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
	rec, _ := w.Value.(BundleRecord)
	rec.Dense = h.P.Dense
	size := h.sizeIn(entry, w.known)
	if ref, ok := strings.CutPrefix(entry, HostEntry); ok {
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
// they are given back by Retry. What got no answer goes first, as it was and alone:
// until its keys have been written again, a late copy could bring back what has
// been overwritten in other bundles.
func (h *Holder) Writes(ops, bytes int) []Write {
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
			ws = append(ws, &Write{Key: "job/" + ref, Slot: -1, Value: JobRecord{End: "done", Pieces: js.Pieces}})
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
		if h.bundleBytes()+size > h.P.MaxValue && strings.HasPrefix(entry, HostEntry) {
			// A machine on which a holder with larger values has bound more than a value
			// bears now. It gets nothing new, so it will fit; until then a new holder finds
			// pieces on it that are gone, which it has to see for itself.
			left = append(left, entry)
			used++
			continue
		}
		if cur != nil {
			size = h.sizeIn(entry, cur.known)
		}
		if cur == nil || cur.size+size > h.P.MaxValue {
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
			if ref, ok := strings.CutPrefix(e, HostEntry); ok {
				if m := h.Hosts[ref]; m != nil {
					m.DurableVer, m.Stored = max(m.DurableVer, ver), true
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
func (h *Holder) Recut(ws []Write) {
	for _, js := range h.Jobs {
		if len(js.Parts) == 1 && h.parted(js.Job) {
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
func (h *Holder) Retry(ws []Write, lost bool) {
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
