package standin

import (
	"encoding/json"
	"fmt"
	"slices"

	"woadweir/internal/core/model"
)

// Rules checks the invariants that hold under every failure. It learns from the workers what
// is on machines, and from the users what they asked for and were answered.
type InvariantChecker struct {
	Teams map[string]*model.Team
	// Cancel is how long after a confirmed cancellation the job's tasks may be on machines.
	CancelLimit model.Micros
	// Broken says which rule was broken, when and how.
	Violations []string

	// Subs are the jobs that users submitted, also those that were not accepted.
	Submitted map[string]*model.Job
	// Homes are the cells at which jobs were submitted, where there are several.
	HomeCells map[string]string
	// Accepted are the jobs that a user was told are accepted.
	Accepted map[string]bool
	// Awaits are, for each job, those that it directly depends on.
	Awaits map[string][]string
	// Calm is when all failures were over, 0 if they are not.
	FaultsOverAt model.Micros
	// Finished, if set, is called at the moment when a job's last task completes.
	OnJobCompleted func(ref string)
	// Starts counts the tasks that came onto a machine.
	Starts int
	// CancelledStarts are starts of tasks whose job had been reported as withdrawn:
	// commands that were on their way. They break no rule while cancel lasts.
	CancelledStarts int
	// Unknowing are the cells whose workers find no description of other cells' jobs.
	LocalJobsOnly map[string]bool
	// Observe, if set, is told of every task that comes onto a machine, and whether it had
	// completed before.
	OnTaskStarted func(cell string, id model.TaskID, again bool)
	// ExecutedAgain are starts of tasks that had completed before: no word of that had
	// come to the service, as after the loss of a machine.
	ExecutedAgain int
	// Mistaken are jobs that were submitted with a mistake: their tasks fail on every
	// machine. MistakenTries counts the tasks of theirs that got their image and failed.
	FailingJobs        map[string]bool
	FailingJobAttempts int

	sim               *Sim
	onMachines        map[model.TaskID]map[*Task]bool // what is on machines
	used              map[limitKey]model.Resources
	completed         map[model.TaskID]bool
	cancelRequestedAt map[string]model.Micros // when a user asked to cancel a job
	reportedEnd       map[string]string       // the end that a user was told of a job
	endReportedAt     map[string]model.Micros
	lastAnsweredAt    map[string]model.Micros // when a question about a job was last answered
	waitingSince      map[string]model.Micros // since when a job waits although there is room
}

// NewRules returns rules of which none is broken yet.
func NewInvariantChecker(sim *Sim, teams map[string]*model.Team, cancel model.Micros) *InvariantChecker {
	return &InvariantChecker{sim: sim, Teams: teams, CancelLimit: cancel, Submitted: map[string]*model.Job{}, onMachines: map[model.TaskID]map[*Task]bool{},
		used: map[limitKey]model.Resources{}, HomeCells: map[string]string{}, completed: map[model.TaskID]bool{}, cancelRequestedAt: map[string]model.Micros{},
		reportedEnd: map[string]string{}, endReportedAt: map[string]model.Micros{}, Accepted: map[string]bool{}, Awaits: map[string][]string{}, lastAnsweredAt: map[string]model.Micros{}, waitingSince: map[string]model.Micros{}}
}

// forgottenAfter is how long no question about an accepted job may stay without an
// answer once all troubles are over, however others fare.
const maxUnanswered = 75 * model.Second

func (r *InvariantChecker) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%.3f ", r.sim.Now.Seconds())+fmt.Sprintf(format, args...))
}

// enter notes that a task is on its machine: it has its image.
func (r *InvariantChecker) taskStarted(t *Task) {
	r.Starts++
	j := t.job
	if r.OnTaskStarted != nil {
		r.OnTaskStarted(t.worker.Cell, t.id, r.completed[t.id])
	}
	if len(r.onMachines[t.id]) > 0 {
		r.addViolation("ran_twice: %s on %s", t.id, t.worker.ID)
	}
	if !j.Allows(t.worker.MachineType, t.worker.Zone, t.worker.Spot) {
		r.addViolation("wrong_place: %s on %s", t.id, t.worker.ID)
	}
	for _, a := range r.Awaits[j.ID] {
		if !r.isComplete(a) {
			r.addViolation("too_early: %s starts before %s is done", t.id, a)
		}
	}
	r.checkZones(t)
	if r.onMachines[t.id] == nil {
		r.onMachines[t.id] = map[*Task]bool{}
	}
	r.onMachines[t.id][t] = true
	for _, a := range r.limitKeys(t) {
		r.used[a] = r.used[a].Plus(j.Request)
		if !r.Teams[j.Team].WithinLimit(r.used[a]) {
			r.addViolation("quota: %v uses %v", a, r.used[a])
		}
	}
	if r.reportedEnd[j.ID] == model.JobCancelled {
		r.CancelledStarts++
	}
	if r.cancelOverdue(j.ID) {
		r.addViolation("ran_cancelled: %s starts", t.id)
	}
}

