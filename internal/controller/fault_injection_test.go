package controller

import (
	"fmt"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// faults are what schedules draw by number: new ones go to the end, or the schedules of all
// seeds change.
var faults = [...]struct {
	name   string
	inject func(f *faultInjection)
}{
	{"a controller restarts", func(f *faultInjection) { f.restart(f.node) }},
	{"all controllers restart", (*faultInjection).restartAll},
	{"a controller's requests to the state service vanish", func(f *faultInjection) { f.cutFromState(linkDropping) }},
	{"a controller's requests to the state service are held", func(f *faultInjection) { f.cutFromState(linkHolding) }},
	{"the state service refuses a controller", func(f *faultInjection) { f.cutFromState(linkRefusing) }},
	{"the state service is out", (*faultInjection).stateOutage},
	{"no worker reaches a controller", (*faultInjection).cutFromWorkers},
	{"the cloud is down", (*faultInjection).cloudOutage},
	{"machines hang", (*faultInjection).hangMachines},
	{"machines are recalled, end or become faulty", (*faultInjection).loseMachines},
	{"a controller reaches its workers alone", (*faultInjection).isolateWithWorkers},
	{"machines get no responses", (*faultInjection).loseResponses},
	{"controllers restart in the middle of elections", (*faultInjection).restartDuringElections},
	{"workers restart", (*faultInjection).restartWorkers},
	{"machines reach no controller", (*faultInjection).blockHeartbeats},
	{"writes are carried out after newer ones", func(f *faultInjection) { f.delayWrites(f.longWriteDelay) }},
	{"writes are carried out without an answer", func(f *faultInjection) { f.delayWrites(f.shortWriteDelay) }},
	{"jobs are cancelled and machines of them hang", (*faultInjection).cancelAndHang},
	{"a zone with a controller is cut off", (*faultInjection).cutOffZone},
	{"old heartbeats are repeated as another leads", (*faultInjection).repeatHeartbeats},
	{"jobs are cancelled as they end", (*faultInjection).cancelAtEnd},
	{"users ask everywhere and cancel what is done", (*faultInjection).queryAllNodes},
}

// faultKinds is the number of faults that schedules draw from.
const faultKinds = len(faults)

// faultRun is one occurrence of a fault.
type faultInjection struct {
	*simDeployment
	node     *simNode // the controller that it concerns: often the leader
	workers  []*standin.Worker
	duration model.Micros // how long it lasts
}

// newFault draws the controller that a fault concerns.
func newFaultInjection(sim *simDeployment, long model.Micros) *faultInjection {
	n := sim.nodes[sim.Rand.IntN(len(sim.nodes))]
	if l := sim.leader(); l != nil && sim.Chance(0.7) {
		n = l
	}
	return &faultInjection{simDeployment: sim, node: n, workers: sim.cloud.Workers(), duration: long}
}

// fault has a fault of that kind begin now.
func injectFault(sim *simDeployment, kind int, long model.Micros) {
	sim.startedFaults = append(sim.startedFaults, fmt.Sprintf("%.3f %s", sim.Now.Seconds(), faults[kind].name))
	faults[kind].inject(newFaultInjection(sim, long))
}

// restart ends a controller that is up, and starts it again within seconds.
func (f *faultInjection) restart(n *simNode) {
	if !n.alive {
		return
	}
	delay := f.Between(100*model.Millisecond, 6*model.Second)
	if f.Chance(0.3) {
		delay = f.Between(0, 300*model.Millisecond)
	}
	n.crashFor(delay)
}

func (f *faultInjection) restartAll() {
	for _, n := range f.nodes {
		f.restart(n)
	}
}

func (f *faultInjection) cutFromState(kind int) {
	f.node.setStateLink(kind)
	f.After(f.duration, func() { f.node.setStateLink(linkOpen) })
}

func (f *faultInjection) stateOutage() {
	f.state.SetOutage(true)
	f.After(f.duration, func() { f.state.SetOutage(false) })
}

func (f *faultInjection) cutFromWorkers() {
	f.node.reachableByWorkers = false
	f.After(f.duration, func() { f.node.reachableByWorkers = true })
}

func (f *faultInjection) cloudOutage() {
	f.cloud.Down = true
	f.After(f.duration, func() { f.cloud.Down = false })
}

func (f *faultInjection) hangMachines() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			f.hang(x)
		}
	}
}

