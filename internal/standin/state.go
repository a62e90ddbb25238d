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
func (s *State) tooBig(txn *state.Txn) bool {
	raw, err := json.Marshal(txn)
	reason := ""
	switch {
	case err != nil || len(raw) > 64<<10:
		panic(fmt.Sprintf("transaction of %d bytes, %v", len(raw), err))
	case len(txn.Then) > s.TxnOps || len(txn.Conditions) > 4*s.TxnOps:
		reason = fmt.Sprintf("%d changes, %d conditions", len(txn.Then), len(txn.Conditions))
	}
	for _, op := range txn.Then {
		if raw, err := json.Marshal(op.Value); err != nil || len(raw) > s.ValueKB*1024 {
			reason = fmt.Sprintf("value of %s: %d bytes, %v", op.Set, len(raw), err)
		}
	}
	if reason != "" && !s.limitsLowered {
		panic("transaction too large: " + reason)
	}
	return reason != ""
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
	var removed []string
	for k, e := range s.keys {
		if e.LeaseID == id {
			removed = append(removed, k)
		}
	}
	slices.Sort(removed)
	if len(removed) == 0 {
		return
	}
	s.revision++
	for _, k := range removed {
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
	var entries []state.Entry
	for _, e := range s.keys {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b state.Entry) int { return strings.Compare(a.Path, b.Path) })
	return entries, s.revision, nil
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
	changes := &state.Changes{Revision: s.revision}
	for i := len(s.events) - 1; i >= 0 && s.events[i].Revision > from; i-- {
		changes.Events = append(changes.Events, s.events[i])
	}
	slices.Reverse(changes.Events)
	return changes, nil
}

// Commit carries out a transaction if all its conditions hold: POST /commit.
func (s *State) Commit(node string, txn *state.Txn) (*state.Result, error) {
	if s.refuses(node) {
		return nil, state.ErrRefused
	}
	if s.tooBig(txn) {
		s.TooBigTxns++
		return nil, state.ErrTooBig
	}
	if !s.withinWriteRate(len(txn.Then)) {
		return nil, state.ErrBusy
	}
	s.RequestedWrites += len(txn.Then)
	if key := s.keyWithoutLease(txn); key != "" {
		s.record(node, txn, &state.Result{Failed: []string{key}})
		return nil, state.ErrNoLease
	}
	result := &state.Result{Revision: s.revision, Failed: s.failedConditions(txn)}
	if len(result.Failed) == 0 {
		s.apply(txn, result)
	}
	s.record(node, txn, result)
	return result, nil
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
func (s *State) keyWithoutLease(txn *state.Txn) string {
	for _, op := range txn.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return op.Set
		}
	}
	return ""
}

// failedConditions are the keys whose revision is not the expected one.
func (s *State) failedConditions(txn *state.Txn) (failed []string) {
	for _, condition := range txn.Conditions {
		if s.keys[condition.Path].Revision != condition.Revision {
			failed = append(failed, condition.Path)
		}
	}
	return failed
}

// apply carries out the changes of a transaction whose conditions hold.
func (s *State) apply(txn *state.Txn, result *state.Result) {
	result.OK = true
	if len(txn.Then) == 0 {
		return
	}
	s.revision++
	result.Revision = s.revision
	for _, op := range txn.Then {
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

func (s *State) record(node string, txn *state.Txn, result *state.Result) {
	if s.KeepLog {
		s.Log = append(s.Log, TxnRecord{s.sim.Now, node, txn, result.Revision, result.Failed})
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
