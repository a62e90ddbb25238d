package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// manyMachines is well above what the largest deployments have.
const manyMachines = 4000

// Four thousand machines are rented through intents by another controller than the
// leader, all of them work, the leader ends, and the fleet settles: nothing is rented
// for the same need again, and all machines come back in the end.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	w := newDeployment(t, 43, func(name string) *config.Settings {
		s := fleetSettings(name)
		s.Params.Teams = []config.Team{{Name: "red", CPUsMax: 40_000, GPUsMax: 4000}, {Name: "blue", CPUsMax: 9000}}
		return s
	}, map[string]int{"small/a/true": manyMachines / 2, "small/b/true": manyMachines / 2})
	w.state.KeepLog = true
	w.policy = simPolicy(t, spreadDuties)
	for _, n := range w.nodes {
		n.crash()
		n.start()
	}
	for i := range 40 {
		s := arrayJob(i, 100, 150)
		s.Cores = 8 // a machine each
		w.At(model.Micros(i)*500*model.Millisecond, func() { w.submit(s, 0) })
	}
	for w.Now < 200*model.Second && w.rules.TasksOnMachines() < manyMachines*95/100 {
		w.Run(w.Now + model.Second)
	}
	if n := w.rules.TasksOnMachines(); n < manyMachines*95/100 {
		t.Fatalf("%d tasks on %d machines after %.0f s", n, len(w.cloud.Workers()), w.Now.Seconds())
	}
	if h := w.holderOf(duty.Renting); h == w.leader() {
		t.Error("the leader rents")
	}
	rented := w.cloud.RentedCount()
	old := w.leader()
	old.crashFor(4 * model.Second)
	w.Run(w.Now + 40*model.Second)
	if n := w.cloud.RentedCount(); n > rented+rented/20 {
		t.Errorf("%d machines before the leader's end, %d after", rented, n)
	}
	w.endAll(600 * model.Second)
	w.checkDuties()
	if n := w.cloud.RentedCount(); n > manyMachines/20 {
		t.Errorf("%d machines are still rented", n)
	}
}
