package shard

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
)

// The dense encoding of a bundle is for deployments whose values have to be small: it
// takes a third of the plain JSON. Controllers that do not know it fail to read it and
// stop, as "hosts" is a string in it.
//
// All numbers are unsigned varints, and strings are preceded by their length. Attempts
// are relative to the smallest one in the bundle. Jobs, machine types and zones are
// numbers in tables. Of a machine's name, the prefix that it shares with the machine
// before it is left out.
const denseVersion = 1

// plainBundle is a bundle without the methods, for plain JSON.
type plainBundle BundleRecord

// MarshalJSON writes the dense or the plain encoding, as Dense says.
func (b BundleRecord) MarshalJSON() ([]byte, error) {
	if !b.Dense {
		return json.Marshal(plainBundle(b))
	}
	return json.Marshal(struct {
		Hosts []byte `json:"hosts"`
	}{b.pack()})
}

// UnmarshalJSON reads either encoding.
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

// table numbers strings in the order of their first use.
type table struct {
	numbers map[string]uint64
	names   []string
}

func (t *table) number(s string) uint64 {
	n, ok := t.numbers[s]
	if !ok {
		if t.numbers == nil {
			t.numbers = map[string]uint64{}
		}
		n = uint64(len(t.names))
		t.numbers[s] = n
		t.names = append(t.names, s)
	}
	return n
}

// packer appends the basic values of the dense encoding.
type packer struct{ out []byte }

func (p *packer) number(v uint64) { p.out = binary.AppendUvarint(p.out, v) }
func (p *packer) text(s string) {
	p.number(uint64(len(s)))
	p.out = append(p.out, s...)
}
func (p *packer) table(t *table) {
	p.number(uint64(len(t.names)))
	for _, s := range t.names {
		p.text(s)
	}
}

// bundlePacker encodes the body of a bundle and collects the tables of its header.
type bundlePacker struct {
	packer
	baseAttempt uint64 // attempts are relative to it
	labels      table  // machine types and zones
	jobs        table
}

func (b *BundleRecord) pack() []byte {
	body := bundlePacker{baseAttempt: b.smallestAttempt()}
	body.machines(b.Machines)
	body.finished(b.Done)
	header := packer{out: []byte{denseVersion}}
	header.number(body.baseAttempt)
	header.table(&body.labels)
	header.table(&body.jobs)
	return append(header.out, body.out...)
}

// smallestAttempt returns the smallest attempt in the bundle, or the largest number if
// the bundle has no attempts.
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
	p.number(uint64(len(ids)))
	previous := ""
	for _, id := range ids {
		shared := sharedPrefix(previous, id)
		p.number(uint64(shared))
		p.text(id[shared:])
		p.machine(machines[id])
		previous = id
	}
}

// sharedPrefix returns the length of the common prefix of two strings.
func sharedPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Kinds of machines in the dense encoding.
const (
	denseGone     = 0
	denseOnDemand = 1
	denseSpot     = 2
)

func (p *bundlePacker) machine(machine *MachineRecord) {
	if machine == nil {
		p.number(denseGone)
		return
	}
	if machine.Spot {
		p.number(denseSpot)
	} else {
		p.number(denseOnDemand)
	}
	p.number(p.labels.number(machine.MachineType))
	p.number(p.labels.number(machine.Zone))
	p.number(uint64(len(machine.Tasks)))
	for _, job := range slices.Sorted(maps.Keys(machine.Tasks)) {
		p.number(p.jobs.number(job))
		p.tasks(machine.Tasks[job])
	}
}

// tasks encodes pairs of a task's index and its attempt.
func (p *bundlePacker) tasks(tasks [][2]uint64) {
	p.number(uint64(len(tasks)))
	for _, task := range tasks {
		p.number(task[0])
		p.number(task[1] - p.baseAttempt)
	}
}

func (p *bundlePacker) finished(done map[string][]byte) {
	names := slices.Sorted(maps.Keys(done))
	p.number(uint64(len(names)))
	for _, name := range names {
		p.text(name)
		p.text(string(done[name]))
	}
}

var errDense = errors.New("not a dense bundle of this version")

// unpacker reads the basic values of the dense encoding.
type unpacker struct {
	in        []byte
	malformed bool
}

// fail marks the input as malformed. All values read after that are empty.
func (u *unpacker) fail() { u.malformed, u.in = true, nil }

