package node

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"testing"

	"woadweir/internal/cloud"
	"woadweir/internal/config"
	"woadweir/internal/core/block"
	"woadweir/internal/core/lead"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/standin"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	if !testing.Verbose() {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	os.Exit(m.Run())
}

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
	w       *world
	name    string
	set     *config.Settings
	alive   bool
	life    int
	ctl     *controller
	ses     *lead.Session
	cut     int
	late    []func() // held requests
	workers bool     // workers reach it
	blind   bool     // its catch-ups get no answer, all else does
	hidden  bool     // users don't reach it
	alone   bool     // the other controllers do not reach it, nor it them
	pending []func() bool
	abandon uint64 // a session that the session actor is to end
	old     bool   // it runs the version in production, see upgrade_test.go
	noCloud bool   // the cloud refuses its requests
	paused  bool   // the process stands still, see pause_test.go
	waiting []func()
	pauseAt func(pausePoint) bool // tells whether the process stops there
	// intercept takes a transaction away if it returns true.
	intercept func(msgCommitted) bool
}

// world is a deployment in simulated time.
type world struct {
	*standin.Sim
	t     *testing.T
	state *standin.State
	cloud *standin.Cloud
	rules *standin.Rules
	nodes []*simNode
	users []*user
	// settings are read by a node whenever it starts.
	settings func(name string) *config.Settings
	policy   func(name string) *duty.Policy // the duties file, nil: none
	cell     *simCell                       // its part among other cells, nil: there are none

	cut     map[string]bool   // machines whose reports wait until the cut ends
	late    []func(*simNode)  // these reports, to be delivered to a node, or to the one they were sent to (nil)
	away    map[string]string // machines that can't reach the node
	deaf    map[string]bool   // machines whose reports arrive, but which hear nothing
	copies  float64           // chance that a report arrives once more, up to copyLate later
	repeats float64           // chance that a request to the state service or the cloud is carried out once more
	relayed int               // reports that were handed on and answered
	heard   []func()          // every report as it was delivered, if record is set
	record  bool

	mute        map[string]bool                          // machines that reach no controller
	reaches     func(x *standin.Worker, n *simNode) bool // whether a worker's network reaches a node; nil: it does
	lag         model.Micros                             // reports and answers take up to so much longer
	lateWrites  float64                                  // chance that a transaction gets no answer and is carried out later
	lateBy      func() model.Micros                      // how much later
	arrivedLate int                                      // such transactions that came to the state service
	wroteLate   int                                      // such transactions that changed something
	closeLooks  bool                                     // users ask at all nodes when they are told anything
	looked      int                                      // questions so asked that were answered
	stateLag    model.Micros                             // requests to the state service take up to so much longer
}

// copyLate is well over a lease.
const copyLate = 60 * model.Second

var simMachineTypes = []model.MachineType{
	{Name: "small", Cores: 8, MemoryGB: 32, CacheGB: 20, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
	{Name: "gpu", Cores: 16, GPUs: 4, MemoryGB: 64, CacheGB: 20, FetchGBps: 1, Price: 8, SpotPrice: 2, BootS: 6, Zones: []string{"a", "b"}},
}

func simSettings(name string) *config.Settings {
	s := &config.Settings{NodeName: name, ServeOn: "10.0.0.1:8080"}
	for _, n := range []string{"node-0", "node-1", "node-2"} {
		if n != name && len(s.Siblings) < 2 {
			s.Siblings = append(s.Siblings, config.Sibling{NodeName: n})
		}
	}
	s.Params.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 40, GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 20, CPUsMax: 30, GPUs: 0, GPUsMax: 4}}
	p := &s.Params
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 18, 30, 5, 38
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 100, 25, 32, 16
	p.Cloud.RPS, p.Cloud.ListLagS = 8, 3
	return s
}

// sockets are settings with so many sockets.
func sockets(n int, settings func(name string) *config.Settings) func(name string) *config.Settings {
	return func(name string) *config.Settings {
		s := settings(name)
		s.Params.Quota.FDLimit = n
		return s
	}
}

// capacity is so many machines of each type in each zone and of each kind.
func capacity(small, gpu int) map[string]int {
	m := map[string]int{}
	for _, y := range []string{"a", "b"} {
		for _, spot := range []bool{true, false} {
			m[fmt.Sprintf("small/%s/%v", y, spot)] = small
			m[fmt.Sprintf("gpu/%s/%v", y, spot)] = gpu
		}
	}
	return m
}

