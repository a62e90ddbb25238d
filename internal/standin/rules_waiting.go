package standin

import "woadweir/internal/core/model"

// maxWait is how long a job may wait, once all failures are over, while suitable machines
// have room and its team is below its limit.
const maxWait = 90 * model.Second

// CheckWaiting checks that no job waits longer than maxWait. It is meant to be called about
// every second, with the workers that are up and reachable.
func (c *InvariantChecker) CheckWaiting(workers []*Worker) {
	for jobID := range c.Accepted {
		if !c.isWaiting(jobID) || !c.canStart(c.Submitted[jobID], workers) {
			delete(c.waitingSince, jobID)
			continue
		}
		since, ok := c.waitingSince[jobID]
		if !ok {
			c.waitingSince[jobID] = c.sim.Now
		} else if c.sim.Now-since > maxWait {
			c.addViolation("left waiting: %s waits for %.0f s although machines have room", jobID, (c.sim.Now - since).Seconds())
			c.waitingSince[jobID] = c.sim.Now
		}
	}
}

// isWaiting reports whether a job may run but none of its tasks is on a machine.
func (c *InvariantChecker) isWaiting(jobID string) bool {
	if _, cancelled := c.cancelRequestedAt[jobID]; cancelled || c.reportedEnd[jobID] != "" || c.JobTasksOnMachines(jobID) > 0 || c.isComplete(jobID) {
		return false
	}
	for _, dependency := range c.Awaits[jobID] {
		if !c.isComplete(dependency) {
			return false
		}
	}
	return true
}

// canStart reports whether the machines and the team's limit have room for one task of a
// job, or for all tasks of a gang.
func (c *InvariantChecker) canStart(job *model.Job, workers []*Worker) bool {
	count := 1
	if job.Kind == model.Gang {
		count = job.Tasks
	}
	remaining := c.Teams[job.Team].Limit.Minus(c.Used(job.Team))
	request := job.Request
	request.Mem = 0
	if request.FitCount(remaining, count) < count {
		return false
	}
	inZone := map[string]int{}
	for _, worker := range workers {
		if !worker.hung && !worker.FailsTasks && worker.reclaimedAt == 0 && job.Allows(worker.MachineType, worker.Zone, worker.Spot) {
			inZone[worker.Zone] += job.Request.FitCount(worker.Size.Minus(worker.used()), count)
		}
	}
	sum := 0
	for _, n := range inZone {
		n = min(n, job.MaxPerZone())
		if job.SameZone && n >= count {
			return true
		}
		sum += n
	}
	return !job.SameZone && sum >= count
}
