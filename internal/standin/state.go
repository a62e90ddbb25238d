package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// State is a stand-in for the state service: a key-value store with transactions, leases
// and a watch. After an outage every lease has its full time again.
type State struct {
	// TxnOps and ValueKB are the limits on a transaction's changes and on a value.
	TxnOps  int
	ValueKB int
	// Refused are the nodes whose requests alone are refused.
	RefusedNodes map[string]bool
	// Kept is the number of events that are kept for watches.
	KeptEvents int
	// Writes counts the changes that were asked for, Reads the watch requests, and TooBig
	// the transactions that were refused as too large.
	RequestedWrites int
	WatchRequests   int
	TooBigTxns      int
	// Log, if KeepLog is set, is every transaction that was accepted, or refused by a
	// condition.
	Log     []TxnRecord
	KeepLog bool

	sim      *Sim
	outage   bool
	revision uint64
	keys     map[string]state.Entry
	events   []state.Event
	leases   map[uint64]*lease
	nextID   uint64
	// Once the limits are lowered, what is too large is refused, and so is what exceeds
	// the rate of writes. writeBudget is what was left of that rate at budgetAt.
	limitsLowered bool
	writeRate     float64
	writeBudget   float64
	budgetAt      model.Micros
}

// Write is a transaction that was answered, as it stands in State.Log.
type TxnRecord struct {
	At       model.Micros
	Node     string
	Txn      *state.Txn
	Revision uint64   // of an accepted one
	Rejected []string // keys whose conditions failed, or that were to be attached to an ended lease
}

type lease struct {
	ttl, expiresAt model.Micros
}

// NewState returns an empty store with the limits of the production service.
func NewState(sim *Sim) *State {
	return &State{sim: sim, TxnOps: 16, ValueKB: 32, RefusedNodes: map[string]bool{}, keys: map[string]state.Entry{},
		KeptEvents: 10_000, leases: map[uint64]*lease{}}
}

// LowerLimits lowers the limits, as the service may at any time. What is stored stays, even
// where it exceeds them.
func (s *State) LowerLimits(valueKB, txnOps int, writes float64) {
	s.ValueKB, s.TxnOps, s.writeRate, s.limitsLowered = valueKB, txnOps, writes, true
	s.writeBudget, s.budgetAt = writes, s.sim.Now
}

// tooBig tells whether a transaction exceeds the limits. Before they are lowered nobody
// may send one.
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
	if why != "" && !s.limitsLowered {
		panic("transaction too large: " + why)
	}
	return why != ""
}

// SetOutage begins or ends an outage, in which the requests of all nodes are refused.
func (s *State) SetOutage(on bool) {
	s.expireLeases()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expiresAt = s.sim.Now + l.ttl
		}
	}
}

func (s *State) expireLeases() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if s.sim.Now >= l.expiresAt {
			s.removeLease(id)
		}
	}
}

func (s *State) removeLease(id uint64) {
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
	s.revision++
	for _, k := range gone {
		delete(s.keys, k)
		s.events = append(s.events, state.Event{Drop: k, Revision: s.revision})
	}
}

func (s *State) refuses(node string) bool {
	s.expireLeases()
	return s.outage || s.RefusedNodes[node]
}

// Get reads one key: GET /keys/{key}.
func (s *State) Get(node, key string) (*state.Entry, error) {
	if s.refuses(node) {
		return nil, state.ErrRefused
	}
	if e, ok := s.keys[key]; ok {
		return &e, nil
	}
	return nil, state.ErrMissing
}

// List reads all keys, in the order of their paths: GET /keys with all pages.
func (s *State) List(node string) ([]state.Entry, uint64, error) {
	if s.refuses(node) {
		return nil, 0, state.ErrRefused
	}
	var es []state.Entry
	for _, e := range s.keys {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b state.Entry) int { return strings.Compare(a.Path, b.Path) })
	return es, s.revision, nil
}

// Watch returns the events after a revision: GET /watch without waiting.
func (s *State) Watch(node string, from uint64) (*state.Changes, error) {
	s.WatchRequests++
	if s.refuses(node) {
		return nil, state.ErrRefused
	}
	if n := len(s.events); n > s.KeptEvents {
		if s.events[n-s.KeptEvents-1].Revision > from {
			return nil, state.ErrCompacted
		}
	}
	ch := &state.Changes{Revision: s.revision}
	for i := len(s.events) - 1; i >= 0 && s.events[i].Revision > from; i-- {
		ch.Events = append(ch.Events, s.events[i])
	}
	slices.Reverse(ch.Events)
	return ch, nil
}

