package workerapi

import (
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

func TestParseHeartbeat(t *testing.T) {
	heartbeat, err := ParseHeartbeat([]byte(`{"host":"host-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,
		"tenure":1,"tally":88,"warrant":41,"recallS":7.5,"new":{},
		"pieces":[{"piece":"j-000412/3","try":2,"status":"running"},{"piece":"j-000398/0","try":1,"status":"ended","cause":"done"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if heartbeat.Sequence != 88 || heartbeat.Token != 41 || !heartbeat.Spot || !heartbeat.SpotNotice || heartbeat.ReclaimedIn != 7_500_000 || len(heartbeat.Tasks) != 2 {
		t.Errorf("got %+v, want sequence 88, token 41, a spot machine reclaimed in 7.5 s, and two tasks", heartbeat)
	}
	if task := heartbeat.Tasks[1]; task.ID != (model.TaskID{Job: "j-000398"}) || task.Status != model.Exited || task.Cause != shard.CauseDone {
		t.Errorf("second task: got %+v, want j-000398/0, exited because it is done", task)
	}
	if heartbeat, err = ParseHeartbeat([]byte(`{"host":"h","tenure":1,"recallS":null}`)); err != nil || heartbeat.SpotNotice {
		t.Errorf("heartbeat with recallS null: got %+v, error %v, want no spot notice", heartbeat, err)
	}
	for _, invalid := range []string{``, `[]`, `{"tenure":1}`, `{"host":"h"}`} {
		if _, err := ParseHeartbeat([]byte(invalid)); err == nil {
			t.Errorf("heartbeat %q: got no error, want one", invalid)
		}
	}
}

// Every exit cause of the protocol must be mapped, and any other value kept unchanged.
func TestExitCauses(t *testing.T) {
	want := map[string]shard.ExitCause{"done": shard.CauseDone, "error": shard.CauseError, "stopped": shard.CauseStopped,
		"mates_gone": shard.CauseGangMemberGone, "alone": shard.CauseGangIncomplete, "unknown": shard.CauseJobUnknown,
		"full": shard.CauseNoCapacity, "in_use": shard.CauseOtherAttempt, "": "", "new word": "new word"}
	for value, cause := range want {
		heartbeat, err := ParseHeartbeat([]byte(`{"host":"h","tenure":1,"pieces":[{"piece":"j-1/0","try":1,"status":"ended","cause":"` + value + `"}]}`))
		if err != nil || len(heartbeat.Tasks) != 1 || heartbeat.Tasks[0].Cause != cause {
			t.Errorf("cause %q: got heartbeat %+v, error %v, want one task with cause %q", value, heartbeat, err, cause)
		}
	}
}

func TestAnswer(t *testing.T) {
	id := model.TaskID{Job: "j-000377", Index: 1}
	got := string(Answer(41, []shard.Command{{Op: shard.StartTask, Task: id, Attempt: 2}, {Op: shard.StopTask, Task: id, Attempt: 1, Grace: 10 * model.Second},
		{Op: shard.StopTask, Task: id, Attempt: 1}, {Op: shard.ClearTask, Task: id, Attempt: 1}}))
	want := `{"warrant":41,"orders":[{"verb":"start","piece":"j-000377/1","try":2},{"verb":"stop","piece":"j-000377/1","try":1,"leewayS":10},` +
		`{"verb":"stop","piece":"j-000377/1","try":1,"leewayS":0},{"verb":"clear","piece":"j-000377/1","try":1}]}`
	if got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
	if got := string(Answer(1, nil)); got != `{"warrant":1,"orders":[]}` {
		t.Errorf("response without commands: got %s, want an empty list of orders", got)
	}
}
