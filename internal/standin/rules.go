package standin

import (
	"encoding/json"
	"fmt"
	"slices"

	"woadweir/internal/core/model"
)

// Rules checks the invariants that hold under every failure. It learns from the workers what
// is on machines, and from the users what they asked for and were answered.
type Rules struct {
	Teams map[string]*model.Team
	// Cancel is how long after a confirmed cancellation the job's tasks may be on machines.
	Cancel model.Micros
	// Broken says which rule was broken, when and how.
	Broken []string

	// Subs are the jobs that users submitted, also those that were not accepted.
	Subs map[string]*model.Job
	// Homes are the cells at which jobs were submitted, where there are several.
	Homes map[string]string
	// Accepted are the jobs that a user was told are accepted.
	Accepted map[string]bool
	// Awaits are, for each job, those that it directly depends on.
	Awaits map[string][]string
	// Calm is when all failures were over, 0 if they are not.
	Calm model.Micros
	// Finished, if set, is called at the moment when a job's last task completes.
	Finished func(ref string)
	// Starts counts the tasks that came onto a machine.
	Starts int
	// CancelledStarts are starts of tasks whose job had been reported as withdrawn:
	// commands that were on their way. They break no rule while cancel lasts.
	CancelledStarts int
	// Unknowing are the cells whose workers find no description of other cells' jobs.
	Unknowing map[string]bool
	// Observe, if set, is told of every task that comes onto a machine, and whether it had
	// completed before.
	Observe func(cell string, id model.TaskID, again bool)
	// ExecutedAgain are starts of tasks that had completed before: no word of that had
	// come to the service, as after the loss of a machine.
	ExecutedAgain int
	// Mistaken are jobs that were submitted with a mistake: their tasks fail on every
	// machine. MistakenTries counts the tasks of theirs that got their image and failed.
	Mistaken      map[string]bool
	MistakenTries int

	sim       *Sim
	on        map[model.TaskID]map[*Task]bool // what is on machines
	used      map[account]model.Resources
	completed map[model.TaskID]bool
	cancelled map[string]model.Micros // when a user asked to cancel a job
	told      map[string]string       // the end that a user was told of a job
	toldAt    map[string]model.Micros
	answered  map[string]model.Micros // when a question about a job was last answered
	idleFrom  map[string]model.Micros // since when a job waits although there is room
}

// NewRules returns rules of which none is broken yet.
func NewRules(sim *Sim, teams map[string]*model.Team, cancel model.Micros) *Rules {
	return &Rules{sim: sim, Teams: teams, Cancel: cancel, Subs: map[string]*model.Job{}, on: map[model.TaskID]map[*Task]bool{},
		used: map[account]model.Resources{}, Homes: map[string]string{}, completed: map[model.TaskID]bool{}, cancelled: map[string]model.Micros{},
		told: map[string]string{}, toldAt: map[string]model.Micros{}, Accepted: map[string]bool{}, Awaits: map[string][]string{}, answered: map[string]model.Micros{}, idleFrom: map[string]model.Micros{}}
}

// forgottenAfter is how long no question about an accepted job may stay without an
// answer once all troubles are over, however others fare.
const forgottenAfter = 75 * model.Second

func (r *Rules) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf("%.3f ", r.sim.Now.Seconds())+fmt.Sprintf(format, args...))
}

// enter notes that a task is on its machine: it has its image.
func (r *Rules) enter(t *Task) {
	r.Starts++
	j := t.job
	if r.Observe != nil {
		r.Observe(t.w.Cell, t.id, r.completed[t.id])
	}
	if len(r.on[t.id]) > 0 {
		r.broken("ran_twice: %s on %s", t.id, t.w.ID)
	}
	if !j.Allows(t.w.MachineType, t.w.Zone, t.w.Spot) {
		r.broken("wrong_place: %s on %s", t.id, t.w.ID)
	}
	for _, a := range r.Awaits[j.ID] {
		if !r.complete(a) {
			r.broken("too_early: %s starts before %s is done", t.id, a)
		}
	}
	r.checkZones(t)
	if r.on[t.id] == nil {
		r.on[t.id] = map[*Task]bool{}
	}
	r.on[t.id][t] = true
	for _, a := range r.accounts(t) {
		r.used[a] = r.used[a].Plus(j.Request)
		if !r.Teams[j.Team].WithinLimit(r.used[a]) {
			r.broken("quota: %v uses %v", a, r.used[a])
		}
	}
	if r.told[j.ID] == model.JobCancelled {
		r.CancelledStarts++
	}
	if r.overdue(j.ID) {
		r.broken("ran_cancelled: %s starts", t.id)
	}
}

