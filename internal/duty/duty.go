// Package duty decides which controller holds which single-holder duty: a task of the deployment
// that at most one controller performs at a time. It does no input or output: its input is what is
// known about leases and controllers, and its output are proposed writes to the state service.
// docs/duties.md has the design.
package duty

import (
	"strconv"

	"woadweir/internal/core/model"
)

// Name is the name of a duty.
type Name string

// The duties: renting machines, returning machines, removing unneeded keys, and reclaiming work from
// lost machines. Reclaiming goes with the shard's grant and has no lease of its own.
const (
	Renting    Name = "renting"
	Returning  Name = "returning"
	Cleanup    Name = "cleanup"
	Reclaiming Name = "reclaiming"
)

// Movable lists the duties that have a lease of their own.
var Movable = []Name{Renting, Returning, Cleanup}

// NeedsCloud reports whether a duty cannot be performed without the cloud.
func (n Name) NeedsCloud() bool { return n == Renting || n == Returning }

// KeyPrefix is the prefix of the keys of duty leases.
const KeyPrefix = "duty/"

// Key returns the key of a duty's lease in the state service.
func (n Name) Key() string { return KeyPrefix + string(n) }

// Reason says why a holder lost a duty.
type Reason string

// The reasons for which a holder loses a duty.
const (
	ReasonNone        Reason = ""
	ReasonSessionOver Reason = "session over"
	ReasonNoCloud     Reason = "cloud not reached"
	ReasonOverloaded  Reason = "overloaded"
	ReasonPreferred   Reason = "another controller is preferred"
)

// Avoidance says that a controller which could not perform a duty should not hold it for some time.
type Avoidance struct {
	UntilMs int64 `json:"untilMs"` // wall-clock time
	Times   int   `json:"times"`   // consecutive failures; each one doubles the time
}

// Lease is the record of a duty's lease. Its key is attached to the holder's session lease, and the
// key's revision is the fencing token.
type Lease struct {
	Holder        string               `json:"holder"`
	Session       uint64               `json:"session"`
	SinceMs       int64                `json:"sinceMs"` // wall-clock time
	Previous      string               `json:"previous,omitempty"`
	PreviousToken uint64               `json:"previousToken,omitempty"`
	Why           Reason               `json:"why,omitempty"` // why the previous holder lost it
	Avoid         map[string]Avoidance `json:"avoid,omitempty"`
	Trace         string               `json:"trace,omitempty"` // trace context, see package tracing
}

// StoredLease is a duty's lease together with its fencing token, as read from the state service.
type StoredLease struct {
	Lease
	Token uint64 // revision of the lease's key, 0: the duty is vacant
}

// IntentState is the state of an intent.
type IntentState string

// The states of an intent.
const (
	Open    IntentState = "open"    // decided, but not executed yet
	Filled  IntentState = "filled"  // a rental: the machines are rented
	Refused IntentState = "refused" // a rental: the cloud has no capacity
	Gone    IntentState = "gone"    // a return: the cloud has confirmed that the machines are gone
)

// Rental is the record of a rental intent: a decision of the leader to rent machines, and its
// outcome.
type Rental struct {
	Request     string      `json:"request"` // ID of the request to the cloud, made of the grant's token and a counter
	MachineType string      `json:"machineType"`
	Zone        string      `json:"zone"`
	Spot        bool        `json:"spot,omitempty"`
	Count       int         `json:"count"`
	Grant       uint64      `json:"grant"` // fencing token of the leader that made the decision
	State       IntentState `json:"state"`
	Machines    []string    `json:"machines,omitempty"`
	Token       uint64      `json:"token,omitempty"` // fencing token of the duty under which the outcome was written
	Trace       string      `json:"trace,omitempty"`
}

// Return is the record of a return intent: machines to be deleted, to which no more tasks may be
// bound.
type Return struct {
	Machines []string    `json:"machines"`
	Grant    uint64      `json:"grant"`
	State    IntentState `json:"state"`
	Token    uint64      `json:"token,omitempty"`
	Trace    string      `json:"trace,omitempty"`
}

// Prefixes of the keys of intents. The rest of the key is a slot number. The key of a finished
// intent is reused for another decision rather than removed, so that a delayed duplicate of the
// write finds another revision and fails.
const (
	RentalPrefix = "intent/rent/"
	ReturnPrefix = "intent/return/"
)

// RentalKey returns the key of a slot for rental intents.
func RentalKey(slot int) string { return RentalPrefix + strconv.Itoa(slot) }

// ReturnKey returns the key of a slot for return intents.
func ReturnKey(slot int) string { return ReturnPrefix + strconv.Itoa(slot) }

// Limits on the number of machines in an intent.
const (
	intentOverhead   = 320 // upper bound for the bytes of all fields but the machines
	machineNameBytes = 26  // upper bound for the bytes of a machine's name, with quotes and a comma
	maxRental        = 50  // the cloud's limit for one rental
	maxReturn        = 100 // the cloud's limit for one deletion
)

// RentAtMost returns how many machines a rental intent may ask for, so that their names fit into a
// value of the state service.
func RentAtMost(valueBytes int) int { return maxMachineNames(valueBytes, maxRental) }

// ReturnAtMost returns how many machines a return intent may name.
func ReturnAtMost(valueBytes int) int { return maxMachineNames(valueBytes, maxReturn) }

// maxMachineNames returns how many machine names fit into a value: at least one, and at most limit.
func maxMachineNames(valueBytes, limit int) int {
	return max(1, min(limit, (valueBytes-intentOverhead)/machineNameBytes))
}

// RetainRental is how long the record of a finished rental intent is kept before its slot is reused,
// so that a new leader knows about its machines until the cloud lists them.
const RetainRental = 30 * model.Second
