package place

import (
	"cmp"
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// preempt makes room for a job of higher rank that found none: it stops tasks
// of lower rank where that loses least, and keeps the room that comes free for
// this job. Room that earlier stops are about to free counts first. Only machines
// that suit are considered. It tells whether all the room was found and kept.
func (w *World) preempt(j *model.JobState, suits func(*model.Host) bool) (kept bool) {
	n := w.teamRoom(j, len(j.Waiting))
	if j.Shape == model.Gang && (len(j.Bound) > 0 || n < j.Pieces) || n == 0 {
		return false
	}
	type option struct {
		r       *room
		victims []*model.Bound
		cost    model.Micros
		now     bool // the room is free already, but was kept for GPU tasks
		nth     int  // the machine's first, second ... room
		paid    bool
	}
	var options []option
	a := w.ask(j)
	for i := range w.rooms {
		r := &w.rooms[i]
		h := r.h
		if !j.Need.Fits(h.Size) || !j.Allows(h.Build, h.Yard, h.Spot) || w.dear(j, h) || !suits(h) {
			continue
		}
		w.look(r)
		// Room for one task after another, as long as there are victims.
		free := r.free()
		if j.Rank < model.Urgent {
			free = r.usable(a)
		}
		free = free.Plus(r.stopping)
		victims := r.victims
		really := r.free()
		fetch, paid := model.Micros(-1), w.paid[j][h]
		var cores, stranded model.Milli // what this job would take, and the GPUs idle beside it
		for nth := range min(n, w.slots(j, h)) {
			o := option{r: r, nth: nth, now: j.Need.Fits(really)}
			really = really.Minus(j.Need)
			for len(victims) > 0 && !j.Need.Fits(free) {
				v := victims[0]
				victims = victims[1:]
				if v.Job.Rank >= j.Rank || v.Stop || j.Need.GPUs == 0 && v.Job.Need.GPUs > 0 && j.Rank < model.Urgent {
					// A task's GPUs are worth more than what one without any would do in
					// its place; only what is urgent is worth that.
					continue
				}
				free = free.Plus(v.Job.Need)
				o.cost += w.Loss(v)
				o.victims = append(o.victims, v)
			}
			if !j.Need.Fits(free) {
				break
			}
			if fetch < 0 {
				fetch = w.cost(j, r, n) * value(j.Need) / 4
			}
			o.cost += fetch
			free = free.Minus(j.Need)
			if j.Need.GPUs == 0 && w.GPUs > 0 && w.PerGPU.Cores > 0 {
				// GPUs that are wanted would stand idle beside it, for all its time.
				cores += j.Need.Cores
				gpus := min(w.GPUs, h.Size.GPUs-(h.Size.Cores-cores)*1000/w.PerGPU.Cores)
				if more := gpus - stranded; more > 0 {
					o.cost += value(model.Need{GPUs: more}) * max(j.Guess, 10*model.Second)
					stranded = gpus
				}
			}
			if nth < paid && len(o.victims) == 0 {
				// Others have been stopped here for this job already. Choosing anew
				// would stop more elsewhere and leave this to whoever comes next.
				o.cost, o.paid = 0, true
			}
			options = append(options, o)
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		if a.cost != b.cost {
			return cmp.Compare(a.cost, b.cost)
		}
		return cmp.Or(cmp.Compare(a.r.h.Ref, b.r.h.Ref), a.nth-b.nth)
	})
	choose := func(yard string) (chosen []option, cost model.Micros) {
		inYard := map[string]int{}
		for _, o := range options {
			y := o.r.h.Yard
			if len(chosen) == n {
				break
			}
			if yard != "" && yard != y || inYard[y] >= YardRoom(j, y) {
				continue
			}
			inYard[y]++
			chosen = append(chosen, o)
			cost += o.cost
		}
		return chosen, cost
	}
	var chosen []option
	if !j.SamePlace {
		chosen, _ = choose("")
	} else {
		// The yard with room for most, and of those where all of it costs least: what
		// has been stopped there already costs nothing any more, while hopping from
		// yard to yard would stop others in each.
		best := model.Micros(0)
		tried := map[string]bool{}
		for _, o := range options {
			y := o.r.h.Yard
			if tried[y] {
				continue
			}
			tried[y] = true
			if c, cost := choose(y); len(c) > len(chosen) || len(c) == len(chosen) && cost < best {
				chosen, best = c, cost
			}
		}
	}
	if len(chosen) == 0 || j.Shape == model.Gang && len(chosen) < j.Pieces {
		return false
	}
	late := w.late(j)
	if late && !slices.ContainsFunc(chosen, func(o option) bool { return !o.now }) {
		// Nobody has to be stopped: it is only that GPU tasks were to have the room.
		try := w.NextTry()
		for _, o := range chosen {
			w.Bind(j, j.Waiting[0], o.r.h, try)
			if j.Shape != model.Gang {
				try = w.NextTry()
			}
		}
		return true
	}
	for _, o := range chosen {
		// Until the job is late, the room only comes free by itself, as nothing
		// that is served later gets it.
		if late {
			for _, b := range o.victims {
				w.Stop(b, "room for "+j.Ref)
			}
		}
		w.keep(j, o.r, o.paid || late && len(o.victims) > 0)
	}
	return len(chosen) == n
}

// keep keeps a task's room for a job that waits.
func (w *World) keep(j *model.JobState, r *room, paid bool) {
	r.kept = r.kept.Plus(j.Need)
	if w.Keeps != nil {
		w.Keeps[j] = append(w.Keeps[j], Keep{r.h, j.Need, paid})
	}
}

// look finds out what could be stopped on a machine.
func (w *World) look(r *room) {
	if r.looked {
		return
	}
	r.looked = true
	for _, b := range r.h.Bound {
		if b.Stop {
			r.stopping = r.stopping.Plus(b.Job.Need)
		} else if b.Job.Shape != model.Gang && b.Job.Rank < model.Critical && !w.spared[b.Job.Ref] {
			r.victims = append(r.victims, b)
		}
	}
	w.byLoss(r.victims)
}

// await keeps machines that come free by themselves for a gang that can't have
// others stopped: work of its own rank would otherwise take one after the other
// as soon as it is free, for ever. It takes the machines that are thought to be
// free first; one gang a yard, so that the rest goes on beside it.
func (w *World) await(j *model.JobState) {
	if w.Left == nil || len(j.Bound) > 0 || !w.late(j) && !j.Starved {
		return
	}
	type option struct {
		r  *room
		at model.Micros
	}
	byYard := map[string][]option{}
	for i := range w.rooms {
		r := &w.rooms[i]
		h := r.h
		if !j.Need.Fits(h.Size.Minus(r.kept)) || !j.Allows(h.Build, h.Yard, h.Spot) || w.awaited[h.Yard] || w.dear(j, h) {
			continue
		}
		// Room for one task after another, as the present ones end.
		ends := make([]*model.Bound, 0, len(h.Bound))
		for _, b := range h.Bound {
			ends = append(ends, b)
		}
		slices.SortFunc(ends, func(a, b *model.Bound) int {
			return cmp.Or(cmp.Compare(w.Left(a), w.Left(b)), cmp.Compare(a.Try, b.Try))
		})
		free, at := r.free(), model.Micros(0)
		for range min(j.Pieces, w.slots(j, h)) {
			for len(ends) > 0 && !j.Need.Fits(free) {
				free, at = free.Plus(ends[0].Job.Need), w.Left(ends[0])
				ends = ends[1:]
			}
			if !j.Need.Fits(free) {
				break
			}
			free = free.Minus(j.Need)
			byYard[h.Yard] = append(byYard[h.Yard], option{r, at})
		}
	}
	var chosen []option
	if j.SamePlace || j.Apart {
		for _, y := range slices.Sorted(maps.Keys(byYard)) {
			os := byYard[y]
			slices.SortStableFunc(os, func(a, b option) int { return cmp.Compare(a.at, b.at) })
			if n := min(len(os), j.PerYard()); j.SamePlace && n == j.Pieces && (chosen == nil || os[n-1].at < chosen[n-1].at) {
				chosen = os[:n]
			} else if j.Apart {
				chosen = append(chosen, os[:min(n, j.Pieces-len(chosen))]...)
			}
		}
	} else {
		for _, y := range slices.Sorted(maps.Keys(byYard)) {
			chosen = append(chosen, byYard[y]...)
		}
		slices.SortStableFunc(chosen, func(a, b option) int { return cmp.Compare(a.at, b.at) })
		chosen = chosen[:min(len(chosen), j.Pieces)]
	}
	if len(chosen) < j.Pieces {
		return
	}
	for _, o := range chosen {
		w.awaited[o.r.h.Yard] = true
		w.keep(j, o.r, false)
	}
}

// owe keeps what a waiting gang needs within its team's limit from jobs that are
// served later: single tasks would take whatever comes free, for ever.
func (w *World) owe(j *model.JobState) (first bool) {
	_, others := w.owed[j.Owner]
	w.owed[j.Owner] = w.owed[j.Owner].Plus(j.Need.Times(j.Pieces))
	return !others
}

// claim is for a gang that its team's limit keeps waiting. When it is late, tasks
// of its own team and of lower rank are stopped for it.
func (w *World) claim(j *model.JobState) {
	t := w.Teams[j.Owner]
	if t == nil || len(j.Bound) > 0 || len(j.Waiting) != j.Pieces {
		return
	}
	// Only for the first gang: the next may not find machines for a long time, and
	// the team's other work would take the limit again meanwhile.
	if !w.owe(j) || w.Stop == nil || !w.Displace || !w.late(j) {
		return
	}
	room := t.Max.Minus(w.Used[j.Owner]).Minus(w.owed[j.Owner])
	var victims []*model.Bound
	for _, h := range w.Hosts {
		for _, b := range h.Bound {
			switch {
			case b.Job.Owner != j.Owner:
			case b.Stop:
				room = room.Plus(b.Job.Need)
			case b.Job.Rank < j.Rank && b.Job.Shape != model.Gang:
				victims = append(victims, b)
			}
		}
	}
	w.byLoss(victims)
	var stop []*model.Bound
	for _, b := range victims {
		if room.Cores >= 0 && room.GPUs >= 0 {
			break
		}
		if room.Cores >= 0 && b.Job.Need.GPUs == 0 {
			continue // it is GPUs that are missing
		}
		room = room.Plus(b.Job.Need)
		stop = append(stop, b)
	}
	if room.Cores < 0 || room.GPUs < 0 {
		return // not even that would do
	}
	for _, b := range stop {
		w.Stop(b, "limit of "+j.Owner+" for "+j.Ref)
	}
}

// gpuValue is what a GPU counts beside a core when work is weighed.
const gpuValue = 10

// value weighs an amount, in thousandths of a core.
func value(n model.Need) model.Micros {
	return model.Micros(n.Cores+gpuValue*n.GPUs) / 1000
}

// byLoss sorts tasks by the work that is lost when they are stopped, least first.
func (w *World) byLoss(bs []*model.Bound) {
	slices.SortFunc(bs, func(a, b *model.Bound) int {
		if c := cmp.Compare(w.Loss(a), w.Loss(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Try, b.Try)
	})
}

// Loss is the work that is lost when a task is stopped: of one that waits for its
// image, the fetch, which is given up. Were that nothing, tasks with long fetches
// would be stopped again and again and never run.
func (w *World) Loss(b *model.Bound) model.Micros {
	if b.RunAt == 0 {
		return min(w.Now-b.At, b.Fetch) * value(b.Job.Need)
	}
	ran := w.Now - b.RunAt
	if b.Job.Keepsake > 0 {
		ran = b.Job.Stow
	}
	return ran * value(b.Job.Need)
}
