// Package standin has stand-ins for what lies outside the service, written
// after the published protocols: the state service, the cloud, the workers and
// the users. They live in simulated time and watch the rules that hold under
// every failure. Tests only.
package standin

import (
	"container/heap"
	"math/rand/v2"

	"woadweir/internal/core/model"
)

// Sim is a clock with events.
type Sim struct {
	Now model.Micros
	Rng *rand.Rand
	q   queue
	seq int
}

// NewSim makes a clock at zero with a seeded source of chance.
func NewSim(seed uint64) *Sim { return &Sim{Rng: rand.New(rand.NewPCG(seed, 7))} }

type event struct {
	at  model.Micros
	seq int
	f   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// At has f run at that time.
func (s *Sim) At(t model.Micros, f func()) {
	s.seq++
	heap.Push(&s.q, event{max(t, s.Now), s.seq, f})
}

// After has f run after d.
func (s *Sim) After(d model.Micros, f func()) { s.At(s.Now+d, f) }

// Run lets time pass until then.
func (s *Sim) Run(until model.Micros) {
	for len(s.q) > 0 && s.q[0].at <= until {
		e := heap.Pop(&s.q).(event)
		s.Now = e.at
		e.f()
	}
	s.Now = until
}

// Between draws a time from lo to hi.
func (s *Sim) Between(lo, hi model.Micros) model.Micros {
	if hi <= lo {
		return lo
	}
	return lo + model.Micros(s.Rng.Int64N(int64(hi-lo)))
}

// Chance draws yes with that probability.
func (s *Sim) Chance(p float64) bool { return s.Rng.Float64() < p }
