package standin

import (
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// gangKey identifies an attempt of a gang, by which its tasks find each other.
type gangKey struct {
	job     string
	attempt uint64
}

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
