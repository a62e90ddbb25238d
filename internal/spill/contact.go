package spill

import "woadweir/internal/core/model"

// Pacing of calls to a neighbour.
const (
	minBackoff       = model.Second
	maxBackoff       = 30 * model.Second
	maxDoublings     = 5   // of the backoff
	minJitter        = 0.5 // of the backoff that is waited for at least
	slowAnswer       = model.Second
	slowAnswerFactor = 10   // pause after a slow answer, in times that it took
	maxRetryBudget   = 10.0 // retries at once
	budgetRefill     = 0.2  // retries a second
)

// Contact paces the offers to a neighbour: exponential backoff with jitter after failures
// and refusals, and a budget of retries. A neighbour that answers slowly is used less.
type Contact struct {
	failures  int // in a row
	notBefore model.Micros
	budget    float64      // of retries
	budgetAt  model.Micros // when the budget was last refilled
	used      bool
}

// Ready tells whether the neighbour may be asked now.
func (c *Contact) Ready(now model.Micros) bool {
	if !c.used {
		c.used, c.budget, c.budgetAt = true, maxRetryBudget, now
	}
	c.budget = min(maxRetryBudget, c.budget+budgetRefill*(now-c.budgetAt).Seconds())
	c.budgetAt = now
	return now >= c.notBefore && (c.failures == 0 || c.budget >= 1)
}

// Answered records an answer that took so long.
func (c *Contact) Answered(took, now model.Micros) {
	c.failures = 0
	if took > slowAnswer {
		c.notBefore = max(c.notBefore, now+min(slowAnswerFactor*took, maxBackoff))
	}
}

// Failed records that there was no answer, or a refusal that asks for a pause. jitter is
// drawn from 0 to 1.
func (c *Contact) Failed(retryAfter model.Micros, jitter float64, now model.Micros) {
	if c.failures > 0 {
		c.budget = max(0, c.budget-1)
	}
	c.failures++
	backoff := min(minBackoff<<min(c.failures-1, maxDoublings), maxBackoff)
	pause := max(retryAfter, model.Micros(float64(backoff)*(minJitter+jitter)))
	c.notBefore = max(c.notBefore, now+pause)
}
