package place

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
