package placement

import (
	"testing"

	"woadweir/internal/core/model"
)

// testEstimator lets jobs wait for ever before others are preempted for them.
type testEstimator struct {
	dueAt map[string]model.Micros // by job, 0 for the others
}

func (e testEstimator) DueAt(job *model.JobState) model.Micros { return e.dueAt[job.ID] }
func (e testEstimator) MaxWait(*model.JobState) model.Micros   { return 1000 * 3600 * model.Second }
func (e testEstimator) StartRate(string) float64               { return 1 }
func (e testEstimator) Remaining(*model.Binding) model.Micros  { return 0 }

// testExecutor remembers the machine to which a task was bound last. It is for jobs with a
// single task.
type testExecutor struct {
	boundTo string
}

func (e *testExecutor) TaskSlots(*model.Job, *model.Machine) int { return model.MaxTasks }
func (e *testExecutor) NextAttempt() uint64                      { return 1 }
func (e *testExecutor) Stop(*model.Binding, string)              {}

func (e *testExecutor) Bind(job *model.JobState, _ int, machine *model.Machine, _ uint64) {
	e.boundTo, job.Waiting = machine.ID, nil
}

// Of jobs of a priority, one for which others have been preempted already goes first, and
// what they freed is not taken by one that could be in time: else it would have more
// preempted elsewhere, and so on.
func TestJobThatPreemptedGoesFirst(t *testing.T) {
	job := func(id string, revision uint64, priority model.Priority) *model.JobState {
		return &model.JobState{Job: &model.Job{ID: id, Class: "c", Team: "red", Kind: model.Gang, Priority: priority, Tasks: 1, AcceptedRevision: revision}, Waiting: []int{0}}
	}
	older, preempting, higher := job("j-1", 1, model.HighPriority), job("j-2", 2, model.HighPriority), job("j-3", 3, model.ProductionPriority)
	w := &World{Now: model.Second, Jobs: []*model.JobState{preempting, older, higher},
		Estimates:    testEstimator{dueAt: map[string]model.Micros{"j-2": Late}},
		Reservations: map[*model.JobState][]Reservation{preempting: {{Preempted: true}}, older: {{}}}}
	for _, want := range []string{"j-3 j-2 j-1", "j-3 j-1 j-2"} {
		w.Sort()
		got := w.Jobs[0].ID + " " + w.Jobs[1].ID + " " + w.Jobs[2].ID
		if got != want {
			t.Errorf("served in the order %s, want %s", got, want)
		}
		w.Reservations[preempting] = []Reservation{{}} // reserved, but nobody was preempted for it
	}
}

// Work that may use spot machines prefers them, even if it has to fetch its image there,
// unless a lost task would make it late; and it never goes to a surplus machine
// unless it has waited for long.
func TestFlexibleWorkPrefersSpotMachines(t *testing.T) {
	machine := func(id string, spot bool) *model.Machine {
		return &model.Machine{ID: id, MachineType: "box", Zone: "a", Spot: spot, Size: model.Resources{Cores: 8000}, Up: true, ReceivesAnswers: true}
	}
	for _, c := range []struct {
		what          string
		late, surplus bool
		spot          bool // there is room on a spot machine
		want          string
		waited        model.Micros
	}{
		{"a job with time to spare", false, false, true, "spot", 0},
		{"a job that a lost task makes late", true, false, true, "ordinary", 0},
		{"no spot machine has room", false, false, false, "ordinary", 0},
		{"the ordinary machine is surplus", true, true, true, "spot", 0},
		{"the same, and no spot machine has room", true, true, false, "", 0},
		{"the same, and it has waited for long", true, true, false, "ordinary", surplusOpensAfter},
	} {
		ordinary, spot := machine("ordinary", false), machine("spot", true)
		ordinary.Cache, ordinary.Surplus = []string{"i"}, c.surplus
		if !c.spot {
			spot.Used = spot.Size
		}
		job := &model.JobState{Job: &model.Job{ID: "j-1", Team: "red", Tasks: 1, Request: model.Resources{Cores: 1000}, AllowsSpot: true,
			Image: "i", ImageGB: 5, EstimatedRun: 100 * model.Second}, Waiting: []int{0}, LossMakesLate: c.late}
		executor := &testExecutor{}
		job.ReadySince = 1000 - c.waited
		w := &World{Now: 1000, HeartbeatTimeout: model.Second, Machines: []*model.Machine{ordinary, spot}, Jobs: []*model.JobState{job},
			Teams:        map[string]*model.Team{"red": {Limit: model.Resources{Cores: 100_000}}},
			MachineTypes: map[string]*model.MachineType{"box": {Name: "box", Cores: 8, FetchGBps: 0.2, Price: 4, SpotPrice: 1}},
			Estimates:    testEstimator{}, Executor: executor}
		w.Round()
		if executor.boundTo != c.want {
			t.Errorf("%s: goes to %q, want %q", c.what, executor.boundTo, c.want)
		}
	}
}
