package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// State is a test double for the state service: a key-value store with transactions, leases
// and a watch. When an outage ends, every lease starts again with its full TTL.
type State struct {
	// TxnOps limits the number of changes of a transaction, ValueKB the size of a value.
	TxnOps  int
	ValueKB int
	// RefusedNodes are the nodes whose requests are refused while other nodes are served.
	RefusedNodes map[string]bool
	// KeptEvents is the number of latest events that a watch can return.
	KeptEvents int
	// RequestedWrites counts the changes of all transactions within the limits, also of
	// those whose conditions failed. WatchRequests counts the watch requests, and
	// TooBigTxns the transactions that were refused as too large.
	RequestedWrites int
	WatchRequests   int
	TooBigTxns      int
	// Log has every transaction that was accepted, or rejected by a condition or an ended
	// lease. It is kept only if KeepLog is set.
	Log     []TxnRecord
	KeepLog bool

	sim      *Sim
	outage   bool
	revision uint64
	keys     map[string]state.Entry
	events   []state.Event
	leases   map[uint64]*lease
	nextID   uint64
	// Once the limits are lowered, transactions that are too large or exceed the write
	// rate are refused. writeBudget is the number of writes that were allowed at budgetAt;
	// it grows by writeRate per second, up to writeRate.
	limitsLowered bool
	writeRate     float64
	writeBudget   float64
	budgetAt      model.Micros
}

// TxnRecord is a transaction with its outcome, as recorded in State.Log.
type TxnRecord struct {
	At       model.Micros
	Node     string
	Txn      *state.Txn
	Revision uint64   // the revision after an accepted transaction
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

// LowerLimits lowers the limits, as the service may do at any time. Stored values stay, even
// those that exceed the new limits.
func (s *State) LowerLimits(valueKB, txnOps int, writesPerSecond float64) {
	s.ValueKB, s.TxnOps, s.writeRate, s.limitsLowered = valueKB, txnOps, writesPerSecond, true
	s.writeBudget, s.budgetAt = writesPerSecond, s.sim.Now
}

// tooBig reports whether a transaction exceeds the limits. It panics if one does before the
// limits are lowered, since no controller may send such a transaction then.
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

// SetOutage begins or ends an outage, during which the requests of all nodes are refused.
func (s *State) SetOutage(active bool) {
	s.expireLeases()
	s.outage = active
	if !active {
		for _, l := range s.leases {
			l.expiresAt = s.sim.Now + l.ttl
		}
	}
}

// expireLeases removes the leases that have run out. None runs out during an outage.
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

// removeLease removes a lease and the keys attached to it, all in one revision.
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

// refuses reports whether requests of a node are refused now.
func (s *State) refuses(node string) bool {
	s.expireLeases()
	return s.outage || s.RefusedNodes[node]
}

// Get returns the entry of a key: GET /keys/{key}.
func (s *State) Get(node, key string) (*state.Entry, error) {
	if s.refuses(node) {
		return nil, state.ErrRefused
	}
	if e, ok := s.keys[key]; ok {
		return &e, nil
	}
	return nil, state.ErrMissing
}

// List returns all entries, sorted by path, and the current revision: GET /keys with all
// pages.
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

// Watch returns the events after revision from: GET /watch without waiting.
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

// Commit applies a transaction if all its conditions hold: POST /commit.
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

// withinWriteRate reports whether the budget allows that many writes, and deducts them if
// it does.
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

// keyWithoutLease returns the first key that the transaction attaches to a lease that has
// ended, or "" if there is none.
func (s *State) keyWithoutLease(txn *state.Txn) string {
	for _, op := range txn.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return op.Set
		}
	}
	return ""
}

// failedConditions returns the keys whose revision differs from the expected one.
func (s *State) failedConditions(txn *state.Txn) (failed []string) {
	for _, condition := range txn.Conditions {
		if s.keys[condition.Path].Revision != condition.Revision {
			failed = append(failed, condition.Path)
		}
	}
	return failed
}

// apply applies the changes of a transaction whose conditions hold.
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

// GrantLease creates a lease: POST /grants.
func (s *State) GrantLease(node string, ttl model.Micros) (uint64, error) {
	if s.refuses(node) {
		return 0, state.ErrRefused
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.sim.Now + ttl}
	return s.nextID, nil
}

// RenewLease renews a lease for its full TTL: POST /grants/{id}/touch.
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

// EndLease ends a lease and removes the keys attached to it: DELETE /grants/{id}.
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

// KeyCount returns the number of keys with a prefix.
func (s *State) KeyCount(prefix string) (n int) {
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// HasKey reports whether a key exists.
func (s *State) HasKey(key string) bool { _, ok := s.keys[key]; return ok }
