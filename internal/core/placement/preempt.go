package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// preempt makes room for a job of higher rank that found none: it stops tasks
// of lower rank where that loses least, and keeps the room that comes free for
// this job. Room that earlier stops are about to free counts first. Only machines
// that suit are considered. It tells whether all the room was found and kept.
func (w *World) preempt(j *model.JobState, suits func(*model.Machine) bool) (kept bool) {
	n := w.teamRoom(j, len(j.Waiting))
	if j.Kind == model.Gang && (len(j.Bindings) > 0 || n < j.Tasks) || n == 0 {
		return false
	}
	type option struct {
		r       *room
		victims []*model.Binding
		cost    model.Micros
		now     bool // the room is free already, but was kept for GPU tasks
		nth     int  // the machine's first, second ... room
		paid    bool
	}
	var options []option
	a := w.constraintsOf(j)
	for i := range w.rooms {
		r := &w.rooms[i]
		h := r.machine
		if !j.Request.Fits(h.Size) || !w.mayUse(j, h) || w.strandsGPUs(j, h) || !suits(h) {
			continue
		}
		w.findVictims(r)
		// Room for one task after another, as long as there are victims.
		free := r.free()
		if j.Priority < model.HighPriority {
			free = r.usable(a)
		}
		free = free.Plus(r.freedByStops)
		victims := r.victims
		really := r.free()
		fetch, paid := model.Micros(-1), w.preemptedFor[j][h]
		var cores, stranded model.Milli // what this job would take, and the GPUs idle beside it
		for nth := range min(n, w.taskSlots(j, h)) {
			o := option{r: r, nth: nth, now: j.Request.Fits(really)}
			really = really.Minus(j.Request)
			for len(victims) > 0 && !j.Request.Fits(free) {
				v := victims[0]
				victims = victims[1:]
				if v.Job.Priority >= j.Priority || v.Stopping || j.Request.GPUs == 0 && v.Job.Request.GPUs > 0 && j.Priority < model.HighPriority {
					// A task's GPUs are worth more than what one without any would do in
					// its place; only what is urgent is worth that.
					continue
				}
				free = free.Plus(v.Job.Request)
				o.cost += w.PreemptionLoss(v)
				o.victims = append(o.victims, v)
			}
			if !j.Request.Fits(free) {
				break
			}
			if fetch < 0 {
				fetch = w.cost(j, r, n) * coreEquivalents(j.Request) / 4
			}
			o.cost += fetch
			free = free.Minus(j.Request)
			if j.Request.GPUs == 0 && w.WantedGPUs > 0 && w.RequestPerGPU.Cores > 0 {
				// GPUs that are wanted would stand idle beside it, for all its time.
				cores += j.Request.Cores
				gpus := min(w.WantedGPUs, h.Size.GPUs-(h.Size.Cores-cores)*1000/w.RequestPerGPU.Cores)
				if more := gpus - stranded; more > 0 {
					o.cost += coreEquivalents(model.Resources{GPUs: more}) * max(j.EstimatedRun, 10*model.Second)
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
		return cmp.Or(cmp.Compare(a.r.machine.ID, b.r.machine.ID), a.nth-b.nth)
	})
	choose := func(zone string) (chosen []option, cost model.Micros) {
		inZone := map[string]int{}
		for _, o := range options {
			y := o.r.machine.Zone
			if len(chosen) == n {
				break
			}
			if zone != "" && zone != y || inZone[y] >= ZoneRoom(j, y) {
				continue
			}
			inZone[y]++
			chosen = append(chosen, o)
			cost += o.cost
		}
		return chosen, cost
	}
	var chosen []option
	if !j.SameZone {
		chosen, _ = choose("")
	} else {
		// The zone with room for most, and of those where all of it costs least: what
		// has been stopped there already costs nothing any more, while hopping from
		// zone to zone would stop others in each.
		best := model.Micros(0)
		tried := map[string]bool{}
		for _, o := range options {
			y := o.r.machine.Zone
			if tried[y] {
				continue
			}
			tried[y] = true
			if c, cost := choose(y); len(c) > len(chosen) || len(c) == len(chosen) && cost < best {
				chosen, best = c, cost
			}
		}
	}
	if len(chosen) == 0 || j.Kind == model.Gang && len(chosen) < j.Tasks {
		return false
	}
	late := w.waitedLongEnough(j)
	if late && !slices.ContainsFunc(chosen, func(o option) bool { return !o.now }) {
		// Nobody has to be stopped: it is only that GPU tasks were to have the room.
		attempt := w.NextAttempt()
		for _, o := range chosen {
			w.Bind(j, j.Waiting[0], o.r.machine, attempt)
			if j.Kind != model.Gang {
				attempt = w.NextAttempt()
			}
		}
		return true
	}
	for _, o := range chosen {
		// Until the job is late, the room only comes free by itself, as nothing
		// that is served later gets it.
		if late {
			for _, b := range o.victims {
				w.Stop(b, "room for "+j.ID)
			}
		}
		w.reserve(j, o.r, o.paid || late && len(o.victims) > 0)
	}
	return len(chosen) == n
}

// findVictims finds out what could be stopped on a machine.
func (w *World) findVictims(r *room) {
	if r.victimsKnown {
		return
	}
	r.victimsKnown = true
	for _, b := range r.machine.Bindings {
		if b.Stopping {
			r.freedByStops = r.freedByStops.Plus(b.Job.Request)
		} else if b.Job.Kind != model.Gang && b.Job.Priority < model.ProductionPriority && !w.protectedJobs[b.Job.ID] {
			r.victims = append(r.victims, b)
		}
	}
	w.sortByLoss(r.victims)
}

// preemptWithinTeam is for a gang that its team's limit keeps waiting. When it is late, tasks
// of its own team and of lower rank are stopped for it.
func (w *World) preemptWithinTeam(j *model.JobState) {
	t := w.Teams[j.Team]
	if t == nil || len(j.Bindings) > 0 || len(j.Waiting) != j.Tasks {
		return
	}
	// Only for the first gang: the next may not find machines for a long time, and
	// the team's other work would take the limit again meanwhile.
	if !w.reserveLimit(j) || w.Stop == nil || !w.Preempting || !w.waitedLongEnough(j) {
		return
	}
	room := t.Limit.Minus(w.Used[j.Team]).Minus(w.reservedLimit[j.Team])
	var victims []*model.Binding
	for _, h := range w.Machines {
		for _, b := range h.Bindings {
			switch {
			case b.Job.Team != j.Team:
			case b.Stopping:
				room = room.Plus(b.Job.Request)
			case b.Job.Priority < j.Priority && b.Job.Kind != model.Gang:
				victims = append(victims, b)
			}
		}
	}
	w.sortByLoss(victims)
	var stop []*model.Binding
	for _, b := range victims {
		if room.Cores >= 0 && room.GPUs >= 0 {
			break
		}
		if room.Cores >= 0 && b.Job.Request.GPUs == 0 {
			continue // it is GPUs that are missing
		}
		room = room.Plus(b.Job.Request)
		stop = append(stop, b)
	}
	if room.Cores < 0 || room.GPUs < 0 {
		return // not even that would do
	}
	for _, b := range stop {
		w.Stop(b, "limit of "+j.Team+" for "+j.ID)
	}
}
