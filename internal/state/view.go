package state

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// NodeRecord is a node's own key, attached to its session.
type NodeRecord struct {
	Session uint64 `json:"session"`
	Serve   string `json:"serve"`
	// Layout tells which layout of records the process can read, see Layout.
	Layout int `json:"layout,omitempty"`
	// Duties tells that the process may hold single-holder duties without leading.
	Duties bool `json:"duties,omitempty"`
}

// Layout is the layout of records that a controller tells of: the newest that it reads,
// that of spilling only where it is set up to spill. Nothing beyond what all controllers
// tell of is written.
func Layout(spills bool) int {
	if spills {
		return LayoutSpill
	}
	return LayoutDuties
}

// Layouts of records.
const (
	LayoutDense  = 2 // dense bundles
	LayoutDuties = 3 // leases of duties, and intents; bundles may be removed
	LayoutSpill  = 4 // jobs lent to other cells, and by them
)

// LeaderRecord is the leader's key, attached to its session.
type LeaderRecord struct {
	Node    string `json:"node"`
	Session uint64 `json:"session"`
	// Duties tells that the leader rents and returns through intents, so that others
	// may hold duties.
	Duties bool `json:"duties,omitempty"`
}

// GrantRecord is a block's grant.
type GrantRecord struct {
	Holder  string                     `json:"holder"`
	Session uint64                     `json:"session"`
	Credit  map[string]model.Resources `json:"credit"`
}

// MachineTypesRecord keeps the machine types that were last seen.
type MachineTypesRecord struct {
	MachineTypes []model.MachineType `json:"builds"`
}

// JobView is what the view knows of a job.
type JobView struct {
	Submission *model.Submission // nil once it is done
	Revision   uint64            // of its acceptance
	End        string            // as it is written; see Final
	EndTasks   int
	pipeline
}

// bundleView is what the view knows of a bundle.
type bundleView struct {
	stamp uint64
	names []string
}

// entryView is the latest version of a bundle's entry: the record of a machine,
// nil if it is gone, or the finished tasks of a job.
type entryView struct {
	machine *shard.MachineRecord
	done    []byte
	at      string // the bundle that it is from
	// twin is another bundle with the same version, written in the same
	// transaction: if one drops it, it still stands in the other.
	twin string
}

// View is a copy of the state as of Revision, or newer for single keys.
type View struct {
	Revision     uint64
	Revisions    map[string]uint64
	Jobs         map[string]*JobView
	Leader       *LeaderRecord
	Grants       map[string]*GrantRecord
	MachineTypes []model.MachineType
	// Layouts are those of the nodes' processes, as far as they are told, and Newest
	// what is sure to be read by all, as somebody has written it already.
	Layouts map[string]int
	Newest  int
	// Nodes are the live controllers, Duties the leases of duties, Rentals and Returns
	// the intents, by key.
	Nodes   map[string]*NodeRecord
	Duties  map[duty.Name]*duty.Lease
	Rentals map[string]*duty.Rental
	Returns map[string]*duty.Return
	// LentOut are the records of jobs that are or were lent to other cells, by job, and
	// LentIn those of jobs that others have lent to this one, by key. UnreadableSpill
	// names a key of these that this version can't read: spilling stops then.
	LentOut         map[string]*spill.OutRecord
	LentIn          map[string]*spill.InRecord
	UnreadableSpill string

	entries map[string]*entryView // by name, see shard.BundleRecord.Names
	bound   map[string]int        // bound tasks by job
	bundles map[string]*bundleView
	news    []string // jobs whose standing changed through others
}

// NewView makes an empty view.
func NewView() *View {
	return &View{Layouts: map[string]int{}, Revisions: map[string]uint64{}, Jobs: map[string]*JobView{}, Grants: map[string]*GrantRecord{},
		Nodes: map[string]*NodeRecord{}, Duties: map[duty.Name]*duty.Lease{}, Rentals: map[string]*duty.Rental{}, Returns: map[string]*duty.Return{},
		LentOut: map[string]*spill.OutRecord{}, LentIn: map[string]*spill.InRecord{},
		entries: map[string]*entryView{}, bound: map[string]int{}, bundles: map[string]*bundleView{}}
}

