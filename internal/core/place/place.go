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
	PerGPU  model.Need            // what a GPU task takes beside each GPU, on average
	GPUs    model.Milli           // GPUs that are, or may soon be, wanted beyond those in use
	NextTry func() uint64
	Bind    func(j *model.JobState, n int, h *model.Host, try uint64)
	Flavors map[string]*model.Flavor
	// MaxBound is the most pieces that may be bound to one machine, 0: any.
	MaxBound int
	// Due is by when a job is to be done to be in time; a job that can't be in
	// time any more, or needn't be, is due late.
	Due func(j *model.JobState) model.Micros
	// Stop asks for a bound piece to be stopped, to make room.
	Stop func(b *model.Bound, why string)
	// Patience is how long a job may wait before work of lower rank is stopped
	// for it.
	Patience func(j *model.JobState) model.Micros

	owed    map[string]model.Need      // room within team limits, kept for gangs served earlier
	kept    map[*model.Host]model.Need // room kept for jobs served earlier
	reserve map[*model.Host]model.Need // room beside free GPUs, kept for GPU tasks
}

// Open tells whether the host takes new work now.
func (w *World) Open(h *model.Host) bool {
	return h.Up && !h.Lost && !h.Leaving && !h.Deleting && !h.Recall && !h.Sick && !h.Failed && w.Now-h.Heard < w.Silent
}

