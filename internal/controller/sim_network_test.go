package controller

import (
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/standin"
	"woadweir/internal/workerapi"
)

// Nodes and Checkin make the world a network for workers.
func (w *world) Nodes() []string {
	var ns []string
	for _, n := range w.nodes {
		ns = append(ns, n.name)
	}
	return ns
}

func (w *world) SendHeartbeat(x *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	n := w.nodes[slices.Index(w.Nodes(), node)]
	if w.cutFromNode[x.ID] == node || w.heartbeatsBlocked[x.ID] || w.reaches != nil && !w.reaches(x, n) {
		return
	}
	if w.responsesLost[x.ID] {
		answer = func(int, []byte) {}
	}
	if w.cut[x.ID] {
		w.late = append(w.late, func(to *simNode) {
			if to == nil {
				to = n
			}
			w.deliverReport(to, body, w.Between(200, 2*model.Second), func(int, []byte) {})
		})
		return
	}
	w.deliverReport(n, body, w.Between(200, 2000+w.lag), answer)
	if w.duplicateHeartbeats > 0 && w.Chance(w.duplicateHeartbeats) {
		to := w.nodes[w.Rand.IntN(len(w.nodes))]
		w.deliverReport(to, body, w.Between(2*model.Second, duplicateDelay), func(int, []byte) {})
	}
	if w.recordsHeartbeats {
		w.recordedHeartbeats = append(w.recordedHeartbeats, func() {
			for _, n := range w.nodes {
				w.deliverReport(n, body, 0, func(int, []byte) {})
			}
		})
	}
}

// repeatAll delivers recorded heartbeats once more, to all controllers.
func repeatAll(recorded []func()) {
	for _, deliver := range recorded {
		deliver()
	}
}

// deliverReport has a report arrive at a controller after that time, unless it is down or
// no worker reaches it. answer gets the response.
func (w *world) deliverReport(n *simNode, body []byte, after model.Micros, answer func(int, []byte)) {
	w.After(after, func() {
		if !n.alive || !n.workers {
			return
		}
		r, err := workerapi.ParseHeartbeat(body)
		if err != nil {
			panic(err)
		}
		n.handsOver(msgHeartbeat{heartbeat: r}, func(a workerAnswer) {
			back := w.Between(200, 2000+w.lag)
			if w.Chance(0.01) {
				back = 5 * model.Second // too late for the worker
			}
			give := func(a workerAnswer) { w.After(back, func() { answer(a.code, a.body) }) }
			if a.relayTo == "" {
				give(a)
				return
			}
			w.relayReport(n, r, a, give)
		})
	})
}

// simRelayTimeout is how long a controller waits for the one that it relays a report to.
const simRelayTimeout = 2500 * model.Millisecond

// relayReport carries a report on to the controller that an answer names. give gets that
// one's answer, or the first one if relaying fails.
func (w *world) relayReport(n *simNode, r *shard.Heartbeat, a workerAnswer, give func(workerAnswer)) {
	l := w.nodes[slices.Index(w.Nodes(), a.relayTo)]
	life := n.life
	fail := func() {
		n.deliver(life, msgRelayFailed{})
		give(a)
	}
	if l.peersCutOff || n.peersCutOff || l.old || !l.alive || w.Chance(0.01) {
		w.After(w.Between(0, simRelayTimeout), fail)
		return
	}
	answered := false
	w.After(simRelayTimeout, func() {
		if !answered {
			answered = true
			fail()
		}
	})
	w.After(w.Between(200, 2000), func() {
		l.handsOver(msgHeartbeat{heartbeat: r, relayed: true}, func(b workerAnswer) {
			w.After(w.Between(200, 2000), func() {
				if answered || n.life != life {
					return
				}
				answered = true
				if b.code == 200 {
					w.relayed++
				}
				give(b)
			})
		})
	})
}

// handsOver gives the actor a report; f gets its answer.
func (n *simNode) handsOver(m msgHeartbeat, f func(workerAnswer)) {
	reply := make(chan workerAnswer, 1)
	m.reply = reply
	n.ask(m, func() bool {
		select {
		case a := <-reply:
			f(a)
			return true
		default:
			return false
		}
	})
}
