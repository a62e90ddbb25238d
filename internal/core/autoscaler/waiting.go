package autoscaler

import (
	"slices"

	"woadweir/internal/core/model"
)

// unplacedTasks is a number of a job's tasks that fit nowhere.
type unplacedTasks struct {
	demand Demand
	count  int
	zones  *zoneLimits
}

// countTasks returns the total number of unplaced tasks.
func countTasks(unplaced []unplacedTasks) (count int) {
	for _, tasks := range unplaced {
		count += tasks.count
	}
	return count
}

// unplaceable records tasks that fit nowhere. Free resources only shrink within a round, so
// tasks that may use the same machines and need at least as much each are not tried, unless
// there are more of them.
type unplaceable []unplacedTasks

// covers reports whether this number of a job's tasks is known not to fit, because at least
// as many tasks that need no more each and may use the same machines did not fit.
func (u unplaceable) covers(job *model.JobState, count int) bool {
	for i := range u {
		failed := u[i].demand.Job
		if u[i].count >= count && failed.Request.Fits(job.Request) && sameMachines(failed, job) {
			return true
		}
	}
	return false
}

// sameMachines reports whether two jobs may use the same machines.
func sameMachines(a, b *model.JobState) bool {
	return a.AllowsSpot == b.AllowsSpot && a.Zone == b.Zone && a.Priority == b.Priority &&
		(a.Request.GPUs > 0) == (b.Request.GPUs > 0) && slices.Equal(a.MachineTypes, b.MachineTypes)
}

// splitWaiting splits the waiting tasks into those that need on-demand machines, which are
// placed first, and spot-tolerant ones, which use what the former and the placeholders
// leave of the on-demand machines. If no work needs on-demand machines, all tasks are
// returned as the first group.
func (in *Input) splitWaiting() (first, spotTolerant []Demand) {
	if len(in.OnDemandSizes) == 0 {
		return in.Waiting, nil
	}
	for _, demand := range in.Waiting {
		if demand.Job.AllowsSpot {
			spotTolerant = append(spotTolerant, demand)
		} else {
			first = append(first, demand)
		}
	}
	return first, spotTolerant
}

// placeWaiting assigns waiting tasks to machines and returns those that fit nowhere.
func placeWaiting(candidates []*candidateMachine, waiting []Demand, spotTolerant bool) (unplaced []unplacedTasks) {
	var failed unplaceable
	for _, demand := range waiting {
		zones := newZoneLimits(demand.Job, spotTolerant)
		if failed.covers(demand.Job, 1) {
			if demand.Count > 0 {
				unplaced = append(unplaced, unplacedTasks{demand, demand.Count, zones})
			}
			continue
		}
		if demand.Job.SameZone {
			zones.chooseZone(candidates, demand)
		}
		left := placeTasks(candidates, zones, demand.Count)
		if left == 0 {
			continue
		}
		tasks := unplacedTasks{demand, left, zones}
		if !zones.applies() {
			failed = append(failed, tasks)
		}
		unplaced = append(unplaced, tasks)
	}
	return unplaced
}

// placeTasks assigns up to count tasks to machines and returns how many did not fit.
func placeTasks(candidates []*candidateMachine, zones *zoneLimits, count int) (left int) {
	left = count
	for _, candidate := range candidates {
		if left == 0 {
			break
		}
		if fits := zones.fittingTasks(candidate, left); fits > 0 {
			zones.assign(candidate, fits)
			candidate.assigned = true
			candidate.runsOnDemandTask = candidate.runsOnDemandTask || !zones.spotTolerant
			left -= fits
		}
	}
	return left
}

// rentForTasks adds the machines that unplaced tasks need to the machines to be rented.
func (p *Provisioner) rentForTasks(in *Input, toRent []*candidateMachine, unplaced []unplacedTasks) []*candidateMachine {
	var failed unplaceable
	for _, tasks := range unplaced {
		if failed.covers(tasks.demand.Job, tasks.count) {
			continue
		}
		var complete bool
		toRent, complete = p.rentForJob(in, toRent, tasks)
		if !complete && !tasks.zones.applies() {
			failed = append(failed, tasks)
		}
	}
	return toRent
}

// rentForJob adds the machines that one job's unplaced tasks need. complete reports
// whether all of the tasks fit on the machines to be rented.
func (p *Provisioner) rentForJob(in *Input, toRent []*candidateMachine, tasks unplacedTasks) (_ []*candidateMachine, complete bool) {
	job, zones := tasks.demand.Job, tasks.zones
	left := tasks.count
	for left > 0 {
		for _, candidate := range toRent {
			if left == 0 {
				break
			}
			if fits := zones.fittingTasks(candidate, left); fits > 0 {
				zones.assign(candidate, fits)
				left -= fits
			}
		}
		if left == 0 {
			break
		}
		need := rentalNeed{request: job.Request, count: left, anyPrice: job.Priority >= model.HighPriority, allows: zones.allows}
		candidate := p.cheapest(in, toRent, need)
		if candidate == nil && p.isZoneExhausted(in, zones) {
			zones.excludeChosenZone()
			left = tasks.demand.Count
			continue
		}
		if candidate == nil {
			return toRent, false
		}
		if job.SameZone && len(job.Bindings) == 0 {
			zones.chosenZone = candidate.offer.Zone
		}
		toRent = append(toRent, candidate)
	}
	return toRent, true
}
