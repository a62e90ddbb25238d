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

	Subs      map[string]*model.Job // every job that a user submitted
	on        map[model.PieceID]map[*Task]bool
	used      map[string]model.Need
	completed map[model.PieceID]bool
	cancelled map[string]model.Micros // when a user asked
	told      map[string]string       // the end that was told
	toldAt    map[string]model.Micros
	Accepted  map[string]bool
	Awaits    map[string][]string // by job: the jobs that it names
	Calm      model.Micros        // when all troubles were over, 0: not yet
	answered  map[string]model.Micros
	Starts    int
}

// NewRules makes a watch.
func NewRules(sim *Sim, teams map[string]*model.Team, cancel model.Micros) *Rules {
	return &Rules{sim: sim, Teams: teams, Cancel: cancel, Subs: map[string]*model.Job{}, on: map[model.PieceID]map[*Task]bool{},
		used: map[string]model.Need{}, completed: map[model.PieceID]bool{}, cancelled: map[string]model.Micros{},
		told: map[string]string{}, toldAt: map[string]model.Micros{}, Accepted: map[string]bool{}, Awaits: map[string][]string{}, answered: map[string]model.Micros{}}
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
	if len(r.on[t.id]) > 0 {
		r.broken("ran_twice: %s on %s", t.id, t.w.Ref)
	}
	if !j.Allows(t.w.Build, t.w.Yard, t.w.Spot) {
		r.broken("wrong_place: %s on %s", t.id, t.w.Ref)
	}
	for _, a := range r.Awaits[j.Ref] {
		if !r.complete(a) {
			r.broken("too_early: %s starts before %s is done", t.id, a)
		}
	}
	inYard, elsewhere := 0, 0
	for n := range j.Pieces {
		if !j.SamePlace && !j.Apart {
			break
		}
		for o := range r.on[model.PieceID{Job: j.Ref, N: n}] {
			if o.w.Yard == t.w.Yard {
				inYard++
			} else {
				elsewhere++
			}
		}
	}
	if j.SamePlace && elsewhere > 0 || inYard+1 > j.PerYard() {
		r.broken("wrong_place: %s in %s: %d there, %d elsewhere", t.id, t.w.Yard, inYard, elsewhere)
	}
	if r.on[t.id] == nil {
		r.on[t.id] = map[*Task]bool{}
	}
	r.on[t.id][t] = true
	r.used[j.Owner] = r.used[j.Owner].Plus(j.Need)
	if !r.Teams[j.Owner].Within(r.used[j.Owner]) {
		r.broken("quota: %s uses %v", j.Owner, r.used[j.Owner])
	}
	if at, ok := r.toldAt[j.Ref]; ok && r.told[j.Ref] == "withdrawn" && r.sim.Now > at+r.Cancel {
		r.broken("ran_cancelled: %s starts", t.id)
	}
}

// complete tells whether all of a job's tasks are done.
func (r *Rules) complete(ref string) bool {
	for n := range r.Subs[ref].Pieces {
		if !r.completed[model.PieceID{Job: ref, N: n}] {
			return false
		}
	}
	return true
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
	r.used[t.job.Owner] = r.used[t.job.Owner].Minus(t.job.Need)
	if at, ok := r.toldAt[t.job.Ref]; ok && r.told[t.job.Ref] == "withdrawn" && r.sim.Now > at+r.Cancel {
		r.broken("ran_cancelled: %s was on %s for %.1f s", t.id, t.w.Ref, (r.sim.Now - at).Seconds())
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
