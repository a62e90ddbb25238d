package standin

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
)

// Net is the network between workers and controllers.
type Net interface {
	// SendHeartbeat sends a worker's heartbeat to a node and calls answer with the
	// response, if one arrives.
	SendHeartbeat(w *Worker, node string, body []byte, answer func(code int, body []byte))
	// Nodes returns the names of all controllers.
	Nodes() []string
}

// WorkerTimes are the workers' settings: the heartbeat interval, the lease on the machine's
// tasks, how long a task waits for the others of its gang (GangWait), and how long it takes
// to notice that one of them has gone (GangPeer).
type WorkerTimes struct{ HeartbeatInterval, Lease, GangWait, GangPeer model.Micros }

// Worker is a test double for a machine with its worker.
type Worker struct {
	ID, MachineType, Zone string
	Spot                  bool
	Size                  model.Resources
	FailsTasks            bool   // every task fails on this machine
	Cell                  string // the cell that the machine belongs to, "" if there is only one cell

	sim          *Sim
	net          Net
	invariants   *InvariantChecker
	gangs        map[gangKey]map[*Task]bool
	taskDuration func(*model.Job) model.Micros
	times        WorkerTimes
	dead         bool
	hung         bool
	incarnation  uint64
	sequence     uint64
	holderToken  uint64
	tasks        []*Task
	images       map[string]bool

	nodeIndex       int
	leasedFrom      model.Micros // when the latest answered heartbeat was sent
	awaitingAnswer  bool
	lastHeartbeatAt model.Micros
	nextHeartbeatAt model.Micros // when the next heartbeat is sent
	heartbeatTimer  int          // number of the scheduled heartbeat; earlier ones are void
	reclaimedAt     model.Micros // when the cloud reclaims a spot machine, 0 if no notice was given
}

// gangKey identifies an attempt of a gang, by which its tasks find each other.
type gangKey struct {
	job     string
	attempt uint64
}

// Task statuses in heartbeats, as the protocol names them.
const (
	statusPulling   = "pulling"
	statusGathering = "gathering"
	statusRunning   = "running"
	statusSaving    = "saving"
	statusEnded     = "ended"
)

// Task is one attempt of a task on a machine.
type Task struct {
	id           model.TaskID
	attempt      uint64
	job          *model.Job
	worker       *Worker
	status       string
	cause        string // why it ended
	stateSaved   bool   // whether its state was saved before it ended
	timerVersion int    // scheduled events with an older version are void
}

func (t *Task) gangKey() gangKey { return gangKey{t.job.ID, t.attempt} }

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

// start starts the worker's first incarnation.
func (w *Worker) start() {
	w.incarnation, w.leasedFrom = 1, w.sim.Now
	w.images = map[string]bool{}
	w.nodeIndex = w.sim.Rand.IntN(len(w.net.Nodes()))
	w.scheduleHeartbeat(w.sim.Between(0, model.Second))
	w.watchLease()
}

// watchLease restarts the worker when its lease runs out.
func (w *Worker) watchLease() {
	if w.dead {
		return
	}
	// A hung machine resumes within its lease or never, so its tasks count as gone
	// once the lease has run out.
	if w.sim.Now-w.leasedFrom > w.times.Lease {
		w.Restart()
	}
	w.sim.At(w.leasedFrom+w.times.Lease+1, w.watchLease)
}

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