// checkZones checks that a task comes into a zone where the job's other tasks allow it.
func (r *InvariantChecker) checkZones(t *Task) {
	j := t.job
	if !j.SameZone && !j.Spread {
		return
	}
	inZone, elsewhere := 0, 0
	for index := range j.Tasks {
		for other := range r.onMachines[model.TaskID{Job: j.ID, Index: index}] {
			if other.worker.Zone == t.worker.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if j.SameZone && elsewhere > 0 || inZone+1 > j.MaxPerZone() {
		r.addViolation("wrong_place: %s in %s: %d there, %d elsewhere", t.id, t.worker.Zone, inZone, elsewhere)
	}
}

// overdue tells that a user was told of a job's cancellation so long ago that none of
// its tasks may be on a machine any more.
func (r *InvariantChecker) cancelOverdue(ref string) bool {
	return r.reportedEnd[ref] == model.JobCancelled && r.sim.Now > r.endReportedAt[ref]+r.CancelLimit
}

// Check checks what is on machines now: a task that never leaves would not be
// noticed otherwise.
func (r *InvariantChecker) CheckCancelled() {
	for id, ts := range r.onMachines {
		if !r.cancelOverdue(id.Job) {
			continue
		}
		for t := range ts {
			r.addViolation("ran_cancelled: %s is on %s", id, t.worker.ID)
		}
	}
}

// finish notes that a task has completed.
func (r *InvariantChecker) taskCompleted(id model.TaskID) {
	r.completed[id] = true
	if r.OnJobCompleted != nil && r.isComplete(id.Job) {
		r.OnJobCompleted(id.Job)
	}
}

// complete tells whether all of a job's tasks are done.
func (r *InvariantChecker) isComplete(ref string) bool {
	for n := range r.Submitted[ref].Tasks {
		if !r.completed[model.TaskID{Job: ref, Index: n}] {
			return false
		}
	}
	return true
}

// DoneTasks tells how many tasks of a job have completed.
func (r *InvariantChecker) CompletedTasks(ref string) (n int) {
	for id := range r.completed {
		if id.Job == ref {
			n++
		}
	}
	return n
}

// before calls f for every job that a job needs, directly or through others.
func (r *InvariantChecker) eachDependency(ref string, f func(ref string)) {
	seen := map[string]bool{}
	for work := slices.Clone(r.Awaits[ref]); len(work) > 0; work = work[1:] {
		if a := work[0]; !seen[a] {
			seen[a] = true
			f(a)
			work = append(work, r.Awaits[a]...)
		}
	}
}

// leave notes that a task is off its machine.
func (r *InvariantChecker) taskRemoved(t *Task) {
	if !r.onMachines[t.id][t] {
		return
	}
	delete(r.onMachines[t.id], t)
	for _, a := range r.limitKeys(t) {
		r.used[a] = r.used[a].Minus(t.job.Request)
	}
	if r.cancelOverdue(t.job.ID) {
		r.addViolation("ran_cancelled: %s was on %s for %.1f s", t.id, t.worker.ID, (r.sim.Now - r.endReportedAt[t.job.ID]).Seconds())
	}
}

// tell checks an answer whose body has been read.
func (r *InvariantChecker) checkAnswer(ref string, code int, status string, asked model.Micros) {
	if at, ok := r.endReportedAt[ref]; ok && asked <= at {
		return // asked before the end was told: either answer is right
	}
	if code != 200 && code != 201 {
		r.checkRefusal(ref, code)
		return
	}
	r.lastAnsweredAt[ref] = r.sim.Now
	j := r.Submitted[ref]
	if j == nil {
		r.addViolation("invented: %s", ref)
		return
	}
	r.Accepted[ref] = true
	if old := r.reportedEnd[ref]; old != "" && old != status {
		r.addViolation("went_back: %s was %s, is %s", ref, old, status)
	}
	if !r.checkStatus(ref, status, asked) {
		return
	}
	if r.reportedEnd[ref] == "" {
		r.reportedEnd[ref] = status
		r.endReportedAt[ref] = r.sim.Now
	}
}

// checkRefusal checks an answer that refuses a request about a job, or the lack of one.
func (r *InvariantChecker) checkRefusal(ref string, code int) {
	if !r.Accepted[ref] {
		return
	}
	switch code {
	case 400, 404, 422:
		r.addViolation("forgotten: %s answered %d", ref, code)
	default:
		if r.FaultsOverAt > 0 && r.sim.Now-max(r.FaultsOverAt, r.lastAnsweredAt[ref]) > maxUnanswered {
			r.addViolation("forgotten: no question about %s is answered", ref)
		}
	}
}

// checkStatus checks a status against what has happened, and tells whether it is an end.
func (r *InvariantChecker) checkStatus(ref, status string, asked model.Micros) (ended bool) {
	switch status {
	case "done":
		if !r.isComplete(ref) {
			r.addViolation("not_done: %s", ref)
		}
		return true
	case model.JobCancelled:
		if !r.cancelRequested(ref) {
			r.addViolation("went_back: %s withdrawn unasked", ref)
		}
		return true
	}
	r.eachDependency(ref, func(earlier string) {
		if at, ok := r.endReportedAt[earlier]; ok && r.reportedEnd[earlier] == model.JobCancelled && asked > at+r.CancelLimit {
			r.addViolation("orphaned: %s is %s after %s was withdrawn", ref, status, earlier)
		}
	})
	return false
}

// cancellationAsked tells whether a user asked to cancel a job, or one that it needs.
func (r *InvariantChecker) cancelRequested(ref string) bool {
	_, asked := r.cancelRequestedAt[ref]
	r.eachDependency(ref, func(earlier string) {
		_, ok := r.cancelRequestedAt[earlier]
		asked = asked || ok
	})
	return asked
}

// Ended is the status of a job that has ended, as users were told it, or "".
func (r *InvariantChecker) ReportedEnd(ref string) string { return r.reportedEnd[ref] }

// OnMachine tells how many tasks are on machines.
func (r *InvariantChecker) TasksOnMachines() (n int) {
	for _, ts := range r.onMachines {
		n += len(ts)
	}
	return n
}

// OnMachineOf tells how many tasks of a job are on machines.
func (r *InvariantChecker) JobTasksOnMachines(ref string) (n int) {
	for id, ts := range r.onMachines {
		if id.Job == ref {
			n += len(ts)
		}
	}
	return n
}

// ToldAt is when a user was first told of a job's end, 0 if that has not happened.
func (r *InvariantChecker) EndReportedAt(ref string) model.Micros { return r.endReportedAt[ref] }

// Used is what a team's tasks take of machines.
func (r *InvariantChecker) Used(team string) model.Resources { return r.used[limitKey{team: team}] }

// account is what counts towards a team's limit: its tasks on a cell's machines, or those
// of the jobs that were submitted at a cell, wherever they run.
type limitKey struct {
	team, cell string
	byHome     bool
}

// accounts are those to which a task counts.
func (r *InvariantChecker) limitKeys(t *Task) [2]limitKey {
	return [2]limitKey{{t.job.Team, t.worker.Cell, false}, {t.job.Team, r.HomeCells[t.job.ID], true}}
}

// waitsMost is how long a job may wait, with all troubles over, while a machine that
// fits has room and its team is under its limit.
const maxWait = 90 * model.Second

// Room checks that no job waits longer than that. It is to be called about every second,
// with the machines that are up and can be reached.
func (r *InvariantChecker) CheckWaiting(ws []*Worker) {
	for ref := range r.Accepted {
		if !r.isWaiting(ref) || !r.canStart(r.Submitted[ref], ws) {
			delete(r.waitingSince, ref)
			continue
		}
		from, ok := r.waitingSince[ref]
		if !ok {
			r.waitingSince[ref] = r.sim.Now
		} else if r.sim.Now-from > maxWait {
			r.addViolation("left waiting: %s, for %.0f s beside room", ref, (r.sim.Now - from).Seconds())
			r.waitingSince[ref] = r.sim.Now
		}
	}
}

// idle tells that a job could run, and nothing of it is on a machine.
func (r *InvariantChecker) isWaiting(ref string) bool {
	if _, asked := r.cancelRequestedAt[ref]; asked || r.reportedEnd[ref] != "" || r.JobTasksOnMachines(ref) > 0 || r.isComplete(ref) {
		return false
	}
	for _, a := range r.Awaits[ref] {
		if !r.isComplete(a) {
			return false
		}
	}
	return true
}

// fits tells whether a job could begin: one task of it, or all of a gang.
func (r *InvariantChecker) canStart(j *model.Job, ws []*Worker) bool {
	want := 1
	if j.Kind == model.Gang {
		want = j.Tasks
	}
	left := r.Teams[j.Team].Limit.Minus(r.Used(j.Team))
	need := j.Request
	need.Mem = 0
	if need.FitCount(left, want) < want {
		return false
	}
	inZone := map[string]int{}
	for _, w := range ws {
		if !w.hung && !w.FailsTasks && w.recallAt == 0 && j.Allows(w.MachineType, w.Zone, w.Spot) {
			inZone[w.Zone] += j.Request.FitCount(w.Size.Minus(w.used()), want)
		}
	}
	sum := 0
	for _, n := range inZone {
		n = min(n, j.MaxPerZone())
		if j.SameZone && n >= want {
			return true
		}
		sum += n
	}
	return !j.SameZone && sum >= want
}

// Tell checks an answer that a user got, to a request that was made at that time.
func (r *InvariantChecker) CheckAnswer(ref string, code int, body []byte, asked model.Micros) {
	var a struct {
		Ref    string `json:"ref"`
		Status string `json:"status"`
	}
	if code == 200 || code == 201 {
		if err := json.Unmarshal(body, &a); err != nil || a.Ref != ref {
			r.addViolation("answer about %s is %s", ref, body)
			return
		}
	}
	r.checkAnswer(ref, code, a.Status, asked)
}

// Ask notes that a user asks to cancel a job.
func (r *InvariantChecker) CancelRequested(ref string) { r.cancelRequestedAt[ref] = r.sim.Now }
