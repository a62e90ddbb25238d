package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// Most rules that schedulers like this one broke were broken when two troubles met.
// Each test here brings about one such meeting, asserts that it happened, and then that
// the rules held and that the work was served. docs/meetings.md tells which points of
// the safety argument carry them.

// meeting is a world in which troubles meet.
type failureScenario struct {
	*simDeployment
	submitted     []*user
	lastJobNumber int
}

// workerTimes are settings of workers, in seconds.
type workerTimes struct{ report, lease, cancel float64 }

// The settings under which each meeting is brought about: short reports, and long ones
// beside a short cancellation.
var scenarioWorkerTimes = []workerTimes{{2.5, 18, 38}, {8, 38, 58}}

func (times workerTimes) settings(name string) *config.Settings {
	submission := simSettings(name)
	workers := &submission.Params.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = times.report, times.lease, times.cancel
	return submission
}

func newFailureScenario(t *testing.T, times workerTimes, seed uint64) *failureScenario {
	sc := &failureScenario{simDeployment: newDeployment(t, seed, times.settings, cloudCapacity(4, 2))}
	sc.checksEveryNode = true
	return sc
}

func (sc *failureScenario) workerLease() model.Micros {
	return model.Seconds(sc.nodes[0].settings.Params.Workers.LeaseS)
}

func (sc *failureScenario) heartbeatInterval() model.Micros {
	return model.Seconds(sc.nodes[0].settings.Params.Workers.ReportS)
}

func (sc *failureScenario) sessionTTL() model.Micros {
	return sc.nodes[0].ctl.authority.Times.TTL
}

func (sc *failureScenario) submitAndTrack(submission *model.Submission) *user {
	u := sc.submit(submission, 0)
	sc.submitted = append(sc.submitted, u)
	return u
}

func (sc *failureScenario) submitArray(tasks int, estimate float64) *user {
	sc.lastJobNumber++
	return sc.submitAndTrack(arrayJob(sc.lastJobNumber, tasks, estimate))
}

func (sc *failureScenario) submitGang(tasks int, estimate float64) *user {
	sc.lastJobNumber++
	return sc.submitAndTrack(gangJob(sc.lastJobNumber, tasks, estimate))
}

// load is a mixed load: what runs long, what is short, and a service.
func (sc *failureScenario) startMixedLoad() (long *user, gang *user, service *user) {
	long, gang = sc.submitArray(6, 300), sc.submitGang(3, 300)
	submission := arrayJob(500, 2, 0)
	submission.Kind, submission.Priority, submission.AllowsSpot, submission.Spread = "service", "critical", false, true
	service = sc.submitAndTrack(submission)
	for range 3 {
		sc.submitArray(4, 20)
	}
	sc.runUntil(90*model.Second, "the load runs", func() bool {
		return sc.tasksOnMachines(long) == 6 && sc.tasksOnMachines(gang) == 3 && sc.tasksOnMachines(service) == 2
	})
	return long, gang, service
}

// tasksIn is the number of tasks on the machines of a zone.
func (sc *failureScenario) tasksInZone(zone string) (n int) {
	for _, worker := range sc.cloud.Workers() {
		if worker.Zone == zone {
			n += worker.TaskCount()
		}
	}
	return n
}

func (sc *failureScenario) tasksOnMachines(u *user) int {
	return sc.invariants.JobTasksOnMachines(u.submission.ID)
}

// readyLeader is the controller that leads and has taken over, nil if there is none.
func (sc *failureScenario) readyLeader() *simNode {
	if leader := sc.leader(); leader != nil && leader.ctl.leading.ready {
		return leader
	}
	return nil
}

// requireLeader waits until a controller leads and has taken over, and returns it.
func (sc *failureScenario) requireLeader() *simNode {
	sc.t.Helper()
	sc.waitForLeader(60 * model.Second)
	return sc.readyLeader()
}

// other is a node that is up and is not n.
func (sc *failureScenario) otherNode(node *simNode) *simNode {
	for _, other := range sc.nodes {
		if other != node && other.alive {
			return other
		}
	}
	sc.t.Fatal("no other node is up")
	return nil
}

// withdrawn waits until users were told that the jobs are withdrawn.
func (sc *failureScenario) waitForCancelled(limit model.Micros, jobs ...*user) {
	sc.t.Helper()
	sc.runUntil(limit, "the cancellations are confirmed", func() bool {
		for _, u := range jobs {
			if sc.invariants.ReportedEnd(u.submission.ID) != "withdrawn" {
				return false
			}
		}
		return true
	})
}

func (sc *failureScenario) restartAfter(node *simNode, after model.Micros) {
	node.crash()
	sc.After(after, func() {
		if !node.alive {
			node.start()
		}
	})
}

// calm ends all troubles.
func (sc *failureScenario) endFaults() {
	sc.state.SetOutage(false)
	for _, node := range sc.nodes {
		node.setStateLink(linkOpen)
		node.reachableByWorkers, node.peersCutOff, node.usersCutOff, node.syncsLost = true, false, false, false
		if !node.alive {
			node.start()
		}
	}
	clear(sc.responsesLost)
	clear(sc.heartbeatsBlocked)
	clear(sc.delayedMachines)
	sc.canReach, sc.heartbeatLag, sc.stateLag, sc.lateWriteChance, sc.duplicateHeartbeatChance, sc.duplicateRequestChance = nil, 0, 0, 0, 0, 0
	for _, worker := range sc.cloud.Workers() {
		worker.SetHung(false)
	}
	sc.invariants.FaultsOverAt = sc.Now
}

// requireServed ends all troubles and checks that the work is served: all that was accepted
// comes to its end, nothing waits beside room, what comes anew runs, and the rules held.
func (sc *failureScenario) requireRecovery() {
	sc.t.Helper()
	sc.endFaults()
	sc.submitArray(3, 5)
	sc.submitGang(2, 5)
	for _, u := range sc.submitted {
		if u.submission.Kind == "service" {
			u.cancelAt = sc.Now + 40*model.Second
		}
	}
	limit := sc.Now + 700*model.Second
	for sc.Now < limit && !sc.allEnded() {
		sc.Run(sc.Now + model.Second)
		sc.invariants.CheckWaiting(sc.cloud.Workers())
	}
	sc.requireInvariants()
	for _, u := range sc.submitted {
		if sc.invariants.Accepted[u.submission.ID] && sc.invariants.ReportedEnd(u.submission.ID) == "" {
			sc.t.Fatalf("%s never ended: %s", u.submission.ID, sc.describe())
		}
	}
	if n := sc.invariants.CancelledStarts; n > 0 {
		sc.t.Logf("%d starts after a confirmed cancellation", n)
	}
}

func (sc *failureScenario) allEnded() bool {
	for _, u := range sc.submitted {
		if sc.invariants.Accepted[u.submission.ID] && sc.invariants.ReportedEnd(u.submission.ID) == "" {
			return false
		}
	}
	return true
}

// requireStopped checks that nothing of the jobs is on machines once the time for a cancellation has
// passed.
func (sc *failureScenario) requireStopped(jobs ...*user) {
	sc.t.Helper()
	for _, u := range jobs {
		sc.Run(max(sc.Now, sc.invariants.EndReportedAt(u.submission.ID)+sc.invariants.CancelLimit))
		if n := sc.tasksOnMachines(u); n > 0 {
			sc.t.Fatalf("%d tasks of %s are on machines %v after its cancellation", n, u.submission.ID, sc.Now-sc.invariants.EndReportedAt(u.submission.ID))
		}
	}
	sc.requireInvariants()
}
