package controller

import (
	"log/slog"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

func (c *controller) sessionNews(m msgSession) {
	if m.id == 0 {
		c.auth.Revoke()
		c.session = 0
		c.stepDown("session over")
		return
	}
	if m.id == c.resigned {
		return
	}
	if m.id != c.session && c.session != 0 {
		c.stepDown("new session")
	}
	c.session = m.id
	c.auth.Renewed(m.sent)
}

// elect tries for the leader's key when nobody has it. When an earlier try was
// carried out but its answer was lost, the key is there under our own session:
// then only the grant is written, anew, as for any takeover.
func (c *controller) elect() {
	if c.leading != nil || c.session == 0 || c.busy[laneElect] || c.now < c.pauses[laneElect] || !c.auth.IsValid(c.now) {
		return
	}
	ours := c.view.Leader != nil && c.view.Leader.Session == c.session
	if c.view.Leader != nil && !ours {
		return
	}
	grant := state.GrantKey(blockName)
	rec := state.GrantRecord{Holder: c.set.NodeName, Session: c.session, Credit: c.credit()}
	if !c.fits(rec) {
		rec.Credit = nil // which is the whole of every team's limit, too
	}
	t := &state.Txn{
		Conditions: []state.Condition{{Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}, {Path: grant, Revision: c.view.Revisions[grant]}},
		Then:       []state.Op{{Set: grant, Value: rec}}}
	if !ours {
		t.Then = append(t.Then, state.Op{Set: state.LeaderKey, Value: c.leaderRecord(), LeaseID: c.session})
	}
	c.send(laneElect, msgCommitted{txn: t, token: c.session})
}

// leaderRecord is what this controller writes as the leader.
func (c *controller) leaderRecord() state.LeaderRecord {
	return state.LeaderRecord{Node: c.set.NodeName, Session: c.session, Duties: c.duties.wanted()}
}

// credit is each team's whole limit: the one holder has it all.
func (c *controller) credit() map[string]model.Resources {
	m := map[string]model.Resources{}
	for n, t := range c.teams {
		m[n] = t.Limit
	}
	return m
}

func (c *controller) setShare(leads bool) {
	share, most := c.writeShare(leads)
	c.budget.SetRate(share, most, c.now)
}

func (c *controller) elected(m msgCommitted) {
	c.pauses[laneElect] = c.now + 300*model.Millisecond
	if m.err != nil || !m.res.OK {
		return
	}
	if m.token != c.session {
		// The session it was won with is over, and the key with it.
		return
	}
	c.view.Apply(m.txn, m.res.Revision)
	slog.Info("leader", "token", m.res.Revision)
	c.setShare(true)
	c.leading = newLeader(c, m.res.Revision)
}

func (c *controller) stepDown(why string) {
	if c.leading == nil {
		return
	}
	slog.Info("step down", "why", why)
	for _, h := range c.leading.pendingResponses {
		h.msg.reply <- c.elsewhere()
	}
	c.leading = nil
	c.setShare(false)
}

// deserted tells that this controller leads and holds machines that are up, but
// that none has reported to it itself for a while.
func (c *controller) deserted() bool {
	l := c.leading
	if l == nil || !l.ready || c.direct() > 0 {
		return false
	}
	up := 0
	for _, m := range l.block.Machines {
		if m.Up && !m.Lost && !m.Deleting {
			up++
		}
	}
	return up > 1
}

// considerResigning gives leadership and duties up when a sibling can do what this
// controller can't: reach the state service, or the workers. It stops acting
// first, so its session can be ended at once and nobody has to wait until it
// runs out. Two pings in a row have to say so.
func (c *controller) considerResigning(m msgPinged) {
	cut := c.suspect() && c.now-c.syncOK > 2*model.Second && len(m.helpers) > 0
	alone := c.deserted() && m.workers > 0
	holds := c.leading != nil || len(c.duties.held) > 0
	if !holds || c.session == 0 || !cut && !alone {
		c.cutPings = 0
		return
	}
	if c.cutPings++; c.cutPings < 2 {
		return
	}
	c.cutPings = 0
	session, helper := c.session, ""
	if cut {
		helper = m.helpers[0]
	}
	c.auth.Revoke()
	c.session, c.resigned = 0, session
	c.pauses[laneElect] = c.now + 5*model.Second
	c.stepDown("resigned: a sibling reaches what this node does not")
	c.io.resign(session, helper)
}
