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

// runUntil runs the simulation until the condition holds, and fails the test if it does not
// within the timeout.
func (sim *simDeployment) runUntil(timeout model.Micros, description string, condition func() bool) {
	sim.t.Helper()
	end := sim.Now + timeout
	for !condition() {
		if sim.Now >= end {
			sim.t.Fatalf("%.1f s: not reached within %.1f s: %s\n%s", sim.Now.Seconds(), timeout.Seconds(), description, sim.describe())
		}
		sim.Run(sim.Now + 20*model.Millisecond)
	}
}

// waitForLeader runs the simulation until a controller leads and has completed its takeover.
func (sim *simDeployment) waitForLeader(timeout model.Micros) {
	sim.t.Helper()
	sim.runUntil(timeout, "a controller leads and has completed its takeover", func() bool { l := sim.leader(); return l != nil && l.ctl.leading.ready })
}

// A leader that is cut off from the state service is replaced when its session expires. Its
// held transactions are carried out later, have no effect and violate no invariant.
func TestTakeoverWithLateCommits(t *testing.T) {
	sim := newSmallDeployment(t, 3)
	for i := range 6 {
		sim.submit(arrayJob(i, 8, 20), 0)
	}
	sim.runUntil(40*model.Second, "more than 10 tasks run", func() bool { return sim.invariants.TasksOnMachines() > 10 })
	formerLeader := sim.leader()
	formerLeader.setStateLink(linkHolding)
	for i := 6; i < 9; i++ {
		sim.submit(arrayJob(i, 8, 10), 0)
	}
	sim.runUntil(14*model.Second, "another controller leads", func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	if formerLeader.ctl.authority.IsValid(formerLeader.ctl.clock()) {
		t.Fatal("the former leader still has authority beside the new one")
	}
	sim.Run(sim.Now + 20*model.Second)
	formerLeader.setStateLink(linkOpen)
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
	if n := sim.invariants.TasksOnMachines(); n != 0 {
		t.Errorf("%d tasks are still on machines, want none", n)
	}
}

// A transaction whose answer is lost may be carried out long after a later transaction of the
// same leader for the same key, under the same grant. It must not restore the old value.
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
	sim.runUntil(60*model.Second, "the job runs", func() bool { return sim.invariants.TasksOnMachines() == 6 })
	if res, err := sim.state.Commit(leader.name, heldTxn); err != nil || res.OK {
		t.Fatalf("the late transaction %v was carried out, error %v", heldTxn, err)
	}
	sim.runUntil(60*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
	if sim.invariants.Starts != 6 {
		t.Errorf("%d starts for 6 tasks", sim.invariants.Starts)
	}
}

// A former leader's transaction that reaches the state service after the takeover changes
// nothing, even if the new leader has not written the same keys yet.
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
	sim.runUntil(60*model.Second, "a binding has been sent", func() bool { return heldTxn != nil })
	formerLeader.crash()
	sim.state.RefusedNodes[formerLeader.name] = false
	// The new leader rewrites the grant and nothing else.
	sim.runUntil(15*model.Second, "another controller leads", func() bool {
		for _, other := range sim.nodes {
			if l := other.ctl.leading; other != formerLeader && l != nil {
				return true
			}
		}
		return false
	})
	if res, err := sim.state.Commit(formerLeader.name, heldTxn); err != nil || res.OK {
		t.Fatalf("the former leader's transaction %v was carried out, error %v", heldTxn, err)
	}
	sim.runUntil(90*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// A leader that crashes and restarts within a fraction of a second takes over from its former
// run under a new grant, without waiting for its old session to expire.
func TestRestartWithinTheSession(t *testing.T) {
	sim := newSmallDeployment(t, 5)
	for i := range 4 {
		sim.submit(arrayJob(i, 8, 25), 0)
	}
	sim.runUntil(40*model.Second, "more than 10 tasks run", func() bool { return sim.invariants.TasksOnMachines() > 10 })
	leader := sim.leader()
	token := leader.ctl.leading.token
	leader.crash()
	sim.Run(sim.Now + 200*model.Millisecond)
	leader.start()
	sim.waitForLeader(3 * model.Second)
	if now := sim.leader().ctl.leading.token; now <= token {
		t.Fatalf("fencing token %d after the restart, want one above %d", now, token)
	}
	startsBefore := sim.invariants.Starts
	sim.Run(sim.Now + 10*model.Second)
	if sim.invariants.TasksOnMachines() < 10 && sim.invariants.Starts == startsBefore {
		t.Error("running tasks were lost")
	}
	sim.Run(sim.Now + 120*model.Second)
	sim.requireInvariants()
}

// If the answer to an election's transaction is lost, the controller finds the leader key under
// its own session and leads under a new grant of its own.
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
		t.Fatalf("fencing token %d, want one above revision %d of the election whose answer was lost", token, lostRevision)
	}
}

