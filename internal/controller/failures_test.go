package controller

import (
	"errors"
	"strings"
	"testing"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// until lets time pass until the condition holds.
func (sim *simDeployment) runUntil(timeout model.Micros, description string, condition func() bool) {
	sim.t.Helper()
	end := sim.Now + timeout
	for !condition() {
		if sim.Now >= end {
			sim.t.Fatalf("%.1f s: not within %.1f s: %s\n%s", sim.Now.Seconds(), timeout.Seconds(), description, sim.describe())
		}
		sim.Run(sim.Now + 20*model.Millisecond)
	}
}

// waitForLeader waits until somebody leads and has taken over.
func (sim *simDeployment) waitForLeader(timeout model.Micros) {
	sim.t.Helper()
	sim.runUntil(timeout, "somebody leads", func() bool { l := sim.leader(); return l != nil && l.ctl.leading.ready })
}

// A cut-off leader is replaced when its session is over, its held transactions
// are carried out late without effect, and no rule breaks.
func TestTakeoverWithLateCommits(t *testing.T) {
	sim := newSmallDeployment(t, 3)
	for i := range 6 {
		sim.submit(arrayJob(i, 8, 20), 0)
	}
	sim.runUntil(40*model.Second, "something runs", func() bool { return sim.invariants.TasksOnMachines() > 10 })
	formerLeader := sim.leader()
	formerLeader.setStateLink(linkHolding)
	for i := 6; i < 9; i++ {
		sim.submit(arrayJob(i, 8, 10), 0)
	}
	sim.runUntil(14*model.Second, "another leads", func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	if formerLeader.ctl.authority.IsValid(formerLeader.ctl.clock()) {
		t.Fatal("two hold authority")
	}
	sim.Run(sim.Now + 20*model.Second)
	formerLeader.setStateLink(linkOpen)
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
	if n := sim.invariants.TasksOnMachines(); n != 0 {
		t.Errorf("%d tasks are still on machines", n)
	}
}

// A transaction without an answer may be carried out long after a later one for
// the same key, under the same grant. It must not bring the old value back.
func TestOwnLateCommitIsRejected(t *testing.T) {
	sim := newSmallDeployment(t, 4)
	sim.waitForLeader(5 * model.Second)
	leader := sim.leader()
	var heldTxn *state.Txn
	leader.intercept = func(m msgCommitted) bool {
		if m.lane != laneBindings || heldTxn != nil {
			return false
		}
		heldTxn = m.txn
		incarnation := leader.incarnation
		m.err = state.ErrLost
		sim.After(commitTimeout, func() { leader.deliver(incarnation, m) })
		return true
	}
	job := sim.submit(arrayJob(1, 6, 15), 0)
	sim.runUntil(60*model.Second, "it runs", func() bool { return sim.invariants.TasksOnMachines() == 6 })
	if res, err := sim.state.Commit(leader.name, heldTxn); err != nil || res.OK {
		t.Fatalf("a late copy is carried out: %v, %v", heldTxn, err)
	}
	sim.runUntil(60*model.Second, "done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
	if sim.invariants.Starts != 6 {
		t.Errorf("%d starts for 6 tasks", sim.invariants.Starts)
	}
}

// A former holder's transaction that is carried out after the takeover changes
// nothing, even where the new holder has not written the same keys yet.
func TestFormerLeadersLateCommitIsRejected(t *testing.T) {
	sim := newSmallDeployment(t, 14)
	sim.waitForLeader(5 * model.Second)
	formerLeader := sim.leader()
	var heldTxn *state.Txn
	formerLeader.intercept = func(m msgCommitted) bool {
		if m.lane != laneBindings {
			return false
		}
		heldTxn = m.txn
		return true
	}
	job := sim.submit(arrayJob(1, 6, 15), 0)
	sim.runUntil(60*model.Second, "a binding is on its way", func() bool { return heldTxn != nil })
	formerLeader.crash()
	sim.state.RefusedNodes[formerLeader.name] = false
	// The new leader rewrites the grant and nothing else.
	sim.runUntil(15*model.Second, "another leads", func() bool {
		for _, other := range sim.nodes {
			if l := other.ctl.leading; other != formerLeader && l != nil {
				return true
			}
		}
		return false
	})
	if res, err := sim.state.Commit(formerLeader.name, heldTxn); err != nil || res.OK {
		t.Fatalf("a former holder's transaction is carried out: %v, %v", heldTxn, err)
	}
	sim.runUntil(90*model.Second, "done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// A leader that ends and is back within a fraction of a second takes over from
// itself: under a new grant, without waiting for its old session.
func TestRestartWithinTheSession(t *testing.T) {
	sim := newSmallDeployment(t, 5)
	for i := range 4 {
		sim.submit(arrayJob(i, 8, 25), 0)
	}
	sim.runUntil(40*model.Second, "something runs", func() bool { return sim.invariants.TasksOnMachines() > 10 })
	leader := sim.leader()
	token := leader.ctl.leading.token
	leader.crash()
	sim.Run(sim.Now + 200*model.Millisecond)
	leader.start()
	sim.waitForLeader(3 * model.Second)
	if now := sim.leader().ctl.leading.token; now <= token {
		t.Fatalf("token %d after %d", now, token)
	}
	startsBefore := sim.invariants.Starts
	sim.Run(sim.Now + 10*model.Second)
	if sim.invariants.TasksOnMachines() < 10 && sim.invariants.Starts == startsBefore {
		t.Error("running tasks were lost")
	}
	sim.Run(sim.Now + 120*model.Second)
	sim.requireInvariants()
}

// The election's answer is lost: the node finds the key under its own session,
// and leads under a grant of its own.
func TestLostElectionAnswer(t *testing.T) {
	sim := newSmallDeployment(t, 6)
	lostRevision := uint64(0)
	for _, n := range sim.nodes {
		n.intercept = func(m msgCommitted) bool {
			if m.lane != laneElection || lostRevision != 0 {
				return false
			}
			res, err := sim.state.Commit(n.name, m.txn)
			if err != nil || !res.OK {
				return false
			}
			lostRevision = res.Revision
			incarnation := n.incarnation
			sim.After(commitTimeout, func() {
				n.deliver(incarnation, msgCommitted{lane: m.lane, txn: m.txn, session: m.session, err: state.ErrLost})
			})
			return true
		}
	}
	sim.waitForLeader(10 * model.Second)
	if token := sim.leader().ctl.leading.token; lostRevision == 0 || token <= lostRevision {
		t.Fatalf("leads under token %d, the lost election's was %d", token, lostRevision)
	}
}

// A submission whose 201 was lost is 200 when it is repeated, anywhere, even if
// the repetition would be refused by itself.
func TestRepeatedSubmissionAfterLostAnswer(t *testing.T) {
	sim := newSmallDeployment(t, 7)
	sim.runUntil(5*model.Second, "a leader that knows the machine types", func() bool { return len(sim.nodes[0].ctl.view.MachineTypes) > 0 })
	sim.Run(sim.Now + model.Second)
	submission := arrayJob(1, 3, 5)
	sim.invariants.Submitted[submission.ID] = submission.Job(0)
	sim.nodes[0].send(msgSubmit{submission.ID, submission, nil, make(chan userapi.Answer, 1)}, nil)
	sim.runUntil(model.Second, "it is accepted", func() bool { return sim.state.HasKey("job/" + submission.ID) })
	sim.nodes[0].crash()
	for _, m := range []msgSubmit{{jobID: submission.ID, submission: submission}, {jobID: submission.ID, err: errors.New("malformed")},
		{jobID: submission.ID, submission: func() *model.Submission { c := *submission; c.Team = "nobody"; return &c }()}} {
		reply := make(chan userapi.Answer, 1)
		m.reply = reply
		sim.nodes[1].send(m, nil)
		sim.runUntil(model.Second, "an answer", func() bool { return len(reply) == 1 })
		if a := <-reply; a.Code != 200 {
			t.Errorf("a repeated submission is answered %d %s", a.Code, a.Body)
		}
	}
}

// An ended job is never accepted again, also by a node that does not know it.
func TestEndedJobIsNotRunAgain(t *testing.T) {
	sim := newSmallDeployment(t, 8)
	job := sim.submit(arrayJob(1, 2, 2), 0)
	sim.runUntil(60*model.Second, "done", func() bool { return job.reportedEnd == "done" })
	node := sim.nodes[1]
	node.ctl.view = state.NewView() // a node that knows nothing
	node.ctl.view.MachineTypes, node.ctl.sync.needsList = simMachineTypes, true
	reply := make(chan userapi.Answer, 1)
	node.send(msgSubmit{"j-000001", arrayJob(1, 2, 2), nil, reply}, nil)
	sim.runUntil(2*model.Second, "an answer", func() bool { return len(reply) == 1 })
	if a := <-reply; a.Code != 200 || !strings.Contains(string(a.Body), "done") {
		t.Fatalf("answered %d %s", a.Code, a.Body)
	}
	sim.Run(sim.Now + 30*model.Second)
	if sim.invariants.Starts != 2 {
		t.Fatalf("%d starts for 2 tasks", sim.invariants.Starts)
	}
}

// answerAtOnce asks a node for what it has to refuse, and fails if it holds the request.
func (n *simNode) requireImmediateAnswer(msg func(chan<- userapi.Answer) any) userapi.Answer {
	n.sim.t.Helper()
	reply := make(chan userapi.Answer, 1)
	n.send(msg(reply), nil)
	if len(reply) != 1 {
		n.sim.t.Fatal("a request that can't be served is held")
	}
	return <-reply
}

// An outage of the state service that outlasts the session: nobody acts in it,
// what runs goes on as long as the workers' leases last, and everything is
// finished afterwards. Submissions are refused at once.
func TestOutageLongerThanASession(t *testing.T) {
	sim := newSmallDeployment(t, 9)
	job := sim.submit(arrayJob(1, 8, 60), 0)
	sim.runUntil(40*model.Second, "it runs", func() bool { return sim.invariants.TasksOnMachines() == 8 })
	sim.state.SetOutage(true)
	sim.Run(sim.Now + 13*model.Second)
	if sim.leader() != nil {
		t.Fatal("somebody leads without the state service")
	}
	if sim.invariants.TasksOnMachines() != 8 {
		t.Fatal("running tasks were lost in a short outage")
	}
	answer := sim.nodes[1].requireImmediateAnswer(func(r chan<- userapi.Answer) any { return msgSubmit{"j-000002", arrayJob(2, 1, 1), nil, r} })
	if answer.Code != 503 || answer.RetryAfter == 0 {
		t.Fatalf("answered %d, Retry-After %d", answer.Code, answer.RetryAfter)
	}
	if !sim.nodes[1].ctl.isHealthy() {
		t.Error("all nodes leave the load balancer in an outage")
	}
	sim.Run(sim.Now + 6*model.Second)
	sim.state.SetOutage(false)
	sim.runUntil(120*model.Second, "it is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
	if sim.invariants.Starts != 8 {
		t.Errorf("%d starts for 8 tasks: an outage of 19 s should lose nothing", sim.invariants.Starts)
	}
}

// One node alone gets 503s: a sibling answers its users, and if it led, another
// takes over.
func TestNodeRefusedByStateService(t *testing.T) {
	sim := newSmallDeployment(t, 10)
	sim.submit(arrayJob(1, 4, 30), 0)
	sim.runUntil(40*model.Second, "it runs", func() bool { return sim.invariants.TasksOnMachines() == 4 })
	formerLeader := sim.leader()
	formerLeader.setStateLink(linkRefusing)
	sim.Run(sim.Now + 3*model.Second)
	answer := formerLeader.requireImmediateAnswer(func(r chan<- userapi.Answer) any { return msgStatusRequest{"j-000001", r} })
	if answer.Code != 503 || answer.ForwardTo == "" || answer.ForwardTo == formerLeader.name {
		t.Fatalf("answered %+v, want a sibling named", answer)
	}
	sim.runUntil(3*model.Second, "another leads, long before the session runs out",
		func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	sim.Run(sim.Now + 40*model.Second)
	sim.requireInvariants()
	if sim.invariants.Starts != 4 {
		t.Errorf("%d starts for 4 tasks", sim.invariants.Starts)
	}
}

// A leader that no worker reaches any more hands over to a sibling that they do
// reach, before their leases run out.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	sim := newSmallDeployment(t, 15)
	sim.submit(arrayJob(1, 12, 60), 0)
	sim.runUntil(40*model.Second, "it runs", func() bool { return sim.invariants.TasksOnMachines() == 12 })
	formerLeader := sim.leader()
	formerLeader.reachableByWorkers = false
	sim.runUntil(12*model.Second, "another leads", func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	sim.Run(sim.Now + 30*model.Second)
	sim.requireInvariants()
	if sim.invariants.Starts != 12 {
		t.Errorf("%d starts for 12 tasks", sim.invariants.Starts)
	}
}

// The credits of all grants together never exceed the teams' limits, across
// moves.
func TestCreditsAcrossATakeover(t *testing.T) {
	sim := newSmallDeployment(t, 11)
	for range 4 {
		sim.waitForLeader(20 * model.Second)
		leader := sim.leader()
		credits := map[string]model.Resources{}
		for _, grant := range leader.ctl.view.Grants {
			for team, credit := range grant.Credit {
				credits[team] = credits[team].Plus(credit)
			}
		}
		for name, team := range leader.ctl.teams {
			if !team.WithinLimit(credits[name]) {
				t.Fatalf("credits of %s are %v, the limit is %v", name, credits[name], team.Limit)
			}
		}
		leader.crash()
		sim.Run(sim.Now + 3*model.Second)
		leader.start()
	}
}

// A node whose watch is too far behind reads everything again.
func TestWatchRevisionTooOld(t *testing.T) {
	sim := newSmallDeployment(t, 12)
	sim.runUntil(5*model.Second, "a leader", func() bool { return sim.leader() != nil })
	sim.state.KeptEvents = 2
	node := sim.nodes[0]
	node.setStateLink(linkRefusing)
	for i := range 4 {
		sim.submit(arrayJob(i, 4, 5), 0)
	}
	sim.Run(sim.Now + 30*model.Second)
	node.setStateLink(linkOpen)
	sim.Run(sim.Now + 10*model.Second)
	if got, want := node.ctl.view.Revision, sim.nodes[1].ctl.view.Revision; got+50 < want {
		t.Fatalf("the view is at %d, another's at %d", got, want)
	}
	for ref := range sim.invariants.Accepted {
		if _, _, _, known := node.ctl.view.Status(ref); !known {
			t.Errorf("%s is not known", ref)
		}
	}
}

// A job with the most tasks there may be runs within the limits of the state
// service: the stand-in refuses values and transactions that are too large.
func TestVeryManyTinyTasks(t *testing.T) {
	t.Parallel()
	sim := newSmallDeployment(t, 16)
	var jobs []*user
	for i := range 2 {
		s := arrayJob(i, 100_000, 1)
		s.Cores, s.MemoryGB, s.Team, s.ImageGB = 0.001, 0.001, "red", 0.1
		jobs = append(jobs, sim.submit(s, 0))
	}
	sim.runUntil(60*model.Second, "they run", func() bool { return sim.invariants.TasksOnMachines() > 1000 })
	sim.Run(sim.Now + 6*model.Second)
	sim.requireInvariants()
	done := 0
	for _, job := range jobs {
		s := sim.nodes[0].ctl.view.Done(job.submission.ID)
		done += s.Len()
	}
	if done < 1500 {
		t.Errorf("only %d tasks done", done)
	}
}

// Without authority no worker gets a 200, however early its lease ends.
func TestNoAnswerToWorkersWithoutAuthority(t *testing.T) {
	sim := newSmallDeployment(t, 13)
	sim.waitForLeader(5 * model.Second)
	leader := sim.leader()
	leaseTimes := leader.ctl.authority.Times
	for _, other := range sim.nodes {
		if other != leader {
			other.crash() // nobody is there to resign to
		}
	}
	leader.setStateLink(linkDropping)
	sim.Run(sim.Now + leaseTimes.TTL + model.Second)
	reply := make(chan workerAnswer, 1)
	heartbeat := simHeartbeat("host-z")
	leader.send(msgHeartbeat{heartbeat: heartbeat, reply: reply}, nil)
	if a := <-reply; a.code == 200 {
		t.Fatal("a worker was answered without authority")
	}
}

func TestComputeLeaseTimes(t *testing.T) {
	for _, settings := range []struct{ lease, report, cancel float64 }{{18, 2.5, 38}, {18, 2.5, 43}, {30, 5, 45}, {10, 2, 22}} {
		lease, report, cancel := model.Seconds(settings.lease), model.Seconds(settings.report), model.Seconds(settings.cancel)
		times := leadership.ComputeLeaseTimes(30*model.Second, lease, report, cancel)
		if times.TTL+lease+lease/1000 >= cancel {
			t.Errorf("%v: a cut-off holder keeps a cancelled task for %v", settings, times.TTL+lease)
		}
		if times.TTL > 30*model.Second || times.TTL+2*report >= lease+report {
			t.Errorf("%v: session of %v is too long for a takeover within the lease", settings, times.TTL)
		}
	}
}

// Now and then the state service takes very long for a transaction. What others
// submit meanwhile is accepted at once all the same.
func TestSlowWritesDoNotDelayOtherSubmissions(t *testing.T) {
	sim := newSmallDeployment(t, 43)
	sim.runUntil(10*model.Second, "machine types are known", func() bool { return len(sim.nodes[0].ctl.view.MachineTypes) > 0 })
	node := sim.nodes[0]
	unanswered := 0
	node.intercept = func(m msgCommitted) bool {
		if m.lane >= laneUsers && unanswered < 2 {
			unanswered++
			return true // no answer, for now
		}
		return false
	}
	submit := func(i int) (code int) {
		reply := make(chan userapi.Answer, 1)
		s := arrayJob(i, 1, 5)
		node.send(msgSubmit{s.ID, s, nil, reply}, nil)
		for range 30 {
			sim.Run(sim.Now + 10*model.Millisecond)
			if len(reply) > 0 {
				return (<-reply).Code
			}
		}
		return 0
	}
	if a, b := submit(1), submit(2); a != 0 || b != 0 || unanswered != 2 {
		t.Fatalf("answered %d and %d with %d transactions on their way", a, b, unanswered)
	}
	if code := submit(3); code != 201 {
		t.Errorf("behind two slow transactions: %d", code)
	}
}

// A cancellation that waits its turn, as all transactions of users are on their way
// without an answer, finds its job ended when it is written: the end stays what it is.
// Once it was written over, as the guard is taken from the view at that moment: the job
// had been told done, and was told withdrawn from then on.
func TestQueuedCancellationKeepsRecordedEnd(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSmallDeployment(t, 60+seed)
		job := sim.submit(arrayJob(1, 2, 8), 0)
		sim.runUntil(60*model.Second, "it runs", func() bool { return sim.invariants.TasksOnMachines() == 2 })
		node := sim.nodes[0]
		if node == sim.leader() {
			node = sim.nodes[1]
		}
		release := node.blockUserLanes()
		sim.Run(sim.Now + 6*model.Second) // of eight
		reply := make(chan userapi.Answer, 1)
		sim.invariants.CancelRequested(job.submission.ID)
		node.send(msgCancel{job.submission.ID, reply}, nil)
		sim.runUntil(4*model.Second, "the end is written while the cancellation waits", func() bool {
			_, ended := node.ctl.view.EffectiveEnd(job.submission.ID)
			return ended && len(node.ctl.userWrites.queue) > 0
		})
		release()
		sim.runUntil(3*model.Second, "the cancellation is answered", func() bool { return len(reply) == 1 })
		if a := <-reply; a.Code != 200 || !strings.Contains(string(a.Body), "done") {
			t.Errorf("seed %d: the cancellation of a done job is answered %d %s", seed, a.Code, a.Body)
		}
		for _, other := range sim.nodes {
			sim.Run(sim.Now + model.Second)
			if end, _ := other.ctl.view.EffectiveEnd(job.submission.ID); end != model.JobDone {
				t.Errorf("seed %d: %s says %q of a done job", seed, other.name, end)
			}
		}
		sim.requireInvariants()
	}
}

// blockUserLanes fills all lanes for users' transactions of a node with submissions that get
// no answer, until the returned function is called.
func (n *simNode) blockUserLanes() (release func()) {
	n.sim.t.Helper()
	blocked := true
	var unansweredWrites []msgCommitted
	n.intercept = func(m msgCommitted) bool {
		if blocked && m.lane >= laneUsers {
			unansweredWrites = append(unansweredWrites, m)
			return true
		}
		return false
	}
	for i := range userLanes {
		s := arrayJob(10+i, 1, 1)
		n.send(msgSubmit{s.ID, s, nil, make(chan userapi.Answer, 1)}, nil)
	}
	if len(unansweredWrites) != userLanes {
		n.sim.t.Fatalf("%d transactions on their way", len(unansweredWrites))
	}
	return func() {
		blocked = false
		for _, m := range unansweredWrites {
			m.err = state.ErrLost
			n.deliver(n.incarnation, m)
		}
	}
}
