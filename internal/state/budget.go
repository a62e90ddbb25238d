package state

import "woadweir/internal/core/model"

// rateRecoveryPerSecond is the part of the highest rate by which the rate grows back in a second.
const rateRecoveryPerSecond = 0.1

// minBurst is how many requests a budget may always save up.
const minBurst = 2

// Budget is one controller's part of a rate limit that several share: a token bucket
// with a burst of one second's worth. The controller always owns its share; as long as
// the service rejects nothing, it may use up to the highest rate. A Budget must not be
// used by several goroutines.
type Budget struct {
	share, maxRate float64 // per second
	rate           float64 // at present, per second
	tokens         float64
	updatedAt      model.Micros
}

// NewBudget makes a full budget.
func NewBudget(share, maxRate float64) *Budget {
	maxRate = max(share, maxRate)
	return &Budget{share: share, maxRate: maxRate, rate: maxRate, tokens: maxRate}
}

// SetRate changes the share and the highest rate.
func (b *Budget) SetRate(share, maxRate float64, now model.Micros) {
	b.refill(now)
	b.share, b.maxRate = share, max(share, maxRate)
	b.rate = b.maxRate
	b.tokens = min(b.tokens, b.burst())
}

// Rate is how many requests a second are allowed at present.
func (b *Budget) Rate() float64 { return b.rate }

func (b *Budget) burst() float64 { return max(b.rate, minBurst) }

func (b *Budget) refill(now model.Micros) {
	if now <= b.updatedAt {
		return
	}
	elapsed := (now - b.updatedAt).Seconds()
	b.tokens = min(b.burst(), b.tokens+b.rate*elapsed)
	b.rate = min(b.maxRate, b.rate+b.maxRate*rateRecoveryPerSecond*elapsed)
	b.updatedAt = now
}

// Left is how many requests may be made now.
func (b *Budget) Left(now model.Micros) int {
	b.refill(now)
	return max(0, int(b.tokens))
}

// Spend takes n requests off the budget, which may become negative.
func (b *Budget) Spend(n int, now model.Micros) {
	b.refill(now)
	b.tokens -= float64(n)
}

// Drain empties the budget after the service has rejected a request as one too many, and
// moves the rate halfway back to the share.
func (b *Budget) Drain(now model.Micros) {
	b.refill(now)
	b.rate = (b.rate + b.share) / 2
	b.tokens = min(b.tokens, 0)
}
