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
func (sim *simDeployment) waitForRunningTasks(tasks int) *standin.Worker {
	sim.t.Helper()
	sim.runUntil(60*model.Second, "tasks run", func() bool { return sim.invariants.TasksOnMachines() >= tasks })
	for _, x := range sim.cloud.Workers() {
		if x.TaskCount() > 0 {
			return x
		}
	}
	sim.t.Fatal("no machine has a task")
	return nil
}

// A machine whose reports arrive while it hears nothing ends its tasks with its
// lease. None is started twice, none is waited for without end, it gets no more
// work, and it is returned; also when another controller takes over meanwhile,
// whose token it never sees.
func TestMachineWithoutResponses(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim := newSmallDeployment(t, 21)
		u := sim.submit(arrayJob(1, 12, 50), 0)
		x := sim.waitForRunningTasks(12)
		sim.responsesLost[x.ID] = true
		if takeover {
			sim.leader().crash()
		}
		sim.Run(sim.Now + 25*model.Second)
		if n := x.TaskCount(); n != 0 {
			t.Fatalf("takeover %v: %d tasks on a machine without a lease", takeover, n)
		}
		l := sim.leader()
		if l == nil {
			t.Fatal("nobody leads")
		}
		sim.submit(arrayJob(2, 30, 5), 0)
		sim.runUntil(80*model.Second, "it is returned", func() bool {
			h := l.ctl.leading.shard.Machines[x.ID]
			for _, y := range sim.cloud.Workers() {
				if y == x {
					return false
				}
			}
			return h == nil
		})
		sim.runUntil(100*model.Second, "its work is done elsewhere", func() bool { return u.reportedEnd == "done" })
		sim.requireInvariants()
	}
}

// When no machine hears, the fault may be the controller's: they are not all
// returned, and go on once they hear again.
func TestFleetWithoutResponsesIsNotReturned(t *testing.T) {
	sim := newSmallDeployment(t, 32)
	u := sim.submit(arrayJob(1, 16, 40), 0)
	sim.waitForRunningTasks(16)
	before := sim.cloud.Workers()
	for _, x := range before {
		sim.responsesLost[x.ID] = true
	}
	sim.Run(sim.Now + 60*model.Second)
	clear(sim.responsesLost)
	now := sim.cloud.Workers()
	for _, x := range before {
		if !slices.Contains(now, x) {
			t.Errorf("%s was returned", x.ID)
		}
	}
	sim.runUntil(150*model.Second, "it is done", func() bool { return u.reportedEnd == "done" })
	sim.requireInvariants()
}

// Copies of reports come late, from seconds to well over a lease, to any
// controller, across a takeover and machines that are gone: they revive nothing,
// and nothing runs twice.
func TestLateDuplicatesOfHeartbeats(t *testing.T) {
	sim := newSmallDeployment(t, 22)
	sim.duplicateHeartbeatChance = 0.5
	var us []*user
	for i := range 8 {
		us = append(us, sim.submit(arrayJob(i, 8, 12), 0))
		us = append(us, sim.submit(gangJob(20+i, 2, 15), 0))
	}
	sim.Run(50 * model.Second)
	sim.leader().crash()
	sim.Run(sim.Now + 20*model.Second)
	sim.startStoppedNodes()
	sim.Run(400 * model.Second)
	sim.requireInvariants()
	for _, u := range us {
		if u.reportedEnd != "done" {
			t.Errorf("%s: %q", u.submission.ID, u.reportedEnd)
		}
	}
	if n := sim.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented", n)
	}
}

