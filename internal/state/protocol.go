package state

import "encoding/json"

// The JSON names below are those of the state service's protocol: path is a key, stamp the
// revision of a key, epoch the revision of the whole store, tenancy the ID of a lease, guards are
// compare-and-swap conditions, drop deletes a key, and starts is a key prefix.

// Condition is a compare-and-swap condition of a transaction: the key must still be at the
// revision. Revision 0 means that the key must not exist.
type Condition struct {
	Path     string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Op is a write of a transaction. It either sets the key Set to Value, attached to a lease unless
// LeaseID is 0, or deletes the key Drop.
type Op struct {
	Set     string `json:"set,omitempty"`
	Value   any    `json:"value,omitempty"`
	LeaseID uint64 `json:"tenancy,omitempty"`
	Drop    string `json:"drop,omitempty"`
}

// Txn is a transaction: either all conditions hold and all writes are executed, or none is.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Then       []Op        `json:"then,omitempty"`
}

// Result is the outcome of a transaction.
type Result struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"` // keys whose conditions did not hold
	Error    string   `json:"error"`
	OK       bool     `json:"-"`
}

// Entry is a key with its value, revision and lease.
type Entry struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"tenancy"`
}

// Event is a change that a watch returns: either the key Set got a value, or the key Drop was
// deleted.
type Event struct {
	Set      string          `json:"set"`
	Drop     string          `json:"drop"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// Changes is the response to a watch request.
type Changes struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"events"`
}

// entryPage is one page of a listing.
type entryPage struct {
	Entries  []Entry `json:"entries"`
	HasNext  bool    `json:"hasNext"`
	Revision uint64  `json:"epoch"`
}

type grantLeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

type grantLeaseResponse struct {
	LeaseID uint64 `json:"tenancy"`
}
