// Package spill decides how waiting jobs are lent to other cells of the same operator, under a
// lease, and come back. A cell is a deployment of its own: controllers, state service, cloud and
// workers. The package does no input or output; docs/spill.md has the design and the safety
// argument.
//
// A job belongs to its home cell, where it was submitted. The home cell lends it to an execution
// cell ("guest" in the protocol and in some texts), where it is a borrowed job. The execution
// cell may run it only while it holds a valid execution lease, which the home cell grants and
// extends in its answers to renewals. Each lending of a job has a fencing token.
package spill

import "woadweir/internal/core/model"

// Prefixes of the keys in a cell's state service.
const (
	OutPrefix = "spill/out/" // lent jobs, by job
	InPrefix  = "spill/in/"  // borrowed jobs, by home cell and job
)

// OutState is the state of an OutRecord.
type OutState string

// The states of an OutRecord. While a job is Lent, its home cell binds none of its tasks.
const (
	Lent OutState = "lent"
	Home OutState = "home"
	// Unreadable is the state of a record that this version can't read: the job may be lent.
	Unreadable OutState = "unreadable"
)

// OutRecord is a home cell's record of a job that is, or was, lent. It is kept until the job has
// ended and nothing of it can be in the execution cell, so that no delayed duplicate of a write
// can find its key absent.
type OutRecord struct {
	Cell  string   `json:"cell"`
	Token uint64   `json:"token"` // fencing token: increases with every lending of the job
	State OutState `json:"state"`
	// SinceMs is the wall-clock time of the last change of State.
	SinceMs int64 `json:"sinceMs"`
	// LeaseUs is the length of the execution lease, and WorkerLeaseUs the longest lease of the
	// execution cell's workers. The proof that nothing runs there any more depends on both, so
	// a later holder of the shard with other settings has to know them.
	LeaseUs       int64 `json:"leaseUs"`
	WorkerLeaseUs int64 `json:"workerLeaseUs"`
	// The resources of the whole job count towards Team's limit while the job is lent, also
	// when it has ended and the execution cell may still have tasks of it.
	Team       string `json:"team"`
	CoresMilli int64  `json:"coresMilli"`
	GPUsMilli  int64  `json:"gpusMilli"`
	// Trace is the trace context of the lending.
	Trace string `json:"trace,omitempty"`
	// Running is the number of running tasks that the execution cell has reported, for display.
	Running int `json:"running,omitempty"`
}

// Reserved returns the resources that count towards the team's limit.
func (r *OutRecord) Reserved() model.Resources {
	return model.Resources{Cores: model.Milli(r.CoresMilli), GPUs: model.Milli(r.GPUsMilli)}
}

// Lease returns the length of the execution lease.
func (r *OutRecord) Lease() model.Micros { return model.Micros(r.LeaseUs) }

// WorkerLease returns the longest lease that the execution cell's workers may have.
func (r *OutRecord) WorkerLease() model.Micros { return model.Micros(r.WorkerLeaseUs) }

// InState is the state of an InRecord.
type InState string

// The states of an InRecord. The execution cell never binds a task of a Returned job again under
// the record's token.
const (
	Accepted InState = "accepted"
	Returned InState = "returned"
)

// InRecord is an execution cell's record of a borrowed job.
type InRecord struct {
	Home  string            `json:"home"`
	Token uint64            `json:"token"`
	State InState           `json:"state"`
	Spec  *model.Submission `json:"spec"`
	Done  []byte            `json:"done,omitempty"` // set of tasks that were finished when it was lent
	// SinceMs is the wall-clock time of acceptance.
	SinceMs int64 `json:"sinceMs"`
	// Trace is the trace context of the lending.
	Trace string `json:"trace,omitempty"`
}

// OutKey returns the key of the home cell's record of a lent job.
func OutKey(job string) string { return OutPrefix + job }

// InKey returns the key of the execution cell's record of a borrowed job.
func InKey(home, job string) string { return InPrefix + home + "/" + job }
