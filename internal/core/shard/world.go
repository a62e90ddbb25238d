package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// World is what a placement round looks at.
func (h *State) World(now model.Micros) *placement.World {
	w := &placement.World{Now: now, Guarantee: h.Params.Guarantee, HeartbeatTimeout: 3 * h.Params.Report, StopTime: h.Params.Report * 6 / 5, Teams: h.Params.Teams, Used: h.Used, NextAttempt: h.NextAttempt, MachineTypes: h.MachineTypes, TaskSlots: h.TaskSlots,
		Machines: make([]*model.Machine, 0, len(h.Machines)), Jobs: make([]*model.JobState, 0, len(h.Jobs))}
	for _, m := range h.Machines {
		w.Machines = append(w.Machines, m)
	}
	var gpus model.Milli
	var beside model.Resources
	wanted := map[string]model.Milli{}
	for _, j := range h.Jobs {
		if j.Ended != "" || j.Suspended {
			continue
		}
		w.Jobs = append(w.Jobs, j)
		j.LossMakesLate = j.AllowsSpot && h.lossMakesLate(j, now)
		if g := j.Request.GPUs; g > 0 {
			n := len(j.Waiting) + j.BindingCount()
			gpus += g * model.Milli(n)
			beside = beside.Plus(j.Request.Times(n))
			if t := h.Params.Teams[j.Team]; t != nil {
				room := t.Limit.Minus(h.Used[j.Team])
				need := j.Request
				need.Mem = 0
				wanted[j.Team] += g * model.Milli(need.Count(room, len(j.Waiting)))
			}
		}
	}
	if gpus > 0 {
		w.RequestPerGPU = model.Resources{Cores: beside.Cores * 1000 / gpus, Mem: beside.Mem * 1000 / gpus}
	}
	for team, g := range wanted {
		// Besides what waits, some more may come: half of what is in use.
		if t := h.Params.Teams[team]; t != nil {
			used := h.Used[team].GPUs
			w.WantedGPUs += max(0, min(t.Limit.GPUs-used, g+used/2))
		}
	}
	w.Stop = func(b *model.Binding, why string) {
		leeway := model.Micros(0)
		if b.Job.CheckpointInterval > 0 {
			leeway = b.Job.SaveTime + model.Second
		}
		h.stop(b, leeway, why, now)
	}
	w.Patience = h.patience
	h.updateClassLoads(w.Jobs, now)
	w.Rate = func(class string) float64 { return h.classLoads[class].rate }
	w.Remaining = func(b *model.Binding) model.Micros { return h.Remaining(b, now) }
	w.DueAt = func(j *model.JobState) model.Micros { return h.due(j, now) }
	w.Bind = func(j *model.JobState, n int, m *model.Machine, attempt uint64) { h.bind(j, n, m, attempt, now) }
	return w
}

// patience is how long a job waits until others are stopped for it.
func (h *State) patience(j *model.JobState) model.Micros {
	if waits := h.Params.Waits[j.Class]; len(waits) > 0 {
		first := waits[0]
		if first < 60*model.Second {
			return first / 4
		}
		return first * 2 / 5
	}
	if j.Deadline > 0 && j.Priority >= model.HighPriority {
		// What is urgent by its deadline alone has what is left of it after its run.
		return min(180*model.Second, max(0, j.Deadline-h.Expected(j.Job))/4)
	}
	return 180 * model.Second
}

// Place runs a placement round. One that preempts also looks for work to be
// stopped, which takes longer.
func (h *State) Place(now model.Micros, displace bool) {
	h.NeedsPlacement = false
	w := h.World(now)
	w.Reservations, w.Preempting = h.reservations, displace
	w.Round()
}
