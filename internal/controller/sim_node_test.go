package controller

import (
	"slices"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// States of the connection between a node and the state service, or between two cells.
const (
	linkOpen     = iota
	linkDropping // requests are lost
	linkHolding  // requests are held, and executed when the link is open again
	linkRefusing // the service answers 503 to this node only
)

// simNode is a controller in simulated time: the real actor, with direct calls between
// controllers instead of sockets.
type simNode struct {
	sim                   *simDeployment
	name                  string
	settings              *config.Settings
	alive                 bool
	incarnation           int // number of starts
	ctl                   *controller
	session               *leadership.Session
	stateLink             int                   // state of the connection to the state service: linkOpen and so on
	heldRequests          []func()              // executed when stateLink is open again
	reachableByWorkers    bool                  // workers' heartbeats arrive
	syncsLost             bool                  // only its synchronizations get no answer
	usersCutOff           bool                  // users' requests do not arrive
	peersCutOff           bool                  // it does not reach the other controllers, nor they it
	pendingReplies        []func() bool         // each reports whether its reply has arrived
	sessionToAbandon      uint64                // a session that the session loop is to abandon, 0: none
	runsProductionVersion bool                  // simulates the version in production, see upgrade_test.go
	cloudUnavailable      bool                  // its requests to the cloud fail
	paused                bool                  // the process is paused, see sim_pause_test.go
	deferredCalls         []func()              // run when the process resumes
	shouldPause           func(pausePoint) bool // reports whether the process pauses at a point; nil: at none
	// intercept returns true to keep a transaction from being sent.
	intercept func(msgCommitted) bool
}

// start starts the controller with newly read settings and an empty state.
func (n *simNode) start() {
	n.alive, n.incarnation, n.pendingReplies = true, n.incarnation+1, nil
	n.paused, n.deferredCalls = false, nil
	n.settings = n.sim.settings(n.name)
	if n.runsProductionVersion {
		n.settings.Params.State.Next = simSettings("").Params.State.Next // the production version does not know the setting
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

// crash ends the process; replies that are pending are lost.
func (n *simNode) crash() {
	n.alive, n.pendingReplies = false, nil
}

// crashFor ends the process and restarts it after the downtime.
func (n *simNode) crashFor(downtime model.Micros) {
	n.crash()
	n.sim.After(downtime, n.start)
}

// tick sends the controller a tick every 50 ms until its process ends.
func (n *simNode) tick(incarnation int) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	if !n.paused { // a paused process misses its ticks
		n.send(msgTick{}, nil)
	}
	n.sim.After(50*model.Millisecond, func() { n.tick(incarnation) })
}

// send passes a message to the controller, or defers it while the process is paused.
// answered, if it is not nil, is called after each message until it reports that the answer
// has arrived.
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

// scheduleSessionCall schedules the session's next call to the state service.
func (n *simNode) scheduleSessionCall(incarnation int) {
	call := n.session.Next()
	n.sim.After(call.After+1, func() { n.sendSessionCall(call, incarnation) })
}

// sendSessionCall sends a call of the session, unless the session is to be abandoned.
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

// executeSessionCall executes a call of the session at the state service and fills in its
// reply. It returns the result if the call is a transaction.
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

// nodeRecord returns the record that announces this node's session, the newest record layout
// that it can read, and whether it may hold duties.
func (n *simNode) nodeRecord(session uint64) state.NodeRecord {
	record := state.NodeRecord{Session: session, Layout: state.Layout(n.ctl.operator.Spill != nil), MayHoldDuties: n.ctl.duties.mayHoldDuties}
	if n.runsProductionVersion {
		record.Layout = 0
	}
	return record
}

// handleSessionReply passes a reply to the session, notifies the controller if the session has
// changed, and schedules the next call.
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

// sendStateRequest sends a request to the state service. It takes time, and may be lost,
// refused, executed twice, or held and executed late. execute executes it and returns the function that
// delivers the answer; onLost is called if no answer has arrived after timeout.
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
			return // executed, but the answer is lost
		}
		sim.After(sim.Between(model.Millisecond, 6*model.Millisecond), func() {
			if n.stateLink != linkDropping && n.stateLink != linkHolding {
				finish(deliver)
			}
		})
	})
}

// sendTransaction sends a transaction like sendStateRequest. With probability lateWriteChance
// it gets no answer and is executed later, possibly after newer ones.
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

// longWriteDelay returns a delay for lateWriteDelay that lets newer transactions be executed
// first.
func (sim *simDeployment) longWriteDelay() model.Micros {
	return sim.Between(2*model.Second, 12*model.Second)
}

// shortWriteDelay returns a delay for lateWriteDelay in the range of ordinary requests.
func (sim *simDeployment) shortWriteDelay() model.Micros {
	return sim.Between(model.Millisecond, 6*model.Millisecond)
}

// setStateLink changes the connection to the state service; the requests that were held are
// executed when it is open again.
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
