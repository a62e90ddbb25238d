package placement

import "woadweir/internal/core/model"

// placeGang binds all tasks or none. While anything of an earlier attempt may still
// be on a machine, the next attempt has to wait. It tells whether it waits for
// room that has been kept for it.
func (w *World) placeGang(j *model.JobState) (kept bool) {
	if len(j.Bindings) > 0 || len(j.Waiting) != j.Tasks || w.teamRoom(j, j.Tasks) < j.Tasks {
		return false
	}
	cs := w.candidates(j, j.Tasks, false)
	var best []*model.Machine
	if j.SameZone {
		byZone := map[string][]candidate{}
		var zones []string
		for _, c := range cs {
			y := c.room.machine.Zone
			if byZone[y] == nil {
				zones = append(zones, y)
			}
			byZone[y] = append(byZone[y], c)
		}
		bestCost := model.Micros(0)
		for _, y := range zones {
			if hs, cost := w.chooseMachines(j, byZone[y]); hs != nil && (best == nil || cost < bestCost) {
				best, bestCost = hs, cost
			}
		}
	} else {
		best, _ = w.chooseMachines(j, cs)
	}
	if best == nil {
		return false
	}
	if w.Preempting && w.fetchMissesAim(j, best) && w.preempt(j, func(h *model.Machine) bool { return w.fetchTime(j, h) < model.Second }) {
		return true
	}
	attempt := w.NextAttempt()
	for _, h := range best {
		w.Bind(j, j.Waiting[0], h, attempt)
	}
	return false
}

// fetchMissesAim tells that fetching the image would make a pressed job miss its class's
// start aim, so that stopping others on machines that have the image is quicker.
func (w *World) fetchMissesAim(j *model.JobState, machines []*model.Machine) bool {
	if w.Stop == nil || !w.mustStartNow(j) {
		return false
	}
	aim := w.Patience(j) * 4
	age := w.Now - j.ReadySince
	if age > 2*aim {
		return false
	}
	for _, h := range machines {
		if w.fetchTime(j, h) > max(aim-age, w.StopTime) {
			return true
		}
	}
	return false
}

// chooseMachines chooses a machine for every task of the gang, or none.
func (w *World) chooseMachines(j *model.JobState, cs []candidate) (machines []*model.Machine, cost model.Micros) {
	a := w.constraintsOf(j)
	inZone := map[string]int{}
	for _, c := range cs {
		h := c.room.machine
		for k := min(j.Request.Count(c.room.usable(a), j.Tasks-len(machines)), w.taskSlots(j, h)); k > 0 && inZone[h.Zone] < j.MaxPerZone(); k-- {
			machines = append(machines, h)
			inZone[h.Zone]++
			cost = max(cost, c.cost)
		}
		if len(machines) == j.Tasks {
			return machines, cost
		}
	}
	return nil, 0
}
