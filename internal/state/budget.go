package state

import "woadweir/internal/core/model"

// Budget is a node's part of a limit per second, with a burst of one second's
// worth of it. What is its own by right is the share; as long as the service
// refuses nothing, it may take up to most. It belongs to one actor.
type Budget struct {
	share, most float64 // per second
	rate        float64 // at present
	level       float64
	at          model.Micros
}

// NewBudget makes a full budget.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: max(share, most), rate: max(share, most), level: max(share, most)}
}

// SetRate changes the share and the most.
func (b *Budget) SetRate(share, most float64, now model.Micros) {
	b.fill(now)
	b.share, b.most = share, max(share, most)
	b.rate = b.most
	b.level = min(b.level, b.cap())
}

// Rate is how many may be spent a second at present.
func (b *Budget) Rate() float64 { return b.rate }

func (b *Budget) cap() float64 { return max(b.rate, 2) }

// recovery is the part of most by which the rate grows back in a second.
const recovery = 0.1

func (b *Budget) fill(now model.Micros) {
	if now > b.at {
		passed := (now - b.at).Seconds()
		b.level = min(b.cap(), b.level+b.rate*passed)
		b.rate = min(b.most, b.rate+b.most*recovery*passed)
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

// Drain empties the budget: the service said that the limit is reached. The rate
// goes halfway back to the share.
func (b *Budget) Drain(now model.Micros) {
	b.fill(now)
	b.rate = (b.rate + b.share) / 2
	b.level = min(b.level, 0)
}
