package spill

import (
	"errors"

	"woadweir/internal/core/model"
)

// Errors of calls between cells.
var (
	// ErrNotHolder means that the called controller does not hold its cell's shard: another
	// controller has to be called. The text goes to the caller in the gRPC status; "block" in
	// it is the shard.
	ErrNotHolder = errors.New("cell: this controller does not hold the block")
	// ErrUnreachable means that no controller of the cell answered in time. The call may
	// have been received, or may still be.
	ErrUnreachable = errors.New("cell: no answer")
)

// Offer asks a neighbour to run a job of the home cell. It has nothing to do with an
// autoscaler.Offer, a kind of machine that can be rented.
type Offer struct {
	Home string
	// Token is the fencing token of the lending. With 0 the offer only asks whether the job
	// would be accepted.
	Token uint64
	Spec  *model.Submission
	Done  []byte // set of finished tasks
	Trace string // trace context of the lending
}

// Refusal says why an offer is refused.
type Refusal string

// The reasons for a refusal. CannotRun is due to the job or the cells' settings; the others are
// temporary.
const (
	NotRefused Refusal = ""
	Busy       Refusal = "own work waits"
	NoRoom     Refusal = "no room"
	OwnJob     Refusal = "known as a job of this cell"
	Stale      Refusal = "an older lending is not gone yet, or a newer one is known"
	CannotRun  Refusal = "can't run here"
	Disabled   Refusal = "not spilling"
)

// OfferAnswer is the answer to an Offer.
type OfferAnswer struct {
	Cell        string // name of the cell that answers
	Refusal     Refusal
	Detail      string // for logs
	RetryAfter  model.Micros
	WorkerLease model.Micros // lease_s of its workers
}

// Renewal is an execution cell's request to grant or extend the execution leases on the jobs that
// a home cell has lent to it, with a report on each job.
type Renewal struct {
	ExecutionCell string // guest on the wire
	WorkerLease   model.Micros
	Jobs          []JobReport
}

// JobReport is what an execution cell reports on a borrowed job.
type JobReport struct {
	Job   string
	Token uint64
	// Returned is set if nothing of the job is bound, and never will be under this token: the
	// execution cell has stored the return, or the home cell has said that the job has ended.
	Returned bool
	// Complete is set if the whole job is done. For an array Done says so, too.
	Complete bool
	Running  int    // tasks on machines
	Done     []byte // set of finished tasks
}

// VerdictKind is the home cell's decision on a lent job.
type VerdictKind uint8

// The verdicts. Undecided promises nothing and changes nothing.
const (
	Undecided VerdictKind = iota
	Granted               // the execution lease is granted or extended
	Recalled              // the execution cell is to return the job
	Revoked               // the job is not lent under this token, and never will be again
	Ended                 // the job has ended
)

// Verdict is the home cell's answer for one job of a Renewal.
type Verdict struct {
	Job       string
	Token     uint64
	Kind      VerdictKind
	Lease     model.Micros // length of the execution lease, if Granted
	End       string       // final status of the job, if Ended
	Confirmed []byte       // set of finished tasks that the home cell has stored
}

// RenewalAnswer is the home cell's answer to a Renewal.
type RenewalAnswer struct {
	Home string
	// Age is the age of the state that the answer is based on: the time from when the home
	// cell sent the request with which it last caught up with its state service until the
	// answer.
	Age  model.Micros
	Jobs []Verdict
}