// If the answer 201 to a submission is lost, a repeated submission is answered 200 by every
// controller, even if the repeated request on its own would be refused.
func TestRepeatedSubmissionAfterLostAnswer(t *testing.T) {
	sim := newSmallDeployment(t, 7)
	sim.runUntil(5*model.Second, "machine types are known", func() bool { return len(sim.nodes[0].ctl.view.MachineTypes) > 0 })
	sim.Run(sim.Now + model.Second)
	submission := arrayJob(1, 3, 5)
	sim.invariants.Submitted[submission.ID] = submission.Job(0)
	sim.nodes[0].send(msgSubmit{submission.ID, submission, nil, make(chan userapi.Answer, 1)}, nil)
	sim.runUntil(model.Second, "the job is accepted", func() bool { return sim.state.HasKey("job/" + submission.ID) })
	sim.nodes[0].crash()
	for _, m := range []msgSubmit{{jobID: submission.ID, submission: submission}, {jobID: submission.ID, err: errors.New("malformed")},
		{jobID: submission.ID, submission: func() *model.Submission { c := *submission; c.Team = "nobody"; return &c }()}} {
		reply := make(chan userapi.Answer, 1)
		m.reply = reply
		sim.nodes[1].send(m, nil)
		sim.runUntil(model.Second, "the request is answered", func() bool { return len(reply) == 1 })
		if a := <-reply; a.Code != 200 {
			t.Errorf("a repeated submission is answered %d %s, want 200", a.Code, a.Body)
		}
	}
}