// checkZones checks that a task comes into a zone where the job's other tasks allow it.
func (r *Rules) checkZones(t *Task) {
	j := t.job
	if !j.SameZone && !j.Spread {
		return
	}
	inZone, elsewhere := 0, 0
	for index := range j.Tasks {
		for other := range r.on[model.TaskID{Job: j.ID, Index: index}] {
			if other.w.Zone == t.w.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if j.SameZone && elsewhere > 0 || inZone+1 > j.MaxPerZone() {
		r.broken("wrong_place: %s in %s: %d there, %d elsewhere", t.id, t.w.Zone, inZone, elsewhere)
	}
}

// overdue tells that a user was told of a job's cancellation so long ago that none of
// its tasks may be on a machine any more.
func (r *Rules) overdue(ref string) bool {
	return r.told[ref] == model.JobCancelled && r.sim.Now > r.toldAt[ref]+r.Cancel
}

// Check checks what is on machines now: a task that never leaves would not be
// noticed otherwise.
func (r *Rules) Check() {
	for id, ts := range r.on {
		if !r.overdue(id.Job) {
			continue
		}
		for t := range ts {
			r.broken("ran_cancelled: %s is on %s", id, t.w.ID)
		}
	}
}

// finish notes that a task has completed.
func (r *Rules) finish(id model.TaskID) {
	r.completed[id] = true
	if r.Finished != nil && r.complete(id.Job) {
		r.Finished(id.Job)
	}
}

// complete tells whether all of a job's tasks are done.
func (r *Rules) complete(ref string) bool {
	for n := range r.Subs[ref].Tasks {
		if !r.completed[model.TaskID{Job: ref, Index: n}] {
			return false
		}
	}
	return true
}

// DoneTasks tells how many tasks of a job have completed.
func (r *Rules) DoneTasks(ref string) (n int) {
	for id := range r.completed {
		if id.Job == ref {
			n++
		}
	}
	return n
}

// before calls f for every job that a job needs, directly or through others.
func (r *Rules) before(ref string, f func(ref string)) {
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
func (r *Rules) leave(t *Task) {
	if !r.on[t.id][t] {
		return
	}
	delete(r.on[t.id], t)
	for _, a := range r.accounts(t) {
		r.used[a] = r.used[a].Minus(t.job.Request)
	}
	if r.overdue(t.job.ID) {
		r.broken("ran_cancelled: %s was on %s for %.1f s", t.id, t.w.ID, (r.sim.Now - r.toldAt[t.job.ID]).Seconds())
	}
}

// tell checks an answer whose body has been read.
func (r *Rules) tell(ref string, code int, status string, asked model.Micros) {
	if at, ok := r.toldAt[ref]; ok && asked <= at {
		return // asked before the end was told: either answer is right
	}
	if code != 200 && code != 201 {
		r.checkRefusal(ref, code)
		return
	}
	r.answered[ref] = r.sim.Now
	j := r.Subs[ref]
	if j == nil {
		r.broken("invented: %s", ref)
		return
	}
	r.Accepted[ref] = true
	if old := r.told[ref]; old != "" && old != status {
		r.broken("went_back: %s was %s, is %s", ref, old, status)
	}
	if !r.checkStatus(ref, status, asked) {
		return
	}
	if r.told[ref] == "" {
		r.told[ref] = status
		r.toldAt[ref] = r.sim.Now
	}
}

// checkRefusal checks an answer that refuses a request about a job, or the lack of one.
func (r *Rules) checkRefusal(ref string, code int) {
	if !r.Accepted[ref] {
		return
	}
	switch code {
	case 400, 404, 422:
		r.broken("forgotten: %s answered %d", ref, code)
	default:
		if r.Calm > 0 && r.sim.Now-max(r.Calm, r.answered[ref]) > forgottenAfter {
			r.broken("forgotten: no question about %s is answered", ref)
		}
	}
}

// checkStatus checks a status against what has happened, and tells whether it is an end.
func (r *Rules) checkStatus(ref, status string, asked model.Micros) (ended bool) {
	switch status {
	case "done":
		if !r.complete(ref) {
			r.broken("not_done: %s", ref)
		}
		return true
	case model.JobCancelled:
		if !r.cancellationAsked(ref) {
			r.broken("went_back: %s withdrawn unasked", ref)
		}
		return true
	}
	r.before(ref, func(earlier string) {
		if at, ok := r.toldAt[earlier]; ok && r.told[earlier] == model.JobCancelled && asked > at+r.Cancel {
			r.broken("orphaned: %s is %s after %s was withdrawn", ref, status, earlier)
		}
	})
	return false
}

// cancellationAsked tells whether a user asked to cancel a job, or one that it needs.
func (r *Rules) cancellationAsked(ref string) bool {
	_, asked := r.cancelled[ref]
	r.before(ref, func(earlier string) {
		_, ok := r.cancelled[earlier]
		asked = asked || ok
	})
	return asked
}

// Ended is the status of a job that has ended, as users were told it, or "".
func (r *Rules) Ended(ref string) string { return r.told[ref] }

// OnMachine tells how many tasks are on machines.
func (r *Rules) OnMachine() (n int) {
	for _, ts := range r.on {
		n += len(ts)
	}
	return n
}

// OnMachineOf tells how many tasks of a job are on machines.
func (r *Rules) OnMachineOf(ref string) (n int) {
	for id, ts := range r.on {
		if id.Job == ref {
			n += len(ts)
		}
	}
	return n
}

// ToldAt is when a user was first told of a job's end, 0 if that has not happened.
func (r *Rules) ToldAt(ref string) model.Micros { return r.toldAt[ref] }

// Used is what a team's tasks take of machines.
func (r *Rules) Used(team string) model.Resources { return r.used[account{team: team}] }

// account is what counts towards a team's limit: its tasks on a cell's machines, or those
// of the jobs that were submitted at a cell, wherever they run.
type account struct {
	team, cell string
	byHome     bool
}

// accounts are those to which a task counts.
func (r *Rules) accounts(t *Task) [2]account {
	return [2]account{{t.job.Team, t.w.Cell, false}, {t.job.Team, r.Homes[t.job.ID], true}}
}

// waitsMost is how long a job may wait, with all troubles over, while a machine that
// fits has room and its team is under its limit.
const waitsMost = 90 * model.Second

// Room checks that no job waits longer than that. It is to be called about every second,
// with the machines that are up and can be reached.
func (r *Rules) Room(ws []*Worker) {
	for ref := range r.Accepted {
		if !r.idle(ref) || !r.fits(r.Subs[ref], ws) {
			delete(r.idleFrom, ref)
			continue
		}
		from, ok := r.idleFrom[ref]
		if !ok {
			r.idleFrom[ref] = r.sim.Now
		} else if r.sim.Now-from > waitsMost {
			r.broken("left waiting: %s, for %.0f s beside room", ref, (r.sim.Now - from).Seconds())
			r.idleFrom[ref] = r.sim.Now
		}
	}
}

// idle tells that a job could run, and nothing of it is on a machine.
func (r *Rules) idle(ref string) bool {
	if _, asked := r.cancelled[ref]; asked || r.told[ref] != "" || r.OnMachineOf(ref) > 0 || r.complete(ref) {
		return false
	}
	for _, a := range r.Awaits[ref] {
		if !r.complete(a) {
			return false
		}
	}
	return true
}

// fits tells whether a job could begin: one task of it, or all of a gang.
func (r *Rules) fits(j *model.Job, ws []*Worker) bool {
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
		if !w.hung && !w.Faulty && w.recall == 0 && j.Allows(w.MachineType, w.Zone, w.Spot) {
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
func (r *Rules) Tell(ref string, code int, body []byte, asked model.Micros) {
	var a struct {
		Ref    string `json:"ref"`
		Status string `json:"status"`
	}
	if code == 200 || code == 201 {
		if err := json.Unmarshal(body, &a); err != nil || a.Ref != ref {
			r.broken("answer about %s is %s", ref, body)
			return
		}
	}
	r.tell(ref, code, a.Status, asked)
}

// Ask notes that a user asks to cancel a job.
func (r *Rules) Ask(ref string) { r.cancelled[ref] = r.sim.Now }
