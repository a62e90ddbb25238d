package controller

import (
	"errors"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// writePause is how long a lane waits after a transaction that failed.
const writePause = 100 * model.Millisecond

// writeFailed paces what follows a transaction that was refused or got no answer. It tells
// whether the view has to catch up before the next one of that lane: what got no answer may
// have been carried out, and what a condition refused rested on an old view.
func (c *controller) writeFailed(m msgCommitted) (catchUp bool) {
	c.pauses[m.lane] = c.now + writePause
	if errors.Is(m.err, state.ErrBusy) {
		c.budget.Drain(c.now)
		return false
	}
	return true
}

// lostGrant tells that a transaction was refused as the grant is another's by now.
func (m *msgCommitted) lostGrant() bool {
	return m.err == nil && slices.Contains(m.res.Failed, state.GrantKey(blockName))
}

// needSync keeps a lane's user from writing until the view has caught up.
func (c *controller) needSync(resync *bool) {
	*resync = true
	c.afterSync(func(bool) {})
}