// newWorld is a small deployment: its fleet is soon full.
func newWorld(t *testing.T, seed uint64) *world {
	return newDeployment(t, seed, simSettings, capacity(4, 2))
}

func newDeployment(t *testing.T, seed uint64, settings func(name string) *config.Settings, capacity map[string]int) *world {
	sim, set := standin.NewSim(seed), settings("")
	rules := standin.NewRules(sim, set.Teams(), model.Seconds(set.Params.Workers.CancelS))
	w := newCell(t, sim, rules, settings, capacity)
	for i := range 3 {
		w.addNode(fmt.Sprintf("node-%d", i))
	}
	return w
}

// newCell is a deployment without controllers that shares time and rules with others.
func newCell(t *testing.T, sim *standin.Sim, rules *standin.Rules, settings func(name string) *config.Settings, capacity map[string]int) *world {
	w := &world{Sim: sim, rules: rules, t: t, settings: settings, away: map[string]string{}, deaf: map[string]bool{}, cut: map[string]bool{}, mute: map[string]bool{}}
	w.state = standin.NewState(w.Sim)
	ps := settings("").Params.Workers
	w.cloud = standin.NewCloud(w.Sim, w, w.rules, simMachineTypes, standin.Times{Report: model.Seconds(ps.ReportS), Lease: model.Seconds(ps.LeaseS),
		GangWait: model.Seconds(ps.GangWaitS), GangPeer: model.Seconds(ps.GangPeerS)})
	w.cloud.Capacity = capacity
	return w
}

// addNode starts one more controller.
func (w *world) addNode(name string) {
	n := &simNode{w: w, name: name, workers: true}
	w.nodes = append(w.nodes, n)
	n.start()
}

// Nodes and Checkin make the world a network for workers.
func (w *world) Nodes() []string {
	var ns []string
	for _, n := range w.nodes {
		ns = append(ns, n.name)
	}
	return ns
}

func (w *world) Checkin(x *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	n := w.nodes[slices.Index(w.Nodes(), node)]
	if w.away[x.ID] == node || w.mute[x.ID] || w.reaches != nil && !w.reaches(x, n) {
		return
	}
	if w.deaf[x.ID] {
		answer = func(int, []byte) {}
	}
	if w.cut[x.ID] {
		w.late = append(w.late, func(to *simNode) {
			if to == nil {
				to = n
			}
			w.deliverReport(to, body, w.Between(200, 2*model.Second), func(int, []byte) {})
		})
		return
	}
	w.deliverReport(n, body, w.Between(200, 2000+w.lag), answer)
	if w.copies > 0 && w.Chance(w.copies) {
		to := w.nodes[w.Rng.IntN(len(w.nodes))]
		w.deliverReport(to, body, w.Between(2*model.Second, copyLate), func(int, []byte) {})
	}
	if w.record {
		w.heard = append(w.heard, func() {
			for _, n := range w.nodes {
				w.deliverReport(n, body, 0, func(int, []byte) {})
			}
		})
	}
}

func (w *world) deliverReport(n *simNode, body []byte, after model.Micros, answer func(int, []byte)) {
	w.After(after, func() {
		if !n.alive || !n.workers {
			return
		}
		r, err := workerapi.ParseReport(body)
		if err != nil {
			panic(err)
		}
		n.handsOver(msgReport{report: r}, func(a workerAnswer) {
			back := w.Between(200, 2000+w.lag)
			if w.Chance(0.01) {
				back = 5 * model.Second // too late for the worker
			}
			give := func(a workerAnswer) { w.After(back, func() { answer(a.code, a.body) }) }
			if a.relay == "" {
				give(a)
				return
			}
			l := w.nodes[slices.Index(w.Nodes(), a.relay)]
			life := n.life
			fail := func() {
				n.deliver(life, msgRelayFailed{})
				give(a)
			}
			if l.alone || n.alone || l.old || !l.alive || w.Chance(0.01) {
				w.After(w.Between(0, 2500*model.Millisecond), fail)
				return
			}
			answered := false
			w.After(2500*model.Millisecond, func() {
				if !answered {
					answered = true
					fail()
				}
			})
			w.After(w.Between(200, 2000), func() {
				l.handsOver(msgReport{report: r, relayed: true}, func(b workerAnswer) {
					w.After(w.Between(200, 2000), func() {
						if answered || n.life != life {
							return
						}
						answered = true
						if b.code == 200 {
							w.relayed++
						}
						give(b)
					})
				})
			})
		})
	})
}

