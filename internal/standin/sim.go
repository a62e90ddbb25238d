// Package standin simulates what lies outside the service, in simulated time and
// deterministically for a seed: the state service, the cloud and the machines with their
// workers. Rules checks the invariants that hold under every failure. Everything here is
// written from the published protocols, not from the service's own code, so that a mistake
// there does not cancel out. The package is for tests and simulations only.
package standin

import (
	"container/heap"
	"math/rand/v2"

	"woadweir/internal/core/model"
)

// Sim is a simulated clock with a queue of events and the source of all chance, so that a
// run depends on the seed alone.
type Sim struct {
	Now    model.Micros
	Rand   *rand.Rand
	events eventQueue
	seq    int
}

// NewSim returns a clock at zero with a seeded source of chance.
func NewSim(seed uint64) *Sim { return &Sim{Rand: rand.New(rand.NewPCG(seed, 7))} }

type event struct {
	at  model.Micros
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// At has f run at that time, or at once if it has passed.
func (s *Sim) At(t model.Micros, f func()) {
	s.seq++
	heap.Push(&s.events, event{max(t, s.Now), s.seq, f})
}

// After has f run after that time.
func (s *Sim) After(d model.Micros, f func()) { s.At(s.Now+d, f) }

// Run carries out all events up to that time, and sets the clock to it.
func (s *Sim) Run(until model.Micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = until
}

// Between draws a time from lo up to but not including hi.
func (s *Sim) Between(lo, hi model.Micros) model.Micros {
	if hi <= lo {
		return lo
	}
	return lo + model.Micros(s.Rand.Int64N(int64(hi-lo)))
}

// Chance is true with that probability.
func (s *Sim) Chance(p float64) bool { return s.Rand.Float64() < p }
