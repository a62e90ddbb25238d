package shard

import (
	"encoding/binary"
	"maps"
	"slices"
)

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
