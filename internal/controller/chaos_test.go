package controller

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// Without faults all jobs are done, and machines are returned afterwards.
func TestWorkWithoutFaults(t *testing.T) {
	sim := newSmallDeployment(t, 1)
	var users []*user
	for i := range 6 {
		users = append(users, sim.submit(arrayJob(i, 8, 10), 0))
	}
	for i := 10; i < 14; i++ {
		users = append(users, sim.submit(gangJob(i, 1+i%3, 12), 0))
	}
	sim.Run(150 * model.Second)
	sim.requireInvariants()
	for _, u := range users {
		if u.reportedEnd != "done" {
			t.Errorf("%s: got end %q, want done; %s", u.submission.ID, u.reportedEnd, sim.cloud.Describe())
		}
	}
	sim.Run(300 * model.Second)
	if n := sim.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented, want 3 at most", n)
	}
}

// Random faults, one at a time and several at once, violate no invariant. Once they are over,
// every accepted job comes to its end.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newDeployment(t, rapid.Uint64().Draw(rt, "seed"), withFDLimit(rapid.SampledFrom([]int{0, 14}).Draw(rt, "FD limit"), simSettings), cloudCapacity(4, 2))
		const faultsEnd = 150 * model.Second
		drawJobs(rt, sim)
		drawServices(rt, sim)
		drawPipelines(rt, sim)
		drawFaults(rt, sim, faultsEnd)
		drawSimultaneousFaults(rt, sim, faultsEnd)
		sim.duplicateHeartbeatChance = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "duplicate heartbeat chance")
		sim.duplicateRequestChance = rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "duplicate request chance")
		sim.checksEveryNode = rapid.Bool().Draw(rt, "checks every node")
		sim.At(faultsEnd, (&failureScenario{simDeployment: sim}).endFaults)
		sim.Run(faultsEnd)
		for sim.Now < 500*model.Second {
			sim.Run(sim.Now + model.Second)
			sim.invariants.CheckWaiting(sim.cloud.Workers())
		}
		sim.invariants.CheckCancelled()
		requireInvariantsAndEnds(rt, sim)
		if sim.invariants.Starts == 0 {
			rt.Fatal("no task was started")
		}
	})
}

// requireInvariantsAndEnds fails if an invariant was violated or an accepted job has not ended.
func requireInvariantsAndEnds(rt *rapid.T, sim *simDeployment) {
	rt.Helper()
	if len(sim.invariants.Violations) > 0 {
		rt.Fatalf("invariants violated: %v", sim.invariants.Violations)
	}
	for jobID := range sim.invariants.Accepted {
		if sim.invariants.ReportedEnd(jobID) == "" {
			rt.Fatalf("%s (%+v) never ended; %s", jobID, sim.invariants.Submitted[jobID], sim.describe())
		}
	}
}

// drawJobs schedules submissions of arrays and gangs, and cancellations of some of them.
func drawJobs(rt *rapid.T, sim *simDeployment) {
	for i := range rapid.IntRange(5, 14).Draw(rt, "jobs") {
		submitAt := sim.Between(0, 100*model.Second)
		cancelAfter := model.Micros(0)
		if sim.Chance(0.3) {
			cancelAfter = sim.Between(model.Second, 40*model.Second)
		}
		sim.At(submitAt, func() { sim.submit(sim.randomJob(i), cancelAfter) })
	}
}

// randomJob returns an array or a gang, some with constraints on their machines.
func (sim *simDeployment) randomJob(i int) *model.Submission {
	submission := arrayJob(i, 1+sim.Rand.IntN(12), float64(2+sim.Rand.IntN(25)))
	switch sim.Rand.IntN(5) {
	case 0:
		submission = gangJob(i, 1+sim.Rand.IntN(4), float64(2+sim.Rand.IntN(25)))
	case 1:
		submission.SameZone = true
	case 2:
		submission.Spread, submission.AllowsSpot = true, false
	case 3:
		submission.GPUs, submission.Priority = 1, "idle"
	}
	return submission
}

// drawServices schedules submissions of services, and their cancellations after a while.
func drawServices(rt *rapid.T, sim *simDeployment) {
	for i := range rapid.IntRange(0, 3).Draw(rt, "services") {
		submitAt, cancelAfter := sim.Between(0, 60*model.Second), sim.Between(30*model.Second, 200*model.Second)
		sim.At(submitAt, func() {
			submission := arrayJob(50+i, 1+sim.Rand.IntN(4), 0)
			submission.Kind, submission.Priority, submission.AllowsSpot, submission.Spread = "service", "critical", false, sim.Chance(0.7)
			sim.submit(submission, cancelAfter)
		})
	}
}

// drawPipelines schedules submissions of pipelines, and cancellations of one job in some of them.
func drawPipelines(rt *rapid.T, sim *simDeployment) {
	for i := range rapid.IntRange(0, 3).Draw(rt, "pipelines") {
		cancelAfter := model.Micros(0)
		if sim.Chance(0.4) {
			cancelAfter = sim.Between(model.Second, 30*model.Second)
		}
		sim.At(sim.Between(0, 90*model.Second), func() { sim.submitPipeline(100+10*i, cancelAfter) })
	}
}

// drawFaults schedules faults, each independent of the others.
func drawFaults(rt *rapid.T, sim *simDeployment, faultsEnd model.Micros) {
	for range rapid.IntRange(1, 10).Draw(rt, "faults") {
		kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
		at := sim.Between(5*model.Second, faultsEnd-30*model.Second)
		duration := sim.Between(model.Second, 30*model.Second)
		sim.At(at, func() { injectFault(sim, kind, duration) })
	}
}

// drawSimultaneousFaults schedules groups of two or three faults within seconds of each other.
func drawSimultaneousFaults(rt *rapid.T, sim *simDeployment, faultsEnd model.Micros) {
	for range rapid.IntRange(0, 3).Draw(rt, "fault groups") {
		at := sim.Between(20*model.Second, faultsEnd-40*model.Second)
		for range rapid.IntRange(2, 3).Draw(rt, "faults in group") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			sim.At(at+sim.Between(0, 3*model.Second), func() { injectFault(sim, kind, sim.Between(model.Second, 40*model.Second)) })
		}
	}
}
