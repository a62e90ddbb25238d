package standin

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Net is the network between workers and controllers.
type Net interface {
	// Checkin carries a worker's report to a node and calls answer with the response, if
	// one arrives.
	SendHeartbeat(w *Worker, node string, body []byte, answer func(code int, body []byte))
	// Nodes are the names of all controllers.
	Nodes() []string
}

// Times are the workers' settings: the interval of reports, the lease on the machine's
// tasks, how long a task waits for the others of its gang, and after how long it notices
// that one of them has gone.
type WorkerTimes struct{ HeartbeatInterval, Lease, GangWait, GangPeer model.Micros }

// Worker is a stand-in for a machine with its worker.
type Worker struct {
	ID, MachineType, Zone string
	Spot                  bool
	Size                  model.Resources
	FailsTasks            bool   // every task fails on this machine
	Cell                  string // the cell that the machine belongs to, "": there is one

	sim          *Sim
	net          Net
	rules        *InvariantChecker
	gangs        map[gangKey]map[*Task]bool
	taskDuration func(*model.Job) model.Micros
	times        WorkerTimes
	dead         bool
	hung         bool
	session      uint64
	sequence     uint64
	holderToken  uint64
	tasks        []*Task
	images       map[string]bool

	nodeIndex       int
	leasedFrom      model.Micros // when the last answered report was sent
	awaitingAnswer  bool
	lastHeartbeatAt model.Micros
	nextHeartbeatAt model.Micros // when the next report goes out
	heartbeatTimer  int
	recallAt        model.Micros // when a spot machine is taken away, 0: no notice was given
}

// gangKey names an attempt of a gang: its tasks find each other by it.
type gangKey struct {
	job     string
	attempt uint64
}

// Statuses of a task in a report, as the protocol names them.
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
	stateSaved   bool   // its state was saved before it ended
	timerVersion int    // planned events with an older number are void
}

func (t *Task) gangKey() gangKey { return gangKey{t.job.ID, t.attempt} }

// Messages of the workers' protocol. They are declared here anew, so that a mistake in the
// service's own declarations is found.
type (
	reportedTask struct {
		Piece  string `json:"piece"`
		Try    uint64 `json:"try"`
		Status string `json:"status"`
		Cause  string `json:"cause,omitempty"`
		Stored bool   `json:"stored,omitempty"`
	}
	heartbeat struct {
		Host    string         `json:"host"`
		Address string         `json:"address"`
		Build   string         `json:"build"`
		Yard    string         `json:"yard"`
		Loaners bool           `json:"loaners"`
		Tenure  uint64         `json:"tenure"`
		Tally   uint64         `json:"tally"`
		Warrant uint64         `json:"warrant"`
		Pieces  []reportedTask `json:"pieces"`
		RecallS *float64       `json:"recallS"`
	}
	heartbeatAnswer struct {
		Warrant uint64          `json:"warrant"`
		Steward string          `json:"steward"`
		Orders  []workerCommand `json:"orders"`
	}
	workerCommand struct {
		Verb    string  `json:"verb"`
		Piece   string  `json:"piece"`
		Try     uint64  `json:"try"`
		LeewayS float64 `json:"leewayS"`
	}
)

// answerTimeout is how long a worker waits for the answer to a report.
const answerTimeout = 4 * model.Second

func (w *Worker) start() {
	w.session, w.leasedFrom = 1, w.sim.Now
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
	// A hanging machine resumes within its lease or not at all, so its tasks
	// count as gone from then on.
	if w.sim.Now-w.leasedFrom > w.times.Lease {
		w.Restart()
	}
	w.sim.At(w.leasedFrom+w.times.Lease+1, w.watchLease)
}

// plan has the next report go out after that delay, unless one is due earlier.
func (w *Worker) scheduleHeartbeat(delay model.Micros) {
	at := w.sim.Now + delay
	if w.nextHeartbeatAt > w.sim.Now && w.nextHeartbeatAt <= at {
		return
	}
	w.nextHeartbeatAt = at
	w.heartbeatTimer++
	seq := w.heartbeatTimer
	w.sim.At(at, func() {
		if seq == w.heartbeatTimer {
			w.sendHeartbeat()
		}
	})
}

// changed has a report go out soon, but not within half a second of the last one.
func (w *Worker) heartbeatSoon() {
	w.scheduleHeartbeat(max(0, w.lastHeartbeatAt+model.Second/2-w.sim.Now))
}

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
	sent, session, answered := w.sim.Now, w.session, false
	nodes := w.net.Nodes()
	done := func(code int, body []byte) {
		if answered {
			return
		}
		answered, w.awaitingAnswer = true, false
		if !w.dead {
			w.handleAnswer(code, body, sent, session)
		}
	}
	w.sim.After(answerTimeout, func() { done(0, nil) })
	w.net.SendHeartbeat(w, nodes[w.nodeIndex%len(nodes)], body, done)
}