func (u *unpacker) number() uint64 {
	v, n := binary.Uvarint(u.in)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.in = u.in[n:]
	return v
}

// count reads the number of items that follow. Each takes a byte at least, so a number
// beyond the input is malformed.
func (u *unpacker) count() int {
	v := u.number()
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
	n := u.number()
	if n >= uint64(len(table)) {
		u.fail()
		return ""
	}
	return table[n]
}

// bundleUnpacker decodes the body of a bundle with the tables of its header.
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
	u.baseAttempt = u.number()
	u.labels = u.table()
	u.jobs = u.table()
	machines := u.machines()
	done := u.finished()
	*b = BundleRecord{Dense: true, Machines: machines, Done: done}
	if u.malformed || len(u.in) > 0 {
		return errDense
	}
	return nil
}

func (u *bundleUnpacker) machines() map[string]*MachineRecord {
	machines := map[string]*MachineRecord{}
	previous := ""
	for range u.count() {
		shared := u.number()
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

// machine decodes a machine's record, nil if the machine is gone.
func (u *bundleUnpacker) machine() *MachineRecord {
	kind := u.number()
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

// tasks decodes pairs of a task's index and its attempt.
func (u *bundleUnpacker) tasks() [][2]uint64 {
	tasks := make([][2]uint64, 0, 4)
	for range u.count() {
		index := u.number()
		tasks = append(tasks, [2]uint64{index, u.baseAttempt + u.number()})
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

// Upper bounds of the bytes that parts of the dense encoding take.
const (
	denseBytesBundle   = 64 // version, smallest attempt, counts, and the quotes
	denseBytesMachine  = 8  // lengths, kind, numbers of type and zone, number of jobs
	denseBytesJob      = 4  // number and count
	denseBytesFinished = 6
)

// base64Bytes returns the length of n bytes in base64.
func base64Bytes(n int) int { return (n*4 + 2) / 3 }

// uvarintBytes returns the length of a number as an unsigned varint.
func uvarintBytes(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// denseTaskBytes returns the most that a bound task takes. Its attempt is relative to
// the smallest one in the bundle, which is never below the smallest one that is bound.
func (s *State) denseTaskBytes(index int, attempt uint64) int {
	return uvarintBytes(uint64(index)) + uvarintBytes(attempt-min(s.oldestAttempt, attempt))
}

// denseNameBytes returns what a name takes in a table, 0 if it is there already.
func denseNameBytes(name string, known map[string]bool) int {
	if known[name] {
		return 0
	}
	return uvarintBytes(uint64(len(name))) + len(name)
}

// denseEntryBytes returns the most that an entry takes in a bundle whose tables have
// the known names.
func (s *State) denseEntryBytes(entry string, known map[string]bool) int {
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		n := denseBytesMachine + len(machineID)
		machine := s.Machines[machineID]
		if machine == nil {
			return base64Bytes(n)
		}
		n += denseNameBytes(machine.MachineType, known) + denseNameBytes(machine.Zone, known)
		for job := range machine.TaskCounts {
			n += denseBytesJob + denseNameBytes(job, known)
		}
		for id, b := range machine.Bindings {
			n += s.denseTaskBytes(id.Index, b.Attempt)
		}
		return base64Bytes(n)
	}
	job, part := s.partOf(entry)
	switch {
	case job == nil:
		return base64Bytes(denseBytesFinished)
	case part >= 0:
		return base64Bytes(denseBytesFinished + 4 + len(job.ID) + len(job.Done.Part(part)))
	}
	return base64Bytes(denseBytesFinished + len(job.ID) + len(job.Done.Bytes()))
}

// addNames adds the names that an entry puts into the tables to the known ones.
func (s *State) addNames(entry string, known map[string]bool) {
	if m := s.Machines[strings.TrimPrefix(entry, MachineEntry)]; m != nil {
		known[m.MachineType], known[m.Zone] = true, true
		for job := range m.TaskCounts {
			known[job] = true
		}
	}
}

// refreshOldestAttempt finds the smallest attempt that is bound.
func (s *State) refreshOldestAttempt() {
	s.oldestAttempt = s.Token << attemptBits
	for _, m := range s.Machines {
		for _, b := range m.Bindings {
			s.oldestAttempt = min(s.oldestAttempt, b.Attempt)
		}
	}
}
