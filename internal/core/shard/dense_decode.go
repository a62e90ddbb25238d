package shard

import (
	"encoding/binary"
	"errors"
)

// errInvalidDenseBundle is returned for input of another version, and for malformed or
// incomplete input.
var errInvalidDenseBundle = errors.New("decoding dense bundle: unsupported version or malformed data")

// denseReader reads the primitive values of the dense encoding.
type denseReader struct {
	input     []byte
	malformed bool
}

// fail marks the input as malformed. All values that are read afterwards are zero.
func (r *denseReader) fail() { r.malformed, r.input = true, nil }

func (r *denseReader) readUvarint() uint64 {
	value, length := binary.Uvarint(r.input)
	if length <= 0 {
		r.fail()
		return 0
	}
	r.input = r.input[length:]
	return value
}

// readCount reads the number of items that follow. Each item takes at least one byte, so
// a number greater than the remaining bytes of input is malformed.
func (r *denseReader) readCount() int {
	count := r.readUvarint()
	if count > uint64(len(r.input)) {
		r.fail()
		return 0
	}
	return int(count)
}

func (r *denseReader) readString() string {
	length := r.readCount()
	text := string(r.input[:length])
	r.input = r.input[length:]
	return text
}

func (r *denseReader) readTable() []string {
	table := make([]string, r.readCount())
	for i := range table {
		table[i] = r.readString()
	}
	return table
}

// readTableName reads the index of a name in a table and returns the name.
func (r *denseReader) readTableName(table []string) string {
	index := r.readUvarint()
	if index >= uint64(len(table)) {
		r.fail()
		return ""
	}
	return table[index]
}

// bundleDecoder decodes the body of a bundle with the string tables of its header.
type bundleDecoder struct {
	denseReader
	baseAttempt  uint64
	labels, jobs []string
}

// decodeDense replaces the bundle with the one decoded from input.
func (b *BundleRecord) decodeDense(input []byte) error {
	if len(input) == 0 || input[0] != denseVersion {
		return errInvalidDenseBundle
	}
	decoder := &bundleDecoder{denseReader: denseReader{input: input[1:]}}
	decoder.baseAttempt = decoder.readUvarint()
	decoder.labels = decoder.readTable()
	decoder.jobs = decoder.readTable()
	machines := decoder.readMachines()
	done := decoder.readFinished()
	*b = BundleRecord{Dense: true, Machines: machines, Done: done}
	if decoder.malformed || len(decoder.input) > 0 {
		return errInvalidDenseBundle
	}
	return nil
}

func (d *bundleDecoder) readMachines() map[string]*MachineRecord {
	machines := map[string]*MachineRecord{}
	previous := ""
	for range d.readCount() {
		prefixLength := d.readUvarint()
		if prefixLength > uint64(len(previous)) {
			d.fail()
			return machines
		}
		id := previous[:prefixLength] + d.readString()
		machines[id] = d.readMachine()
		previous = id
	}
	return machines
}

// readMachine decodes the record of a machine. It returns nil if the machine is gone.
func (d *bundleDecoder) readMachine() *MachineRecord {
	kind := d.readUvarint()
	if kind == denseMachineGone {
		return nil
	}
	machine := &MachineRecord{Spot: kind == denseMachineSpot, Tasks: map[string][][2]uint64{}}
	machine.MachineType = d.readTableName(d.labels)
	machine.Zone = d.readTableName(d.labels)
	for range d.readCount() {
		job := d.readTableName(d.jobs)
		machine.Tasks[job] = d.readTasks()
	}
	return machine
}

// readTasks decodes pairs of task index and attempt.
func (d *bundleDecoder) readTasks() [][2]uint64 {
	tasks := make([][2]uint64, 0, 4)
	for range d.readCount() {
		index := d.readUvarint()
		tasks = append(tasks, [2]uint64{index, d.baseAttempt + d.readUvarint()})
	}
	return tasks
}

func (d *bundleDecoder) readFinished() map[string][]byte {
	done := map[string][]byte{}
	for range d.readCount() {
		name := d.readString()
		done[name] = []byte(d.readString())
	}
	return done
}
