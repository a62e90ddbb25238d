package shard

import (
	"encoding/binary"
	"maps"
	"slices"
)

// stringTable numbers strings in the order of their first use.
type stringTable struct {
	numbers map[string]uint64
	names   []string
}

func (t *stringTable) index(s string) uint64 {
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

// denseWriter appends the basic values of the dense encoding.
type denseWriter struct{ buffer []byte }

func (p *denseWriter) writeUvarint(v uint64) { p.buffer = binary.AppendUvarint(p.buffer, v) }
func (p *denseWriter) writeString(s string) {
	p.writeUvarint(uint64(len(s)))
	p.buffer = append(p.buffer, s...)
}
func (p *denseWriter) writeTable(t *stringTable) {
	p.writeUvarint(uint64(len(t.names)))
	for _, s := range t.names {
		p.writeString(s)
	}
}

// bundleEncoder encodes the body of a bundle and collects the tables of its header.
type bundleEncoder struct {
	denseWriter
	baseAttempt uint64      // attempts are relative to it
	labels      stringTable // machine types and zones
	jobs        stringTable
}

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

func (p *bundleEncoder) writeMachines(writeMachines map[string]*MachineRecord) {
	ids := slices.Sorted(maps.Keys(writeMachines))
	p.writeUvarint(uint64(len(ids)))
	previous := ""
	for _, id := range ids {
		shared := sharedPrefix(previous, id)
		p.writeUvarint(uint64(shared))
		p.writeString(id[shared:])
		p.writeMachine(writeMachines[id])
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
	denseMachineGone     = 0
	denseMachineOnDemand = 1
	denseMachineSpot     = 2
)

func (p *bundleEncoder) writeMachine(writeMachine *MachineRecord) {
	if writeMachine == nil {
		p.writeUvarint(denseMachineGone)
		return
	}
	if writeMachine.Spot {
		p.writeUvarint(denseMachineSpot)
	} else {
		p.writeUvarint(denseMachineOnDemand)
	}
	p.writeUvarint(p.labels.index(writeMachine.MachineType))
	p.writeUvarint(p.labels.index(writeMachine.Zone))
	p.writeUvarint(uint64(len(writeMachine.Tasks)))
	for _, job := range slices.Sorted(maps.Keys(writeMachine.Tasks)) {
		p.writeUvarint(p.jobs.index(job))
		p.writeTasks(writeMachine.Tasks[job])
	}
}

// writeTasks encodes pairs of a task's index and its attempt.
func (p *bundleEncoder) writeTasks(writeTasks [][2]uint64) {
	p.writeUvarint(uint64(len(writeTasks)))
	for _, task := range writeTasks {
		p.writeUvarint(task[0])
		p.writeUvarint(task[1] - p.baseAttempt)
	}
}

func (p *bundleEncoder) writeFinished(done map[string][]byte) {
	names := slices.Sorted(maps.Keys(done))
	p.writeUvarint(uint64(len(names)))
	for _, name := range names {
		p.writeString(name)
		p.writeString(string(done[name]))
	}
}
