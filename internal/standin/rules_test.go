package standin

import (
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

// Every rule is caught when it is broken, and not otherwise.
func TestRulesCatchBreaches(t *testing.T) {
	const cancel = 30 * model.Second
	type scene struct {
		*Rules
		sim  *Sim
		job  *model.Job
		a, b *Worker // of zones a and b, with room for eight tasks
	}
	task := func(s *scene, w *Worker, n int) *Task {
		x := &Task{id: model.TaskID{Job: s.job.ID, Index: n}, job: s.job, w: w, status: "running"}
		w.tasks = append(w.tasks, x)
		return x
	}
	put := func(s *scene, w *Worker, n int) *Task {
		x := task(s, w, n)
		s.enter(x)
		return x
	}
	accept := func(s *scene) { s.tell(s.job.ID, 201, "pending", s.sim.Now) }
	withdraw := func(s *scene) {
		accept(s)
		s.sim.Run(s.sim.Now + 1)
		s.Ask(s.job.ID)
		s.tell(s.job.ID, 200, "withdrawn", s.sim.Now)
	}
	later := func(s *scene, d model.Micros) { s.sim.Run(s.sim.Now + d) }
	for _, c := range []struct {
		rule string // "": none is broken
		name string
		do   func(s *scene)
	}{
		{"", "a task runs, leaves and runs elsewhere", func(s *scene) { s.leave(put(s, s.a, 0)); put(s, s.b, 0) }},
		{"ran_twice", "a task on two machines", func(s *scene) { put(s, s.a, 0); put(s, s.b, 0) }},
		{"quota", "a team beyond its limit", func(s *scene) { s.job.Request.Cores = 6000; put(s, s.a, 0); put(s, s.b, 1) }},
		{"quota", "the jobs of one cell beyond its limit, in two cells", func(s *scene) {
			s.job.Request.Cores, s.b.Cell = 6000, "south"
			put(s, s.a, 0)
			put(s, s.b, 1)
		}},
		{"wrong_place", "a zone that is not allowed", func(s *scene) { s.job.Zone = "b"; put(s, s.a, 0) }},
		{"wrong_place", "a spot machine that is not allowed", func(s *scene) { s.a.Spot = true; put(s, s.a, 0) }},
		{"wrong_place", "two zones of a job that has to be together", func(s *scene) { s.job.SameZone = true; put(s, s.a, 0); put(s, s.b, 1) }},
		{"wrong_place", "too many in one zone of a job that has to be apart", func(s *scene) { s.job.Spread = true; put(s, s.a, 0); put(s, s.a, 1) }},
		{"too_early", "a job starts before what it awaits is done", func(s *scene) {
			s.Subs["j-0"] = &model.Job{ID: "j-0", Tasks: 1}
			s.Awaits[s.job.ID] = []string{"j-0"}
			put(s, s.a, 0)
		}},
		{"", "a cancelled task leaves in time", func(s *scene) { x := put(s, s.a, 0); withdraw(s); later(s, cancel); s.leave(x); s.Check() }},
		{"ran_cancelled", "a cancelled task leaves late", func(s *scene) { x := put(s, s.a, 0); withdraw(s); later(s, cancel+1); s.leave(x) }},
		{"ran_cancelled", "a cancelled task never leaves", func(s *scene) { put(s, s.a, 0); withdraw(s); later(s, cancel+1); s.Check() }},
		{"ran_cancelled", "a cancelled task starts late", func(s *scene) { withdraw(s); later(s, cancel+1); put(s, s.a, 0) }},
		{"forgotten", "an accepted job is not found", func(s *scene) { accept(s); later(s, 1); s.tell(s.job.ID, 404, "", s.sim.Now) }},
		{"forgotten", "an accepted job is not found, whenever that was asked", func(s *scene) { accept(s); s.tell(s.job.ID, 404, "", s.sim.Now) }},
		{"forgotten", "a repetition is refused", func(s *scene) { accept(s); later(s, 1); s.tell(s.job.ID, 422, "", s.sim.Now) }},
		{"", "no answer for 75 s", func(s *scene) {
			accept(s)
			s.Calm = s.sim.Now + 1
			later(s, forgottenAfter)
			s.tell(s.job.ID, 503, "", s.sim.Now)
		}},
		{"forgotten", "no answer for longer", func(s *scene) {
			accept(s)
			s.Calm = s.sim.Now + 1
			later(s, forgottenAfter+2)
			s.tell(s.job.ID, 503, "", s.sim.Now)
		}},
		{"invented", "a job that nobody submitted", func(s *scene) { s.tell("j-9", 200, "pending", s.sim.Now) }},
		{"not_done", "done before its tasks are", func(s *scene) { accept(s); s.tell(s.job.ID, 200, "done", s.sim.Now) }},
		{"went_back", "done and then withdrawn", func(s *scene) {
			accept(s)
			s.finish(model.TaskID{Job: s.job.ID, Index: 0})
			s.finish(model.TaskID{Job: s.job.ID, Index: 1})
			later(s, 1)
			s.tell(s.job.ID, 200, "done", s.sim.Now)
			later(s, 1)
			s.Ask(s.job.ID)
			s.tell(s.job.ID, 200, "withdrawn", s.sim.Now)
		}},
		{"went_back", "withdrawn unasked", func(s *scene) { accept(s); s.tell(s.job.ID, 200, "withdrawn", s.sim.Now) }},
		{"left waiting", "a job waits beside room", func(s *scene) {
			accept(s)
			s.Room([]*Worker{s.a})
			later(s, waitsMost+1)
			s.Room([]*Worker{s.a})
		}},
		{"", "a job waits and its team is at its limit", func(s *scene) {
			accept(s)
			s.used[account{team: "red"}] = s.Teams["red"].Limit
			s.Room([]*Worker{s.a})
			later(s, waitsMost+1)
			s.Room([]*Worker{s.a})
		}},
		{"", "a gang waits beside room for half of it", func(s *scene) {
			s.job.Kind, s.job.Request.Cores = model.Gang, 5000
			accept(s)
			s.Room([]*Worker{s.a})
			later(s, waitsMost+1)
			s.Room([]*Worker{s.a})
		}},
	} {
		sim := NewSim(1)
		teams := map[string]*model.Team{"red": {Name: "red", Limit: model.Resources{Cores: 10_000}}}
		s := &scene{Rules: NewRules(sim, teams, cancel), sim: sim,
			job: &model.Job{ID: "j-1", Team: "red", Tasks: 2, Request: model.Resources{Cores: 1000}}}
		for _, w := range []struct {
			to   **Worker
			yard string
		}{{&s.a, "a"}, {&s.b, "b"}} {
			*w.to = &Worker{ID: "host-" + w.yard, Zone: w.yard, Size: model.Resources{Cores: 8000}, sim: sim, rules: s.Rules}
		}
		s.Subs["j-1"] = s.job
		sim.Run(model.Second)
		c.do(s)
		caught := slices.ContainsFunc(s.Broken, func(b string) bool { return strings.Contains(b, c.rule+":") })
		if c.rule == "" && len(s.Broken) > 0 || c.rule != "" && !caught {
			t.Errorf("%s: want %q, got %v", c.name, c.rule, s.Broken)
		}
	}
}
