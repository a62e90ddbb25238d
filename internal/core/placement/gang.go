package placement

import "woadweir/internal/core/model"

// startObjectiveWaits is the time in which a job that must start now is to start, in
// multiples of its longest wait.
const startObjectiveWaits = 4

// assignment is a choice of one machine for each task of a gang.
type assignment struct {
	machines []*model.Machine // empty: there is no choice
	cost     model.Micros     // of the worst machine
}

// placeGang binds all tasks or none. As long as tasks of an earlier attempt may still be
// on a machine, the next attempt has to wait. It tells whether the gang waits for
// resources that were reserved for it.
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

// assign chooses a machine for every task of the gang.
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

// groupByZone splits candidates by zone. Zones and candidates stay in order: the zone of
// the best candidate is first.
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

// chooseMachines assigns the tasks of a gang to the first of the candidates.
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

// fetchMissesStartObjective tells that fetching the image would make a late job of high priority
// miss its class's start aim, so that preempting others on machines that have the image
// is quicker.
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
