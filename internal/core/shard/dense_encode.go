package shard

import (
	"encoding/binary"
	"maps"
	"slices"
)

// stringTable assigns indexes to strings in the order of their first use.
type stringTable struct {
	indexes map[string]uint64
	names   []string
}

// index returns the index of a string, which is added if it is new.
func (t *stringTable) index(name string) uint64 {
	n, ok := t.indexes[name]
	if !ok {
		if t.indexes == nil {
			t.indexes = map[string]uint64{}
		}
		n = uint64(len(t.names))
		t.indexes[name] = n
		t.names = append(t.names, name)
	}
	return n
}

// denseWriter appends the primitive values of the dense encoding to a buffer.
type denseWriter struct{ buffer []byte }

func (w *denseWriter) writeUvarint(value uint64) { w.buffer = binary.AppendUvarint(w.buffer, value) }

// writeString writes the length of a string and the string.
func (w *denseWriter) writeString(text string) {
	w.writeUvarint(uint64(len(text)))
	w.buffer = append(w.buffer, text...)
}

// writeTable writes the number of strings in a table and the strings.
func (w *denseWriter) writeTable(table *stringTable) {
	w.writeUvarint(uint64(len(table.names)))
	for _, name := range table.names {
		w.writeString(name)
	}
}

// bundleEncoder encodes the body of a bundle and collects the string tables for its
// header.
type bundleEncoder struct {
	denseWriter
	baseAttempt uint64      // attempts are relative to it
	labels      stringTable // machine types and zones
	jobs        stringTable
}

// encodeDense returns the dense encoding of the bundle.
func (b *BundleRecord) encodeDense() []byte {
	body := bundleEncoder{baseAttempt: b.smallestAttempt()}
	body.writeMachines(b.Machines)
	body.writeFinished(b.Done)
	header := denseWriter{buffer: []byte{denseVersion}}
	header.writeUvarint(body.baseAttempt)
	header.writeTable(&body.labels)
	header.writeTable(&body.jobs)
	return append(header.buffer, body.buffer...)
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

// writeMachines encodes the records of machines, sorted by name.
func (e *bundleEncoder) writeMachines(machines map[string]*MachineRecord) {
	ids := slices.Sorted(maps.Keys(machines))
	e.writeUvarint(uint64(len(ids)))
	previous := ""
	for _, id := range ids {
		prefixLength := sharedPrefixLength(previous, id)
		e.writeUvarint(uint64(prefixLength))
		e.writeString(id[prefixLength:])
		e.writeMachine(machines[id])
		previous = id
	}
}

// sharedPrefixLength returns the length of the common prefix of two strings.
func sharedPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// The kinds of machines in the dense encoding.
const (
	denseMachineGone     = 0
	denseMachineOnDemand = 1
	denseMachineSpot     = 2
)

// writeMachine encodes the record of a machine, which is nil if the machine is gone.
func (e *bundleEncoder) writeMachine(machine *MachineRecord) {
	if machine == nil {
		e.writeUvarint(denseMachineGone)
		return
	}
	if machine.Spot {
		e.writeUvarint(denseMachineSpot)
	} else {
		e.writeUvarint(denseMachineOnDemand)
	}
	e.writeUvarint(e.labels.index(machine.MachineType))
	e.writeUvarint(e.labels.index(machine.Zone))
	e.writeUvarint(uint64(len(machine.Tasks)))
	for _, job := range slices.Sorted(maps.Keys(machine.Tasks)) {
		e.writeUvarint(e.jobs.index(job))
		e.writeTasks(machine.Tasks[job])
	}
}

// writeTasks encodes pairs of task index and attempt.
func (e *bundleEncoder) writeTasks(tasks [][2]uint64) {
	e.writeUvarint(uint64(len(tasks)))
	for _, task := range tasks {
		e.writeUvarint(task[0])
		e.writeUvarint(task[1] - e.baseAttempt)
	}
}

// writeFinished encodes the finished tasks by job or part of a job, sorted by name.
func (e *bundleEncoder) writeFinished(done map[string][]byte) {
	names := slices.Sorted(maps.Keys(done))
	e.writeUvarint(uint64(len(names)))
	for _, name := range names {
		e.writeString(name)
		e.writeString(string(done[name]))
	}
}