// Sort puts jobs into the order in which they are served: rank, then what is
// within its team's guarantee, then what is due first of all that can still be
// in time, then age.
func (w *World) Sort() {
	slices.SortFunc(w.Jobs, func(a, b *model.JobState) int { return cmp.Compare(a.Order, b.Order) })
	within := Guaranteed(w.Jobs, w.Teams)
	due := make(map[*model.JobState]model.Micros, len(w.Jobs))
	if w.Due != nil {
		for _, j := range w.Jobs {
			due[j] = w.Due(j)
		}
	}
	slices.SortStableFunc(w.Jobs, func(a, b *model.JobState) int {
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
		return cmp.Compare(due[a], due[b])
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

// slots is how many more pieces may be bound to a host.
func (w *World) slots(h *model.Host) int {
	if w.MaxBound == 0 {
		return model.MaxPieces
	}
	return max(0, w.MaxBound-len(h.Bound))
}

// free is the room on a host that is not kept for a job served earlier.
func (w *World) free(h *model.Host) model.Need { return h.Free().Minus(w.kept[h]) }

// room is what the job may use of a host: a task without GPUs leaves what GPU
// tasks need beside the GPUs that are wanted, unless it can't wait for others to
// be stopped.
func (w *World) room(j *model.JobState, h *model.Host) model.Need {
	free := w.free(h)
	if j.Need.GPUs > 0 || w.pressed(j) {
		return free
	}
	return free.Minus(w.reserve[h])
}

// spare sets the reserve: free GPUs that are wanted, on the machines that suit
// GPU tasks best, with what such a task takes beside each.
func (w *World) spare() {
	w.reserve = map[*model.Host]model.Need{}
	var hs []*model.Host
	for _, h := range w.Hosts {
		if h.Size.GPUs > 0 && w.Open(h) && h.Free().GPUs > 0 {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *model.Host) int {
		if a.Spot != b.Spot {
			if a.Spot {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.Free().GPUs, b.Free().GPUs); c != 0 {
			return c
		}
		return cmp.Compare(a.Ref, b.Ref)
	})
	left := w.GPUs
	for _, h := range hs {
		if left <= 0 {
			return
		}
		g := min(left, h.Free().GPUs)
		left -= g
		per := model.Need{Cores: min(w.PerGPU.Cores, h.Size.Cores*1000/h.Size.GPUs), Mem: min(w.PerGPU.Mem, h.Size.Mem*1000/h.Size.GPUs)}
		w.reserve[h] = model.Need{Cores: per.Cores * g / 1000, GPUs: g, Mem: per.Mem * g / 1000}
	}
}

// What a choice costs, counted in the time that it makes a task wait.
const (
	costOrdinary = model.Second      // an ordinary machine, where a spot machine would do
	costGPUHost  = model.Second      // a GPU machine for a task without GPUs
	costStrand   = 8 * model.Second  // leaving GPUs that nothing can use
	costErred    = 30 * model.Second // the job has failed there before
	costSlow     = 20 * model.Second // the machine seemed slow lately
)

// fetch is how long the job's image takes to be there.
func (w *World) fetch(j *model.JobState, h *model.Host) model.Micros {
	f := w.Flavors[h.Build]
	if f == nil || f.FetchGBps <= 0 {
		return 0
	}
	if h.HasImage(j.Image) {
		// Being fetched, it may take a while yet.
		return max(0, h.ReadyAt[j.Image]-w.Now)
	}
	return model.Seconds(j.ImageGB / f.FetchGBps)
}

// cost ranks a host for a job: the image fetch, and what is spoilt for others.
func (w *World) cost(j *model.JobState, h *model.Host) (c model.Micros) {
	c += w.fetch(j, h)
	if h.Size.GPUs > 0 && j.Need.GPUs == 0 {
		c += costGPUHost
		if !j.Need.Fits(w.free(h).Minus(w.reserve[h])) {
			c += costStrand
		}
	}
	if !h.Spot && j.Loaners {
		c += costOrdinary
	}
	if j.ErrorHosts[h.Ref] {
		c += costErred
	}
	if w.Now < h.SlowUntil {
		c += costSlow
	}
	return c
}

// late tells that a job has waited as long as it may before others suffer for
// it.
func (w *World) late(j *model.JobState) bool {
	return w.Patience != nil && w.Now-j.SeenAt+stopTime >= w.Patience(j)
}

// pressed tells that a job is urgent and late, and its class is to start within
// a few reports.
func (w *World) pressed(j *model.JobState) bool {
	return j.Rank >= model.Urgent && w.late(j) && w.Patience(j) < 2*stopTime
}

type candidate struct {
	h    *model.Host
	cost model.Micros
	free model.Milli
}

func (w *World) candidates(j *model.JobState) []candidate {
	var cs []candidate
	for _, h := range w.Hosts {
		if !w.Open(h) || !j.Allows(h.Build, h.Yard, h.Spot) || !j.Need.Fits(w.room(j, h)) {
			continue
		}
		left := w.free(h).Cores
		if j.Need.GPUs > 0 {
			left = w.free(h).GPUs // the fewer machines GPUs are used on, the more can go back
		}
		cs = append(cs, candidate{h, w.cost(j, h), left})
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
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
	w.Sort()
	w.kept = map[*model.Host]model.Need{}
	w.owed = map[string]model.Need{}
	w.spare()
	for _, j := range w.Jobs {
		if j.Ended != "" || j.EndWanted || len(j.Waiting) == 0 || w.Now < j.NotBefore {
			continue
		}
		kept := false
		if j.Shape == model.Gang && w.teamRoom(j, j.Pieces) < j.Pieces {
			w.claim(j)
			continue
		}
		if j.Shape == model.Gang {
			kept = w.gang(j)
		} else {
			w.sweep(j)
		}
		if len(j.Waiting) > 0 && w.Stop != nil && !kept {
			w.preempt(j, func(*model.Host) bool { return true })
		}
	}
}

// teamRoom is how many more tasks of the job its team's limit allows.
func (w *World) teamRoom(j *model.JobState, limit int) int {
	t := w.Teams[j.Owner]
	if t == nil {
		return 0
	}
	room := t.Max.Minus(w.Used[j.Owner]).Minus(w.owed[j.Owner])
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
		k := min(left, j.Need.Count(w.room(j, c.h), left), YardRoom(j, c.h.Yard), w.slots(c.h))
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
// be on a machine, the next attempt has to wait. It tells whether it waits for
// room that has been kept for it.
func (w *World) gang(j *model.JobState) (kept bool) {
	if len(j.Bound) > 0 || len(j.Waiting) != j.Pieces || w.teamRoom(j, j.Pieces) < j.Pieces {
		return false
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
		bestCost := model.Micros(0)
		for _, y := range yards {
			if hs, cost := w.pick(j, byYard[y]); hs != nil && (best == nil || cost < bestCost) {
				best, bestCost = hs, cost
			}
		}
	} else {
		best, _ = w.pick(j, cs)
	}
	if best == nil {
		return false
	}
	if w.slow(j, best) && w.preempt(j, func(h *model.Host) bool { return w.fetch(j, h) < model.Second }) {
		return true
	}
	try := w.NextTry()
	for _, h := range best {
		w.Bind(j, j.Waiting[0], h, try)
	}
	return false
}

// slow tells that fetching the image would make a pressed job miss its class's
// start aim, so that stopping others on machines that have the image is quicker.
func (w *World) slow(j *model.JobState, hosts []*model.Host) bool {
	if w.Stop == nil || !w.pressed(j) {
		return false
	}
	aim := w.Patience(j) * 4
	age := w.Now - j.SeenAt
	if age > 2*aim {
		return false
	}
	for _, h := range hosts {
		if w.fetch(j, h) > max(aim-age, stopTime) {
			return true
		}
	}
	return false
}

// pick chooses a host for every task of the gang, or none.
func (w *World) pick(j *model.JobState, cs []candidate) (hosts []*model.Host, cost model.Micros) {
	inYard := map[string]int{}
	for _, c := range cs {
		for k := min(j.Need.Count(w.room(j, c.h), j.Pieces-len(hosts)), w.slots(c.h)); k > 0 && inYard[c.h.Yard] < j.PerYard(); k-- {
			hosts = append(hosts, c.h)
			inYard[c.h.Yard]++
			cost = max(cost, c.cost)
		}
		if len(hosts) == j.Pieces {
			return hosts, cost
		}
	}
	return nil, 0
}