// handsOver gives the actor a report; f gets its answer.
func (n *simNode) handsOver(m msgReport, f func(workerAnswer)) {
	reply := make(chan workerAnswer, 1)
	m.reply = reply
	n.ask(m, func() bool {
		select {
		case a := <-reply:
			f(a)
			return true
		default:
			return false
		}
	})
}

func (n *simNode) start() {
	n.alive, n.life, n.pending = true, n.life+1, nil
	n.paused, n.waiting = false, nil
	n.set = n.w.settings(n.name)
	if n.old {
		n.set.Params.State.Next = simSettings("").Params.State.Next // which it does not know
	}
	spans := lead.Settle(30*model.Second, model.Seconds(n.set.Params.Workers.LeaseS), model.Seconds(n.set.Params.Workers.ReportS), model.Seconds(n.set.Params.Workers.CancelS))
	base := n.w.Now
	clock := func() model.Micros { return n.w.Now - base + 1 }
	op := config.DefaultOperator()
	if n.w.policy != nil && !n.old {
		op.Duties = n.w.policy(n.name)
	}
	if n.w.cell != nil {
		op.Spill = n.w.cell.policy
	}
	n.ctl = newController(n.set, op, spans, clock, n)
	if op.Spill != nil {
		n.ctl.cells = &simCells{n}
		n.ctl.jitter = n.w.Rng.Float64
	}
	n.ctl.wall = func() int64 { return int64(n.w.Now / 1000) }
	n.ses = lead.NewSession(spans.TTL)
	n.tick(n.life)
	n.session(n.life)
}

func (n *simNode) crash() {
	n.alive, n.pending = false, nil
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
	n.ctl.take(m)
	n.ctl.step()
	n.pending = slices.DeleteFunc(n.pending, func(f func() bool) bool { return f() })
}

func (n *simNode) session(life int) {
	call := n.ses.Next()
	n.w.After(call.After+1, func() { n.sessionCall(call, life) })
}

