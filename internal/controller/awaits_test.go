package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// requestAndWait sends a request to a node and runs the simulation until the answer arrives.
func (n *simNode) requestAndWait(newMessage func(chan<- userapi.Answer) any) userapi.Answer {
	n.sim.t.Helper()
	reply := make(chan userapi.Answer, 1)
	n.send(newMessage(reply), nil)
	n.sim.runUntil(10*model.Second, "an answer", func() bool { return len(reply) == 1 })
	return <-reply
}

// submit submits a copy of a job to this node and returns the answer.
func (n *simNode) submit(s *model.Submission) userapi.Answer {
	return n.requestAndWait(func(r chan<- userapi.Answer) any { c := *s; return msgSubmit{c.ID, &c, nil, r} })
}

// jobStatus returns the status of a job as this node reports it.
func (n *simNode) jobStatus(t *testing.T, jobID string) string {
	t.Helper()
	var a userapi.Answer
	n.sim.runUntil(10*model.Second, "an answer about "+jobID, func() bool {
		a = n.requestAndWait(func(r chan<- userapi.Answer) any { return msgStatusRequest{jobID, r} })
		return a.Code != 503 // a synchronization can be lost
	})
	var body struct{ Status string }
	if a.Code != 200 || json.Unmarshal(a.Body, &body) != nil {
		t.Fatalf("status of %s: got %d %s, want 200", jobID, a.Code, a.Body)
	}
	return body.Status
}

// awaitingJob returns an array job that awaits other jobs.
func awaitingJob(i int, jobIDs ...string) *model.Submission {
	s := arrayJob(i, 2, 5)
	s.Awaits = jobIDs
	return s
}

// A submission that awaits a job that was never accepted is refused, but only on a view that
// is up to date: another node may just have accepted that job.
func TestAwaitsOnlyAcceptedJobs(t *testing.T) {
	sim := newSmallDeployment(t, 61)
	sim.waitForLeader(10 * model.Second)
	sim.Run(sim.Now + 3*model.Second)
	service := arrayJob(2, 1, 0)
	service.Kind = "service"
	for i, s := range []*model.Submission{arrayJob(0, 2, 200), service} {
		if a := sim.nodes[i].submit(s); a.Code != 201 {
			t.Fatalf("submission: got %d %s, want 201", a.Code, a.Body)
		}
	}
	// The third node's view does not include them yet.
	first, other := awaitingJob(3, "j-000000"), awaitingJob(4, "j-000000", "j-000003")
	if a := sim.nodes[2].submit(first); a.Code != 201 {
		t.Errorf("awaits a job that another node accepted: got %d %s, want 201", a.Code, a.Body)
	}
	if a := sim.nodes[1].submit(other); a.Code != 201 {
		t.Errorf("awaits two jobs: got %d %s, want 201", a.Code, a.Body)
	}
	for i, jobIDs := range [][]string{{"j-999999"}, {"j-000000", "j-999999"}, {"j-000009"}, {"j-000002"}} {
		if a := sim.nodes[i%3].submit(awaitingJob(9, jobIDs...)); a.Code != 422 {
			t.Errorf("awaits %v: got %d %s, want 422", jobIDs, a.Code, a.Body)
		}
	}
	// A repeated submission of an accepted job is answered with the job's status, whatever it
	// contains.
	again := awaitingJob(3, "j-999999")
	if a := sim.nodes[0].submit(again); a.Code != 200 || !strings.Contains(string(a.Body), "pending") {
		t.Errorf("repeated submission: got %d %s, want 200 and pending", a.Code, a.Body)
	}
	// During an outage of the state service, a node can't determine whether a job that it does
	// not know was accepted.
	sim.state.SetOutage(true)
	sim.Run(sim.Now + 2*model.Second)
	if a := sim.nodes[0].submit(awaitingJob(10, "j-999999")); a.Code != 503 || a.RetryAfter == 0 {
		t.Errorf("during an outage: got %d %s, want 503 and a time to retry", a.Code, a.Body)
	}
}

// A job whose record does not fit into a value of the state service, under the present
// limits or under the announced lower ones, is refused; a long list of awaited jobs that
// fits is accepted.
func TestAwaitsMustFitIntoRecord(t *testing.T) {
	sim := newDeployment(t, 62, settingsWithNextLimits, cloudCapacity(4, 2))
	sim.waitForLeader(10 * model.Second)
	sim.Run(sim.Now + 3*model.Second)
	var jobIDs []string
	for i := range 100 {
		s := arrayJob(i, 1, 1)
		jobIDs = append(jobIDs, s.ID)
		n := sim.nodes[i%3]
		sim.runUntil(30*model.Second, "accepted", func() bool { return n.submit(s).Code/100 == 2 })
	}
	if a := sim.nodes[0].submit(awaitingJob(200, jobIDs...)); a.Code != 201 {
		t.Errorf("awaits 100 jobs: got %d %s, want 201", a.Code, a.Body)
	}
	oversized := awaitingJob(201, jobIDs...)
	oversized.Image = strings.Repeat("x", 900)
	if a := sim.nodes[0].submit(oversized); a.Code != 422 {
		t.Errorf("record too large: got %d %s, want 422", a.Code, a.Body)
	}
}

