package place

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// stopTime is about how long it takes until a stopped task's room is free: two
// reports.
const stopTime = 3 * model.Second

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
		h       *model.Host
		victims []*model.Bound
		cost    model.Micros
		now     bool // the room is free already, but was kept for GPU tasks
	}
	var options []option
	for _, h := range w.Hosts {
		if !w.Open(h) || !j.Allows(h.Build, h.Yard, h.Spot) || !j.Need.Fits(h.Size) || !suits(h) {
			continue
		}
		fetch := w.cost(j, h) * value(j.Need) / 4
		// Room for one task after another, as long as there are victims.
		free := w.free(h)
		reserve := w.reserve[h]
		if j.Rank < model.Urgent {
			free, reserve = w.room(j, h), model.Need{}
		}
		var victims []*model.Bound
		for _, b := range h.Bound {
			if b.Stop {
				free = free.Plus(b.Job.Need)
			} else if b.Job.Rank < j.Rank && b.Job.Shape != model.Gang {
				victims = append(victims, b)
			}
		}
		w.byLoss(victims)
		really := w.free(h)
		for range min(n, w.slots(h)) {
			o := option{h: h, cost: fetch, now: j.Need.Fits(really)}
			really = really.Minus(j.Need)
			for len(victims) > 0 && !j.Need.Fits(free) {
				free = free.Plus(victims[0].Job.Need)
				o.cost += w.loss(victims[0])
				o.victims = append(o.victims, victims[0])
				victims = victims[1:]
			}
			if !j.Need.Fits(free) {
				break
			}
			free = free.Minus(j.Need)
			if over := reserve.Cores - free.Cores; over > 0 && reserve.GPUs > 0 {
				// GPUs that are wanted would stand idle beside it.
				gpus := min(reserve.GPUs, over*reserve.GPUs/reserve.Cores+999)
				o.cost += value(model.Need{GPUs: gpus}) * max(j.Guess, 10*model.Second)
			}
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return cmp.Compare(a.h.Ref, b.h.Ref)
	})
	var chosen []option
	inYard := map[string]int{}
	for _, o := range options {
		if len(chosen) == n {
			break
		}
		if j.SamePlace && len(chosen) > 0 && chosen[0].h.Yard != o.h.Yard || inYard[o.h.Yard] >= YardRoom(j, o.h.Yard) {
			continue
		}
		inYard[o.h.Yard]++
		chosen = append(chosen, o)
	}
	if len(chosen) == 0 || j.Shape == model.Gang && len(chosen) < j.Pieces {
		return false
	}
	late := w.late(j)
	if late && !slices.ContainsFunc(chosen, func(o option) bool { return !o.now }) {
		// Nobody has to be stopped: it is only that GPU tasks were to have the room.
		try := w.NextTry()
		for _, o := range chosen {
			w.Bind(j, j.Waiting[0], o.h, try)
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
		w.kept[o.h] = w.kept[o.h].Plus(j.Need)
	}
	return len(chosen) == n
}

// claim keeps what a gang needs within its team's limit from jobs that are served
// later: single tasks would take whatever comes free, for ever. When the gang is
// late, tasks of its own team and of lower rank are stopped for it.
func (w *World) claim(j *model.JobState) {
	t := w.Teams[j.Owner]
	if t == nil || len(j.Bound) > 0 || len(j.Waiting) != j.Pieces {
		return
	}
	need := j.Need.Times(j.Pieces)
	w.owed[j.Owner] = w.owed[j.Owner].Plus(need)
	if w.Stop == nil || !w.late(j) {
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
		if c := cmp.Compare(w.loss(a), w.loss(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Try, b.Try)
	})
}

// loss is the work that is lost when a task is stopped.
func (w *World) loss(b *model.Bound) model.Micros {
	if b.RunAt == 0 {
		return 0
	}
	ran := w.Now - b.RunAt
	if b.Job.Keepsake > 0 {
		ran = b.Job.Stow
	}
	return ran * value(b.Job.Need)
}
