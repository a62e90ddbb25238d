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
	open    = iota
	dropped // requests vanish
	holding // requests wait, and are carried out when the cut ends
	refused // the service answers 503 to this node alone
)

// simNode is a controller in simulated time: the real actor, with scripted
// peers in the place of sockets.
type simNode struct {
	w           *world
	name        string
	set         *config.Settings
	alive       bool
	life        int
	ctl         *controller
	ses         *leadership.Session
	cut         int
	late        []func() // held requests
	workers     bool     // workers reach it
	syncsLost   bool     // its catch-ups get no answer, all else does
	usersCutOff bool     // users don't reach it
	peersCutOff bool     // the other controllers do not reach it, nor it them
	pending     []func() bool
	abandon     uint64 // a session that the session actor is to end
	old         bool   // it runs the version in production, see upgrade_test.go
	noCloud     bool   // the cloud refuses its requests
	paused      bool   // the process stands still, see pause_test.go
	waiting     []func()
	pauseAt     func(pausePoint) bool // tells whether the process stops there
	// intercept takes a transaction away if it returns true.
	intercept func(msgCommitted) bool
}

func (n *simNode) start() {
	n.alive, n.life, n.pending = true, n.life+1, nil
	n.paused, n.waiting = false, nil
	n.set = n.w.settings(n.name)
	if n.old {
		n.set.Params.State.Next = simSettings("").Params.State.Next // which it does not know
	}
	leaseTimes := leadership.ComputeLeaseTimes(30*model.Second, model.Seconds(n.set.Params.Workers.LeaseS), model.Seconds(n.set.Params.Workers.ReportS), model.Seconds(n.set.Params.Workers.CancelS))
	base := n.w.Now
	clock := func() model.Micros { return n.w.Now - base + 1 }
	op := config.DefaultOperatorSettings()
	if n.w.policy != nil && !n.old {
		op.Duties = n.w.policy(n.name)
	}
	if n.w.cell != nil {
		op.Spill = n.w.cell.policy
	}
	n.ctl = newController(n.set, op, leaseTimes, clock, n)
	if op.Spill != nil {
		n.ctl.cells = &simCells{n}
		n.ctl.jitter = n.w.Rand.Float64
	}
	n.ctl.wallClockMs = func() int64 { return int64(n.w.Now / 1000) }
	n.ses = leadership.NewSession(leaseTimes.TTL)
	n.tick(n.life)
	n.session(n.life)
}

func (n *simNode) crash() {
	n.alive, n.pending = false, nil
}

// crashFor ends a controller, and starts it again after that time.
func (n *simNode) crashFor(down model.Micros) {
	n.crash()
	n.w.After(down, n.start)
}

func (n *simNode) tick(life int) {
	if !n.alive || n.life != life {
		return
	}
	if !n.paused { // ticks that nobody takes are dropped
		n.ask(msgTick{}, nil)
	}
	n.w.After(50*model.Millisecond, func() { n.tick(life) })
}

// ask hands a message to the actor; check is called until it says that the
// answer has come.
func (n *simNode) ask(m any, check func() bool) {
	if !n.alive || n.stopped(func() { n.ask(m, check) }) {
		return
	}
	if check != nil {
		n.pending = append(n.pending, check)
	}
	n.ctl.handle(m)
	n.ctl.step()
	n.pending = slices.DeleteFunc(n.pending, func(f func() bool) bool { return f() })
}

func (n *simNode) session(life int) {
	call := n.ses.Next()
	n.w.After(call.After+1, func() { n.sessionCall(call, life) })
}

func (n *simNode) sessionCall(call leadership.Call, life int) {
	if n.alive && n.life == life && call.Kind == leadership.CallRenew {
		n.reaches(beforeRenewal)
	}
	if !n.alive || n.life != life || n.stopped(func() { n.sessionCall(call, life) }) {
		return
	}
	if n.abandon != 0 {
		n.ses.Abandon(n.abandon)
		n.abandon = 0
		n.session(life)
		return
	}
	n.ses.Sending(n.ctl.clock())
	r := new(leadership.Reply)
	do := func() *state.Result { return n.carryOut(call, r) }
	back, lost := func() { n.sessionReply(*r, life) }, func() { n.sessionReply(leadership.Reply{Outcome: leadership.Unclear}, life) }
	if call.Kind == leadership.CallPut {
		n.transact(do, back, lost, 2*model.Second)
		return
	}
	n.request(func() func() { do(); return back }, lost, 2*model.Second)
}

