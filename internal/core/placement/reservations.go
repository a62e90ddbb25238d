package placement

import (
	"cmp"
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// Reservation is room on a machine that is kept for a waiting job. Preempted tells that
// others were stopped for it.
type Reservation struct {
	Machine   *model.Machine
	Request   model.Resources
	Preempted bool
}

// applyReservations books, or with -1 unbooks, the room that is kept for jobs.
func (w *World) applyReservations(sign int, only ...*model.JobState) {
	if len(w.Reservations) == 0 {
		return
	}
	if w.reservedRooms == nil {
		w.reservedRooms = make(map[*model.Machine]*room, len(w.rooms))
		for i := range w.rooms {
			w.reservedRooms[w.rooms[i].machine] = &w.rooms[i]
		}
	}
	apply := func(ks []Reservation) {
		for _, k := range ks {
			if r := w.reservedRooms[k.Machine]; r != nil {
				r.reserved = r.reserved.Plus(k.Request.Times(sign))
			}
		}
	}
	if len(only) > 0 {
		apply(w.Reservations[only[0]])
		return
	}
	for _, ks := range w.Reservations {
		apply(ks)
	}
}

// withhold keeps room that has come free from jobs served later, until the next
// round that decides which of it a waiting gang is to get: single tasks would
// take each machine at once, and be stopped there soon after.
func (w *World) withhold(j *model.JobState) {
	if w.withholdingGangs++; w.withholdingGangs > maxPreemptingJobs {
		return
	}
	n := j.Tasks
	for i := range w.rooms {
		r := &w.rooms[i]
		k := min(j.Request.Count(r.free(), n), n)
		if k > 0 && w.mayUse(j, r.machine) {
			r.reserved = r.reserved.Plus(j.Request.Times(k))
			if n -= k; n == 0 {
				return
			}
		}
	}
}

// reserve keeps a task's room for a job that waits.
func (w *World) reserve(j *model.JobState, r *room, paid bool) {
	r.reserved = r.reserved.Plus(j.Request)
	if w.Reservations != nil {
		w.Reservations[j] = append(w.Reservations[j], Reservation{r.machine, j.Request, paid})
	}
}

// reserveNextFree keeps machines that come free by themselves for a gang that can't have
// others stopped: work of its own rank would otherwise take one after the other
// as soon as it is free, for ever. It takes the machines that are thought to be
// free first; one gang a zone, so that the rest goes on beside it.
func (w *World) reserveNextFree(j *model.JobState) {
	if w.Remaining == nil || len(j.Bindings) > 0 || !w.waitedLongEnough(j) && !j.Starved {
		return
	}
	type option struct {
		r  *room
		at model.Micros
	}
	byZone := map[string][]option{}
	for i := range w.rooms {
		r := &w.rooms[i]
		h := r.machine
		if !j.Request.Fits(h.Size.Minus(r.reserved)) || !w.mayUse(j, h) || w.reservedZones[h.Zone] || w.strandsGPUs(j, h) {
			continue
		}
		// Room for one task after another, as the present ones end.
		ends := make([]*model.Binding, 0, len(h.Bindings))
		for _, b := range h.Bindings {
			ends = append(ends, b)
		}
		slices.SortFunc(ends, func(a, b *model.Binding) int {
			return cmp.Or(cmp.Compare(w.Remaining(a), w.Remaining(b)), cmp.Compare(a.Attempt, b.Attempt))
		})
		free, at := r.free(), model.Micros(0)
		for range min(j.Tasks, w.taskSlots(j, h)) {
			for len(ends) > 0 && !j.Request.Fits(free) {
				free, at = free.Plus(ends[0].Job.Request), w.Remaining(ends[0])
				ends = ends[1:]
			}
			if !j.Request.Fits(free) {
				break
			}
			free = free.Minus(j.Request)
			byZone[h.Zone] = append(byZone[h.Zone], option{r, at})
		}
	}
	var chosen []option
	if j.SameZone || j.Spread {
		for _, y := range slices.Sorted(maps.Keys(byZone)) {
			os := byZone[y]
			slices.SortStableFunc(os, func(a, b option) int { return cmp.Compare(a.at, b.at) })
			if n := min(len(os), j.MaxPerZone()); j.SameZone && n == j.Tasks && (chosen == nil || os[n-1].at < chosen[n-1].at) {
				chosen = os[:n]
			} else if j.Spread {
				chosen = append(chosen, os[:min(n, j.Tasks-len(chosen))]...)
			}
		}
	} else {
		for _, y := range slices.Sorted(maps.Keys(byZone)) {
			chosen = append(chosen, byZone[y]...)
		}
		slices.SortStableFunc(chosen, func(a, b option) int { return cmp.Compare(a.at, b.at) })
		chosen = chosen[:min(len(chosen), j.Tasks)]
	}
	if len(chosen) < j.Tasks {
		return
	}
	for _, o := range chosen {
		w.reservedZones[o.r.machine.Zone] = true
		w.reserve(j, o.r, false)
	}
}

// reserveLimit keeps what a waiting gang needs within its team's limit from jobs that are
// served later: single tasks would take whatever comes free, for ever.
func (w *World) reserveLimit(j *model.JobState) (first bool) {
	_, others := w.reservedLimit[j.Team]
	w.reservedLimit[j.Team] = w.reservedLimit[j.Team].Plus(j.Request.Times(j.Tasks))
	return !others
}