func (f *faultInjection) hang(x *standin.Worker) {
	x.SetHung(true)
	f.After(f.duration, func() { x.SetHung(false) })
}

func (f *faultInjection) loseMachines() {
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
func (f *faultInjection) isolateWithWorkers() {
	n := f.node
	n.setStateLink(linkDropping)
	n.peersCutOff = true
	f.After(f.duration, func() { n.setStateLink(linkOpen); n.peersCutOff = false })
}

func (f *faultInjection) loseResponses() {
	for _, x := range f.workers {
		if f.Chance(0.3) {
			f.responsesLost[x.ID] = true
			f.After(2*f.duration, func() { delete(f.responsesLost, x.ID) })
		}
	}
}

// restartInElections has controllers restart so soon again that elections are going on.
func (f *faultInjection) restartDuringElections() {
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

func (f *faultInjection) restartWorkers() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			x.Restart()
		}
	}
}

func (f *faultInjection) blockHeartbeats() {
	for _, x := range f.workers {
		if f.Chance(0.4) {
			f.heartbeatsBlocked[x.ID] = true
			f.After(f.duration, func() { delete(f.heartbeatsBlocked, x.ID) })
		}
	}
}

func (f *faultInjection) delayWrites(lateBy func() model.Micros) {
	f.lateWriteChance, f.lateWriteDelay = 0.4, lateBy
	f.After(f.duration, func() { f.lateWriteChance = 0 })
}

func (f *faultInjection) cancelAndHang() {
	for _, u := range f.users {
		if !u.accepted || u.reportedEnd != "" || !f.Chance(0.5) {
			continue
		}
		u.cancel(nil)
		for _, x := range f.workers {
			if x.HasTaskOf(u.submission.ID) && f.Chance(0.5) {
				f.hang(x)
			}
		}
	}
}

// cutOffZone cuts a zone with its workers and a controller off from all else.
func (f *faultInjection) cutOffZone() {
	n := f.node
	n.setStateLink(linkDropping)
	n.peersCutOff, n.usersCutOff = true, true
	f.canReach = func(x *standin.Worker, o *simNode) bool { return (x.Zone == "a") == (o == n) }
	f.After(f.duration, func() {
		n.setStateLink(linkOpen)
		n.peersCutOff, n.usersCutOff = false, false
		f.canReach = nil
	})
}

// repeatHeartbeats has what workers report in the next seconds arrive again at all
// controllers, as another one leads.
func (f *faultInjection) repeatHeartbeats() {
	f.recordsHeartbeats = true
	f.After(3*model.Second, func() {
		old := f.recordedHeartbeats
		f.recordsHeartbeats, f.recordedHeartbeats = false, nil
		if l := f.leader(); l != nil {
			f.restart(l)
		}
		for i := range model.Micros(8) {
			f.After(i*2*model.Second, func() {
				replayHeartbeats(old)
			})
		}
	})
}

// cancelAtEnd has users cancel jobs at the moment of their end.
func (f *faultInjection) cancelAtEnd() {
	f.invariants.OnJobCompleted = func(ref string) {
		for _, u := range f.users {
			if u.submission.ID == ref && u.accepted && f.Chance(0.7) {
				f.After(f.Between(0, 1500*model.Millisecond), func() { u.cancel(nil) })
			}
		}
	}
	f.After(f.duration, func() { f.invariants.OnJobCompleted = nil })
}

// askEverywhere has users ask at all nodes, repeat submissions, also altered ones, and
// cancel what is done.
func (f *faultInjection) queryAllNodes() {
	before := f.checksEveryNode
	f.checksEveryNode = true
	for _, u := range f.users {
		if u.accepted && f.Chance(0.6) {
			u.checkEveryNode()
		}
		if u.reportedEnd == "done" && f.Chance(0.5) {
			u.cancel(nil)
		}
	}
	f.checksEveryNode = before
}
