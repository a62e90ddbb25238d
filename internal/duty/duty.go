// Package duty decides which controller holds which single-holder duty: a task of the
// deployment that at most one controller performs at a time. It does no input or output;
// it is given what is known of leases and controllers, and proposes writes to the state
// service. docs/duties.md has the design.
package duty

import (
	"strconv"

	"woadweir/internal/core/model"
)

// Name names a duty.
type Name string

// The duties. Reclaiming is held with the shard's grant and has no lease of its own.
const (
	Renting    Name = "renting"
	Returning  Name = "returning"
	Cleanup    Name = "cleanup"
	Reclaiming Name = "reclaiming"
)

// Movable lists the duties that have a lease of their own.
var Movable = []Name{Renting, Returning, Cleanup}

// NeedsCloud tells whether a duty cannot be performed without the cloud.
func (n Name) NeedsCloud() bool { return n == Renting || n == Returning }

// KeyPrefix begins the key of every duty's lease.
const KeyPrefix = "duty/"

// Key is the state service's key of a duty's lease.
func (n Name) Key() string { return KeyPrefix + string(n) }

// Reason tells why a holder lost a duty.
type Reason string

// The reasons for which a duty changes hands.
const (
	ReasonNone        Reason = ""
	ReasonSessionOver Reason = "session over"
	ReasonNoCloud     Reason = "cloud not reached"
	ReasonOverloaded  Reason = "overloaded"
	ReasonPreferred   Reason = "another controller is preferred"
)

// Avoidance keeps a duty away from a controller that could not perform it.
type Avoidance struct {
	UntilMs int64 `json:"untilMs"` // time of day
	Times   int   `json:"times"`   // in a row; each one doubles the pause
}

// Lease is the record of a duty's lease. Its key is attached to the holder's session, and
// its revision is the fencing token.
type Lease struct {
	Holder        string               `json:"holder"`
	Session       uint64               `json:"session"`
	SinceMs       int64                `json:"sinceMs"` // time of day
	Previous      string               `json:"previous,omitempty"`
	PreviousToken uint64               `json:"previousToken,omitempty"`
	Why           Reason               `json:"why,omitempty"` // why the previous holder lost it
	Avoid         map[string]Avoidance `json:"avoid,omitempty"`
	Trace         string               `json:"trace,omitempty"` // trace context, see package tracing
}

// StoredLease is a lease as it stands in the state service.
type StoredLease struct {
	Lease
	Token uint64 // the revision of its key, 0: vacant
}

// IntentState tells what has become of an intent.
type IntentState string

// The states of an intent.
const (
	Open    IntentState = "open"    // decided, and to be carried out
	Filled  IntentState = "filled"  // a rental: the machines are rented
	Refused IntentState = "refused" // a rental: the cloud has no capacity
	Gone    IntentState = "gone"    // a return: the cloud has confirmed that the machines are gone
)

// Rental is the record of a rental intent: a decision of the leader to rent, and its
// outcome.
type Rental struct {
	Request     string      `json:"request"` // the name of the request, made of the grant's token and a counter
	MachineType string      `json:"machineType"`
	Zone        string      `json:"zone"`
	Spot        bool        `json:"spot,omitempty"`
	Count       int         `json:"count"`
	Grant       uint64      `json:"grant"` // fencing token of the leader that decided
	State       IntentState `json:"state"`
	Machines    []string    `json:"machines,omitempty"`
	Token       uint64      `json:"token,omitempty"` // of the duty, under which the outcome was written
	Trace       string      `json:"trace,omitempty"`
}

// Return is the record of a return intent: machines that are to be deleted and that
// nothing may be bound to any more.
type Return struct {
	Machines []string    `json:"machines"`
	Grant    uint64      `json:"grant"`
	State    IntentState `json:"state"`
	Token    uint64      `json:"token,omitempty"`
	Trace    string      `json:"trace,omitempty"`
}

// Prefixes of the keys of intents. The rest of the key is the number of a slot: a
// finished intent's key is written anew for another decision, not removed, so that a
// late copy of the write finds another revision.
const (
	RentalPrefix = "intent/rent/"
	ReturnPrefix = "intent/return/"
)

// RentalKey is the key of a slot for rental intents.
func RentalKey(slot int) string { return RentalPrefix + strconv.Itoa(slot) }

// ReturnKey is the key of a slot for return intents.
func ReturnKey(slot int) string { return ReturnPrefix + strconv.Itoa(slot) }

// Limits of what an intent's record may hold: the bytes that all fields but the machines
// take, and the bytes that a machine's name takes at most.
const (
	intentOverhead   = 320
	machineNameBytes = 26  // with quotes and a comma
	maxRental        = 50  // the cloud's limit of a rental
	maxReturn        = 100 // the cloud's limit of a deletion
)

// RentAtMost is how many machines a rental intent may ask for, so that their names fit
// into a value of the state service.
func RentAtMost(valueBytes int) int { return maxMachineNames(valueBytes, maxRental) }

// ReturnAtMost is how many machines a return intent may name.
func ReturnAtMost(valueBytes int) int { return maxMachineNames(valueBytes, maxReturn) }

// maxMachineNames is how many machines' names fit into a value, one at least.
func maxMachineNames(valueBytes, limit int) int {
	return max(1, min(limit, (valueBytes-intentOverhead)/machineNameBytes))
}

// RetainRental is how long the record of a finished rental intent is kept before its slot
// is used again, so that a new leader knows of its machines until the cloud lists them.
const RetainRental = 30 * model.Second
