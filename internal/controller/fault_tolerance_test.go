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

// waitForRunningTasks waits until at least that many tasks are on machines, and returns a
// machine that has some.
func (sim *simDeployment) waitForRunningTasks(tasks int) *standin.Worker {
	sim.t.Helper()
	sim.runUntil(60*model.Second, "tasks are on machines", func() bool { return sim.invariants.TasksOnMachines() >= tasks })
	for _, worker := range sim.cloud.Workers() {
		if worker.TaskCount() > 0 {
			return worker
		}
	}
	sim.t.Fatal("no machine has a task")
	return nil
}

// A machine whose heartbeats arrive but that gets no responses ends its tasks when its lease
// expires. No task may be started twice, none may be waited for forever, and the machine
// must get no more work and be returned. The same holds if another controller takes over
// meanwhile, whose token the machine never sees.
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
			t.Fatalf("takeover %v: %d tasks on a machine whose lease has expired, want 0", takeover, n)
		}
		leader := sim.leader()
		if leader == nil {
			t.Fatal("no controller leads")
		}
		sim.submit(arrayJob(2, 30, 5), 0)
		sim.runUntil(80*model.Second, "the machine is returned", func() bool {
			machine := leader.ctl.leading.shard.Machines[worker.ID]
			for _, other := range sim.cloud.Workers() {
				if other == worker {
					return false
				}
			}
			return machine == nil
		})
		sim.runUntil(100*model.Second, "the job is done on other machines", func() bool { return job.reportedEnd == "done" })
		sim.requireInvariants()
	}
}

// If no machine gets responses, the fault may be the controller's: the machines are not
// returned, and go on once they get responses again.
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
	sim.runUntil(150*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// Copies of heartbeats arrive late, by seconds up to well over a lease, at any controller,
// also after a takeover and from machines that are gone. They must not bring a machine or
// task back, and no task may run twice.
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
			t.Errorf("%s ended as %q, want done", u.submission.ID, u.reportedEnd)
		}
	}
	if n := sim.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented, want at most 3", n)
	}
}

// A new leader knows no sequence numbers of heartbeats. If all heartbeats that machines ever
// sent arrive at it again, they must not free a binding, start a task, or make a machine
// count as up.
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
		other.SetHung(true) // so that only replayed heartbeats arrive
	}
	sim.runUntil(15*model.Second, "another controller leads", func() bool { leader := sim.leader(); return leader != nil && leader.ctl.leading.ready })
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
		t.Fatal("the leases may have expired by now")
	}
	if n := countBindings(); n != boundBefore || boundBefore != 12 {
		t.Errorf("%d of %d bindings are left after replayed heartbeats, want all 12", n, boundBefore)
	}
	if n := sim.invariants.Starts - startsBefore; n != 0 {
		t.Errorf("%d tasks started by replayed heartbeats", n)
	}
	for id, machine := range leading.shard.Machines {
		if machine.ReceivesResponses || machine.Up {
			t.Errorf("%s: receives responses %v, is up %v, want neither", id, machine.ReceivesResponses, machine.Up)
		}
	}
	sim.requireInvariants()
}

// The leader loses the state service and the other controllers, but not its workers. Its
// authority must end before a successor takes over, no invariant may be violated, and a
// cancellation that it never saw must be carried out.
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
		t.Fatal("the isolated leader still has authority")
	}
	sim.runUntil(30*model.Second, "the cancellation is confirmed", func() bool { return job.reportedEnd == "withdrawn" })
	sim.Run(isolatedAt + 80*model.Second)
	leader.setStateLink(linkOpen)
	leader.peersCutOff = false
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
	if got := sim.invariants.Starts; got > 18 {
		t.Errorf("%d starts for 18 tasks: running tasks were lost", got)
	}
}

// electionLog records the transactions by which controllers tried to become leader.
type electionLog struct{ txns []*state.Txn }

// crashDuringElections lets every other election transaction be applied while the controller
// crashes before it gets the response, and restarts within 300 ms.
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
			_, _ = sim.state.Commit(node.name, m.txn) // the result does not matter here
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
		sim.t.Fatalf("%d controllers lead, want at most one", leaders)
	}
}

// Controllers restart within a fraction of a second during elections, while requests that
// they sent before the restart are applied once more long afterwards. Only one may lead at a
// time, no accepted job may be forgotten, and no task may run twice.
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
			t.Fatalf("an earlier election transaction is applied again: %v, %v", res, err)
		}
	}
	if newToken := sim.leader().ctl.leading.token; newToken != token {
		t.Fatalf("the token is %d after earlier elections were repeated, want %d", newToken, token)
	}
	sim.runUntil(200*model.Second, "all jobs are done", func() bool { return allReportedDone(jobs) })
	sim.requireInvariants()
}

