package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// Most invariant violations in schedulers like this one occurred when two failures
// coincided. Each test here makes failures coincide, asserts that they did, and then asserts
// that the invariants held and that the accepted jobs ended. docs/combined-failures.md
// explains which points of the safety argument cover the combinations.

// failureScenario is a simulated deployment in which failures coincide.
type failureScenario struct {
	*simDeployment
	submitted     []*user // jobs that have to end after the failures
	lastJobNumber int     // number of the last array or gang that submitArray or submitGang submitted
}

// workerTimes holds the heartbeat interval, the lease and the cancellation time of workers,
// in seconds.
type workerTimes struct{ report, lease, cancel float64 }

// scenarioWorkerTimes are the settings under which each scenario runs: a short heartbeat
// interval, and a long one with a cancellation time that is short compared to it.
var scenarioWorkerTimes = []workerTimes{{2.5, 18, 38}, {8, 38, 58}}

func (times workerTimes) settings(name string) *config.Settings {
	settings := simSettings(name)
	workers := &settings.Params.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = times.report, times.lease, times.cancel
	return settings
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

// submitAndTrack submits a job and adds it to those whose end requireRecovery waits for.
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

// startMixedLoad submits long jobs, short jobs and a service, and waits until the long jobs
// and the service run.
func (sc *failureScenario) startMixedLoad() (long *user, gang *user, service *user) {
	long, gang = sc.submitArray(6, 300), sc.submitGang(3, 300)
	submission := arrayJob(500, 2, 0)
	submission.Kind, submission.Priority, submission.AllowsSpot, submission.Spread = "service", "critical", false, true
	service = sc.submitAndTrack(submission)
	for range 3 {
		sc.submitArray(4, 20)
	}
	sc.runUntil(90*model.Second, "the long array, the gang and the service run", func() bool {
		return sc.tasksOnMachines(long) == 6 && sc.tasksOnMachines(gang) == 3 && sc.tasksOnMachines(service) == 2
	})
	return long, gang, service
}

// tasksInZone returns the number of tasks on the machines of a zone.
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

// readyLeader returns the controller that leads and has completed its takeover, or nil if
// there is none.
func (sc *failureScenario) readyLeader() *simNode {
	if leader := sc.leader(); leader != nil && leader.ctl.leading.ready {
		return leader
	}
	return nil
}

// requireLeader waits until a controller leads and has completed its takeover, and returns
// it.
func (sc *failureScenario) requireLeader() *simNode {
	sc.t.Helper()
	sc.waitForLeader(60 * model.Second)
	return sc.readyLeader()
}

// otherNode returns a node that is up, other than the given one.
func (sc *failureScenario) otherNode(node *simNode) *simNode {
	for _, other := range sc.nodes {
		if other != node && other.alive {
			return other
		}
	}
	sc.t.Fatal("no other node is up")
	return nil
}

// waitForCancelled waits until users got the answer that the jobs are cancelled.
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

// crashFor crashes a node and starts it again after the downtime, unless it is already up by
// then.
func (sc *failureScenario) crashFor(node *simNode, downtime model.Micros) {
	node.crash()
	sc.After(downtime, func() {
		if !node.alive {
			node.start()
		}
	})
}

// endFaults ends the injected faults of the controllers, the state service, the network and
// hung machines, and starts the nodes that are down.
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

// requireRecovery ends the injected faults and checks that the deployment recovers: every
// accepted job ends, no job waits for long while suitable machines have capacity, new jobs run,
// and no invariant was violated.
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
			sc.t.Fatalf("accepted job %s never ended: %s", u.submission.ID, sc.describe())
		}
	}
	if n := sc.invariants.CancelledStarts; n > 0 {
		sc.t.Logf("%d tasks started after a confirmed cancellation", n)
	}
}

// allEnded reports whether the end of every accepted job has been reported to users.
func (sc *failureScenario) allEnded() bool {
	for _, u := range sc.submitted {
		if sc.invariants.Accepted[u.submission.ID] && sc.invariants.ReportedEnd(u.submission.ID) == "" {
			return false
		}
	}
	return true
}

// requireStopped checks that no task of the jobs is on a machine once the cancellation time
// has passed.
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
