package standin

import (
	"encoding/json"
	"fmt"
	"slices"

	"woadweir/internal/core/model"
)

// Rules watches what must hold under every failure.
type Rules struct {
	sim    *Sim
	Teams  map[string]*model.Team
	Cancel model.Micros
	Broken []string

	Subs map[string]*model.Job // every job that a user submitted
	on   map[model.TaskID]map[*Task]bool
	used map[account]model.Resources
	// Homes are the cells at which jobs were submitted, where there are several.
	Homes     map[string]string
	completed map[model.TaskID]bool
	cancelled map[string]model.Micros // when a user asked
	told      map[string]string       // the end that was told
	toldAt    map[string]model.Micros
	Accepted  map[string]bool
	Awaits    map[string][]string // by job: the jobs that it names
	Calm      model.Micros        // when all troubles were over, 0: not yet
	answered  map[string]model.Micros
	idleFrom  map[string]model.Micros // since when a job waits beside room
	// Finished, if set, is called at the moment when a job's last task completes.
	Finished func(ref string)
	Starts   int
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
}

// NewRules makes a watch.
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
	inZone, elsewhere := 0, 0
	for n := range j.Tasks {
		if !j.SameZone && !j.Spread {
			break
		}
		for o := range r.on[model.TaskID{Job: j.ID, Index: n}] {
			if o.w.Zone == t.w.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if j.SameZone && elsewhere > 0 || inZone+1 > j.MaxPerZone() {
		r.broken("wrong_place: %s in %s: %d there, %d elsewhere", t.id, t.w.Zone, inZone, elsewhere)
	}
	if r.on[t.id] == nil {
		r.on[t.id] = map[*Task]bool{}
	}
	r.on[t.id][t] = true
	for _, a := range r.accounts(t) {
		r.used[a] = r.used[a].Plus(j.Request)
		if !r.Teams[j.Team].Within(r.used[a]) {
			r.broken("quota: %v uses %v", a, r.used[a])
		}
	}
	if r.told[j.ID] == "withdrawn" {
		r.CancelledStarts++
	}
	if r.overdue(j.ID) {
		r.broken("ran_cancelled: %s starts", t.id)
	}
}

// overdue tells that a user was told of a job's cancellation so long ago that none of
// its tasks may be on a machine any more.
func (r *Rules) overdue(ref string) bool {
	return r.told[ref] == "withdrawn" && r.sim.Now > r.toldAt[ref]+r.Cancel
}

// Check looks at what is on machines now: a task that never leaves would not be
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

// tell notes an answer that a user got about a job.
func (r *Rules) tell(ref string, code int, status string, asked model.Micros) {
	if at, ok := r.toldAt[ref]; ok && asked <= at {
		return // asked before the end was told: either answer is right
	}
	switch {
	case code == 404 || code == 400 || code == 422:
		if r.Accepted[ref] {
			r.broken("forgotten: %s answered %d", ref, code)
		}
		return
	case code != 200 && code != 201:
		if r.Accepted[ref] && r.Calm > 0 && r.sim.Now-max(r.Calm, r.answered[ref]) > forgottenAfter {
			r.broken("forgotten: no question about %s is answered", ref)
		}
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
	switch status {
	case "done":
		if !r.complete(ref) {
			r.broken("not_done: %s", ref)
		}
	case "withdrawn":
		_, cancelled := r.cancelled[ref]
		r.before(ref, func(a string) {
			_, ok := r.cancelled[a]
			cancelled = cancelled || ok
		})
		if !cancelled {
			r.broken("went_back: %s withdrawn unasked", ref)
		}
	default:
		r.before(ref, func(a string) {
			if at, ok := r.toldAt[a]; ok && r.told[a] == "withdrawn" && asked > at+r.Cancel {
				r.broken("orphaned: %s is %s after %s was withdrawn", ref, status, a)
			}
		})
		return
	}
	if r.told[ref] == "" {
		r.told[ref] = status
		r.toldAt[ref] = r.sim.Now
	}
}

// Ended is the end that users were told.
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

// ToldAt is when a user was first told of a job's end, 0 if none was.
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

// Room watches for such jobs. It is called now and then, with the machines that are
// up and can be reached.
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
	if need.Count(left, want) < want {
		return false
	}
	inZone := map[string]int{}
	for _, w := range ws {
		if !w.hung && !w.Sick && w.recall == 0 && j.Allows(w.MachineType, w.Zone, w.Spot) {
			inZone[w.Zone] += j.Request.Count(w.Size.Minus(w.used()), want)
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

// Tell notes an answer with its body, to a request that was made at that time.
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

// Ask notes that the user asks to cancel.
func (r *Rules) Ask(ref string) { r.cancelled[ref] = r.sim.Now }