// A machine that restarts within a fraction of a second has lost its tasks and begins a new
// session. The tasks must run again, and none twice at once.
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
	sim.runUntil(120*model.Second, "the job is done", func() bool { return job.reportedEnd == "done" })
	sim.requireInvariants()
}

// overload submits far more jobs than can be accepted, until the time end, and counts the
// answers.
type overload struct {
	*simDeployment
	end                model.Micros
	lastJobNumber      int // number of the last submitted job
	refusals           int // refused submissions
	lateRefusals       int // refusals that took more than two seconds
	requests, answered int // status requests for a job that was accepted before
}

// flood submits 400 jobs per second to each controller; 25 writes per second are allowed.
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
	sentAt := o.Now
	submission := arrayJob(o.lastJobNumber, 1, 1)
	o.invariants.Submitted[submission.ID] = submission.Job(0)
	node.send(msgSubmit{submission.ID, submission, nil, reply}, func() bool {
		select {
		case a := <-reply:
			o.invariants.CheckAnswer(submission.ID, a.Code, a.Body, sentAt)
			o.countRefusal(a, sentAt)
			return true
		default:
			return false
		}
	})
}

func (o *overload) countRefusal(a userapi.Answer, sentAt model.Micros) {
	if a.Code != 429 && a.Code != 503 {
		return
	}
	o.refusals++
	if a.RetryAfter == 0 {
		o.t.Fatalf("refused with %d without a retry time", a.Code)
	}
	if o.Now > sentAt+2*model.Second {
		o.lateRefusals++
	}
}

// pollStatus requests the status of a job twice per second.
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

// Far more jobs are submitted than can be accepted. Refusals must come at once and with a
// retry time, status requests for an accepted job must be answered, cancellations must
// succeed, and accepted jobs must run, also right after a takeover.
func TestStatusRequestsAnsweredUnderOverload(t *testing.T) {
	sim := newSmallDeployment(t, 27)
	sim.runUntil(10*model.Second, "a controller leads and all nodes know the machine types", func() bool {
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
	// A few are refused late because they wait for a transaction whose response was lost.
	if load.refusals < 1000 || load.lateRefusals*1000 > load.refusals {
		t.Errorf("%d submissions refused, want at least 1000; %d of them late, want at most one in 1000", load.refusals, load.lateRefusals)
	}
	if load.answered < load.requests*8/10 {
		t.Errorf("%d of %d status requests answered, want at least 80%%", load.answered, load.requests)
	}
	if cancelled.reportedEnd != "withdrawn" {
		t.Errorf("the cancelled job ended as %q, want withdrawn", cancelled.reportedEnd)
	}
	sim.runUntil(120*model.Second, "the job that was accepted first is done", func() bool { return first.reportedEnd == "done" })
	sim.requireInvariants()
}

// Every job that was accepted before all controllers crash must stay known to each of them
// and must complete.
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
			sim.runUntil(3*model.Second, "a status request is answered", func() bool { return len(reply) == 1 })
			if a := <-reply; a.Code == 404 {
				t.Errorf("%s was accepted, but %s does not know it", u.submission.ID, node.name)
			}
		}
	}
	sim.runUntil(300*model.Second, "all accepted jobs are done", func() bool {
		for _, u := range jobs {
			if u.accepted && u.reportedEnd != "done" {
				return false
			}
		}
		return true
	})
	sim.requireInvariants()
}

// No job may starve in a full fleet. The largest gang of a class must start within four
// minutes although small gangs of the same priority arrive all the time, single tasks of the
// lowest priority must start beside them, and the small gangs must continue meanwhile.
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
		t.Errorf("the large gang or the tasks of the lowest priority did not start in 240 s; started after: %v", startDelay)
	}
	if n := sim.invariants.Starts - startsBefore; n < 60 {
		t.Errorf("only %d tasks started meanwhile, want at least 60", n)
	}
	sim.requireInvariants()
}

// A machine that is not expected gets only the token until a heartbeat of it carries that
// token: the heartbeat may be a copy from a machine that is long gone.
func TestHeartbeatWithOldTokenGetsTokenOnly(t *testing.T) {
	sim := newSmallDeployment(t, 30)
	sim.waitForLeader(5 * model.Second)
	leader := sim.leader()
	reply := make(chan workerAnswer, 1)
	leader.send(msgHeartbeat{heartbeat: simHeartbeat("host-000999"), reply: reply}, nil)
	a := <-reply
	if want := string(workerapi.Answer(leader.ctl.leading.token, nil)); a.code != 200 || string(a.body) != want {
		t.Errorf("answered %d %s, want 200 %s", a.code, a.body, want)
	}
	if leader.ctl.leading.shard.Machines["host-000999"] != nil {
		t.Error("the machine is registered although its heartbeat may be an old copy")
	}
}
