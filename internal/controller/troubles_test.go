package controller

import (
	"slices"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// running waits until something of a job runs, and gives a machine that has it.
func (w *world) running(tasks int) *standin.Worker {
	w.t.Helper()
	w.until(60*model.Second, "tasks run", func() bool { return w.rules.TasksOnMachines() >= tasks })
	for _, x := range w.cloud.Workers() {
		if x.TaskCount() > 0 {
			return x
		}
	}
	w.t.Fatal("no machine has a task")
	return nil
}

// A machine whose reports arrive while it hears nothing ends its tasks with its
// lease. None is started twice, none is waited for without end, it gets no more
// work, and it is returned; also when another controller takes over meanwhile,
// whose token it never sees.
func TestMachineWithoutResponses(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := newWorld(t, 21)
		u := w.submit(arrayJob(1, 12, 50), 0)
		x := w.running(12)
		w.responsesLost[x.ID] = true
		if takeover {
			w.leader().crash()
		}
		w.Run(w.Now + 25*model.Second)
		if n := x.TaskCount(); n != 0 {
			t.Fatalf("takeover %v: %d tasks on a machine without a lease", takeover, n)
		}
		l := w.leader()
		if l == nil {
			t.Fatal("nobody leads")
		}
		w.submit(arrayJob(2, 30, 5), 0)
		w.until(80*model.Second, "it is returned", func() bool {
			h := l.ctl.leading.shard.Machines[x.ID]
			for _, y := range w.cloud.Workers() {
				if y == x {
					return false
				}
			}
			return h == nil
		})
		w.until(100*model.Second, "its work is done elsewhere", func() bool { return u.ended == "done" })
		w.check()
	}
}

// When no machine hears, the fault may be the controller's: they are not all
// returned, and go on once they hear again.
func TestFleetWithoutResponsesIsNotReturned(t *testing.T) {
	w := newWorld(t, 32)
	u := w.submit(arrayJob(1, 16, 40), 0)
	w.running(16)
	before := w.cloud.Workers()
	for _, x := range before {
		w.responsesLost[x.ID] = true
	}
	w.Run(w.Now + 60*model.Second)
	clear(w.responsesLost)
	now := w.cloud.Workers()
	for _, x := range before {
		if !slices.Contains(now, x) {
			t.Errorf("%s was returned", x.ID)
		}
	}
	w.until(150*model.Second, "it is done", func() bool { return u.ended == "done" })
	w.check()
}

// Copies of reports come late, from seconds to well over a lease, to any
// controller, across a takeover and machines that are gone: they revive nothing,
// and nothing runs twice.
func TestLateDuplicatesOfHeartbeats(t *testing.T) {
	w := newWorld(t, 22)
	w.duplicateHeartbeats = 0.5
	var us []*user
	for i := range 8 {
		us = append(us, w.submit(arrayJob(i, 8, 12), 0))
		us = append(us, w.submit(gangJob(20+i, 2, 15), 0))
	}
	w.Run(50 * model.Second)
	w.leader().crash()
	w.Run(w.Now + 20*model.Second)
	w.startAll()
	w.Run(400 * model.Second)
	w.check()
	for _, u := range us {
		if u.ended != "done" {
			t.Errorf("%s: %q", u.sub.ID, u.ended)
		}
	}
	if n := w.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented", n)
	}
}

// A new holder remembers no sequence number. All the reports that machines ever sent, told
// to it once more, free no binding, start nothing, and show no machine up.
func TestNewHolderIgnoresOldHeartbeats(t *testing.T) {
	w := newWorld(t, 23)
	w.recordsHeartbeats = true
	w.submit(arrayJob(1, 12, 300), 0)
	x := w.running(12)
	w.Run(w.Now + 5*model.Second)
	old := w.recordedHeartbeats
	w.recordsHeartbeats = false
	w.leader().crash()
	x.Terminate()
	for _, y := range w.cloud.Workers() {
		y.SetHung(true) // only the copies speak
	}
	w.until(15*model.Second, "another leads", func() bool { l := w.leader(); return l != nil && l.ctl.leading.ready })
	l := w.leader().ctl.leading
	bound := func() (n int) {
		for _, js := range l.shard.Jobs {
			n += js.BindingCount()
		}
		return n
	}
	before, starts := bound(), w.rules.Starts
	took := w.Now
	for range 3 {
		repeatAll(old)
		w.Run(w.Now + 3*model.Second)
	}
	if w.Now > took+15*model.Second {
		t.Fatal("the leases may be over by now")
	}
	if n := bound(); n != before || before != 12 {
		t.Errorf("%d of %d bindings are left after copies of old reports", n, before)
	}
	if n := w.rules.Starts - starts; n != 0 {
		t.Errorf("%d starts", n)
	}
	for ref, h := range l.shard.Machines {
		if h.ReceivesAnswers || h.Up {
			t.Errorf("%s: hears %v, is up %v", ref, h.ReceivesAnswers, h.Up)
		}
	}
	w.check()
}