// A new holder remembers no sequence number. All the reports that machines ever sent, told
// to it once more, free no binding, start nothing, and show no machine up.
func TestNewLeaderIgnoresOldHeartbeats(t *testing.T) {
	sim := newSmallDeployment(t, 23)
	sim.recordsHeartbeats = true
	sim.submit(arrayJob(1, 12, 300), 0)
	x := sim.waitForRunningTasks(12)
	sim.Run(sim.Now + 5*model.Second)
	old := sim.recordedHeartbeats
	sim.recordsHeartbeats = false
	sim.leader().crash()
	x.Terminate()
	for _, y := range sim.cloud.Workers() {
		y.SetHung(true) // only the copies speak
	}
	sim.runUntil(15*model.Second, "another leads", func() bool { l := sim.leader(); return l != nil && l.ctl.leading.ready })
	l := sim.leader().ctl.leading
	bound := func() (n int) {
		for _, js := range l.shard.Jobs {
			n += js.BindingCount()
		}
		return n
	}
	before, starts := bound(), sim.invariants.Starts
	took := sim.Now
	for range 3 {
		replayHeartbeats(old)
		sim.Run(sim.Now + 3*model.Second)
	}
	if sim.Now > took+15*model.Second {
		t.Fatal("the leases may be over by now")
	}
	if n := bound(); n != before || before != 12 {
		t.Errorf("%d of %d bindings are left after copies of old reports", n, before)
	}
	if n := sim.invariants.Starts - starts; n != 0 {
		t.Errorf("%d starts", n)
	}
	for ref, h := range l.shard.Machines {
		if h.ReceivesAnswers || h.Up {
			t.Errorf("%s: hears %v, is up %v", ref, h.ReceivesAnswers, h.Up)
		}
	}
	sim.requireInvariants()
}

// A controller loses the state service and the other controllers, but not its
// workers. Its authority ends in time, a successor takes over without a broken
// rule, and a cancellation that it never saw is kept.
func TestLeaderIsolatedWithWorkers(t *testing.T) {
	sim := newSmallDeployment(t, 24)
	sim.submit(arrayJob(1, 12, 90), 0)
	u := sim.submit(arrayJob(2, 6, 90), 0)
	sim.waitForRunningTasks(18)
	n := sim.leader()
	n.setStateLink(linkDropping)
	n.peersCutOff = true
	cut := sim.Now
	u.cancelAt = sim.Now + 2*model.Second
	sim.runUntil(n.ctl.authority.Times.TTL+3*model.Second, "a successor leads", func() bool { l := sim.leader(); return l != nil && l != n && l.ctl.leading.ready })
	if n.ctl.authority.IsValid(n.ctl.clock()) {
		t.Fatal("two hold authority")
	}
	sim.runUntil(30*model.Second, "the cancellation is answered", func() bool { return u.reportedEnd == "withdrawn" })
	sim.Run(cut + 80*model.Second)
	n.setStateLink(linkOpen)
	n.peersCutOff = false
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
	if got := sim.invariants.Starts; got > 18 {
		t.Errorf("%d starts for 18 tasks: running work was lost", got)
	}
}

// elections are the transactions by which controllers tried to lead.
type electionLog struct{ txns []*state.Txn }

// crashInElections has every other election carried out while the process ends before it
// gets the answer, and starts again at once.
func (sim *simDeployment) crashDuringElections() *electionLog {
	seen := new(electionLog)
	for _, n := range sim.nodes {
		n.intercept = func(m msgCommitted) bool {
			if m.lane != laneElection {
				return false
			}
			seen.txns = append(seen.txns, m.txn)
			if len(seen.txns)%2 == 0 {
				return false
			}
			_, _ = sim.state.Commit(n.name, m.txn) // whatever comes of it
			n.crashFor(sim.Between(10*model.Millisecond, 300*model.Millisecond))
			return true
		}
	}
	return seen
}

func (sim *simDeployment) requireAtMostOneLeader() {
	sim.t.Helper()
	leaders := 0
	for _, n := range sim.nodes {
		if n.alive && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
			leaders++
		}
	}
	if leaders > 1 {
		sim.t.Fatalf("%d lead", leaders)
	}
}

// Controllers that are back within a fraction of a second, in the middle of
// elections, while requests of their former selves are carried out once more
// long afterwards: one leads at a time, and nothing is forgotten or run twice.
func TestQuickRestartsDuringElections(t *testing.T) {
	sim := newSmallDeployment(t, 25)
	sim.duplicateRequestChance = 0.3
	var us []*user
	for i := range 6 {
		us = append(us, sim.submit(arrayJob(i, 8, 20), 0))
	}
	sim.waitForRunningTasks(20)
	elections := sim.crashDuringElections()
	for range 5 {
		if l := sim.leader(); l != nil {
			l.crashFor(sim.Between(10*model.Millisecond, 300*model.Millisecond))
		}
		sim.Run(sim.Now + 3*model.Second)
		sim.requireAtMostOneLeader()
	}
	for _, n := range sim.nodes {
		n.intercept = nil
	}
	sim.waitForLeader(20 * model.Second)
	token := sim.leader().ctl.leading.token
	for _, e := range elections.txns {
		if res, err := sim.state.Commit("", e); err == nil && res.OK {
			t.Fatalf("a former election is carried out: %v, %v", res, err)
		}
	}
	if now := sim.leader().ctl.leading.token; now != token {
		t.Fatalf("token %d after %d", now, token)
	}
	sim.runUntil(200*model.Second, "all is done", func() bool { return allReportedDone(us) })
	sim.requireInvariants()
}

