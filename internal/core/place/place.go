// Package place decides which waiting task goes to which machine. It only
// decides: binding a piece durably and starting it are the holder's business.
package place

import (
	"cmp"
	"slices"
	"strings"

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
	// Slots is how many more tasks of a job may be bound to a machine, whatever room
	// it has.
	Slots func(j *model.Job, h *model.Host) int
	// Due is by when a job is to be done to be in time; a job that can't be in
	// time any more, or needn't be, is due late.
	Due func(j *model.JobState) model.Micros
	// Stop asks for a bound piece to be stopped, to make room.
	Stop func(b *model.Bound, why string)
	// StopTime is about how long it takes until a stopped task's room is free.
	StopTime model.Micros
	// Patience is how long a job may wait before work of lower rank is stopped
	// for it.
	Patience func(j *model.JobState) model.Micros

	// Guarantee is the time within which jobs within their team's guarantee are to
	// start, 0 if they are not counted one by one.
	Guarantee model.Micros
	// Rate is how many tasks of a class come to begin in a second, thought from
	// those that run.
	Rate func(class string) float64

	// Displace has the round look for work to be stopped, too, which costs more
	// than placing. Keeps is what such a round kept for jobs that still wait; the
	// rounds until the next one hold on to it.
	Displace bool
	Keeps    map[*model.JobState][]Keep
	// Left is how long a bound piece is thought to go on.
	Left func(b *model.Bound) model.Micros

	owed      map[string]model.Need                   // room within team limits, kept for gangs served earlier
	rooms     []room                                  // the open machines
	hopeless  map[ask][]model.Need                    // by what is allowed: needs for which no machine has room
	lowest    model.Rank                              // of the tasks that could be stopped
	paid      map[*model.JobState]map[*model.Host]int // rooms that others were stopped for, of the last displacing round
	spared    map[string]bool                         // jobs whose first task at last begins
	withheld  int                                     // gangs that room was withheld for
	displaced int                                     // jobs that looked for work to be stopped
	awaited   map[string]bool                         // yards where a gang waits for machines to come free
	at        map[*model.Host]*room                   // of machines with kept room, made when needed
}

// Keep is room on a machine that is kept for a waiting job. Paid tells that
// others were stopped for it.
type Keep struct {
	Host *model.Host
	Need model.Need
	Paid bool
}

// room is what a round knows of an open machine.
type room struct {
	h       *model.Host
	kept    model.Need // for jobs served earlier
	reserve model.Need // beside free GPUs, kept for GPU tasks

	looked   bool           // the rest is known
	victims  []*model.Bound // tasks that could be stopped, least loss first
	stopping model.Need     // what earlier stops are about to free
}

// free is the room that is not kept for a job served earlier.
func (r *room) free() model.Need { return r.h.Free().Minus(r.kept) }

// ask is what decides, beside its need, which machines a job may use.
type ask struct {
	builds, yard     string
	loaners, pressed bool
	gpus, patient    bool
	image            string // if only machines that have it will do
}

// readyIn is in how short a time an image counts as being there.
const readyIn = 2 * model.Second

// Open tells whether the host takes new work now. A machine that does not hear
// gets none: it would wait there for ever, and a report that may be an old copy
// says nothing of what it could do now.
func (w *World) Open(h *model.Host) bool {
	return h.Up && h.Hears && !h.Lost && !h.Leaving && !h.Deleting && !h.Recall && !h.Sick && !h.Failed && w.Now-h.Heard < w.Silent
}

// Sort puts jobs into the order in which they are served: those that have waited
// too long to begin, then rank, then those for which others have been stopped
// already (others would take that room for nothing, and what these leave would be
// filled and stopped again), then what can still be in time, then what is
// within its team's guarantee, then by DueAt.
func (w *World) Sort() {
	slices.SortFunc(w.Jobs, func(a, b *model.JobState) int { return cmp.Compare(a.Order, b.Order) })
	w.guaranteed()
	w.starving()
	for _, j := range w.Jobs {
		if w.Due != nil {
			j.DueAt = w.Due(j)
		}
		j.Paid = slices.ContainsFunc(w.Keeps[j], func(k Keep) bool { return k.Paid })
	}
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		}
		return 1
	}
	slices.SortStableFunc(w.Jobs, func(a, b *model.JobState) int {
		if a.Starved && b.Starved {
			// By age alone: what can still meet an aim would keep the oldest waiting.
			return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(idle(a), idle(b)))
		}
		return cmp.Or(first(a.Starved, b.Starved), cmp.Compare(b.Rank, a.Rank), first(a.Paid, b.Paid), first(a.DueAt < Late, b.DueAt < Late), first(a.Soon, b.Soon), first(a.Within, b.Within), cmp.Compare(a.DueAt, b.DueAt))
	})
}

