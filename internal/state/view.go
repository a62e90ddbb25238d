package state

import (
	"encoding/json"
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
	Sub       *model.Submission
	SpecStamp uint64
	Done      []byte
	End       string
	EndPieces int
	EndStamp  uint64
	Bound     int // bound pieces of it on all hosts
}

// View is a copy of the state as of Epoch, or newer for single keys.
type View struct {
	Epoch   uint64
	Stamps  map[string]uint64
	Jobs    map[string]*JobView
	Hosts   map[string]*block.HostRecord
	Leader  *LeaderRecord
	Grants  map[string]*GrantRecord
	Flavors []model.Flavor
}

// NewView makes an empty view.
func NewView() *View {
	return &View{Stamps: map[string]uint64{}, Jobs: map[string]*JobView{}, Hosts: map[string]*block.HostRecord{},
		Grants: map[string]*GrantRecord{}}
}

func (v *View) job(ref string) *JobView {
	j := v.Jobs[ref]
	if j == nil {
		j = &JobView{}
		v.Jobs[ref] = j
	}
	return j
}

// Set applies a key's value, unless a newer one is known. It tells whether it
// was applied.
func (v *View) Set(path string, value json.RawMessage, stamp uint64) bool {
	if stamp <= v.Stamps[path] {
		return false
	}
	v.Stamps[path] = stamp
	kind, rest, _ := strings.Cut(path, "/")
	switch kind {
	case "job":
		ref, part, _ := strings.Cut(rest, "/")
		j := v.job(ref)
		switch part {
		case "spec":
			var s model.Submission
			if json.Unmarshal(value, &s) == nil {
				j.Sub, j.SpecStamp = &s, stamp
			}
		case "progress":
			var p block.ProgressRecord
			if json.Unmarshal(value, &p) == nil {
				j.Done = p.Done
			}
		case "end":
			var e block.EndRecord
			if json.Unmarshal(value, &e) == nil {
				j.End, j.EndPieces, j.EndStamp = e.Status, e.Pieces, stamp
			}
		}
	case "host":
		var h block.HostRecord
		if json.Unmarshal(value, &h) == nil {
			v.countHost(rest, -1)
			v.Hosts[rest] = &h
			v.countHost(rest, 1)
		}
	case "leader":
		var l LeaderRecord
		if json.Unmarshal(value, &l) == nil {
			v.Leader = &l
		}
	case "grant":
		var g GrantRecord
		if json.Unmarshal(value, &g) == nil {
			v.Grants[rest] = &g
		}
	case "flavors":
		var f FlavorsRecord
		if json.Unmarshal(value, &f) == nil {
			v.Flavors = f.Builds
		}
	}
	return true
}

func (v *View) countHost(ref string, sign int) {
	h := v.Hosts[ref]
	if h == nil {
		return
	}
	for job, ps := range h.Pieces {
		if j := v.Jobs[job]; j != nil {
			j.Bound += sign * len(ps)
		}
	}
}

// Drop applies a key's removal, unless a newer value is known.
func (v *View) Drop(path string, stamp uint64) bool {
	if old, ok := v.Stamps[path]; !ok || stamp < old {
		return false
	}
	delete(v.Stamps, path)
	kind, rest, _ := strings.Cut(path, "/")
	switch kind {
	case "job":
		ref, part, _ := strings.Cut(rest, "/")
		j := v.job(ref)
		switch part {
		case "spec":
			j.Sub, j.SpecStamp = nil, 0
		case "progress":
			j.Done = nil
		case "end":
			j.End, j.EndStamp = "", 0
		}
		if j.Sub == nil && j.End == "" {
			delete(v.Jobs, ref)
		}
	case "host":
		v.countHost(rest, -1)
		delete(v.Hosts, rest)
	case "leader":
		v.Leader = nil
	case "grant":
		delete(v.Grants, rest)
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
	if j.Bound > 0 {
		return "running", s.Len(), j.Bound, true
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

// Recount counts bound pieces anew, after a listing that had hosts before jobs.
func (v *View) Recount() {
	for _, j := range v.Jobs {
		j.Bound = 0
	}
	for ref := range v.Hosts {
		v.countHost(ref, 1)
	}
}

// Put applies a value that this process has just made durable itself.
func (v *View) Put(path string, value any, stamp uint64) {
	if stamp <= v.Stamps[path] {
		return
	}
	kind, rest, _ := strings.Cut(path, "/")
	ref, _, _ := strings.Cut(rest, "/")
	switch x := value.(type) {
	case nil:
		v.Drop(path, stamp)
		return
	case *model.Submission:
		j := v.job(ref)
		j.Sub, j.SpecStamp = x, stamp
	case block.ProgressRecord:
		v.job(ref).Done = x.Done
	case block.EndRecord:
		j := v.job(ref)
		j.End, j.EndPieces, j.EndStamp = x.Status, x.Pieces, stamp
	case block.HostRecord:
		v.countHost(rest, -1)
		v.Hosts[rest] = &x
		v.countHost(rest, 1)
	case LeaderRecord:
		v.Leader = &x
	case GrantRecord:
		v.Grants[rest] = &x
	case FlavorsRecord:
		v.Flavors = x.Builds
	default:
		panic("state: no such record: " + kind)
	}
	v.Stamps[path] = stamp
}