// registerSubmission registers a job with the invariant checker; tests that submit a job
// themselves call it.
func (sim *simDeployment) registerSubmission(s *model.Submission) {
	sim.invariants.Submitted[s.ID], sim.invariants.Awaits[s.ID] = s.Job(0), s.Awaits
}

// submitUntilAccepted submits a job to random nodes until one accepts it.
func (sim *simDeployment) submitUntilAccepted(s *model.Submission) {
	sim.t.Helper()
	sim.registerSubmission(s)
	sim.runUntil(60*model.Second, "accepted", func() bool { return sim.nodes[sim.Rand.IntN(3)].submit(s).Code/100 == 2 })
}

// submitChainAndFan submits, in alternation, jobs that each await the previous one (a chain)
// and jobs that all await the first (a fan).
func (sim *simDeployment) submitChainAndFan(first string) (jobIDs []string) {
	sim.t.Helper()
	last := first
	for i := 10; i < 60; i++ {
		chained, fanned := awaitingJob(i, last), awaitingJob(100+i, first)
		sim.submitUntilAccepted(chained)
		sim.submitUntilAccepted(fanned)
		jobIDs = append(jobIDs, chained.ID, fanned.ID)
		last = chained.ID
	}
	return jobIDs
}

// requireCancelledEverywhere checks that all nodes that are up report the jobs as withdrawn.
func (sim *simDeployment) requireCancelledEverywhere(jobIDs []string) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, jobID := range jobIDs {
			if s := n.jobStatus(sim.t, jobID); s != "withdrawn" {
				sim.t.Fatalf("%s reports %s as %q, want withdrawn", n.name, jobID, s)
			}
		}
	}
}

// startStoppedNodes starts the nodes that are not up.
func (sim *simDeployment) startStoppedNodes() {
	for _, n := range sim.nodes {
		if !n.alive {
			n.start()
		}
	}
}

// Cancelling a job immediately cancels all its direct and indirect dependents on every node,
// without a write for each of them: neither their number nor the state service's limits
// matter. This includes dependents that are submitted at the same time through another node,
// or later. Jobs that are done stay done.
func TestCancellationIncludesDependents(t *testing.T) {
	sim := newDeployment(t, 63, settingsWithNextLimits, cloudCapacity(4, 2))
	sim.waitForLeader(10 * model.Second)
	sim.Run(sim.Now + 3*model.Second)
	before, first := arrayJob(0, 1, 1), arrayJob(1, 4, 300)
	sim.submitUntilAccepted(before)
	first.Awaits = []string{before.ID}
	sim.submitUntilAccepted(first)
	dependents := sim.submitChainAndFan(first.ID)
	last := dependents[len(dependents)-2] // the end of the chain
	sim.runUntil(60*model.Second, "the first runs", func() bool { return sim.nodes[0].jobStatus(t, first.ID) == "running" })
	sim.state.LowerLimits(2, 5, 3)
	u := &user{sim: sim, submission: first}
	sim.invariants.CancelRequested(first.ID)
	late := awaitingJob(500, first.ID)
	sim.registerSubmission(late)
	lateReply := make(chan userapi.Answer, 1)
	sim.nodes[1].send(msgSubmit{late.ID, late, nil, lateReply}, nil)
	u.sendCancel()
	sim.runUntil(10*model.Second, "it is cancelled", func() bool { return sim.invariants.ReportedEnd(first.ID) == "withdrawn" })
	sim.waitForLeader(30 * model.Second)
	sim.leader().crash() // so that no leader can write anything about the dependents
	sim.requireCancelledEverywhere(dependents)
	sim.startStoppedNodes()
	sim.waitForLeader(30 * model.Second)
	sim.runUntil(20*model.Second, "the submission during the cancellation is answered", func() bool { return len(lateReply) == 1 })
	if a := <-lateReply; a.Code == 201 {
		if s := sim.nodes[2].jobStatus(t, late.ID); s != "withdrawn" {
			t.Errorf("dependent submitted during the cancellation is %q, want withdrawn", s)
		}
	}
	if a := sim.nodes[0].submit(awaitingJob(501, last)); a.Code != 201 || sim.nodes[2].jobStatus(t, awaitingJob(501).ID) != "withdrawn" {
		t.Errorf("dependent submitted after the cancellation: got %d %s, want 201 and status withdrawn", a.Code, a.Body)
	}
	if s := sim.nodes[0].jobStatus(t, before.ID); s != "done" {
		t.Errorf("job that was done before is %q, want done", s)
	}
	sim.Run(sim.Now + 60*model.Second)
	if sim.requireInvariants(); sim.invariants.TasksOnMachines() != 0 {
		t.Errorf("%d tasks are still on machines, want 0", sim.invariants.TasksOnMachines())
	}
}