// A controller loses the state service and the other controllers, but not its
// workers. Its authority ends in time, a successor takes over without a broken
// rule, and a cancellation that it never saw is kept.
func TestControllerAloneWithItsWorkers(t *testing.T) {
	w := newWorld(t, 24)
	w.submit(arrayJob(1, 12, 90), 0)
	u := w.submit(arrayJob(2, 6, 90), 0)
	w.running(18)
	n := w.leader()
	n.setCut(dropped)
	n.peersCutOff = true
	cut := w.Now
	u.cancelAt = w.Now + 2*model.Second
	w.until(n.ctl.authority.Times.TTL+3*model.Second, "a successor leads", func() bool { l := w.leader(); return l != nil && l != n && l.ctl.leading.ready })
	if n.ctl.authority.IsValid(n.ctl.clock()) {
		t.Fatal("two hold authority")
	}
	w.until(30*model.Second, "the cancellation is answered", func() bool { return u.ended == "withdrawn" })
	w.Run(cut + 80*model.Second)
	n.setCut(open)
	n.peersCutOff = false
	w.Run(w.Now + 60*model.Second)
	w.check()
	if got := w.rules.Starts; got > 18 {
		t.Errorf("%d starts for 18 tasks: running work was lost", got)
	}
}

// elections are the transactions by which controllers tried to lead.
type elections struct{ txns []*state.Txn }

// crashInElections has every other election carried out while the process ends before it
// gets the answer, and starts again at once.
func (w *world) crashInElections() *elections {
	seen := new(elections)
	for _, n := range w.nodes {
		n.intercept = func(m msgCommitted) bool {
			if m.lane != laneElection {
				return false
			}
			seen.txns = append(seen.txns, m.txn)
			if len(seen.txns)%2 == 0 {
				return false
			}
			_, _ = w.state.Commit(n.name, m.txn) // whatever comes of it
			n.crashFor(w.Between(10*model.Millisecond, 300*model.Millisecond))
			return true
		}
	}
	return seen
}

func (w *world) requireOneLeaderAtMost() {
	w.t.Helper()
	leaders := 0
	for _, n := range w.nodes {
		if n.alive && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
			leaders++
		}
	}
	if leaders > 1 {
		w.t.Fatalf("%d lead", leaders)
	}
}

// Controllers that are back within a fraction of a second, in the middle of
// elections, while requests of their former selves are carried out once more
// long afterwards: one leads at a time, and nothing is forgotten or run twice.
func TestQuickRestartsInElections(t *testing.T) {
	w := newWorld(t, 25)
	w.repeats = 0.3
	var us []*user
	for i := range 6 {
		us = append(us, w.submit(arrayJob(i, 8, 20), 0))
	}
	w.running(20)
	elections := w.crashInElections()
	for range 5 {
		if l := w.leader(); l != nil {
			l.crashFor(w.Between(10*model.Millisecond, 300*model.Millisecond))
		}
		w.Run(w.Now + 3*model.Second)
		w.requireOneLeaderAtMost()
	}
	for _, n := range w.nodes {
		n.intercept = nil
	}
	w.waitForLeader(20 * model.Second)
	token := w.leader().ctl.leading.token
	for _, e := range elections.txns {
		if res, err := w.state.Commit("", e); err == nil && res.OK {
			t.Fatalf("a former election is carried out: %v, %v", res, err)
		}
	}
	if now := w.leader().ctl.leading.token; now != token {
		t.Fatalf("token %d after %d", now, token)
	}
	w.until(200*model.Second, "all is done", func() bool { return allDone(us) })
	w.check()
}

