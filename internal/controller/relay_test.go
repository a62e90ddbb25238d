package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// largeTeamSettings returns settings with teams that may use many machines.
func largeTeamSettings(name string) *config.Settings {
	settings := simSettings(name)
	settings.Params.Teams = []config.Team{{Name: "red", CPUsMax: 400}, {Name: "blue", CPUsMax: 400}}
	return settings
}

// submitForBothTeams submits array jobs, alternating between the two teams.
func (sim *simDeployment) submitForBothTeams(jobs int) {
	for i := range jobs {
		job := arrayJob(i, 8, 40)
		job.Team, job.Cores = "red", 0.9
		if i%2 == 0 {
			job.Team = "blue"
		}
		sim.submit(job, 0)
	}
}

// servedMachines returns the number of machines that are up, that the leader has received a
// heartbeat from within the last ten seconds, and that receive its answers.
func (sim *simDeployment) servedMachines() (n int) {
	for _, m := range sim.leader().ctl.leading.shard.Machines {
		if m.Up && m.ReceivesResponses && sim.Now-m.LastHeartbeat < 10*model.Second {
			n++
		}
	}
	return n
}

// runArrays submits four array jobs whose tasks run for that many seconds, and waits until
// 20 of the 32 tasks run.
func (sim *simDeployment) runArrays(seconds float64) {
	sim.t.Helper()
	for i := range 4 {
		sim.submit(arrayJob(i, 8, seconds), 0)
	}
	sim.waitForRunningTasks(20)
}

// With more machines than the leader has sockets for, it redirects workers to siblings, which
// relay their heartbeats, so that all machines work, also after a takeover. When the siblings
// can't be reached, the leader serves as many workers as it can itself.
func TestMoreWorkersThanSockets(t *testing.T) {
	const limit = 20
	sim := newDeployment(t, 71, withFDLimit(limit, largeTeamSettings), map[string]int{"small/a/false": 20, "small/b/false": 20})
	sim.submitForBothTeams(40)
	leader := sim.leader
	enoughServed := func() bool {
		return leader() != nil && leader().ctl.leading.ready && sim.servedMachines() > limit*3/4 && sim.invariants.TasksOnMachines() > 60
	}
	sim.runUntil(90*model.Second, "more machines work than the leader has sockets for", enoughServed)
	sim.Run(sim.Now + 10*model.Second)
	if n := leader().ctl.relay.directWorkers(leader().ctl.now); float64(n) > limit*relayHighWatermark+2 {
		t.Errorf("%d workers send heartbeats to the leader directly", n)
	}
	if sim.relayedHeartbeats == 0 {
		t.Error("no heartbeat was relayed")
	}
	former := leader()
	former.crashFor(4 * model.Second)
	sim.runUntil(40*model.Second, "more machines work than sockets after a takeover", func() bool { return leader() != nil && leader() != former && enoughServed() })
	sim.Run(sim.Now + 20*model.Second)
	sim.requireInvariants()
	before := sim.relayedHeartbeats
	for _, n := range sim.nodes {
		n.peersCutOff = n != leader()
	}
	sim.Run(sim.Now + 15*model.Second)
	before = sim.relayedHeartbeats - before
	start := sim.relayedHeartbeats
	sim.Run(sim.Now + 10*model.Second)
	if sim.relayedHeartbeats-start > 2 {
		t.Errorf("%d heartbeats were relayed although controllers do not reach each other (%d in the first 15 s)", sim.relayedHeartbeats-start, before)
	}
	if leader() == nil || sim.servedMachines() == 0 {
		t.Error("the leader serves no workers")
	}
	sim.requireInvariants()
}

// A sibling relays heartbeats immediately to a leader that workers can't reach, instead of
// redirecting the workers to it in vain, until the leader has resigned.
func TestHeartbeatsRelayedToUnreachableLeader(t *testing.T) {
	sim := newSmallDeployment(t, 72)
	sim.runArrays(60)
	before := sim.invariants.TasksOnMachines()
	sim.leader().reachableByWorkers = false
	sim.Run(sim.Now + 25*model.Second)
	if n := sim.invariants.TasksOnMachines(); n < before*3/4 {
		t.Errorf("%d of %d tasks still run", n, before)
	}
	sim.requireInvariants()
}

// Machines that can't reach the leader but reach a sibling, as when two zones are partitioned,
// are served through that sibling before their leases expire.
func TestMachinesCutOffFromLeaderUseSibling(t *testing.T) {
	sim := newSmallDeployment(t, 73)
	sim.runArrays(90)
	leader := sim.leader()
	workers := sim.cloud.Workers()
	for i, worker := range workers {
		if i%2 == 0 {
			sim.unreachableNode[worker.ID] = leader.name
		}
	}
	sim.Run(sim.Now + 40*model.Second)
	if n := sim.invariants.TasksOnMachines(); n != 20 || sim.leader() != leader {
		t.Errorf("%d of 20 tasks still run, another controller leads: %v", n, sim.leader() != leader)
	}
	for _, worker := range workers {
		if m := leader.ctl.leading.shard.Machines[worker.ID]; m.Lost || sim.Now-m.LastHeartbeat > 8*model.Second {
			t.Errorf("the last heartbeat of %s is %.1f s old", worker.ID, (sim.Now - m.LastHeartbeat).Seconds())
		}
	}
	clear(sim.unreachableNode)
	sim.Run(sim.Now + 60*model.Second)
	sim.requireInvariants()
}
