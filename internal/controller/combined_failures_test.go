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
	run  func(m *failureScenario)
}{
	{"all controllers away for longer than a lease", func(m *failureScenario) {
		long, _, _ := m.startMixedLoad()
		long.cancel(nil)
		m.waitForCancelled(10*model.Second, long)
		for _, n := range m.nodes {
			n.crash()
		}
		m.Run(m.Now + m.workerLease() + m.heartbeatInterval() + model.Second)
		if n := m.invariants.TasksOnMachines(); n != 0 || m.leader() != nil {
			m.t.Fatalf("%d tasks are on machines without a lease", n)
		}
		m.requireStopped(long)
	}},
	{"cancellations while work changes hands", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		l := m.requireLeader()
		l.crash()
		via := m.otherNode(l)
		long.cancel(via)
		m.waitForCancelled(m.sessionTTL(), long)
		if m.readyLeader() != nil {
			m.t.Fatal("another leads already")
		}
		m.runUntil(60*model.Second, "another leads", func() bool { return m.leader() != nil })
		gang.cancel(m.otherNode(m.leader()))
		m.waitForCancelled(10*model.Second, gang)
		m.requireStopped(long, gang)
	}},
	{"transactions carried out late, after newer ones", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		m.lateWriteChance, m.lateWriteDelay = 0.4, m.longWriteDelay
		m.submitArray(8, 10)
		m.submitGang(3, 10)
		long.cancel(nil)
		m.Run(m.Now + 15*model.Second)
		m.restartAfter(m.nodes[0], 300*model.Millisecond)
		m.submitArray(8, 10)
		gang.cancel(nil)
		m.Run(m.Now + 30*model.Second)
		if m.lateWritesArrived < 10 {
			m.t.Fatalf("only %d transactions came late", m.lateWritesArrived)
		}
	}},
	{"a transaction is carried out and its answer lost, while others read", func(m *failureScenario) {
		long, _, _ := m.startMixedLoad()
		m.lateWriteChance, m.lateWriteDelay = 0.5, m.shortWriteDelay
		for range 6 {
			m.submitArray(2, 5)
		}
		long.cancel(nil)
		m.Run(m.Now + 20*model.Second)
		if l := m.readyLeader(); l != nil {
			m.restartAfter(l, 200*model.Millisecond)
		}
		m.Run(m.Now + 20*model.Second)
		if m.lateWritesApplied < 5 || m.everyNodeAnswers < 50 {
			m.t.Fatalf("%d transactions without an answer, %d looks", m.lateWritesApplied, m.everyNodeAnswers)
		}
	}},
	{"more work than room, urgent and not, over slow links", func(m *failureScenario) {
		m.startMixedLoad()
		m.heartbeatLag = 1500 * model.Millisecond
		for i := range 6 {
			m.submitArray(12, 15)
			u := m.submitGang(3, 15)
			if i%2 == 0 {
				u.onAccepted = func() { u.cancelAt = m.Now + 10*model.Second }
			}
			low := arrayJob(200+i, 8, 10)
			low.Priority = "idle"
			m.submitAndTrack(low)
		}
		m.runUntil(60*model.Second, "there is more work than room", func() bool {
			l := m.requireLeader()
			if l == nil {
				return false
			}
			waiting := 0
			for _, j := range l.ctl.leading.shard.Jobs {
				waiting += len(j.Waiting)
			}
			return waiting > 20
		})
		m.Run(m.Now + 60*model.Second)
	}},
	{"old reports reach every controller as a new leader begins", func(m *failureScenario) {
		m.recordsHeartbeats = true
		long, _, _ := m.startMixedLoad()
		old := m.recordedHeartbeats
		m.recordsHeartbeats = false
		l := m.requireLeader()
		l.crash()
		long.cancel(m.otherNode(l))
		m.runUntil(60*model.Second, "a new leader begins", func() bool { return m.leader() != nil })
		for range 20 {
			replayHeartbeats(old)
			m.Run(m.Now + 100*model.Millisecond)
		}
		if len(old) < 20 || m.readyLeader() == nil {
			m.t.Fatalf("%d old reports", len(old))
		}
	}},
	{"an answer is held up for seconds, and the machine then goes on", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		m.heartbeatLag = 3500 * model.Millisecond
		m.submitArray(8, 10)
		m.Run(m.Now + m.heartbeatInterval())
		hung := 0
		for i, x := range m.cloud.Workers() {
			if x.TaskCount() > 0 {
				hung++
				x.SetHung(true)
				m.After(model.Micros(2+i%8)*model.Second, func() { x.SetHung(false) })
			}
		}
		long.cancel(nil)
		gang.cancel(nil)
		m.waitForCancelled(15*model.Second, long, gang)
		if hung < 3 {
			m.t.Fatalf("%d machines hung", hung)
		}
		m.requireStopped(long, gang)
	}},
	{"a report is held back until a new leader has acted", func(m *failureScenario) {
		long, _, _ := m.startMixedLoad()
		for i, x := range m.cloud.Workers() {
			m.delayedMachines[x.ID] = i%2 == 0
		}
		m.submitArray(6, 10)
		m.Run(m.Now + m.heartbeatInterval())
		l := m.requireLeader()
		l.crash()
		long.cancel(m.otherNode(l))
		m.runUntil(60*model.Second, "a new leader has acted", func() bool {
			n := m.readyLeader()
			return n != nil && n.ctl.leading.shard.PendingWrites() == 0 && len(n.ctl.leading.shard.Machines) > 0
		})
		m.Run(m.Now + m.heartbeatInterval())
		late := m.delayedHeartbeats
		for _, f := range late {
			f(m.requireLeader())
		}
		clear(m.delayedMachines)
		if len(late) == 0 {
			m.t.Fatal("no report was held back")
		}
		m.Run(m.Now + 5*model.Second)
	}},
	{"jobs bound to one zone lose machines", func(m *failureScenario) {
		yard := "a"
		var bound []*user
		for i := range 3 {
			s := arrayJob(200+i, 6, 60)
			if i == 2 {
				s = gangJob(202, 3, 60)
				s.SameZone = true
			}
			s.Zone = &yard
			bound = append(bound, m.submitAndTrack(s))
		}
		m.runUntil(90*model.Second, "they run", func() bool { return m.tasksOnMachines(bound[0]) > 0 && m.tasksOnMachines(bound[2]) == 3 })
		lost := 0
		for i, x := range m.cloud.Workers() {
			if x.Zone == yard && x.TaskCount() > 0 && i%3 < 2 {
				lost++
				if i%3 == 0 {
					x.Terminate()
				} else {
					x.SetHung(true)
				}
			}
		}
		m.restartAfter(m.requireLeader(), 200*model.Millisecond)
		bound[1].cancel(nil)
		m.Run(m.Now + m.workerLease())
		if lost < 2 {
			m.t.Fatalf("%d machines were lost", lost)
		}
	}},
	{"a team at its limit, machines that can't be asked, a cancellation, a new leader", func(m *failureScenario) { cancelAtTeamLimits(m, "red") }},
	{"a zone with workers and a controller is cut off for longer than a lease", func(m *failureScenario) {
		long, _, service := m.startMixedLoad()
		l := m.requireLeader()
		l.setStateLink(linkDropping)
		l.peersCutOff, l.usersCutOff = true, true
		m.canReach = func(x *standin.Worker, n *simNode) bool { return (x.Zone == "a") == (n == l) }
		via := m.otherNode(l)
		m.submitArray(4, 10)
		long.cancel(via)
		service.cancel(via)
		m.waitForCancelled(20*model.Second, long, service)
		m.Run(m.Now + m.workerLease() + 2*model.Second)
		if n := m.readyLeader(); n == nil || n == l {
			m.t.Fatal("no other leads")
		}
		m.requireStopped(long, service)
	}},
	{"the zone of all controllers is cut off for longer than a lease, right after a cancellation", func(m *failureScenario) {
		long, gang, service := m.startMixedLoad()
		if m.tasksInZone("a") == 0 || m.tasksInZone("b") == 0 {
			m.t.Fatal("nothing runs in one of the zones")
		}
		l := m.requireLeader()
		l.setStateLink(linkDropping) // the leader does not hear of the cancellation
		l.peersCutOff = true
		long.cancel(m.otherNode(l))
		m.waitForCancelled(10*model.Second, long)
		for _, n := range m.nodes {
			n.setStateLink(linkDropping)
			n.usersCutOff = true
		}
		m.canReach = func(x *standin.Worker, _ *simNode) bool { return x.Zone == "a" }
		m.Run(m.Now + 2*model.Second)
		m.restartAfter(m.otherNode(l), 8*model.Second)
		m.Run(m.Now + m.workerLease() + 2*model.Second)
		if n := m.tasksInZone("b"); n > 0 {
			m.t.Fatalf("%d tasks in the other zone outlive their leases", n)
		}
		m.requireStopped(long)
		m.endFaults()
		// What ended there goes on, a report and its start after the takeover.
		m.runUntil(3*m.heartbeatInterval()+10*model.Second, "replicas and gang run again", func() bool {
			return m.tasksOnMachines(service) == 2 && m.tasksOnMachines(gang) == 3
		})
	}},
	{"jobs of two or three tasks end far apart across a change of leader", func(m *failureScenario) {
		m.cloud.TaskDuration = func(*model.Job) model.Micros { return m.Between(2*model.Second, 50*model.Second) }
		for i := range 8 {
			m.submitArray(2+i%2, 20)
		}
		changes := 0
		for range 4 {
			m.Run(m.Now + 12*model.Second)
			if l := m.readyLeader(); l != nil {
				for _, u := range m.submitted {
					s := l.ctl.view.Done(u.submission.ID)
					if n := s.Len(); n > 0 && n < u.submission.Tasks {
						changes++
					}
				}
				m.restartAfter(l, 5*model.Second)
			}
		}
		if changes == 0 {
			m.t.Fatal("no job was half done at a change of leader")
		}
	}},
	{"a leader ends while machines with long tasks can't be reached or don't hear", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		unreached, unhearing := 0, 0
		for i, x := range m.cloud.Workers() {
			switch {
			case x.TaskCount() == 0:
			case i%3 == 0:
				m.heartbeatsBlocked[x.ID] = true
				unreached++
			case i%3 == 1:
				m.responsesLost[x.ID] = true
				unhearing++
			}
		}
		l := m.requireLeader()
		l.crash()
		m.runUntil(60*model.Second, "another leads", func() bool { return m.readyLeader() != nil })
		gang.cancel(nil)
		m.Run(m.Now + m.workerLease()/2)
		clear(m.heartbeatsBlocked)
		m.Run(m.Now + m.workerLease())
		long.cancel(m.otherNode(l)) // not at the node that is away: its users are not answered for 5 s
		if unreached == 0 || unhearing == 0 {
			m.t.Fatal("no such machines")
		}
		m.waitForCancelled(10*model.Second, long, gang)
		m.requireStopped(long, gang)
	}},
	{"new machines are up at once while writes lag, and the leader ends", func(m *failureScenario) {
		m.cloud.FastBootChance = 1
		m.waitForLeader(10 * model.Second)
		m.lateWriteChance, m.lateWriteDelay = 0.5, m.longWriteDelay
		long := m.submitArray(12, 200)
		m.submitGang(3, 30)
		quick := false
		m.runUntil(90*model.Second, "a new machine has work", func() bool {
			for _, x := range m.cloud.Workers() {
				quick = quick || x.TaskCount() > 0
			}
			return quick
		})
		m.restartAfter(m.requireLeader(), 8*model.Second)
		m.submitArray(6, 10)
		m.Run(m.Now + 30*model.Second)
		long.cancel(nil)
		m.Run(m.Now + 10*model.Second)
		if m.lateWritesArrived == 0 {
			m.t.Fatal("no write was late")
		}
	}},
	{"the state service is slow, refuses the leader, then everybody, while users cancel and ask", func(m *failureScenario) {
		long, gang, service := m.startMixedLoad()
		m.stateLag = 700 * model.Millisecond
		m.Run(m.Now + 5*model.Second)
		m.runUntil(30*model.Second, "somebody leads", func() bool { return m.leader() != nil })
		l := m.leader()
		l.setStateLink(linkRefusing)
		for _, u := range []*user{long, gang, service} {
			u.cancel(nil)
		}
		m.Run(m.Now + 1500*model.Millisecond)
		m.state.SetOutage(true)
		m.Run(m.Now + m.invariants.CancelLimit + 10*model.Second)
		m.invariants.CheckCancelled()
		l.setStateLink(linkOpen)
		m.state.SetOutage(false)
		m.waitForCancelled(60*model.Second, long, gang, service)
		m.requireStopped(long, gang, service)
	}},
	{"a leader alone with its workers and users, cancellations through the new one", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		l := m.requireLeader()
		l.setStateLink(linkDropping)
		l.peersCutOff = true
		m.runUntil(90*model.Second, "another leads", func() bool { n := m.readyLeader(); return n != nil && n != l })
		long.cancel(m.readyLeader())
		gang.cancel(m.readyLeader())
		m.waitForCancelled(10*model.Second, long, gang)
		if l.stateLink != linkDropping || !l.alive {
			m.t.Fatal("the old leader is back")
		}
		m.requireStopped(long, gang)
	}},
	{"old reports after newer ones, from earlier sessions and attempts", func(m *failureScenario) {
		m.duplicateHeartbeatChance = 0.6
		m.recordsHeartbeats = true
		long, _, _ := m.startMixedLoad()
		for i, x := range m.cloud.Workers() {
			if i%2 == 0 {
				x.Restart()
			}
		}
		m.runUntil(90*model.Second, "it runs again", func() bool { return m.tasksOnMachines(long) == 6 })
		old := m.recordedHeartbeats
		m.recordsHeartbeats = false
		starts := m.invariants.Starts
		replayHeartbeats(old)
		m.Run(m.Now + 3*m.heartbeatInterval())
		if len(old) < 20 || m.tasksOnMachines(long) != 6 {
			m.t.Fatalf("%d old reports, %d tasks, %d starts", len(old), m.tasksOnMachines(long), m.invariants.Starts-starts)
		}
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(m *failureScenario) {
		m.startMixedLoad()
		tokens := map[uint64]bool{}
		end := m.Now + 120*model.Second
		for i := 0; m.Now < end; i++ {
			m.submitArray(2, 5)
			switch l := m.leader(); {
			case l == nil:
			case i%3 == 0:
				l.setStateLink(linkRefusing)
				m.After(4*model.Second, func() { l.setStateLink(linkOpen) })
			default:
				m.restartAfter(l, m.Between(50*model.Millisecond, 2*model.Second))
			}
			if i == 4 {
				m.state.SetOutage(true)
				m.After(8*model.Second, func() { m.state.SetOutage(false) })
			}
			for range 10 {
				m.Run(m.Now + 800*model.Millisecond)
				if l := m.leader(); l != nil {
					tokens[l.ctl.leading.token] = true
				}
			}
		}
		if len(tokens) < 10 {
			m.t.Fatalf("only %d grants", len(tokens))
		}
	}},
	{"workers reach no controller", func(m *failureScenario) {
		long, gang, _ := m.startMixedLoad()
		for i, x := range m.cloud.Workers() {
			m.heartbeatsBlocked[x.ID] = i%3 != 2
		}
		long.cancel(nil)
		gang.cancel(nil)
		m.waitForCancelled(10*model.Second, long, gang)
		m.submitArray(4, 10)
		m.Run(m.Now + m.workerLease()/2)
		m.restartAfter(m.requireLeader(), 300*model.Millisecond)
		m.Run(m.Now + m.workerLease())
		m.requireStopped(long, gang)
	}},
	{"every team at its limit, cancelled jobs on machines cut off or hanging, a new leader", func(m *failureScenario) { cancelAtTeamLimits(m, "red", "blue") }},
	{"controllers hand over and back, all end, and one returns, also within a second", func(m *failureScenario) {
		m.startMixedLoad()
		first := m.requireLeader()
		m.restartAfter(first, 300*model.Millisecond)
		m.runUntil(60*model.Second, "somebody leads", func() bool { return m.readyLeader() != nil })
		second := m.requireLeader()
		second.setStateLink(linkRefusing)
		m.runUntil(60*model.Second, "another leads", func() bool { n := m.readyLeader(); return n != nil && n != second })
		second.setStateLink(linkOpen)
		m.Run(m.Now + 2*model.Second)
		m.submitArray(4, 10)
		for i, n := range m.nodes {
			after := m.sessionTTL() + model.Micros(8+i)*model.Second
			if n == second {
				after = 400 * model.Millisecond
			}
			m.restartAfter(n, after)
		}
		// Another may have led; its session has to run out.
		m.runUntil(m.sessionTTL()+6*model.Second, "the one that is back leads", func() bool { return m.readyLeader() == second })
		m.Run(m.Now + 15*model.Second)
	}},
	{"one-task jobs four a second, a quarter cancelled", func(m *failureScenario) {
		m.waitForLeader(10 * model.Second)
		m.Run(m.Now + 5*model.Second)
		for i := range 400 {
			m.Run(m.Now + 250*model.Millisecond)
			u := m.submitArray(1, 4)
			if i%4 == 0 {
				u.onAccepted = func() { u.cancelAt = m.Now + m.Between(0, 8*model.Second) }
			}
			if i == 200 {
				m.restartAfter(m.requireLeader(), 500*model.Millisecond)
			}
		}
		m.Run(m.Now + 10*model.Second)
		accepted := 0
		for _, u := range m.submitted {
			if u.accepted {
				accepted++
			}
		}
		if accepted < 380 {
			m.t.Fatalf("%d of 400 are accepted", accepted)
		}
	}},
	{"a cancellation, a question and a repetition meet the end of the last task", func(m *failureScenario) {
		byRef := map[string]*user{}
		met := 0
		m.invariants.OnJobCompleted = func(ref string) {
			u := byRef[ref]
			if u == nil || !u.accepted {
				return
			}
			u.checkEveryNode()
			m.After(m.Between(0, 400*model.Millisecond), func() {
				u.checkEveryNode()
				if m.invariants.ReportedEnd(ref) == "" {
					met++
					u.cancel(nil)
				}
			})
		}
		for i := range 12 {
			u := m.submitArray(1+i%3, 5)
			byRef[u.submission.ID] = u
		}
		m.Run(m.Now + 60*model.Second)
		// Once more, while cancellations wait for others' transactions that get no answer.
		m.waitForLeader(60 * model.Second)
		m.lateWriteChance, m.lateWriteDelay = 0.9, m.shortWriteDelay
		for i := range 60 {
			u := m.submitArray(1+i%3, 3)
			byRef[u.submission.ID] = u
			m.Run(m.Now + 150*model.Millisecond)
		}
		m.Run(m.Now + 60*model.Second)
		if met < 3 {
			m.t.Fatalf("%d cancellations met the end of a job", met)
		}
	}},
}

