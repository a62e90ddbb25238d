package placement

import (
	"cmp"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// room is what a round knows of an open machine.
type room struct {
	machine  *model.Machine
	reserved model.Resources // for jobs served earlier
	reserve  model.Resources // beside free GPUs, kept for GPU tasks

	victimsKnown bool             // the rest is known
	victims      []*model.Binding // tasks that could be stopped, least loss first
	freedByStops model.Resources  // what earlier stops are about to free
}

// free is the room that is not kept for a job served earlier.
func (r *room) free() model.Resources { return r.machine.Free().Minus(r.reserved) }

// constraints is what decides, beside its need, which machines a job may use.
type constraints struct {
	machineTypes, zone       string
	allowsSpot, mustStartNow bool
	needsGPUs, canWait       bool
	lossMakesLate            bool
	surplusOpen              bool
	image                    string // if only machines that have it will do
}

// imageReadyWithin is in how short a time an image counts as being there.
const imageReadyWithin = 2 * model.Second

// Open tells whether the machine takes new work now. A machine that does not hear
// gets none: it would wait there for ever, and a report that may be an old copy
// says nothing of what it could do now.
func (w *World) Open(h *model.Machine) bool {
	return h.Up && h.ReceivesAnswers && !h.Lost && !h.Draining && !h.Deleting && !h.SpotNotice && !h.Quarantined && !h.Failed && w.Now-h.LastHeartbeat < w.HeartbeatTimeout
}

// ZoneRoom tells how many more tasks of the job the rules on zones let into the
// zone, given every task of it that is still bound anywhere.
func ZoneRoom(j *model.JobState, zone string) int {
	if !j.SameZone && !j.Spread {
		return j.Tasks
	}
	in := 0
	for _, bs := range j.Bindings {
		for _, b := range bs {
			if b.Machine.Zone == zone {
				in++
			} else if j.SameZone {
				return 0
			}
		}
	}
	return max(0, j.MaxPerZone()-in)
}

// taskSlots is how many more tasks of a job may be bound to a machine.
func (w *World) taskSlots(j *model.JobState, h *model.Machine) int {
	if w.TaskSlots == nil {
		return model.MaxTasks
	}
	return w.TaskSlots(j.Job, h)
}

// usable is what a job may use of a machine: a task without GPUs leaves what GPU
// tasks need beside the GPUs that are wanted, unless it can't wait for others to
// be stopped.
func (r *room) usable(a constraints) model.Resources {
	free := r.free()
	if a.needsGPUs || a.mustStartNow {
		return free
	}
	return free.Minus(r.reserve)
}

func (w *World) constraintsOf(j *model.JobState) constraints {
	return constraints{machineTypes: strings.Join(j.MachineTypes, " "), zone: j.Zone, allowsSpot: j.AllowsSpot, mustStartNow: w.mustStartNow(j),
		needsGPUs: j.Request.GPUs > 0, canWait: w.gangCanWait(j), lossMakesLate: j.LossMakesLate, surplusOpen: j.AllowsSpot && w.surplusOpen(j)}
}

// reserveBesideGPUs sets the reserve: free GPUs that are wanted, on the machines that suit
// GPU tasks best, with what such a task takes beside each.
func (w *World) reserveBesideGPUs() {
	var rs []*room
	for i := range w.rooms {
		if r := &w.rooms[i]; r.machine.Size.GPUs > 0 && r.machine.Free().GPUs > 0 {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *room) int {
		if a.machine.Spot != b.machine.Spot {
			if a.machine.Spot {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.machine.Free().GPUs, b.machine.Free().GPUs), cmp.Compare(a.machine.ID, b.machine.ID))
	})
	left := w.WantedGPUs
	for _, r := range rs {
		if left <= 0 {
			return
		}
		h := r.machine
		g := min(left, h.Free().GPUs)
		left -= g
		per := model.Resources{Cores: min(w.RequestPerGPU.Cores, h.Size.Cores*1000/h.Size.GPUs), Mem: min(w.RequestPerGPU.Mem, h.Size.Mem*1000/h.Size.GPUs)}
		r.reserve = model.Resources{Cores: per.Cores * g / 1000, GPUs: g, Mem: per.Mem * g / 1000}
	}
}

// teamRoom is how many more tasks of the job its team's limit allows.
func (w *World) teamRoom(j *model.JobState, limit int) int {
	t := w.Teams[j.Team]
	if t == nil {
		return 0
	}
	room := t.Limit.Minus(w.Used[j.Team]).Minus(w.reservedLimit[j.Team])
	n := j.Request
	n.Mem = 0
	return n.Count(room, limit)
}

// surplusOpensAfter is how long a job waits until machines that are to come empty take it
// all the same: machines that were rented for it may be slow to boot, and no job may wait
// for 90 s beside a machine that has room.
const surplusOpensAfter = 45 * model.Second

// mayUse tells whether a job's tasks may go to a machine. One that is to come empty
// takes no work that may use spot machines, unless that has waited for long.
func (w *World) mayUse(j *model.JobState, h *model.Machine) bool {
	return j.Allows(h.MachineType, h.Zone, h.Spot) && (!h.Surplus || !j.AllowsSpot || w.surplusOpen(j))
}

func (w *World) surplusOpen(j *model.JobState) bool { return w.Now-idleSince(j) >= surplusOpensAfter }
