package controller

import (
	"errors"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// lane is a class of transactions of which at most one is in flight at a time.
type lane int

// The lanes. Users' writes have several, because the state service occasionally takes very
// long for one transaction. This is safe: any two of them that change the same job carry
// conditions, and they need no order.
const (
	laneElection lane = iota // the leader's key and grant
	laneBindings             // the leader's bindings of tasks to machines, and ends of jobs
	laneMisc                 // the leader's other records
	laneIntent               // intents to rent or return machines
	laneDuty                 // leases of duties, outcomes of intents, and cleanup
	laneSpill                // jobs lent to or by other cells
	laneUsers                // the first of the userLanes lanes for users' writes
)

const (
	userLanes = 4
	laneCount = laneUsers + userLanes
)

const (
	// writeRetryPause is how long a lane waits after a failed transaction.
	writeRetryPause = 100 * model.Millisecond
	// shardName is the name of the only shard, which the leader owns.
	shardName = state.FirstShard
)

// grantKey is the key of the grant whose revision is the leader's fencing token.
var grantKey = state.GrantKey(shardName)

// transactionLanes tracks which lanes have a transaction in flight or are paused.
type transactionLanes struct {
	busy        [laneCount]bool
	pausedUntil [laneCount]model.Micros
}

// isFree reports whether a lane may send a transaction.
func (t *transactionLanes) isFree(which lane, now model.Micros) bool {
	return !t.busy[which] && now >= t.pausedUntil[which]
}

// pauseUntil keeps a lane from sending transactions until a time. All users' lanes share
// the pause of the first of them.
func (t *transactionLanes) pauseUntil(which lane, until model.Micros) { t.pausedUntil[which] = until }

// findFreeUserLane returns a lane that may send a transaction of users' writes; ok is false
// if there is none.
func (t *transactionLanes) findFreeUserLane(now model.Micros) (free lane, ok bool) {
	i := slices.Index(t.busy[laneUsers:], false)
	if i < 0 || now < t.pausedUntil[laneUsers] {
		return 0, false
	}
	return laneUsers + lane(i), true
}

// send sends a transaction in a lane. Its outcome arrives as a message.
func (c *controller) send(which lane, m msgCommitted) {
	m.lane = which
	c.lanes.busy[which] = true
	c.writeBudget.Spend(len(m.txn.Then), c.now)
	c.io.commit(m)
}

// committed passes the outcome of a transaction to the owner of its lane.
func (c *controller) committed(m msgCommitted) {
	c.lanes.busy[m.lane] = false
	switch {
	case m.lane == laneElection:
		c.electionCommitted(m)
	case m.lane >= laneUsers:
		c.userWritesCommitted(m)
	case m.lane == laneDuty:
		c.duties.committed(m)
	default:
		if c.leading != nil && c.leading.token == m.token {
			c.leading.committed(m)
		}
	}
}

// writeFailed pauses a lane after a transaction that was refused or got no answer. It
// reports whether the view must be synchronized before the lane's next transaction: a
// transaction without an answer may have been executed, and one whose condition did not
// hold was based on a stale view.
func (c *controller) writeFailed(m msgCommitted) (syncFirst bool) {
	c.lanes.pauseUntil(m.lane, c.now+writeRetryPause)
	if errors.Is(m.err, state.ErrBusy) {
		c.writeBudget.Drain(c.now)
		return false
	}
	return true
}

// lostGrant reports whether a transaction was refused because another controller has
// taken the grant.
func (m *msgCommitted) lostGrant() bool {
	return m.err == nil && slices.Contains(m.result.Failed, grantKey)
}

// needSync sets resync, which keeps the owner of a lane from writing, and requests the
// synchronization of the view that clears it.
func (c *controller) needSync(resync *bool) {
	*resync = true
	c.sync.request()
}