// reportBody is the report of what is on the machine now.
func (w *Worker) heartbeatBody() []byte {
	msg := heartbeat{Host: w.ID, Address: "10.1.0.1:9000", Build: w.MachineType, Yard: w.Zone, Loaners: w.Spot,
		Tenure: w.session, Tally: w.sequence, Warrant: w.holderToken, Pieces: []reportedTask{}}
	for _, t := range w.tasks {
		msg.Pieces = append(msg.Pieces, reportedTask{t.id.String(), t.attempt, t.status, t.cause, t.stateSaved})
	}
	if w.recallAt > 0 {
		left := max(0, w.recallAt-w.sim.Now).Seconds()
		msg.RecallS = &left
	}
	body, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return body
}

// answer takes the answer to a report that was sent at that time, in that session.
func (w *Worker) handleAnswer(code int, body []byte, sent model.Micros, session uint64) {
	var a heartbeatAnswer
	if len(body) > 0 {
		if err := json.Unmarshal(body, &a); err != nil {
			panic(err)
		}
	}
	nodes := w.net.Nodes()
	if code == 421 && a.Steward != "" && a.Steward != nodes[w.nodeIndex%len(nodes)] && slices.Contains(nodes, a.Steward) {
		w.nodeIndex = slices.Index(nodes, a.Steward)
		w.scheduleHeartbeat(w.sim.Between(0, model.Second/2))
		return
	}
	if code != 200 {
		w.nodeIndex++
		w.scheduleHeartbeat(model.Second)
		return
	}
	w.scheduleHeartbeat(w.times.HeartbeatInterval*3/4 + w.sim.Between(0, w.times.HeartbeatInterval/2))
	if w.hung || a.Warrant < w.holderToken || session != w.session {
		return
	}
	w.leasedFrom = max(w.leasedFrom, sent)
	if a.Warrant > w.holderToken {
		w.holderToken = a.Warrant
		w.heartbeatSoon()
	}
	for _, command := range a.Orders {
		w.execute(command)
	}
}

