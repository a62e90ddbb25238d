package spill

import "woadweir/internal/core/model"

// Limits on the rate of offers to a neighbour.
const (
	minBackoff              = model.Second
	maxBackoff              = 30 * model.Second
	maxBackoffDoublings     = 5
	minJitterFraction       = 0.5 // lower bound of the pause, as a fraction of the backoff
	slowResponseThreshold   = model.Second
	slowResponsePauseFactor = 10   // pause after a slow answer, as a multiple of its response time
	maxRetryBudget          = 10.0 // largest burst of retries
	retryBudgetPerSecond    = 0.2
)

// OfferPacer limits the rate of offers to one neighbour: exponential backoff with jitter after
// failures and refusals, and a token bucket for retries. A neighbour that answers slowly gets
// fewer offers.
type OfferPacer struct {
	failures    int // consecutive
	notBefore   model.Micros
	retryBudget float64      // retries allowed now
	refilledAt  model.Micros // when retryBudget was last refilled
	started     bool
}

// Ready refills the retry budget and reports whether an offer may be sent now.
func (p *OfferPacer) Ready(now model.Micros) bool {
	if !p.started {
		p.started, p.retryBudget, p.refilledAt = true, maxRetryBudget, now
	}
	p.retryBudget = min(maxRetryBudget, p.retryBudget+retryBudgetPerSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
	return now >= p.notBefore && (p.failures == 0 || p.retryBudget >= 1)
}

// RecordSuccess records an answer that arrived after responseTime.
func (p *OfferPacer) RecordSuccess(responseTime, now model.Micros) {
	p.failures = 0
	if responseTime > slowResponseThreshold {
		p.notBefore = max(p.notBefore, now+min(slowResponsePauseFactor*responseTime, maxBackoff))
	}
}

// RecordFailure records a call without an answer, or a refusal that asks for a pause of
// retryAfter. jitter is a random number between 0 and 1.
func (p *OfferPacer) RecordFailure(retryAfter model.Micros, jitter float64, now model.Micros) {
	if p.failures > 0 {
		p.retryBudget = max(0, p.retryBudget-1)
	}
	p.failures++
	backoff := min(minBackoff<<min(p.failures-1, maxBackoffDoublings), maxBackoff)
	pause := max(retryAfter, model.Micros(float64(backoff)*(minJitterFraction+jitter)))
	p.notBefore = max(p.notBefore, now+pause)
}