// A job that has ended is not accepted again, not even by a node that does not know it.
func TestEndedJobIsNotRunAgain(t *testing.T) {
	sim := newSmallDeployment(t, 8)
	job := sim.submit(arrayJob(1, 2, 2), 0)
	sim.runUntil(60*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	node := sim.nodes[1]
	node.ctl.view = state.NewView() // the node knows no jobs
	node.ctl.view.MachineTypes, node.ctl.sync.needsList = simMachineTypes, true
	reply := make(chan userapi.Answer, 1)
	node.send(msgSubmit{"j-000001", arrayJob(1, 2, 2), nil, reply}, nil)
	sim.runUntil(2*model.Second, "the request is answered", func() bool { return len(reply) == 1 })
	if a := <-reply; a.Code != 200 || !strings.Contains(string(a.Body), "done") {
		t.Fatalf("a repeated submission is answered %d %s, want 200 and status done", a.Code, a.Body)
	}
	sim.Run(sim.Now + 30*model.Second)
	if sim.invariants.Starts != 2 {
		t.Fatalf("%d starts for 2 tasks, want 2", sim.invariants.Starts)
	}
}

// requireImmediateAnswer sends a node a request that it can't serve, and fails the test if the
// node holds the request instead of answering immediately.
func (n *simNode) requireImmediateAnswer(newMessage func(chan<- userapi.Answer) any) userapi.Answer {
	n.sim.t.Helper()
	reply := make(chan userapi.Answer, 1)
	n.send(newMessage(reply), nil)
	if len(reply) != 1 {
		n.sim.t.Fatal("a request that can't be served gets no immediate answer")
	}
	return <-reply
}

// In an outage of the state service that is longer than a session, no controller leads, running
// tasks continue as long as the workers' leases last, and submissions are refused immediately.
// After the outage all work is finished.
func TestOutageLongerThanASession(t *testing.T) {
	sim := newSmallDeployment(t, 9)
	job := sim.submit(arrayJob(1, 8, 60), 0)
	sim.runUntil(40*model.Second, "the job runs", func() bool { return sim.invariants.TasksOnMachines() == 8 })
	sim.state.SetOutage(true)
	sim.Run(sim.Now + 13*model.Second)
	if sim.leader() != nil {
		t.Fatal("a controller leads although the state service is down")
	}
	if sim.invariants.TasksOnMachines() != 8 {
		t.Fatal("running tasks were lost during the outage, before the workers' leases expired")
	}
	answer := sim.nodes[1].requireImmediateAnswer(func(r chan<- userapi.Answer) any { return msgSubmit{"j-000002", arrayJob(2, 1, 1), nil, r} })
	if answer.Code != 503 || answer.RetryAfter == 0 {
		t.Fatalf("a submission is answered %d with Retry-After %d, want 503 and a positive Retry-After", answer.Code, answer.RetryAfter)
	}
	if !sim.nodes[1].ctl.isHealthy() {
		t.Error("the node reports itself unhealthy: in an outage all nodes would leave the load balancer")
	}
	sim.Run(sim.Now + 6*model.Second)
	sim.state.SetOutage(false)
	sim.runUntil(120*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
	if sim.invariants.Starts != 8 {
		t.Errorf("%d starts for 8 tasks: an outage of 19 s should lose nothing", sim.invariants.Starts)
	}
}

// If the state service answers 503 to one node only, the node refers its users to a sibling,
// and if it leads, another node takes over.
func TestNodeRefusedByStateService(t *testing.T) {
	sim := newSmallDeployment(t, 10)
	sim.submit(arrayJob(1, 4, 30), 0)
	sim.runUntil(40*model.Second, "the job runs", func() bool { return sim.invariants.TasksOnMachines() == 4 })
	formerLeader := sim.leader()
	formerLeader.setStateLink(linkRefusing)
	sim.Run(sim.Now + 3*model.Second)
	answer := formerLeader.requireImmediateAnswer(func(r chan<- userapi.Answer) any { return msgStatusRequest{"j-000001", r} })
	if answer.Code != 503 || answer.ForwardTo == "" || answer.ForwardTo == formerLeader.name {
		t.Fatalf("answered %+v, want 503 and a sibling to forward to", answer)
	}
	sim.runUntil(3*model.Second, "another controller leads, long before the session expires",
		func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	sim.Run(sim.Now + 40*model.Second)
	sim.requireInvariants()
	if sim.invariants.Starts != 4 {
		t.Errorf("%d starts for 4 tasks", sim.invariants.Starts)
	}
}

// A leader that no worker can reach hands over to a sibling that workers can reach, before the
// workers' leases expire.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	sim := newSmallDeployment(t, 15)
	sim.submit(arrayJob(1, 12, 60), 0)
	sim.runUntil(40*model.Second, "the job runs", func() bool { return sim.invariants.TasksOnMachines() == 12 })
	formerLeader := sim.leader()
	formerLeader.reachableByWorkers = false
	sim.runUntil(12*model.Second, "another controller leads", func() bool { l := sim.leader(); return l != nil && l != formerLeader })
	sim.Run(sim.Now + 30*model.Second)
	sim.requireInvariants()
	if sim.invariants.Starts != 12 {
		t.Errorf("%d starts for 12 tasks", sim.invariants.Starts)
	}
}

// Across takeovers, the sum of the credits of all grants never exceeds a team's limit.
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

// A node whose watch is too far behind for the events that the state service keeps reads all
// records again.
func TestWatchRevisionTooOld(t *testing.T) {
	sim := newSmallDeployment(t, 12)
	sim.runUntil(5*model.Second, "a controller leads", func() bool { return sim.leader() != nil })
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
		t.Fatalf("the view is at revision %d, want at most 50 behind another node's %d", got, want)
	}
	for jobID := range sim.invariants.Accepted {
		if _, _, _, known := node.ctl.view.Status(jobID); !known {
			t.Errorf("the node does not know job %s", jobID)
		}
	}
}

// Jobs with the maximum number of tasks run within the limits of the state service: the
// simulated service refuses values and transactions that are too large.
func TestVeryManyTinyTasks(t *testing.T) {
	t.Parallel()
	sim := newSmallDeployment(t, 16)
	var jobs []*user
	for i := range 2 {
		s := arrayJob(i, 100_000, 1)
		s.Cores, s.MemoryGB, s.Team, s.ImageGB = 0.001, 0.001, "red", 0.1
		jobs = append(jobs, sim.submit(s, 0))
	}
	sim.runUntil(60*model.Second, "more than 1000 tasks run", func() bool { return sim.invariants.TasksOnMachines() > 1000 })
	sim.Run(sim.Now + 6*model.Second)
	sim.requireInvariants()
	done := 0
	for _, job := range jobs {
		s := sim.nodes[0].ctl.view.Done(job.submission.ID)
		done += s.Len()
	}
	if done < 1500 {
		t.Errorf("%d tasks are done, want at least 1500", done)
	}
}

// A controller without authority does not answer 200 to a worker, however soon the worker's
// lease expires.
func TestNoAnswerToWorkersWithoutAuthority(t *testing.T) {
	sim := newSmallDeployment(t, 13)
	sim.waitForLeader(5 * model.Second)
	leader := sim.leader()
	leaseTimes := leader.ctl.authority.Times
	for _, other := range sim.nodes {
		if other != leader {
			other.crash() // leaves no sibling to hand over to
		}
	}
	leader.setStateLink(linkDropping)
	sim.Run(sim.Now + leaseTimes.TTL + model.Second)
	reply := make(chan workerAnswer, 1)
	heartbeat := simHeartbeat("host-z")
	leader.send(msgHeartbeat{heartbeat: heartbeat, reply: reply}, nil)
	if a := <-reply; a.code == 200 {
		t.Fatal("a heartbeat was answered 200 without authority")
	}
}

// The session has to be short enough that a cut-off leader does not keep a cancelled task
// running for too long, and that a takeover completes within the workers' lease.
func TestComputeLeaseTimes(t *testing.T) {
	for _, settings := range []struct{ lease, report, cancel float64 }{{18, 2.5, 38}, {18, 2.5, 43}, {30, 5, 45}, {10, 2, 22}} {
		lease, report, cancel := model.Seconds(settings.lease), model.Seconds(settings.report), model.Seconds(settings.cancel)
		times := leadership.ComputeLeaseTimes(30*model.Second, lease, report, cancel)
		if times.TTL+lease+lease/1000 >= cancel {
			t.Errorf("%v: a cut-off leader keeps a cancelled task for %v", settings, times.TTL+lease)
		}
		if times.TTL > 30*model.Second || times.TTL+2*report >= lease+report {
			t.Errorf("%v: session of %v is too long for a takeover within the lease", settings, times.TTL)
		}
	}
}

// The state service occasionally takes very long for a transaction. Jobs that other users submit
// in the meantime are still accepted without delay.
func TestSlowWritesDoNotDelayOtherSubmissions(t *testing.T) {
	sim := newSmallDeployment(t, 43)
	sim.runUntil(10*model.Second, "machine types are known", func() bool { return len(sim.nodes[0].ctl.view.MachineTypes) > 0 })
	node := sim.nodes[0]
	unanswered := 0
	node.intercept = func(m msgCommitted) bool {
		if m.lane >= laneUsers && unanswered < 2 {
			unanswered++
			return true // no answer
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
		t.Fatalf("answered %d and %d with %d unanswered transactions, want no answers and 2 transactions", a, b, unanswered)
	}
	if code := submit(3); code != 201 {
		t.Errorf("a submission during two slow transactions is answered %d, want 201", code)
	}
}

// A cancellation is queued because all lanes for users' transactions wait for answers, and the
// job ends before the cancellation is written. The recorded end must stay. The
// transaction's condition is taken from the view at the time of writing, which already has the
// end, so the condition alone does not protect it: a job that had been reported as done was
// reported as withdrawn from then on.
func TestQueuedCancellationKeepsRecordedEnd(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSmallDeployment(t, 60+seed)
		job := sim.submit(arrayJob(1, 2, 8), 0)
		sim.runUntil(60*model.Second, "the job runs", func() bool { return sim.invariants.TasksOnMachines() == 2 })
		node := sim.nodes[0]
		if node == sim.leader() {
			node = sim.nodes[1]
		}
		release := node.blockUserLanes()
		sim.Run(sim.Now + 6*model.Second) // of the 8 s that the tasks run
		reply := make(chan userapi.Answer, 1)
		sim.invariants.CancelRequested(job.submission.ID)
		node.send(msgCancel{job.submission.ID, reply}, nil)
		sim.runUntil(4*model.Second, "the job's end is written while the cancellation is queued", func() bool {
			_, ended := node.ctl.view.EffectiveEnd(job.submission.ID)
			return ended && len(node.ctl.userWrites.queue) > 0
		})
		release()
		sim.runUntil(3*model.Second, "the cancellation is answered", func() bool { return len(reply) == 1 })
		if a := <-reply; a.Code != 200 || !strings.Contains(string(a.Body), "done") {
			t.Errorf("seed %d: the cancellation of a done job is answered %d %s, want 200 and status done", seed, a.Code, a.Body)
		}
		for _, other := range sim.nodes {
			sim.Run(sim.Now + model.Second)
			if end, _ := other.ctl.view.EffectiveEnd(job.submission.ID); end != model.JobDone {
				t.Errorf("seed %d: %s has end %q for the job, want %q", seed, other.name, end, model.JobDone)
			}
		}
		sim.requireInvariants()
	}
}

// blockUserLanes occupies all lanes of a node for users' transactions with submissions that get
// no answer until the returned function is called.
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
		n.sim.t.Fatalf("%d transactions wait for an answer, want %d", len(unansweredWrites), userLanes)
	}
	return func() {
		blocked = false
		for _, m := range unansweredWrites {
			m.err = state.ErrLost
			n.deliver(n.incarnation, m)
		}
	}
}