// Late is where the DueAt of jobs begins that can't be in time any more.
const Late = model.Micros(1) << 60

// Even the largest jobs are to begin within four minutes. What has not begun in
// beginBy goes before all others, and so does what would not have, by the rate at
// which tasks of its class come to begin, if it waited any longer for those ahead
// of it. Whatever the rate, nothing does in its first starveLeast.
const (
	beginBy     = 185 * model.Second
	starveLeast = 60 * model.Second
	// sparedAfter is how long a job has to have waited for its first task so that
	// this is not stopped for others.
	sparedAfter = 150 * model.Second
)

// starving finds the jobs of which nothing has begun, or been on a machine since,
// for so long that they have to go first, whatever their rank: a gang as a whole,
// another job with a single task. Without this, jobs that can't be in time any
// more, and gangs for which small ones leave no room, would wait for ever; with
// more of it, all jobs of a busy class would get late by turns. The jobs must be
// in order of age.
func (w *World) starving() {
	ahead := map[string]float64{}      // tasks that have to begin first
	until := map[string]model.Micros{} // jobs of the class seen until then are starved
	idles := func(j *model.JobState) bool { return len(j.Bound) == 0 && len(j.Waiting) > 0 && j.Ended == "" }
	for _, j := range w.Jobs {
		if !idles(j) {
			continue
		}
		if j.Shape == model.Gang {
			ahead[j.Class] += float64(j.Pieces)
		} else {
			ahead[j.Class]++
		}
		age := w.Now - idle(j)
		if age > beginBy || age > starveLeast && age.Seconds()+ahead[j.Class]/max(w.Rate(j.Class), 0.001) > beginBy.Seconds() {
			until[j.Class] = max(until[j.Class], idle(j))
		}
	}
	for _, j := range w.Jobs {
		at, ok := until[j.Class]
		j.Starved = ok && idle(j) <= at && w.Now-idle(j) > starveLeast && idles(j)
	}
}

// idle is since when a job waits with nothing of it on a machine: from the start
// if nothing has begun.
func idle(j *model.JobState) model.Micros {
	if unbegun(j) {
		return j.SeenAt
	}
	return j.IdleAt
}

// unbegun tells that no task of a job has run yet, under any holder.
func unbegun(j *model.JobState) bool { return !j.Begun && j.Done.Len() == 0 }

