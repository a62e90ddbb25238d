package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// manyMachines is well above what the largest deployments have.
const largeFleetMachines = 4000

// Four thousand machines are rented through intents by another controller than the
// leader, all of them work, the leader ends, and the fleet settles: nothing is rented
// for the same need again, and all machines come back in the end.
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
		s.Cores = 8 // a machine each
		sim.At(model.Micros(i)*500*model.Millisecond, func() { sim.submit(s, 0) })
	}
	for sim.Now < 200*model.Second && sim.invariants.TasksOnMachines() < largeFleetMachines*95/100 {
		sim.Run(sim.Now + model.Second)
	}
	if n := sim.invariants.TasksOnMachines(); n < largeFleetMachines*95/100 {
		t.Fatalf("%d tasks on %d machines after %.0f s", n, len(sim.cloud.Workers()), sim.Now.Seconds())
	}
	if h := sim.dutyHolder(duty.Renting); h == sim.leader() {
		t.Error("the leader rents")
	}
	rented := sim.cloud.RentedCount()
	formerLeader := sim.leader()
	formerLeader.crashFor(4 * model.Second)
	sim.Run(sim.Now + 40*model.Second)
	if n := sim.cloud.RentedCount(); n > rented+rented/20 {
		t.Errorf("%d machines before the leader's end, %d after", rented, n)
	}
	sim.requireAllEndBy(600 * model.Second)
	sim.checkDuties()
	if n := sim.cloud.RentedCount(); n > largeFleetMachines/20 {
		t.Errorf("%d machines are still rented", n)
	}
}
