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

// bundlePacker packs the body of a bundle, and collects the tables of its header.
type bundlePacker struct {
	packer
	baseAttempt uint64 // attempts are counted from it
	labels      table  // machine types and zones
	jobs        table
}

func (b *BundleRecord) pack() []byte {
	body := bundlePacker{baseAttempt: b.smallestAttempt()}
	body.machines(b.Machines)
	body.finished(b.Done)
	header := packer{out: []byte{denseVersion}}
	header.num(body.baseAttempt)
	header.table(&body.labels)
	header.table(&body.jobs)
	return append(header.out, body.out...)
}

// smallestAttempt is the smallest attempt in the bundle, the largest number if it has none.
func (b *BundleRecord) smallestAttempt() uint64 {
	smallest := ^uint64(0)
	for _, machine := range b.Machines {
		if machine == nil {
			continue
		}
		for _, attempts := range machine.Tasks {
			for _, attempt := range attempts {
				smallest = min(smallest, attempt[1])
			}
		}
	}
	return smallest
}

func (p *bundlePacker) machines(machines map[string]*MachineRecord) {
	ids := slices.Sorted(maps.Keys(machines))
	p.num(uint64(len(ids)))
	previous := ""
	for _, id := range ids {
		shared := sharedPrefix(previous, id)
		p.num(uint64(shared))
		p.text(id[shared:])
		p.machine(machines[id])
		previous = id
	}
}

// sharedPrefix is the number of bytes with which both strings begin.
func sharedPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Kinds of machines in the dense form.
const (
	denseGone     = 0
	denseOnDemand = 1
	denseSpot     = 2
)

func (p *bundlePacker) machine(machine *MachineRecord) {
	if machine == nil {
		p.num(denseGone)
		return
	}
	if machine.Spot {
		p.num(denseSpot)
	} else {
		p.num(denseOnDemand)
	}
	p.num(p.labels.number(machine.MachineType))
	p.num(p.labels.number(machine.Zone))
	p.num(uint64(len(machine.Tasks)))
	for _, job := range slices.Sorted(maps.Keys(machine.Tasks)) {
		p.num(p.jobs.number(job))
		p.tasks(machine.Tasks[job])
	}
}

// tasks packs pairs of a task's number and its attempt.
func (p *bundlePacker) tasks(tasks [][2]uint64) {
	p.num(uint64(len(tasks)))
	for _, task := range tasks {
		p.num(task[0])
		p.num(task[1] - p.baseAttempt)
	}
}

func (p *bundlePacker) finished(done map[string][]byte) {
	names := slices.Sorted(maps.Keys(done))
	p.num(uint64(len(names)))
	for _, name := range names {
		p.text(name)
		p.text(string(done[name]))
	}
}

var errDense = errors.New("not a dense bundle of this version")

type unpacker struct {
	in  []byte
	bad bool
}

// fail notes that the input is malformed: whatever is read from now on is empty.
func (u *unpacker) fail() { u.bad, u.in = true, nil }

func (u *unpacker) num() uint64 {
	v, n := binary.Uvarint(u.in)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.in = u.in[n:]
	return v
}

// count is a number of things that take a byte each at least.
func (u *unpacker) count() int {
	v := u.num()
	if v > uint64(len(u.in)) {
		u.fail()
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

// nameIn reads the number of a name in a table.
func (u *unpacker) nameIn(table []string) string {
	n := u.num()
	if n >= uint64(len(table)) {
		u.fail()
		return ""
	}
	return table[n]
}

// bundleUnpacker reads the body of a bundle with the tables of its header.
type bundleUnpacker struct {
	unpacker
	baseAttempt  uint64
	labels, jobs []string
}

func (b *BundleRecord) unpack(in []byte) error {
	if len(in) == 0 || in[0] != denseVersion {
		return errDense
	}
	u := &bundleUnpacker{unpacker: unpacker{in: in[1:]}}
	u.baseAttempt = u.num()
	u.labels = u.table()
	u.jobs = u.table()
	machines := u.machines()
	done := u.finished()
	*b = BundleRecord{Dense: true, Machines: machines, Done: done}
	if u.bad || len(u.in) > 0 {
		return errDense
	}
	return nil
}

func (u *bundleUnpacker) machines() map[string]*MachineRecord {
	machines := map[string]*MachineRecord{}
	previous := ""
	for range u.count() {
		shared := u.num()
		if shared > uint64(len(previous)) {
			u.fail()
			return machines
		}
		id := previous[:shared] + u.text()
		machines[id] = u.machine()
		previous = id
	}
	return machines
}

// machine reads a machine's record, nil if the machine is gone.
func (u *bundleUnpacker) machine() *MachineRecord {
	kind := u.num()
	if kind == denseGone {
		return nil
	}
	machine := &MachineRecord{Spot: kind == denseSpot, Tasks: map[string][][2]uint64{}}
	machine.MachineType = u.nameIn(u.labels)
	machine.Zone = u.nameIn(u.labels)
	for range u.count() {
		job := u.nameIn(u.jobs)
		machine.Tasks[job] = u.tasks()
	}
	return machine
}

// tasks reads pairs of a task's number and its attempt.
func (u *bundleUnpacker) tasks() [][2]uint64 {
	tasks := make([][2]uint64, 0, 4)
	for range u.count() {
		index := u.num()
		tasks = append(tasks, [2]uint64{index, u.baseAttempt + u.num()})
	}
	return tasks
}

func (u *bundleUnpacker) finished() map[string][]byte {
	done := map[string][]byte{}
	for range u.count() {
		name := u.text()
		done[name] = []byte(u.text())
	}
	return done
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