func (v *View) job(ref string) *JobView {
	j := v.Jobs[ref]
	if j == nil {
		j = &JobView{}
		v.Jobs[ref] = j
	}
	return j
}

// ErrLayout means that a record is none that this version writes: going on
// without it could forget an accepted job or start a task twice.
var ErrLayout = errors.New("record of another layout")

// Set applies a key's value, unless a newer one is known. It tells whether it
// was applied.
func (v *View) Set(path string, value json.RawMessage, stamp uint64) (bool, error) {
	if stamp <= v.Revisions[path] {
		return false, nil
	}
	kind, rest, _ := strings.Cut(path, "/")
	if kind == "node" {
		v.setNode(rest, value)
		v.Revisions[path] = stamp
		return true, nil
	}
	rec, err := decode(path, value)
	if kind == "spill" && err != nil {
		// The job may be lent, so nothing of it may be started here; without a record the
		// guest has no right to run it.
		v.UnreadableSpill, rec, err = path, spill.OutRecord{State: spill.Unreadable}, nil
		if !strings.HasPrefix(path, spill.OutPrefix) {
			v.Revisions[path] = stamp
			return true, nil
		}
	}
	if err != nil {
		return false, err
	}
	v.Put(path, rec, stamp)
	return true, nil
}

// setNode takes a node's own key. Nothing rests on one that can't be read.
func (v *View) setNode(name string, value json.RawMessage) {
	var r NodeRecord
	if json.Unmarshal(value, &r) == nil {
		v.Layouts[name] = r.Layout
		v.Nodes[name] = &r
	}
}

// decode reads the record of a key.
func decode(path string, value json.RawMessage) (any, error) {
	kind, rest, _ := strings.Cut(path, "/")
	switch {
	case kind == "job" && rest != "" && !strings.Contains(rest, "/"):
		r, err := as[shard.JobRecord](path, value)
		if err == nil && r.Spec == nil && r.End == "" {
			err = fmt.Errorf("%w: %s is empty", ErrLayout, path)
		}
		return r, err
	case kind == "bound":
		return as[shard.BundleRecord](path, value)
	case kind == "leader":
		return as[LeaderRecord](path, value)
	case kind == "grant":
		return as[GrantRecord](path, value)
	case kind == "flavors":
		return as[MachineTypesRecord](path, value)
	case strings.HasPrefix(path, duty.KeyPrefix) && slices.Contains(duty.Movable, duty.Name(rest)):
		return as[duty.Lease](path, value)
	case strings.HasPrefix(path, duty.RentalPrefix):
		return as[duty.Rental](path, value)
	case strings.HasPrefix(path, duty.ReturnPrefix):
		return as[duty.Return](path, value)
	case strings.HasPrefix(path, spill.OutPrefix):
		r, err := as[spill.OutRecord](path, value)
		if err == nil && r.State != spill.Lent && r.State != spill.Home {
			err = fmt.Errorf("%w: %s", ErrLayout, path)
		}
		return r, err
	case strings.HasPrefix(path, spill.InPrefix):
		r, err := as[spill.InRecord](path, value)
		if err == nil && r.Spec == nil {
			err = fmt.Errorf("%w: %s is empty", ErrLayout, path)
		}
		return r, err
	}
	return nil, fmt.Errorf("%w: %s", ErrLayout, path)
}

// as reads a record of one kind.
func as[T any](path string, value json.RawMessage) (rec T, err error) {
	if err := json.Unmarshal(value, &rec); err != nil {
		return rec, fmt.Errorf("%w: %s: %v", ErrLayout, path, err)
	}
	return rec, nil
}

// BundleKey is the key of a block's bundle.
func BundleKey(blk string, slot int) string { return "bound/" + blk + "/" + strconv.Itoa(slot) }

// Bundles gives the slots of a block's bundles with their entries, in the order
// in which they were written.
func (v *View) Bundles(blk string) (slots []int, names [][]string) {
	prefix := "bound/" + blk + "/"
	type one struct {
		slot int
		b    *bundleView
	}
	var all []one
	for path, b := range v.bundles {
		if rest, ok := strings.CutPrefix(path, prefix); ok {
			if k, err := strconv.Atoi(rest); err == nil && k >= 0 {
				all = append(all, one{k, b})
			}
		}
	}
	slices.SortFunc(all, func(a, b one) int { return cmp.Or(cmp.Compare(a.b.stamp, b.b.stamp), a.slot-b.slot) })
	for _, o := range all {
		slots, names = append(slots, o.slot), append(names, o.b.names)
	}
	return slots, names
}

