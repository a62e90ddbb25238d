package controller

import (
	"log/slog"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

const (
	electionPause = 300 * model.Millisecond // after an attempt to be elected
	resignedPause = 5 * model.Second        // before taking part in an election after resigning
	// minUnreachableBeforeResigning is how long the state service must have been
	// unreachable before a controller resigns because of it.
	minUnreachableBeforeResigning = 2 * model.Second
	// resignRoundsNeeded is how many consecutive rounds of pings must indicate that
	// resigning helps.
	resignRoundsNeeded = 2
)

// stepDownReason is the reason why a controller stops leading, for the log.
type stepDownReason string

const (
	reasonSessionOver stepDownReason = "the session ended"
	reasonNewSession  stepDownReason = "the session was replaced by a new one"
	reasonOtherLeader stepDownReason = "the state service's records name another leader or grant"
	reasonUnreadable  stepDownReason = "the state service contains records that this version cannot read"
	reasonGrantLost   stepDownReason = "another controller has written the grant"
	reasonResigned    stepDownReason = "resigned: a sibling reaches the state service or workers that this controller does not reach"
)

// sessionChanged handles a new session, the renewal of the current one, or its end.
func (c *controller) sessionChanged(m msgSession) {
	if m.id == 0 {
		c.authority.Revoke()
		c.session = 0
		c.stepDown(reasonSessionOver)
		return
	}
	if m.id == c.resignedSession {
		return
	}
	if m.id != c.session && c.session != 0 {
		c.stepDown(reasonNewSession)
	}
	c.session = m.id
	c.authority.Renewed(m.sentAt)
}

// elect tries to become the leader if there is none. If an earlier attempt was executed
// but its answer was lost, the leader's key already belongs to our own session: then only
// the grant is written, again, as at any takeover.
func (c *controller) elect() {
	if c.leading != nil || c.session == 0 || !c.lanes.isFree(laneElection, c.now) || !c.authority.IsValid(c.now) {
		return
	}
	ours := c.view.Leader != nil && c.view.Leader.Session == c.session
	if c.view.Leader != nil && !ours {
		return
	}
	c.send(laneElection, msgCommitted{txn: c.electionTxn(ours), session: c.session})
}

// electionTxn returns the transaction that writes the grant, and the leader's key unless
// that is ours already.
func (c *controller) electionTxn(leaderKeyOurs bool) *state.Txn {
	grant := state.GrantRecord{Holder: c.settings.NodeName, Session: c.session, Credit: c.fullCredit()}
	if !c.fitsValue(grant) {
		grant.Credit = nil // this also means every team's whole limit
	}
	txn := &state.Txn{
		Conditions: []state.Condition{{Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}, {Path: grantKey, Revision: c.view.Revisions[grantKey]}},
		Then:       []state.Op{{Set: grantKey, Value: grant}}}
	if !leaderKeyOurs {
		txn.Then = append(txn.Then, state.Op{Set: state.LeaderKey, Value: c.leaderRecord(), LeaseID: c.session})
	}
	return txn
}

// leaderRecord returns the record that this controller writes as the leader.
func (c *controller) leaderRecord() state.LeaderRecord {
	return state.LeaderRecord{Node: c.settings.NodeName, Session: c.session, UsesIntents: c.duties.shouldUseIntents()}
}

// fullCredit returns each team's whole limit, because the leader owns the only shard.
func (c *controller) fullCredit() map[string]model.Resources {
	credit := map[string]model.Resources{}
	for name, team := range c.teams {
		credit[name] = team.Limit
	}
	return credit
}

// electionCommitted handles the outcome of the election's transaction.
func (c *controller) electionCommitted(m msgCommitted) {
	c.lanes.pauseUntil(laneElection, c.now+electionPause)
	if m.err != nil || !m.result.OK {
		return
	}
	if m.session != c.session {
		// The session to which the leader's key was bound has ended, and the key with it.
		return
	}
	c.view.Apply(m.txn, m.result.Revision)
	slog.Info("elected leader", "token", m.result.Revision)
	c.setWriteShare(true)
	c.leading = newLeader(c, m.result.Revision)
}

// stepDown stops leading. Workers that wait for a response are redirected to the next
// leader.
func (c *controller) stepDown(reason stepDownReason) {
	if c.leading == nil {
		return
	}
	slog.Info("stepped down as leader", "why", string(reason))
	for _, pending := range c.leading.pendingResponses {
		pending.msg.reply <- c.redirectToLeader()
	}
	c.leading = nil
	c.setWriteShare(false)
}

// hasNoHeartbeats reports whether this controller leads and several machines are up, but
// none of them has recently sent it a heartbeat directly.
func (c *controller) hasNoHeartbeats() bool {
	l := c.leading
	if l == nil || !l.ready || c.relay.directWorkers(c.now) > 0 {
		return false
	}
	up := 0
	for _, machine := range l.shard.Machines {
		if machine.Up && !machine.Lost && !machine.Deleting {
			up++
		}
	}
	return up > 1
}

// considerResigning resigns if enough consecutive rounds of pings show that a sibling
// reaches the state service or workers while this controller does not.
func (c *controller) considerResigning(m msgPinged) {
	stateLost := c.sync.suspectsOutage(c.now) && c.now-c.sync.succeededAt > minUnreachableBeforeResigning && len(m.serving) > 0
	workersLost := c.hasNoHeartbeats() && m.workers > 0
	hasRole := c.leading != nil || len(c.duties.held) > 0
	if !hasRole || c.session == 0 || !stateLost && !workersLost {
		c.siblings.resignRounds = 0
		return
	}
	if c.siblings.resignRounds++; c.siblings.resignRounds < resignRoundsNeeded {
		return
	}
	c.siblings.resignRounds = 0
	sibling := "" // this controller ends the session itself
	if stateLost {
		sibling = m.serving[0]
	}
	c.resign(sibling)
}

// resign gives up leadership and duties and ends the session, through a sibling if one is
// named. This controller stops acting first, so that the session can be ended at once and
// no other controller has to wait until it expires.
func (c *controller) resign(sibling string) {
	session := c.session
	c.authority.Revoke()
	c.session, c.resignedSession = 0, session
	c.lanes.pauseUntil(laneElection, c.now+resignedPause)
	c.stepDown(reasonResigned)
	c.io.resign(session, sibling)
}
