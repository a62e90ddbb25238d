package controller

import (
	"slices"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// sync reads the changes since a revision, or lists all records; the answer is lost if
// syncsLost is set.
func (n *simNode) sync(from uint64, list bool) {
	incarnation := n.incarnation
	synced := msgSynced{sentAt: n.ctl.clock()}
	if n.syncsLost {
		n.sim.After(syncTimeout, func() { n.deliver(incarnation, msgSynced{sentAt: synced.sentAt, err: state.ErrLost}) })
		return
	}
	n.sendStateRequest(func() func() {
		if list {
			entries, revision, err := n.sim.state.List(n.name)
			synced.err = err
			synced.view = state.NewView()
			synced.view.Revision = revision
			for _, entry := range entries {
				entry.Value = n.valueAsRead(entry.Path, entry.Value)
				if _, err := synced.view.Set(entry.Path, entry.Value, entry.Revision); err != nil {
					panic(err)
				}
			}
		} else {
			synced.changes, synced.err = n.sim.state.Watch(n.name, from)
			if synced.err == nil {
				for i := range synced.changes.Events {
					event := &synced.changes.Events[i]
					event.Value = n.valueAsRead(event.Set, event.Value)
				}
			}
		}
		return func() { n.deliver(incarnation, synced) }
	}, func() { n.deliver(incarnation, msgSynced{sentAt: synced.sentAt, err: state.ErrLost}) }, syncTimeout)
}

// deliver passes a reply to the controller unless it has restarted since it sent the request.
func (n *simNode) deliver(incarnation int, m any) {
	if n.incarnation == incarnation {
		n.reachPausePoint(pausePointOnAnswer(m))
		n.send(m, nil)
	}
}

// commit sends a transaction to the state service, unless intercept keeps it from being sent.
// While the process is paused, the transaction is deferred.
func (n *simNode) commit(m msgCommitted) {
	if n.intercept != nil && n.intercept(m) {
		return
	}
	if point := pausePointBefore(m); n.reachPausePoint(point) || n.paused {
		n.deferIfPaused(func() { n.commit(m) })
		return
	}
	incarnation := n.incarnation
	txn := n.txnAsWritten(m.txn)
	lost := m
	lost.err = state.ErrLost
	n.sendTransaction(func() *state.Result {
		m.result, m.err = n.sim.state.Commit(n.name, txn)
		return m.result
	}, func() { n.deliver(incarnation, m) }, func() { n.deliver(incarnation, lost) }, commitTimeout)
}

// cloudCall executes a request to the cloud after a delay and delivers the reply that call
// returns.
func (n *simNode) cloudCall(call func() any) {
	incarnation := n.incarnation
	n.sim.After(n.sim.Between(50*model.Millisecond, 200*model.Millisecond), func() {
		m := call()
		n.sim.After(50*model.Millisecond, func() { n.deliver(incarnation, m) })
	})
}

// fetchMachineTypes, listMachines, rentMachines and deleteMachines call the cloud. While the
// process is paused, renting and deleting are deferred.
func (n *simNode) fetchMachineTypes() {
	n.cloudCall(func() any {
		if n.sim.cloud.Down || n.cloudUnavailable {
			return msgMachineTypes{err: cloud.ErrUnavailable}
		}
		return msgMachineTypes{machineTypes: n.sim.cloud.MachineTypes}
	})
}

func (n *simNode) listMachines() {
	sentAt := n.ctl.clock()
	n.cloudCall(func() any {
		machines, err := n.sim.cloud.List()
		if n.cloudUnavailable {
			err = cloud.ErrUnavailable
		}
		return msgListed{sentAt, machines, err}
	})
}

func (n *simNode) rentMachines(m msgRented) {
	if n.reachPausePoint(beforeRent) || n.paused {
		n.deferIfPaused(func() { n.rentMachines(m) })
		return
	}
	n.cloudCall(func() any {
		if n.cloudUnavailable {
			m.err = cloud.ErrUnavailable
			return m
		}
		m.machines, m.err = n.sim.cloud.Rent(&m.rental)
		n.sim.maybeDuplicateCall(func() { _, _ = n.sim.cloud.Rent(&m.rental) })
		return m
	})
}

func (n *simNode) deleteMachines(m msgDeleted) {
	if n.reachPausePoint(beforeDelete) || n.paused {
		n.deferIfPaused(func() { n.deleteMachines(m) })
		return
	}
	n.cloudCall(func() any {
		if n.cloudUnavailable {
			m.err = cloud.ErrUnavailable
			return m
		}
		m.err = n.sim.cloud.Delete(m.machineIDs)
		n.sim.maybeDuplicateCall(func() { _ = n.sim.cloud.Delete(m.machineIDs) })
		return m
	})
}

// maybeDuplicateCall executes a call to the cloud once more, up to a minute later, with
// probability duplicateRequestChance.
func (sim *simDeployment) maybeDuplicateCall(call func()) {
	if sim.duplicateRequestChance > 0 && sim.Chance(sim.duplicateRequestChance) {
		sim.After(sim.Between(model.Second, 60*model.Second), call)
	}
}

// ping asks the other controllers for their state. The production version does not relay
// heartbeats.
func (n *simNode) ping() {
	incarnation := n.incarnation
	n.sim.After(2*model.Millisecond, func() {
		var result msgPinged
		for _, other := range n.sim.nodes {
			if other == n || !other.alive || other.paused || other.peersCutOff || n.peersCutOff {
				continue
			}
			result.alive++
			reply := make(chan pingReply, 1)
			other.send(msgPing{reply}, nil)
			answer := <-reply
			result.workers += answer.workers
			if !other.runsProductionVersion {
				result.relays = append(result.relays, other.name)
			}
			if answer.stateReached {
				result.serving = append(result.serving, other.name)
			}
		}
		n.deliver(incarnation, result)
	})
}

// resign ends a session at the state service through this controller, or through a sibling
// if one is named.
func (n *simNode) resign(session uint64, sibling string) {
	n.sessionToAbandon = session
	via := n
	if sibling != "" {
		if n.peersCutOff {
			return
		}
		via = n.sim.nodes[slices.Index(n.sim.Nodes(), sibling)]
	}
	via.sendStateRequest(func() func() {
		_ = n.sim.state.EndLease(via.name, session) // not repeated if it fails
		return func() {}
	}, func() {}, 2*model.Second)
}
