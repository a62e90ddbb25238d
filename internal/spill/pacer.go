package spill

import "woadweir/internal/core/model"

// Pacing of calls to a neighbour.
const (
	minBackoff              = model.Second
	maxBackoff              = 30 * model.Second
	maxBackoffDoublings     = 5   // of the backoff
	minJitterFraction       = 0.5 // of the backoff that is waited for at least
	slowResponseThreshold   = model.Second
	slowResponsePauseFactor = 10   // pause after a slow answer, in times that it responseTime
	maxRetryBudget          = 10.0 // retries at once
	retryBudgetPerSecond    = 0.2  // retries a second
)

// OfferPacer paces the offers to a neighbour: exponential backoff with jitter after failures
// and refusals, and a budget of retries. A neighbour that answers slowly is used less.
type OfferPacer struct {
	failures    int // in a row
	notBefore   model.Micros
	retryBudget float64      // of retries
	refilledAt  model.Micros // when the budget was last refilled
	started     bool
}

// Ready tells whether the neighbour may be asked now.
func (p *OfferPacer) Ready(now model.Micros) bool {
	if !p.started {
		p.started, p.retryBudget, p.refilledAt = true, maxRetryBudget, now
	}
	p.retryBudget = min(maxRetryBudget, p.retryBudget+retryBudgetPerSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
	return now >= p.notBefore && (p.failures == 0 || p.retryBudget >= 1)
}

// RecordSuccess records an answer that took so long.
func (p *OfferPacer) RecordSuccess(responseTime, now model.Micros) {
	p.failures = 0
	if responseTime > slowResponseThreshold {
		p.notBefore = max(p.notBefore, now+min(slowResponsePauseFactor*responseTime, maxBackoff))
	}
}

// RecordFailure records that there was no answer, or a refusal that asks for a pause. jitter is
// drawn from 0 to 1.
func (p *OfferPacer) RecordFailure(retryAfter model.Micros, jitter float64, now model.Micros) {
	if p.failures > 0 {
		p.retryBudget = max(0, p.retryBudget-1)
	}
	p.failures++
	backoff := min(minBackoff<<min(p.failures-1, maxBackoffDoublings), maxBackoff)
	pause := max(retryAfter, model.Micros(float64(backoff)*(minJitterFraction+jitter)))
	p.notBefore = max(p.notBefore, now+pause)
}
