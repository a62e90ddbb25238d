package standin

import (
	"encoding/json"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
)

// Messages of the workers' protocol. They are declared separately from the service's own
// declarations, so that tests find a mistake in those.
type (
	wireTask struct {
		TaskID     string `json:"piece"`
		Attempt    uint64 `json:"try"`
		Status     string `json:"status"`
		Cause      string `json:"cause,omitempty"`
		StateSaved bool   `json:"stored,omitempty"`
	}
	wireHeartbeat struct {
		MachineID    string     `json:"host"`
		Address      string     `json:"address"`
		MachineType  string     `json:"build"`
		Zone         string     `json:"yard"`
		Spot         bool       `json:"loaners"`
		Incarnation  uint64     `json:"tenure"`
		Sequence     uint64     `json:"tally"`
		Token        uint64     `json:"warrant"`
		Tasks        []wireTask `json:"pieces"`
		ReclaimedInS *float64   `json:"recallS"`
	}
	wireAnswer struct {
		Token    uint64        `json:"warrant"`
		Holder   string        `json:"steward"`
		Commands []wireCommand `json:"orders"`
	}
	wireCommand struct {
		Verb    string  `json:"verb"`
		TaskID  string  `json:"piece"`
		Attempt uint64  `json:"try"`
		GraceS  float64 `json:"leewayS"`
	}
)

// answerTimeout is how long a worker waits for the answer to a heartbeat.
const answerTimeout = 4 * model.Second

// scheduleHeartbeat schedules the next heartbeat after a delay, unless an earlier one is
// scheduled.
func (w *Worker) scheduleHeartbeat(delay model.Micros) {
	at := w.sim.Now + delay
	if w.nextHeartbeatAt > w.sim.Now && w.nextHeartbeatAt <= at {
		return
	}
	w.nextHeartbeatAt = at
	w.heartbeatTimer++
	timer := w.heartbeatTimer
	w.sim.At(at, func() {
		if timer == w.heartbeatTimer {
			w.sendHeartbeat()
		}
	})
}

// heartbeatSoon schedules a heartbeat for now, or for half a second after the last one if
// that is later.
func (w *Worker) heartbeatSoon() {
	w.scheduleHeartbeat(max(0, w.lastHeartbeatAt+model.Second/2-w.sim.Now))
}

// sendHeartbeat sends a heartbeat, unless the last one still awaits its answer.
func (w *Worker) sendHeartbeat() {
	if w.dead || w.awaitingAnswer {
		return
	}
	if w.hung {
		w.scheduleHeartbeat(200 * model.Millisecond)
		return
	}
	w.sequence++
	body := w.heartbeatBody()
	w.awaitingAnswer, w.lastHeartbeatAt = true, w.sim.Now
	sentAt, incarnation, answered := w.sim.Now, w.incarnation, false
	nodes := w.net.Nodes()
	receive := func(code int, body []byte) {
		if answered {
			return
		}
		answered, w.awaitingAnswer = true, false
		if !w.dead {
			w.handleAnswer(code, body, sentAt, incarnation)
		}
	}
	w.sim.After(answerTimeout, func() { receive(0, nil) })
	w.net.SendHeartbeat(w, nodes[w.nodeIndex%len(nodes)], body, receive)
}

// heartbeatBody returns a heartbeat with the machine's current tasks.
func (w *Worker) heartbeatBody() []byte {
	msg := wireHeartbeat{MachineID: w.ID, Address: "10.1.0.1:9000", MachineType: w.MachineType, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, Token: w.holderToken, Tasks: []wireTask{}}
	for _, t := range w.tasks {
		msg.Tasks = append(msg.Tasks, wireTask{t.id.String(), t.attempt, t.status, t.cause, t.stateSaved})
	}
	if w.reclaimedAt > 0 {
		left := max(0, w.reclaimedAt-w.sim.Now).Seconds()
		msg.ReclaimedInS = &left
	}
	body, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return body
}

// handleAnswer handles the answer to a heartbeat that was sent at sentAt by the given
// incarnation of the worker.
func (w *Worker) handleAnswer(code int, body []byte, sentAt model.Micros, incarnation uint64) {
	var answer wireAnswer
	if len(body) > 0 {
		if err := jsoncodec.Unmarshal(body, &answer); err != nil {
			panic(err)
		}
	}
	nodes := w.net.Nodes()
	if code == 421 && answer.Holder != "" && answer.Holder != nodes[w.nodeIndex%len(nodes)] && slices.Contains(nodes, answer.Holder) {
		w.nodeIndex = slices.Index(nodes, answer.Holder)
		w.scheduleHeartbeat(w.sim.Between(0, model.Second/2))
		return
	}
	if code != 200 {
		w.nodeIndex++
		w.scheduleHeartbeat(model.Second)
		return
	}
	w.scheduleHeartbeat(w.times.HeartbeatInterval*3/4 + w.sim.Between(0, w.times.HeartbeatInterval/2))
	if w.hung || answer.Token < w.holderToken || incarnation != w.incarnation {
		return
	}
	w.leasedFrom = max(w.leasedFrom, sentAt)
	if answer.Token > w.holderToken {
		w.holderToken = answer.Token
		w.heartbeatSoon()
	}
	for _, command := range answer.Commands {
		w.execute(command)
	}
}

// execute executes a command from an answer.
func (w *Worker) execute(command wireCommand) {
	id, ok := model.ParseTaskID(command.TaskID)
	if !ok {
		panic("invalid task ID in a command: " + command.TaskID)
	}
	switch command.Verb {
	case "start":
		w.startTask(id, command.Attempt)
	case "stop":
		if t := w.findTask(id, command.Attempt); t != nil {
			t.stop(model.Seconds(command.GraceS))
		}
	case "clear":
		if t := w.findTask(id, command.Attempt); t != nil && t.status == statusEnded {
			w.tasks = slices.DeleteFunc(w.tasks, func(other *Task) bool { return other == t })
		}
	default:
		panic("unknown command verb: " + command.Verb)
	}
}
