package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// machineFilter tells which machines are considered.
type machineFilter func(*model.Machine) bool

// anyMachine lets every machine be considered.
func anyMachine(*model.Machine) bool { return true }

// hasImageOf lets machines be considered that have a job's image, or will have it at once.
func (r *Round) hasImageOf(job *model.JobState) machineFilter {
	return func(machine *model.Machine) bool { return r.fetchTime(job, machine) < model.Second }
}

// preempt finds machines for a job that found none: it stops tasks of lower priority
// where that loses least, and reserves what they free for this job. What earlier stops
// are about to free counts first. It tells whether all that the job needs was found and
// reserved.
func (r *Round) preempt(job *model.JobState, suits machineFilter) (reserved bool) {
	wanted := r.tasksWithinLimit(job, len(job.Waiting))
	if wanted == 0 || job.Kind == model.Gang && (len(job.Bindings) > 0 || wanted < job.Tasks) {
		return false
	}
	chosen := chooseSlots(job, r.preemptionSlots(job, wanted, suits), wanted)
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

// allFree tells that no slot needs a task to be stopped: they are free, but reserved for
// GPU tasks.
func allFree(slots []preemptionSlot) bool {
	return !slices.ContainsFunc(slots, func(slot preemptionSlot) bool { return !slot.free })
}

// bindToSlots binds tasks of a job to slots that are free.
func (r *Round) bindToSlots(job *model.JobState, slots []preemptionSlot) {
	attempt := r.Executor.NextAttempt()
	for _, slot := range slots {
		r.Executor.Bind(job, job.Waiting[0], slot.target.machine, attempt)
		if job.Kind != model.Gang {
			attempt = r.Executor.NextAttempt()
		}
	}
}

// reserveSlot reserves a slot for a job. Its victims are stopped only when the job is
// late: until then the resources become free by themselves, as no job that is served
// later gets them.
func (r *Round) reserveSlot(job *model.JobState, slot preemptionSlot, late bool) {
	if late {
		for _, victim := range slot.victims {
			r.Executor.Stop(victim, "room for "+job.ID)
		}
	}
	r.reserve(job, slot.target, slot.preempted || late && len(slot.victims) > 0)
}

// selection is a choice of slots, at most one for each task of a job.
type selection struct {
	slots []preemptionSlot
	cost  model.Micros // of all slots
}

// chooseSlots chooses the cheapest slots, at most as many as wanted, as the job's rules on
// zones allow.
func chooseSlots(job *model.JobState, slots []preemptionSlot, wanted int) []preemptionSlot {
	sortByCost(slots)
	if job.SameZone {
		return chooseZone(job, slots, wanted).slots
	}
	return choosePerZone(job, slots, wanted).slots
}

// sortByCost sorts slots, the cheapest first. Slots of a machine stay in order where the
// cost is the same.
func sortByCost(slots []preemptionSlot) {
	slices.SortFunc(slots, func(a, b preemptionSlot) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.target.machine.ID, b.target.machine.ID),
			cmp.Compare(a.index, b.index))
	})
}

// chooseZone chooses the zone that has slots for most tasks, and of these the one where
// all of them cost least. What has been stopped there already costs nothing any more,
// while changing zones from round to round would stop tasks in each.
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

// betterThan tells that a selection has more slots than another, or as many for less.
func (s selection) betterThan(other selection) bool {
	if len(s.slots) != len(other.slots) {
		return len(s.slots) > len(other.slots)
	}
	return s.cost < other.cost
}

// slotsInZone are the slots in one zone, in the same order.
func slotsInZone(slots []preemptionSlot, zone string) (inZone []preemptionSlot) {
	for _, slot := range slots {
		if slot.target.machine.Zone == zone {
			inZone = append(inZone, slot)
		}
	}
	return inZone
}

// choosePerZone chooses the first slots, in each zone at most as many as the job's tasks
// may use there.
func choosePerZone(job *model.JobState, slots []preemptionSlot, wanted int) (chosen selection) {
	inZone := map[string]int{}
	for _, slot := range slots {
		if len(chosen.slots) == wanted {
			break
		}
		zone := slot.target.machine.Zone
		if inZone[zone] >= ZoneRoom(job, zone) {
			continue
		}
		inZone[zone]++
		chosen.slots = append(chosen.slots, slot)
		chosen.cost += slot.cost
	}
	return chosen
}
