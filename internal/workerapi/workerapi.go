// Package workerapi translates between the workers' messages and the core.
package workerapi

import (
	"encoding/json"
	"errors"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

type wireReport struct {
	Host    string      `json:"host"`
	Address string      `json:"address"`
	Build   string      `json:"build"`
	Yard    string      `json:"yard"`
	Loaners bool        `json:"loaners"`
	Tenure  uint64      `json:"tenure"`
	Tally   uint64      `json:"tally"`
	Warrant uint64      `json:"warrant"`
	RecallS *float64    `json:"recallS"`
	Pieces  []wirePiece `json:"pieces"`
}

type wirePiece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause"`
	Stored bool   `json:"stored"`
}

// ParseHeartbeat reads a check-in.
func ParseHeartbeat(body []byte) (*shard.Heartbeat, error) {
	var w wireReport
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if w.Host == "" || w.Tenure == 0 {
		return nil, errors.New("host or tenure is missing")
	}
	r := &shard.Heartbeat{Machine: w.Host, Addr: w.Address, MachineType: w.Build, Zone: w.Yard, Spot: w.Loaners,
		Incarnation: w.Tenure, Sequence: w.Tally, Token: w.Warrant, Tasks: make([]shard.TaskStatus, 0, len(w.Pieces))}
	if w.RecallS != nil {
		r.SpotNotice, r.ReclaimedIn = true, model.Seconds(*w.RecallS)
	}
	for i := range w.Pieces {
		p := &w.Pieces[i]
		id, ok := model.ParseTaskID(p.Piece)
		if !ok {
			continue
		}
		r.Tasks = append(r.Tasks, shard.TaskStatus{ID: id, Attempt: p.Try, Status: taskStatuses[p.Status], Cause: exitCauseOf(p.Cause), Stored: p.Stored})
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

// exitCauseOf reads the wire form. A word that we do not know is kept for the log.
func exitCauseOf(word string) shard.ExitCause {
	if cause, ok := exitCauses[word]; ok {
		return cause
	}
	return shard.ExitCause(word)
}

// verbs are the words of the protocol for operations.
var verbs = map[shard.CommandOp]string{
	shard.StartTask: "start",
	shard.StopTask:  "stop",
	shard.ClearTask: "clear",
}

type wireOrder struct {
	Verb    string   `json:"verb"`
	Piece   string   `json:"piece"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leewayS,omitempty"`
}

// Answer renders a response with commands.
func Answer(token uint64, commands []shard.Command) []byte {
	out := struct {
		Warrant uint64      `json:"warrant"`
		Orders  []wireOrder `json:"orders"`
	}{token, make([]wireOrder, 0, len(commands))}
	for _, o := range commands {
		w := wireOrder{Verb: verbs[o.Op], Piece: o.Task.String(), Try: o.Attempt}
		if o.Op == shard.StopTask {
			s := o.Grace.Seconds()
			w.LeewayS = &s
		}
		out.Orders = append(out.Orders, w)
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err) // plain structs always marshal
	}
	return b
}

// Elsewhere renders the body of a 421.
func Elsewhere(steward string) []byte {
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
var taskStatuses = map[string]model.Status{
	"pulling":   model.Fetching,
	"gathering": model.WaitingForGang,
	"running":   model.Running,
	"saving":    model.Saving,
	"ended":     model.Exited,
}
