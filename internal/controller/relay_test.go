package controller

import (
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// largeTeams are settings with teams that may use many machines.
func largeTeams(name string) *config.Settings {
	s := simSettings(name)
	s.Params.Teams = []config.Team{{Name: "red", CPUsMax: 400}, {Name: "blue", CPUsMax: 400}}
	return s
}

// submitForBothTeams submits arrays, by turns of the two teams.
func (w *world) submitForBothTeams(jobs int) {
	for i := range jobs {
		s := arrayJob(i, 8, 40)
		s.Team, s.Cores = "red", 0.9
		if i%2 == 0 {
			s.Team = "blue"
		}
		w.submit(s, 0)
	}
}

// servedMachines is the number of machines whose heartbeats the leader has got and
// answered lately.
func (w *world) servedMachines() (n int) {
	for _, m := range w.leader().ctl.leading.shard.Machines {
		if m.Up && m.ReceivesAnswers && w.Now-m.LastHeartbeat < 10*model.Second {
			n++
		}
	}
	return n
}

// runArrays submits four arrays whose tasks take that many seconds, and waits until most
// of them run.
func (w *world) runArrays(seconds float64) {
	w.t.Helper()
	for i := range 4 {
		w.submit(arrayJob(i, 8, seconds), 0)
	}
	w.running(20)
}

// With more machines than sockets for them, the leader sends workers on to siblings,
// which hand their reports on: all machines work, at a takeover as well, and when
// siblings can't be reached the leader takes all workers itself, as far as it can.
func TestMoreWorkersThanSockets(t *testing.T) {
	const limit = 20
	w := newDeployment(t, 71, sockets(limit, largeTeams), map[string]int{"small/a/false": 20, "small/b/false": 20})
	w.submitForBothTeams(40)
	l := w.leader
	many := func() bool {
		return l() != nil && l().ctl.leading.ready && w.servedMachines() > limit*3/4 && w.rules.TasksOnMachines() > 60
	}
	w.until(90*model.Second, "more machines work than there are sockets for", many)
	w.Run(w.Now + 10*model.Second)
	if n := l().ctl.relay.directWorkers(l().ctl.now); float64(n) > limit*relayHighWatermark+2 {
		t.Errorf("%d workers report to the leader itself", n)
	}
	if w.relayed == 0 {
		t.Error("no report was handed on")
	}
	old := l()
	old.crashFor(4 * model.Second)
	w.until(40*model.Second, "and after a takeover", func() bool { return l() != nil && l() != old && many() })
	w.Run(w.Now + 20*model.Second)
	w.check()
	before := w.relayed
	for _, n := range w.nodes {
		n.peersCutOff = n != l()
	}
	w.Run(w.Now + 15*model.Second)
	before = w.relayed - before
	at := w.relayed
	w.Run(w.Now + 10*model.Second)
	if w.relayed-at > 2 {
		t.Errorf("%d reports were handed on though controllers do not reach each other (%d before)", w.relayed-at, before)
	}
	if l() == nil || w.servedMachines() == 0 {
		t.Error("the leader lost all workers")
	}
	w.check()
}

// A leader that workers can't reach is handed their reports at once when they come
// to a sibling, instead of asking them to come to it, until it has resigned.
func TestWorkersThatCantComeAreNotAskedTo(t *testing.T) {
	w := newWorld(t, 72)
	w.runArrays(60)
	was := w.rules.TasksOnMachines()
	w.leader().workers = false
	w.Run(w.Now + 25*model.Second)
	if n := w.rules.TasksOnMachines(); n < was*3/4 {
		t.Errorf("%d of %d tasks are left", n, was)
	}
	w.check()
}

// Machines that can't reach the leader, but a sibling of it, as when two zones are
// cut from each other, are served through that sibling within their lease.
func TestZonesCutFromEachOther(t *testing.T) {
	w := newWorld(t, 73)
	w.runArrays(90)
	l := w.leader()
	ws := w.cloud.Workers()
	for i, x := range ws {
		if i%2 == 0 {
			w.cutFromNode[x.ID] = l.name
		}
	}
	w.Run(w.Now + 40*model.Second)
	if n := w.rules.TasksOnMachines(); n != 20 || w.leader() != l {
		t.Errorf("%d of 20 tasks are left, another leads: %v", n, w.leader() != l)
	}
	for _, x := range ws {
		if m := l.ctl.leading.shard.Machines[x.ID]; m.Lost || w.Now-m.LastHeartbeat > 8*model.Second {
			t.Errorf("%s was heard %.1f s ago", x.ID, (w.Now - m.LastHeartbeat).Seconds())
		}
	}
	clear(w.cutFromNode)
	w.Run(w.Now + 60*model.Second)
	w.check()
}
