package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// meetings are the others, in the order in which the users name them.
var combinedFailures = []struct {
	name string
	run  func(sc *failureScenario)
}{
	{"all controllers away for longer than a lease", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		long.cancel(nil)
		sc.waitForCancelled(10*model.Second, long)
		for _, node := range sc.nodes {
			node.crash()
		}
		sc.Run(sc.Now + sc.workerLease() + sc.heartbeatInterval() + model.Second)
		if n := sc.invariants.TasksOnMachines(); n != 0 || sc.leader() != nil {
			sc.t.Fatalf("%d tasks are on machines without a lease", n)
		}
		sc.requireStopped(long)
	}},
	{"cancellations while work changes hands", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.crash()
		node := sc.otherNode(leader)
		long.cancel(node)
		sc.waitForCancelled(sc.sessionTTL(), long)
		if sc.readyLeader() != nil {
			sc.t.Fatal("another leads already")
		}
		sc.runUntil(60*model.Second, "another leads", func() bool { return sc.leader() != nil })
		gang.cancel(sc.otherNode(sc.leader()))
		sc.waitForCancelled(10*model.Second, gang)
		sc.requireStopped(long, gang)
	}},
	{"transactions carried out late, after newer ones", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		sc.lateWriteChance, sc.lateWriteDelay = 0.4, sc.longWriteDelay
		sc.submitArray(8, 10)
		sc.submitGang(3, 10)
		long.cancel(nil)
		sc.Run(sc.Now + 15*model.Second)
		sc.restartAfter(sc.nodes[0], 300*model.Millisecond)
		sc.submitArray(8, 10)
		gang.cancel(nil)
		sc.Run(sc.Now + 30*model.Second)
		if sc.lateWritesArrived < 10 {
			sc.t.Fatalf("only %d transactions came late", sc.lateWritesArrived)
		}
	}},
	{"a transaction is carried out and its answer lost, while others read", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		sc.lateWriteChance, sc.lateWriteDelay = 0.5, sc.shortWriteDelay
		for range 6 {
			sc.submitArray(2, 5)
		}
		long.cancel(nil)
		sc.Run(sc.Now + 20*model.Second)
		if leader := sc.readyLeader(); leader != nil {
			sc.restartAfter(leader, 200*model.Millisecond)
		}
		sc.Run(sc.Now + 20*model.Second)
		if sc.lateWritesApplied < 5 || sc.everyNodeAnswers < 50 {
			sc.t.Fatalf("%d transactions without an answer, %d looks", sc.lateWritesApplied, sc.everyNodeAnswers)
		}
	}},
	{"more work than room, urgent and not, over slow links", func(sc *failureScenario) {
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
		sc.runUntil(60*model.Second, "there is more work than room", func() bool {
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
	{"old reports reach every controller as a new leader begins", func(sc *failureScenario) {
		sc.recordsHeartbeats = true
		long, _, _ := sc.startMixedLoad()
		oldHeartbeats := sc.recordedHeartbeats
		sc.recordsHeartbeats = false
		leader := sc.requireLeader()
		leader.crash()
		long.cancel(sc.otherNode(leader))
		sc.runUntil(60*model.Second, "a new leader begins", func() bool { return sc.leader() != nil })
		for range 20 {
			replayHeartbeats(oldHeartbeats)
			sc.Run(sc.Now + 100*model.Millisecond)
		}
		if len(oldHeartbeats) < 20 || sc.readyLeader() == nil {
			sc.t.Fatalf("%d old reports", len(oldHeartbeats))
		}
	}},
	{"an answer is held up for seconds, and the machine then goes on", func(sc *failureScenario) {
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
			sc.t.Fatalf("%d machines hung", hung)
		}
		sc.requireStopped(long, gang)
	}},
	{"a report is held back until a new leader has acted", func(sc *failureScenario) {
		long, _, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			sc.delayedMachines[worker.ID] = i%2 == 0
		}
		sc.submitArray(6, 10)
		sc.Run(sc.Now + sc.heartbeatInterval())
		leader := sc.requireLeader()
		leader.crash()
		long.cancel(sc.otherNode(leader))
		sc.runUntil(60*model.Second, "a new leader has acted", func() bool {
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
			sc.t.Fatal("no report was held back")
		}
		sc.Run(sc.Now + 5*model.Second)
	}},
	{"jobs bound to one zone lose machines", func(sc *failureScenario) {
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
		sc.runUntil(90*model.Second, "they run", func() bool { return sc.tasksOnMachines(jobs[0]) > 0 && sc.tasksOnMachines(jobs[2]) == 3 })
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
		sc.restartAfter(sc.requireLeader(), 200*model.Millisecond)
		jobs[1].cancel(nil)
		sc.Run(sc.Now + sc.workerLease())
		if lost < 2 {
			sc.t.Fatalf("%d machines were lost", lost)
		}
	}},
	{"a team at its limit, machines that can't be asked, a cancellation, a new leader", func(sc *failureScenario) { cancelAtTeamLimits(sc, "red") }},
	{"a zone with workers and a controller is cut off for longer than a lease", func(sc *failureScenario) {
		long, _, service := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping)
		leader.peersCutOff, leader.usersCutOff = true, true
		sc.canReach = func(worker *standin.Worker, node *simNode) bool { return (worker.Zone == "a") == (node == leader) }
		node := sc.otherNode(leader)
		sc.submitArray(4, 10)
		long.cancel(node)
		service.cancel(node)
		sc.waitForCancelled(20*model.Second, long, service)
		sc.Run(sc.Now + sc.workerLease() + 2*model.Second)
		if node := sc.readyLeader(); node == nil || node == leader {
			sc.t.Fatal("no other leads")
		}
		sc.requireStopped(long, service)
	}},
	{"the zone of all controllers is cut off for longer than a lease, right after a cancellation", func(sc *failureScenario) {
		long, gang, service := sc.startMixedLoad()
		if sc.tasksInZone("a") == 0 || sc.tasksInZone("b") == 0 {
			sc.t.Fatal("nothing runs in one of the zones")
		}
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping) // the leader does not hear of the cancellation
		leader.peersCutOff = true
		long.cancel(sc.otherNode(leader))
		sc.waitForCancelled(10*model.Second, long)
		for _, node := range sc.nodes {
			node.setStateLink(linkDropping)
			node.usersCutOff = true
		}
		sc.canReach = func(worker *standin.Worker, _ *simNode) bool { return worker.Zone == "a" }
		sc.Run(sc.Now + 2*model.Second)
		sc.restartAfter(sc.otherNode(leader), 8*model.Second)
		sc.Run(sc.Now + sc.workerLease() + 2*model.Second)
		if n := sc.tasksInZone("b"); n > 0 {
			sc.t.Fatalf("%d tasks in the other zone outlive their leases", n)
		}
		sc.requireStopped(long)
		sc.endFaults()
		// What ended there goes on, a report and its start after the takeover.
		sc.runUntil(3*sc.heartbeatInterval()+10*model.Second, "replicas and gang run again", func() bool {
			return sc.tasksOnMachines(service) == 2 && sc.tasksOnMachines(gang) == 3
		})
	}},
	{"jobs of two or three tasks end far apart across a change of leader", func(sc *failureScenario) {
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
				sc.restartAfter(leader, 5*model.Second)
			}
		}
		if halfDoneJobs == 0 {
			sc.t.Fatal("no job was half done at a change of leader")
		}
	}},
	{"a leader ends while machines with long tasks can't be reached or don't hear", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		unreached, unhearing := 0, 0
		for i, worker := range sc.cloud.Workers() {
			switch {
			case worker.TaskCount() == 0:
			case i%3 == 0:
				sc.heartbeatsBlocked[worker.ID] = true
				unreached++
			case i%3 == 1:
				sc.responsesLost[worker.ID] = true
				unhearing++
			}
		}
		leader := sc.requireLeader()
		leader.crash()
		sc.runUntil(60*model.Second, "another leads", func() bool { return sc.readyLeader() != nil })
		gang.cancel(nil)
		sc.Run(sc.Now + sc.workerLease()/2)
		clear(sc.heartbeatsBlocked)
		sc.Run(sc.Now + sc.workerLease())
		long.cancel(sc.otherNode(leader)) // not at the node that is away: its users are not answered for 5 s
		if unreached == 0 || unhearing == 0 {
			sc.t.Fatal("no such machines")
		}
		sc.waitForCancelled(10*model.Second, long, gang)
		sc.requireStopped(long, gang)
	}},
	{"new machines are up at once while writes lag, and the leader ends", func(sc *failureScenario) {
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
		sc.restartAfter(sc.requireLeader(), 8*model.Second)
		sc.submitArray(6, 10)
		sc.Run(sc.Now + 30*model.Second)
		long.cancel(nil)
		sc.Run(sc.Now + 10*model.Second)
		if sc.lateWritesArrived == 0 {
			sc.t.Fatal("no write was late")
		}
	}},
	{"the state service is slow, refuses the leader, then everybody, while users cancel and ask", func(sc *failureScenario) {
		long, gang, service := sc.startMixedLoad()
		sc.stateLag = 700 * model.Millisecond
		sc.Run(sc.Now + 5*model.Second)
		sc.runUntil(30*model.Second, "somebody leads", func() bool { return sc.leader() != nil })
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
	{"a leader alone with its workers and users, cancellations through the new one", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		leader := sc.requireLeader()
		leader.setStateLink(linkDropping)
		leader.peersCutOff = true
		sc.runUntil(90*model.Second, "another leads", func() bool { node := sc.readyLeader(); return node != nil && node != leader })
		long.cancel(sc.readyLeader())
		gang.cancel(sc.readyLeader())
		sc.waitForCancelled(10*model.Second, long, gang)
		if leader.stateLink != linkDropping || !leader.alive {
			sc.t.Fatal("the old leader is back")
		}
		sc.requireStopped(long, gang)
	}},
	{"old reports after newer ones, from earlier sessions and attempts", func(sc *failureScenario) {
		sc.duplicateHeartbeatChance = 0.6
		sc.recordsHeartbeats = true
		long, _, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			if i%2 == 0 {
				worker.Restart()
			}
		}
		sc.runUntil(90*model.Second, "it runs again", func() bool { return sc.tasksOnMachines(long) == 6 })
		oldHeartbeats := sc.recordedHeartbeats
		sc.recordsHeartbeats = false
		starts := sc.invariants.Starts
		replayHeartbeats(oldHeartbeats)
		sc.Run(sc.Now + 3*sc.heartbeatInterval())
		if len(oldHeartbeats) < 20 || sc.tasksOnMachines(long) != 6 {
			sc.t.Fatalf("%d old reports, %d tasks, %d starts", len(oldHeartbeats), sc.tasksOnMachines(long), sc.invariants.Starts-starts)
		}
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(sc *failureScenario) {
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
				sc.restartAfter(leader, sc.Between(50*model.Millisecond, 2*model.Second))
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
			sc.t.Fatalf("only %d grants", len(tokens))
		}
	}},
	{"workers reach no controller", func(sc *failureScenario) {
		long, gang, _ := sc.startMixedLoad()
		for i, worker := range sc.cloud.Workers() {
			sc.heartbeatsBlocked[worker.ID] = i%3 != 2
		}
		long.cancel(nil)
		gang.cancel(nil)
		sc.waitForCancelled(10*model.Second, long, gang)
		sc.submitArray(4, 10)
		sc.Run(sc.Now + sc.workerLease()/2)
		sc.restartAfter(sc.requireLeader(), 300*model.Millisecond)
		sc.Run(sc.Now + sc.workerLease())
		sc.requireStopped(long, gang)
	}},
	{"every team at its limit, cancelled jobs on machines cut off or hanging, a new leader", func(sc *failureScenario) { cancelAtTeamLimits(sc, "red", "blue") }},
	{"controllers hand over and back, all end, and one returns, also within a second", func(sc *failureScenario) {
		sc.startMixedLoad()
		first := sc.requireLeader()
		sc.restartAfter(first, 300*model.Millisecond)
		sc.runUntil(60*model.Second, "somebody leads", func() bool { return sc.readyLeader() != nil })
		second := sc.requireLeader()
		second.setStateLink(linkRefusing)
		sc.runUntil(60*model.Second, "another leads", func() bool { node := sc.readyLeader(); return node != nil && node != second })
		second.setStateLink(linkOpen)
		sc.Run(sc.Now + 2*model.Second)
		sc.submitArray(4, 10)
		for i, node := range sc.nodes {
			after := sc.sessionTTL() + model.Micros(8+i)*model.Second
			if node == second {
				after = 400 * model.Millisecond
			}
			sc.restartAfter(node, after)
		}
		// Another may have led; its session has to run out.
		sc.runUntil(sc.sessionTTL()+6*model.Second, "the one that is back leads", func() bool { return sc.readyLeader() == second })
		sc.Run(sc.Now + 15*model.Second)
	}},
	{"one-task jobs four a second, a quarter cancelled", func(sc *failureScenario) {
		sc.waitForLeader(10 * model.Second)
		sc.Run(sc.Now + 5*model.Second)
		for i := range 400 {
			sc.Run(sc.Now + 250*model.Millisecond)
			job := sc.submitArray(1, 4)
			if i%4 == 0 {
				job.onAccepted = func() { job.cancelAt = sc.Now + sc.Between(0, 8*model.Second) }
			}
			if i == 200 {
				sc.restartAfter(sc.requireLeader(), 500*model.Millisecond)
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
			sc.t.Fatalf("%d of 400 are accepted", accepted)
		}
	}},
	{"a cancellation, a question and a repetition meet the end of the last task", func(sc *failureScenario) {
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
		// Once more, while cancellations wait for others' transactions that get no answer.
		sc.waitForLeader(60 * model.Second)
		sc.lateWriteChance, sc.lateWriteDelay = 0.9, sc.shortWriteDelay
		for i := range 60 {
			job := sc.submitArray(1+i%3, 3)
			jobsByID[job.submission.ID] = job
			sc.Run(sc.Now + 150*model.Millisecond)
		}
		sc.Run(sc.Now + 60*model.Second)
		if cancellations < 3 {
			sc.t.Fatalf("%d cancellations met the end of a job", cancellations)
		}
	}},
}

// atTheLimit has teams use all that they may, and then a cancellation while machines
// can't be asked and the leader changes: what is on those machines goes on counting.
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
	sc.restartAfter(sc.requireLeader(), model.Second)
	for _, u := range cancelled {
		u.cancel(nil)
	}
	sc.waitForCancelled(60*model.Second, cancelled...)
	sc.runUntil(60*model.Second, "a new leader", func() bool { return sc.readyLeader() != nil })
	sc.restartAfter(sc.requireLeader(), model.Second)
	sc.requireStopped(cancelled...)
	sc.runUntil(150*model.Second, "what waited runs", func() bool {
		for _, u := range waiting {
			if sc.invariants.ReportedEnd(u.submission.ID) != "done" {
				return false
			}
		}
		return true
	})
}

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
