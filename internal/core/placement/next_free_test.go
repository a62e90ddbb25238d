package placement

import (
	"slices"
	"testing"

	"woadweir/internal/core/model"
)

// A gang gets the slots that are free first, as its SameZone and Spread rules allow, and
// fewer than it needs if there are not enough.
func TestChooseFutureSlots(t *testing.T) {
	for _, c := range []struct {
		name             string
		tasks            int
		sameZone, spread bool
		want             []string // machines
	}{
		{name: "anywhere", tasks: 3, want: []string{"a1", "b1", "b2"}},
		{name: "in one zone", tasks: 3, sameZone: true, want: []string{"b1", "b2", "b3"}},
		{name: "in one zone, the one that has all first", tasks: 2, sameZone: true, want: []string{"b1", "b2"}},
		{name: "in one zone that is too small", tasks: 4, sameZone: true},
		{name: "at most half in a zone", tasks: 4, spread: true, want: []string{"a1", "a2", "b1", "b2"}},
		{name: "both rules, one task", tasks: 1, sameZone: true, spread: true, want: []string{"a1"}},
		{name: "more than there are", tasks: 6, want: []string{"a1", "b1", "b2", "b3", "a2"}},
	} {
		gang := &model.JobState{Job: &model.Job{Kind: model.Gang, Tasks: c.tasks, SameZone: c.sameZone, Spread: c.spread}}
		byZone := map[string][]futureSlot{
			"a": {testSlot("a2", 9), testSlot("a1", 1)},
			"b": {testSlot("b3", 4), testSlot("b1", 2), testSlot("b2", 3)},
		}
		var got []string
		for _, slot := range chooseFutureSlots(gang, byZone) {
			got = append(got, slot.target.machine.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %d tasks get slots on %v, want %v", c.name, c.tasks, got, c.want)
		}
	}
}

// testSlot returns a slot on a machine that is free after some seconds.
func testSlot(machine string, seconds model.Micros) futureSlot {
	return futureSlot{target: &target{machine: &model.Machine{ID: machine}}, timeUntilFree: seconds * model.Second}
}
