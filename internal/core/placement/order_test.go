package placement

import (
	"testing"

	"woadweir/internal/core/model"
)

// With a guarantee objective, jobs count against their team's guarantee one by one, the
// oldest first, and can meet the objective only for that time.
func TestGuaranteeCountsJobsOneByOne(t *testing.T) {
	const guarantee = 60 * model.Second
	job := func(team string, tasks int, readySince model.Micros) *model.JobState {
		return &model.JobState{Job: &model.Job{Team: team, Tasks: tasks, Request: model.Resources{Cores: 1000}}, ReadySince: readySince}
	}
	now := 100 * model.Second
	old := job("red", 2, now-guarantee)
	fresh := job("red", 2, now)
	beyond := job("red", 1, now)
	other := job("blue", 4, now)
	unknown := job("none", 1, now)
	round := &Round{
		Now:                now,
		GuaranteeObjective: guarantee,
		Jobs:               []*model.JobState{old, fresh, beyond, other, unknown},
		Teams: map[string]*model.Team{
			"red":  {Guaranteed: model.Resources{Cores: 4000}},
			"blue": {Guaranteed: model.Resources{Cores: 4000}},
		},
	}
	round.markGuaranteed()
	for _, c := range []struct {
		name           string
		job            *model.JobState
		within, inTime bool
	}{
		{name: "old", job: old, within: true},
		{name: "fresh", job: fresh, within: true, inTime: true},
		{name: "beyond the guarantee", job: beyond},
		{name: "another team's", job: other, within: true, inTime: true},
		{name: "an unknown team's", job: unknown},
	} {
		if c.job.WithinGuarantee != c.within || c.job.CanMeetGuarantee != c.inTime {
			t.Errorf("%s: within the guarantee: %v, want %v; can meet the objective: %v, want %v",
				c.name, c.job.WithinGuarantee, c.within, c.job.CanMeetGuarantee, c.inTime)
		}
	}
}
