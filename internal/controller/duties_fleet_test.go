package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// largeFleetMachines is well above the number of machines in the largest deployments.
const largeFleetMachines = 4000

// A controller other than the leader rents four thousand machines through intents, all of them
// run tasks, and then the leader crashes. Machines are not rented a second time for the same
// demand, and all are returned when the work is done.
func TestDutiesWithLargeFleet(t *testing.T) {
	t.Parallel()
	sim := newDeployment(t, 43, func(name string) *config.Settings {
		s := fleetSettings(name)
		s.Params.Teams = []config.Team{{Name: "red", CPUsMax: 40_000, GPUsMax: 4000}, {Name: "blue", CPUsMax: 9000}}
		return s
	}, map[string]int{"small/a/true": largeFleetMachines / 2, "small/b/true": largeFleetMachines / 2})
	sim.state.KeepLog = true
	sim.policy = simDutyPolicy(t, spreadDuties)
	for _, n := range sim.nodes {
		n.crash()
		n.start()
	}
	for i := range 40 {
		s := arrayJob(i, 100, 150)
		s.Cores = 8 // each task fills a machine
		sim.At(model.Micros(i)*500*model.Millisecond, func() { sim.submit(s, 0) })
	}
	for sim.Now < 200*model.Second && sim.invariants.TasksOnMachines() < largeFleetMachines*95/100 {
		sim.Run(sim.Now + model.Second)
	}
	if n := sim.invariants.TasksOnMachines(); n < largeFleetMachines*95/100 {
		t.Fatalf("%d tasks run on %d machines after %.0f s, want at least %d", n, len(sim.cloud.Workers()), sim.Now.Seconds(), largeFleetMachines*95/100)
	}
	if h := sim.dutyHolder(duty.Renting); h == sim.leader() {
		t.Error("renting is held by the leader, want another controller")
	}
	rented := sim.cloud.RentedCount()
	formerLeader := sim.leader()
	formerLeader.crashFor(4 * model.Second)
	sim.Run(sim.Now + 40*model.Second)
	if n := sim.cloud.RentedCount(); n > rented+rented/20 {
		t.Errorf("%d machines are rented after the leader's crash, want at most 5%% more than the %d before", n, rented)
	}
	sim.requireAllEndBy(600 * model.Second)
	sim.requireDutyInvariants()
	if n := sim.cloud.RentedCount(); n > largeFleetMachines/20 {
		t.Errorf("%d machines are still rented, want at most %d", n, largeFleetMachines/20)
	}
}
