package standin

import (
	"encoding/json"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Net carries a worker's report to a node. The answer comes with code 0 if
// there was none within the worker's patience.
type Net interface {
	Checkin(w *Worker, node string, body []byte, answer func(code int, body []byte))
	Nodes() []string
}

// Times are the workers' settings.
type Times struct{ Report, Lease, GangWait, GangPeer model.Micros }

// Worker is a stand-in for a machine's worker.
type Worker struct {
	ID, MachineType, Zone string
	Spot                  bool
	Size                  model.Resources
	Sick                  bool
	Cell                  string // the cell that the machine belongs to, "": there is one

	sim      *Sim
	net      Net
	rules    *Rules
	gangs    map[gangKey]map[*Task]bool
	run      func(*model.Job) model.Micros
	t        Times
	dead     bool
	hung     bool
	session  uint64
	sequence uint64
	token    uint64
	tasks    []*Task
	images   map[string]bool

	node     int
	leased   model.Micros // when the last answered report was sent
	inFlight bool
	lastSent model.Micros
	due      model.Micros
	dueSeq   int
	recall   model.Micros
}

type gangKey struct {
	job string
	try uint64
}

// Task is an attempt on a machine.
type Task struct {
	id     model.TaskID
	try    uint64
	job    *model.Job
	w      *Worker
	status string
	cause  string
	stored bool
	seq    int // events of an earlier state are void
}

func (w *Worker) begin() {
	w.session, w.leased = 1, w.sim.Now
	w.images = map[string]bool{}
	w.node = w.sim.Rng.IntN(len(w.net.Nodes()))
	w.plan(w.sim.Between(0, model.Second))
	w.watchLease()
}

func (w *Worker) watchLease() {
	if w.dead {
		return
	}
	// A hanging machine resumes within its lease or not at all, so its tasks
	// count as gone from then on.
	if w.sim.Now-w.leased > w.t.Lease {
		w.Restart()
	}
	w.sim.At(w.leased+w.t.Lease+1, w.watchLease)
}

// plan has the next report go out at that delay, unless one is due earlier.
func (w *Worker) plan(d model.Micros) {
	at := w.sim.Now + d
	if w.due > w.sim.Now && w.due <= at {
		return
	}
	w.due = at
	w.dueSeq++
	seq := w.dueSeq
	w.sim.At(at, func() {
		if seq == w.dueSeq {
			w.report()
		}
	})
}

func (w *Worker) changed() { w.plan(max(0, w.lastSent+model.Second/2-w.sim.Now)) }

func (w *Worker) report() {
	if w.dead || w.inFlight {
		return
	}
	if w.hung {
		w.plan(200 * model.Millisecond)
		return
	}
	w.sequence++
	type piece struct {
		Piece  string `json:"piece"`
		Try    uint64 `json:"try"`
		Status string `json:"status"`
		Cause  string `json:"cause,omitempty"`
		Stored bool   `json:"stored,omitempty"`
	}
	ps := []piece{}
	for _, t := range w.tasks {
		ps = append(ps, piece{t.id.String(), t.try, t.status, t.cause, t.stored})
	}
	msg := map[string]any{"host": w.ID, "address": "10.1.0.1:9000", "build": w.MachineType, "yard": w.Zone, "loaners": w.Spot,
		"tenure": w.session, "tally": w.sequence, "warrant": w.token, "pieces": ps, "recallS": nil}
	if w.recall > 0 {
		msg["recallS"] = max(0, w.recall-w.sim.Now).Seconds()
	}
	body, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	w.inFlight, w.lastSent = true, w.sim.Now
	sent, session, answered := w.sim.Now, w.session, false
	nodes := w.net.Nodes()
	done := func(code int, body []byte) {
		if answered {
			return
		}
		answered, w.inFlight = true, false
		if !w.dead {
			w.answer(code, body, sent, session)
		}
	}
	w.sim.After(4*model.Second, func() { done(0, nil) })
	w.net.Checkin(w, nodes[w.node%len(nodes)], body, done)
}

func (w *Worker) answer(code int, body []byte, sent model.Micros, session uint64) {
	var a struct {
		Warrant uint64 `json:"warrant"`
		Steward string `json:"steward"`
		Orders  []struct {
			Verb    string  `json:"verb"`
			Piece   string  `json:"piece"`
			Try     uint64  `json:"try"`
			LeewayS float64 `json:"leewayS"`
		} `json:"orders"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &a); err != nil {
			panic(err)
		}
	}
	nodes := w.net.Nodes()
	if code == 421 && a.Steward != "" && a.Steward != nodes[w.node%len(nodes)] && slices.Contains(nodes, a.Steward) {
		w.node = slices.Index(nodes, a.Steward)
		w.plan(w.sim.Between(0, model.Second/2))
		return
	}
	if code != 200 {
		w.node++
		w.plan(model.Second)
		return
	}
	w.plan(w.t.Report*3/4 + w.sim.Between(0, w.t.Report/2))
	if w.hung || a.Warrant < w.token || session != w.session {
		return
	}
	w.leased = max(w.leased, sent)
	if a.Warrant > w.token {
		w.token = a.Warrant
		w.changed()
	}
	for _, o := range a.Orders {
		id, ok := model.ParseTaskID(o.Piece)
		if !ok {
			panic("bad piece " + o.Piece)
		}
		switch o.Verb {
		case "start":
			w.start(id, o.Try)
		case "stop":
			if t := w.find(id, o.Try); t != nil {
				t.stop(model.Seconds(o.LeewayS))
			}
		case "clear":
			if t := w.find(id, o.Try); t != nil && t.status == "ended" {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *Task) bool { return x == t })
			}
		default:
			panic("bad verb " + o.Verb)
		}
	}
}

func (w *Worker) find(id model.TaskID, attempt uint64) *Task {
	for _, t := range w.tasks {
		if t.id == id && t.try == attempt {
			return t
		}
	}
	return nil
}

func (w *Worker) start(id model.TaskID, attempt uint64) {
	if w.find(id, attempt) != nil {
		return
	}
	t := &Task{id: id, try: attempt, job: w.rules.Subs[id.Job], w: w, status: "pulling"}
	used := w.used()
	busy := slices.ContainsFunc(w.tasks, func(o *Task) bool { return o.status != "ended" && o.id == id })
	w.tasks = append(w.tasks, t)
	switch {
	case t.job == nil || id.Index >= t.job.Tasks || w.rules.Unknowing[w.Cell] && w.rules.Homes[id.Job] != w.Cell:
		t.exit("unknown")
	case busy:
		t.exit("in_use")
	case !used.Plus(t.job.Request).Fits(w.Size):
		t.exit("full")
	default:
		d := model.Micros(0)
		if !w.images[t.job.Image] {
			d = w.sim.Between(model.Second, 3*model.Second)
		}
		t.after(d, t.ready)
	}
	w.changed()
}

// after runs f unless the task has changed or left meanwhile; a hanging machine
// waits with it.
func (t *Task) after(d model.Micros, f func()) {
	t.seq++
	seq := t.seq
	var due func()
	due = func() {
		if t.seq != seq || t.w.dead {
			return
		}
		if t.w.hung {
			t.w.sim.After(model.Second/2, due)
			return
		}
		f()
	}
	t.w.sim.After(d, due)
}

func (t *Task) ready() {
	w := t.w
	w.images[t.job.Image] = true
	w.rules.enter(t)
	w.changed()
	switch {
	case w.rules.completed[t.id]:
		w.rules.ExecutedAgain++
		t.exit("done")
	case w.Sick:
		t.exit("error")
	case w.rules.Mistaken[t.id.Job]:
		w.rules.MistakenTries++
		t.exit("error")
	case t.job.Kind == model.Gang:
		t.status = "gathering"
		k := gangKey{t.job.ID, t.try}
		if w.gangs[k] == nil {
			w.gangs[k] = map[*Task]bool{}
		}
		w.gangs[k][t] = true
		t.after(w.t.GangWait, func() { t.exit("alone") })
		if len(w.gangs[k]) == t.job.Tasks {
			run := w.run(t.job)
			for m := range w.gangs[k] {
				m.status = "running"
				m.w.changed()
			}
			var order []*Task
			for m := range w.gangs[k] {
				order = append(order, m)
			}
			slices.SortFunc(order, func(a, b *Task) int { return a.id.Index - b.id.Index })
			for _, m := range order {
				m.after(run, func() { m.gangDone(k) })
			}
		}
	default:
		t.status = "running"
		if t.job.Kind == model.Array {
			t.after(w.run(t.job), func() {
				w.rules.finish(t.id)
				t.exit("done")
			})
		}
	}
}

func (t *Task) gangDone(k gangKey) {
	if len(t.w.gangs[k]) < t.job.Tasks {
		t.exit("mates_gone")
		return
	}
	members := make([]*Task, 0, t.job.Tasks)
	for m := range t.w.gangs[k] {
		members = append(members, m)
	}
	for _, m := range members {
		t.w.rules.finish(m.id)
	}
	slices.SortFunc(members, func(a, b *Task) int { return a.id.Index - b.id.Index })
	for _, m := range members {
		m.exit("done")
	}
}

func (t *Task) stop(leeway model.Micros) {
	switch {
	case t.status == "ended":
	case t.status == "running" && t.job.CheckpointInterval > 0 && leeway >= t.job.SaveTime:
		t.status = "saving"
		t.after(t.job.SaveTime, func() { t.stored = true; t.exit("stopped") })
		t.w.changed()
	case t.status == "saving" && leeway > 0:
	default:
		t.exit("stopped")
	}
}

func (t *Task) exit(cause string) {
	t.leaveGang(cause == "done")
	t.w.rules.leave(t)
	t.status, t.cause = "ended", cause
	t.seq++
	t.w.changed()
}

// vanish is an end without a trace: the machine or its lease is gone.
func (t *Task) vanish() {
	t.leaveGang(false)
	t.w.rules.leave(t)
	t.seq++
}

func (t *Task) leaveGang(done bool) {
	if t.job == nil || t.job.Kind != model.Gang || t.status == "ended" {
		return
	}
	k := gangKey{t.job.ID, t.try}
	if !t.w.gangs[k][t] {
		return
	}
	delete(t.w.gangs[k], t)
	if done {
		return
	}
	for m := range t.w.gangs[k] {
		if m.status == "running" {
			m.after(m.w.t.GangPeer, func() { m.exit("mates_gone") })
		}
	}
}

// Die ends the machine with everything on it.
func (w *Worker) Die() {
	if w.dead {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		t.vanish()
	}
	w.tasks, w.dead = nil, true
}

// Hang stops or resumes the machine.
func (w *Worker) Hang(on bool) { w.hung = on }

// Restart ends the session with all its tasks, and begins the next at once.
func (w *Worker) Restart() {
	for _, t := range slices.Clone(w.tasks) {
		t.vanish()
	}
	w.tasks = nil
	w.session++
	w.leased = w.sim.Now
	w.changed()
}

// used is what the tasks on the machine take, fetching ones included.
func (w *Worker) used() (n model.Resources) {
	for _, t := range w.tasks {
		if t.status != "ended" {
			n = n.Plus(t.job.Request)
		}
	}
	return n
}

// Has tells whether a task of the job is on the machine.
func (w *Worker) Has(ref string) bool {
	return slices.ContainsFunc(w.tasks, func(t *Task) bool { return t.status != "ended" && t.id.Job == ref })
}

// Tasks is the number of tasks on the machine.
func (w *Worker) Tasks() (n int) {
	for _, t := range w.tasks {
		if t.status != "ended" {
			n++
		}
	}
	return n
}

// Recall gives a spot notice.
func (w *Worker) Recall(in model.Micros) {
	w.recall = w.sim.Now + in
	w.changed()
	w.sim.After(in, w.Die)
}

// Describe is for failure messages.
func (w *Worker) Describe() string {
	var b strings.Builder
	for _, t := range w.tasks {
		b.WriteString(t.id.String() + "=" + t.status + " ")
	}
	return w.ID + ": " + b.String()
}
