package controller

import (
	"slices"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// How a node's way to the state service can be cut.
const (
	linkOpen     = iota
	linkDropping // requests vanish
	linkHolding  // requests wait, and are carried out when the cut ends
	linkRefusing // the service answers 503 to this node alone
)

// simNode is a controller in simulated time: the real actor, with scripted
// peers in the place of sockets.
type simNode struct {
	sim                   *simDeployment
	name                  string
	settings              *config.Settings
	alive                 bool
	incarnation           int
	ctl                   *controller
	session               *leadership.Session
	stateLink             int
	heldRequests          []func() // held requests
	reachableByWorkers    bool     // workers reach it
	syncsLost             bool     // its catch-ups get no answer, all else does
	usersCutOff           bool     // users don't reach it
	peersCutOff           bool     // the other controllers do not reach it, nor it them
	pendingReplies        []func() bool
	sessionToAbandon      uint64 // a session that the session actor is to end
	runsProductionVersion bool   // it runs the version in production, see upgrade_test.go
	cloudUnavailable      bool   // the cloud refuses its requests
	paused                bool   // the process stands still, see pause_test.go
	deferredCalls         []func()
	shouldPause           func(pausePoint) bool // tells whether the process stops there
	// intercept takes a transaction away if it returns true.
	intercept func(msgCommitted) bool
}

func (n *simNode) start() {
	n.alive, n.incarnation, n.pendingReplies = true, n.incarnation+1, nil
	n.paused, n.deferredCalls = false, nil
	n.settings = n.sim.settings(n.name)
	if n.runsProductionVersion {
		n.settings.Params.State.Next = simSettings("").Params.State.Next // which it does not know
	}
	leaseTimes := leadership.ComputeLeaseTimes(30*model.Second, model.Seconds(n.settings.Params.Workers.LeaseS), model.Seconds(n.settings.Params.Workers.ReportS), model.Seconds(n.settings.Params.Workers.CancelS))
	base := n.sim.Now
	clock := func() model.Micros { return n.sim.Now - base + 1 }
	operator := config.DefaultOperatorSettings()
	if n.sim.policy != nil && !n.runsProductionVersion {
		operator.Duties = n.sim.policy(n.name)
	}
	if n.sim.cell != nil {
		operator.Spill = n.sim.cell.policy
	}
	n.ctl = newController(n.settings, operator, leaseTimes, clock, n)
	if operator.Spill != nil {
		n.ctl.cells = &simCellCalls{n}
		n.ctl.jitter = n.sim.Rand.Float64
	}
	n.ctl.wallClockMs = func() int64 { return int64(n.sim.Now / 1000) }
	n.session = leadership.NewSession(leaseTimes.TTL)
	n.tick(n.incarnation)
	n.scheduleSessionCall(n.incarnation)
}

func (n *simNode) crash() {
	n.alive, n.pendingReplies = false, nil
}

// crashFor ends a controller, and starts it again after that time.
func (n *simNode) crashFor(downtime model.Micros) {
	n.crash()
	n.sim.After(downtime, n.start)
}

func (n *simNode) tick(incarnation int) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	if !n.paused { // ticks that nobody takes are dropped
		n.send(msgTick{}, nil)
	}
	n.sim.After(50*model.Millisecond, func() { n.tick(incarnation) })
}

// ask hands a message to the actor; check is called until it says that the
// answer has come.
func (n *simNode) send(m any, answered func() bool) {
	if !n.alive || n.deferIfPaused(func() { n.send(m, answered) }) {
		return
	}
	if answered != nil {
		n.pendingReplies = append(n.pendingReplies, answered)
	}
	n.ctl.handle(m)
	n.ctl.step()
	n.pendingReplies = slices.DeleteFunc(n.pendingReplies, func(f func() bool) bool { return f() })
}

func (n *simNode) scheduleSessionCall(incarnation int) {
	call := n.session.Next()
	n.sim.After(call.After+1, func() { n.sendSessionCall(call, incarnation) })
}

func (n *simNode) sendSessionCall(call leadership.Call, incarnation int) {
	if n.alive && n.incarnation == incarnation && call.Kind == leadership.CallRenew {
		n.reachPausePoint(beforeRenewal)
	}
	if !n.alive || n.incarnation != incarnation || n.deferIfPaused(func() { n.sendSessionCall(call, incarnation) }) {
		return
	}
	if n.sessionToAbandon != 0 {
		n.session.Abandon(n.sessionToAbandon)
		n.sessionToAbandon = 0
		n.scheduleSessionCall(incarnation)
		return
	}
	n.session.Sending(n.ctl.clock())
	reply := new(leadership.Reply)
	execute := func() *state.Result { return n.executeSessionCall(call, reply) }
	onReply, onLost := func() { n.handleSessionReply(*reply, incarnation) }, func() { n.handleSessionReply(leadership.Reply{Outcome: leadership.Unclear}, incarnation) }
	if call.Kind == leadership.CallPut {
		n.sendTransaction(execute, onReply, onLost, 2*model.Second)
		return
	}
	n.sendStateRequest(func() func() { execute(); return onReply }, onLost, 2*model.Second)
}

