// Package workerapi decodes the workers' heartbeats and encodes the responses to them.
package workerapi

import (
	"encoding/json"
	"errors"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/jsoncodec"
)

// The JSON names below are those of the workers' protocol: a host is a machine, a build is
// a machine type, a yard is a zone, loaners are spot machines, a tenure is an incarnation of
// a worker, a tally is a sequence number, a recall is the reclaiming of a spot machine, a
// piece is a task, a try is an attempt at it, a warrant is the leader's fencing token, an
// order is a command, a leeway is a grace period, and a steward is a controller.

// wireHeartbeat is the JSON form of a heartbeat.
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

// wireTask is the JSON form of a task's status in a heartbeat.
type wireTask struct {
	TaskID     string `json:"piece"`
	Attempt    uint64 `json:"try"`
	Status     string `json:"status"`
	Cause      string `json:"cause"`
	StateSaved bool   `json:"stored"`
}

// ParseHeartbeat decodes a heartbeat. Tasks whose IDs are not valid are left out.
func ParseHeartbeat(body []byte) (*shard.Heartbeat, error) {
	var wire wireHeartbeat
	if err := jsoncodec.Unmarshal(body, &wire); err != nil {
		return nil, err
	}
	if wire.MachineID == "" || wire.Incarnation == 0 {
		return nil, errors.New("host or tenure is missing")
	}
	heartbeat := &shard.Heartbeat{Machine: wire.MachineID, Addr: wire.Address, MachineType: wire.MachineType, Zone: wire.Zone, Spot: wire.Spot,
		Incarnation: wire.Incarnation, Sequence: wire.Sequence, Token: wire.Token, Tasks: make([]shard.TaskStatus, 0, len(wire.Tasks))}
	if wire.ReclaimedInS != nil {
		heartbeat.SpotNotice, heartbeat.ReclaimedIn = true, model.Seconds(*wire.ReclaimedInS)
	}
	for i := range wire.Tasks {
		task := &wire.Tasks[i]
		id, ok := model.ParseTaskID(task.TaskID)
		if !ok {
			continue
		}
		heartbeat.Tasks = append(heartbeat.Tasks, shard.TaskStatus{ID: id, Attempt: task.Attempt, Status: taskStatuses[task.Status], Cause: parseExitCause(task.Cause), StateSaved: task.StateSaved})
	}
	return heartbeat, nil
}

// exitCauses maps the protocol's values for the cause of a task's exit.
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

// parseExitCause returns the exit cause for a value of the protocol. An unknown value is
// kept as it is for the log.
func parseExitCause(value string) shard.ExitCause {
	if cause, ok := exitCauses[value]; ok {
		return cause
	}
	return shard.ExitCause(value)
}

// commandVerbs maps commands to the protocol's values for them.
var commandVerbs = map[shard.CommandOp]string{
	shard.StartTask: "start",
	shard.StopTask:  "stop",
	shard.ClearTask: "clear",
}

// wireCommand is the JSON form of a command.
type wireCommand struct {
	Verb    string   `json:"verb"`
	TaskID  string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leewayS,omitempty"`
}

// Answer returns the body of a response with commands.
func Answer(token uint64, commands []shard.Command) []byte {
	out := struct {
		Token    uint64        `json:"warrant"`
		Commands []wireCommand `json:"orders"`
	}{token, make([]wireCommand, 0, len(commands))}
	for _, command := range commands {
		wire := wireCommand{Verb: commandVerbs[command.Op], TaskID: command.Task.String(), Attempt: command.Attempt}
		if command.Op == shard.StopTask {
			graceS := command.Grace.Seconds()
			wire.GraceS = &graceS
		}
		out.Commands = append(out.Commands, wire)
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return body
}

// Redirect returns the body of a response with status 421, which redirects a worker to a
// controller, or to any other controller if none is named.
func Redirect(node string) []byte {
	if node == "" {
		return []byte("{}")
	}
	body, err := json.Marshal(map[string]string{"steward": node})
	if err != nil {
		panic(err) // a map of strings can always be encoded
	}
	return body
}

// taskStatuses maps the protocol's values for the state of a task. Any other value counts as
// a state that was not reported.
var taskStatuses = map[string]model.TaskState{
	"pulling":   model.Fetching,
	"gathering": model.WaitingForGang,
	"running":   model.Running,
	"saving":    model.Saving,
	"ended":     model.Exited,
}
