package place

import (
	"testing"

	"woadweir/internal/core/model"
)

// Of jobs of a rank, one for which others have been stopped already goes first, and
// what it was stopped for is not taken by one that could be in time: else it would
// have more stopped elsewhere, and so on.
func TestPaidGoesFirst(t *testing.T) {
	job := func(ref string, order uint64, rank model.Rank) *model.JobState {
		return &model.JobState{Job: &model.Job{Ref: ref, Class: "c", Owner: "red", Shape: model.Gang, Rank: rank, Pieces: 1, Order: order}, Waiting: []int{0}}
	}
	older, paid, higher := job("j-1", 1, model.Urgent), job("j-2", 2, model.Urgent), job("j-3", 3, model.Critical)
	w := &World{Now: model.Second, Jobs: []*model.JobState{paid, older, higher}, Rate: func(string) float64 { return 1 },
		Due:   func(j *model.JobState) model.Micros { return map[string]model.Micros{"j-1": 0, "j-2": Late}[j.Ref] },
		Keeps: map[*model.JobState][]Keep{paid: {{Paid: true}}, older: {{}}}}
	for _, want := range []string{"j-3 j-2 j-1", "j-3 j-1 j-2"} {
		w.Sort()
		got := w.Jobs[0].Ref + " " + w.Jobs[1].Ref + " " + w.Jobs[2].Ref
		if got != want {
			t.Errorf("served in the order %s, want %s", got, want)
		}
		w.Keeps[paid] = []Keep{{}} // kept, but nobody was stopped for it
	}
}
