package state

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"woadweir/internal/core/block"
	"woadweir/internal/core/model"
)

// NodeRecord is a node's own key, attached to its session.
type NodeRecord struct {
	Session uint64 `json:"session"`
	Serve   string `json:"serve"`
}

// LeaderRecord is the leader's key, attached to its session.
type LeaderRecord struct {
	Node    string `json:"node"`
	Session uint64 `json:"session"`
}

// GrantRecord is a block's grant.
type GrantRecord struct {
	Holder  string                `json:"holder"`
	Session uint64                `json:"session"`
	Credit  map[string]model.Need `json:"credit"`
}

// FlavorsRecord keeps the machine types that were last seen.
type FlavorsRecord struct {
	Builds []model.Flavor `json:"builds"`
}

// JobView is what the view knows of a job.
type JobView struct {
	Sub       *model.Submission // nil once it is done
	Stamp     uint64            // of its acceptance
	Done      []byte
	End       string
	EndPieces int

	doneAt string // the bundle that Done is from
}

// bundleView is what the view knows of a bundle.
type bundleView struct {
	stamp uint64
	names []string
}

// hostView is the latest record of a machine, nil if it is gone.
type hostView struct {
	rec *block.HostRecord
	at  string // the bundle that it is from
}

// View is a copy of the state as of Epoch, or newer for single keys.
type View struct {
	Epoch   uint64
	Stamps  map[string]uint64
	Jobs    map[string]*JobView
	Leader  *LeaderRecord
	Grants  map[string]*GrantRecord
	Flavors []model.Flavor

	hosts   map[string]*hostView
	bound   map[string]int // bound pieces by job
	bundles map[string]*bundleView
}

// NewView makes an empty view.
func NewView() *View {
	return &View{Stamps: map[string]uint64{}, Jobs: map[string]*JobView{}, Grants: map[string]*GrantRecord{},
		hosts: map[string]*hostView{}, bound: map[string]int{}, bundles: map[string]*bundleView{}}
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
	if stamp <= v.Stamps[path] {
		return false, nil
	}
	read := func(rec any) error {
		if err := json.Unmarshal(value, rec); err != nil {
			return fmt.Errorf("%w: %s: %v", ErrLayout, path, err)
		}
		return nil
	}
	var rec any
	var err error
	switch kind, rest, _ := strings.Cut(path, "/"); {
	case kind == "job" && rest != "" && !strings.Contains(rest, "/"):
		var r block.JobRecord
		if err = read(&r); err == nil && r.Spec == nil && r.End == "" {
			err = fmt.Errorf("%w: %s is empty", ErrLayout, path)
		}
		rec = r
	case kind == "bound":
		var r block.BundleRecord
		err, rec = read(&r), r
	case kind == "leader":
		var r LeaderRecord
		err, rec = read(&r), r
	case kind == "grant":
		var r GrantRecord
		err, rec = read(&r), r
	case kind == "flavors":
		var r FlavorsRecord
		err, rec = read(&r), r
	case kind == "node":
		v.Stamps[path] = stamp
		return true, nil
	default:
		err = fmt.Errorf("%w: %s", ErrLayout, path)
	}
	if err != nil {
		return false, err
	}
	v.Put(path, rec, stamp)
	return true, nil
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

// Hosts calls f for the latest record of every machine.
func (v *View) Hosts(f func(ref string, rec *block.HostRecord)) {
	for ref, h := range v.hosts {
		if h.rec != nil {
			f(ref, h.rec)
		}
	}
}

// newer tells whether a bundle written at that stamp overrides the one at path.
func (v *View) newer(path string, stamp uint64) bool {
	b := v.bundles[path]
	return b == nil || stamp >= b.stamp
}

func (v *View) setHost(ref string, rec *block.HostRecord, path string) {
	v.countHost(ref, -1)
	v.hosts[ref] = &hostView{rec, path}
	v.countHost(ref, 1)
}

// putBundle applies a bundle. What stood only in its former version is gone.
func (v *View) putBundle(path string, r *block.BundleRecord, stamp uint64) {
	for ref, rec := range r.Hosts {
		if h := v.hosts[ref]; h == nil || h.at == path || v.newer(h.at, stamp) {
			v.setHost(ref, rec, path)
		}
	}
	for ref, bits := range r.Done {
		if j := v.job(ref); j.End == "" && (j.doneAt == "" || j.doneAt == path || v.newer(j.doneAt, stamp)) {
			j.Done, j.doneAt = bits, path
		}
	}
	if old := v.bundles[path]; old != nil {
		for _, e := range old.names {
			kind, ref, _ := strings.Cut(e, "/")
			if kind == "host" {
				if _, ok := r.Hosts[ref]; !ok && v.hosts[ref] != nil && v.hosts[ref].at == path {
					v.countHost(ref, -1)
					delete(v.hosts, ref)
				}
			} else if _, ok := r.Done[ref]; !ok {
				if j := v.Jobs[ref]; j != nil && j.doneAt == path {
					j.Done, j.doneAt = nil, ""
				}
			}
		}
	}
	v.bundles[path] = &bundleView{stamp, r.Names()}
}

func (v *View) countHost(ref string, sign int) {
	h := v.hosts[ref]
	if h == nil || h.rec == nil {
		return
	}
	for job, ps := range h.rec.Pieces {
		if v.bound[job] += sign * len(ps); v.bound[job] == 0 {
			delete(v.bound, job)
		}
	}
}

// Drop applies a key's removal, unless a newer value is known. Only keys that
// are attached to a session are ever removed.
func (v *View) Drop(path string, stamp uint64) bool {
	if old, ok := v.Stamps[path]; !ok || stamp < old {
		return false
	}
	delete(v.Stamps, path)
	if path == "leader" {
		v.Leader = nil
	}
	return true
}

// Status is the answer to a poll for a job, as far as the view goes.
func (v *View) Status(ref string) (status string, done, running int, known bool) {
	j := v.Jobs[ref]
	switch {
	case j == nil || j.Sub == nil && j.End == "":
		return "", 0, 0, false
	case j.End == "done":
		return "done", j.EndPieces, 0, true
	case j.End != "":
		return j.End, 0, 0, true
	}
	s := model.SetOf(j.Done)
	if n := v.bound[ref]; n > 0 {
		return "running", s.Len(), n, true
	}
	return "pending", s.Len(), 0, true
}

// Final tells a job's end if it is known.
func (v *View) Final(ref string) (string, bool) {
	j := v.Jobs[ref]
	if j == nil || j.End == "" {
		return "", false
	}
	return j.End, true
}

// Put applies a value, unless a newer one is known.
func (v *View) Put(path string, value any, stamp uint64) {
	if stamp <= v.Stamps[path] {
		return
	}
	_, rest, _ := strings.Cut(path, "/")
	switch x := value.(type) {
	case block.JobRecord:
		j := v.job(rest)
		j.Sub = x.Spec
		if x.End == "" {
			j.Stamp = stamp
		} else {
			j.End, j.EndPieces, j.Done, j.doneAt = x.End, x.Pieces, nil, ""
		}
	case block.BundleRecord:
		v.putBundle(path, &x, stamp)
	case LeaderRecord:
		v.Leader = &x
	case GrantRecord:
		v.Grants[rest] = &x
	case FlavorsRecord:
		v.Flavors = x.Builds
	default:
		panic("state: no such record: " + path)
	}
	v.Stamps[path] = stamp
}
