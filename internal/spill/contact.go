package spill

import "woadweir/internal/core/model"

// Pacing of calls to a neighbour.
const (
	leastBackoff = model.Second
	mostBackoff  = 30 * model.Second
	slowAnswer   = model.Second
	budgetMost   = 10.0 // retries at once
	budgetRefill = 0.2  // retries a second
)

// Contact paces the offers to a neighbour: exponential backoff with jitter after failures
// and refusals, and a budget of retries. A neighbour that answers slowly is used less.
type Contact struct {
	failures  int
	notBefore model.Micros
	budget    float64
	budgetAt  model.Micros
	used      bool
}

// Ready tells whether the neighbour may be asked now.
func (c *Contact) Ready(now model.Micros) bool {
	if !c.used {
		c.used, c.budget, c.budgetAt = true, budgetMost, now
	}
	c.budget = min(budgetMost, c.budget+budgetRefill*(now-c.budgetAt).Seconds())
	c.budgetAt = now
	return now >= c.notBefore && (c.failures == 0 || c.budget >= 1)
}

// Answered notes an answer that took so long.
func (c *Contact) Answered(took, now model.Micros) {
	c.failures = 0
	if took > slowAnswer {
		c.notBefore = max(c.notBefore, now+min(10*took, mostBackoff))
	}
}

// Failed notes that there was no answer, or a refusal that asks for a pause. jitter is
// drawn from 0 to 1.
func (c *Contact) Failed(retryAfter model.Micros, jitter float64, now model.Micros) {
	if c.failures > 0 {
		c.budget = max(0, c.budget-1)
	}
	c.failures++
	backoff := min(leastBackoff<<min(c.failures-1, 5), mostBackoff)
	pause := max(retryAfter, model.Micros(float64(backoff)*(0.5+jitter)))
	c.notBefore = max(c.notBefore, now+pause)
}