// carryOut is a call of the session at the state service, with its reply. It returns the
// result if the call is a transaction.
func (n *simNode) carryOut(call leadership.Call, r *leadership.Reply) (res *state.Result) {
	key := "node/" + n.name
	err := error(nil)
	switch call.Kind {
	case leadership.CallRead:
		var e *state.Entry
		if e, err = n.w.state.Get(n.name, key); err == nil {
			r.Revision, r.LeaseID = e.Revision, e.LeaseID
		}
	case leadership.CallRevoke:
		err = n.w.state.EndLease(n.name, call.LeaseID)
	case leadership.CallGrant:
		r.LeaseID, err = n.w.state.GrantLease(n.name, n.ctl.authority.Times.TTL)
	case leadership.CallPut:
		res, err = n.w.state.Commit(n.name, &state.Txn{Conditions: []state.Condition{{Path: key, Revision: call.Revision}},
			Then: []state.Op{{Set: key, Value: n.nodeRecord(call.LeaseID), LeaseID: call.LeaseID}}})
		if err == nil && !res.OK {
			r.Outcome = leadership.Conflict
		}
	case leadership.CallRenew:
		err = n.w.state.RenewLease(n.name, call.LeaseID)
	}
	if err == state.ErrMissing {
		r.Outcome = leadership.Missing
	} else if err != nil {
		r.Outcome = leadership.Unclear
	}
	return res
}

func (n *simNode) nodeRecord(session uint64) state.NodeRecord {
	r := state.NodeRecord{Session: session, Layout: state.Layout(n.ctl.operator.Spill != nil), MayHoldDuties: n.ctl.duties.mayHoldDuties}
	if n.old {
		r.Layout = 0
	}
	return r
}

func (n *simNode) sessionReply(r leadership.Reply, life int) {
	if n.alive && n.life == life {
		n.reaches(renewalAnswer)
	}
	if !n.alive || n.life != life || n.stopped(func() { n.sessionReply(r, life) }) {
		return
	}
	if change := n.ses.HandleReply(r); change.Changed {
		n.ask(msgSession{change.LeaseID, change.SentAt}, nil)
	}
	n.session(life)
}

// request carries a request to the state service: it takes time, and may be
// lost, refused, or held and carried out late. do carries it out and returns
// what brings the answer; lost is called when timeout is over.
func (n *simNode) request(do func() func(), lost func(), timeout model.Micros) {
	w, answered := n.w, false
	give := func(f func()) {
		if !answered {
			answered = true
			f()
		}
	}
	w.After(timeout, func() { give(lost) })
	there := w.Between(model.Millisecond, 6*model.Millisecond+w.stateLag)
	if w.repeats > 0 && w.Chance(w.repeats) {
		w.After(w.Between(there, 40*model.Second), func() { do() })
	}
	if w.Chance(0.01) {
		there = w.Between(100*model.Millisecond, 3*model.Second)
	}
	w.After(there, func() {
		switch n.cut {
		case dropped:
			return
		case holding:
			n.late = append(n.late, func() { do() })
			return
		}
		back := do()
		if w.Chance(0.01) {
			return // carried out, but the answer is lost
		}
		w.After(w.Between(model.Millisecond, 6*model.Millisecond), func() {
			if n.cut != dropped && n.cut != holding {
				give(back)
			}
		})
	})
}

// transact is request for a transaction: it may get no answer and be carried out
// later, after newer ones.
func (n *simNode) transact(do func() *state.Result, back, lost func(), timeout model.Micros) {
	w := n.w
	if w.lateWrites == 0 || n.cut != open || !w.Chance(w.lateWrites) {
		n.request(func() func() { do(); return back }, lost, timeout)
		return
	}
	w.After(w.lateBy(), func() {
		res := do()
		w.arrivedLate++
		if res != nil && res.OK {
			w.wroteLate++
		}
	})
	w.After(timeout, lost)
}

// How long after it was sent a transaction without an answer is carried out.
func (w *world) afterNewer() model.Micros { return w.Between(2*model.Second, 12*model.Second) }
func (w *world) atOnce() model.Micros     { return w.Between(model.Millisecond, 6*model.Millisecond) }

func (n *simNode) setCut(kind int) {
	n.cut = kind
	n.w.state.RefusedNodes[n.name] = kind == refused
	if kind == open {
		for _, f := range n.late {
			f()
		}
		n.late = nil
	}
}