// A machine that is back within a fraction of a second has lost its tasks, in a
// new session: they run again, and none twice at once.
func TestMachineBackAtOnce(t *testing.T) {
	w := newWorld(t, 26)
	u := w.submit(arrayJob(1, 12, 20), 0)
	w.running(12)
	for range 3 {
		for _, x := range w.cloud.Workers() {
			x.Restart()
		}
		w.Run(w.Now + 300*model.Millisecond)
	}
	w.until(120*model.Second, "it is done", func() bool { return u.ended == "done" })
	w.check()
}

// overload is a time in which far more is submitted than can be taken.
type overload struct {
	*world
	end             model.Micros
	next            int // the number of the last job
	refused         int // submissions that were refused
	heldBack        int // those of them whose answer took long
	asked, answered int // questions about a job that was accepted before
}

// flood submits 400 jobs a second at each controller; 25 changes a second may be made.
func (o *overload) flood() {
	if o.Now >= o.end {
		return
	}
	for _, n := range o.nodes {
		if !n.alive {
			continue
		}
		for range 20 {
			o.submitTo(n)
		}
	}
	o.After(50*model.Millisecond, o.flood)
}

func (o *overload) submitTo(n *simNode) {
	o.next++
	reply := make(chan userapi.Answer, 1)
	asked := o.Now
	s := arrayJob(o.next, 1, 1)
	o.rules.Submitted[s.ID] = s.Job(0)
	n.ask(msgSubmit{s.ID, s, nil, reply}, func() bool {
		select {
		case a := <-reply:
			o.rules.CheckAnswer(s.ID, a.Code, a.Body, asked)
			o.countRefusal(a, asked)
			return true
		default:
			return false
		}
	})
}

func (o *overload) countRefusal(a userapi.Answer, asked model.Micros) {
	if a.Code != 429 && a.Code != 503 {
		return
	}
	o.refused++
	if a.RetryAfter == 0 {
		o.t.Fatalf("refused with %d without a time to come back", a.Code)
	}
	if o.Now > asked+2*model.Second {
		o.heldBack++
	}
}

// ask asks about a job twice a second.
func (o *overload) ask(job *user) {
	if o.Now >= o.end {
		return
	}
	o.asked++
	o.call(nil, 2*model.Second, func(r chan<- userapi.Answer) any { return msgStatusRequest{job.sub.ID, r} }, func(a userapi.Answer) {
		if a.Code == 200 {
			o.answered++
		}
	})
	o.After(500*model.Millisecond, func() { o.ask(job) })
}

// While far more is submitted than can be taken, what is refused is refused at
// once with when to come back, every question about an accepted job is answered,
// cancellations go through, and what was accepted runs: also right after a
// takeover.
func TestQuestionsAreAnsweredUnderOverload(t *testing.T) {
	w := newWorld(t, 27)
	w.until(10*model.Second, "a leader that knows the machine types", func() bool {
		return w.leader() != nil && len(w.nodes[0].ctl.view.MachineTypes) > 0 && len(w.nodes[1].ctl.view.MachineTypes) > 0 && len(w.nodes[2].ctl.view.MachineTypes) > 0
	})
	first := w.submit(arrayJob(1, 4, 60), 0)
	cancelled := w.submit(arrayJob(2, 4, 60), 30*model.Second)
	w.running(8)
	o := &overload{world: w, end: w.Now + 60*model.Second, next: 1000}
	w.After(0, o.flood)
	w.At(w.Now+20*model.Second, func() { w.leader().crashFor(4 * model.Second) })
	o.ask(first)
	w.Run(o.end)
	// A few wait for a transaction whose answer got lost.
	if o.refused < 1000 || o.heldBack*1000 > o.refused {
		t.Errorf("%d refused, %d of them held back", o.refused, o.heldBack)
	}
	if o.answered < o.asked*8/10 {
		t.Errorf("%d of %d questions answered", o.answered, o.asked)
	}
	if cancelled.ended != "withdrawn" {
		t.Errorf("the cancelled job is %q", cancelled.ended)
	}
	w.until(120*model.Second, "what was accepted first is done", func() bool { return first.ended == "done" })
	w.check()
}

