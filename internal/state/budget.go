package state

import "woadweir/internal/core/model"

// Budget is a node's share of a limit per second, with a burst of one second's
// worth of that share. It belongs to one actor.
type Budget struct {
	rate  float64 // per second
	level float64
	at    model.Micros
}

// NewBudget makes a full budget.
func NewBudget(rate float64) *Budget { return &Budget{rate: rate, level: rate} }

// SetRate changes the share.
func (b *Budget) SetRate(rate float64, now model.Micros) {
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.cap())
}

func (b *Budget) cap() float64 { return max(b.rate, 2) }

func (b *Budget) fill(now model.Micros) {
	if now > b.at {
		b.level = min(b.cap(), b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Left is how many may be spent now.
func (b *Budget) Left(now model.Micros) int {
	b.fill(now)
	return max(0, int(b.level))
}

// Spend takes n, also below zero.
func (b *Budget) Spend(n int, now model.Micros) {
	b.fill(now)
	b.level -= float64(n)
}

// Drain empties the budget: the service said that the limit is reached.
func (b *Budget) Drain(now model.Micros) {
	b.fill(now)
	b.level = min(b.level, 0)
}
