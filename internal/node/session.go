package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// session is the actor that keeps this process's lease in the state service.
type session struct {
	state *state.Client
	clock Clock
	mail  chan<- any
	name  string
	serve string
	ttl   model.Micros
}

func pause(ctx context.Context, d model.Micros) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

const sessionRetry = 250 * model.Millisecond

// run ends the lease of the former process of this node, then keeps one of its
// own, and replaces it when it is over.
func (s *session) run(ctx context.Context) error {
	for ctx.Err() == nil {
		id, sent, err := s.open()
		if err != nil {
			slog.Debug("session", "err", err)
			if !pause(ctx, sessionRetry) {
				return nil
			}
			continue
		}
		slog.Info("session", "id", id)
		if !s.tell(ctx, msgSession{id, sent}) || !s.keep(ctx, id) {
			return nil
		}
		slog.Info("session over", "id", id)
		if !s.tell(ctx, msgSession{}) {
			return nil
		}
	}
	return nil
}

func (s *session) tell(ctx context.Context, m msgSession) bool {
	select {
	case s.mail <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// open obtains a new lease and puts the node's key under it.
func (s *session) open() (id uint64, sent model.Micros, err error) {
	key := "node/" + s.name
	stamp := uint64(0)
	old, err := s.state.Get(key, 2*model.Second)
	switch {
	case err == nil:
		// Only this node writes the key, so the lease in it is that of a process
		// that is no more.
		var rec state.NodeRecord
		if json.Unmarshal(old.Value, &rec) == nil && rec.Session != 0 {
			if err := s.state.End(rec.Session, 2*model.Second); err != nil {
				return 0, 0, err
			}
			slog.Info("ended the former session", "id", rec.Session)
		}
		if e, err := s.state.Get(key, 2*model.Second); err == nil {
			stamp = e.Stamp
		} else if !errors.Is(err, state.ErrMissing) {
			return 0, 0, err
		}
	case !errors.Is(err, state.ErrMissing):
		return 0, 0, err
	}
	sent = s.clock()
	id, err = s.state.Grant(s.ttl, 2*model.Second)
	if err != nil {
		return 0, 0, err
	}
	res, err := s.state.Commit(&state.Txn{Guards: []state.Guard{{Path: key, Stamp: stamp}},
		Then: []state.Op{{Set: key, Value: state.NodeRecord{Session: id, Serve: s.serve}, Tenancy: id}}}, 2*model.Second)
	if err != nil {
		return 0, 0, err
	}
	if !res.OK {
		return 0, 0, errors.New("node key was changed meanwhile")
	}
	return id, sent, nil
}

// keep touches the lease until it is over (true) or the process ends (false).
func (s *session) keep(ctx context.Context, id uint64) bool {
	wait := s.ttl / 6
	for pause(ctx, wait) {
		sent := s.clock()
		err := s.state.Touch(id, min(s.ttl/5, 2*model.Second))
		switch {
		case err == nil:
			wait = s.ttl / 6
			if !s.tell(ctx, msgSession{id, sent}) {
				return false
			}
		case errors.Is(err, state.ErrMissing):
			return true
		default:
			slog.Debug("touch", "err", err)
			wait = sessionRetry
		}
	}
	return false
}
