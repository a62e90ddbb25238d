package controller

import (
	"slices"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

func (n *simNode) sync(from uint64, list bool) {
	life := n.life
	m := msgSynced{sentAt: n.ctl.clock()}
	if n.syncsLost {
		n.w.After(syncTimeout, func() { n.deliver(life, msgSynced{sentAt: m.sentAt, err: state.ErrLost}) })
		return
	}
	n.request(func() func() {
		if list {
			es, epoch, err := n.w.state.List(n.name)
			m.err = err
			m.view = state.NewView()
			m.view.Revision = epoch
			for _, e := range es {
				e.Value = n.reads(e.Path, e.Value)
				if _, err := m.view.Set(e.Path, e.Value, e.Revision); err != nil {
					panic(err)
				}
			}
		} else {
			m.changes, m.err = n.w.state.Watch(n.name, from)
			if m.err == nil {
				for i := range m.changes.Events {
					e := &m.changes.Events[i]
					e.Value = n.reads(e.Set, e.Value)
				}
			}
		}
		return func() { n.deliver(life, m) }
	}, func() { n.deliver(life, msgSynced{sentAt: m.sentAt, err: state.ErrLost}) }, syncTimeout)
}

func (n *simNode) deliver(life int, m any) {
	if n.life == life {
		n.reaches(answerOf(m))
		n.ask(m, nil)
	}
}

func (n *simNode) commit(m msgCommitted) {
	if n.intercept != nil && n.intercept(m) {
		return
	}
	if point := pointOf(m); n.reaches(point) || n.paused {
		n.stopped(func() { n.commit(m) })
		return
	}
	life := n.life
	txn := n.writes(m.txn)
	lost := m
	lost.err = state.ErrLost
	n.transact(func() *state.Result {
		m.result, m.err = n.w.state.Commit(n.name, txn)
		return m.result
	}, func() { n.deliver(life, m) }, func() { n.deliver(life, lost) }, commitTimeout)
}

func (n *simNode) cloudCall(f func() any) {
	life := n.life
	n.w.After(n.w.Between(50*model.Millisecond, 200*model.Millisecond), func() {
		m := f()
		n.w.After(50*model.Millisecond, func() { n.deliver(life, m) })
	})
}

func (n *simNode) fetchMachineTypes() {
	n.cloudCall(func() any {
		if n.w.cloud.Down || n.noCloud {
			return msgMachineTypes{err: cloud.ErrUnavailable}
		}
		return msgMachineTypes{machineTypes: n.w.cloud.MachineTypes}
	})
}

func (n *simNode) listMachines() {
	sent := n.ctl.clock()
	n.cloudCall(func() any {
		ms, err := n.w.cloud.List()
		if n.noCloud {
			err = cloud.ErrUnavailable
		}
		return msgListed{sent, ms, err}
	})
}

func (n *simNode) rentMachines(m msgRented) {
	if n.reaches(beforeRent) || n.paused {
		n.stopped(func() { n.rentMachines(m) })
		return
	}
	n.cloudCall(func() any {
		if n.noCloud {
			m.err = cloud.ErrUnavailable
			return m
		}
		m.machines, m.err = n.w.cloud.Rent(&m.rental)
		n.w.cloudAgain(func() { _, _ = n.w.cloud.Rent(&m.rental) })
		return m
	})
}

func (n *simNode) deleteMachines(m msgDeleted) {
	if n.reaches(beforeDelete) || n.paused {
		n.stopped(func() { n.deleteMachines(m) })
		return
	}
	n.cloudCall(func() any {
		if n.noCloud {
			m.err = cloud.ErrUnavailable
			return m
		}
		m.err = n.w.cloud.Delete(m.machineIDs)
		n.w.cloudAgain(func() { _ = n.w.cloud.Delete(m.machineIDs) })
		return m
	})
}

// cloudAgain has a late copy of a call carried out, if copies come late in this world.
func (w *world) cloudAgain(call func()) {
	if w.repeats > 0 && w.Chance(w.repeats) {
		w.After(w.Between(model.Second, 60*model.Second), call)
	}
}

func (n *simNode) ping() {
	life := n.life
	n.w.After(2*model.Millisecond, func() {
		var m msgPinged
		for _, o := range n.w.nodes {
			if o == n || !o.alive || o.paused || o.peersCutOff || n.peersCutOff {
				continue
			}
			m.alive++
			reply := make(chan pingReply, 1)
			o.ask(msgPing{reply}, nil)
			p := <-reply
			m.workers += p.workers
			if !o.old {
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
	n.abandon = session
	o := n
	if sibling != "" {
		if n.peersCutOff {
			return
		}
		o = n.w.nodes[slices.Index(n.w.Nodes(), sibling)]
	}
	o.request(func() func() {
		_ = n.w.state.EndLease(o.name, session) // what is lost is lost
		return func() {}
	}, func() {}, 2*model.Second)
}
