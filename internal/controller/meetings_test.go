package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// meetings are the others, in the order in which the users name them.
var meetings = []struct {
	name string
	run  func(m *meeting)
}{
	{"all controllers away for longer than a lease", func(m *meeting) {
		long, _, _ := m.load()
		long.cancel(nil)
		m.withdrawn(10*model.Second, long)
		for _, n := range m.nodes {
			n.crash()
		}
		m.Run(m.Now + m.lease() + m.report() + model.Second)
		if n := m.rules.TasksOnMachines(); n != 0 || m.leader() != nil {
			m.t.Fatalf("%d tasks are on machines without a lease", n)
		}
		m.requireStopped(long)
	}},
	{"cancellations while work changes hands", func(m *meeting) {
		long, gang, _ := m.load()
		l := m.requireLeader()
		l.crash()
		via := m.other(l)
		long.cancel(via)
		m.withdrawn(m.session(), long)
		if m.readyLeader() != nil {
			m.t.Fatal("another leads already")
		}
		m.until(60*model.Second, "another leads", func() bool { return m.leader() != nil })
		gang.cancel(m.other(m.leader()))
		m.withdrawn(10*model.Second, gang)
		m.requireStopped(long, gang)
	}},
	{"transactions carried out late, after newer ones", func(m *meeting) {
		long, gang, _ := m.load()
		m.lateWrites, m.lateBy = 0.4, m.afterNewer
		m.submitArray(8, 10)
		m.submitGang(3, 10)
		long.cancel(nil)
		m.Run(m.Now + 15*model.Second)
		m.restart(m.nodes[0], 300*model.Millisecond)
		m.submitArray(8, 10)
		gang.cancel(nil)
		m.Run(m.Now + 30*model.Second)
		if m.arrivedLate < 10 {
			m.t.Fatalf("only %d transactions came late", m.arrivedLate)
		}
	}},
	{"a transaction is carried out and its answer lost, while others read", func(m *meeting) {
		long, _, _ := m.load()
		m.lateWrites, m.lateBy = 0.5, m.atOnce
		for range 6 {
			m.submitArray(2, 5)
		}
		long.cancel(nil)
		m.Run(m.Now + 20*model.Second)
		if l := m.readyLeader(); l != nil {
			m.restart(l, 200*model.Millisecond)
		}
		m.Run(m.Now + 20*model.Second)
		if m.wroteLate < 5 || m.everyNodeAnswers < 50 {
			m.t.Fatalf("%d transactions without an answer, %d looks", m.wroteLate, m.everyNodeAnswers)
		}
	}},
	{"more work than room, urgent and not, over slow links", func(m *meeting) {
		m.load()
		m.lag = 1500 * model.Millisecond
		for i := range 6 {
			m.submitArray(12, 15)
			u := m.submitGang(3, 15)
			if i%2 == 0 {
				u.then = func() { u.cancelAt = m.Now + 10*model.Second }
			}
			low := arrayJob(200+i, 8, 10)
			low.Priority = "idle"
			m.add(low)
		}
		m.until(60*model.Second, "there is more work than room", func() bool {
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
	{"old reports reach every controller as a new leader begins", func(m *meeting) {
		m.recordsHeartbeats = true
		long, _, _ := m.load()
		old := m.recordedHeartbeats
		m.recordsHeartbeats = false
		l := m.requireLeader()
		l.crash()
		long.cancel(m.other(l))
		m.until(60*model.Second, "a new leader begins", func() bool { return m.leader() != nil })
		for range 20 {
			repeatAll(old)
			m.Run(m.Now + 100*model.Millisecond)
		}
		if len(old) < 20 || m.readyLeader() == nil {
			m.t.Fatalf("%d old reports", len(old))
		}
	}},
	{"an answer is held up for seconds, and the machine then goes on", func(m *meeting) {
		long, gang, _ := m.load()
		m.lag = 3500 * model.Millisecond
		m.submitArray(8, 10)
		m.Run(m.Now + m.report())
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
		m.withdrawn(15*model.Second, long, gang)
		if hung < 3 {
			m.t.Fatalf("%d machines hung", hung)
		}
		m.requireStopped(long, gang)
	}},
	{"a report is held back until a new leader has acted", func(m *meeting) {
		long, _, _ := m.load()
		for i, x := range m.cloud.Workers() {
			m.cut[x.ID] = i%2 == 0
		}
		m.submitArray(6, 10)
		m.Run(m.Now + m.report())
		l := m.requireLeader()
		l.crash()
		long.cancel(m.other(l))
		m.until(60*model.Second, "a new leader has acted", func() bool {
			n := m.readyLeader()
			return n != nil && n.ctl.leading.shard.PendingWrites() == 0 && len(n.ctl.leading.shard.Machines) > 0
		})
		m.Run(m.Now + m.report())
		late := m.late
		for _, f := range late {
			f(m.requireLeader())
		}
		clear(m.cut)
		if len(late) == 0 {
			m.t.Fatal("no report was held back")
		}
		m.Run(m.Now + 5*model.Second)
	}},
	{"jobs bound to one zone lose machines", func(m *meeting) {
		yard := "a"
		var bound []*user
		for i := range 3 {
			s := arrayJob(200+i, 6, 60)
			if i == 2 {
				s = gangJob(202, 3, 60)
				s.SameZone = true
			}
			s.Zone = &yard
			bound = append(bound, m.add(s))
		}
		m.until(90*model.Second, "they run", func() bool { return m.on(bound[0]) > 0 && m.on(bound[2]) == 3 })
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
		m.restart(m.requireLeader(), 200*model.Millisecond)
		bound[1].cancel(nil)
		m.Run(m.Now + m.lease())
		if lost < 2 {
			m.t.Fatalf("%d machines were lost", lost)
		}
	}},
	{"a team at its limit, machines that can't be asked, a cancellation, a new leader", func(m *meeting) { atTheLimit(m, "red") }},
	{"a zone with workers and a controller is cut off for longer than a lease", func(m *meeting) {
		long, _, service := m.load()
		l := m.requireLeader()
		l.setCut(dropped)
		l.peersCutOff, l.usersCutOff = true, true
		m.reaches = func(x *standin.Worker, n *simNode) bool { return (x.Zone == "a") == (n == l) }
		via := m.other(l)
		m.submitArray(4, 10)
		long.cancel(via)
		service.cancel(via)
		m.withdrawn(20*model.Second, long, service)
		m.Run(m.Now + m.lease() + 2*model.Second)
		if n := m.readyLeader(); n == nil || n == l {
			m.t.Fatal("no other leads")
		}
		m.requireStopped(long, service)
	}},
	{"the zone of all controllers is cut off for longer than a lease, right after a cancellation", func(m *meeting) {
		long, gang, service := m.load()
		if m.tasksIn("a") == 0 || m.tasksIn("b") == 0 {
			m.t.Fatal("nothing runs in one of the zones")
		}
		l := m.requireLeader()
		l.setCut(dropped) // the leader does not hear of the cancellation
		l.peersCutOff = true
		long.cancel(m.other(l))
		m.withdrawn(10*model.Second, long)
		for _, n := range m.nodes {
			n.setCut(dropped)
			n.usersCutOff = true
		}
		m.reaches = func(x *standin.Worker, _ *simNode) bool { return x.Zone == "a" }
		m.Run(m.Now + 2*model.Second)
		m.restart(m.other(l), 8*model.Second)
		m.Run(m.Now + m.lease() + 2*model.Second)
		if n := m.tasksIn("b"); n > 0 {
			m.t.Fatalf("%d tasks in the other zone outlive their leases", n)
		}
		m.requireStopped(long)
		m.calm()
		// What ended there goes on, a report and its start after the takeover.
		m.until(3*m.report()+10*model.Second, "replicas and gang run again", func() bool {
			return m.on(service) == 2 && m.on(gang) == 3
		})
	}},
	{"jobs of two or three tasks end far apart across a change of leader", func(m *meeting) {
		m.cloud.TaskDuration = func(*model.Job) model.Micros { return m.Between(2*model.Second, 50*model.Second) }
		for i := range 8 {
			m.submitArray(2+i%2, 20)
		}
		changes := 0
		for range 4 {
			m.Run(m.Now + 12*model.Second)
			if l := m.readyLeader(); l != nil {
				for _, u := range m.submitted {
					s := l.ctl.view.Done(u.sub.ID)
					if n := s.Len(); n > 0 && n < u.sub.Tasks {
						changes++
					}
				}
				m.restart(l, 5*model.Second)
			}
		}
		if changes == 0 {
			m.t.Fatal("no job was half done at a change of leader")
		}
	}},
	{"a leader ends while machines with long tasks can't be reached or don't hear", func(m *meeting) {
		long, gang, _ := m.load()
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
		m.until(60*model.Second, "another leads", func() bool { return m.readyLeader() != nil })
		gang.cancel(nil)
		m.Run(m.Now + m.lease()/2)
		clear(m.heartbeatsBlocked)
		m.Run(m.Now + m.lease())
		long.cancel(m.other(l)) // not at the node that is away: its users are not answered for 5 s
		if unreached == 0 || unhearing == 0 {
			m.t.Fatal("no such machines")
		}
		m.withdrawn(10*model.Second, long, gang)
		m.requireStopped(long, gang)
	}},
	{"new machines are up at once while writes lag, and the leader ends", func(m *meeting) {
		m.cloud.FastBootChance = 1
		m.waitForLeader(10 * model.Second)
		m.lateWrites, m.lateBy = 0.5, m.afterNewer
		long := m.submitArray(12, 200)
		m.submitGang(3, 30)
		quick := false
		m.until(90*model.Second, "a new machine has work", func() bool {
			for _, x := range m.cloud.Workers() {
				quick = quick || x.TaskCount() > 0
			}
			return quick
		})
		m.restart(m.requireLeader(), 8*model.Second)
		m.submitArray(6, 10)
		m.Run(m.Now + 30*model.Second)
		long.cancel(nil)
		m.Run(m.Now + 10*model.Second)
		if m.arrivedLate == 0 {
			m.t.Fatal("no write was late")
		}
	}},
	{"the state service is slow, refuses the leader, then everybody, while users cancel and ask", func(m *meeting) {
		long, gang, service := m.load()
		m.stateLag = 700 * model.Millisecond
		m.Run(m.Now + 5*model.Second)
		m.until(30*model.Second, "somebody leads", func() bool { return m.leader() != nil })
		l := m.leader()
		l.setCut(refused)
		for _, u := range []*user{long, gang, service} {
			u.cancel(nil)
		}
		m.Run(m.Now + 1500*model.Millisecond)
		m.state.SetOutage(true)
		m.Run(m.Now + m.rules.CancelLimit + 10*model.Second)
		m.rules.CheckCancelled()
		l.setCut(open)
		m.state.SetOutage(false)
		m.withdrawn(60*model.Second, long, gang, service)
		m.requireStopped(long, gang, service)
	}},
	{"a leader alone with its workers and users, cancellations through the new one", func(m *meeting) {
		long, gang, _ := m.load()
		l := m.requireLeader()
		l.setCut(dropped)
		l.peersCutOff = true
		m.until(90*model.Second, "another leads", func() bool { n := m.readyLeader(); return n != nil && n != l })
		long.cancel(m.readyLeader())
		gang.cancel(m.readyLeader())
		m.withdrawn(10*model.Second, long, gang)
		if l.cut != dropped || !l.alive {
			m.t.Fatal("the old leader is back")
		}
		m.requireStopped(long, gang)
	}},
	{"old reports after newer ones, from earlier sessions and attempts", func(m *meeting) {
		m.duplicateHeartbeats = 0.6
		m.recordsHeartbeats = true
		long, _, _ := m.load()
		for i, x := range m.cloud.Workers() {
			if i%2 == 0 {
				x.Restart()
			}
		}
		m.until(90*model.Second, "it runs again", func() bool { return m.on(long) == 6 })
		old := m.recordedHeartbeats
		m.recordsHeartbeats = false
		starts := m.rules.Starts
		repeatAll(old)
		m.Run(m.Now + 3*m.report())
		if len(old) < 20 || m.on(long) != 6 {
			m.t.Fatalf("%d old reports, %d tasks, %d starts", len(old), m.on(long), m.rules.Starts-starts)
		}
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(m *meeting) {
		m.load()
		tokens := map[uint64]bool{}
		end := m.Now + 120*model.Second
		for i := 0; m.Now < end; i++ {
			m.submitArray(2, 5)
			switch l := m.leader(); {
			case l == nil:
			case i%3 == 0:
				l.setCut(refused)
				m.After(4*model.Second, func() { l.setCut(open) })
			default:
				m.restart(l, m.Between(50*model.Millisecond, 2*model.Second))
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
	{"workers reach no controller", func(m *meeting) {
		long, gang, _ := m.load()
		for i, x := range m.cloud.Workers() {
			m.heartbeatsBlocked[x.ID] = i%3 != 2
		}
		long.cancel(nil)
		gang.cancel(nil)
		m.withdrawn(10*model.Second, long, gang)
		m.submitArray(4, 10)
		m.Run(m.Now + m.lease()/2)
		m.restart(m.requireLeader(), 300*model.Millisecond)
		m.Run(m.Now + m.lease())
		m.requireStopped(long, gang)
	}},
	{"every team at its limit, cancelled jobs on machines cut off or hanging, a new leader", func(m *meeting) { atTheLimit(m, "red", "blue") }},
	{"controllers hand over and back, all end, and one returns, also within a second", func(m *meeting) {
		m.load()
		first := m.requireLeader()
		m.restart(first, 300*model.Millisecond)
		m.until(60*model.Second, "somebody leads", func() bool { return m.readyLeader() != nil })
		second := m.requireLeader()
		second.setCut(refused)
		m.until(60*model.Second, "another leads", func() bool { n := m.readyLeader(); return n != nil && n != second })
		second.setCut(open)
		m.Run(m.Now + 2*model.Second)
		m.submitArray(4, 10)
		for i, n := range m.nodes {
			after := m.session() + model.Micros(8+i)*model.Second
			if n == second {
				after = 400 * model.Millisecond
			}
			m.restart(n, after)
		}
		// Another may have led; its session has to run out.
		m.until(m.session()+6*model.Second, "the one that is back leads", func() bool { return m.readyLeader() == second })
		m.Run(m.Now + 15*model.Second)
	}},
	{"one-task jobs four a second, a quarter cancelled", func(m *meeting) {
		m.waitForLeader(10 * model.Second)
		m.Run(m.Now + 5*model.Second)
		for i := range 400 {
			m.Run(m.Now + 250*model.Millisecond)
			u := m.submitArray(1, 4)
			if i%4 == 0 {
				u.then = func() { u.cancelAt = m.Now + m.Between(0, 8*model.Second) }
			}
			if i == 200 {
				m.restart(m.requireLeader(), 500*model.Millisecond)
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
	{"a cancellation, a question and a repetition meet the end of the last task", func(m *meeting) {
		byRef := map[string]*user{}
		met := 0
		m.rules.OnJobCompleted = func(ref string) {
			u := byRef[ref]
			if u == nil || !u.accepted {
				return
			}
			u.checkEveryNode()
			m.After(m.Between(0, 400*model.Millisecond), func() {
				u.checkEveryNode()
				if m.rules.ReportedEnd(ref) == "" {
					met++
					u.cancel(nil)
				}
			})
		}
		for i := range 12 {
			u := m.submitArray(1+i%3, 5)
			byRef[u.sub.ID] = u
		}
		m.Run(m.Now + 60*model.Second)
		// Once more, while cancellations wait for others' transactions that get no answer.
		m.waitForLeader(60 * model.Second)
		m.lateWrites, m.lateBy = 0.9, m.atOnce
		for i := range 60 {
			u := m.submitArray(1+i%3, 3)
			byRef[u.sub.ID] = u
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
func atTheLimit(m *meeting, teams ...string) {
	var cancelled, waiting []*user
	for i, team := range teams {
		most := int(m.rules.Teams[team].Limit.Cores / 2000)
		s := arrayJob(300+i, most, 400)
		s.Team = team
		cancelled = append(cancelled, m.add(s))
	}
	m.until(120*model.Second, "the teams are at their limits", func() bool {
		for _, team := range teams {
			if m.rules.Used(team).Cores < m.rules.Teams[team].Limit.Cores {
				return false
			}
		}
		return true
	})
	for i, team := range teams {
		s := arrayJob(310+i, 6, 10)
		s.Team = team
		waiting = append(waiting, m.add(s))
	}
	for i, x := range m.cloud.Workers() {
		switch i % 3 {
		case 0:
			x.SetHung(true)
			m.After(m.lease()*3/4, func() { x.SetHung(false) })
		case 1:
			m.heartbeatsBlocked[x.ID] = true
		}
	}
	m.restart(m.requireLeader(), model.Second)
	for _, u := range cancelled {
		u.cancel(nil)
	}
	m.withdrawn(60*model.Second, cancelled...)
	m.until(60*model.Second, "a new leader", func() bool { return m.readyLeader() != nil })
	m.restart(m.requireLeader(), model.Second)
	m.requireStopped(cancelled...)
	m.until(150*model.Second, "what waited runs", func() bool {
		for _, u := range waiting {
			if m.rules.ReportedEnd(u.sub.ID) != "done" {
				return false
			}
		}
		return true
	})
}

func TestMeetings(t *testing.T) {
	for _, c := range meetings {
		for i, ts := range meetingTimes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/cancel %v seed %d", c.name, ts.cancel, seed), func(t *testing.T) {
					t.Parallel()
					m := newMeeting(t, ts, 1000+uint64(i)*100+seed)
					c.run(m)
					m.requireServed()
				})
			}
		}
	}
}
