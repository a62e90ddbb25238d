package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/state"
)

// The timeout of a request that keeps the session is the session's time to live divided by
// sessionTimeoutDivisor, but at most maxSessionTimeout.
const (
	sessionTimeoutDivisor = 5
	maxSessionTimeout     = 2 * model.Second
)

// session is the actor that keeps this process's session with the state service alive. It
// makes the requests that leadership.Session decides on. The end of the session deletes the
// keys bound to it.
type session struct {
	state        *state.Client
	clock        Clock
	mailbox      chan<- any
	name         string
	serveAddress string
	ttl          model.Micros
	// mayHoldDuties is set if this process may hold duties without leading.
	mayHoldDuties bool
	// spills is set if this process is configured to exchange jobs with other cells.
	spills bool
	// abandon receives sessions that are to be ended instead of renewed.
	abandon chan uint64
}

// sleep waits for a duration and reports whether the context was still active at its end.
func sleep(ctx context.Context, d model.Micros) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// run keeps the session until the context ends, and reports its changes to the controller
// actor.
func (s *session) run(ctx context.Context) error {
	protocol := leadership.NewSession(s.ttl)
	for {
		call := protocol.Next()
		if !sleep(ctx, call.After) {
			return nil
		}
		select {
		case id := <-s.abandon:
			protocol.Abandon(id)
			continue
		default:
		}
		protocol.Sending(s.clock())
		reply, err := s.execute(call)
		if err != nil {
			slog.Debug("session request to the state service failed", "err", err)
		}
		change := protocol.HandleReply(reply)
		if !change.Changed {
			continue
		}
		if call.Kind != leadership.CallRenew || change.LeaseID == 0 {
			slog.Info("session with the state service changed; id 0 means none", "id", change.LeaseID)
		}
		select {
		case s.mailbox <- msgSession{change.LeaseID, change.SentAt}:
		case <-ctx.Done():
			return nil
		}
	}
}

// execute makes a request to the state service. The outcome in the reply distinguishes a
// missing lease or key from an unclear result.
func (s *session) execute(call leadership.Call) (r leadership.Reply, err error) {
	timeout := min(s.ttl/sessionTimeoutDivisor, maxSessionTimeout)
	switch call.Kind {
	case leadership.CallRead:
		r, err = s.readNode(timeout)
	case leadership.CallRevoke:
		err = s.state.RevokeLease(call.LeaseID, timeout)
	case leadership.CallGrant:
		r.LeaseID, err = s.state.GrantLease(s.ttl, timeout)
	case leadership.CallPut:
		r, err = s.putNode(call, timeout)
	case leadership.CallRenew:
		err = s.state.RenewLease(call.LeaseID, timeout)
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

// nodeKey returns the key of this process's record, which is bound to its session.
func (s *session) nodeKey() string { return state.NodeKey(s.name) }

// readNode reads which session the former process with this name had.
func (s *session) readNode(timeout model.Micros) (r leadership.Reply, err error) {
	entry, err := s.state.Get(s.nodeKey(), timeout)
	if err != nil {
		return r, err
	}
	var record state.NodeRecord
	if err := jsoncodec.Unmarshal(entry.Value, &record); err != nil {
		slog.Error("the record of this controller's former process is not readable", "err", err)
	}
	r.LeaseID, r.Revision = record.Session, entry.Revision
	return r, nil
}

// putNode writes this process's record, unless another process has written it meanwhile.
func (s *session) putNode(call leadership.Call, timeout model.Micros) (r leadership.Reply, err error) {
	record := state.NodeRecord{Session: call.LeaseID, ServeAddress: s.serveAddress, Layout: state.Layout(s.spills), MayHoldDuties: s.mayHoldDuties}
	res, err := s.state.Commit(&state.Txn{
		Conditions: []state.Condition{{Path: s.nodeKey(), Revision: call.Revision}},
		Then:       []state.Op{{Set: s.nodeKey(), Value: record, LeaseID: call.LeaseID}}}, timeout)
	if err == nil && !res.OK {
		r.Outcome = leadership.Conflict
	}
	return r, err
}
