package spill

import "woadweir/internal/core/model"

// Pacing of calls to a neighbour.
const (
	minBackoff              = model.Second
	maxBackoff              = 30 * model.Second
	maxBackoffDoublings     = 5   // of the backoff
	minJitterFraction       = 0.5 // of the backoff that is waited for at least
	slowResponseThreshold   = model.Second
	slowResponsePauseFactor = 10   // pause after a slow answer, in times that it took
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
func (c *OfferPacer) Ready(now model.Micros) bool {
	if !c.started {
		c.started, c.retryBudget, c.refilledAt = true, maxRetryBudget, now
	}
	c.retryBudget = min(maxRetryBudget, c.retryBudget+retryBudgetPerSecond*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	return now >= c.notBefore && (c.failures == 0 || c.retryBudget >= 1)
}

// RecordSuccess records an answer that took so long.
func (c *OfferPacer) RecordSuccess(took, now model.Micros) {
	c.failures = 0
	if took > slowResponseThreshold {
		c.notBefore = max(c.notBefore, now+min(slowResponsePauseFactor*took, maxBackoff))
	}
}

// RecordFailure records that there was no answer, or a refusal that asks for a pause. jitter is
// drawn from 0 to 1.
func (c *OfferPacer) RecordFailure(retryAfter model.Micros, jitter float64, now model.Micros) {
	if c.failures > 0 {
		c.retryBudget = max(0, c.retryBudget-1)
	}
	c.failures++
	backoff := min(minBackoff<<min(c.failures-1, maxBackoffDoublings), maxBackoff)
	pause := max(retryAfter, model.Micros(float64(backoff)*(minJitterFraction+jitter)))
	c.notBefore = max(c.notBefore, now+pause)
}
