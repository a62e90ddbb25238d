package placement

import (
	"testing"

	"woadweir/internal/core/model"
)

// Of jobs of a rank, one for which others have been stopped already goes first, and
// what it was stopped for is not taken by one that could be in time: else it would
// have more stopped elsewhere, and so on.
func TestPaidGoesFirst(t *testing.T) {
	job := func(ref string, order uint64, rank model.Priority) *model.JobState {
		return &model.JobState{Job: &model.Job{ID: ref, Class: "c", Team: "red", Kind: model.Gang, Priority: rank, Tasks: 1, AcceptedRevision: order}, Waiting: []int{0}}
	}
	older, paid, higher := job("j-1", 1, model.HighPriority), job("j-2", 2, model.HighPriority), job("j-3", 3, model.ProductionPriority)
	w := &World{Now: model.Second, Jobs: []*model.JobState{paid, older, higher}, Rate: func(string) float64 { return 1 },
		DueAt:        func(j *model.JobState) model.Micros { return map[string]model.Micros{"j-1": 0, "j-2": Late}[j.ID] },
		Reservations: map[*model.JobState][]Reservation{paid: {{Preempted: true}}, older: {{}}}}
	for _, want := range []string{"j-3 j-2 j-1", "j-3 j-1 j-2"} {
		w.Sort()
		got := w.Jobs[0].ID + " " + w.Jobs[1].ID + " " + w.Jobs[2].ID
		if got != want {
			t.Errorf("served in the order %s, want %s", got, want)
		}
		w.Reservations[paid] = []Reservation{{}} // kept, but nobody was stopped for it
	}
}

// Work that may use spot machines prefers them, even if it has to fetch its image there,
// unless a lost task would make it late; and it never goes to a machine that is to come
// empty.
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
		{"the ordinary machine is to come empty", true, true, true, "spot", 0},
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
		got := ""
		job.ReadySince = 1000 - c.waited
		w := &World{Now: 1000, HeartbeatTimeout: model.Second, Machines: []*model.Machine{ordinary, spot}, Jobs: []*model.JobState{job},
			Teams:        map[string]*model.Team{"red": {Limit: model.Resources{Cores: 100_000}}},
			MachineTypes: map[string]*model.MachineType{"box": {Name: "box", Cores: 8, FetchGBps: 0.2, Price: 4, SpotPrice: 1}},
			Rate:         func(string) float64 { return 1 }, NextAttempt: func() uint64 { return 1 },
			Bind: func(j *model.JobState, n int, m *model.Machine, attempt uint64) { got, j.Waiting = m.ID, nil }}
		w.Round()
		if got != c.want {
			t.Errorf("%s: goes to %q, want %q", c.what, got, c.want)
		}
	}
}