// carryOut is a call of the session at the state service, with its reply. It returns the
// result if the call is a transaction.
func (n *simNode) executeSessionCall(call leadership.Call, reply *leadership.Reply) (result *state.Result) {
	key := "node/" + n.name
	err := error(nil)
	switch call.Kind {
	case leadership.CallRead:
		var entry *state.Entry
		if entry, err = n.sim.state.Get(n.name, key); err == nil {
			reply.Revision, reply.LeaseID = entry.Revision, entry.LeaseID
		}
	case leadership.CallRevoke:
		err = n.sim.state.EndLease(n.name, call.LeaseID)
	case leadership.CallGrant:
		reply.LeaseID, err = n.sim.state.GrantLease(n.name, n.ctl.authority.Times.TTL)
	case leadership.CallPut:
		result, err = n.sim.state.Commit(n.name, &state.Txn{Conditions: []state.Condition{{Path: key, Revision: call.Revision}},
			Then: []state.Op{{Set: key, Value: n.nodeRecord(call.LeaseID), LeaseID: call.LeaseID}}})
		if err == nil && !result.OK {
			reply.Outcome = leadership.Conflict
		}
	case leadership.CallRenew:
		err = n.sim.state.RenewLease(n.name, call.LeaseID)
	}
	if err == state.ErrMissing {
		reply.Outcome = leadership.Missing
	} else if err != nil {
		reply.Outcome = leadership.Unclear
	}
	return result
}

func (n *simNode) nodeRecord(session uint64) state.NodeRecord {
	record := state.NodeRecord{Session: session, Layout: state.Layout(n.ctl.operator.Spill != nil), MayHoldDuties: n.ctl.duties.mayHoldDuties}
	if n.runsProductionVersion {
		record.Layout = 0
	}
	return record
}

func (n *simNode) handleSessionReply(reply leadership.Reply, incarnation int) {
	if n.alive && n.incarnation == incarnation {
		n.reachPausePoint(renewalAnswer)
	}
	if !n.alive || n.incarnation != incarnation || n.deferIfPaused(func() { n.handleSessionReply(reply, incarnation) }) {
		return
	}
	if change := n.session.HandleReply(reply); change.Changed {
		n.send(msgSession{change.LeaseID, change.SentAt}, nil)
	}
	n.scheduleSessionCall(incarnation)
}

// request carries a request to the state service: it takes time, and may be
// lost, refused, or held and carried out late. do carries it out and returns
// what brings the answer; lost is called when timeout is over.
func (n *simNode) sendStateRequest(execute func() func(), onLost func(), timeout model.Micros) {
	sim, answered := n.sim, false
	finish := func(f func()) {
		if !answered {
			answered = true
			f()
		}
	}
	sim.After(timeout, func() { finish(onLost) })
	delay := sim.Between(model.Millisecond, 6*model.Millisecond+sim.stateLag)
	if sim.duplicateRequestChance > 0 && sim.Chance(sim.duplicateRequestChance) {
		sim.After(sim.Between(delay, 40*model.Second), func() { execute() })
	}
	if sim.Chance(0.01) {
		delay = sim.Between(100*model.Millisecond, 3*model.Second)
	}
	sim.After(delay, func() {
		switch n.stateLink {
		case linkDropping:
			return
		case linkHolding:
			n.heldRequests = append(n.heldRequests, func() { execute() })
			return
		}
		deliver := execute()
		if sim.Chance(0.01) {
			return // carried out, but the answer is lost
		}
		sim.After(sim.Between(model.Millisecond, 6*model.Millisecond), func() {
			if n.stateLink != linkDropping && n.stateLink != linkHolding {
				finish(deliver)
			}
		})
	})
}

// transact is request for a transaction: it may get no answer and be carried out
// later, after newer ones.
func (n *simNode) sendTransaction(execute func() *state.Result, onReply, onLost func(), timeout model.Micros) {
	sim := n.sim
	if sim.lateWriteChance == 0 || n.stateLink != linkOpen || !sim.Chance(sim.lateWriteChance) {
		n.sendStateRequest(func() func() { execute(); return onReply }, onLost, timeout)
		return
	}
	sim.After(sim.lateWriteDelay(), func() {
		result := execute()
		sim.lateWritesArrived++
		if result != nil && result.OK {
			sim.lateWritesApplied++
		}
	})
	sim.After(timeout, onLost)
}

// How long after it was sent a transaction without an answer is carried out.
func (sim *simDeployment) longWriteDelay() model.Micros {
	return sim.Between(2*model.Second, 12*model.Second)
}
func (sim *simDeployment) shortWriteDelay() model.Micros {
	return sim.Between(model.Millisecond, 6*model.Millisecond)
}

func (n *simNode) setStateLink(link int) {
	n.stateLink = link
	n.sim.state.RefusedNodes[n.name] = link == linkRefusing
	if link == linkOpen {
		for _, f := range n.heldRequests {
			f()
		}
		n.heldRequests = nil
	}
}
