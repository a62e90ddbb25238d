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

func (f *ruleFixture) newWorker(zone string) *Worker {
	return &Worker{ID: "host-" + zone, Zone: zone, Size: model.Resources{Cores: 8000}, sim: f.sim, invariants: f.InvariantChecker}
}

// startTask places a task of the job on a machine.
func (f *ruleFixture) startTask(w *Worker, index int) *Task {
	t := &Task{id: model.TaskID{Job: f.job.ID, Index: index}, job: f.job, worker: w, status: statusRunning}
	w.tasks = append(w.tasks, t)
	f.taskStarted(t)
	return t
}

// accept reports to the checker that a user was told the job is accepted.
func (f *ruleFixture) accept() { f.checkAnswer(f.job.ID, 201, "pending", f.sim.Now) }

// cancel reports to the checker that a user cancelled the job and got a confirmation.
func (f *ruleFixture) cancel() {
	f.accept()
	f.sim.Run(f.sim.Now + 1)
	f.CancelRequested(f.job.ID)
	f.checkAnswer(f.job.ID, 200, model.JobCancelled, f.sim.Now)
}

// advance moves the clock forward by d.
func (f *ruleFixture) advance(d model.Micros) { f.sim.Run(f.sim.Now + d) }

// ruleCases are sequences that break a rule, and similar ones that break none.
var ruleCases = []struct {
	rule string // the rule that is expected to be broken, "" for none
	name string
	run  func(f *ruleFixture)
}{
	{"", "a task is removed and runs on another machine", func(f *ruleFixture) { f.taskRemoved(f.startTask(f.workerA, 0)); f.startTask(f.workerB, 0) }},
	{"ran_twice", "a task is on two machines", func(f *ruleFixture) { f.startTask(f.workerA, 0); f.startTask(f.workerB, 0) }},
	{"quota", "a team is over its limit", func(f *ruleFixture) { f.job.Request.Cores = 6000; f.startTask(f.workerA, 0); f.startTask(f.workerB, 1) }},
	{"quota", "the jobs submitted at one cell run in two cells and are together over the team's limit", func(f *ruleFixture) {
		f.job.Request.Cores, f.workerB.Cell = 6000, "south"
		f.startTask(f.workerA, 0)
		f.startTask(f.workerB, 1)
	}},
	{"wrong_place", "the job does not allow the zone", func(f *ruleFixture) { f.job.Zone = "b"; f.startTask(f.workerA, 0) }},
	{"wrong_place", "the job does not allow spot machines", func(f *ruleFixture) { f.workerA.Spot = true; f.startTask(f.workerA, 0) }},
	{"wrong_place", "a job that requires a single zone runs in two zones", func(f *ruleFixture) { f.job.SameZone = true; f.startTask(f.workerA, 0); f.startTask(f.workerB, 1) }},
	{"wrong_place", "a job that requires spreading has too many tasks in one zone", func(f *ruleFixture) { f.job.Spread = true; f.startTask(f.workerA, 0); f.startTask(f.workerA, 1) }},
	{"too_early", "a job starts before the job it awaits is done", func(f *ruleFixture) {
		f.Submitted["j-0"] = &model.Job{ID: "j-0", Tasks: 1}
		f.Awaits[f.job.ID] = []string{"j-0"}
		f.startTask(f.workerA, 0)
	}},
	{"", "a cancelled task is removed in time", func(f *ruleFixture) {
		x := f.startTask(f.workerA, 0)
		f.cancel()
		f.advance(cancelLimit)
		f.taskRemoved(x)
		f.CheckCancelled()
	}},
	{"ran_cancelled", "a cancelled task is removed too late", func(f *ruleFixture) {
		x := f.startTask(f.workerA, 0)
		f.cancel()
		f.advance(cancelLimit + 1)
		f.taskRemoved(x)
	}},
	{"ran_cancelled", "a cancelled task is never removed", func(f *ruleFixture) {
		f.startTask(f.workerA, 0)
		f.cancel()
		f.advance(cancelLimit + 1)
		f.CheckCancelled()
	}},
	{"ran_cancelled", "a cancelled task starts too late", func(f *ruleFixture) { f.cancel(); f.advance(cancelLimit + 1); f.startTask(f.workerA, 0) }},
	{"forgotten", "an accepted job is not found", func(f *ruleFixture) { f.accept(); f.advance(1); f.checkAnswer(f.job.ID, 404, "", f.sim.Now) }},
	{"forgotten", "an accepted job is not found, by a request sent at the time of acceptance", func(f *ruleFixture) { f.accept(); f.checkAnswer(f.job.ID, 404, "", f.sim.Now) }},
	{"forgotten", "a repeated submission is refused", func(f *ruleFixture) { f.accept(); f.advance(1); f.checkAnswer(f.job.ID, 422, "", f.sim.Now) }},
	{"", "no answer for the allowed 75 s", func(f *ruleFixture) {
		f.accept()
		f.FaultsOverAt = f.sim.Now + 1
		f.advance(maxUnanswered)
		f.checkAnswer(f.job.ID, 503, "", f.sim.Now)
	}},
	{"forgotten", "no answer for longer than 75 s", func(f *ruleFixture) {
		f.accept()
		f.FaultsOverAt = f.sim.Now + 1
		f.advance(maxUnanswered + 2)
		f.checkAnswer(f.job.ID, 503, "", f.sim.Now)
	}},
	{"invented", "a job that nobody submitted", func(f *ruleFixture) { f.checkAnswer("j-9", 200, "pending", f.sim.Now) }},
	{"not_done", "done is reported before the tasks are done", func(f *ruleFixture) { f.accept(); f.checkAnswer(f.job.ID, 200, "done", f.sim.Now) }},
	{"went_back", "done is reported, then withdrawn", func(f *ruleFixture) {
		f.accept()
		f.taskCompleted(model.TaskID{Job: f.job.ID, Index: 0})
		f.taskCompleted(model.TaskID{Job: f.job.ID, Index: 1})
		f.advance(1)
		f.checkAnswer(f.job.ID, 200, "done", f.sim.Now)
		f.advance(1)
		f.CancelRequested(f.job.ID)
		f.checkAnswer(f.job.ID, 200, "withdrawn", f.sim.Now)
	}},
	{"went_back", "withdrawn without a request to cancel", func(f *ruleFixture) { f.accept(); f.checkAnswer(f.job.ID, 200, "withdrawn", f.sim.Now) }},
	{"left waiting", "a job waits although a machine has room", func(f *ruleFixture) {
		f.accept()
		f.CheckWaiting([]*Worker{f.workerA})
		f.advance(maxWait + 1)
		f.CheckWaiting([]*Worker{f.workerA})
	}},
	{"", "a job waits because its team is at its limit", func(f *ruleFixture) {
		f.accept()
		f.used[limitKey{team: "red"}] = f.Teams["red"].Limit
		f.CheckWaiting([]*Worker{f.workerA})
		f.advance(maxWait + 1)
		f.CheckWaiting([]*Worker{f.workerA})
	}},
	{"", "a gang waits because there is room for only half of it", func(f *ruleFixture) {
		f.job.Kind, f.job.Request.Cores = model.Gang, 5000
		f.accept()
		f.CheckWaiting([]*Worker{f.workerA})
		f.advance(maxWait + 1)
		f.CheckWaiting([]*Worker{f.workerA})
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