// Machines calls f for the latest record of every machine.
func (v *View) Machines(f func(ref string, rec *shard.MachineRecord)) {
	for name, e := range v.entries {
		if e.machine != nil {
			f(strings.TrimPrefix(name, shard.MachineEntry), e.machine)
		}
	}
}

// Done is the set of a job's finished tasks: of all its parts, if it is stored in
// several, and of a whole that has not been replaced by all of them yet.
func (v *View) Done(ref string) model.Set {
	var s model.Set
	j := v.Jobs[ref]
	if j == nil || j.Submission == nil {
		return s
	}
	if e := v.entries[shard.DoneEntry+ref]; e != nil {
		s = model.SetOf(e.done)
	}
	if j.Submission.Tasks > model.TasksPerPart {
		for k := range model.Parts(j.Submission.Tasks) {
			if e := v.entries[shard.PartEntry(ref, k)]; e != nil {
				s.Merge(e.done, k*model.TasksPerPart)
			}
		}
	}
	return s
}

// put takes an entry of a bundle, unless a newer version of it is known.
func (v *View) put(name string, e entryView, stamp uint64) {
	if old := v.entries[name]; old != nil && old.at != e.at {
		if b := v.bundles[old.at]; b != nil && b.stamp >= stamp {
			if b.stamp > stamp {
				return
			}
			e.twin = old.at
		}
	}
	v.count(name, -1)
	v.entries[name] = &e
	v.count(name, 1)
}

// drop takes note that an entry stands in a bundle no more.
func (v *View) drop(name, path string) {
	switch e := v.entries[name]; {
	case e == nil:
	case e.twin == path:
		e.twin = ""
	case e.at == path && e.twin != "":
		e.at, e.twin = e.twin, ""
	case e.at == path:
		v.count(name, -1)
		delete(v.entries, name)
	}
}

// putBundle applies a bundle. What stood only in its former version is gone.
func (v *View) putBundle(path string, r *shard.BundleRecord, stamp uint64) {
	for ref, rec := range r.Machines {
		v.put(shard.MachineEntry+ref, entryView{machine: rec, at: path}, stamp)
	}
	for name, bits := range r.Done {
		ref, _, _ := strings.Cut(name, shard.PartMark)
		if j := v.Jobs[ref]; j == nil || j.End == "" {
			v.put(shard.DoneEntry+name, entryView{done: bits, at: path}, stamp)
		}
	}
	if old := v.bundles[path]; old != nil {
		for _, name := range old.names {
			if !r.Has(name) {
				v.drop(name, path)
			}
		}
	}
	v.bundles[path] = &bundleView{stamp, r.Names()}
}

func (v *View) count(name string, sign int) {
	e := v.entries[name]
	if e == nil || e.machine == nil {
		return
	}
	for job, ps := range e.machine.Tasks {
		if v.bound[job] += sign * len(ps); v.bound[job] == 0 {
			delete(v.bound, job)
		}
	}
}

// Drop applies a key's removal, unless a newer value is known. Only keys that
// are attached to a session, intents and unused bundles are ever removed.
func (v *View) Drop(path string, stamp uint64) bool {
	if old, ok := v.Revisions[path]; !ok || stamp < old {
		return false
	}
	delete(v.Revisions, path)
	switch kind, rest, _ := strings.Cut(path, "/"); kind {
	case "leader":
		v.Leader = nil
	case "node":
		delete(v.Nodes, rest)
	case "duty":
		delete(v.Duties, duty.Name(rest))
	case "intent":
		delete(v.Rentals, path)
		delete(v.Returns, path)
	case "bound":
		v.dropBundle(path)
	case "spill":
		delete(v.LentOut, strings.TrimPrefix(path, spill.OutPrefix))
		delete(v.LentIn, path)
		if v.UnreadableSpill == path {
			v.UnreadableSpill = ""
		}
	}
	return true
}

// dropBundle forgets a bundle with all that stands in it.
func (v *View) dropBundle(path string) {
	if b := v.bundles[path]; b != nil {
		for _, name := range b.names {
			v.drop(name, path)
		}
		delete(v.bundles, path)
	}
}

