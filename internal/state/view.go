package state

import (
	"encoding/json"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// JobView is what the view knows of a job.
type JobView struct {
	Submission *model.Submission // nil once it is done
	Revision   uint64            // of its acceptance
	End        string            // as it is written; see Final
	DoneTasks  int
	dependencies
}

// View is a replica of the state service's keys as of Revision, or newer for single keys.
type View struct {
	Revision     uint64
	Revisions    map[string]uint64 // of every key
	Jobs         map[string]*JobView
	Leader       *LeaderRecord
	Grants       map[string]*GrantRecord
	MachineTypes []model.MachineType
	// Layouts are the record layouts that the controllers have announced. Newest is the
	// layout of the newest record seen: all controllers could read it when it was written.
	Layouts      map[string]int
	NewestLayout int
	// Nodes are the live controllers, Duties the leases of duties, Rentals and Returns
	// the intents, by key.
	Nodes   map[string]*NodeRecord
	Duties  map[duty.Name]*duty.Lease
	Rentals map[string]*duty.Rental
	Returns map[string]*duty.Return
	// LentJobs are the records of jobs that are or were lent to other cells, by job, and
	// LentIn those of jobs that others have lent to this one, by key. UnreadableSpill
	// is a key of these that this version can't read: spilling stops then.
	LentJobs        map[string]*spill.OutRecord
	BorrowedJobs    map[string]*spill.InRecord
	UnreadableSpill string

	entries     map[string]*entryView // by name, see shard.BundleRecord.Names
	boundTasks  map[string]int        // number of bound tasks by job
	bundles     map[string]*bundleView
	changedJobs []string // see TakeChangedJobs
}

// NewView makes an empty view.
func NewView() *View {
	return &View{
		Revisions:    map[string]uint64{},
		Jobs:         map[string]*JobView{},
		Grants:       map[string]*GrantRecord{},
		Layouts:      map[string]int{},
		Nodes:        map[string]*NodeRecord{},
		Duties:       map[duty.Name]*duty.Lease{},
		Rentals:      map[string]*duty.Rental{},
		Returns:      map[string]*duty.Return{},
		LentJobs:     map[string]*spill.OutRecord{},
		BorrowedJobs: map[string]*spill.InRecord{},
		entries:      map[string]*entryView{},
		boundTasks:   map[string]int{},
		bundles:      map[string]*bundleView{},
	}
}

// Set applies a key's encoded value, unless a newer one is known. It tells whether the
// value was applied.
func (v *View) Set(key string, value json.RawMessage, revision uint64) (bool, error) {
	if revision <= v.Revisions[key] {
		return false, nil
	}
	kind, name := splitKey(key)
	if kind == kindNode {
		v.setNode(name, value)
		v.Revisions[key] = revision
		return true, nil
	}
	record, err := decode(key, value)
	switch {
	case err != nil && kind == kindSpill:
		v.putUnreadableSpill(key, revision)
		return true, nil
	case err != nil:
		return false, err
	}
	v.Put(key, record, revision)
	return true, nil
}

// setNode applies a controller's own record. One that can't be read is skipped: no
// decision depends on it.
func (v *View) setNode(node string, value json.RawMessage) {
	var record NodeRecord
	if json.Unmarshal(value, &record) == nil {
		v.Layouts[node] = record.Layout
		v.Nodes[node] = &record
	}
}

// putUnreadableSpill notes a spill record that can't be read. If it is of a job of this
// cell, the job may be lent, so none of its tasks may be started here. Without a record a
// guest cell has no right to run the job, so there nothing else has to be kept.
func (v *View) putUnreadableSpill(key string, revision uint64) {
	v.UnreadableSpill = key
	if isSpillOutKey(key) {
		v.LentJobs[lentJobID(key)] = &spill.OutRecord{State: spill.Unreadable}
	}
	v.Revisions[key] = revision
}

// Apply applies a transaction that was committed at a revision.
func (v *View) Apply(txn *Txn, revision uint64) {
	for _, op := range txn.Then {
		if op.Drop != "" {
			v.Drop(op.Drop, revision)
			continue
		}
		v.Put(op.Set, op.Value, revision)
	}
}

// Put applies a typed record, unless a newer one is known. The record must be of the
// type that belongs to the key, as decode returns it.
func (v *View) Put(key string, value any, revision uint64) {
	if revision <= v.Revisions[key] {
		return
	}
	_, name := splitKey(key)
	switch record := value.(type) {
	case shard.JobRecord:
		v.putJob(name, record, revision)
	case shard.BundleRecord:
		v.putBundle(key, &record, revision)
	case LeaderRecord:
		v.Leader = &record
	case GrantRecord:
		v.Grants[name] = &record
	case MachineTypesRecord:
		v.MachineTypes = record.MachineTypes
	case duty.Lease:
		v.Duties[duty.Name(name)] = &record
	case duty.Rental:
		v.Rentals[key] = &record
	case duty.Return:
		v.Returns[key] = &record
	case spill.OutRecord:
		v.LentJobs[lentJobID(key)] = &record
	case spill.InRecord:
		v.BorrowedJobs[key] = &record
	default:
		panic("state: no such record: " + key)
	}
	v.Revisions[key] = revision
}

// putJob applies a job's submission or its end, with what follows for the jobs that
// depend on it.
func (v *View) putJob(jobID string, record shard.JobRecord, revision uint64) {
	job := v.job(jobID)
	isNew := job.Submission == nil && job.End == ""
	job.Submission = record.Spec
	if record.End == "" {
		job.Revision = revision
	} else {
		v.setJobEnd(jobID, job, &record)
	}
	if isNew && record.Spec != nil {
		v.addDependencies(jobID, job)
	}
	if record.End != "" {
		v.jobEnded(job, revision)
	}
}

func (v *View) setJobEnd(jobID string, job *JobView, record *shard.JobRecord) {
	job.End, job.endMs = record.End, record.EndedMs
	if record.End == model.JobDone {
		job.DoneTasks = record.Tasks
	}
	tasks := record.Tasks
	if record.Spec != nil {
		tasks = record.Spec.Tasks
	}
	v.dropDoneEntries(jobID, tasks)
}

// job is the view of a job, which is made if nothing is known of the job yet.
func (v *View) job(jobID string) *JobView {
	job := v.Jobs[jobID]
	if job == nil {
		job = &JobView{}
		v.Jobs[jobID] = job
	}
	return job
}

// Drop applies a key's removal, unless a newer value is known. Only keys that are
// attached to a session lease, intents, unused bundles and spill records are ever
// removed.
func (v *View) Drop(key string, revision uint64) bool {
	if old, ok := v.Revisions[key]; !ok || revision < old {
		return false
	}
	delete(v.Revisions, key)
	switch kind, name := splitKey(key); kind {
	case kindLeader:
		v.Leader = nil
	case kindNode:
		delete(v.Nodes, name)
	case kindDuty:
		delete(v.Duties, duty.Name(name))
	case kindIntent:
		delete(v.Rentals, key)
		delete(v.Returns, key)
	case kindBundle:
		v.dropBundle(key)
	case kindSpill:
		v.dropSpill(key)
	}
	return true
}

func (v *View) dropSpill(key string) {
	delete(v.LentJobs, lentJobID(key))
	delete(v.BorrowedJobs, key)
	if v.UnreadableSpill == key {
		v.UnreadableSpill = ""
	}
}

// Known tells whether a job was accepted.
func (v *View) Known(jobID string) bool {
	job := v.Jobs[jobID]
	return job != nil && (job.Submission != nil || job.End != "")
}

// Status is the answer to a poll for a job, as far as the stored state tells.
func (v *View) Status(jobID string) (status string, done, running int, known bool) {
	if !v.Known(jobID) {
		return "", 0, 0, false
	}
	if end, ended := v.EffectiveEnd(jobID); ended {
		return end, v.Jobs[jobID].DoneTasks, 0, true
	}
	finished := v.Done(jobID)
	done = finished.Len()
	if bound := v.boundTasks[jobID]; bound > 0 {
		return model.JobRunning, done, bound, true
	}
	if lent := v.LentJobs[jobID]; lent != nil && lent.State == spill.Lent && lent.Running > 0 {
		return model.JobRunning, done, lent.Running, true
	}
	return model.JobPending, done, 0, true
}

// EffectiveEnd tells a job's end if it is known: the recorded one, or that it is cancelled
// because a job that it depends on was.
func (v *View) EffectiveEnd(jobID string) (end string, ended bool) {
	job := v.Jobs[jobID]
	switch {
	case job == nil:
		return "", false
	case job.End != "":
		return job.End, true
	case job.dependencyCancelled && job.Submission != nil:
		return model.JobCancelled, true
	}
	return "", false
}
