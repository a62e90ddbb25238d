package state

import "woadweir/internal/core/model"

// rateRecoveryPerSecond is the fraction of the maximum rate by which a lowered rate recovers each
// second.
const rateRecoveryPerSecond = 0.1

// minBurst is the smallest burst that a budget allows, whatever its rate.
const minBurst = 2

// Budget is one controller's part of a rate limit that all controllers share: a token bucket
// with a burst of one second's worth of requests. The controller can always use its share, and
// up to the maximum rate as long as the service rejects nothing. A Budget is not safe for
// concurrent use.
type Budget struct {
	share, maxRate float64 // per second
	rate           float64 // present rate, per second
	tokens         float64
	updatedAt      model.Micros
}

// NewBudget returns a full budget.
func NewBudget(share, maxRate float64) *Budget {
	maxRate = max(share, maxRate)
	return &Budget{share: share, maxRate: maxRate, rate: maxRate, tokens: maxRate}
}

// SetRate changes the share and the maximum rate, and sets the rate to the maximum.
func (b *Budget) SetRate(share, maxRate float64, now model.Micros) {
	b.refill(now)
	b.share, b.maxRate = share, max(share, maxRate)
	b.rate = b.maxRate
	b.tokens = min(b.tokens, b.burst())
}

// Rate returns how many requests per second are allowed at present.
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

// Left returns how many requests may be made now.
func (b *Budget) Left(now model.Micros) int {
	b.refill(now)
	return max(0, int(b.tokens))
}

// Spend deducts n requests from the budget, which may become negative.
func (b *Budget) Spend(n int, now model.Micros) {
	b.refill(now)
	b.tokens -= float64(n)
}

// Drain empties the budget after the service has rejected a request because of the rate limit,
// and moves the rate halfway back to the share.
func (b *Budget) Drain(now model.Micros) {
	b.refill(now)
	b.rate = (b.rate + b.share) / 2
	b.tokens = min(b.tokens, 0)
}
