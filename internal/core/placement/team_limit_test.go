package placement

import (
	"slices"
	"testing"

	"woadweir/internal/core/model"
)

// No more of a team's own tasks are stopped than its limit requires: no tasks without GPUs
// if only GPUs are missing, and none at all if stopping all of them would not be enough.
func TestChooseVictims(t *testing.T) {
	victim := func(id string, cores, gpus model.Milli) *model.Binding {
		return &model.Binding{ID: model.TaskID{Job: id}, Job: &model.Job{Request: model.Resources{Cores: cores, GPUs: gpus}}}
	}
	victims := []*model.Binding{victim("small", 1000, 0), victim("gpu", 2000, 1000), victim("large", 4000, 0)}
	for _, c := range []struct {
		name string
		left model.Resources
		want []string
	}{
		{name: "the limit is kept", left: model.Resources{Mem: -1}},
		{name: "cores are missing", left: model.Resources{Cores: -3000}, want: []string{"small", "gpu"}},
		{name: "only GPUs are missing", left: model.Resources{GPUs: -1000}, want: []string{"gpu"}},
		{name: "both are missing", left: model.Resources{Cores: -3500, GPUs: -1000}, want: []string{"small", "gpu", "large"}},
		{name: "too many cores are missing", left: model.Resources{Cores: -7001}},
		{name: "too many GPUs are missing", left: model.Resources{GPUs: -1001}},
	} {
		var got []string
		for _, chosen := range (limitPreemption{left: c.left, victims: victims}).chooseVictims() {
			got = append(got, chosen.ID.Job)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: stopped %v, want %v", c.name, got, c.want)
		}
	}
}
