package controller

import (
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/standin"
	"woadweir/internal/workerapi"
)

// Nodes returns the names of all controllers. With SendHeartbeat it implements standin.Net.
func (sim *simDeployment) Nodes() []string {
	var names []string
	for _, node := range sim.nodes {
		names = append(names, node.name)
	}
	return names
}

// SendHeartbeat delivers a worker's heartbeat to a node, unless the network between them is
// cut; the heartbeat may also be delayed, duplicated or recorded.
func (sim *simDeployment) SendHeartbeat(worker *standin.Worker, node string, body []byte, respond func(int, []byte)) {
	target := sim.nodes[slices.Index(sim.Nodes(), node)]
	if sim.unreachableNode[worker.ID] == node || sim.heartbeatsBlocked[worker.ID] || sim.canReach != nil && !sim.canReach(worker, target) {
		return
	}
	if sim.responsesLost[worker.ID] {
		respond = func(int, []byte) {}
	}
	if sim.delayedMachines[worker.ID] {
		sim.delayedHeartbeats = append(sim.delayedHeartbeats, func(to *simNode) {
			if to == nil {
				to = target
			}
			sim.deliverHeartbeat(to, body, sim.Between(200, 2*model.Second), func(int, []byte) {})
		})
		return
	}
	sim.deliverHeartbeat(target, body, sim.Between(200, 2000+sim.heartbeatLag), respond)
	if sim.duplicateHeartbeatChance > 0 && sim.Chance(sim.duplicateHeartbeatChance) {
		to := sim.nodes[sim.Rand.IntN(len(sim.nodes))]
		sim.deliverHeartbeat(to, body, sim.Between(2*model.Second, maxDuplicateDelay), func(int, []byte) {})
	}
	if sim.recordsHeartbeats {
		sim.recordedHeartbeats = append(sim.recordedHeartbeats, func() {
			for _, node := range sim.nodes {
				sim.deliverHeartbeat(node, body, 0, func(int, []byte) {})
			}
		})
	}
}

// replayHeartbeats delivers recorded heartbeats again, to all controllers.
func replayHeartbeats(recorded []func()) {
	for _, deliver := range recorded {
		deliver()
	}
}

// deliverHeartbeat delivers a heartbeat to a controller after a delay, unless the controller
// is down or no worker reaches it. respond is called with the response.
func (sim *simDeployment) deliverHeartbeat(node *simNode, body []byte, after model.Micros, respond func(int, []byte)) {
	sim.After(after, func() {
		if !node.alive || !node.reachableByWorkers {
			return
		}
		heartbeat, err := workerapi.ParseHeartbeat(body)
		if err != nil {
			panic(err)
		}
		node.receiveHeartbeat(msgHeartbeat{heartbeat: heartbeat}, func(answer workerAnswer) {
			delay := sim.Between(200, 2000+sim.heartbeatLag)
			if sim.Chance(0.01) {
				delay = 5 * model.Second // too late for the worker
			}
			reply := func(answer workerAnswer) { sim.After(delay, func() { respond(answer.code, answer.body) }) }
			if answer.relayTo == "" {
				reply(answer)
				return
			}
			sim.relayHeartbeat(node, heartbeat, answer, reply)
		})
	})
}

// simRelayTimeout is the time for which a controller waits for the answer to a heartbeat
// that it relayed.
const simRelayTimeout = 2500 * model.Millisecond

// relayHeartbeat relays a heartbeat to the controller that an answer names. reply is called
// with that controller's answer, or with the first answer if relaying fails.
func (sim *simDeployment) relayHeartbeat(from *simNode, heartbeat *shard.Heartbeat, answer workerAnswer, reply func(workerAnswer)) {
	target := sim.nodes[slices.Index(sim.Nodes(), answer.relayTo)]
	incarnation := from.incarnation
	fail := func() {
		from.deliver(incarnation, msgRelayFailed{})
		reply(answer)
	}
	if target.peersCutOff || from.peersCutOff || target.runsProductionVersion || !target.alive || sim.Chance(0.01) {
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
		target.receiveHeartbeat(msgHeartbeat{heartbeat: heartbeat, relayed: true}, func(relayedAnswer workerAnswer) {
			sim.After(sim.Between(200, 2000), func() {
				if answered || from.incarnation != incarnation {
					return
				}
				answered = true
				if relayedAnswer.code == 200 {
					sim.relayedHeartbeats++
				}
				reply(relayedAnswer)
			})
		})
	})
}

// receiveHeartbeat passes a heartbeat to the controller; onAnswer is called with its answer.
func (n *simNode) receiveHeartbeat(m msgHeartbeat, onAnswer func(workerAnswer)) {
	reply := make(chan workerAnswer, 1)
	m.reply = reply
	n.send(m, func() bool {
		select {
		case a := <-reply:
			onAnswer(a)
			return true
		default:
			return false
		}
	})
}
