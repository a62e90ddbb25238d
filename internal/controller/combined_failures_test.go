package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// combinedFailures lists combinations of failures and load. The comment of each, or of the
// function that it calls, says which fault in the controllers it would show. Combinations with
// a leader that the state service refuses are also tested in refused_leader_test.go.
var combinedFailures = []struct {
	name string
	run  func(sc *failureScenario)
}{
	// Tasks would outlive their leases, those of a cancelled job among them.
	{"all controllers are down for longer than a lease, after a cancellation", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		long.cancel(nil)
		sc.waitForCancelled(10*model.Second, long)
		for _, node := range sc.nodes {
			node.crash()
		}
		sc.Run(sc.Now + sc.workerLease() + sc.heartbeatInterval() + model.Second)
		if n := sc.invariants.TasksOnMachines(); n != 0 || sc.leader() != nil {
			sc.t.Fatalf("%d tasks are on machines after all leases have expired, or a controller leads", n)
		}
		sc.requireStopped(long)
	}},
	// Tasks would go on or start after another controller confirmed the cancellation of their
	// job before or during the takeover.
	{"cancellations through other controllers during a leader change", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.crash()
		sibling := sc.otherNode(leader)
		long.cancel(sibling)
		sc.waitForCancelled(sc.sessionTTL(), long)
		if sc.readyLeader() != nil {
			sc.t.Fatal("another controller has already taken over")
		}
		sc.runUntil(60*model.Second, "another controller leads", func() bool { return sc.leader() != nil })
		gang.cancel(sc.otherNode(sc.leader()))
		sc.waitForCancelled(10*model.Second, gang)
		sc.requireStopped(long, gang)
	}},
	// A late transaction would overwrite what newer ones wrote, such as a cancellation.
	{"transactions are applied late, after newer ones, with cancellations and a restart", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		sc.lateWriteChance, sc.lateWriteDelay = 0.4, sc.longWriteDelay
		sc.submitArray(8, 10)
		sc.submitGang(3, 10)
		long.cancel(nil)
		sc.Run(sc.Now + 15*model.Second)
		sc.crashFor(sc.nodes[0], 300*model.Millisecond)
		sc.submitArray(8, 10)
		gang.cancel(nil)
		sc.Run(sc.Now + 30*model.Second)
		if sc.lateWritesArrived < 10 {
			sc.t.Fatalf("only %d transactions arrived late, want at least 10", sc.lateWritesArrived)
		}
	}},
	// A node would answer with an older status than another node has already reported.
	{"transactions are applied but their responses lost, while all nodes are queried", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		sc.lateWriteChance, sc.lateWriteDelay = 0.5, sc.shortWriteDelay
		for range 6 {
			sc.submitArray(2, 5)
		}
		long.cancel(nil)
		sc.Run(sc.Now + 20*model.Second)
		if leader := sc.readyLeader(); leader != nil {
			sc.crashFor(leader, 200*model.Millisecond)
		}
		sc.Run(sc.Now + 20*model.Second)
		if sc.lateWritesApplied < 5 || sc.everyNodeAnswers < 50 {
			sc.t.Fatalf("%d transactions applied without a response, want at least 5; %d queries answered, want at least 50", sc.lateWritesApplied, sc.everyNodeAnswers)
		}
	}},
	// Tasks would run twice, or teams exceed their limits, because heartbeats and responses
	// arrive late.
	{"more work than capacity, of different priorities, over slow links", func(sc *failureScenario) {
		sc.startMixedLoad()
		sc.heartbeatLag = 1500 * model.Millisecond
		for i := range 6 {
			sc.submitArray(12, 15)
			job := sc.submitGang(3, 15)
			if i%2 == 0 {
				job.onAccepted = func() { job.cancelAt = sc.Now + 10*model.Second }
			}
			idleJob := arrayJob(200+i, 8, 10)
			idleJob.Priority = "idle"
			sc.submitAndTrack(idleJob)
		}
		sc.runUntil(60*model.Second, "there is more work than capacity", func() bool {
			leader := sc.requireLeader()
			if leader == nil {
				return false
			}
			waiting := 0
			for _, j := range leader.ctl.leading.shard.Jobs {
				waiting += len(j.Waiting)
			}
			return waiting > 20
		})
		sc.Run(sc.Now + 60*model.Second)
	}},
	// The new leader would take old heartbeats for the present state of the machines.
	{"old heartbeats reach every controller as a new leader takes over", func(sc *failureScenario) {
		sc.recordsHeartbeats = true
		long, _, _ := sc.startMixedLoad()
		oldHeartbeats := sc.recordedHeartbeats
		sc.recordsHeartbeats = false
		leader := sc.requireLeader()
		leader.crash()
		long.cancel(sc.otherNode(leader))
		sc.runUntil(60*model.Second, "a new controller leads", func() bool { return sc.leader() != nil })
		for range 20 {
			replayHeartbeats(oldHeartbeats)
			sc.Run(sc.Now + 100*model.Millisecond)
		}
		if len(oldHeartbeats) < 20 || sc.readyLeader() == nil {
			sc.t.Fatalf("%d old heartbeats replayed, want at least 20, and a leader that has taken over", len(oldHeartbeats))
		}
	}},
	// Tasks of cancelled jobs would start or go on at a machine that resumes.
	{"responses take seconds, and machines hang and resume, during cancellations", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		sc.heartbeatLag = 3500 * model.Millisecond
		sc.submitArray(8, 10)
		sc.Run(sc.Now + sc.heartbeatInterval())
		hung := 0
		for i, worker := range sc.cloud.Workers() {
			if worker.TaskCount() > 0 {
				hung++
				worker.SetHung(true)
				sc.After(model.Micros(2+i%8)*model.Second, func() { worker.SetHung(false) })
			}
		}
		long.cancel(nil)
		gang.cancel(nil)
		sc.waitForCancelled(15*model.Second, long, gang)
		if hung < 3 {
			sc.t.Fatalf("%d machines hung, want at least 3", hung)
		}
		sc.requireStopped(long, gang)
	}},
	// The new leader would act on a heartbeat that was sent before its takeover.
	{"heartbeats are held back until a new leader has acted", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			sc.delayedMachines[worker.ID] = i%2 == 0
		}
		sc.submitArray(6, 10)
		sc.Run(sc.Now + sc.heartbeatInterval())
		leader := sc.requireLeader()
		leader.crash()
		long.cancel(sc.otherNode(leader))
		sc.runUntil(60*model.Second, "a new leader has taken over and written its changes", func() bool {
			node := sc.readyLeader()
			return node != nil && node.ctl.leading.shard.PendingWrites() == 0 && len(node.ctl.leading.shard.Machines) > 0
		})
		sc.Run(sc.Now + sc.heartbeatInterval())
		heldHeartbeats := sc.delayedHeartbeats
		for _, deliver := range heldHeartbeats {
			deliver(sc.requireLeader())
		}
		clear(sc.delayedMachines)
		if len(heldHeartbeats) == 0 {
			sc.t.Fatal("no heartbeat was held back")
		}
		sc.Run(sc.Now + 5*model.Second)
	}},
	// Tasks would run outside the job's zone, or twice.
	{"jobs bound to one zone lose machines as the leader restarts", func(sc *failureScenario) {
		zone := "a"
		var jobs []*user
		for i := range 3 {
			submission := arrayJob(200+i, 6, 60)
			if i == 2 {
				submission = gangJob(202, 3, 60)
				submission.SameZone = true
			}
			submission.Zone = &zone
			jobs = append(jobs, sc.submitAndTrack(submission))
		}
		sc.runUntil(90*model.Second, "the jobs run", func() bool { return sc.tasksOnMachines(jobs[0]) > 0 && sc.tasksOnMachines(jobs[2]) == 3 })
		lost := 0
		for i, worker := range sc.cloud.Workers() {
			if worker.Zone == zone && worker.TaskCount() > 0 && i%3 < 2 {
				lost++
				if i%3 == 0 {
					worker.Terminate()
				} else {
					worker.SetHung(true)
				}
			}
		}
		sc.crashFor(sc.requireLeader(), 200*model.Millisecond)
		jobs[1].cancel(nil)
		sc.Run(sc.Now + sc.workerLease())
		if lost < 2 {
			sc.t.Fatalf("%d machines were lost, want at least 2", lost)
		}
	}},
	{"a team at its limit, with hung and unreachable machines, cancellations and leader changes", func(sc *failureScenario) { cancelAtTeamLimits(sc, "red") }},
	// Tasks in the zone would go on or start after their job was cancelled outside it.
	{"a zone with workers and the leader is cut off for longer than a lease", func(sc *failureScenario) {
		long, _, service := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping)
		leader.peersCutOff, leader.usersCutOff = true, true
		sc.canReach = func(worker *standin.Worker, node *simNode) bool { return (worker.Zone == "a") == (node == leader) }
		sibling := sc.otherNode(leader)
		sc.submitArray(4, 10)
		long.cancel(sibling)
		service.cancel(sibling)
		sc.waitForCancelled(20*model.Second, long, service)
		sc.Run(sc.Now + sc.workerLease() + 2*model.Second)
		if node := sc.readyLeader(); node == nil || node == leader {
			sc.t.Fatal("no other controller leads")
		}
		sc.requireStopped(long, service)
	}},
	// Tasks in the other zone would outlive their leases, tasks of the cancelled job would go
	// on, or what ended in the other zone would not run again.
	{"the zone of all controllers is cut off for longer than a lease, right after a cancellation", func(sc *failureScenario) {
		long, gang, service := sc.startMixedLoad()
		if sc.tasksInZone("a") == 0 || sc.tasksInZone("b") == 0 {
			sc.t.Fatal("one of the zones has no tasks")
		}
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping) // so that it does not learn of the cancellation
		leader.peersCutOff = true
		long.cancel(sc.otherNode(leader))
		sc.waitForCancelled(10*model.Second, long)
		for _, node := range sc.nodes {
			node.setStateLink(linkDropping)
			node.usersCutOff = true
		}
		sc.canReach = func(worker *standin.Worker, _ *simNode) bool { return worker.Zone == "a" }
		sc.Run(sc.Now + 2*model.Second)
		sc.crashFor(sc.otherNode(leader), 8*model.Second)
		sc.Run(sc.Now + sc.workerLease() + 2*model.Second)
		if n := sc.tasksInZone("b"); n > 0 {
			sc.t.Fatalf("%d tasks in the other zone outlive their leases", n)
		}
		sc.requireStopped(long)
		sc.endFaults()
		// What ended in the other zone runs again: this takes a heartbeat and a start after the
		// takeover.
		sc.runUntil(3*sc.heartbeatInterval()+10*model.Second, "the service's replicas and the gang run again", func() bool {
			return sc.tasksOnMachines(service) == 2 && sc.tasksOnMachines(gang) == 3
		})
	}},
	// A new leader would not know which tasks of a job are done, and the job would be reported
	// as done too early or never.
	{"jobs of two or three tasks that end far apart are half done at leader changes", func(sc *failureScenario) {
		sc.cloud.TaskDuration = func(*model.Job) model.Micros { return sc.Between(2*model.Second, 50*model.Second) }
		for i := range 8 {
			sc.submitArray(2+i%2, 20)
		}
		halfDoneJobs := 0
		for range 4 {
			sc.Run(sc.Now + 12*model.Second)
			if leader := sc.readyLeader(); leader != nil {
				for _, u := range sc.submitted {
					done := leader.ctl.view.Done(u.submission.ID)
					if n := done.Len(); n > 0 && n < u.submission.Tasks {
						halfDoneJobs++
					}
				}
				sc.crashFor(leader, 5*model.Second)
			}
		}
		if halfDoneJobs == 0 {
			sc.t.Fatal("no job was half done at a leader change")
		}
	}},
	// A task would be started elsewhere while it still runs on a machine whose heartbeats do
	// not arrive or that gets no responses.
	{"the leader crashes while machines with long tasks are unreachable or get no responses", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		unreached, withoutResponses := 0, 0
		for i, worker := range sc.cloud.Workers() {
			switch {
			case worker.TaskCount() == 0:
			case i%3 == 0:
				sc.heartbeatsBlocked[worker.ID] = true
				unreached++
			case i%3 == 1:
				sc.responsesLost[worker.ID] = true
				withoutResponses++
			}
		}
		leader := sc.requireLeader()
		leader.crash()
		sc.runUntil(60*model.Second, "another controller leads", func() bool { return sc.readyLeader() != nil })
		gang.cancel(nil)
		sc.Run(sc.Now + sc.workerLease()/2)
		clear(sc.heartbeatsBlocked)
		sc.Run(sc.Now + sc.workerLease())
		long.cancel(sc.otherNode(leader)) // not through the crashed node, whose users get no answer for 5 s
		if unreached == 0 || withoutResponses == 0 {
			sc.t.Fatal("no task was on an unreachable machine, or none on a machine without responses")
		}
		sc.waitForCancelled(10*model.Second, long, gang)
		sc.requireStopped(long, gang)
	}},
	// The next leader would not know of tasks on machines that booted before the delayed
	// transactions were applied.
	{"new machines boot within two seconds while transactions are late, and the leader restarts", func(sc *failureScenario) {
		sc.cloud.FastBootChance = 1
		sc.waitForLeader(10 * model.Second)
		sc.lateWriteChance, sc.lateWriteDelay = 0.5, sc.longWriteDelay
		long := sc.submitArray(12, 200)
		sc.submitGang(3, 30)
		started := false
		sc.runUntil(90*model.Second, "a new machine has work", func() bool {
			for _, worker := range sc.cloud.Workers() {
				started = started || worker.TaskCount() > 0
			}
			return started
		})
		sc.crashFor(sc.requireLeader(), 8*model.Second)
		sc.submitArray(6, 10)
		sc.Run(sc.Now + 30*model.Second)
		long.cancel(nil)
		sc.Run(sc.Now + 10*model.Second)
		if sc.lateWritesArrived == 0 {
			sc.t.Fatal("no transaction arrived late")
		}
	}},
	// A cancellation would be lost, or confirmed and not carried out in time.
	{"the state service is slow, refuses the leader, then all, while users cancel and poll", func(sc *failureScenario) {
		long, gang, service := sc.startMixedLoad()
		sc.stateLag = 700 * model.Millisecond
		sc.Run(sc.Now + 5*model.Second)
		sc.runUntil(30*model.Second, "a controller leads", func() bool { return sc.leader() != nil })
		leader := sc.leader()
		leader.setStateLink(linkRefusing)
		for _, u := range []*user{long, gang, service} {
			u.cancel(nil)
		}
		sc.Run(sc.Now + 1500*model.Millisecond)
		sc.state.SetOutage(true)
		sc.Run(sc.Now + sc.invariants.CancelLimit + 10*model.Second)
		sc.invariants.CheckCancelled()
		leader.setStateLink(linkOpen)
		sc.state.SetOutage(false)
		sc.waitForCancelled(60*model.Second, long, gang, service)
		sc.requireStopped(long, gang, service)
	}},
	// Tasks would go on or start after the successor confirmed the cancellation of their job.
	{"the leader is isolated with its workers and users, cancellations through its successor", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping)
		leader.peersCutOff = true
		sc.runUntil(90*model.Second, "another controller leads", func() bool { node := sc.readyLeader(); return node != nil && node != leader })
		long.cancel(sc.readyLeader())
		gang.cancel(sc.readyLeader())
		sc.waitForCancelled(10*model.Second, long, gang)
		if leader.stateLink != linkDropping || !leader.alive {
			sc.t.Fatal("the old leader is connected again or down")
		}
		sc.requireStopped(long, gang)
	}},
	// Heartbeats of earlier sessions or attempts would end or restart tasks that run now.
	{"old heartbeats, from earlier sessions and attempts, arrive after newer ones", func(sc *failureScenario) {
		sc.duplicateHeartbeatChance = 0.6
		sc.recordsHeartbeats = true
		long, _, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			if i%2 == 0 {
				worker.Restart()
			}
		}
		sc.runUntil(90*model.Second, "the long job runs again", func() bool { return sc.tasksOnMachines(long) == 6 })
		oldHeartbeats := sc.recordedHeartbeats
		sc.recordsHeartbeats = false
		starts := sc.invariants.Starts
		replayHeartbeats(oldHeartbeats)
		sc.Run(sc.Now + 3*sc.heartbeatInterval())
		if len(oldHeartbeats) < 20 || sc.tasksOnMachines(long) != 6 {
			sc.t.Fatalf("%d old heartbeats replayed, want at least 20; %d tasks run, want 6; %d starts", len(oldHeartbeats), sc.tasksOnMachines(long), sc.invariants.Starts-starts)
		}
	}},
	// Accepted jobs would be lost, or tasks run twice, in takeovers in quick succession.
	{"ten leader changes in two minutes, some during an outage of the state service", func(sc *failureScenario) {
		sc.startMixedLoad()
		tokens := map[uint64]bool{}
		end := sc.Now + 120*model.Second
		for i := 0; sc.Now < end; i++ {
			sc.submitArray(2, 5)
			switch leader := sc.leader(); {
			case leader == nil:
			case i%3 == 0:
				leader.setStateLink(linkRefusing)
				sc.After(4*model.Second, func() { leader.setStateLink(linkOpen) })
			default:
				sc.crashFor(leader, sc.Between(50*model.Millisecond, 2*model.Second))
			}
			if i == 4 {
				sc.state.SetOutage(true)
				sc.After(8*model.Second, func() { sc.state.SetOutage(false) })
			}
			for range 10 {
				sc.Run(sc.Now + 800*model.Millisecond)
				if leader := sc.leader(); leader != nil {
					tokens[leader.ctl.leading.token] = true
				}
			}
		}
		if len(tokens) < 10 {
			sc.t.Fatalf("only %d grants, want at least 10", len(tokens))
		}
	}},
	// Tasks of cancelled jobs would stay on machines that reach no controller.
	{"most workers reach no controller, during cancellations and a leader restart", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			sc.heartbeatsBlocked[worker.ID] = i%3 != 2
		}
		long.cancel(nil)
		gang.cancel(nil)
		sc.waitForCancelled(10*model.Second, long, gang)
		sc.submitArray(4, 10)
		sc.Run(sc.Now + sc.workerLease()/2)
		sc.crashFor(sc.requireLeader(), 300*model.Millisecond)
		sc.Run(sc.Now + sc.workerLease())
		sc.requireStopped(long, gang)
	}},
	{"all teams at their limits, with hung and unreachable machines, cancellations and leader changes", func(sc *failureScenario) { cancelAtTeamLimits(sc, "red", "blue") }},
	// The only controller that is up would not lead within 6 s of the expiry of the last
	// leader's session.
	{"leadership changes twice, all controllers crash, and one is back within a second", func(sc *failureScenario) {
		sc.startMixedLoad()
		first := sc.requireLeader()
		sc.crashFor(first, 300*model.Millisecond)
		sc.runUntil(60*model.Second, "a controller leads", func() bool { return sc.readyLeader() != nil })
		second := sc.requireLeader()
		second.setStateLink(linkRefusing)
		sc.runUntil(60*model.Second, "another controller leads", func() bool { node := sc.readyLeader(); return node != nil && node != second })
		second.setStateLink(linkOpen)
		sc.Run(sc.Now + 2*model.Second)
		sc.submitArray(4, 10)
		for i, node := range sc.nodes {
			downtime := sc.sessionTTL() + model.Micros(8+i)*model.Second
			if node == second {
				downtime = 400 * model.Millisecond
			}
			sc.crashFor(node, downtime)
		}
		// Another controller may have led; its session has to expire first.
		sc.runUntil(sc.sessionTTL()+6*model.Second, "the controller that is back leads", func() bool { return sc.readyLeader() == second })
		sc.Run(sc.Now + 15*model.Second)
	}},
	// The writes of many small jobs would keep submissions from being accepted.
	{"four one-task jobs per second, a quarter of them cancelled, and a leader restart", func(sc *failureScenario) {
		sc.waitForLeader(10 * model.Second)
		sc.Run(sc.Now + 5*model.Second)
		for i := range 400 {
			sc.Run(sc.Now + 250*model.Millisecond)
			job := sc.submitArray(1, 4)
			if i%4 == 0 {
				job.onAccepted = func() { job.cancelAt = sc.Now + sc.Between(0, 8*model.Second) }
			}
			if i == 200 {
				sc.crashFor(sc.requireLeader(), 500*model.Millisecond)
			}
		}
		sc.Run(sc.Now + 10*model.Second)
		accepted := 0
		for _, u := range sc.submitted {
			if u.accepted {
				accepted++
			}
		}
		if accepted < 380 {
			sc.t.Fatalf("%d of 400 jobs were accepted, want at least 380", accepted)
		}
	}},
	// Nodes would report different ends of a job, or answer that an accepted job is unknown.
	{"cancellations, status requests and repeated submissions as the last task ends", func(sc *failureScenario) {
		jobsByID := map[string]*user{}
		cancellations := 0
		sc.invariants.OnJobCompleted = func(jobID string) {
			job := jobsByID[jobID]
			if job == nil || !job.accepted {
				return
			}
			job.checkEveryNode()
			sc.After(sc.Between(0, 400*model.Millisecond), func() {
				job.checkEveryNode()
				if sc.invariants.ReportedEnd(jobID) == "" {
					cancellations++
					job.cancel(nil)
				}
			})
		}
		for i := range 12 {
			job := sc.submitArray(1+i%3, 5)
			jobsByID[job.submission.ID] = job
		}
		sc.Run(sc.Now + 60*model.Second)
		// Once more, while cancellations wait for other transactions, which get no answer.
		sc.waitForLeader(60 * model.Second)
		sc.lateWriteChance, sc.lateWriteDelay = 0.9, sc.shortWriteDelay
		for i := range 60 {
			job := sc.submitArray(1+i%3, 3)
			jobsByID[job.submission.ID] = job
			sc.Run(sc.Now + 150*model.Millisecond)
		}
		sc.Run(sc.Now + 60*model.Second)
		if cancellations < 3 {
			sc.t.Fatalf("%d cancellations came as a job ended, want at least 3", cancellations)
		}
	}},
}