// atTheLimit has teams use all that they may, and then a cancellation while machines
// can't be asked and the leader changes: what is on those machines goes on counting.
func cancelAtTeamLimits(m *failureScenario, teams ...string) {
	var cancelled, waiting []*user
	for i, team := range teams {
		most := int(m.invariants.Teams[team].Limit.Cores / 2000)
		s := arrayJob(300+i, most, 400)
		s.Team = team
		cancelled = append(cancelled, m.submitAndTrack(s))
	}
	m.runUntil(120*model.Second, "the teams are at their limits", func() bool {
		for _, team := range teams {
			if m.invariants.Used(team).Cores < m.invariants.Teams[team].Limit.Cores {
				return false
			}
		}
		return true
	})
	for i, team := range teams {
		s := arrayJob(310+i, 6, 10)
		s.Team = team
		waiting = append(waiting, m.submitAndTrack(s))
	}
	for i, x := range m.cloud.Workers() {
		switch i % 3 {
		case 0:
			x.SetHung(true)
			m.After(m.workerLease()*3/4, func() { x.SetHung(false) })
		case 1:
			m.heartbeatsBlocked[x.ID] = true
		}
	}
	m.restartAfter(m.requireLeader(), model.Second)
	for _, u := range cancelled {
		u.cancel(nil)
	}
	m.waitForCancelled(60*model.Second, cancelled...)
	m.runUntil(60*model.Second, "a new leader", func() bool { return m.readyLeader() != nil })
	m.restartAfter(m.requireLeader(), model.Second)
	m.requireStopped(cancelled...)
	m.runUntil(150*model.Second, "what waited runs", func() bool {
		for _, u := range waiting {
			if m.invariants.ReportedEnd(u.submission.ID) != "done" {
				return false
			}
		}
		return true
	})
}

func TestCombinedFailures(t *testing.T) {
	for _, c := range combinedFailures {
		for i, ts := range scenarioWorkerTimes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/cancel %v seed %d", c.name, ts.cancel, seed), func(t *testing.T) {
					t.Parallel()
					m := newFailureScenario(t, ts, 1000+uint64(i)*100+seed)
					c.run(m)
					m.requireRecovery()
				})
			}
		}
	}
}
