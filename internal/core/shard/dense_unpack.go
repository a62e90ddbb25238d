package shard

import (
	"encoding/binary"
	"errors"
)

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
