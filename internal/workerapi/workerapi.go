// Package workerapi translates between the workers' messages and the core.
package workerapi

import (
	"encoding/json"
	"errors"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

type wireHeartbeat struct {
	MachineID    string     `json:"host"`
	Address      string     `json:"address"`
	MachineType  string     `json:"build"`
	Zone         string     `json:"yard"`
	Spot         bool       `json:"loaners"`
	Incarnation  uint64     `json:"tenure"`
	Sequence     uint64     `json:"tally"`
	Token        uint64     `json:"warrant"`
	ReclaimedInS *float64   `json:"recallS"`
	Tasks        []wireTask `json:"pieces"`
}

type wireTask struct {
	TaskID  string `json:"piece"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause"`
	Stored  bool   `json:"stored"`
}

// ParseHeartbeat reads a check-in.
func ParseHeartbeat(body []byte) (*shard.Heartbeat, error) {
	var w wireHeartbeat
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if w.MachineID == "" || w.Incarnation == 0 {
		return nil, errors.New("host or tenure is missing")
	}
	r := &shard.Heartbeat{Machine: w.MachineID, Addr: w.Address, MachineType: w.MachineType, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, Token: w.Token, Tasks: make([]shard.TaskStatus, 0, len(w.Tasks))}
	if w.ReclaimedInS != nil {
		r.SpotNotice, r.ReclaimedIn = true, model.Seconds(*w.ReclaimedInS)
	}
	for i := range w.Tasks {
		p := &w.Tasks[i]
		id, ok := model.ParseTaskID(p.TaskID)
		if !ok {
			continue
		}
		r.Tasks = append(r.Tasks, shard.TaskStatus{ID: id, Attempt: p.Attempt, Status: taskStatuses[p.Status], Cause: parseExitCause(p.Cause), StateSaved: p.Stored})
	}
	return r, nil
}

// exitCauses are the words of the protocol for causes of exits.
var exitCauses = map[string]shard.ExitCause{
	"done":       shard.CauseDone,
	"error":      shard.CauseError,
	"stopped":    shard.CauseStopped,
	"mates_gone": shard.CauseGangMemberGone,
	"alone":      shard.CauseGangIncomplete,
	"unknown":    shard.CauseJobUnknown,
	"full":       shard.CauseNoCapacity,
	"in_use":     shard.CauseOtherAttempt,
}

// parseExitCause reads the wire form. A word that we do not know is kept for the log.
func parseExitCause(word string) shard.ExitCause {
	if cause, ok := exitCauses[word]; ok {
		return cause
	}
	return shard.ExitCause(word)
}

// commandVerbs are the words of the protocol for operations.
var commandVerbs = map[shard.CommandOp]string{
	shard.StartTask: "start",
	shard.StopTask:  "stop",
	shard.ClearTask: "clear",
}

type wireCommand struct {
	Verb    string   `json:"verb"`
	TaskID  string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leewayS,omitempty"`
}

// Answer renders a response with commands.
func Answer(token uint64, commands []shard.Command) []byte {
	out := struct {
		Token    uint64        `json:"warrant"`
		Commands []wireCommand `json:"orders"`
	}{token, make([]wireCommand, 0, len(commands))}
	for _, o := range commands {
		w := wireCommand{Verb: commandVerbs[o.Op], TaskID: o.Task.String(), Attempt: o.Attempt}
		if o.Op == shard.StopTask {
			s := o.Grace.Seconds()
			w.GraceS = &s
		}
		out.Commands = append(out.Commands, w)
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err) // plain structs always marshal
	}
	return b
}

// Redirect renders the body of a 421.
func Redirect(steward string) []byte {
	if steward == "" {
		return []byte("{}")
	}
	b, err := json.Marshal(map[string]string{"steward": steward})
	if err != nil {
		panic(err)
	}
	return b
}

// taskStatuses maps the wire's words for the state of a task. Any other word is taken as
// not reported.
var taskStatuses = map[string]model.TaskState{
	"pulling":   model.Fetching,
	"gathering": model.WaitingForGang,
	"running":   model.Running,
	"saving":    model.Saving,
	"ended":     model.Exited,
}
