package shard

import (
	"encoding/binary"
	"errors"
)

var errInvalidDenseBundle = errors.New("not a dense bundle of this version")

// denseReader reads the basic values of the dense encoding.
type denseReader struct {
	input     []byte
	malformed bool
}

// fail marks the input as malformed. All values read after that are empty.
func (u *denseReader) fail() { u.malformed, u.input = true, nil }

func (u *denseReader) readUvarint() uint64 {
	v, n := binary.Uvarint(u.input)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.input = u.input[n:]
	return v
}

// readCount reads the number of items that follow. Each takes a byte at least, so a number
// beyond the input is malformed.
func (u *denseReader) readCount() int {
	v := u.readUvarint()
	if v > uint64(len(u.input)) {
		u.fail()
		return 0
	}
	return int(v)
}

func (u *denseReader) readString() string {
	n := u.readCount()
	s := string(u.input[:n])
	u.input = u.input[n:]
	return s
}

func (u *denseReader) readTable() []string {
	t := make([]string, u.readCount())
	for i := range t {
		t[i] = u.readString()
	}
	return t
}

// readTableName reads the number of a name in a table.
func (u *denseReader) readTableName(table []string) string {
	n := u.readUvarint()
	if n >= uint64(len(table)) {
		u.fail()
		return ""
	}
	return table[n]
}

// bundleDecoder decodes the body of a bundle with the tables of its header.
type bundleDecoder struct {
	denseReader
	baseAttempt  uint64
	labels, jobs []string
}

func (b *BundleRecord) decodeDense(in []byte) error {
	if len(in) == 0 || in[0] != denseVersion {
		return errInvalidDenseBundle
	}
	u := &bundleDecoder{denseReader: denseReader{input: in[1:]}}
	u.baseAttempt = u.readUvarint()
	u.labels = u.readTable()
	u.jobs = u.readTable()
	machines := u.readMachines()
	done := u.readFinished()
	*b = BundleRecord{Dense: true, Machines: machines, Done: done}
	if u.malformed || len(u.input) > 0 {
		return errInvalidDenseBundle
	}
	return nil
}

func (u *bundleDecoder) readMachines() map[string]*MachineRecord {
	machines := map[string]*MachineRecord{}
	previous := ""
	for range u.readCount() {
		shared := u.readUvarint()
		if shared > uint64(len(previous)) {
			u.fail()
			return machines
		}
		id := previous[:shared] + u.readString()
		machines[id] = u.readMachine()
		previous = id
	}
	return machines
}

// readMachine decodes a machine's record, nil if the machine is gone.
func (u *bundleDecoder) readMachine() *MachineRecord {
	kind := u.readUvarint()
	if kind == denseMachineGone {
		return nil
	}
	machine := &MachineRecord{Spot: kind == denseMachineSpot, Tasks: map[string][][2]uint64{}}
	machine.MachineType = u.readTableName(u.labels)
	machine.Zone = u.readTableName(u.labels)
	for range u.readCount() {
		job := u.readTableName(u.jobs)
		machine.Tasks[job] = u.readTasks()
	}
	return machine
}

// readTasks decodes pairs of a task's index and its attempt.
func (u *bundleDecoder) readTasks() [][2]uint64 {
	tasks := make([][2]uint64, 0, 4)
	for range u.readCount() {
		index := u.readUvarint()
		tasks = append(tasks, [2]uint64{index, u.baseAttempt + u.readUvarint()})
	}
	return tasks
}

func (u *bundleDecoder) readFinished() map[string][]byte {
	done := map[string][]byte{}
	for range u.readCount() {
		name := u.readString()
		done[name] = []byte(u.readString())
	}
	return done
}
