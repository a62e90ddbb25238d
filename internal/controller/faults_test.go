package controller

import (
	"fmt"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// faults are what schedules draw by number: new ones go to the end, or the schedules of all
// seeds change.
var faults = [...]struct {
	name  string
	begin func(f *faultRun)
}{
	{"a controller restarts", func(f *faultRun) { f.restart(f.node) }},
	{"all controllers restart", (*faultRun).restartAll},
	{"a controller's requests to the state service vanish", func(f *faultRun) { f.cutFromState(dropped) }},
	{"a controller's requests to the state service are held", func(f *faultRun) { f.cutFromState(holding) }},
	{"the state service refuses a controller", func(f *faultRun) { f.cutFromState(refused) }},
	{"the state service is out", (*faultRun).stateOutage},
	{"no worker reaches a controller", (*faultRun).cutFromWorkers},
	{"the cloud is down", (*faultRun).cloudOutage},
	{"machines hang", (*faultRun).hangMachines},
	{"machines are recalled, end or become faulty", (*faultRun).loseMachines},
	{"a controller reaches its workers alone", (*faultRun).isolateWithWorkers},
	{"machines get no responses", (*faultRun).loseResponses},
	{"controllers restart in the middle of elections", (*faultRun).restartInElections},
	{"workers restart", (*faultRun).restartWorkers},
	{"machines reach no controller", (*faultRun).blockHeartbeats},
	{"writes are carried out after newer ones", func(f *faultRun) { f.delayWrites(f.afterNewer) }},
	{"writes are carried out without an answer", func(f *faultRun) { f.delayWrites(f.atOnce) }},
	{"jobs are cancelled and machines of them hang", (*faultRun).cancelAndHang},
	{"a zone with a controller is cut off", (*faultRun).cutOffZone},
	{"old heartbeats are repeated as another leads", (*faultRun).repeatHeartbeats},
	{"jobs are cancelled as they end", (*faultRun).cancelAtEnd},
	{"users ask everywhere and cancel what is done", (*faultRun).askEverywhere},
}

// faultKinds is the number of faults that schedules draw from.
const faultKinds = len(faults)

// faultRun is one occurrence of a fault.
type faultRun struct {
	*world
	node    *simNode // the controller that it concerns: often the leader
	workers []*standin.Worker
	long    model.Micros // how long it lasts
}

// newFault draws the controller that a fault concerns.
func newFault(w *world, long model.Micros) *faultRun {
	n := w.nodes[w.Rand.IntN(len(w.nodes))]
	if l := w.leader(); l != nil && w.Chance(0.7) {
		n = l
	}
	return &faultRun{world: w, node: n, workers: w.cloud.Workers(), long: long}
}

// fault has a fault of that kind begin now.
func fault(w *world, kind int, long model.Micros) {
	w.begun = append(w.begun, fmt.Sprintf("%.3f %s", w.Now.Seconds(), faults[kind].name))
	faults[kind].begin(newFault(w, long))
}

// restart ends a controller that is up, and starts it again within seconds.
func (f *faultRun) restart(n *simNode) {
	if !n.alive {
		return
	}
	delay := f.Between(100*model.Millisecond, 6*model.Second)
	if f.Chance(0.3) {
		delay = f.Between(0, 300*model.Millisecond)
	}
	n.crashFor(delay)
}

func (f *faultRun) restartAll() {
	for _, n := range f.nodes {
		f.restart(n)
	}
}

func (f *faultRun) cutFromState(kind int) {
	f.node.setCut(kind)
	f.After(f.long, func() { f.node.setCut(open) })
}

func (f *faultRun) stateOutage() {
	f.state.SetOutage(true)
	f.After(f.long, func() { f.state.SetOutage(false) })
}

func (f *faultRun) cutFromWorkers() {
	f.node.workers = false
	f.After(f.long, func() { f.node.workers = true })
}

func (f *faultRun) cloudOutage() {
	f.cloud.Down = true
	f.After(f.long, func() { f.cloud.Down = false })
}

func (f *faultRun) hangMachines() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			f.hang(x)
		}
	}
}

func (f *faultRun) hang(x *standin.Worker) {
	x.SetHung(true)
	f.After(f.long, func() { x.SetHung(false) })
}

