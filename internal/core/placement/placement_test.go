package placement

import (
	"testing"

	"woadweir/internal/core/model"
)

// testEstimator returns such a long MaxWait that no job preempts others.
type testEstimator struct {
	orderKeys map[string]model.Micros // by job; 0 for jobs without an entry
}

func (e testEstimator) OrderKey(job *model.JobState) model.Micros { return e.orderKeys[job.ID] }
func (e testEstimator) MaxWait(*model.JobState) model.Micros      { return 1000 * 3600 * model.Second }
func (e testEstimator) StartRate(string) float64                  { return 1 }
func (e testEstimator) Remaining(*model.Binding) model.Micros     { return 0 }

// testExecutor records the machine to which a task was last bound. It supports jobs with a
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

// Among jobs of the same priority, one for which others have been preempted is served
// first. Otherwise a job that can still meet an objective would take what they freed, and
// even more tasks would be preempted elsewhere.
func TestJobThatPreemptedIsServedFirst(t *testing.T) {
	job := func(id string, revision uint64, priority model.Priority) *model.JobState {
		description := &model.Job{ID: id, Class: "c", Team: "red", Kind: model.Gang, Priority: priority, Tasks: 1, AcceptedRevision: revision}
		return &model.JobState{Job: description, Waiting: []int{0}}
	}
	older := job("j-1", 1, model.HighPriority)
	preempting := job("j-2", 2, model.HighPriority)
	higher := job("j-3", 3, model.ProductionPriority)
	round := &Round{
		Now:          model.Second,
		Jobs:         []*model.JobState{preempting, older, higher},
		Estimates:    testEstimator{orderKeys: map[string]model.Micros{preempting.ID: LateOrderKey}},
		Reservations: map[*model.JobState][]Reservation{preempting: {{Preempted: true}}, older: {{}}},
	}
	for _, want := range []string{"j-3 j-2 j-1", "j-3 j-1 j-2"} {
		round.Sort()
		got := round.Jobs[0].ID + " " + round.Jobs[1].ID + " " + round.Jobs[2].ID
		if got != want {
			t.Errorf("served in the order %s, want %s", got, want)
		}
		round.Reservations[preempting] = []Reservation{{}} // reserved, but no task was preempted for it
	}
}

// A job that may use spot machines prefers them, even if it has to fetch its image there,
// unless a lost task would make it late. It is not placed on a surplus machine unless it
// has waited for surplusAllowedAfter.
func TestJobsPreferSpotMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		late    bool // the job is late if a task is lost
		surplus bool // the on-demand machine is surplus
		full    bool // the spot machine is full
		waited  model.Micros
		want    string
	}{
		{name: "a job with time to spare", want: "spot"},
		{name: "a job that a lost task makes late", late: true, want: "ordinary"},
		{name: "the spot machine is full", full: true, want: "ordinary"},
		{name: "the on-demand machine is surplus", late: true, surplus: true, want: "spot"},
		{name: "the same, and the spot machine is full", late: true, surplus: true, full: true, want: ""},
		{name: "the same, and the job has waited long", late: true, surplus: true, full: true, waited: surplusAllowedAfter, want: "ordinary"},
	} {
		onDemand, spot := testMachine("ordinary", false), testMachine("spot", true)
		onDemand.Cache, onDemand.Surplus = []string{"i"}, c.surplus
		if c.full {
			spot.Used = spot.Size
		}
		job := flexibleJob()
		job.LateIfTaskLost = c.late
		job.ReadySince -= c.waited
		executor := &testExecutor{}
		testRound(job, executor, onDemand, spot).Run()
		if executor.boundTo != c.want {
			t.Errorf("%s: bound to %q, want %q", c.name, executor.boundTo, c.want)
		}
	}
}

// testNow is the time of the rounds of testRound.
const testNow = model.Micros(1000)

// testMachine returns a machine that accepts tasks.
func testMachine(id string, spot bool) *model.Machine {
	return &model.Machine{ID: id, MachineType: "box", Zone: "a", Spot: spot, Size: model.Resources{Cores: 8000}, Up: true, ReceivesResponses: true}
}

// flexibleJob returns a new job with one task that may use spot machines.
func flexibleJob() *model.JobState {
	description := &model.Job{
		ID:           "j-1",
		Team:         "red",
		Tasks:        1,
		Request:      model.Resources{Cores: 1000},
		AllowsSpot:   true,
		Image:        "i",
		ImageGB:      5,
		EstimatedRun: 100 * model.Second,
	}
	return &model.JobState{Job: description, Waiting: []int{0}, ReadySince: testNow}
}

// testRound returns a round with a single job.
func testRound(job *model.JobState, executor Executor, machines ...*model.Machine) *Round {
	return &Round{
		Now:              testNow,
		HeartbeatTimeout: model.Second,
		Machines:         machines,
		MachineTypes:     map[string]*model.MachineType{"box": {Name: "box", Cores: 8, FetchGBps: 0.2, Price: 4, SpotPrice: 1}},
		Jobs:             []*model.JobState{job},
		Teams:            map[string]*model.Team{"red": {Limit: model.Resources{Cores: 100_000}}},
		Estimates:        testEstimator{},
		Executor:         executor,
	}
}