// cancelAtTeamLimits brings teams to their limits, and then cancels their jobs while machines
// are hung or unreachable and the leader changes. The tasks on those machines have to keep
// counting against the limits.
func cancelAtTeamLimits(sc *failureScenario, teams ...string) {
	var cancelled, waiting []*user
	for i, team := range teams {
		tasks := int(sc.invariants.Teams[team].Limit.Cores / 2000)
		submission := arrayJob(300+i, tasks, 400)
		submission.Team = team
		cancelled = append(cancelled, sc.submitAndTrack(submission))
	}
	sc.runUntil(120*model.Second, "the teams are at their limits", func() bool {
		for _, team := range teams {
			if sc.invariants.Used(team).Cores < sc.invariants.Teams[team].Limit.Cores {
				return false
			}
		}
		return true
	})
	for i, team := range teams {
		submission := arrayJob(310+i, 6, 10)
		submission.Team = team
		waiting = append(waiting, sc.submitAndTrack(submission))
	}
	for i, worker := range sc.cloud.Workers() {
		switch i % 3 {
		case 0:
			worker.SetHung(true)
			sc.After(sc.workerLease()*3/4, func() { worker.SetHung(false) })
		case 1:
			sc.heartbeatsBlocked[worker.ID] = true
		}
	}
	sc.crashFor(sc.requireLeader(), model.Second)
	for _, u := range cancelled {
		u.cancel(nil)
	}
	sc.waitForCancelled(60*model.Second, cancelled...)
	sc.runUntil(60*model.Second, "a controller has taken over", func() bool { return sc.readyLeader() != nil })
	sc.crashFor(sc.requireLeader(), model.Second)
	sc.requireStopped(cancelled...)
	sc.runUntil(150*model.Second, "the jobs that waited are done", func() bool {
		for _, u := range waiting {
			if sc.invariants.ReportedEnd(u.submission.ID) != "done" {
				return false
			}
		}
		return true
	})
}

// TestCombinedFailures runs each combination under both settings of workers and with three
// seeds, and then requires that the deployment recovers.
func TestCombinedFailures(t *testing.T) {
	for _, failure := range combinedFailures {
		for i, times := range scenarioWorkerTimes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/cancel %v seed %d", failure.name, times.cancel, seed), func(t *testing.T) {
					t.Parallel()
					sc := newFailureScenario(t, times, 1000+uint64(i)*100+seed)
					failure.run(sc)
					sc.requireRecovery()
				})
			}
		}
	}
}
