package placement

import "woadweir/internal/core/model"

const (
	// placementCostDivisor scales the cost of a machine so that it can be compared with the
	// work that is lost by preemption.
	placementCostDivisor = 4
	// minIdleGPUTime is the minimum time for which a task counts as leaving GPUs idle.
	minIdleGPUTime = 10 * model.Second
	// costUnknown marks a cost that has not been computed yet.
	costUnknown = model.Micros(-1)
)

// preemptionSlot is room for a task on a machine, available once the victims have stopped.
type preemptionSlot struct {
	target  *target
	index   int // among the slots of the machine
	victims []*model.Binding
	cost    model.Micros
	// free is set if the task fits without stopping other tasks.
	free bool
	// preempted is set if other tasks have already been stopped for the slot.
	preempted bool
}

// preemptionSlots finds the slots that a job can get by preemption on the machines that
// pass a filter, at most as many as wanted on each.
func (r *Round) preemptionSlots(job *model.JobState, wanted int, accepts machineFilter) (slots []preemptionSlot) {
	constraints := r.constraintsOf(job)
	for i := range r.targets {
		target := &r.targets[i]
		machine := target.machine
		if !job.Request.Fits(machine.Size) || !r.mayUse(job, machine) || r.fragmentsGPUs(job, machine) || !accepts(machine) {
			continue
		}
		r.findVictims(target)
		search := r.newSlotSearch(job, target, constraints, wanted)
		for range min(wanted, r.Executor.TaskSlots(job.Job, machine)) {
			slot, found := search.next()
			if !found {
				break
			}
			slots = append(slots, slot)
		}
	}
	return slots
}

// findVictims finds the tasks of a machine that may be preempted.
func (r *Round) findVictims(target *target) {
	if target.victimsKnown {
		return
	}
	target.victimsKnown = true
	for _, binding := range target.machine.Bindings {
		if binding.Stopping {
			target.freedByStops = target.freedByStops.Plus(binding.Job.Request)
		} else if r.isPreemptible(binding.Job) {
			target.victims = append(target.victims, binding)
		}
	}
	r.sortByLoss(target.victims)
}

// isPreemptible reports whether tasks of a job may be preempted at all.
func (r *Round) isPreemptible(job *model.Job) bool {
	return job.Kind != model.Gang && job.Priority < model.ProductionPriority && !r.protectedJobs[job.ID]
}

// slotSearch finds the slots of one machine for a job, one after the other, until no victims
// are left to make room.
type slotSearch struct {
	round  *Round
	job    *model.JobState
	target *target
	wanted int
	// foundSlots is the number of slots found so far.
	foundSlots int
	// freeNow is what the found slots leave free without stopping tasks, negative if they
	// take more.
	freeNow model.Resources
	// freeAfterStops is what the found slots leave free once their victims are gone.
	freeAfterStops model.Resources
	// victims are the tasks not yet considered, least loss first.
	victims []*model.Binding
	// preemptedSlots is the number of slots for which tasks have already been stopped.
	preemptedSlots int
	// placementCost is the cost of the machine for a task, costUnknown until it is needed.
	placementCost model.Micros
	// coresTaken are the cores of the found slots, and gpusIdled the GPUs that they
	// would leave idle.
	coresTaken, gpusIdled model.Milli
}

// newSlotSearch starts a search on a machine whose victims are known.
func (r *Round) newSlotSearch(job *model.JobState, target *target, constraints machineConstraints, wanted int) *slotSearch {
	usable := target.free()
	if job.Priority < model.HighPriority {
		usable = target.usable(constraints)
	}
	return &slotSearch{
		round:          r,
		job:            job,
		target:         target,
		wanted:         wanted,
		freeNow:        target.free(),
		freeAfterStops: usable.Plus(target.freedByStops),
		victims:        target.victims,
		preemptedSlots: r.preemptedFor[job][target.machine],
		placementCost:  costUnknown,
	}
}

// next returns the next slot, and whether there is one.
func (s *slotSearch) next() (slot preemptionSlot, found bool) {
	request := s.job.Request
	slot = preemptionSlot{target: s.target, index: s.foundSlots, free: request.Fits(s.freeNow)}
	s.freeNow = s.freeNow.Minus(request)
	s.addVictims(&slot)
	if !request.Fits(s.freeAfterStops) {
		return slot, false
	}
	s.freeAfterStops = s.freeAfterStops.Minus(request)
	slot.cost += s.machineCost() + s.idleGPUCost()
	if slot.index < s.preemptedSlots && len(slot.victims) == 0 {
		// Tasks have already been stopped for this slot. Any other choice would stop more
		// tasks elsewhere, and leave this slot to whichever job comes next.
		slot.cost, slot.preempted = 0, true
	}
	s.foundSlots++
	return slot, true
}

// addVictims adds victims to a slot until the task fits, or none are left.
func (s *slotSearch) addVictims(slot *preemptionSlot) {
	for len(s.victims) > 0 && !s.job.Request.Fits(s.freeAfterStops) {
		victim := s.victims[0]
		s.victims = s.victims[1:]
		if !mayPreemptTask(s.job, victim) {
			continue
		}
		s.freeAfterStops = s.freeAfterStops.Plus(victim.Job.Request)
		slot.cost += s.round.PreemptionLoss(victim)
		slot.victims = append(slot.victims, victim)
	}
}

// mayPreemptTask reports whether a job may preempt a task. Tasks without GPUs preempt tasks
// with GPUs only for jobs of high priority, as the GPUs are worth more than what a task
// without GPUs does in their place.
func mayPreemptTask(job *model.JobState, victim *model.Binding) bool {
	if victim.Stopping || victim.Job.Priority >= job.Priority {
		return false
	}
	return job.Request.GPUs > 0 || victim.Job.Request.GPUs == 0 || job.Priority >= model.HighPriority
}

// machineCost returns the cost of the machine for a task, as core time.
func (s *slotSearch) machineCost() model.Micros {
	if s.placementCost == costUnknown {
		cost := s.round.cost(s.job, s.target, s.wanted)
		s.placementCost = cost * coreEquivalents(s.job.Request) / placementCostDivisor
	}
	return s.placementCost
}

// idleGPUCost returns the cost, as core time, of the wanted GPUs that one more slot would
// leave idle for its whole run because too few cores are left for them.
func (s *slotSearch) idleGPUCost() model.Micros {
	coresPerGPU := s.round.RequestPerGPU.Cores
	if s.job.Request.GPUs > 0 || s.round.WantedGPUs <= 0 || coresPerGPU <= 0 {
		return 0
	}
	s.coresTaken += s.job.Request.Cores
	size := s.target.machine.Size
	usableGPUs := (size.Cores - s.coresTaken) * milliPerUnit / coresPerGPU
	idle := min(s.round.WantedGPUs, size.GPUs-usableGPUs)
	more := idle - s.gpusIdled
	if more <= 0 {
		return 0
	}
	s.gpusIdled = idle
	return coreEquivalents(model.Resources{GPUs: more}) * max(s.job.EstimatedRun, minIdleGPUTime)
}
