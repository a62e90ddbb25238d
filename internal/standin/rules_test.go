package standin

import (
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

// cancelLimit is the CancelLimit of the checker under test.
const cancelLimit = 30 * model.Second

// ruleFixture is a checker with one submitted job of two tasks, and a machine in each of
// two zones.
type ruleFixture struct {
	*InvariantChecker
	sim              *Sim
	job              *model.Job
	workerA, workerB *Worker // in zones "a" and "b", each with room for eight tasks
}

func newRuleFixture() *ruleFixture {
	sim := NewSim(1)
	teams := map[string]*model.Team{"red": {Name: "red", Limit: model.Resources{Cores: 10_000}}}
	fixture := &ruleFixture{InvariantChecker: NewInvariantChecker(sim, teams, cancelLimit), sim: sim,
		job: &model.Job{ID: "j-1", Team: "red", Tasks: 2, Request: model.Resources{Cores: 1000}}}
	fixture.workerA, fixture.workerB = fixture.newWorker("a"), fixture.newWorker("b")
	fixture.Submitted["j-1"] = fixture.job
	sim.Run(model.Second)
	return fixture
}

func (s *ruleFixture) newWorker(zone string) *Worker {
	return &Worker{ID: "host-" + zone, Zone: zone, Size: model.Resources{Cores: 8000}, sim: s.sim, rules: s.InvariantChecker}
}

// startTask places a task of the job on a machine.
func (s *ruleFixture) startTask(w *Worker, index int) *Task {
	t := &Task{id: model.TaskID{Job: s.job.ID, Index: index}, job: s.job, worker: w, status: statusRunning}
	w.tasks = append(w.tasks, t)
	s.taskStarted(t)
	return t
}

// accept reports to the checker that a user was told the job is accepted.
func (s *ruleFixture) accept() { s.checkAnswer(s.job.ID, 201, "pending", s.sim.Now) }

// cancel reports to the checker that a user cancelled the job and got a confirmation.
func (s *ruleFixture) cancel() {
	s.accept()
	s.sim.Run(s.sim.Now + 1)
	s.CancelRequested(s.job.ID)
	s.checkAnswer(s.job.ID, 200, model.JobCancelled, s.sim.Now)
}

// advance moves the clock forward by d.
func (s *ruleFixture) advance(d model.Micros) { s.sim.Run(s.sim.Now + d) }

// ruleCases are sequences that break a rule, and similar ones that break none.
var ruleCases = []struct {
	rule string // the rule that is expected to be broken, "" for none
	name string
	run  func(s *ruleFixture)
}{
	{"", "a task is removed and runs on another machine", func(s *ruleFixture) { s.taskRemoved(s.startTask(s.workerA, 0)); s.startTask(s.workerB, 0) }},
	{"ran_twice", "a task is on two machines", func(s *ruleFixture) { s.startTask(s.workerA, 0); s.startTask(s.workerB, 0) }},
	{"quota", "a team is over its limit", func(s *ruleFixture) { s.job.Request.Cores = 6000; s.startTask(s.workerA, 0); s.startTask(s.workerB, 1) }},
	{"quota", "the jobs submitted at one cell run in two cells and are together over the team's limit", func(s *ruleFixture) {
		s.job.Request.Cores, s.workerB.Cell = 6000, "south"
		s.startTask(s.workerA, 0)
		s.startTask(s.workerB, 1)
	}},
	{"wrong_place", "the job does not allow the zone", func(s *ruleFixture) { s.job.Zone = "b"; s.startTask(s.workerA, 0) }},
	{"wrong_place", "the job does not allow spot machines", func(s *ruleFixture) { s.workerA.Spot = true; s.startTask(s.workerA, 0) }},
	{"wrong_place", "a job that requires a single zone runs in two zones", func(s *ruleFixture) { s.job.SameZone = true; s.startTask(s.workerA, 0); s.startTask(s.workerB, 1) }},
	{"wrong_place", "a job that requires spreading has too many tasks in one zone", func(s *ruleFixture) { s.job.Spread = true; s.startTask(s.workerA, 0); s.startTask(s.workerA, 1) }},
	{"too_early", "a job starts before the job it awaits is done", func(s *ruleFixture) {
		s.Submitted["j-0"] = &model.Job{ID: "j-0", Tasks: 1}
		s.Awaits[s.job.ID] = []string{"j-0"}
		s.startTask(s.workerA, 0)
	}},
	{"", "a cancelled task is removed in time", func(s *ruleFixture) {
		x := s.startTask(s.workerA, 0)
		s.cancel()
		s.advance(cancelLimit)
		s.taskRemoved(x)
		s.CheckCancelled()
	}},
	{"ran_cancelled", "a cancelled task is removed too late", func(s *ruleFixture) {
		x := s.startTask(s.workerA, 0)
		s.cancel()
		s.advance(cancelLimit + 1)
		s.taskRemoved(x)
	}},
	{"ran_cancelled", "a cancelled task is never removed", func(s *ruleFixture) {
		s.startTask(s.workerA, 0)
		s.cancel()
		s.advance(cancelLimit + 1)
		s.CheckCancelled()
	}},
	{"ran_cancelled", "a cancelled task starts too late", func(s *ruleFixture) { s.cancel(); s.advance(cancelLimit + 1); s.startTask(s.workerA, 0) }},
	{"forgotten", "an accepted job is not found", func(s *ruleFixture) { s.accept(); s.advance(1); s.checkAnswer(s.job.ID, 404, "", s.sim.Now) }},
	{"forgotten", "an accepted job is not found, by a request sent at the time of acceptance", func(s *ruleFixture) { s.accept(); s.checkAnswer(s.job.ID, 404, "", s.sim.Now) }},
	{"forgotten", "a repeated submission is refused", func(s *ruleFixture) { s.accept(); s.advance(1); s.checkAnswer(s.job.ID, 422, "", s.sim.Now) }},
	{"", "no answer for the allowed 75 s", func(s *ruleFixture) {
		s.accept()
		s.FaultsOverAt = s.sim.Now + 1
		s.advance(maxUnanswered)
		s.checkAnswer(s.job.ID, 503, "", s.sim.Now)
	}},
	{"forgotten", "no answer for longer than 75 s", func(s *ruleFixture) {
		s.accept()
		s.FaultsOverAt = s.sim.Now + 1
		s.advance(maxUnanswered + 2)
		s.checkAnswer(s.job.ID, 503, "", s.sim.Now)
	}},
	{"invented", "a job that nobody submitted", func(s *ruleFixture) { s.checkAnswer("j-9", 200, "pending", s.sim.Now) }},
	{"not_done", "done is reported before the tasks are done", func(s *ruleFixture) { s.accept(); s.checkAnswer(s.job.ID, 200, "done", s.sim.Now) }},
	{"went_back", "done is reported, then withdrawn", func(s *ruleFixture) {
		s.accept()
		s.taskCompleted(model.TaskID{Job: s.job.ID, Index: 0})
		s.taskCompleted(model.TaskID{Job: s.job.ID, Index: 1})
		s.advance(1)
		s.checkAnswer(s.job.ID, 200, "done", s.sim.Now)
		s.advance(1)
		s.CancelRequested(s.job.ID)
		s.checkAnswer(s.job.ID, 200, "withdrawn", s.sim.Now)
	}},
	{"went_back", "withdrawn without a request to cancel", func(s *ruleFixture) { s.accept(); s.checkAnswer(s.job.ID, 200, "withdrawn", s.sim.Now) }},
	{"left waiting", "a job waits although a machine has room", func(s *ruleFixture) {
		s.accept()
		s.CheckWaiting([]*Worker{s.workerA})
		s.advance(maxWait + 1)
		s.CheckWaiting([]*Worker{s.workerA})
	}},
	{"", "a job waits because its team is at its limit", func(s *ruleFixture) {
		s.accept()
		s.used[limitKey{team: "red"}] = s.Teams["red"].Limit
		s.CheckWaiting([]*Worker{s.workerA})
		s.advance(maxWait + 1)
		s.CheckWaiting([]*Worker{s.workerA})
	}},
	{"", "a gang waits because there is room for only half of it", func(s *ruleFixture) {
		s.job.Kind, s.job.Request.Cores = model.Gang, 5000
		s.accept()
		s.CheckWaiting([]*Worker{s.workerA})
		s.advance(maxWait + 1)
		s.CheckWaiting([]*Worker{s.workerA})
	}},
}

// Each breach of a rule is reported under the rule's name, and sequences that break no rule
// report nothing. A checker that misses breaches would let the simulation tests pass.
func TestRuleViolationsAreReported(t *testing.T) {
	for _, c := range ruleCases {
		fixture := newRuleFixture()
		c.run(fixture)
		reported := slices.ContainsFunc(fixture.Violations, func(violation string) bool { return strings.Contains(violation, c.rule+":") })
		if c.rule == "" && len(fixture.Violations) > 0 || c.rule != "" && !reported {
			t.Errorf("%s: got violations %v, want rule %q", c.name, fixture.Violations, c.rule)
		}
	}
}