// Commit carries out a transaction if all its conditions hold: POST /commit.
func (s *State) Commit(node string, t *state.Txn) (*state.Result, error) {
	if s.refuses(node) {
		return nil, state.ErrRefused
	}
	if s.tooBig(t) {
		s.TooBigTxns++
		return nil, state.ErrTooBig
	}
	if !s.withinWriteRate(len(t.Then)) {
		return nil, state.ErrBusy
	}
	s.RequestedWrites += len(t.Then)
	if key := s.keyWithoutLease(t); key != "" {
		s.record(node, t, &state.Result{Failed: []string{key}})
		return nil, state.ErrNoLease
	}
	res := &state.Result{Revision: s.revision, Failed: s.failedConditions(t)}
	if len(res.Failed) == 0 {
		s.apply(t, res)
	}
	s.record(node, t, res)
	return res, nil
}

// withinWriteRate takes that many writes out of the budget, if it has them.
func (s *State) withinWriteRate(writes int) bool {
	if s.writeRate == 0 {
		return true
	}
	s.writeBudget = min(s.writeRate, s.writeBudget+s.writeRate*(s.sim.Now-s.budgetAt).Seconds())
	s.budgetAt = s.sim.Now
	if s.writeBudget < float64(writes) {
		return false
	}
	s.writeBudget -= float64(writes)
	return true
}

// keyWithoutLease is the first key that is to be attached to a lease that has ended, or
// "" if there is none.
func (s *State) keyWithoutLease(t *state.Txn) string {
	for _, op := range t.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return op.Set
		}
	}
	return ""
}

// failedConditions are the keys whose revision is not the expected one.
func (s *State) failedConditions(t *state.Txn) (failed []string) {
	for _, condition := range t.Conditions {
		if s.keys[condition.Path].Revision != condition.Revision {
			failed = append(failed, condition.Path)
		}
	}
	return failed
}

// apply carries out the changes of a transaction whose conditions hold.
func (s *State) apply(t *state.Txn, res *state.Result) {
	res.OK = true
	if len(t.Then) == 0 {
		return
	}
	s.revision++
	res.Revision = s.revision
	for _, op := range t.Then {
		if op.Drop != "" {
			delete(s.keys, op.Drop)
			s.events = append(s.events, state.Event{Drop: op.Drop, Revision: s.revision})
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			panic(err)
		}
		s.keys[op.Set] = state.Entry{Path: op.Set, Value: raw, Revision: s.revision, LeaseID: op.LeaseID}
		s.events = append(s.events, state.Event{Set: op.Set, Value: raw, Revision: s.revision})
	}
}

func (s *State) record(node string, t *state.Txn, res *state.Result) {
	if s.KeepLog {
		s.Log = append(s.Log, TxnRecord{s.sim.Now, node, t, res.Revision, res.Failed})
	}
}

// Grant begins a lease: POST /grants.
func (s *State) GrantLease(node string, ttl model.Micros) (uint64, error) {
	if s.refuses(node) {
		return 0, state.ErrRefused
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.sim.Now + ttl}
	return s.nextID, nil
}

// Touch renews a lease: POST /grants/{id}/touch.
func (s *State) RenewLease(node string, id uint64) error {
	if s.refuses(node) {
		return state.ErrRefused
	}
	l := s.leases[id]
	if l == nil {
		return state.ErrMissing
	}
	l.expiresAt = s.sim.Now + l.ttl
	return nil
}

// End ends a lease and removes the keys attached to it: DELETE /grants/{id}.
func (s *State) EndLease(node string, id uint64) error {
	if s.refuses(node) {
		return state.ErrRefused
	}
	if s.leases[id] == nil {
		return state.ErrMissing
	}
	s.removeLease(id)
	return nil
}

// Keys returns the number of keys with a prefix.
func (s *State) KeyCount(prefix string) (n int) {
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Has tells whether a key exists.
func (s *State) HasKey(key string) bool { _, ok := s.keys[key]; return ok }
