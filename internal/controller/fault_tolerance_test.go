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
	for _, worker := range sim.cloud.Workers() {
		if worker.TaskCount() > 0 {
			return worker
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
		job := sim.submit(arrayJob(1, 12, 50), 0)
		worker := sim.waitForRunningTasks(12)
		sim.responsesLost[worker.ID] = true
		if takeover {
			sim.leader().crash()
		}
		sim.Run(sim.Now + 25*model.Second)
		if n := worker.TaskCount(); n != 0 {
			t.Fatalf("takeover %v: %d tasks on a machine without a lease", takeover, n)
		}
		leader := sim.leader()
		if leader == nil {
			t.Fatal("nobody leads")
		}
		sim.submit(arrayJob(2, 30, 5), 0)
		sim.runUntil(80*model.Second, "it is returned", func() bool {
			machine := leader.ctl.leading.shard.Machines[worker.ID]
			for _, other := range sim.cloud.Workers() {
				if other == worker {
					return false
				}
			}
			return machine == nil
		})
		sim.runUntil(100*model.Second, "its work is done elsewhere", func() bool { return job.reportedEnd == "done" })
		sim.requireInvariants()
	}
}

// When no machine hears, the fault may be the controller's: they are not all
// returned, and go on once they hear again.
func TestFleetWithoutResponsesIsNotReturned(t *testing.T) {
	sim := newSmallDeployment(t, 32)
	job := sim.submit(arrayJob(1, 16, 40), 0)
	sim.waitForRunningTasks(16)
	workersBefore := sim.cloud.Workers()
	for _, worker := range workersBefore {
		sim.responsesLost[worker.ID] = true
	}
	sim.Run(sim.Now + 60*model.Second)
	clear(sim.responsesLost)
	workersNow := sim.cloud.Workers()
	for _, worker := range workersBefore {
		if !slices.Contains(workersNow, worker) {
			t.Errorf("%s was returned", worker.ID)
		}
	}
	sim.runUntil(150*model.Second, "it is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// Copies of reports come late, from seconds to well over a lease, to any
// controller, across a takeover and machines that are gone: they revive nothing,
// and nothing runs twice.
func TestLateDuplicatesOfHeartbeats(t *testing.T) {
	sim := newSmallDeployment(t, 22)
	sim.duplicateHeartbeatChance = 0.5
	var jobs []*user
	for i := range 8 {
		jobs = append(jobs, sim.submit(arrayJob(i, 8, 12), 0))
		jobs = append(jobs, sim.submit(gangJob(20+i, 2, 15), 0))
	}
	sim.Run(50 * model.Second)
	sim.leader().crash()
	sim.Run(sim.Now + 20*model.Second)
	sim.startStoppedNodes()
	sim.Run(400 * model.Second)
	sim.requireInvariants()
	for _, u := range jobs {
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
	worker := sim.waitForRunningTasks(12)
	sim.Run(sim.Now + 5*model.Second)
	oldHeartbeats := sim.recordedHeartbeats
	sim.recordsHeartbeats = false
	sim.leader().crash()
	worker.Terminate()
	for _, other := range sim.cloud.Workers() {
		other.SetHung(true) // only the copies speak
	}
	sim.runUntil(15*model.Second, "another leads", func() bool { leader := sim.leader(); return leader != nil && leader.ctl.leading.ready })
	leading := sim.leader().ctl.leading
	countBindings := func() (n int) {
		for _, job := range leading.shard.Jobs {
			n += job.BindingCount()
		}
		return n
	}
	boundBefore, startsBefore := countBindings(), sim.invariants.Starts
	replayStart := sim.Now
	for range 3 {
		replayHeartbeats(oldHeartbeats)
		sim.Run(sim.Now + 3*model.Second)
	}
	if sim.Now > replayStart+15*model.Second {
		t.Fatal("the leases may be over by now")
	}
	if n := countBindings(); n != boundBefore || boundBefore != 12 {
		t.Errorf("%d of %d bindings are left after copies of old reports", n, boundBefore)
	}
	if n := sim.invariants.Starts - startsBefore; n != 0 {
		t.Errorf("%d starts", n)
	}
	for id, machine := range leading.shard.Machines {
		if machine.ReceivesAnswers || machine.Up {
			t.Errorf("%s: hears %v, is up %v", id, machine.ReceivesAnswers, machine.Up)
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
	job := sim.submit(arrayJob(2, 6, 90), 0)
	sim.waitForRunningTasks(18)
	leader := sim.leader()
	leader.setStateLink(linkDropping)
	leader.peersCutOff = true
	isolatedAt := sim.Now
	job.cancelAt = sim.Now + 2*model.Second
	sim.runUntil(leader.ctl.authority.Times.TTL+3*model.Second, "a successor leads", func() bool {
		successor := sim.leader()
		return successor != nil && successor != leader && successor.ctl.leading.ready
	})
	if leader.ctl.authority.IsValid(leader.ctl.clock()) {
		t.Fatal("two hold authority")
	}
	sim.runUntil(30*model.Second, "the cancellation is answered", func() bool { return job.reportedEnd == "withdrawn" })
	sim.Run(isolatedAt + 80*model.Second)
	leader.setStateLink(linkOpen)
	leader.peersCutOff = false
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
	elections := new(electionLog)
	for _, node := range sim.nodes {
		node.intercept = func(m msgCommitted) bool {
			if m.lane != laneElection {
				return false
			}
			elections.txns = append(elections.txns, m.txn)
			if len(elections.txns)%2 == 0 {
				return false
			}
			_, _ = sim.state.Commit(node.name, m.txn) // whatever comes of it
			node.crashFor(sim.Between(10*model.Millisecond, 300*model.Millisecond))
			return true
		}
	}
	return elections
}

func (sim *simDeployment) requireAtMostOneLeader() {
	sim.t.Helper()
	leaders := 0
	for _, node := range sim.nodes {
		if node.alive && node.ctl.leading != nil && node.ctl.authority.IsValid(node.ctl.clock()) {
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
	var jobs []*user
	for i := range 6 {
		jobs = append(jobs, sim.submit(arrayJob(i, 8, 20), 0))
	}
	sim.waitForRunningTasks(20)
	elections := sim.crashDuringElections()
	for range 5 {
		if leader := sim.leader(); leader != nil {
			leader.crashFor(sim.Between(10*model.Millisecond, 300*model.Millisecond))
		}
		sim.Run(sim.Now + 3*model.Second)
		sim.requireAtMostOneLeader()
	}
	for _, node := range sim.nodes {
		node.intercept = nil
	}
	sim.waitForLeader(20 * model.Second)
	token := sim.leader().ctl.leading.token
	for _, txn := range elections.txns {
		if res, err := sim.state.Commit("", txn); err == nil && res.OK {
			t.Fatalf("a former election is carried out: %v, %v", res, err)
		}
	}
	if newToken := sim.leader().ctl.leading.token; newToken != token {
		t.Fatalf("token %d after %d", newToken, token)
	}
	sim.runUntil(200*model.Second, "all is done", func() bool { return allReportedDone(jobs) })
	sim.requireInvariants()
}

// A machine that is back within a fraction of a second has lost its tasks, in a
// new session: they run again, and none twice at once.
func TestQuickWorkerRestarts(t *testing.T) {
	sim := newSmallDeployment(t, 26)
	job := sim.submit(arrayJob(1, 12, 20), 0)
	sim.waitForRunningTasks(12)
	for range 3 {
		for _, worker := range sim.cloud.Workers() {
			worker.Restart()
		}
		sim.Run(sim.Now + 300*model.Millisecond)
	}
	sim.runUntil(120*model.Second, "it is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// overload is a time in which far more is submitted than can be taken.
type overload struct {
	*simDeployment
	end                model.Micros
	lastJobNumber      int // the number of the last job
	refusals           int // submissions that were refused
	lateRefusals       int // those of them whose answer took long
	requests, answered int // questions about a job that was accepted before
}

// flood submits 400 jobs a second at each controller; 25 changes a second may be made.
func (o *overload) flood() {
	if o.Now >= o.end {
		return
	}
	for _, node := range o.nodes {
		if !node.alive {
			continue
		}
		for range 20 {
			o.submitTo(node)
		}
	}
	o.After(50*model.Millisecond, o.flood)
}

func (o *overload) submitTo(node *simNode) {
	o.lastJobNumber++
	reply := make(chan userapi.Answer, 1)
	askedAt := o.Now
	submission := arrayJob(o.lastJobNumber, 1, 1)
	o.invariants.Submitted[submission.ID] = submission.Job(0)
	node.send(msgSubmit{submission.ID, submission, nil, reply}, func() bool {
		select {
		case a := <-reply:
			o.invariants.CheckAnswer(submission.ID, a.Code, a.Body, askedAt)
			o.countRefusal(a, askedAt)
			return true
		default:
			return false
		}
	})
}

func (o *overload) countRefusal(a userapi.Answer, askedAt model.Micros) {
	if a.Code != 429 && a.Code != 503 {
		return
	}
	o.refusals++
	if a.RetryAfter == 0 {
		o.t.Fatalf("refused with %d without a time to come back", a.Code)
	}
	if o.Now > askedAt+2*model.Second {
		o.lateRefusals++
	}
}

// ask asks about a job twice a second.
func (o *overload) pollStatus(job *user) {
	if o.Now >= o.end {
		return
	}
	o.requests++
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
	load := &overload{simDeployment: sim, end: sim.Now + 60*model.Second, lastJobNumber: 1000}
	sim.After(0, load.flood)
	sim.At(sim.Now+20*model.Second, func() { sim.leader().crashFor(4 * model.Second) })
	load.pollStatus(first)
	sim.Run(load.end)
	// A few wait for a transaction whose answer got lost.
	if load.refusals < 1000 || load.lateRefusals*1000 > load.refusals {
		t.Errorf("%d refused, %d of them held back", load.refusals, load.lateRefusals)
	}
	if load.answered < load.requests*8/10 {
		t.Errorf("%d of %d questions answered", load.answered, load.requests)
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
	var jobs []*user
	for i := range 40 {
		jobs = append(jobs, sim.submit(arrayJob(i, 1+i%4, 5), 0))
	}
	sim.Run(12 * model.Second)
	for round := range 3 {
		for _, node := range sim.nodes {
			node.crashFor(sim.Between(50*model.Millisecond, 4*model.Second))
		}
		sim.Run(sim.Now + model.Second*model.Micros(4+round))
	}
	sim.Run(sim.Now + 10*model.Second)
	for _, u := range jobs {
		if !u.accepted {
			continue
		}
		for _, node := range sim.nodes {
			reply := make(chan userapi.Answer, 1)
			node.send(msgStatusRequest{u.submission.ID, reply}, nil)
			sim.runUntil(3*model.Second, "an answer", func() bool { return len(reply) == 1 })
			if a := <-reply; a.Code == 404 {
				t.Errorf("%s is forgotten by %s", u.submission.ID, node.name)
			}
		}
	}
	sim.runUntil(300*model.Second, "all that was accepted is done", func() bool {
		for _, u := range jobs {
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
	jobNumber := 100
	var submitSmallGangs func()
	submitSmallGangs = func() {
		if sim.Now > 500*model.Second {
			return
		}
		jobNumber++
		submission := gangJob(jobNumber, 1, 20)
		submission.Cores, submission.Class = 3, "small"
		sim.submit(submission, 0)
		sim.After(1200*model.Millisecond, submitSmallGangs)
	}
	submitSmallGangs()
	sim.Run(60 * model.Second)
	bigSubmission := gangJob(1, 6, 20)
	bigSubmission.SameZone, bigSubmission.Cores = true, 3
	bigJob := sim.submit(bigSubmission, 0)
	lowSubmission := arrayJob(2, 3, 10)
	lowSubmission.Priority, lowSubmission.Cores = "idle", 2
	lowJob := sim.submit(lowSubmission, 0)
	begin := sim.Now
	startDelay := map[string]model.Micros{}
	startsBefore := 0
	for sim.Now < begin+240*model.Second {
		sim.Run(sim.Now + model.Second)
		if leader := sim.leader(); leader != nil && leader.ctl.leading.ready {
			for _, id := range []string{bigSubmission.ID, lowSubmission.ID} {
				if job := leader.ctl.leading.shard.Jobs[id]; job != nil && job.HasRun && startDelay[id] == 0 {
					startDelay[id] = sim.Now - begin
				}
			}
		}
		if sim.Now == begin+20*model.Second {
			startsBefore = sim.invariants.Starts
		}
	}
	if startDelay[bigSubmission.ID] == 0 && bigJob.reportedEnd == "" || startDelay[lowSubmission.ID] == 0 && lowJob.reportedEnd == "" {
		t.Errorf("begun after: %v", startDelay)
	}
	if n := sim.invariants.Starts - startsBefore; n < 60 {
		t.Errorf("only %d tasks began meanwhile", n)
	}
	sim.requireInvariants()
}

// A machine that nobody expected is told the token, and nothing more, until a
// report bears it: the report may be the copy of one of a machine long gone.
func TestHeartbeatWithOldTokenGetsTokenOnly(t *testing.T) {
	sim := newSmallDeployment(t, 30)
	sim.waitForLeader(5 * model.Second)
	leader := sim.leader()
	reply := make(chan workerAnswer, 1)
	leader.send(msgHeartbeat{heartbeat: simHeartbeat("host-000999"), reply: reply}, nil)
	a := <-reply
	if want := string(workerapi.Answer(leader.ctl.leading.token, nil)); a.code != 200 || string(a.body) != want {
		t.Errorf("answered %d %s", a.code, a.body)
	}
	if leader.ctl.leading.shard.Machines["host-000999"] != nil {
		t.Error("a machine is in the books though its report may be an old copy")
	}
}
