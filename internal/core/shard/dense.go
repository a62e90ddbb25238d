package shard

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
)

// The dense form of a bundle is for small values: a third of the plain one, so that
// a change makes three times as many bindings durable. A version that doesn't know it
// can't read it, and stops, as "hosts" is a string there.
//
// All numbers are unsigned varints; strings have their length before them. Attempts
// are counted from the smallest one in the bundle, jobs, machine types and zones are
// numbered, and machines share the beginning of their names with the one before.
const denseVersion = 1

type plainBundle BundleRecord

// MarshalJSON writes the bundle in its form.
func (b BundleRecord) MarshalJSON() ([]byte, error) {
	if !b.Dense {
		return json.Marshal(plainBundle(b))
	}
	return json.Marshal(struct {
		Hosts []byte `json:"hosts"`
	}{b.pack()})
}

// UnmarshalJSON reads either form.
func (b *BundleRecord) UnmarshalJSON(raw []byte) error {
	var form struct {
		Hosts json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &form); err != nil {
		return err
	}
	if len(form.Hosts) == 0 || form.Hosts[0] != '"' {
		return json.Unmarshal(raw, (*plainBundle)(b))
	}
	var packed []byte
	if err := json.Unmarshal(form.Hosts, &packed); err != nil {
		return err
	}
	return b.unpack(packed)
}

// table numbers strings in the order in which they are first used.
type table struct {
	at    map[string]uint64
	names []string
}

func (t *table) number(s string) uint64 {
	n, ok := t.at[s]
	if !ok {
		if t.at == nil {
			t.at = map[string]uint64{}
		}
		n = uint64(len(t.names))
		t.at[s] = n
		t.names = append(t.names, s)
	}
	return n
}

type packer struct{ out []byte }

func (p *packer) num(v uint64) { p.out = binary.AppendUvarint(p.out, v) }
func (p *packer) text(s string) {
	p.num(uint64(len(s)))
	p.out = append(p.out, s...)
}
func (p *packer) table(t *table) {
	p.num(uint64(len(t.names)))
	for _, s := range t.names {
		p.text(s)
	}
}

func (b *BundleRecord) pack() []byte {
	var labels, jobs table
	base := ^uint64(0)
	for _, h := range b.Machines {
		if h == nil {
			continue
		}
		for _, ps := range h.Tasks {
			for _, p := range ps {
				base = min(base, p[1])
			}
		}
	}
	var p packer // machines, which make the tables
	refs := slices.Sorted(maps.Keys(b.Machines))
	p.num(uint64(len(refs)))
	last := ""
	for _, ref := range refs {
		shared := 0
		for shared < len(last) && shared < len(ref) && last[shared] == ref[shared] {
			shared++
		}
		p.num(uint64(shared))
		p.text(ref[shared:])
		last = ref
		h := b.Machines[ref]
		if h == nil {
			p.num(0)
			continue
		}
		kind := uint64(1)
		if h.Spot {
			kind = 2
		}
		p.num(kind)
		p.num(labels.number(h.MachineType))
		p.num(labels.number(h.Zone))
		p.num(uint64(len(h.Tasks)))
		for _, job := range slices.Sorted(maps.Keys(h.Tasks)) {
			p.num(jobs.number(job))
			p.num(uint64(len(h.Tasks[job])))
			for _, x := range h.Tasks[job] {
				p.num(x[0])
				p.num(x[1] - base)
			}
		}
	}
	head := packer{out: []byte{denseVersion}}
	head.num(base)
	head.table(&labels)
	head.table(&jobs)
	names := slices.Sorted(maps.Keys(b.Done))
	p.num(uint64(len(names)))
	for _, name := range names {
		p.text(name)
		p.text(string(b.Done[name]))
	}
	return append(head.out, p.out...)
}

var errDense = errors.New("not a dense bundle of this version")

type unpacker struct {
	in  []byte
	bad bool
}

func (u *unpacker) num() uint64 {
	v, n := binary.Uvarint(u.in)
	if n <= 0 {
		u.bad, u.in = true, nil
		return 0
	}
	u.in = u.in[n:]
	return v
}

// count is a number of things that take a byte each at least.
func (u *unpacker) count() int {
	v := u.num()
	if v > uint64(len(u.in)) {
		u.bad, u.in = true, nil
		return 0
	}
	return int(v)
}

