package placement

import "woadweir/internal/core/model"

// startObjectiveWaits is the start objective of a job that must start now, in multiples of
// its maximum wait before preemption.
const startObjectiveWaits = 4

// assignment is a choice of one machine for each task of a gang.
type assignment struct {
	machines []*model.Machine // empty if there is no complete choice
	cost     model.Micros     // cost of the most expensive machine
}

// placeGang binds all tasks of a gang or none. As long as tasks of an earlier attempt may
// still be on a machine, the next attempt has to wait. It reports whether the gang waits
// for resources that were reserved for it.
func (r *Round) placeGang(job *model.JobState) (reserved bool) {
	if len(job.Bindings) > 0 || len(job.Waiting) != job.Tasks || r.tasksWithinLimit(job, job.Tasks) < job.Tasks {
		return false
	}
	best := r.assign(job, r.candidates(job, job.Tasks, false))
	if len(best.machines) == 0 {
		return false
	}
	if r.Preempting && r.fetchMissesStartObjective(job, best.machines) && r.preempt(job, r.hasImageOf(job)) {
		return true
	}
	attempt := r.Executor.NextAttempt()
	for _, machine := range best.machines {
		r.Executor.Bind(job, job.Waiting[0], machine, attempt)
	}
	return false
}

// assign chooses a machine for each task of a gang.
func (r *Round) assign(job *model.JobState, candidates []candidate) assignment {
	if !job.SameZone {
		return r.chooseMachines(job, candidates)
	}
	var best assignment
	for _, zone := range groupByZone(candidates) {
		chosen := r.chooseMachines(job, zone)
		if len(chosen.machines) == 0 {
			continue
		}
		if len(best.machines) == 0 || chosen.cost < best.cost {
			best = chosen
		}
	}
	return best
}

// groupByZone groups candidates by zone. Zones and candidates keep their order: the zone of
// the best candidate comes first.
func groupByZone(candidates []candidate) (zones [][]candidate) {
	indexes := map[string]int{}
	for _, candidate := range candidates {
		zone := candidate.target.machine.Zone
		index, known := indexes[zone]
		if !known {
			index = len(zones)
			indexes[zone] = index
			zones = append(zones, nil)
		}
		zones[index] = append(zones[index], candidate)
	}
	return zones
}

// chooseMachines assigns the tasks of a gang to the first candidates on which they fit.
func (r *Round) chooseMachines(job *model.JobState, candidates []candidate) assignment {
	constraints := r.constraintsOf(job)
	var chosen assignment
	inZone := map[string]int{}
	for _, candidate := range candidates {
		machine := candidate.target.machine
		tasks := min(
			job.Request.FitCount(candidate.target.usable(constraints), job.Tasks-len(chosen.machines)),
			r.Executor.TaskSlots(job.Job, machine),
			job.MaxPerZone()-inZone[machine.Zone])
		for range tasks {
			chosen.machines = append(chosen.machines, machine)
			inZone[machine.Zone]++
			chosen.cost = max(chosen.cost, candidate.cost)
		}
		if len(chosen.machines) == job.Tasks {
			return chosen
		}
	}
	return assignment{}
}

// fetchMissesStartObjective reports whether fetching the image would make a late job of
// high priority miss the start objective of its class, so that preempting other jobs on
// machines that have the image is faster.
func (r *Round) fetchMissesStartObjective(job *model.JobState, machines []*model.Machine) bool {
	if !r.mustStartNow(job) {
		return false
	}
	objective := r.Estimates.MaxWait(job) * startObjectiveWaits
	age := r.Now - job.ReadySince
	if age > 2*objective {
		return false // too late for it to matter
	}
	maxFetch := max(objective-age, r.StopTime)
	for _, machine := range machines {
		if r.fetchTime(job, machine) > maxFetch {
			return true
		}
	}
	return false
}
