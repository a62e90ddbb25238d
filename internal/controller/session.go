package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// session is the actor that makes the requests which keep this process's lease
// in the state service.
type session struct {
	state *state.Client
	clock Clock
	mail  chan<- any
	name  string
	serve string
	ttl   model.Micros
	// duties tells that this process may hold duties without leading.
	duties bool
	// spills tells that this process is set up to spill.
	spills bool
	// abandon takes sessions that are to be ended instead of renewed.
	abandon chan uint64
}

func pause(ctx context.Context, d model.Micros) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *session) run(ctx context.Context) error {
	core := leadership.NewSession(s.ttl)
	for {
		call := core.Next()
		if !pause(ctx, call.After) {
			return nil
		}
		select {
		case id := <-s.abandon:
			core.Abandon(id)
			continue
		default:
		}
		core.Sending(s.clock())
		reply, err := s.make(call)
		if err != nil {
			slog.Debug("session", "err", err)
		}
		change := core.HandleReply(reply)
		if !change.Changed {
			continue
		}
		if call.Kind != leadership.CallRenew || change.LeaseID == 0 {
			slog.Info("session", "id", change.LeaseID)
		}
		select {
		case s.mail <- msgSession{change.LeaseID, change.SentAt}:
		case <-ctx.Done():
			return nil
		}
	}
}

// make carries a request of the session out.
func (s *session) make(call leadership.Call) (r leadership.Reply, err error) {
	patience := min(s.ttl/5, 2*model.Second)
	key := state.NodeKey(s.name)
	switch call.Kind {
	case leadership.CallRead:
		var e *state.Entry
		if e, err = s.state.Get(key, patience); err == nil {
			var rec state.NodeRecord
			if err := json.Unmarshal(e.Value, &rec); err != nil {
				slog.Error("node key is not readable", "err", err)
			}
			r.LeaseID, r.Revision = rec.Session, e.Revision
		}
	case leadership.CallRevoke:
		err = s.state.RevokeLease(call.LeaseID, patience)
	case leadership.CallGrant:
		r.LeaseID, err = s.state.GrantLease(s.ttl, patience)
	case leadership.CallPut:
		var res *state.Result
		res, err = s.state.Commit(&state.Txn{Conditions: []state.Condition{{Path: key, Revision: call.Revision}},
			Then: []state.Op{{Set: key, Value: state.NodeRecord{Session: call.LeaseID, Serve: s.serve, Layout: state.Layout(s.spills), Duties: s.duties}, LeaseID: call.LeaseID}}}, patience)
		if err == nil && !res.OK {
			r.Outcome = leadership.Conflict
		}
	case leadership.CallRenew:
		err = s.state.RenewLease(call.LeaseID, patience)
	}
	switch {
	case err == nil:
	case errors.Is(err, state.ErrMissing):
		r.Outcome = leadership.Missing
	default:
		r.Outcome = leadership.Unclear
	}
	return r, err
}
