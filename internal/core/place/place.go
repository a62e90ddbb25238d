// Package place decides which waiting task goes to which machine. It only
// decides: binding a piece durably and starting it are the holder's business.
package place

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// World is what a placement round may look at. Bind is called for every
// decision, and is expected to book it at once, so that the next decision sees
// the room that is left.
type World struct {
	Now     model.Micros
	Silent  model.Micros // a machine not heard for this long gets no new work
	Hosts   []*model.Host
	Jobs    []*model.JobState
	Teams   map[string]*model.Team
	Used    map[string]model.Need // by team, all bound pieces
	PerGPU  model.Need            // what a GPU task takes beside each GPU
	NextTry func() uint64
	Bind    func(j *model.JobState, n int, h *model.Host, try uint64)
}

// Open tells whether the host takes new work now.
func (w *World) Open(h *model.Host) bool {
	return h.Up && !h.Lost && !h.Leaving && !h.Deleting && !h.Recall && !h.Sick && !h.Failed && w.Now-h.Heard < w.Silent
}

// Sort puts jobs into the order in which they are served: rank, then what is
// within its team's guarantee, then age.
func Sort(jobs []*model.JobState, teams map[string]*model.Team) {
	slices.SortFunc(jobs, func(a, b *model.JobState) int { return cmp.Compare(a.Order, b.Order) })
	within := Guaranteed(jobs, teams)
	slices.SortStableFunc(jobs, func(a, b *model.JobState) int {
		if c := cmp.Compare(b.Rank, a.Rank); c != 0 {
			return c
		}
		ga, gb := within[a.Ref], within[b.Ref]
		if ga != gb {
			if ga {
				return -1
			}
			return 1
		}
		return 0
	})
}

// Guaranteed tells which jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs. The jobs must be in order of age.
func Guaranteed(jobs []*model.JobState, teams map[string]*model.Team) map[string]bool {
	sum := map[string]model.Need{}
	within := make(map[string]bool, len(jobs))
	for _, j := range jobs {
		t := teams[j.Owner]
		if t == nil || j.Ended != "" {
			continue
		}
		sum[j.Owner] = sum[j.Owner].Plus(j.Need.Times(j.Pieces))
		within[j.Ref] = t.WithinGuarantee(sum[j.Owner])
	}
	return within
}

// YardRoom tells how many more tasks of the job the rules on zones let into the
// yard, given every piece of it that is still bound anywhere.
func YardRoom(j *model.JobState, yard string) int {
	if !j.SamePlace && !j.Apart {
		return j.Pieces
	}
	in := 0
	for _, bs := range j.Bound {
		for _, b := range bs {
			if b.Host.Yard == yard {
				in++
			} else if j.SamePlace {
				return 0
			}
		}
	}
	return max(0, j.PerYard()-in)
}

// tier ranks a host for a job; lower is better.
func (w *World) tier(j *model.JobState, h *model.Host) int {
	t := 0
	if !h.HasImage(j.Image) {
		t += 2
	}
	if h.Size.GPUs > 0 && j.Need.GPUs == 0 {
		left := h.Free().Minus(j.Need)
		k := int(left.GPUs / 1000)
		if need := w.PerGPU.Times(k); need.Cores > left.Cores || need.Mem > left.Mem {
			t += 8 // it would leave GPUs that nothing can use
		} else {
			t++
		}
	}
	return t
}

type candidate struct {
	h    *model.Host
	tier int
	free model.Milli
}

func (w *World) candidates(j *model.JobState) []candidate {
	var cs []candidate
	for _, h := range w.Hosts {
		if !w.Open(h) || !j.Allows(h.Build, h.Yard, h.Spot) || !j.Need.Fits(h.Free()) {
			continue
		}
		if j.ErrorHosts[h.Ref] && len(j.ErrorHosts) < 4 {
			continue
		}
		t := w.tier(j, h)
		if t >= 8 && j.Rank < model.Urgent {
			continue
		}
		if !h.Spot && j.Loaners {
			t++ // leave ordinary machines to those who need them
		}
		cs = append(cs, candidate{h, t, h.Free().Cores})
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		if c := cmp.Compare(a.tier, b.tier); c != 0 {
			return c
		}
		if c := cmp.Compare(a.free, b.free); c != 0 {
			return c
		}
		return cmp.Compare(a.h.Ref, b.h.Ref)
	})
	return cs
}

// Round places what it can and calls Bind for each decision.
func (w *World) Round() {
	Sort(w.Jobs, w.Teams)
	for _, j := range w.Jobs {
		if j.Ended != "" || j.EndWanted || len(j.Waiting) == 0 || w.Now < j.NotBefore {
			continue
		}
		if j.Shape == model.Gang {
			w.gang(j)
		} else {
			w.sweep(j)
		}
	}
}

// teamRoom is how many more tasks of the job its team's limit allows.
func (w *World) teamRoom(j *model.JobState, limit int) int {
	t := w.Teams[j.Owner]
	if t == nil {
		return 0
	}
	room := t.Max.Minus(w.Used[j.Owner])
	n := j.Need
	n.Mem = 0
	return n.Count(room, limit)
}

func (w *World) sweep(j *model.JobState) {
	left := w.teamRoom(j, len(j.Waiting))
	if left == 0 {
		return
	}
	for _, c := range w.candidates(j) {
		k := min(left, j.Need.Count(c.h.Free(), left), YardRoom(j, c.h.Yard))
		for ; k > 0; k-- {
			w.Bind(j, j.Waiting[0], c.h, w.NextTry())
			left--
		}
		if left == 0 {
			return
		}
	}
}

// gang binds all tasks or none. While anything of an earlier attempt may still
// be on a machine, the next attempt has to wait.
func (w *World) gang(j *model.JobState) {
	if len(j.Bound) > 0 || len(j.Waiting) != j.Pieces || w.teamRoom(j, j.Pieces) < j.Pieces {
		return
	}
	cs := w.candidates(j)
	var best []*model.Host
	if j.SamePlace {
		byYard := map[string][]candidate{}
		var yards []string
		for _, c := range cs {
			if byYard[c.h.Yard] == nil {
				yards = append(yards, c.h.Yard)
			}
			byYard[c.h.Yard] = append(byYard[c.h.Yard], c)
		}
		bestTier := 0
		for _, y := range yards {
			if hs, tier := pick(j, byYard[y]); hs != nil && (best == nil || tier < bestTier) {
				best, bestTier = hs, tier
			}
		}
	} else {
		best, _ = pick(j, cs)
	}
	if best == nil {
		return
	}
	try := w.NextTry()
	for _, h := range best {
		w.Bind(j, j.Waiting[0], h, try)
	}
}

// pick chooses a host for every task of the gang, or none.
func pick(j *model.JobState, cs []candidate) (hosts []*model.Host, tier int) {
	inYard := map[string]int{}
	for _, c := range cs {
		for k := j.Need.Count(c.h.Free(), j.Pieces-len(hosts)); k > 0 && inYard[c.h.Yard] < j.PerYard(); k-- {
			hosts = append(hosts, c.h)
			inYard[c.h.Yard]++
			tier += c.tier
		}
		if len(hosts) == j.Pieces {
			return hosts, tier
		}
	}
	return nil, 0
}
