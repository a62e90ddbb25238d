package standin

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
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

// Task statuses in heartbeats, as the protocol names them.
const (
	statusPulling   = "pulling"
	statusGathering = "gathering"
	statusRunning   = "running"
	statusSaving    = "saving"
	statusEnded     = "ended"
)

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