func (f *faultRun) loseMachines() {
	for _, x := range f.workers {
		switch {
		case x.Spot && f.Chance(0.7):
			x.Recall(f.Between(0, 15*model.Second))
		case f.Chance(0.2):
			x.Terminate()
		case f.Chance(0.2):
			x.FailsTasks = true
		}
	}
}

// isolateWithWorkers cuts a controller off from the state service and the other
// controllers, but not from the workers.
func (f *faultRun) isolateWithWorkers() {
	n := f.node
	n.setCut(dropped)
	n.peersCutOff = true
	f.After(f.long, func() { n.setCut(open); n.peersCutOff = false })
}

func (f *faultRun) loseResponses() {
	for _, x := range f.workers {
		if f.Chance(0.3) {
			f.responsesLost[x.ID] = true
			f.After(2*f.long, func() { delete(f.responsesLost, x.ID) })
		}
	}
}

// restartInElections has controllers restart so soon again that elections are going on.
func (f *faultRun) restartInElections() {
	for i := range model.Micros(4) {
		f.After(i*300*model.Millisecond, func() {
			for _, n := range f.nodes {
				if n.alive && f.Chance(0.6) {
					n.crashFor(f.Between(0, 200*model.Millisecond))
				}
			}
		})
	}
}

func (f *faultRun) restartWorkers() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			x.Restart()
		}
	}
}

func (f *faultRun) blockHeartbeats() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			f.heartbeatsBlocked[x.ID] = true
			f.After(f.long, func() { delete(f.heartbeatsBlocked, x.ID) })
		}
	}
}

func (f *faultRun) delayWrites(lateBy func() model.Micros) {
	f.lateWrites, f.lateBy = 0.4, lateBy
	f.After(f.long, func() { f.lateWrites = 0 })
}

func (f *faultRun) cancelAndHang() {
	for _, u := range f.users {
		if !u.accepted || u.ended != "" || !f.Chance(0.5) {
			continue
		}
		u.cancel(nil)
		for _, x := range f.workers {
			if x.HasTaskOf(u.sub.ID) && f.Chance(0.5) {
				f.hang(x)
			}
		}
	}
}

// cutOffZone cuts a zone with its workers and a controller off from all else.
func (f *faultRun) cutOffZone() {
	n := f.node
	n.setCut(dropped)
	n.peersCutOff, n.usersCutOff = true, true
	f.reaches = func(x *standin.Worker, o *simNode) bool { return (x.Zone == "a") == (o == n) }
	f.After(f.long, func() {
		n.setCut(open)
		n.peersCutOff, n.usersCutOff = false, false
		f.reaches = nil
	})
}

// repeatHeartbeats has what workers report in the next seconds arrive again at all
// controllers, as another one leads.
func (f *faultRun) repeatHeartbeats() {
	f.recordsHeartbeats = true
	f.After(3*model.Second, func() {
		old := f.recordedHeartbeats
		f.recordsHeartbeats, f.recordedHeartbeats = false, nil
		if l := f.leader(); l != nil {
			f.restart(l)
		}
		for i := range model.Micros(8) {
			f.After(i*2*model.Second, func() {
				repeatAll(old)
			})
		}
	})
}

// cancelAtEnd has users cancel jobs at the moment of their end.
func (f *faultRun) cancelAtEnd() {
	f.rules.OnJobCompleted = func(ref string) {
		for _, u := range f.users {
			if u.sub.ID == ref && u.accepted && f.Chance(0.7) {
				f.After(f.Between(0, 1500*model.Millisecond), func() { u.cancel(nil) })
			}
		}
	}
	f.After(f.long, func() { f.rules.OnJobCompleted = nil })
}

// askEverywhere has users ask at all nodes, repeat submissions, also altered ones, and
// cancel what is done.
func (f *faultRun) askEverywhere() {
	before := f.checksEveryNode
	f.checksEveryNode = true
	for _, u := range f.users {
		if u.accepted && f.Chance(0.6) {
			u.checkEveryNode()
		}
		if u.ended == "done" && f.Chance(0.5) {
			u.cancel(nil)
		}
	}
	f.checksEveryNode = before
}
