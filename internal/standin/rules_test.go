package standin

import (
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

// cancelLimit is how long a cancelled job's tasks may stay on machines.
const cancelLimit = 30 * model.Second

// ruleScene has one job of two tasks, and a machine in each of two zones.
type ruleScene struct {
	*InvariantChecker
	sim  *Sim
	job  *model.Job
	a, b *Worker // in the zones of these names, with room for eight tasks
}

func newRuleScene() *ruleScene {
	sim := NewSim(1)
	teams := map[string]*model.Team{"red": {Name: "red", Limit: model.Resources{Cores: 10_000}}}
	s := &ruleScene{InvariantChecker: NewInvariantChecker(sim, teams, cancelLimit), sim: sim,
		job: &model.Job{ID: "j-1", Team: "red", Tasks: 2, Request: model.Resources{Cores: 1000}}}
	s.a, s.b = s.newWorker("a"), s.newWorker("b")
	s.Submitted["j-1"] = s.job
	sim.Run(model.Second)
	return s
}

func (s *ruleScene) newWorker(zone string) *Worker {
	return &Worker{ID: "host-" + zone, Zone: zone, Size: model.Resources{Cores: 8000}, sim: s.sim, rules: s.InvariantChecker}
}

// put has a task of the job come onto a machine.
func (s *ruleScene) put(w *Worker, index int) *Task {
	t := &Task{id: model.TaskID{Job: s.job.ID, Index: index}, job: s.job, worker: w, status: statusRunning}
	w.tasks = append(w.tasks, t)
	s.taskStarted(t)
	return t
}

// accept has a user told that the job is accepted.
func (s *ruleScene) accept() { s.checkAnswer(s.job.ID, 201, "pending", s.sim.Now) }

// withdraw has a user cancel the job, and told so.
func (s *ruleScene) withdraw() {
	s.accept()
	s.sim.Run(s.sim.Now + 1)
	s.CancelRequested(s.job.ID)
	s.checkAnswer(s.job.ID, 200, model.JobCancelled, s.sim.Now)
}

// later lets time pass.
func (s *ruleScene) later(d model.Micros) { s.sim.Run(s.sim.Now + d) }

// ruleCases are what breaks a rule, and what comes close to it.
var ruleCases = []struct {
	rule string // the rule that is broken, "" for none
	name string
	do   func(s *ruleScene)
}{
	{"", "a task runs, leaves and runs elsewhere", func(s *ruleScene) { s.taskRemoved(s.put(s.a, 0)); s.put(s.b, 0) }},
	{"ran_twice", "a task on two machines", func(s *ruleScene) { s.put(s.a, 0); s.put(s.b, 0) }},
	{"quota", "a team beyond its limit", func(s *ruleScene) { s.job.Request.Cores = 6000; s.put(s.a, 0); s.put(s.b, 1) }},
	{"quota", "the jobs of one cell beyond its limit, in two cells", func(s *ruleScene) {
		s.job.Request.Cores, s.b.Cell = 6000, "south"
		s.put(s.a, 0)
		s.put(s.b, 1)
	}},
	{"wrong_place", "a zone that is not allowed", func(s *ruleScene) { s.job.Zone = "b"; s.put(s.a, 0) }},
	{"wrong_place", "a spot machine that is not allowed", func(s *ruleScene) { s.a.Spot = true; s.put(s.a, 0) }},
	{"wrong_place", "two zones of a job that has to be together", func(s *ruleScene) { s.job.SameZone = true; s.put(s.a, 0); s.put(s.b, 1) }},
	{"wrong_place", "too many in one zone of a job that has to be apart", func(s *ruleScene) { s.job.Spread = true; s.put(s.a, 0); s.put(s.a, 1) }},
	{"too_early", "a job starts before what it awaits is done", func(s *ruleScene) {
		s.Submitted["j-0"] = &model.Job{ID: "j-0", Tasks: 1}
		s.Awaits[s.job.ID] = []string{"j-0"}
		s.put(s.a, 0)
	}},
	{"", "a cancelled task leaves in time", func(s *ruleScene) {
		x := s.put(s.a, 0)
		s.withdraw()
		s.later(cancelLimit)
		s.taskRemoved(x)
		s.CheckCancelled()
	}},
	{"ran_cancelled", "a cancelled task leaves late", func(s *ruleScene) { x := s.put(s.a, 0); s.withdraw(); s.later(cancelLimit + 1); s.taskRemoved(x) }},
	{"ran_cancelled", "a cancelled task never leaves", func(s *ruleScene) { s.put(s.a, 0); s.withdraw(); s.later(cancelLimit + 1); s.CheckCancelled() }},
	{"ran_cancelled", "a cancelled task starts late", func(s *ruleScene) { s.withdraw(); s.later(cancelLimit + 1); s.put(s.a, 0) }},
	{"forgotten", "an accepted job is not found", func(s *ruleScene) { s.accept(); s.later(1); s.checkAnswer(s.job.ID, 404, "", s.sim.Now) }},
	{"forgotten", "an accepted job is not found, whenever that was asked", func(s *ruleScene) { s.accept(); s.checkAnswer(s.job.ID, 404, "", s.sim.Now) }},
	{"forgotten", "a repetition is refused", func(s *ruleScene) { s.accept(); s.later(1); s.checkAnswer(s.job.ID, 422, "", s.sim.Now) }},
	{"", "no answer for 75 s", func(s *ruleScene) {
		s.accept()
		s.FaultsOverAt = s.sim.Now + 1
		s.later(maxUnanswered)
		s.checkAnswer(s.job.ID, 503, "", s.sim.Now)
	}},
	{"forgotten", "no answer for longer", func(s *ruleScene) {
		s.accept()
		s.FaultsOverAt = s.sim.Now + 1
		s.later(maxUnanswered + 2)
		s.checkAnswer(s.job.ID, 503, "", s.sim.Now)
	}},
	{"invented", "a job that nobody submitted", func(s *ruleScene) { s.checkAnswer("j-9", 200, "pending", s.sim.Now) }},
	{"not_done", "done before its tasks are", func(s *ruleScene) { s.accept(); s.checkAnswer(s.job.ID, 200, "done", s.sim.Now) }},
	{"went_back", "done and then withdrawn", func(s *ruleScene) {
		s.accept()
		s.taskCompleted(model.TaskID{Job: s.job.ID, Index: 0})
		s.taskCompleted(model.TaskID{Job: s.job.ID, Index: 1})
		s.later(1)
		s.checkAnswer(s.job.ID, 200, "done", s.sim.Now)
		s.later(1)
		s.CancelRequested(s.job.ID)
		s.checkAnswer(s.job.ID, 200, "withdrawn", s.sim.Now)
	}},
	{"went_back", "withdrawn unasked", func(s *ruleScene) { s.accept(); s.checkAnswer(s.job.ID, 200, "withdrawn", s.sim.Now) }},
	{"left waiting", "a job waits beside room", func(s *ruleScene) {
		s.accept()
		s.CheckWaiting([]*Worker{s.a})
		s.later(maxWait + 1)
		s.CheckWaiting([]*Worker{s.a})
	}},
	{"", "a job waits and its team is at its limit", func(s *ruleScene) {
		s.accept()
		s.used[limitKey{team: "red"}] = s.Teams["red"].Limit
		s.CheckWaiting([]*Worker{s.a})
		s.later(maxWait + 1)
		s.CheckWaiting([]*Worker{s.a})
	}},
	{"", "a gang waits beside room for half of it", func(s *ruleScene) {
		s.job.Kind, s.job.Request.Cores = model.Gang, 5000
		s.accept()
		s.CheckWaiting([]*Worker{s.a})
		s.later(maxWait + 1)
		s.CheckWaiting([]*Worker{s.a})
	}},
}

// Every rule is caught when it is broken, and not otherwise.
func TestRulesCatchBreaches(t *testing.T) {
	for _, c := range ruleCases {
		s := newRuleScene()
		c.do(s)
		caught := slices.ContainsFunc(s.Violations, func(b string) bool { return strings.Contains(b, c.rule+":") })
		if c.rule == "" && len(s.Violations) > 0 || c.rule != "" && !caught {
			t.Errorf("%s: want %q, got %v", c.name, c.rule, s.Violations)
		}
	}
}
