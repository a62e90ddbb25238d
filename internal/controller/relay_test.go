package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// largeTeams are settings with teams that may use many machines.
func largeTeamSettings(name string) *config.Settings {
	s := simSettings(name)
	s.Params.Teams = []config.Team{{Name: "red", CPUsMax: 400}, {Name: "blue", CPUsMax: 400}}
	return s
}

// submitForBothTeams submits arrays, by turns of the two teams.
func (sim *simDeployment) submitForBothTeams(jobs int) {
	for i := range jobs {
		s := arrayJob(i, 8, 40)
		s.Team, s.Cores = "red", 0.9
		if i%2 == 0 {
			s.Team = "blue"
		}
		sim.submit(s, 0)
	}
}

// servedMachines is the number of machines whose heartbeats the leader has got and
// answered lately.
func (sim *simDeployment) servedMachines() (n int) {
	for _, m := range sim.leader().ctl.leading.shard.Machines {
		if m.Up && m.ReceivesAnswers && sim.Now-m.LastHeartbeat < 10*model.Second {
			n++
		}
	}
	return n
}

// runArrays submits four arrays whose tasks take that many seconds, and waits until most
// of them run.
func (sim *simDeployment) runArrays(seconds float64) {
	sim.t.Helper()
	for i := range 4 {
		sim.submit(arrayJob(i, 8, seconds), 0)
	}
	sim.waitForRunningTasks(20)
}

// With more machines than sockets for them, the leader sends workers on to siblings,
// which hand their reports on: all machines work, at a takeover as well, and when
// siblings can't be reached the leader takes all workers itself, as far as it can.
func TestMoreWorkersThanSockets(t *testing.T) {
	const limit = 20
	sim := newDeployment(t, 71, withFDLimit(limit, largeTeamSettings), map[string]int{"small/a/false": 20, "small/b/false": 20})
	sim.submitForBothTeams(40)
	l := sim.leader
	many := func() bool {
		return l() != nil && l().ctl.leading.ready && sim.servedMachines() > limit*3/4 && sim.invariants.TasksOnMachines() > 60
	}
	sim.runUntil(90*model.Second, "more machines work than there are sockets for", many)
	sim.Run(sim.Now + 10*model.Second)
	if n := l().ctl.relay.directWorkers(l().ctl.now); float64(n) > limit*relayHighWatermark+2 {
		t.Errorf("%d workers report to the leader itself", n)
	}
	if sim.relayedHeartbeats == 0 {
		t.Error("no report was handed on")
	}
	old := l()
	old.crashFor(4 * model.Second)
	sim.runUntil(40*model.Second, "and after a takeover", func() bool { return l() != nil && l() != old && many() })
	sim.Run(sim.Now + 20*model.Second)
	sim.requireInvariants()
	before := sim.relayedHeartbeats
	for _, n := range sim.nodes {
		n.peersCutOff = n != l()
	}
	sim.Run(sim.Now + 15*model.Second)
	before = sim.relayedHeartbeats - before
	at := sim.relayedHeartbeats
	sim.Run(sim.Now + 10*model.Second)
	if sim.relayedHeartbeats-at > 2 {
		t.Errorf("%d reports were handed on though controllers do not reach each other (%d before)", sim.relayedHeartbeats-at, before)
	}
	if l() == nil || sim.servedMachines() == 0 {
		t.Error("the leader lost all workers")
	}
	sim.requireInvariants()
}

// A leader that workers can't reach is handed their reports at once when they come
// to a sibling, instead of asking them to come to it, until it has resigned.
func TestHeartbeatsRelayedToUnreachableLeader(t *testing.T) {
	sim := newSmallDeployment(t, 72)
	sim.runArrays(60)
	was := sim.invariants.TasksOnMachines()
	sim.leader().reachableByWorkers = false
	sim.Run(sim.Now + 25*model.Second)
	if n := sim.invariants.TasksOnMachines(); n < was*3/4 {
		t.Errorf("%d of %d tasks are left", n, was)
	}
	sim.requireInvariants()
}

// Machines that can't reach the leader, but a sibling of it, as when two zones are
// cut from each other, are served through that sibling within their lease.
func TestMachinesCutOffFromLeaderUseSibling(t *testing.T) {
	sim := newSmallDeployment(t, 73)
	sim.runArrays(90)
	l := sim.leader()
	ws := sim.cloud.Workers()
	for i, x := range ws {
		if i%2 == 0 {
			sim.unreachableNode[x.ID] = l.name
		}
	}
	sim.Run(sim.Now + 40*model.Second)
	if n := sim.invariants.TasksOnMachines(); n != 20 || sim.leader() != l {
		t.Errorf("%d of 20 tasks are left, another leads: %v", n, sim.leader() != l)
	}
	for _, x := range ws {
		if m := l.ctl.leading.shard.Machines[x.ID]; m.Lost || sim.Now-m.LastHeartbeat > 8*model.Second {
			t.Errorf("%s was heard %.1f s ago", x.ID, (sim.Now - m.LastHeartbeat).Seconds())
		}
	}
	clear(sim.unreachableNode)
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
}
