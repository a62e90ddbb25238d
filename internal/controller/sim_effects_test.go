package controller

import (
	"slices"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

func (n *simNode) sync(from uint64, list bool) {
	life := n.incarnation
	m := msgSynced{sentAt: n.ctl.clock()}
	if n.syncsLost {
		n.sim.After(syncTimeout, func() { n.deliver(life, msgSynced{sentAt: m.sentAt, err: state.ErrLost}) })
		return
	}
	n.sendStateRequest(func() func() {
		if list {
			es, epoch, err := n.sim.state.List(n.name)
			m.err = err
			m.view = state.NewView()
			m.view.Revision = epoch
			for _, e := range es {
				e.Value = n.valueAsRead(e.Path, e.Value)
				if _, err := m.view.Set(e.Path, e.Value, e.Revision); err != nil {
					panic(err)
				}
			}
		} else {
			m.changes, m.err = n.sim.state.Watch(n.name, from)
			if m.err == nil {
				for i := range m.changes.Events {
					e := &m.changes.Events[i]
					e.Value = n.valueAsRead(e.Set, e.Value)
				}
			}
		}
		return func() { n.deliver(life, m) }
	}, func() { n.deliver(life, msgSynced{sentAt: m.sentAt, err: state.ErrLost}) }, syncTimeout)
}

func (n *simNode) deliver(life int, m any) {
	if n.incarnation == life {
		n.reachPausePoint(pausePointOnAnswer(m))
		n.send(m, nil)
	}
}

func (n *simNode) commit(m msgCommitted) {
	if n.intercept != nil && n.intercept(m) {
		return
	}
	if point := pausePointBefore(m); n.reachPausePoint(point) || n.paused {
		n.deferIfPaused(func() { n.commit(m) })
		return
	}
	life := n.incarnation
	txn := n.txnAsWritten(m.txn)
	lost := m
	lost.err = state.ErrLost
	n.sendTransaction(func() *state.Result {
		m.result, m.err = n.sim.state.Commit(n.name, txn)
		return m.result
	}, func() { n.deliver(life, m) }, func() { n.deliver(life, lost) }, commitTimeout)
}

func (n *simNode) cloudCall(f func() any) {
	life := n.incarnation
	n.sim.After(n.sim.Between(50*model.Millisecond, 200*model.Millisecond), func() {
		m := f()
		n.sim.After(50*model.Millisecond, func() { n.deliver(life, m) })
	})
}

func (n *simNode) fetchMachineTypes() {
	n.cloudCall(func() any {
		if n.sim.cloud.Down || n.cloudUnavailable {
			return msgMachineTypes{err: cloud.ErrUnavailable}
		}
		return msgMachineTypes{machineTypes: n.sim.cloud.MachineTypes}
	})
}

func (n *simNode) listMachines() {
	sent := n.ctl.clock()
	n.cloudCall(func() any {
		ms, err := n.sim.cloud.List()
		if n.cloudUnavailable {
			err = cloud.ErrUnavailable
		}
		return msgListed{sent, ms, err}
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

// cloudAgain has a late copy of a call carried out, if copies come late in this world.
func (sim *simDeployment) maybeDuplicateCall(call func()) {
	if sim.duplicateRequestChance > 0 && sim.Chance(sim.duplicateRequestChance) {
		sim.After(sim.Between(model.Second, 60*model.Second), call)
	}
}

func (n *simNode) ping() {
	life := n.incarnation
	n.sim.After(2*model.Millisecond, func() {
		var m msgPinged
		for _, o := range n.sim.nodes {
			if o == n || !o.alive || o.paused || o.peersCutOff || n.peersCutOff {
				continue
			}
			m.alive++
			reply := make(chan pingReply, 1)
			o.send(msgPing{reply}, nil)
			p := <-reply
			m.workers += p.workers
			if !o.runsProductionVersion {
				m.relays = append(m.relays, o.name)
			}
			if p.stateReached {
				m.serving = append(m.serving, o.name)
			}
		}
		n.deliver(life, m)
	})
}

func (n *simNode) resign(session uint64, sibling string) {
	n.sessionToAbandon = session
	o := n
	if sibling != "" {
		if n.peersCutOff {
			return
		}
		o = n.sim.nodes[slices.Index(n.sim.Nodes(), sibling)]
	}
	o.sendStateRequest(func() func() {
		_ = n.sim.state.EndLease(o.name, session) // what is lost is lost
		return func() {}
	}, func() {}, 2*model.Second)
}