// A cancellation that is answered with done, because the job has already ended, does not
// cancel the dependents.
func TestCancelOfDoneJobKeepsDependents(t *testing.T) {
	sim := newSmallDeployment(t, 64)
	users := sim.submitPipeline(0, 0)
	sim.runUntil(60*model.Second, "the first is done", func() bool { return users[0].reportedEnd == "done" })
	a := sim.nodes[1].requestAndWait(func(r chan<- userapi.Answer) any { return msgCancel{users[0].submission.ID, r} })
	if a.Code != 200 || !strings.Contains(string(a.Body), "done") {
		t.Fatalf("cancellation of a done job: got %d %s, want 200 and done", a.Code, a.Body)
	}
	sim.runUntil(120*model.Second, "all is done", func() bool {
		return len(users) > 0 && !slices.ContainsFunc(sim.pipelineJobIDs(0), func(jobID string) bool { return sim.invariants.ReportedEnd(jobID) != "done" })
	})
	sim.requireInvariants()
}

// pipelineJobIDs returns the ids of the jobs of a pipeline.
func (sim *simDeployment) pipelineJobIDs(first int) (ids []string) {
	for i := range 4 {
		ids = append(ids, fmt.Sprintf("j-%06d", first+i))
	}
	return ids
}

// A pipeline continues after crashes of all controllers, and when no other event makes the
// leader look at the waiting jobs.
func TestPipelineSurvivesTakeovers(t *testing.T) {
	sim := newSmallDeployment(t, 65)
	sim.submitPipeline(0, 0)
	for range 3 {
		sim.Run(sim.Now + 12*model.Second)
		for _, n := range sim.nodes {
			n.crashFor(sim.Between(50*model.Millisecond, 3*model.Second))
		}
	}
	sim.runUntil(200*model.Second, "all is done", func() bool {
		return !slices.ContainsFunc(sim.pipelineJobIDs(0), func(jobID string) bool { return sim.invariants.ReportedEnd(jobID) != "done" })
	})
	sim.requireInvariants()
}

// A job that awaits others uses no part of its team's limit, preempts nothing and causes
// no machines to be rented.
func TestAwaitingJobTakesNoResources(t *testing.T) {
	sim := newSmallDeployment(t, 66)
	sim.waitForLeader(10 * model.Second)
	sim.Run(sim.Now + 3*model.Second)
	first := arrayJob(0, 2, 60)
	big := arrayJob(1, 20, 5) // the team's whole limit
	big.Awaits, big.Priority = []string{first.ID}, "critical"
	sim.submit(first, 0).onAccepted = func() { sim.submit(big, 0) }
	sim.runUntil(30*model.Second, "the first runs", func() bool { return sim.invariants.TasksOnMachines() == 2 })
	other := sim.submit(arrayJob(2, 16, 5), 0)
	sim.runUntil(40*model.Second, "the later job is done", func() bool { return other.reportedEnd == "done" })
	if s := sim.nodes[0].jobStatus(t, big.ID); s != "pending" {
		t.Errorf("job that awaits another is %q, want pending", s)
	}
	sim.runUntil(120*model.Second, "all is done", func() bool { return sim.invariants.ReportedEnd(big.ID) == "done" })
	sim.requireInvariants()
}

// The invariant checker finds violations in a simulated deployment: a job that starts before
// the job it awaits is done, a dependent that outlives a cancellation, and an accepted job for
// which requests are no longer answered.
func TestInvariantCheckerFindsViolations(t *testing.T) {
	sim := newSmallDeployment(t, 67)
	sim.waitForLeader(10 * model.Second)
	sim.Run(sim.Now + 3*model.Second)
	violated := func(name string) bool {
		return slices.ContainsFunc(sim.invariants.Violations, func(violation string) bool { return strings.Contains(violation, name) })
	}
	// Only the invariant checker knows that the second job awaits the first.
	first, second := arrayJob(0, 2, 60), arrayJob(1, 2, 60)
	sim.submit(first, 0)
	sim.submit(second, 0)
	sim.invariants.Awaits[second.ID] = []string{first.ID}
	sim.runUntil(30*model.Second, "too_early", func() bool { return violated("too_early") })
	sim.invariants.CancelRequested(first.ID)
	(&user{sim: sim, submission: first}).sendCancel()
	sim.runUntil(60*model.Second, "orphaned", func() bool { return violated("orphaned") })
	// All controllers are down, although no fault is active as far as the checker knows.
	sim.submit(arrayJob(2, 1, 300), 0)
	sim.runUntil(20*model.Second, "it is accepted", func() bool { return sim.invariants.Accepted[arrayJob(2, 1, 1).ID] })
	sim.invariants.FaultsOverAt = sim.Now
	for _, n := range sim.nodes {
		n.crash()
	}
	sim.Run(sim.Now + 70*model.Second)
	if violated("forgotten") {
		t.Error("violation \"forgotten\" is reported too early")
	}
	sim.Run(sim.Now + 15*model.Second)
	if !violated("forgotten") {
		t.Error("violation \"forgotten\" is not reported")
	}
}