// UnusedBundles calls f for every bundle of which nothing counts any more: no entry is
// the latest version of a machine or of an unfinished job, nor says that a machine is
// gone of which an older version stands elsewhere.
func (v *View) UnusedBundles(f func(path string, stamp uint64)) {
	copies := map[string]int{}
	for _, b := range v.bundles {
		for _, name := range b.names {
			copies[name]++
		}
	}
	for path, b := range v.bundles {
		used := slices.ContainsFunc(b.names, func(name string) bool {
			e := v.entries[name]
			if e == nil || e.at != path && e.twin != path {
				return false
			}
			gone := e.machine == nil && strings.HasPrefix(name, shard.MachineEntry)
			return !gone || copies[name] > 1
		})
		if !used {
			f(path, b.stamp)
		}
	}
}

// Known tells whether a job was accepted.
func (v *View) Known(ref string) bool {
	j := v.Jobs[ref]
	return j != nil && (j.Submission != nil || j.End != "")
}

// Status is the answer to a poll for a job, as far as the view goes.
func (v *View) Status(ref string) (status string, done, running int, known bool) {
	if !v.Known(ref) {
		return "", 0, 0, false
	}
	if end, ok := v.Final(ref); ok {
		return end, v.Jobs[ref].EndTasks, 0, true
	}
	s := v.Done(ref)
	if n := v.bound[ref]; n > 0 {
		return "running", s.Len(), n, true
	}
	if r := v.LentOut[ref]; r != nil && r.State == spill.Lent && r.Running > 0 {
		return "running", s.Len(), r.Running, true
	}
	return "pending", s.Len(), 0, true
}

// Final tells a job's end if it is known: what is written, or follows from it, as
// a job that needs a withdrawn one is withdrawn.
func (v *View) Final(ref string) (string, bool) {
	j := v.Jobs[ref]
	switch {
	case j == nil:
		return "", false
	case j.End != "":
		return j.End, true
	case j.fallen && j.Submission != nil:
		return Cancelled, true
	}
	return "", false
}

// Apply takes a transaction that was carried out.
func (v *View) Apply(txn *Txn, epoch uint64) {
	for _, op := range txn.Then {
		if op.Drop != "" {
			v.Drop(op.Drop, epoch)
			continue
		}
		v.Put(op.Set, op.Value, epoch)
	}
}

// Put applies a value, unless a newer one is known.
func (v *View) Put(path string, value any, stamp uint64) {
	if stamp <= v.Revisions[path] {
		return
	}
	_, rest, _ := strings.Cut(path, "/")
	switch x := value.(type) {
	case shard.JobRecord:
		j := v.job(rest)
		fresh := j.Submission == nil && j.End == ""
		j.Submission = x.Spec
		if x.End == "" {
			j.Revision = stamp
		} else {
			j.End, j.endMs = x.End, x.AtMs
			if x.End == Done {
				j.EndTasks = x.Tasks
			}
			delete(v.entries, shard.DoneEntry+rest)
			if x.Spec != nil {
				x.Tasks = x.Spec.Tasks
			}
			if x.Tasks > model.TasksPerPart {
				for k := range model.Parts(x.Tasks) {
					delete(v.entries, shard.PartEntry(rest, k))
				}
			}
		}
		if fresh && x.Spec != nil {
			v.link(rest, j)
		}
		if x.End != "" {
			v.ended(j, stamp)
		}
	case shard.BundleRecord:
		if x.Dense {
			v.Newest = LayoutDense
		}
		v.putBundle(path, &x, stamp)
	case LeaderRecord:
		v.Leader = &x
	case GrantRecord:
		v.Grants[rest] = &x
	case MachineTypesRecord:
		v.MachineTypes = x.MachineTypes
	case duty.Lease:
		v.Duties[duty.Name(rest)] = &x
	case duty.Rental:
		v.Rentals[path] = &x
	case duty.Return:
		v.Returns[path] = &x
	case spill.OutRecord:
		v.LentOut[strings.TrimPrefix(path, spill.OutPrefix)] = &x
	case spill.InRecord:
		v.LentIn[path] = &x
	default:
		panic("state: no such record: " + path)
	}
	v.Revisions[path] = stamp
}
