package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// machineFilter reports whether a machine is considered.
type machineFilter func(*model.Machine) bool

// anyMachine accepts every machine.
func anyMachine(*model.Machine) bool { return true }

// hasImageOf returns a filter that accepts machines that have a job's image, or will have it
// in less than a second.
func (r *Round) hasImageOf(job *model.JobState) machineFilter {
	return func(machine *model.Machine) bool { return r.fetchTime(job, machine) < model.Second }
}

// preempt frees resources for a job that found no machines. It stops tasks of lower
// priority where the loss is least, and reserves the resources that they free for the job.
// Resources of tasks that are already being stopped are used first. It reports whether all
// that the job needs was found, and bound or reserved.
func (r *Round) preempt(job *model.JobState, accepts machineFilter) (reserved bool) {
	wanted := r.tasksWithinLimit(job, len(job.Waiting))
	if wanted == 0 || job.Kind == model.Gang && (len(job.Bindings) > 0 || wanted < job.Tasks) {
		return false
	}
	chosen := chooseSlots(job, r.preemptionSlots(job, wanted, accepts), wanted)
	if len(chosen) == 0 || job.Kind == model.Gang && len(chosen) < job.Tasks {
		return false
	}
	late := r.waitedLongEnough(job)
	if late && allFree(chosen) {
		r.bindToSlots(job, chosen)
		return true
	}
	for _, slot := range chosen {
		r.reserveSlot(job, slot, late)
	}
	return len(chosen) == wanted
}

// allFree reports whether no slot requires a task to be stopped: the slots are free, but
// reserved for GPU tasks.
func allFree(slots []preemptionSlot) bool {
	return !slices.ContainsFunc(slots, func(slot preemptionSlot) bool { return !slot.free })
}

// bindToSlots binds tasks of a job to free slots.
func (r *Round) bindToSlots(job *model.JobState, slots []preemptionSlot) {
	attempt := r.Executor.NextAttempt()
	for _, slot := range slots {
		r.Executor.Bind(job, job.Waiting[0], slot.target.machine, attempt)
		if job.Kind != model.Gang {
			attempt = r.Executor.NextAttempt()
		}
	}
}

// reserveSlot reserves a slot for a job. The victims are stopped only if the job is late:
// until then, the resources become free by themselves, as no job that is served later gets
// them.
func (r *Round) reserveSlot(job *model.JobState, slot preemptionSlot, late bool) {
	if late {
		for _, victim := range slot.victims {
			r.Executor.Stop(victim, "preempted for job "+job.ID)
		}
	}
	r.reserve(job, slot.target, slot.preempted || late && len(slot.victims) > 0)
}

// selection is a choice of slots, at most one for each task of a job.
type selection struct {
	slots []preemptionSlot
	cost  model.Micros // total cost of the slots
}

// chooseSlots chooses the cheapest slots that the job's SameZone and Spread rules allow, at
// most as many as wanted.
func chooseSlots(job *model.JobState, slots []preemptionSlot, wanted int) []preemptionSlot {
	sortByCost(slots)
	if job.SameZone {
		return chooseZone(job, slots, wanted).slots
	}
	return choosePerZone(job, slots, wanted).slots
}

// sortByCost sorts slots, the cheapest first. Slots of a machine with the same cost stay in
// order.
func sortByCost(slots []preemptionSlot) {
	slices.SortFunc(slots, func(a, b preemptionSlot) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.target.machine.ID, b.target.machine.ID),
			cmp.Compare(a.index, b.index))
	})
}

// chooseZone chooses the zone with slots for the most tasks, and among equal ones the zone
// with the lowest total cost. Slots for which tasks have already been stopped cost nothing.
// So the choice does not change zones from round to round, which would stop tasks in each.
func chooseZone(job *model.JobState, slots []preemptionSlot, wanted int) (best selection) {
	tried := map[string]bool{}
	for _, slot := range slots {
		zone := slot.target.machine.Zone
		if tried[zone] {
			continue
		}
		tried[zone] = true
		chosen := choosePerZone(job, slotsInZone(slots, zone), wanted)
		if chosen.betterThan(best) {
			best = chosen
		}
	}
	return best
}

// betterThan reports whether a selection has more slots than another, or as many at a lower
// cost.
func (s selection) betterThan(other selection) bool {
	if len(s.slots) != len(other.slots) {
		return len(s.slots) > len(other.slots)
	}
	return s.cost < other.cost
}

// slotsInZone returns the slots in one zone, in the same order.
func slotsInZone(slots []preemptionSlot, zone string) (inZone []preemptionSlot) {
	for _, slot := range slots {
		if slot.target.machine.Zone == zone {
			inZone = append(inZone, slot)
		}
	}
	return inZone
}

// choosePerZone chooses the first slots, in each zone at most as many as
// AllowedInZone returns.
func choosePerZone(job *model.JobState, slots []preemptionSlot, wanted int) (chosen selection) {
	inZone := map[string]int{}
	for _, slot := range slots {
		if len(chosen.slots) == wanted {
			break
		}
		zone := slot.target.machine.Zone
		if inZone[zone] >= AllowedInZone(job, zone) {
			continue
		}
		inZone[zone]++
		chosen.slots = append(chosen.slots, slot)
		chosen.cost += slot.cost
	}
	return chosen
}
