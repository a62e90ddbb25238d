package controller

import (
	"fmt"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// faults lists the faults that random schedules draw by index. New ones have to be appended:
// any other position changes the schedules of all seeds.
var faults = [...]struct {
	name   string
	inject func(f *faultInjection)
}{
	{"a controller restarts", func(f *faultInjection) { f.restart(f.node) }},
	{"all controllers restart", (*faultInjection).restartAll},
	{"a controller's requests to the state service are lost", func(f *faultInjection) { f.cutFromState(linkDropping) }},
	{"a controller's requests to the state service are held", func(f *faultInjection) { f.cutFromState(linkHolding) }},
	{"the state service refuses a controller", func(f *faultInjection) { f.cutFromState(linkRefusing) }},
	{"the state service is down", (*faultInjection).stateOutage},
	{"no worker reaches one of the controllers", (*faultInjection).cutFromWorkers},
	{"the cloud is down", (*faultInjection).cloudOutage},
	{"machines hang", (*faultInjection).hangMachines},
	{"machines are recalled, terminated or fail all tasks", (*faultInjection).loseMachines},
	{"a controller reaches only its workers", (*faultInjection).isolateWithWorkers},
	{"machines get no responses", (*faultInjection).loseResponses},
	{"controllers restart in the middle of elections", (*faultInjection).restartDuringElections},
	{"workers restart", (*faultInjection).restartWorkers},
	{"machines reach no controller", (*faultInjection).blockHeartbeats},
	{"transactions are applied after newer ones", func(f *faultInjection) { f.delayWrites(f.longWriteDelay) }},
	{"transactions are applied without a response", func(f *faultInjection) { f.delayWrites(f.shortWriteDelay) }},
	{"jobs are cancelled and some of their machines hang", (*faultInjection).cancelAndHang},
	{"a zone with a controller is cut off", (*faultInjection).cutOffZone},
	{"old heartbeats are replayed during a leader change", (*faultInjection).replayOldHeartbeats},
	{"jobs are cancelled as they end", (*faultInjection).cancelAtEnd},
	{"users query all controllers and cancel completed jobs", (*faultInjection).queryAllNodes},
}

// faultKinds is the number of faults that schedules draw from.
const faultKinds = len(faults)

// faultInjection is one occurrence of a fault.
type faultInjection struct {
	*simDeployment
	node     *simNode          // the controller that is affected, often the leader
	workers  []*standin.Worker // the machines that are up when the fault begins
	duration model.Micros      // how long the fault lasts
}

// newFaultInjection draws the controller that a fault affects: the leader with 70%
// probability if there is one, otherwise any.
func newFaultInjection(sim *simDeployment, duration model.Micros) *faultInjection {
	node := sim.nodes[sim.Rand.IntN(len(sim.nodes))]
	if leader := sim.leader(); leader != nil && sim.Chance(0.7) {
		node = leader
	}
	return &faultInjection{simDeployment: sim, node: node, workers: sim.cloud.Workers(), duration: duration}
}

// injectFault begins a fault of the given kind now.
func injectFault(sim *simDeployment, kind int, duration model.Micros) {
	sim.startedFaults = append(sim.startedFaults, fmt.Sprintf("%.3f %s", sim.Now.Seconds(), faults[kind].name))
	faults[kind].inject(newFaultInjection(sim, duration))
}

// restart crashes a controller that is up, and starts it again within seconds.
func (f *faultInjection) restart(node *simNode) {
	if !node.alive {
		return
	}
	delay := f.Between(100*model.Millisecond, 6*model.Second)
	if f.Chance(0.3) {
		delay = f.Between(0, 300*model.Millisecond)
	}
	node.crashFor(delay)
}

func (f *faultInjection) restartAll() {
	for _, node := range f.nodes {
		f.restart(node)
	}
}

// cutFromState breaks the node's link to the state service in the given way.
func (f *faultInjection) cutFromState(link int) {
	f.node.setStateLink(link)
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
	for _, worker := range f.workers {
		if f.Chance(0.4) {
			f.hang(worker)
		}
	}
}

func (f *faultInjection) hang(worker *standin.Worker) {
	worker.SetHung(true)
	f.After(f.duration, func() { worker.SetHung(false) })
}

func (f *faultInjection) loseMachines() {
	for _, worker := range f.workers {
		switch {
		case worker.Spot && f.Chance(0.7):
			worker.Reclaim(f.Between(0, 15*model.Second))
		case f.Chance(0.2):
			worker.Terminate()
		case f.Chance(0.2):
			worker.FailsTasks = true
		}
	}
}

// isolateWithWorkers cuts a controller off from the state service and the other
// controllers, but not from the workers.
func (f *faultInjection) isolateWithWorkers() {
	node := f.node
	node.setStateLink(linkDropping)
	node.peersCutOff = true
	f.After(f.duration, func() { node.setStateLink(linkOpen); node.peersCutOff = false })
}

func (f *faultInjection) loseResponses() {
	for _, worker := range f.workers {
		if f.Chance(0.3) {
			f.responsesLost[worker.ID] = true
			f.After(2*f.duration, func() { delete(f.responsesLost, worker.ID) })
		}
	}
}

// restartDuringElections restarts controllers several times in quick succession, so that
// they restart while elections are in progress.
func (f *faultInjection) restartDuringElections() {
	for i := range model.Micros(4) {
		f.After(i*300*model.Millisecond, func() {
			for _, node := range f.nodes {
				if node.alive && f.Chance(0.6) {
					node.crashFor(f.Between(0, 200*model.Millisecond))
				}
			}
		})
	}
}

func (f *faultInjection) restartWorkers() {
	for _, worker := range f.workers {
		if f.Chance(0.4) {
			worker.Restart()
		}
	}
}

func (f *faultInjection) blockHeartbeats() {
	for _, worker := range f.workers {
		if f.Chance(0.4) {
			f.heartbeatsBlocked[worker.ID] = true
			f.After(f.duration, func() { delete(f.heartbeatsBlocked, worker.ID) })
		}
	}
}

// delayWrites makes 40% of the transactions get no response and be applied after the given
// delay.
func (f *faultInjection) delayWrites(delay func() model.Micros) {
	f.lateWriteChance, f.lateWriteDelay = 0.4, delay
	f.After(f.duration, func() { f.lateWriteChance = 0 })
}

func (f *faultInjection) cancelAndHang() {
	for _, job := range f.users {
		if !job.accepted || job.reportedEnd != "" || !f.Chance(0.5) {
			continue
		}
		job.cancel(nil)
		for _, worker := range f.workers {
			if worker.HasTaskOf(job.submission.ID) && f.Chance(0.5) {
				f.hang(worker)
			}
		}
	}
}

// cutOffZone isolates the workers of a zone and a controller from everything else.
func (f *faultInjection) cutOffZone() {
	node := f.node
	node.setStateLink(linkDropping)
	node.peersCutOff, node.usersCutOff = true, true
	f.canReach = func(worker *standin.Worker, other *simNode) bool { return (worker.Zone == "a") == (other == node) }
	f.After(f.duration, func() {
		node.setStateLink(linkOpen)
		node.peersCutOff, node.usersCutOff = false, false
		f.canReach = nil
	})
}

// replayOldHeartbeats records the heartbeats of the next three seconds, restarts the leader, and
// then delivers them again to all controllers, eight times.
func (f *faultInjection) replayOldHeartbeats() {
	f.recordsHeartbeats = true
	f.After(3*model.Second, func() {
		heartbeats := f.recordedHeartbeats
		f.recordsHeartbeats, f.recordedHeartbeats = false, nil
		if leader := f.leader(); leader != nil {
			f.restart(leader)
		}
		for i := range model.Micros(8) {
			f.After(i*2*model.Second, func() {
				replayHeartbeats(heartbeats)
			})
		}
	})
}

// cancelAtEnd makes users cancel jobs as their last task completes.
func (f *faultInjection) cancelAtEnd() {
	f.invariants.OnJobCompleted = func(jobID string) {
		for _, job := range f.users {
			if job.submission.ID == jobID && job.accepted && f.Chance(0.7) {
				f.After(f.Between(0, 1500*model.Millisecond), func() { job.cancel(nil) })
			}
		}
	}
	f.After(f.duration, func() { f.invariants.OnJobCompleted = nil })
}

// queryAllNodes makes users query all nodes, repeat submissions, some of them altered, and
// cancel completed jobs.
func (f *faultInjection) queryAllNodes() {
	previous := f.checksEveryNode
	f.checksEveryNode = true
	for _, job := range f.users {
		if job.accepted && f.Chance(0.6) {
			job.checkEveryNode()
		}
		if job.reportedEnd == "done" && f.Chance(0.5) {
			job.cancel(nil)
		}
	}
	f.checksEveryNode = previous
}