func (w *Worker) findTask(id model.TaskID, attempt uint64) *Task {
	for _, t := range w.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

// startTask handles a start command. A task that can't run here ends at once, with the cause
// that the protocol names for it.
func (w *Worker) startTask(id model.TaskID, attempt uint64) {
	if w.findTask(id, attempt) != nil {
		return
	}
	t := &Task{id: id, attempt: attempt, job: w.invariants.Submitted[id.Job], worker: w, status: statusPulling}
	used := w.used()
	duplicate := slices.ContainsFunc(w.tasks, func(other *Task) bool { return other.status != statusEnded && other.id == id })
	w.tasks = append(w.tasks, t)
	switch {
	case t.job == nil || id.Index >= t.job.Tasks || w.invariants.LocalJobsOnly[w.Cell] && w.invariants.HomeCells[id.Job] != w.Cell:
		t.end("unknown")
	case duplicate:
		t.end("in_use")
	case !used.Plus(t.job.Request).Fits(w.Size):
		t.end("full")
	default:
		pullTime := model.Micros(0)
		if !w.images[t.job.Image] {
			pullTime = w.sim.Between(model.Second, 3*model.Second)
		}
		t.after(pullTime, t.imagePulled)
	}
	w.heartbeatSoon()
}

// after calls run after a delay, unless the task has changed or ended before then. On a hung
// machine the call waits until the machine resumes.
func (t *Task) after(delay model.Micros, run func()) {
	t.timerVersion++
	version := t.timerVersion
	var fire func()
	fire = func() {
		if t.timerVersion != version || t.worker.dead {
			return
		}
		if t.worker.hung {
			t.worker.sim.After(model.Second/2, fire)
			return
		}
		run()
	}
	t.worker.sim.After(delay, fire)
}

// imagePulled starts a task whose image is on the machine.
func (t *Task) imagePulled() {
	w := t.worker
	w.images[t.job.Image] = true
	w.invariants.taskStarted(t)
	w.heartbeatSoon()
	switch {
	case w.invariants.completed[t.id]:
		w.invariants.ExecutedAgain++
		t.end("done")
	case w.FailsTasks:
		t.end("error")
	case w.invariants.FailingJobs[t.id.Job]:
		w.invariants.FailingJobAttempts++
		t.end("error")
	case t.job.Kind == model.Gang:
		t.joinGang()
	default:
		t.status = statusRunning
		if t.job.Kind == model.Array {
			t.after(w.taskDuration(t.job), func() {
				w.invariants.taskCompleted(t.id)
				t.end("done")
			})
		}
	}
}

// joinGang makes a task wait for the other tasks of its gang. The last one to join starts
// all of them.
func (t *Task) joinGang() {
	w, key := t.worker, t.gangKey()
	t.status = statusGathering
	if w.gangs[key] == nil {
		w.gangs[key] = map[*Task]bool{}
	}
	w.gangs[key][t] = true
	t.after(w.times.GangWait, func() { t.end("alone") })
	if len(w.gangs[key]) != t.job.Tasks {
		return
	}
	duration := w.taskDuration(t.job)
	for member := range w.gangs[key] {
		member.status = statusRunning
		member.worker.heartbeatSoon()
	}
	for _, member := range w.gangMembers(key) {
		member.after(duration, func() { member.finishGang(key) })
	}
}

// gangMembers returns the tasks of a gang that have joined and not left, sorted by index.
func (w *Worker) gangMembers(key gangKey) []*Task {
	members := slices.Collect(maps.Keys(w.gangs[key]))
	slices.SortFunc(members, func(a, b *Task) int { return a.id.Index - b.id.Index })
	return members
}

// finishGang ends all tasks of a gang at the end of its run time, or only this task if the
// gang is not complete any more.
func (t *Task) finishGang(key gangKey) {
	if len(t.worker.gangs[key]) < t.job.Tasks {
		t.end("mates_gone")
		return
	}
	members := t.worker.gangMembers(key)
	for _, member := range members {
		t.worker.invariants.taskCompleted(member.id)
	}
	for _, member := range members {
		member.end("done")
	}
}

// stop handles a stop command: the task saves its state first if the grace period allows it.
func (t *Task) stop(grace model.Micros) {
	switch {
	case t.status == statusEnded:
	case t.status == statusRunning && t.job.CheckpointInterval > 0 && grace >= t.job.SaveTime:
		t.status = statusSaving
		t.after(t.job.SaveTime, func() { t.stateSaved = true; t.end("stopped") })
		t.worker.heartbeatSoon()
	case t.status == statusSaving && grace > 0:
	default:
		t.end("stopped")
	}
}

// end ends the task with a cause. The worker reports it until the controller clears it.
func (t *Task) end(cause string) {
	t.leaveGang(cause == "done")
	t.worker.invariants.taskRemoved(t)
	t.status, t.cause = statusEnded, cause
	t.timerVersion++
	t.worker.heartbeatSoon()
}

// discard removes the task without reporting its end, because the machine or its lease is
// gone.
func (t *Task) discard() {
	t.leaveGang(false)
	t.worker.invariants.taskRemoved(t)
	t.timerVersion++
}

// leaveGang removes the task from its gang. Unless it is done, the others that run end once
// they notice, after GangPeer.
func (t *Task) leaveGang(done bool) {
	if t.job == nil || t.job.Kind != model.Gang || t.status == statusEnded {
		return
	}
	key := t.gangKey()
	if !t.worker.gangs[key][t] {
		return
	}
	delete(t.worker.gangs[key], t)
	if done {
		return
	}
	for member := range t.worker.gangs[key] {
		if member.status == statusRunning {
			member.after(member.worker.times.GangPeer, func() { member.end("mates_gone") })
		}
	}
}

// Terminate ends the machine and its tasks permanently.
func (w *Worker) Terminate() {
	if w.dead {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		t.discard()
	}
	w.tasks, w.dead = nil, true
}

// SetHung suspends the machine, or resumes it with its tasks as they were.
func (w *Worker) SetHung(hung bool) { w.hung = hung }

// Restart ends the worker's incarnation with all its tasks, and starts the next at once.
func (w *Worker) Restart() {
	for _, t := range slices.Clone(w.tasks) {
		t.discard()
	}
	w.tasks = nil
	w.incarnation++
	w.leasedFrom = w.sim.Now
	w.heartbeatSoon()
}

// used returns the resources of all tasks on the machine, including those that still pull
// their image.
func (w *Worker) used() (n model.Resources) {
	for _, t := range w.tasks {
		if t.status != statusEnded {
			n = n.Plus(t.job.Request)
		}
	}
	return n
}

// HasTaskOf reports whether a task of a job is on the machine and has not ended.
func (w *Worker) HasTaskOf(jobID string) bool {
	return slices.ContainsFunc(w.tasks, func(t *Task) bool { return t.status != statusEnded && t.id.Job == jobID })
}

// TaskCount returns the number of tasks on the machine that have not ended.
func (w *Worker) TaskCount() (n int) {
	for _, t := range w.tasks {
		if t.status != statusEnded {
			n++
		}
	}
	return n
}

// Reclaim announces that the cloud will reclaim a spot machine, and ends the machine after
// the notice period.
func (w *Worker) Reclaim(notice model.Micros) {
	w.reclaimedAt = w.sim.Now + notice
	w.heartbeatSoon()
	w.sim.After(notice, w.Terminate)
}

// Describe returns the machine's tasks with their statuses, for failure messages.
func (w *Worker) Describe() string {
	var b strings.Builder
	for _, t := range w.tasks {
		b.WriteString(t.id.String() + "=" + t.status + " ")
	}
	return w.ID + ": " + b.String()
}
