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

func (ts workerTimes) settings(name string) *config.Settings {
	s := simSettings(name)
	w := &s.Params.Workers
	w.ReportS, w.LeaseS, w.CancelS = ts.report, ts.lease, ts.cancel
	return s
}

func newFailureScenario(t *testing.T, ts workerTimes, seed uint64) *failureScenario {
	m := &failureScenario{simDeployment: newDeployment(t, seed, ts.settings, cloudCapacity(4, 2))}
	m.checksEveryNode = true
	return m
}

func (m *failureScenario) workerLease() model.Micros {
	return model.Seconds(m.nodes[0].settings.Params.Workers.LeaseS)
}

func (m *failureScenario) heartbeatInterval() model.Micros {
	return model.Seconds(m.nodes[0].settings.Params.Workers.ReportS)
}

func (m *failureScenario) sessionTTL() model.Micros {
	return m.nodes[0].ctl.authority.Times.TTL
}

func (m *failureScenario) submitAndTrack(s *model.Submission) *user {
	u := m.submit(s, 0)
	m.submitted = append(m.submitted, u)
	return u
}

func (m *failureScenario) submitArray(tasks int, guess float64) *user {
	m.lastJobNumber++
	return m.submitAndTrack(arrayJob(m.lastJobNumber, tasks, guess))
}

func (m *failureScenario) submitGang(tasks int, guess float64) *user {
	m.lastJobNumber++
	return m.submitAndTrack(gangJob(m.lastJobNumber, tasks, guess))
}

// load is a mixed load: what runs long, what is short, and a service.
func (m *failureScenario) startMixedLoad() (long *user, gang *user, service *user) {
	long, gang = m.submitArray(6, 300), m.submitGang(3, 300)
	s := arrayJob(500, 2, 0)
	s.Kind, s.Priority, s.AllowsSpot, s.Spread = "service", "critical", false, true
	service = m.submitAndTrack(s)
	for range 3 {
		m.submitArray(4, 20)
	}
	m.runUntil(90*model.Second, "the load runs", func() bool {
		return m.tasksOnMachines(long) == 6 && m.tasksOnMachines(gang) == 3 && m.tasksOnMachines(service) == 2
	})
	return long, gang, service
}

// tasksIn is the number of tasks on the machines of a zone.
func (m *failureScenario) tasksInZone(zone string) (n int) {
	for _, x := range m.cloud.Workers() {
		if x.Zone == zone {
			n += x.TaskCount()
		}
	}
	return n
}

func (m *failureScenario) tasksOnMachines(u *user) int {
	return m.invariants.JobTasksOnMachines(u.submission.ID)
}

// readyLeader is the controller that leads and has taken over, nil if there is none.
func (m *failureScenario) readyLeader() *simNode {
	if l := m.leader(); l != nil && l.ctl.leading.ready {
		return l
	}
	return nil
}

// requireLeader waits until a controller leads and has taken over, and returns it.
func (m *failureScenario) requireLeader() *simNode {
	m.t.Helper()
	m.waitForLeader(60 * model.Second)
	return m.readyLeader()
}

// other is a node that is up and is not n.
func (m *failureScenario) otherNode(n *simNode) *simNode {
	for _, o := range m.nodes {
		if o != n && o.alive {
			return o
		}
	}
	m.t.Fatal("no other node is up")
	return nil
}

// withdrawn waits until users were told that the jobs are withdrawn.
func (m *failureScenario) waitForCancelled(limit model.Micros, us ...*user) {
	m.t.Helper()
	m.runUntil(limit, "the cancellations are confirmed", func() bool {
		for _, u := range us {
			if m.invariants.ReportedEnd(u.submission.ID) != "withdrawn" {
				return false
			}
		}
		return true
	})
}

func (m *failureScenario) restartAfter(n *simNode, after model.Micros) {
	n.crash()
	m.After(after, func() {
		if !n.alive {
			n.start()
		}
	})
}

// calm ends all troubles.
func (m *failureScenario) endFaults() {
	m.state.SetOutage(false)
	for _, n := range m.nodes {
		n.setStateLink(linkOpen)
		n.reachableByWorkers, n.peersCutOff, n.usersCutOff, n.syncsLost = true, false, false, false
		if !n.alive {
			n.start()
		}
	}
	clear(m.responsesLost)
	clear(m.heartbeatsBlocked)
	clear(m.delayedMachines)
	m.canReach, m.heartbeatLag, m.stateLag, m.lateWriteChance, m.duplicateHeartbeatChance, m.duplicateRequestChance = nil, 0, 0, 0, 0, 0
	for _, x := range m.cloud.Workers() {
		x.SetHung(false)
	}
	m.invariants.FaultsOverAt = m.Now
}

// requireServed ends all troubles and checks that the work is served: all that was accepted
// comes to its end, nothing waits beside room, what comes anew runs, and the rules held.
func (m *failureScenario) requireRecovery() {
	m.t.Helper()
	m.endFaults()
	m.submitArray(3, 5)
	m.submitGang(2, 5)
	for _, u := range m.submitted {
		if u.submission.Kind == "service" {
			u.cancelAt = m.Now + 40*model.Second
		}
	}
	limit := m.Now + 700*model.Second
	for m.Now < limit && !m.allEnded() {
		m.Run(m.Now + model.Second)
		m.invariants.CheckWaiting(m.cloud.Workers())
	}
	m.requireInvariants()
	for _, u := range m.submitted {
		if m.invariants.Accepted[u.submission.ID] && m.invariants.ReportedEnd(u.submission.ID) == "" {
			m.t.Fatalf("%s never ended: %s", u.submission.ID, m.describe())
		}
	}
	if n := m.invariants.CancelledStarts; n > 0 {
		m.t.Logf("%d starts after a confirmed cancellation", n)
	}
}

func (m *failureScenario) allEnded() bool {
	for _, u := range m.submitted {
		if m.invariants.Accepted[u.submission.ID] && m.invariants.ReportedEnd(u.submission.ID) == "" {
			return false
		}
	}
	return true
}

// requireStopped checks that nothing of the jobs is on machines once the time for a cancellation has
// passed.
func (m *failureScenario) requireStopped(us ...*user) {
	m.t.Helper()
	for _, u := range us {
		m.Run(max(m.Now, m.invariants.EndReportedAt(u.submission.ID)+m.invariants.CancelLimit))
		if n := m.tasksOnMachines(u); n > 0 {
			m.t.Fatalf("%d tasks of %s are on machines %v after its cancellation", n, u.submission.ID, m.Now-m.invariants.EndReportedAt(u.submission.ID))
		}
	}
	m.requireInvariants()
}