// A machine that is back within a fraction of a second has lost its tasks, in a
// new session: they run again, and none twice at once.
func TestQuickWorkerRestarts(t *testing.T) {
	sim := newSmallDeployment(t, 26)
	u := sim.submit(arrayJob(1, 12, 20), 0)
	sim.waitForRunningTasks(12)
	for range 3 {
		for _, x := range sim.cloud.Workers() {
			x.Restart()
		}
		sim.Run(sim.Now + 300*model.Millisecond)
	}
	sim.runUntil(120*model.Second, "it is done", func() bool { return u.reportedEnd == "done" })
	sim.requireInvariants()
}

// overload is a time in which far more is submitted than can be taken.
type overload struct {
	*simDeployment
	end             model.Micros
	lastJobNumber   int // the number of the last job
	refused         int // submissions that were refused
	refusedLate     int // those of them whose answer took long
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
	o.lastJobNumber++
	reply := make(chan userapi.Answer, 1)
	asked := o.Now
	s := arrayJob(o.lastJobNumber, 1, 1)
	o.invariants.Submitted[s.ID] = s.Job(0)
	n.send(msgSubmit{s.ID, s, nil, reply}, func() bool {
		select {
		case a := <-reply:
			o.invariants.CheckAnswer(s.ID, a.Code, a.Body, asked)
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
		o.refusedLate++
	}
}

// ask asks about a job twice a second.
func (o *overload) pollStatus(job *user) {
	if o.Now >= o.end {
		return
	}
	o.asked++
	o.sendUserRequest(nil, 2*model.Second, func(r chan<- userapi.Answer) any { return msgStatusRequest{job.submission.ID, r} }, func(a userapi.Answer) {
		if a.Code == 200 {
			o.answered++
		}
	})
	o.After(500*model.Millisecond, func() { o.pollStatus(job) })
}

// While far more is submitted than can be taken, what is refused is refused at
// once with when to come back, every question about an accepted job is answered,
// cancellations go through, and what was accepted runs: also right after a
// takeover.
func TestStatusRequestsAnsweredUnderOverload(t *testing.T) {
	sim := newSmallDeployment(t, 27)
	sim.runUntil(10*model.Second, "a leader that knows the machine types", func() bool {
		return sim.leader() != nil && len(sim.nodes[0].ctl.view.MachineTypes) > 0 && len(sim.nodes[1].ctl.view.MachineTypes) > 0 && len(sim.nodes[2].ctl.view.MachineTypes) > 0
	})
	first := sim.submit(arrayJob(1, 4, 60), 0)
	cancelled := sim.submit(arrayJob(2, 4, 60), 30*model.Second)
	sim.waitForRunningTasks(8)
	o := &overload{simDeployment: sim, end: sim.Now + 60*model.Second, lastJobNumber: 1000}
	sim.After(0, o.flood)
	sim.At(sim.Now+20*model.Second, func() { sim.leader().crashFor(4 * model.Second) })
	o.pollStatus(first)
	sim.Run(o.end)
	// A few wait for a transaction whose answer got lost.
	if o.refused < 1000 || o.refusedLate*1000 > o.refused {
		t.Errorf("%d refused, %d of them held back", o.refused, o.refusedLate)
	}
	if o.answered < o.asked*8/10 {
		t.Errorf("%d of %d questions answered", o.answered, o.asked)
	}
	if cancelled.reportedEnd != "withdrawn" {
		t.Errorf("the cancelled job is %q", cancelled.reportedEnd)
	}
	sim.runUntil(120*model.Second, "what was accepted first is done", func() bool { return first.reportedEnd == "done" })
	sim.requireInvariants()
}

// Whatever has been accepted before all controllers end runs or stays known, job
// by job.
func TestAcceptedJobsSurviveRestartsOfAllControllers(t *testing.T) {
	sim := newSmallDeployment(t, 28)
	var us []*user
	for i := range 40 {
		us = append(us, sim.submit(arrayJob(i, 1+i%4, 5), 0))
	}
	sim.Run(12 * model.Second)
	for round := range 3 {
		for _, n := range sim.nodes {
			n.crashFor(sim.Between(50*model.Millisecond, 4*model.Second))
		}
		sim.Run(sim.Now + model.Second*model.Micros(4+round))
	}
	sim.Run(sim.Now + 10*model.Second)
	for _, u := range us {
		if !u.accepted {
			continue
		}
		for _, n := range sim.nodes {
			reply := make(chan userapi.Answer, 1)
			n.send(msgStatusRequest{u.submission.ID, reply}, nil)
			sim.runUntil(3*model.Second, "an answer", func() bool { return len(reply) == 1 })
			if a := <-reply; a.Code == 404 {
				t.Errorf("%s is forgotten by %s", u.submission.ID, n.name)
			}
		}
	}
	sim.runUntil(300*model.Second, "all that was accepted is done", func() bool {
		for _, u := range us {
			if u.accepted && u.reportedEnd != "done" {
				return false
			}
		}
		return true
	})
	sim.requireInvariants()
}

// In a full fleet nothing starves: the largest gang of a class begins within
// four minutes though small ones of its rank come all the time, single tasks of
// the lowest rank begin beside them, and the small ones go on meanwhile.
func TestNoStarvationInFullFleet(t *testing.T) {
	sim := newSmallDeployment(t, 29)
	sim.cloud.Capacity = map[string]int{"small/a/false": 3, "small/b/false": 3}
	next := 100
	var small func()
	small = func() {
		if sim.Now > 500*model.Second {
			return
		}
		next++
		s := gangJob(next, 1, 20)
		s.Cores, s.Class = 3, "small"
		sim.submit(s, 0)
		sim.After(1200*model.Millisecond, small)
	}
	small()
	sim.Run(60 * model.Second)
	big := gangJob(1, 6, 20)
	big.SameZone, big.Cores = true, 3
	ub := sim.submit(big, 0)
	low := arrayJob(2, 3, 10)
	low.Priority, low.Cores = "idle", 2
	ul := sim.submit(low, 0)
	since := sim.Now
	began := map[string]model.Micros{}
	before := 0
	for sim.Now < since+240*model.Second {
		sim.Run(sim.Now + model.Second)
		if l := sim.leader(); l != nil && l.ctl.leading.ready {
			for _, ref := range []string{big.ID, low.ID} {
				if js := l.ctl.leading.shard.Jobs[ref]; js != nil && js.HasRun && began[ref] == 0 {
					began[ref] = sim.Now - since
				}
			}
		}
		if sim.Now == since+20*model.Second {
			before = sim.invariants.Starts
		}
	}
	if began[big.ID] == 0 && ub.reportedEnd == "" || began[low.ID] == 0 && ul.reportedEnd == "" {
		t.Errorf("begun after: %v", began)
	}
	if n := sim.invariants.Starts - before; n < 60 {
		t.Errorf("only %d tasks began meanwhile", n)
	}
	sim.requireInvariants()
}

// A machine that nobody expected is told the token, and nothing more, until a
// report bears it: the report may be the copy of one of a machine long gone.
func TestHeartbeatWithOldTokenGetsTokenOnly(t *testing.T) {
	sim := newSmallDeployment(t, 30)
	sim.waitForLeader(5 * model.Second)
	l := sim.leader()
	reply := make(chan workerAnswer, 1)
	l.send(msgHeartbeat{heartbeat: simHeartbeat("host-000999"), reply: reply}, nil)
	a := <-reply
	if want := string(workerapi.Answer(l.ctl.leading.token, nil)); a.code != 200 || string(a.body) != want {
		t.Errorf("answered %d %s", a.code, a.body)
	}
	if l.ctl.leading.shard.Machines["host-000999"] != nil {
		t.Error("a machine is in the books though its report may be an old copy")
	}
}