// guaranteed finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs. The jobs must be in order of age. Where no
// aim counts them one by one, all jobs of a team are alike: those of one that uses
// less than its guarantee.
func (w *World) guaranteed() {
	if w.Guarantee == 0 {
		for _, j := range w.Jobs {
			t := w.Teams[j.Owner]
			j.Within, j.Soon = t != nil && t.WithinGuarantee(w.Used[j.Owner]), false
		}
		return
	}
	sum := make(map[string]model.Need, len(w.Teams))
	for _, j := range w.Jobs {
		t := w.Teams[j.Owner]
		if t == nil {
			j.Within, j.Soon = false, false
			continue
		}
		use := sum[j.Owner].Plus(j.Need.Times(j.Pieces))
		sum[j.Owner] = use
		j.Within = t.WithinGuarantee(use)
		j.Soon = j.Within && w.Now-j.SeenAt < w.Guarantee
	}
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

// slots is how many more tasks of a job may be bound to a host.
func (w *World) slots(j *model.JobState, h *model.Host) int {
	if w.Slots == nil {
		return model.MaxPieces
	}
	return w.Slots(j.Job, h)
}

// usable is what a job may use of a machine: a task without GPUs leaves what GPU
// tasks need beside the GPUs that are wanted, unless it can't wait for others to
// be stopped.
func (r *room) usable(a ask) model.Need {
	free := r.free()
	if a.gpus || a.pressed {
		return free
	}
	return free.Minus(r.reserve)
}

func (w *World) ask(j *model.JobState) ask {
	return ask{strings.Join(j.Builds, " "), j.Yard, j.Loaners, w.pressed(j), j.Need.GPUs > 0, w.patient(j), ""}
}

// spare sets the reserve: free GPUs that are wanted, on the machines that suit
// GPU tasks best, with what such a task takes beside each.
func (w *World) spare() {
	var rs []*room
	for i := range w.rooms {
		if r := &w.rooms[i]; r.h.Size.GPUs > 0 && r.h.Free().GPUs > 0 {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *room) int {
		if a.h.Spot != b.h.Spot {
			if a.h.Spot {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.h.Free().GPUs, b.h.Free().GPUs), cmp.Compare(a.h.Ref, b.h.Ref))
	})
	left := w.GPUs
	for _, r := range rs {
		if left <= 0 {
			return
		}
		h := r.h
		g := min(left, h.Free().GPUs)
		left -= g
		per := model.Need{Cores: min(w.PerGPU.Cores, h.Size.Cores*1000/h.Size.GPUs), Mem: min(w.PerGPU.Mem, h.Size.Mem*1000/h.Size.GPUs)}
		r.reserve = model.Need{Cores: per.Cores * g / 1000, GPUs: g, Mem: per.Mem * g / 1000}
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
	return h.Fetching(w.Now) + model.Seconds(j.ImageGB/f.FetchGBps)
}

// cost ranks a host for a job: the image fetch, and what is spoilt for others.
func (w *World) cost(j *model.JobState, r *room, tasks int) (c model.Micros) {
	h := r.h
	c += w.fetch(j, h)
	c += c / model.Micros(max(1, tasks)) // the fewer tasks share a fetch, the more is spent on it
	if h.Size.GPUs > 0 && j.Need.GPUs == 0 {
		c += costGPUHost
		if !j.Need.Fits(r.free().Minus(r.reserve)) {
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
// it. What is within its team's guarantee has an aim of its own.
func (w *World) late(j *model.JobState) bool {
	if w.Patience == nil {
		return false
	}
	p := w.Patience(j)
	if j.Soon {
		p = min(p, w.Guarantee/4)
	}
	return w.Now-j.SeenAt+w.StopTime >= p
}

// pressed tells that a job is urgent and late, and its class is to start within
// a few reports.
func (w *World) pressed(j *model.JobState) bool {
	return j.Rank >= model.Urgent && w.late(j) && w.Patience(j) < 2*w.StopTime
}

// patient tells that a gang can still wait for machines that suit it better.
func (w *World) patient(j *model.JobState) bool {
	return j.Shape == model.Gang && w.Patience != nil && w.Now-j.SeenAt < w.Patience(j)*8/5
}

// dear tells that a gang would strand GPUs on a machine that are wanted and worth
// more than the gang takes. It goes there only when it gets short of time.
func (w *World) dear(j *model.JobState, h *model.Host) bool {
	if h.Size.GPUs == 0 || j.Need.GPUs > 0 || w.GPUs == 0 || h.Size.Cores == 0 || !w.patient(j) {
		return false
	}
	stranded := model.Need{GPUs: h.Size.GPUs * j.Need.Cores / h.Size.Cores}
	return 2*value(stranded) > 3*value(j.Need)
}

type candidate struct {
	r    *room
	cost model.Micros
	free model.Milli
}

// candidates are the machines with room for a task, best first; none if there is
// not room for that many. What found no room at all is remembered: in a round
// room only gets less, so nothing larger has to look again.
func (w *World) candidates(j *model.JobState, atLeast int, ready bool) []candidate {
	a := w.ask(j)
	if ready {
		a.image = j.Image
	}
	soon := max(readyIn, j.Guess/8)
	for _, n := range w.hopeless[a] {
		if n.Fits(j.Need) {
			return nil
		}
	}
	var rs []*room
	count := 0
	for i := range w.rooms {
		r := &w.rooms[i]
		u := r.usable(a)
		if !j.Need.Fits(u) || !j.Allows(r.h.Build, r.h.Yard, r.h.Spot) || w.dear(j, r.h) {
			continue
		}
		if ready && w.fetch(j, r.h) > soon {
			continue
		}
		rs = append(rs, r)
		count += j.Need.Count(u, atLeast)
	}
	if len(rs) == 0 {
		w.hopeless[a] = append(w.hopeless[a], j.Need)
	}
	if count < atLeast {
		return nil
	}
	cs := make([]candidate, len(rs))
	for i, r := range rs {
		left := r.free().Cores
		if j.Need.GPUs > 0 {
			left = r.free().GPUs // the fewer machines GPUs are used on, the more can go back
		}
		cs[i] = candidate{r, w.cost(j, r, j.Need.Count(r.usable(a), len(j.Waiting))), left}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.free, b.free), cmp.Compare(a.r.h.Ref, b.r.h.Ref))
	})
	return cs
}

// Round places what it can and calls Bind for each decision.
func (w *World) Round() {
	w.Sort()
	w.prepare()
	for i, k := 0, 0; i < len(w.Jobs); i = k {
		a := w.Jobs[i]
		for k = i; k < len(w.Jobs); k++ {
			if b := w.Jobs[k]; b.Rank != a.Rank || b.Starved != a.Starved || (b.DueAt < Late) != (a.DueAt < Late) {
				break
			}
		}
		w.together(w.Jobs[i:k])
	}
}

// together serves jobs of the same standing. Tasks whose image is there go first:
// when GPUs come free one at a time, each would else go to whatever is next in
// order, and spend as long on the image as on the work.
func (w *World) together(jobs []*model.JobState) {
	waits := func(j *model.JobState) bool {
		return j.Ended == "" && !j.EndWanted && len(j.Waiting) > 0 && w.Now >= j.NotBefore
	}
	alike := !jobs[0].Starved
	for _, j := range jobs {
		alike = alike && (j.Shape != model.Gang || !waits(j))
	}
	for _, j := range jobs {
		if alike && waits(j) {
			w.sweep(j, true)
		}
	}
	for _, j := range jobs {
		if waits(j) {
			w.serve(j)
		}
	}
}

// prepare looks at the machines.
func (w *World) prepare() {
	w.owed = map[string]model.Need{}
	w.hopeless = map[ask][]model.Need{}
	w.awaited = map[string]bool{}
	w.rooms = make([]room, 0, len(w.Hosts))
	w.lowest = model.Critical
	for _, h := range w.Hosts {
		if !w.Open(h) {
			continue
		}
		w.rooms = append(w.rooms, room{h: h})
		if !w.Displace {
			continue
		}
		for _, b := range h.Bound {
			if b.Job.Rank < w.lowest && b.Job.Shape != model.Gang {
				w.lowest = b.Job.Rank
			}
		}
	}
	w.spare()
	if w.Displace {
		w.paid = map[*model.JobState]map[*model.Host]int{}
		for j, ks := range w.Keeps {
			for _, k := range ks {
				if k.Paid {
					if w.paid[j] == nil {
						w.paid[j] = map[*model.Host]int{}
					}
					w.paid[j][k.Host]++
				}
			}
		}
		// Room that others were stopped for stays with the job it was made for until
		// that is served: else one served before it, short of a machine for a moment,
		// would take that room for nothing, this job would have more stopped
		// elsewhere, and so on down the line.
		for j, ks := range w.Keeps {
			ks = slices.DeleteFunc(ks, func(k Keep) bool { return !k.Paid })
			if len(ks) == 0 || len(j.Waiting) == 0 || j.Ended != "" {
				delete(w.Keeps, j)
			} else {
				w.Keeps[j] = ks
			}
		}
		w.spared = map[string]bool{}
		for _, j := range w.Jobs {
			if unbegun(j) && w.Now-j.SeenAt > sparedAfter {
				w.spared[j.Ref] = true
			}
		}
	}
	w.applyKeeps(1)
}

// applyKeeps books, or with -1 unbooks, the room that is kept for jobs.
func (w *World) applyKeeps(sign int, only ...*model.JobState) {
	if len(w.Keeps) == 0 {
		return
	}
	if w.at == nil {
		w.at = make(map[*model.Host]*room, len(w.rooms))
		for i := range w.rooms {
			w.at[w.rooms[i].h] = &w.rooms[i]
		}
	}
	apply := func(ks []Keep) {
		for _, k := range ks {
			if r := w.at[k.Host]; r != nil {
				r.kept = r.kept.Plus(k.Need.Times(sign))
			}
		}
	}
	if len(only) > 0 {
		apply(w.Keeps[only[0]])
		return
	}
	for _, ks := range w.Keeps {
		apply(ks)
	}
}

// maxDisplacers bounds the jobs of a round that look for work to be stopped: the
// first in order; the others' turn comes when those are served.
const maxDisplacers = 24

// serve places what it can of one job.
func (w *World) serve(j *model.JobState) {
	if len(w.Keeps[j]) > 0 {
		// What was kept for it is its own; what it does not take stays kept. A round
		// that displaces chooses anew.
		w.applyKeeps(-1, j)
		w.hopeless = map[ask][]model.Need{}
		if w.Displace {
			delete(w.Keeps, j)
		} else {
			defer func() {
				if len(j.Waiting) == 0 {
					delete(w.Keeps, j)
				}
				w.applyKeeps(1, j)
			}()
		}
	}
	kept := false
	if j.Shape == model.Gang {
		if w.teamRoom(j, j.Pieces) < j.Pieces {
			w.claim(j)
			return
		}
		kept = w.gang(j)
		if _, ok := w.owed[j.Owner]; !ok && len(j.Waiting) > 0 && len(j.Bound) == 0 {
			// It waits for machines alone. Were nothing owed to it, the team's other
			// work would take its room within the limit meanwhile, and be stopped for
			// it again; were all such gangs owed theirs, there would be no room left.
			w.owe(j)
		}
	} else {
		w.sweep(j, false)
	}
	if !w.Displace && j.Shape == model.Gang && len(j.Waiting) == j.Pieces {
		w.withhold(j)
	}
	if len(j.Waiting) > 0 && w.Displace && w.Stop != nil && !kept {
		if (j.Rank > w.lowest || j.Rank >= model.Urgent) && w.displaced < maxDisplacers {
			w.displaced++
			kept = w.preempt(j, func(*model.Host) bool { return true })
		}
		if !kept && j.Shape == model.Gang {
			w.await(j)
		}
	}
}

// withhold keeps room that has come free from jobs served later, until the next
// round that decides which of it a waiting gang is to get: single tasks would
// take each machine at once, and be stopped there soon after.
func (w *World) withhold(j *model.JobState) {
	if w.withheld++; w.withheld > maxDisplacers {
		return
	}
	n := j.Pieces
	for i := range w.rooms {
		r := &w.rooms[i]
		k := min(j.Need.Count(r.free(), n), n)
		if k > 0 && j.Allows(r.h.Build, r.h.Yard, r.h.Spot) {
			r.kept = r.kept.Plus(j.Need.Times(k))
			if n -= k; n == 0 {
				return
			}
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

// sweep places single tasks; those that are ready only where their image is.
func (w *World) sweep(j *model.JobState, ready bool) {
	left := w.teamRoom(j, len(j.Waiting))
	if j.Starved {
		left = min(left, 1)
	}
	if left == 0 {
		return
	}
	a := w.ask(j)
	for _, c := range w.candidates(j, 1, ready) {
		h := c.r.h
		k := min(left, j.Need.Count(c.r.usable(a), left), YardRoom(j, h.Yard), w.slots(j, h))
		for ; k > 0; k-- {
			w.Bind(j, j.Waiting[0], h, w.NextTry())
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
	cs := w.candidates(j, j.Pieces, false)
	var best []*model.Host
	if j.SamePlace {
		byYard := map[string][]candidate{}
		var yards []string
		for _, c := range cs {
			y := c.r.h.Yard
			if byYard[y] == nil {
				yards = append(yards, y)
			}
			byYard[y] = append(byYard[y], c)
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
	if w.Displace && w.slow(j, best) && w.preempt(j, func(h *model.Host) bool { return w.fetch(j, h) < model.Second }) {
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
		if w.fetch(j, h) > max(aim-age, w.StopTime) {
			return true
		}
	}
	return false
}

// pick chooses a host for every task of the gang, or none.
func (w *World) pick(j *model.JobState, cs []candidate) (hosts []*model.Host, cost model.Micros) {
	a := w.ask(j)
	inYard := map[string]int{}
	for _, c := range cs {
		h := c.r.h
		for k := min(j.Need.Count(c.r.usable(a), j.Pieces-len(hosts)), w.slots(j, h)); k > 0 && inYard[h.Yard] < j.PerYard(); k-- {
			hosts = append(hosts, h)
			inYard[h.Yard]++
			cost = max(cost, c.cost)
		}
		if len(hosts) == j.Pieces {
			return hosts, cost
		}
	}
	return nil, 0
}
