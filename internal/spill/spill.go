// Package spill decides how waiting jobs are offloaded to other cells of the same
// operator, under a lease, and come back. A cell is a deployment of its own: controllers, state service, cloud and
// workers. The package does no input or output; docs/spill.md has the design and the
// safety argument.
package spill

import "woadweir/internal/core/model"

// Prefixes of the keys in a cell's state service.
const (
	OutPrefix = "spill/out/" // jobs of this cell, by job
	InPrefix  = "spill/in/"  // jobs of other cells, by home cell and job
)

// OutState is what a home cell's record says of one of its jobs.
type OutState string

// The states of an OutRecord. While a job is Lent, its home cell binds none of its tasks.
const (
	Lent OutState = "lent"
	Home OutState = "home"
	// Unreadable stands for a record that this version can't read: the job may be lent.
	Unreadable OutState = "unreadable"
)

// OutRecord is a home cell's record of a job that is, or was, lent. It stays until the
// job has ended and nothing of it can be in the guest, so that no late copy of a write can
// find its key absent.
type OutRecord struct {
	Cell  string   `json:"cell"`
	Token uint64   `json:"token"` // fencing token: grows with every lending of the job
	State OutState `json:"state"`
	// SinceMs is the time of day of the last change of State.
	SinceMs int64 `json:"sinceMs"`
	// LeaseUs is the lease of the guest's right, and WorkerLeaseUs the longest lease of
	// the guest's workers: the proof that nothing runs there any more rests on both, so a
	// later holder with other settings has to know them.
	LeaseUs       int64 `json:"leaseUs"`
	WorkerLeaseUs int64 `json:"workerLeaseUs"`
	// Team and what all of the job takes count towards the team's limit while it is lent,
	// also when it has ended and the guest may still have tasks of it.
	Team       string `json:"team"`
	CoresMilli int64  `json:"coresMilli"`
	GPUsMilli  int64  `json:"gpusMilli"`
	// Trace is the trace that the lending belongs to.
	Trace string `json:"trace,omitempty"`
	// Running is the number of tasks that the guest has told of, for display.
	Running int `json:"running,omitempty"`
}

// Reserved is what counts towards the team's limit.
func (r *OutRecord) Reserved() model.Resources {
	return model.Resources{Cores: model.Milli(r.CoresMilli), GPUs: model.Milli(r.GPUsMilli)}
}

// Lease is the lease of the guest's right to run the job.
func (r *OutRecord) Lease() model.Micros { return model.Micros(r.LeaseUs) }

// WorkerLease is the longest lease that the guest's workers may have.
func (r *OutRecord) WorkerLease() model.Micros { return model.Micros(r.WorkerLeaseUs) }

// InState is what a guest cell's record says of a lent job.
type InState string

// The states of an InRecord. Of a Returned job the guest never binds a task again under
// the record's token.
const (
	Accepted InState = "accepted"
	Returned InState = "returned"
)

// InRecord is a guest cell's record of a job that was lent to it.
type InRecord struct {
	Home  string            `json:"home"`
	Token uint64            `json:"token"`
	State InState           `json:"state"`
	Spec  *model.Submission `json:"spec"`
	Done  []byte            `json:"done,omitempty"` // tasks that were finished when it was lent
	// SinceMs is the time of day of acceptance.
	SinceMs int64 `json:"sinceMs"`
	// Trace is the trace that the lending belongs to.
	Trace string `json:"trace,omitempty"`
}

// OutKey is the key of a home cell's record of a job.
func OutKey(job string) string { return OutPrefix + job }

// InKey is the key of a guest cell's record of a job.
func InKey(home, job string) string { return InPrefix + home + "/" + job }
