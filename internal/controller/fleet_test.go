package controller

import (
	"slices"
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// fleetSettings returns settings of a much larger deployment, with heartbeats half as often.
func fleetSettings(name string) *config.Settings {
	settings := simSettings(name)
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 12_000, CPUsMax: 20_000, GPUs: 500, GPUsMax: 2000}, {Name: "blue", CPUs: 5000, CPUsMax: 9000}}
	workers := &settings.Params.Workers
	workers.ReportS, workers.LeaseS, workers.GangWaitS, workers.GangPeerS, workers.CancelS = 5, 26.5, 30, 5, 46.5
	settings.Params.State.RPS, settings.Params.State.WriteRPS = 300, 90
	settings.Params.Cloud.RPS, settings.Params.Cloud.ListLagS = 12, 5
	return settings
}

// Many machines of a large fleet fail at the same time as controllers: 80 end, 100 hang, and
// 250 are cut off for longer than a lease, after which all their delayed heartbeats arrive.
// Meanwhile there are a takeover, restarts during elections, an outage of the state service
// and a restart of all controllers, and duplicates of heartbeats arrive late all the time. No
// invariant is violated, no accepted job is lost, and every accepted job ends after the
// faults.
func TestManyMachinesFailTogether(t *testing.T) {
	t.Parallel()
	sim := newDeployment(t, 41, fleetSettings, cloudCapacity(385, 125))
	sim.duplicateHeartbeatChance = 0.03
	sim.submitFleetLoad()
	sim.Run(40 * model.Second)
	workers := sim.cloud.Workers()
	if len(workers) < 1700 {
		t.Fatalf("%d machines are up, want at least 1700", len(workers))
	}
	sim.failMachines(workers)
	sim.failControllers()
	sim.Run(110 * model.Second)
	sim.duplicateHeartbeatChance = 0
	for sim.Now < 300*model.Second && !sim.allAcceptedEnded() {
		sim.Run(sim.Now + model.Second)
	}
	sim.requireInvariants()
	accepted := 0
	for _, u := range sim.users {
		if u.accepted {
			accepted++
		}
		if u.accepted && u.reportedEnd == "" {
			t.Errorf("accepted job %s has not ended", u.submission.ID)
		}
	}
	if accepted < len(sim.users)*9/10 || sim.invariants.Starts < 9000 {
		t.Errorf("%d of %d jobs accepted, %d task starts; want at least nine tenths and 9000", accepted, len(sim.users), sim.invariants.Starts)
	}
}

// submitFleetLoad submits array jobs and gangs, eight a second, and cancels some of them.
func (sim *simDeployment) submitFleetLoad() {
	for i := range 320 {
		sim.At(model.Micros(i)*120*model.Millisecond, func() {
			job := arrayJob(i, 52, 25)
			if i%4 == 0 {
				job = gangJob(i, 4, 25)
				job.SameZone = i%8 == 0
			}
			cancelAfter := model.Micros(0)
			if i%9 == 0 {
				cancelAfter = 30 * model.Second
			}
			sim.submit(job, cancelAfter)
		})
	}
}

// failMachines terminates some machines, makes some hang, and delays the heartbeats of some
// for 50 seconds.
func (sim *simDeployment) failMachines(workers []*standin.Worker) {
	for i, worker := range workers {
		switch {
		case i%20 == 0:
			worker.Terminate()
		case i%16 == 1:
			worker.SetHung(true)
			sim.After(sim.Between(20*model.Second, 40*model.Second), func() { worker.SetHung(false) })
		case i%6 == 2:
			sim.delayedMachines[worker.ID] = true
		}
	}
	sim.After(50*model.Second, func() {
		clear(sim.delayedMachines)
		for _, f := range sim.delayedHeartbeats {
			f(nil)
		}
		sim.delayedHeartbeats = nil
	})
}

// failControllers restarts the leader, restarts controllers during elections, makes the state
// service unavailable for a while, and restarts all controllers.
func (sim *simDeployment) failControllers() {
	sim.After(3*model.Second, func() { sim.leader().crashFor(4 * model.Second) })
	sim.After(15*model.Second, func() { newFaultInjection(sim, 0).restartDuringElections() })
	sim.After(24*model.Second, func() {
		sim.state.SetOutage(true)
		sim.After(12*model.Second, func() { sim.state.SetOutage(false) })
	})
	sim.After(35*model.Second, func() { newFaultInjection(sim, 0).restartAll() })
}

// allAcceptedEnded reports whether the end of every accepted job was reported.
func (sim *simDeployment) allAcceptedEnded() bool {
	return !slices.ContainsFunc(sim.users, func(u *user) bool { return u.accepted && u.reportedEnd == "" })
}