// carryOut does what a command of an answer says.
func (w *Worker) execute(command workerCommand) {
	id, ok := model.ParseTaskID(command.Piece)
	if !ok {
		panic("bad piece " + command.Piece)
	}
	switch command.Verb {
	case "start":
		w.startTask(id, command.Try)
	case "stop":
		if t := w.findTask(id, command.Try); t != nil {
			t.stop(model.Seconds(command.LeewayS))
		}
	case "clear":
		if t := w.findTask(id, command.Try); t != nil && t.status == statusEnded {
			w.tasks = slices.DeleteFunc(w.tasks, func(other *Task) bool { return other == t })
		}
	default:
		panic("bad verb " + command.Verb)
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

func (w *Worker) startTask(id model.TaskID, attempt uint64) {
	if w.findTask(id, attempt) != nil {
		return
	}
	t := &Task{id: id, attempt: attempt, job: w.rules.Submitted[id.Job], worker: w, status: statusPulling}
	used := w.used()
	busy := slices.ContainsFunc(w.tasks, func(o *Task) bool { return o.status != statusEnded && o.id == id })
	w.tasks = append(w.tasks, t)
	switch {
	case t.job == nil || id.Index >= t.job.Tasks || w.rules.LocalJobsOnly[w.Cell] && w.rules.HomeCells[id.Job] != w.Cell:
		t.end("unknown")
	case busy:
		t.end("in_use")
	case !used.Plus(t.job.Request).Fits(w.Size):
		t.end("full")
	default:
		pull := model.Micros(0)
		if !w.images[t.job.Image] {
			pull = w.sim.Between(model.Second, 3*model.Second)
		}
		t.after(pull, t.imagePulled)
	}
	w.heartbeatSoon()
}

// after runs f unless the task has changed or left meanwhile; a hanging machine
// waits with it.
func (t *Task) after(d model.Micros, f func()) {
	t.timerVersion++
	seq := t.timerVersion
	var due func()
	due = func() {
		if t.timerVersion != seq || t.worker.dead {
			return
		}
		if t.worker.hung {
			t.worker.sim.After(model.Second/2, due)
			return
		}
		f()
	}
	t.worker.sim.After(d, due)
}

// ready begins a task whose image has been pulled.
func (t *Task) imagePulled() {
	w := t.worker
	w.images[t.job.Image] = true
	w.rules.taskStarted(t)
	w.heartbeatSoon()
	switch {
	case w.rules.completed[t.id]:
		w.rules.ExecutedAgain++
		t.end("done")
	case w.FailsTasks:
		t.end("error")
	case w.rules.FailingJobs[t.id.Job]:
		w.rules.FailingJobAttempts++
		t.end("error")
	case t.job.Kind == model.Gang:
		t.joinGang()
	default:
		t.status = statusRunning
		if t.job.Kind == model.Array {
			t.after(w.taskDuration(t.job), func() {
				w.rules.taskCompleted(t.id)
				t.end("done")
			})
		}
	}
}

// joinGang has a task wait for the others of its gang; the last one has all of them run.
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
	run := w.taskDuration(t.job)
	for member := range w.gangs[key] {
		member.status = statusRunning
		member.worker.heartbeatSoon()
	}
	for _, member := range w.gangMembers(key) {
		member.after(run, func() { member.finishGang(key) })
	}
}

// gangMembers are the tasks of a gang that are there, in their order.
func (w *Worker) gangMembers(key gangKey) []*Task {
	members := slices.Collect(maps.Keys(w.gangs[key]))
	slices.SortFunc(members, func(a, b *Task) int { return a.id.Index - b.id.Index })
	return members
}

func (t *Task) finishGang(key gangKey) {
	if len(t.worker.gangs[key]) < t.job.Tasks {
		t.end("mates_gone")
		return
	}
	members := t.worker.gangMembers(key)
	for _, member := range members {
		t.worker.rules.taskCompleted(member.id)
	}
	for _, member := range members {
		member.end("done")
	}
}

func (t *Task) stop(leeway model.Micros) {
	switch {
	case t.status == statusEnded:
	case t.status == statusRunning && t.job.CheckpointInterval > 0 && leeway >= t.job.SaveTime:
		t.status = statusSaving
		t.after(t.job.SaveTime, func() { t.stateSaved = true; t.end("stopped") })
		t.worker.heartbeatSoon()
	case t.status == statusSaving && leeway > 0:
	default:
		t.end("stopped")
	}
}

func (t *Task) end(cause string) {
	t.leaveGang(cause == "done")
	t.worker.rules.taskRemoved(t)
	t.status, t.cause = statusEnded, cause
	t.timerVersion++
	t.worker.heartbeatSoon()
}

// vanish is an end without a trace: the machine or its lease is gone.
func (t *Task) discard() {
	t.leaveGang(false)
	t.worker.rules.taskRemoved(t)
	t.timerVersion++
}

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

// Die ends the machine with everything on it, for good.
func (w *Worker) Terminate() {
	if w.dead {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		t.discard()
	}
	w.tasks, w.dead = nil, true
}

// Hang stops the machine, or has it resume with its tasks as they were.
func (w *Worker) SetHung(on bool) { w.hung = on }

// Restart ends the worker's session with all its tasks, and begins the next at once.
func (w *Worker) Restart() {
	for _, t := range slices.Clone(w.tasks) {
		t.discard()
	}
	w.tasks = nil
	w.session++
	w.leasedFrom = w.sim.Now
	w.heartbeatSoon()
}

// used is what the tasks on the machine take, fetching ones included.
func (w *Worker) used() (n model.Resources) {
	for _, t := range w.tasks {
		if t.status != statusEnded {
			n = n.Plus(t.job.Request)
		}
	}
	return n
}

// Has tells whether a task of a job is on the machine and has not ended.
func (w *Worker) HasTaskOf(ref string) bool {
	return slices.ContainsFunc(w.tasks, func(t *Task) bool { return t.status != statusEnded && t.id.Job == ref })
}

// Tasks is the number of tasks on the machine that have not ended.
func (w *Worker) TaskCount() (n int) {
	for _, t := range w.tasks {
		if t.status != statusEnded {
			n++
		}
	}
	return n
}

// Recall gives the notice that a spot machine is taken away, and takes it away after that
// time.
func (w *Worker) Recall(notice model.Micros) {
	w.recallAt = w.sim.Now + notice
	w.heartbeatSoon()
	w.sim.After(notice, w.Terminate)
}

// Describe lists the machine's tasks with their statuses, for failure messages.
func (w *Worker) Describe() string {
	var b strings.Builder
	for _, t := range w.tasks {
		b.WriteString(t.id.String() + "=" + t.status + " ")
	}
	return w.ID + ": " + b.String()
}
