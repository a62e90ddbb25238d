package spill

import (
	"errors"

	"woadweir/internal/core/model"
)

// Errors of calls between cells.
var (
	// ErrNotHolder means that the controller asked does not hold its cell's shard: another
	// one has to be asked.
	ErrNotHolder = errors.New("cell: this controller does not hold the block")
	// ErrUnreachable means that no controller of the cell answered in time. The call may
	// have arrived, or may yet arrive.
	ErrUnreachable = errors.New("cell: no answer")
)

// Offer is a home cell's question whether another cell takes a job.
type Offer struct {
	Home string
	// Token is the fencing token of the lending; 0 asks only whether the job would be
	// taken.
	Token uint64
	Spec  *model.Submission
	Done  []byte
	Trace string // the trace that the lending belongs to
}

// Refusal tells why a job is not taken.
type Refusal string

// Reasons of a refusal. Never is about the job or the cells' settings; the others pass.
const (
	NotRefused Refusal = ""
	Busy       Refusal = "own work waits"
	NoRoom     Refusal = "no room"
	OwnJob     Refusal = "known as a job of this cell"
	Stale      Refusal = "an older lending is not gone yet, or a newer one is known"
	CannotRun  Refusal = "can't run here"
	Disabled   Refusal = "not spilling"
)

// OfferAnswer is the guest's answer.
type OfferAnswer struct {
	Cell        string // its name
	Refusal     Refusal
	Detail      string // for logs
	RetryAfter  model.Micros
	WorkerLease model.Micros // lease_s of its workers
}

// Renewal is a guest cell's question for the right to run what a home cell has lent to
// it, with what it knows of these jobs.
type Renewal struct {
	ExecutionCell string
	WorkerLease   model.Micros
	Jobs          []JobReport
}

// JobReport is what a guest tells of a lent job.
type JobReport struct {
	Job   string
	Token uint64
	// Returned tells that nothing of it is bound, and never will be under this token: the
	// guest's state service says so, or the home cell has said that the job has ended.
	Returned bool
	// Complete tells that all of the job is done; of an array Done says so, too.
	Complete bool
	Running  int    // tasks on machines
	Done     []byte // finished tasks
}

// VerdictKind is what a home cell says of a lent job.
type VerdictKind uint8

// Verdicts. Undecided promises nothing and changes nothing.
const (
	Undecided VerdictKind = iota
	Granted               // the guest may run it for the lease
	Recalled              // the guest is to return it
	Revoked               // it is not lent under this token, and never will be again
	Ended                 // it has ended
)

// Verdict is the home cell's answer about a job.
type Verdict struct {
	Job       string
	Token     uint64
	Kind      VerdictKind
	Lease     model.Micros // of a granted right
	End       string       // of an ended one
	Confirmed []byte       // finished tasks that home has stored
}

// RenewalAnswer is the home cell's answer to a Renewal.
type RenewalAnswer struct {
	Home string
	// Age is how long before the answer the request was sent with which home last caught
	// up with its state service.
	Age  model.Micros
	Jobs []Verdict
}
