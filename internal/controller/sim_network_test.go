package controller

import (
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/standin"
	"woadweir/internal/workerapi"
)

// Nodes and Checkin make the world a network for workers.
func (sim *simDeployment) Nodes() []string {
	var ns []string
	for _, n := range sim.nodes {
		ns = append(ns, n.name)
	}
	return ns
}

func (sim *simDeployment) SendHeartbeat(x *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	n := sim.nodes[slices.Index(sim.Nodes(), node)]
	if sim.unreachableNode[x.ID] == node || sim.heartbeatsBlocked[x.ID] || sim.canReach != nil && !sim.canReach(x, n) {
		return
	}
	if sim.responsesLost[x.ID] {
		answer = func(int, []byte) {}
	}
	if sim.delayedMachines[x.ID] {
		sim.delayedHeartbeats = append(sim.delayedHeartbeats, func(to *simNode) {
			if to == nil {
				to = n
			}
			sim.deliverHeartbeat(to, body, sim.Between(200, 2*model.Second), func(int, []byte) {})
		})
		return
	}
	sim.deliverHeartbeat(n, body, sim.Between(200, 2000+sim.heartbeatLag), answer)
	if sim.duplicateHeartbeatChance > 0 && sim.Chance(sim.duplicateHeartbeatChance) {
		to := sim.nodes[sim.Rand.IntN(len(sim.nodes))]
		sim.deliverHeartbeat(to, body, sim.Between(2*model.Second, maxDuplicateDelay), func(int, []byte) {})
	}
	if sim.recordsHeartbeats {
		sim.recordedHeartbeats = append(sim.recordedHeartbeats, func() {
			for _, n := range sim.nodes {
				sim.deliverHeartbeat(n, body, 0, func(int, []byte) {})
			}
		})
	}
}

// repeatAll delivers recorded heartbeats once more, to all controllers.
func replayHeartbeats(recorded []func()) {
	for _, deliver := range recorded {
		deliver()
	}
}

// deliverReport has a report arrive at a controller after that time, unless it is down or
// no worker reaches it. answer gets the response.
func (sim *simDeployment) deliverHeartbeat(n *simNode, body []byte, after model.Micros, answer func(int, []byte)) {
	sim.After(after, func() {
		if !n.alive || !n.reachableByWorkers {
			return
		}
		r, err := workerapi.ParseHeartbeat(body)
		if err != nil {
			panic(err)
		}
		n.receiveHeartbeat(msgHeartbeat{heartbeat: r}, func(a workerAnswer) {
			back := sim.Between(200, 2000+sim.heartbeatLag)
			if sim.Chance(0.01) {
				back = 5 * model.Second // too late for the worker
			}
			give := func(a workerAnswer) { sim.After(back, func() { answer(a.code, a.body) }) }
			if a.relayTo == "" {
				give(a)
				return
			}
			sim.relayHeartbeat(n, r, a, give)
		})
	})
}

// simRelayTimeout is how long a controller waits for the one that it relays a report to.
const simRelayTimeout = 2500 * model.Millisecond

// relayReport carries a report on to the controller that an answer names. give gets that
// one's answer, or the first one if relaying fails.
func (sim *simDeployment) relayHeartbeat(n *simNode, r *shard.Heartbeat, a workerAnswer, give func(workerAnswer)) {
	l := sim.nodes[slices.Index(sim.Nodes(), a.relayTo)]
	life := n.incarnation
	fail := func() {
		n.deliver(life, msgRelayFailed{})
		give(a)
	}
	if l.peersCutOff || n.peersCutOff || l.runsProductionVersion || !l.alive || sim.Chance(0.01) {
		sim.After(sim.Between(0, simRelayTimeout), fail)
		return
	}
	answered := false
	sim.After(simRelayTimeout, func() {
		if !answered {
			answered = true
			fail()
		}
	})
	sim.After(sim.Between(200, 2000), func() {
		l.receiveHeartbeat(msgHeartbeat{heartbeat: r, relayed: true}, func(b workerAnswer) {
			sim.After(sim.Between(200, 2000), func() {
				if answered || n.incarnation != life {
					return
				}
				answered = true
				if b.code == 200 {
					sim.relayedHeartbeats++
				}
				give(b)
			})
		})
	})
}

// handsOver gives the actor a report; f gets its answer.
func (n *simNode) receiveHeartbeat(m msgHeartbeat, f func(workerAnswer)) {
	reply := make(chan workerAnswer, 1)
	m.reply = reply
	n.send(m, func() bool {
		select {
		case a := <-reply:
			f(a)
			return true
		default:
			return false
		}
	})
}
