package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// State is a stand-in for the state service. Outage makes it refuse everybody,
// Refused single nodes; leases have their full time again after an outage.
type State struct {
	sim     *Sim
	TxnOps  int
	ValueKB int
	Refused map[string]bool
	outage  bool
	epoch   uint64
	keys    map[string]state.Entry
	log     []state.Event
	Kept    int // changes that are kept for watches
	leases  map[uint64]*lease
	nextID  uint64
	Writes  int
	Reads   int // catch-ups that were asked for
	// After Fall, what is too large is refused, and so is what is too much.
	fallen bool
	rate   float64
	level  float64
	at     model.Micros
	TooBig int // refused as too large
	// Log, if KeepLog is set, is every transaction that was accepted, or refused by a
	// condition.
	Log     []Write
	KeepLog bool
}

// Write is a transaction that was answered.
type Write struct {
	At       model.Micros
	Node     string
	Txn      *state.Txn
	Revision uint64   // of an accepted one
	Rejected []string // keys whose conditions failed, or that were to be attached to an ended lease
}

type lease struct {
	ttl, until model.Micros
}

// NewState makes an empty store.
func NewState(sim *Sim) *State {
	return &State{sim: sim, TxnOps: 16, ValueKB: 32, Refused: map[string]bool{}, keys: map[string]state.Entry{},
		Kept: 10_000, leases: map[uint64]*lease{}}
}

// Fall lowers the limits. What is stored stays.
func (s *State) Fall(valueKB, txnOps int, writes float64) {
	s.ValueKB, s.TxnOps, s.rate, s.fallen = valueKB, txnOps, writes, true
	s.level, s.at = writes, s.sim.Now
}

// tooBig tells that a transaction is beyond the limits. Before they fall nobody may
// send one.
func (s *State) tooBig(t *state.Txn) bool {
	raw, err := json.Marshal(t)
	why := ""
	switch {
	case err != nil || len(raw) > 64<<10:
		panic(fmt.Sprintf("transaction of %d bytes, %v", len(raw), err))
	case len(t.Then) > s.TxnOps || len(t.Conditions) > 4*s.TxnOps:
		why = fmt.Sprintf("%d changes, %d conditions", len(t.Then), len(t.Conditions))
	}
	for _, op := range t.Then {
		if raw, err := json.Marshal(op.Value); err != nil || len(raw) > s.ValueKB*1024 {
			why = fmt.Sprintf("value of %s: %d bytes, %v", op.Set, len(raw), err)
		}
	}
	if why != "" && !s.fallen {
		panic("transaction too large: " + why)
	}
	return why != ""
}

// SetOutage begins or ends an outage.
func (s *State) SetOutage(on bool) {
	s.expire()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.until = s.sim.Now + l.ttl
		}
	}
}

func (s *State) expire() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if s.sim.Now >= l.until {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.LeaseID == id {
			gone = append(gone, k)
		}
	}
	slices.Sort(gone)
	if len(gone) == 0 {
		return
	}
	s.epoch++
	for _, k := range gone {
		delete(s.keys, k)
		s.log = append(s.log, state.Event{Drop: k, Revision: s.epoch})
	}
}

func (s *State) refuse(node string) bool {
	s.expire()
	return s.outage || s.Refused[node]
}

// Get is GET /keys/{key}.
func (s *State) Get(node, key string) (*state.Entry, error) {
	if s.refuse(node) {
		return nil, state.ErrRefused
	}
	if e, ok := s.keys[key]; ok {
		return &e, nil
	}
	return nil, state.ErrMissing
}

// List is GET /keys with all pages.
func (s *State) List(node string) ([]state.Entry, uint64, error) {
	if s.refuse(node) {
		return nil, 0, state.ErrRefused
	}
	var es []state.Entry
	for _, e := range s.keys {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b state.Entry) int { return strings.Compare(a.Path, b.Path) })
	return es, s.epoch, nil
}

// Watch is GET /watch without waiting.
func (s *State) Watch(node string, from uint64) (*state.Changes, error) {
	s.Reads++
	if s.refuse(node) {
		return nil, state.ErrRefused
	}
	if n := len(s.log); n > s.Kept {
		if s.log[n-s.Kept-1].Revision > from {
			return nil, state.ErrCompacted
		}
	}
	ch := &state.Changes{Revision: s.epoch}
	for i := len(s.log) - 1; i >= 0 && s.log[i].Revision > from; i-- {
		ch.Events = append(ch.Events, s.log[i])
	}
	slices.Reverse(ch.Events)
	return ch, nil
}

// Commit is POST /commit.
func (s *State) Commit(node string, t *state.Txn) (*state.Result, error) {
	if s.refuse(node) {
		return nil, state.ErrRefused
	}
	if s.tooBig(t) {
		s.TooBig++
		return nil, state.ErrTooBig
	}
	if s.rate > 0 {
		s.level = min(s.rate, s.level+s.rate*(s.sim.Now-s.at).Seconds())
		s.at = s.sim.Now
		if s.level < float64(len(t.Then)) {
			return nil, state.ErrBusy
		}
		s.level -= float64(len(t.Then))
	}
	s.Writes += len(t.Then)
	res := &state.Result{Revision: s.epoch}
	for _, op := range t.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			s.record(node, t, &state.Result{Failed: []string{op.Set}})
			return nil, state.ErrNoLease
		}
	}
	for _, g := range t.Conditions {
		if s.keys[g.Path].Revision != g.Revision {
			res.Failed = append(res.Failed, g.Path)
		}
	}
	if len(res.Failed) > 0 {
		s.record(node, t, res)
		return res, nil
	}
	res.OK = true
	defer s.record(node, t, res)
	if len(t.Then) == 0 {
		return res, nil
	}
	s.epoch++
	res.Revision = s.epoch
	for _, op := range t.Then {
		if op.Drop != "" {
			delete(s.keys, op.Drop)
			s.log = append(s.log, state.Event{Drop: op.Drop, Revision: s.epoch})
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			panic(err)
		}
		s.keys[op.Set] = state.Entry{Path: op.Set, Value: raw, Revision: s.epoch, LeaseID: op.LeaseID}
		s.log = append(s.log, state.Event{Set: op.Set, Value: raw, Revision: s.epoch})
	}
	return res, nil
}

func (s *State) record(node string, t *state.Txn, res *state.Result) {
	if s.KeepLog {
		s.Log = append(s.Log, Write{s.sim.Now, node, t, res.Revision, res.Failed})
	}
}

// Grant is POST /grants.
func (s *State) Grant(node string, ttl model.Micros) (uint64, error) {
	if s.refuse(node) {
		return 0, state.ErrRefused
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.sim.Now + ttl}
	return s.nextID, nil
}

// Touch is POST /grants/{id}/touch.
func (s *State) Touch(node string, id uint64) error {
	if s.refuse(node) {
		return state.ErrRefused
	}
	l := s.leases[id]
	if l == nil {
		return state.ErrMissing
	}
	l.until = s.sim.Now + l.ttl
	return nil
}

// End is DELETE /grants/{id}.
func (s *State) End(node string, id uint64) error {
	if s.refuse(node) {
		return state.ErrRefused
	}
	if s.leases[id] == nil {
		return state.ErrMissing
	}
	s.endLease(id)
	return nil
}

// Keys counts the keys with a prefix.
func (s *State) Keys(prefix string) (n int) {
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Has tells whether a key exists.
func (s *State) Has(key string) bool { _, ok := s.keys[key]; return ok }