// Whatever has been accepted before all controllers end runs or stays known, job
// by job.
func TestEveryAcceptedJobStaysKnown(t *testing.T) {
	w := newWorld(t, 28)
	var us []*user
	for i := range 40 {
		us = append(us, w.submit(arrayJob(i, 1+i%4, 5), 0))
	}
	w.Run(12 * model.Second)
	for round := range 3 {
		for _, n := range w.nodes {
			n.crashFor(w.Between(50*model.Millisecond, 4*model.Second))
		}
		w.Run(w.Now + model.Second*model.Micros(4+round))
	}
	w.Run(w.Now + 10*model.Second)
	for _, u := range us {
		if !u.accepted {
			continue
		}
		for _, n := range w.nodes {
			reply := make(chan userapi.Answer, 1)
			n.ask(msgStatusRequest{u.sub.ID, reply}, nil)
			w.until(3*model.Second, "an answer", func() bool { return len(reply) == 1 })
			if a := <-reply; a.Code == 404 {
				t.Errorf("%s is forgotten by %s", u.sub.ID, n.name)
			}
		}
	}
	w.until(300*model.Second, "all that was accepted is done", func() bool {
		for _, u := range us {
			if u.accepted && u.ended != "done" {
				return false
			}
		}
		return true
	})
	w.check()
}

// In a full fleet nothing starves: the largest gang of a class begins within
// four minutes though small ones of its rank come all the time, single tasks of
// the lowest rank begin beside them, and the small ones go on meanwhile.
func TestNothingStarvesInAFullFleet(t *testing.T) {
	w := newWorld(t, 29)
	w.cloud.Capacity = map[string]int{"small/a/false": 3, "small/b/false": 3}
	next := 100
	var small func()
	small = func() {
		if w.Now > 500*model.Second {
			return
		}
		next++
		s := gangJob(next, 1, 20)
		s.Cores, s.Class = 3, "small"
		w.submit(s, 0)
		w.After(1200*model.Millisecond, small)
	}
	small()
	w.Run(60 * model.Second)
	big := gangJob(1, 6, 20)
	big.SameZone, big.Cores = true, 3
	ub := w.submit(big, 0)
	low := arrayJob(2, 3, 10)
	low.Priority, low.Cores = "idle", 2
	ul := w.submit(low, 0)
	since := w.Now
	began := map[string]model.Micros{}
	before := 0
	for w.Now < since+240*model.Second {
		w.Run(w.Now + model.Second)
		if l := w.leader(); l != nil && l.ctl.leading.ready {
			for _, ref := range []string{big.ID, low.ID} {
				if js := l.ctl.leading.shard.Jobs[ref]; js != nil && js.HasRun && began[ref] == 0 {
					began[ref] = w.Now - since
				}
			}
		}
		if w.Now == since+20*model.Second {
			before = w.rules.Starts
		}
	}
	if began[big.ID] == 0 && ub.ended == "" || began[low.ID] == 0 && ul.ended == "" {
		t.Errorf("begun after: %v", began)
	}
	if n := w.rules.Starts - before; n < 60 {
		t.Errorf("only %d tasks began meanwhile", n)
	}
	w.check()
}

// A machine that nobody expected is told the token, and nothing more, until a
// report bears it: the report may be the copy of one of a machine long gone.
func TestHeartbeatWithOldTokenGetsTokenOnly(t *testing.T) {
	w := newWorld(t, 30)
	w.waitForLeader(5 * model.Second)
	l := w.leader()
	reply := make(chan workerAnswer, 1)
	l.ask(msgHeartbeat{heartbeat: simReport("host-000999"), reply: reply}, nil)
	a := <-reply
	if want := string(workerapi.Answer(l.ctl.leading.token, nil)); a.code != 200 || string(a.body) != want {
		t.Errorf("answered %d %s", a.code, a.body)
	}
	if l.ctl.leading.shard.Machines["host-000999"] != nil {
		t.Error("a machine is in the books though its report may be an old copy")
	}
}
