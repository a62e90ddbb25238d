package state

import (
	"encoding/json"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/spill"
)

// View is a replica of the keys in the state service as of Revision; single keys may be newer.
type View struct {
	Revision     uint64
	Revisions    map[string]uint64 // of every key
	Jobs         map[string]*JobView
	Leader       *LeaderRecord
	Grants       map[string]*GrantRecord
	MachineTypes []model.MachineType
	// Layouts are the record layouts that the controllers have announced, by node. NewestLayout
	// is the newest layout of any record seen: all controllers could read it when that record
	// was written.
	Layouts      map[string]int
	NewestLayout int
	// Nodes are the live controllers by name, Duties the duty leases by duty, and Rentals and
	// Returns the intents by key.
	Nodes   map[string]*NodeRecord
	Duties  map[duty.Name]*duty.Lease
	Rentals map[string]*duty.Rental
	Returns map[string]*duty.Return
	// LentJobs are the records of jobs that are or were lent to other cells, by job, and
	// BorrowedJobs those of jobs that other cells have lent to this one, by key.
	// UnreadableSpill is the key of such a record that this version can't read, "" if there is
	// none: with one, spilling is disabled.
	LentJobs        map[string]*spill.OutRecord
	BorrowedJobs    map[string]*spill.InRecord
	UnreadableSpill string

	entries     map[string]*entryView  // by name, see shard.BundleRecord.Names
	boundTasks  map[string]int         // number of bound tasks by job
	bundles     map[string]*bundleView // by key
	changedJobs []string               // see TakeChangedJobs
}

// NewView returns an empty view.
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

// Set decodes and applies a key's value, unless a newer one is known. It reports whether the value
// was applied.
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

// setNode applies a node record. One that can't be decoded is skipped: no decision depends on it.
func (v *View) setNode(node string, value json.RawMessage) {
	var record NodeRecord
	if jsoncodec.Unmarshal(value, &record) == nil {
		v.Layouts[node] = record.Layout
		v.Nodes[node] = &record
	}
}

// putUnreadableSpill records that a spill record can't be decoded. If it is the record of a job of
// this cell, the job may be lent, so none of its tasks may be started here. An execution cell may
// not run a borrowed job without a record, so nothing else has to be kept for those.
func (v *View) putUnreadableSpill(key string, revision uint64) {
	v.UnreadableSpill = key
	if isSpillOutKey(key) {
		v.LentJobs[lentJobID(key)] = &spill.OutRecord{State: spill.Unreadable}
	}
	v.Revisions[key] = revision
}

// Apply applies a transaction that was committed at the given revision.
func (v *View) Apply(txn *Txn, revision uint64) {
	for _, op := range txn.Then {
		if op.Drop != "" {
			v.Drop(op.Drop, revision)
			continue
		}
		v.Put(op.Set, op.Value, revision)
	}
}

// Put applies a decoded record, unless a newer one is known. The record must be of the type that
// belongs to the key, as decode returns it.
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
		record.Spec = submissionOf(borrowedJobID(key), record.Spec)
		v.BorrowedJobs[key] = &record
	default:
		panic("state: value of unknown type for key " + key)
	}
	v.Revisions[key] = revision
}

// Drop applies the deletion of a key, unless a newer value is known. It reports whether the
// deletion was applied. Only keys attached to a session lease, intents, unused bundles and spill
// records are ever deleted.
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
