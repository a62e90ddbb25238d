package placement

import (
	"cmp"
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// futureSlot is room for a task on a machine, available once tasks that run there now have
// ended.
type futureSlot struct {
	target        *target
	timeUntilFree model.Micros // expected
}

// reserveNextFree reserves the machines that are expected to be free first, for a gang that
// can't preempt others. Otherwise, work of the same priority would take each machine as
// soon as it is free, and the gang might never start. It serves one gang per zone, so that
// other work can still start there.
func (r *Round) reserveNextFree(gang *model.JobState) {
	if len(gang.Bindings) > 0 || !gang.Starved && !r.waitedLongEnough(gang) {
		return
	}
	chosen := chooseFutureSlots(gang, r.futureSlotsByZone(gang))
	if len(chosen) < gang.Tasks {
		return
	}
	for _, slot := range chosen {
		r.reservedZones[slot.target.machine.Zone] = true
		r.reserve(gang, slot.target, false)
	}
}

// futureSlotsByZone finds out on which machines and when tasks of a gang will fit.
func (r *Round) futureSlotsByZone(gang *model.JobState) map[string][]futureSlot {
	byZone := map[string][]futureSlot{}
	for i := range r.targets {
		target := &r.targets[i]
		machine := target.machine
		if r.reservedZones[machine.Zone] || !gang.Request.Fits(machine.Size.Minus(target.reserved)) {
			continue
		}
		if !r.mayUse(gang, machine) || r.fragmentsGPUs(gang, machine) {
			continue
		}
		byZone[machine.Zone] = append(byZone[machine.Zone], r.futureSlots(gang, target)...)
	}
	return byZone
}

// futureSlots finds out when a first, second and further task of a gang will fit on a
// machine, as the tasks that run there now end.
func (r *Round) futureSlots(gang *model.JobState, target *target) (slots []futureSlot) {
	running := r.bindingsByEnd(target.machine)
	free := target.free()
	timeUntilFree := model.Micros(0)
	for range min(gang.Tasks, r.Executor.TaskSlots(gang.Job, target.machine)) {
		for len(running) > 0 && !gang.Request.Fits(free) {
			free = free.Plus(running[0].Job.Request)
			timeUntilFree = r.Estimates.Remaining(running[0])
			running = running[1:]
		}
		if !gang.Request.Fits(free) {
			break
		}
		free = free.Minus(gang.Request)
		slots = append(slots, futureSlot{target: target, timeUntilFree: timeUntilFree})
	}
	return slots
}

// bindingsByEnd returns the tasks bound to a machine, in the order in which they are
// expected to end.
func (r *Round) bindingsByEnd(machine *model.Machine) []*model.Binding {
	bindings := slices.Collect(maps.Values(machine.Bindings))
	slices.SortFunc(bindings, func(a, b *model.Binding) int {
		return cmp.Or(
			cmp.Compare(r.Estimates.Remaining(a), r.Estimates.Remaining(b)),
			cmp.Compare(a.Attempt, b.Attempt))
	})
	return bindings
}

// chooseFutureSlots chooses the slots that are free first, one for each task of a gang, as
// its SameZone and Spread rules allow. It returns fewer if there are not enough.
func chooseFutureSlots(gang *model.JobState, byZone map[string][]futureSlot) []futureSlot {
	switch {
	case gang.SameZone && gang.MaxPerZone() == gang.Tasks:
		return firstFreeZone(byZone, gang.Tasks)
	case gang.Spread:
		return firstFreeSpread(byZone, gang.Tasks, gang.MaxPerZone())
	}
	return firstFree(byZone, gang.Tasks)
}

// firstFreeZone chooses the slots of the zone that is the first to have enough of them.
func firstFreeZone(byZone map[string][]futureSlot, tasks int) (chosen []futureSlot) {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		slots := byZone[zone]
		if len(slots) < tasks {
			continue
		}
		sortByTimeUntilFree(slots)
		if chosen == nil || slots[tasks-1].timeUntilFree < chosen[tasks-1].timeUntilFree {
			chosen = slots[:tasks]
		}
	}
	return chosen
}

// firstFreeSpread chooses the first slots of each zone, at most maxPerZone per zone.
func firstFreeSpread(byZone map[string][]futureSlot, tasks, maxPerZone int) (chosen []futureSlot) {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		slots := byZone[zone]
		sortByTimeUntilFree(slots)
		count := min(len(slots), maxPerZone, tasks-len(chosen))
		chosen = append(chosen, slots[:count]...)
	}
	return chosen
}

// firstFree chooses the first slots of all zones.
func firstFree(byZone map[string][]futureSlot, tasks int) (chosen []futureSlot) {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		chosen = append(chosen, byZone[zone]...)
	}
	sortByTimeUntilFree(chosen)
	return chosen[:min(len(chosen), tasks)]
}

// sortByTimeUntilFree sorts slots by the time until they are free. Slots of a machine stay
// in order.
func sortByTimeUntilFree(slots []futureSlot) {
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return cmp.Compare(a.timeUntilFree, b.timeUntilFree) })
}
