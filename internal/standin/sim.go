// Package standin provides test doubles for the systems around the service: the state
// service, the cloud and the machines with their workers. They run in simulated time, and a
// run is determined by its seed. InvariantChecker checks the invariants that must hold under
// every failure. The package is written from the published protocols, not from the
// service's own code: if both shared a mistake, tests would not find it. It is for tests and
// simulations only.
package standin

import (
	"container/heap"
	"math/rand/v2"

	"woadweir/internal/core/model"
)

// Sim is a simulated clock with an event queue and the only source of randomness, so that
// a run depends on the seed alone.
type Sim struct {
	Now    model.Micros
	Rand   *rand.Rand
	events eventQueue
	seq    int
}

// NewSim returns a clock at zero whose random numbers are seeded with seed.
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
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// At schedules f at time t, or at the current time if t has passed.
func (s *Sim) At(t model.Micros, f func()) {
	s.seq++
	heap.Push(&s.events, event{max(t, s.Now), s.seq, f})
}

// After schedules f to run after the delay d.
func (s *Sim) After(d model.Micros, f func()) { s.At(s.Now+d, f) }

// Run runs all events up to and including until, and sets the clock to until.
func (s *Sim) Run(until model.Micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = until
}

// Between returns a uniformly random time in [lo, hi), or lo if hi is not greater.
func (s *Sim) Between(lo, hi model.Micros) model.Micros {
	if hi <= lo {
		return lo
	}
	return lo + model.Micros(s.Rand.Int64N(int64(hi-lo)))
}

// Chance returns true with probability p.
func (s *Sim) Chance(p float64) bool { return s.Rand.Float64() < p }
