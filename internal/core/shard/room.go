package shard

import (
	"woadweir/internal/core/model"
)

// bootBy is how long a machine that was rented is counted as coming, in boot times.
const bootBy = 2

// coming tells whether a machine was rented a moment ago and is thought to come up.
func (h *State) coming(m *model.Machine, now model.Micros) bool {
	f := h.MachineTypes[m.MachineType]
	return !m.Up && !m.Failed && f != nil && now-m.RentedAt < bootBy*model.Seconds(f.BootS)
}

// RoomFor tells whether so many more tasks of a job find room now on machines that are
// up, with that share of these machines' capacity left free.
func (h *State) RoomFor(j *model.Job, tasks int, headroom float64) bool {
	return h.roomOn(j, tasks, headroom, func(m *model.Machine) bool { return m.Up && m.ReceivesAnswers })
}

// RoomSoonFor is RoomFor without headroom, on machines that are up or coming.
func (h *State) RoomSoonFor(j *model.Job, tasks int, now model.Micros) bool {
	return h.roomOn(j, tasks, 0, func(m *model.Machine) bool { return m.Up && m.ReceivesAnswers || h.coming(m, now) })
}

func (h *State) roomOn(j *model.Job, tasks int, headroom float64, usable func(m *model.Machine) bool) bool {
	var total, free model.Resources
	byZone := map[string]int{}
	for _, m := range h.Machines {
		if !usable(m) || m.Lost || m.Deleting || m.Draining || m.Quarantined || m.SpotNotice {
			continue
		}
		total = total.Plus(m.Size)
		free = free.Plus(m.Free())
		if j.Allows(m.MachineType, m.Zone, m.Spot) {
			byZone[m.Zone] += j.Request.Count(m.Free(), tasks)
		}
	}
	left := free.Minus(j.Request.Times(tasks))
	if float64(left.Cores) < headroom*float64(total.Cores) {
		return false
	}
	sum := 0
	for _, n := range byZone {
		n = min(n, j.MaxPerZone())
		if j.SameZone && n >= tasks {
			return true
		}
		sum += n
	}
	return !j.SameZone && sum >= tasks
}

// WithinLimit tells whether so many more tasks of a job stay within its team's limit.
func (h *State) WithinLimit(j *model.Job, tasks int) bool {
	team := h.Params.Teams[j.Team]
	return team != nil && team.Within(h.Used[j.Team].Plus(j.Request.Times(tasks)))
}

// OwnWorkWaits tells whether a job of this cell has waited for so long and could start,
// were there machines.
func (h *State) OwnWorkWaits(patience, now model.Micros) bool {
	for _, js := range h.Jobs {
		if js.HomeCell != "" || js.Suspended || js.Ended != "" || len(js.Waiting) == 0 || now < js.NotBefore {
			continue
		}
		least := 1
		if js.Kind == model.Gang {
			least = len(js.Waiting)
		}
		if now-max(js.ReadySince, js.IdleSince) > patience && h.WithinLimit(js.Job, least) {
			return true
		}
	}
	return false
}