func (n *simNode) sessionCall(call lead.Call, life int) {
	if n.alive && n.life == life && call.Kind == lead.CallTouch {
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
	var r lead.Reply
	key := "node/" + n.name
	do := func() (res *state.Result) {
		err := error(nil)
		switch call.Kind {
		case lead.CallRead:
			var e *state.Entry
			if e, err = n.w.state.Get(n.name, key); err == nil {
				r.Stamp, r.ID = e.Stamp, e.Tenancy
			}
		case lead.CallEnd:
			err = n.w.state.End(n.name, call.ID)
		case lead.CallGrant:
			r.ID, err = n.w.state.Grant(n.name, n.ctl.auth.Spans.TTL)
		case lead.CallPut:
			res, err = n.w.state.Commit(n.name, &state.Txn{Guards: []state.Guard{{Path: key, Stamp: call.Stamp}},
				Then: []state.Op{{Set: key, Value: n.nodeRecord(call.ID), Tenancy: call.ID}}})
			if err == nil && !res.OK {
				r.Outcome = lead.Conflict
			}
		case lead.CallTouch:
			err = n.w.state.Touch(n.name, call.ID)
		}
		if err == state.ErrMissing {
			r.Outcome = lead.Missing
		} else if err != nil {
			r.Outcome = lead.Unclear
		}
		return res
	}
	back, lost := func() { n.sessionReply(r, life) }, func() { n.sessionReply(lead.Reply{Outcome: lead.Unclear}, life) }
	if call.Kind == lead.CallPut {
		n.transact(do, back, lost, 2*model.Second)
		return
	}
	n.request(func() func() { do(); return back }, lost, 2*model.Second)
}

func (n *simNode) nodeRecord(session uint64) state.NodeRecord {
	r := state.NodeRecord{Session: session, Layout: state.Layout(n.ctl.op.Spill != nil), Duties: n.ctl.duties.candidate}
	if n.old {
		r.Layout = 0
	}
	return r
}

func (n *simNode) sessionReply(r lead.Reply, life int) {
	if n.alive && n.life == life {
		n.reaches(renewalAnswer)
	}
	if !n.alive || n.life != life || n.stopped(func() { n.sessionReply(r, life) }) {
		return
	}
	if news := n.ses.Take(r); news.Any {
		n.ask(msgSession{news.ID, news.Sent}, nil)
	}
	n.session(life)
}

// request carries a request to the state service: it takes time, and may be
// lost, refused, or held and carried out late. do carries it out and returns
// what brings the answer; lost is called when patience is over.
func (n *simNode) request(do func() func(), lost func(), patience model.Micros) {
	w, answered := n.w, false
	give := func(f func()) {
		if !answered {
			answered = true
			f()
		}
	}
	w.After(patience, func() { give(lost) })
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
func (n *simNode) transact(do func() *state.Result, back, lost func(), patience model.Micros) {
	w := n.w
	if w.lateWrites == 0 || n.cut != open || !w.Chance(w.lateWrites) {
		n.request(func() func() { do(); return back }, lost, patience)
		return
	}
	w.After(w.lateBy(), func() {
		res := do()
		w.arrivedLate++
		if res != nil && res.OK {
			w.wroteLate++
		}
	})
	w.After(patience, lost)
}

// How long after it was sent a transaction without an answer is carried out.
func (w *world) afterNewer() model.Micros { return w.Between(2*model.Second, 12*model.Second) }
func (w *world) atOnce() model.Micros     { return w.Between(model.Millisecond, 6*model.Millisecond) }

func (n *simNode) setCut(kind int) {
	n.cut = kind
	n.w.state.Refused[n.name] = kind == refused
	if kind == open {
		for _, f := range n.late {
			f()
		}
		n.late = nil
	}
}

// The effects of the controller.

func (n *simNode) sync(from uint64, list bool) {
	life := n.life
	m := msgSynced{sent: n.ctl.clock()}
	if n.blind {
		n.w.After(syncPatience, func() { n.deliver(life, msgSynced{sent: m.sent, err: state.ErrLost}) })
		return
	}
	n.request(func() func() {
		if list {
			es, epoch, err := n.w.state.List(n.name)
			m.err = err
			m.view = state.NewView()
			m.view.Epoch = epoch
			for _, e := range es {
				e.Value = n.reads(e.Path, e.Value)
				if _, err := m.view.Set(e.Path, e.Value, e.Stamp); err != nil {
					panic(err)
				}
			}
		} else {
			m.changes, m.err = n.w.state.Watch(n.name, from)
			if m.err == nil {
				for i := range m.changes.Events {
					e := &m.changes.Events[i]
					e.Value = n.reads(e.Set, e.Value)
				}
			}
		}
		return func() { n.deliver(life, m) }
	}, func() { n.deliver(life, msgSynced{sent: m.sent, err: state.ErrLost}) }, syncPatience)
}

func (n *simNode) deliver(life int, m any) {
	if n.life == life {
		n.reaches(answerOf(m))
		n.ask(m, nil)
	}
}

func (n *simNode) commit(m msgCommitted) {
	if n.intercept != nil && n.intercept(m) {
		return
	}
	if point := pointOf(m); n.reaches(point) || n.paused {
		n.stopped(func() { n.commit(m) })
		return
	}
	life := n.life
	txn := n.writes(m.txn)
	lost := m
	lost.err = state.ErrLost
	n.transact(func() *state.Result {
		m.res, m.err = n.w.state.Commit(n.name, txn)
		return m.res
	}, func() { n.deliver(life, m) }, func() { n.deliver(life, lost) }, commitPatience)
}

func (n *simNode) cloudCall(f func() any) {
	life := n.life
	n.w.After(n.w.Between(50*model.Millisecond, 200*model.Millisecond), func() {
		m := f()
		n.w.After(50*model.Millisecond, func() { n.deliver(life, m) })
	})
}

func (n *simNode) flavors() {
	n.cloudCall(func() any {
		if n.w.cloud.Down || n.noCloud {
			return msgMachineTypes{err: cloud.ErrTrouble}
		}
		return msgMachineTypes{builds: n.w.cloud.MachineTypes}
	})
}

func (n *simNode) list() {
	sent := n.ctl.clock()
	n.cloudCall(func() any {
		ms, err := n.w.cloud.List()
		if n.noCloud {
			err = cloud.ErrTrouble
		}
		return msgListed{sent, ms, err}
	})
}

func (n *simNode) rent(m msgRented) {
	if n.reaches(beforeRent) || n.paused {
		n.stopped(func() { n.rent(m) })
		return
	}
	n.cloudCall(func() any {
		if n.noCloud {
			m.err = cloud.ErrTrouble
			return m
		}
		m.machines, m.err = n.w.cloud.Rent(&m.rental)
		n.w.cloudAgain(func() { _, _ = n.w.cloud.Rent(&m.rental) })
		return m
	})
}

func (n *simNode) remove(m msgDeleted) {
	if n.reaches(beforeDelete) || n.paused {
		n.stopped(func() { n.remove(m) })
		return
	}
	n.cloudCall(func() any {
		if n.noCloud {
			m.err = cloud.ErrTrouble
			return m
		}
		m.err = n.w.cloud.Delete(m.refs)
		n.w.cloudAgain(func() { _ = n.w.cloud.Delete(m.refs) })
		return m
	})
}

// cloudAgain has a late copy of a call carried out, if copies come late in this world.
func (w *world) cloudAgain(call func()) {
	if w.repeats > 0 && w.Chance(w.repeats) {
		w.After(w.Between(model.Second, 60*model.Second), call)
	}
}

func (n *simNode) ping() {
	life := n.life
	n.w.After(2*model.Millisecond, func() {
		var m msgPinged
		for _, o := range n.w.nodes {
			if o == n || !o.alive || o.paused || o.alone || n.alone {
				continue
			}
			m.alive++
			reply := make(chan pinged, 1)
			o.ask(msgReached{reply}, nil)
			p := <-reply
			m.workers += p.workers
			if !o.old {
				m.relays = append(m.relays, o.name)
			}
			if p.reached {
				m.helpers = append(m.helpers, o.name)
			}
		}
		n.deliver(life, m)
	})
}

func (n *simNode) resign(session uint64, helper string) {
	n.abandon = session
	o := n
	if helper != "" {
		if n.alone {
			return
		}
		o = n.w.nodes[slices.Index(n.w.Nodes(), helper)]
	}
	o.request(func() func() {
		_ = n.w.state.End(o.name, session) // what is lost is lost
		return func() {}
	}, func() {}, 2*model.Second)
}

// --- users

// user submits a job with retries, polls until its end, and may cancel it.
type user struct {
	w        *world
	sub      *model.Submission
	accepted bool
	ended    string
	cancelAt model.Micros
	asked    bool
	deadline model.Micros
	then     func()   // once, when it is accepted
	via      *simNode // the node at which it cancels, any one if it is nil
}

func (w *world) submit(sub *model.Submission, cancelAfter model.Micros) *user {
	u := &user{w: w, sub: sub, deadline: w.Now + 60*model.Second}
	w.rules.Subs[sub.ID], w.rules.Awaits[sub.ID] = sub.Job(0), sub.Awaits
	if cancelAfter > 0 {
		u.cancelAt = w.Now + cancelAfter
	}
	w.users = append(w.users, u)
	if w.cell != nil {
		w.rules.Homes[sub.ID] = w.cell.name
	}
	u.post()
	return u
}

// call asks a node, any one if it is nil; f gets code 0 if there is no answer.
func (w *world) call(to *simNode, patience model.Micros, msg func(chan<- userapi.Answer) any, f func(userapi.Answer)) {
	answered := false
	give := func(a userapi.Answer) {
		if !answered {
			answered = true
			f(a)
		}
	}
	w.After(patience, func() { give(userapi.Answer{}) })
	if to == nil {
		to = w.nodes[w.Rng.IntN(len(w.nodes))]
	}
	var send func(n *simNode, forwarded bool)
	send = func(n *simNode, forwarded bool) {
		if !n.alive || n.hidden && !forwarded {
			return
		}
		reply := make(chan userapi.Answer, 1)
		n.ask(msg(reply), func() bool {
			select {
			case a := <-reply:
				w.After(model.Millisecond, func() {
					if a.Helper != "" && !forwarded {
						send(w.nodes[slices.Index(w.Nodes(), a.Helper)], true)
						return
					}
					give(a)
				})
				return true
			default:
				return false
			}
		})
	}
	w.After(model.Millisecond, func() { send(to, false) })
}

func (u *user) post() {
	asked := u.w.Now
	u.w.call(nil, 5*model.Second, func(r chan<- userapi.Answer) any {
		s := *u.sub
		return msgSubmit{s.ID, &s, nil, r}
	}, func(a userapi.Answer) {
		switch a.Code {
		case 200, 201:
			u.accepted = true
			u.w.rules.Tell(u.sub.ID, a.Code, a.Body, asked)
			u.look()
			if u.then != nil {
				u.then()
				u.then = nil
			}
			u.poll()
		default:
			if u.w.Now < u.deadline {
				u.w.After(model.Second, u.post)
			}
		}
	})
}

func (u *user) poll() {
	if u.cancelAt > 0 && u.w.Now >= u.cancelAt {
		u.cancel(nil)
	}
	asked := u.w.Now
	u.w.call(nil, 2*model.Second, func(r chan<- userapi.Answer) any { return msgStatusQuery{u.sub.ID, r} }, func(a userapi.Answer) {
		u.w.rules.Tell(u.sub.ID, a.Code, a.Body, asked)
		if u.ended == "" && u.w.rules.Ended(u.sub.ID) != "" {
			u.look()
		}
		if u.ended = u.w.rules.Ended(u.sub.ID); u.ended == "" || u.w.Chance(0.5) {
			u.w.After(3*model.Second, u.poll)
		}
	})
}

func (u *user) withdraw() {
	asked := u.w.Now
	u.w.call(u.via, 5*model.Second, func(r chan<- userapi.Answer) any { return msgCancel{u.sub.ID, r} }, func(a userapi.Answer) {
		u.w.rules.Tell(u.sub.ID, a.Code, a.Body, asked)
		if a.Code != 200 {
			u.w.After(model.Second, u.withdraw)
			return
		}
		u.look()
	})
}

// cancel has the job withdrawn through a node, any one if it is nil.
func (u *user) cancel(via *simNode) {
	if !u.asked {
		u.asked, u.via = true, via
		u.w.rules.Ask(u.sub.ID)
		u.withdraw()
	}
}

// look has the user ask at every node within milliseconds, and repeat the submission
// there, as it was, altered or with a field missing: none may say anything older than
// what the user was told, nor refuse a job that was accepted.
func (u *user) look() {
	w := u.w
	if !w.closeLooks {
		return
	}
	ref := u.sub.ID
	other := *u.sub
	other.Team, other.Tasks = "nobody", other.Tasks+1
	for _, n := range w.nodes {
		for _, msg := range []func(r chan<- userapi.Answer) any{
			func(r chan<- userapi.Answer) any { return msgStatusQuery{ref, r} },
			func(r chan<- userapi.Answer) any { same := *u.sub; return msgSubmit{ref, &same, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{ref, &other, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{ref, nil, errors.New("pieces is missing"), r} },
		} {
			w.After(w.Between(0, 5*model.Millisecond), func() {
				asked := w.Now
				w.call(n, 2*model.Second, msg, func(a userapi.Answer) {
					w.rules.Tell(ref, a.Code, a.Body, asked)
					if a.Code == 200 {
						w.looked++
					}
				})
			})
		}
	}
}

func (w *world) check() {
	w.t.Helper()
	w.rules.Check()
	if len(w.rules.Broken) > 0 {
		w.t.Fatalf("rules broken: %v", w.rules.Broken)
	}
}

func (w *world) leader() *simNode {
	for _, n := range w.nodes {
		if n.alive && n.ctl.leading != nil && n.ctl.auth.Holds(n.ctl.clock()) {
			return n
		}
	}
	return nil
}

func sweepJob(i, tasks int, guess float64) *model.Submission {
	return &model.Submission{ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks,
		Cores: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: guess}
}

func gangJob(i, tasks int, guess float64) *model.Submission {
	s := sweepJob(i, tasks, guess)
	s.Kind, s.Priority, s.Cores, s.AllowsSpot, s.CheckpointS, s.SaveS, s.Team = "gang", "urgent", 3, false, 5, 1, "blue"
	return s
}

// describe is for failure messages.
func (w *world) describe() string {
	s := w.cloud.Describe()
	for _, n := range w.nodes {
		s += fmt.Sprintf("%s: alive %v, session %d, holds %v, busy %v, syncing %v", n.name, n.alive, n.ctl.session, n.ctl.auth.Holds(n.ctl.clock()), n.ctl.busy, n.ctl.syncing)
		if l := n.ctl.leading; l != nil {
			s += fmt.Sprintf(", leads: ready %v, resync %v, queued %d, budget %d", l.ready, l.resync, l.block.Queued(), n.ctl.budget.Left(n.ctl.clock()))
		}
		s += "\n"
	}
	return s
}

func simReport(machine string) *block.Report {
	return &block.Report{Machine: machine, MachineType: "small", Zone: "a", Session: 1, Sequence: 1}
}