func (u *unpacker) text() string {
	n := u.count()
	s := string(u.in[:n])
	u.in = u.in[n:]
	return s
}

func (u *unpacker) table() []string {
	t := make([]string, u.count())
	for i := range t {
		t[i] = u.text()
	}
	return t
}

func (u *unpacker) of(t []string) string {
	n := u.num()
	if n >= uint64(len(t)) {
		u.bad, u.in = true, nil
		return ""
	}
	return t[n]
}

func (b *BundleRecord) unpack(in []byte) error {
	if len(in) == 0 || in[0] != denseVersion {
		return errDense
	}
	u := &unpacker{in: in[1:]}
	*b = BundleRecord{Dense: true, Machines: map[string]*MachineRecord{}, Done: map[string][]byte{}}
	base := u.num()
	labels, jobs := u.table(), u.table()
	last := ""
	for range u.count() {
		shared := u.num()
		if shared > uint64(len(last)) {
			return errDense
		}
		ref := last[:shared] + u.text()
		last = ref
		kind := u.num()
		if kind == 0 {
			b.Machines[ref] = nil
			continue
		}
		h := &MachineRecord{Spot: kind == 2, MachineType: u.of(labels), Zone: u.of(labels), Tasks: map[string][][2]uint64{}}
		for range u.count() {
			job := u.of(jobs)
			ps := make([][2]uint64, 0, 4)
			for range u.count() {
				n := u.num()
				ps = append(ps, [2]uint64{n, base + u.num()})
			}
			h.Tasks[job] = ps
		}
		b.Machines[ref] = h
	}
	for range u.count() {
		name := u.text()
		b.Done[name] = []byte(u.text())
	}
	if u.bad || len(u.in) > 0 {
		return errDense
	}
	return nil
}

// Bytes of the dense form, counted from above.
const (
	denseBundle = 64 // version, smallest attempt, counts, and the quotes round it all
	denseHost   = 8  // lengths, kind, numbers of type and zone, number of jobs
	denseJob    = 4  // number and count
	denseDone   = 6
)

// inBase64 is what so many bytes take in a value.
func inBase64(n int) int { return (n*4 + 2) / 3 }

func uvarint(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// denseTask is what a bound task takes: attempts are counted from the smallest one
// that is bound anywhere, or closer.
func (h *State) denseTask(n int, attempt uint64) int {
	return uvarint(uint64(n)) + uvarint(attempt-min(h.oldestAttempt, attempt))
}

// denseName is what a name takes in a table, nothing if it is there.
func denseName(name string, known map[string]bool) int {
	if known[name] {
		return 0
	}
	return uvarint(uint64(len(name))) + len(name)
}

// denseSize is what an entry takes in a bundle whose tables have the known names.
func (h *State) denseSize(entry string, known map[string]bool) int {
	if ref, ok := strings.CutPrefix(entry, MachineEntry); ok {
		n := denseHost + len(ref)
		m := h.Machines[ref]
		if m == nil {
			return inBase64(n)
		}
		n += denseName(m.MachineType, known) + denseName(m.Zone, known)
		for job := range m.TaskCounts {
			n += denseJob + denseName(job, known)
		}
		for id, b := range m.Bindings {
			n += h.denseTask(id.Index, b.Attempt)
		}
		return inBase64(n)
	}
	js, k := h.partOf(entry)
	switch {
	case js == nil:
		return inBase64(denseDone)
	case k >= 0:
		return inBase64(denseDone + 4 + len(js.ID) + len(js.Done.Part(k)))
	}
	return inBase64(denseDone + len(js.ID) + len(js.Done.Bytes()))
}

// learnNames notes the names that an entry brings into the tables.
func (h *State) learnNames(entry string, known map[string]bool) {
	if m := h.Machines[strings.TrimPrefix(entry, MachineEntry)]; m != nil {
		known[m.MachineType], known[m.Zone] = true, true
		for job := range m.TaskCounts {
			known[job] = true
		}
	}
}

// oldest finds the smallest attempt that is bound.
func (h *State) oldest() {
	h.oldestAttempt = h.Token << 20
	for _, m := range h.Machines {
		for _, b := range m.Bindings {
			h.oldestAttempt = min(h.oldestAttempt, b.Attempt)
		}
	}
}
