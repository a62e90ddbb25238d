package controller

import (
	"slices"
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// fleetSettings are those of a far larger deployment, with reports half as often.
func fleetSettings(name string) *config.Settings {
	s := simSettings(name)
	s.Params.Teams = []config.Team{{Name: "red", CPUs: 12_000, CPUsMax: 20_000, GPUs: 500, GPUsMax: 2000}, {Name: "blue", CPUs: 5000, CPUsMax: 9000}}
	w := &s.Params.Workers
	w.ReportS, w.LeaseS, w.GangWaitS, w.GangPeerS, w.CancelS = 5, 26.5, 30, 5, 46.5
	s.Params.State.RPS, s.Params.State.WriteRPS = 300, 90
	s.Params.Cloud.RPS, s.Params.Cloud.ListLagS = 12, 5
	return s
}

// Many machines of a large fleet fail together while controllers do: 80 stop, 100
// hang, 250 are cut off for longer than a lease and heard again with all they said
// meanwhile, during a takeover, the end of all controllers with restarts in the
// middle of the elections, and an outage of the state service; copies of reports
// come late all the time. No rule is broken, nobody who was accepted is forgotten,
// and once all is over everything ends.
func TestManyMachinesFailTogether(t *testing.T) {
	t.Parallel()
	w := newDeployment(t, 41, fleetSettings, capacity(385, 125))
	w.duplicateHeartbeats = 0.03
	w.submitFleetLoad()
	w.Run(40 * model.Second)
	ws := w.cloud.Workers()
	if len(ws) < 1700 {
		t.Fatalf("only %d machines are up", len(ws))
	}
	w.failMachines(ws)
	w.failControllers()
	w.Run(110 * model.Second)
	w.duplicateHeartbeats = 0
	for w.Now < 300*model.Second && !w.acceptedHaveEnded() {
		w.Run(w.Now + model.Second)
	}
	w.check()
	accepted := 0
	for _, u := range w.users {
		if u.accepted {
			accepted++
		}
		if u.accepted && u.ended == "" {
			t.Errorf("%s never ended", u.sub.ID)
		}
	}
	if accepted < len(w.users)*9/10 || w.rules.Starts < 9000 {
		t.Errorf("%d of %d accepted, %d starts", accepted, len(w.users), w.rules.Starts)
	}
}

// submitFleetLoad has arrays and gangs submitted, eight a second, and some cancelled.
func (w *world) submitFleetLoad() {
	for i := range 320 {
		w.At(model.Micros(i)*120*model.Millisecond, func() {
			s := arrayJob(i, 52, 25)
			if i%4 == 0 {
				s = gangJob(i, 4, 25)
				s.SameZone = i%8 == 0
			}
			cancel := model.Micros(0)
			if i%9 == 0 {
				cancel = 30 * model.Second
			}
			w.submit(s, cancel)
		})
	}
}

// failMachines has some machines end, some hang and some be cut off, until what these said
// meanwhile arrives.
func (w *world) failMachines(ws []*standin.Worker) {
	for i, x := range ws {
		switch {
		case i%20 == 0:
			x.Terminate()
		case i%16 == 1:
			x.SetHung(true)
			w.After(w.Between(20*model.Second, 40*model.Second), func() { x.SetHung(false) })
		case i%6 == 2:
			w.cut[x.ID] = true
		}
	}
	w.After(50*model.Second, func() {
		clear(w.cut)
		for _, f := range w.late {
			f(nil)
		}
		w.late = nil
	})
}

// failControllers has the leader end, controllers restart in elections, the state service be
// out, and all controllers end.
func (w *world) failControllers() {
	w.After(3*model.Second, func() { w.leader().crashFor(4 * model.Second) })
	w.After(15*model.Second, func() { newFault(w, 0).restartInElections() })
	w.After(24*model.Second, func() {
		w.state.SetOutage(true)
		w.After(12*model.Second, func() { w.state.SetOutage(false) })
	})
	w.After(35*model.Second, func() { newFault(w, 0).restartAll() })
}

func (w *world) acceptedHaveEnded() bool {
	return !slices.ContainsFunc(w.users, func(u *user) bool { return u.accepted && u.ended == "" })
}
