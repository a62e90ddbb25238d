package placement

import "woadweir/internal/core/model"

// What a choice of machine costs, as the time that a task might wait to avoid it.
const (
	costGPUMachine   = model.Second      // a GPU machine for a task without GPUs
	costGPUFragment  = 8 * model.Second  // wanted GPUs are left with too few cores or memory to be used
	costFailedBefore = 30 * model.Second // the job has failed there before
	costLoss         = 60 * model.Second // the machine may be taken away, and the job would be late
	costSlow         = 20 * model.Second // the machine seemed slow lately
	costSuspect      = 10 * model.Second // tasks failed there, and none has completed since

	// minSpotPremium is the least cost of an ordinary machine for a job that may use spot
	// machines.
	minSpotPremium = model.Second
)

// fetchTime is how long it takes until a machine has the job's image.
func (r *Round) fetchTime(job *model.JobState, machine *model.Machine) model.Micros {
	machineType := r.MachineTypes[machine.MachineType]
	if machineType == nil || machineType.FetchGBps <= 0 {
		return 0
	}
	if machine.HasImage(job.Image) {
		// It may still be being fetched.
		return max(0, machine.ReadyAt[job.Image]-r.Now)
	}
	return machine.FetchTimeLeft(r.Now) + model.Seconds(job.ImageGB/machineType.FetchGBps)
}

// cost ranks a machine for a job of which so many tasks fit there: by the time until it
// has the image, and by what the choice makes worse for other jobs.
func (r *Round) cost(job *model.JobState, target *target, tasks int) model.Micros {
	machine := target.machine
	cost := r.fetchTime(job, machine)
	cost += cost / model.Micros(max(1, tasks)) // the fewer tasks share a fetch, the more each costs
	cost += r.gpuCost(job, target)
	cost += r.spotCost(job, machine)
	cost += r.riskCost(job, machine)
	return cost
}

// gpuCost is the cost of taking resources that GPU tasks could use.
func (r *Round) gpuCost(job *model.JobState, target *target) model.Micros {
	if target.machine.Size.GPUs == 0 || job.Request.GPUs > 0 {
		return 0
	}
	if job.Request.Fits(target.free().Minus(target.gpuReserve)) {
		return costGPUMachine
	}
	return costGPUMachine + costGPUFragment
}

// spotCost is the cost of the wrong choice between spot and ordinary machines.
func (r *Round) spotCost(job *model.JobState, machine *model.Machine) model.Micros {
	switch {
	case machine.Spot && job.LateIfTaskLost:
		return costLoss
	case !machine.Spot && job.AllowsSpot && !job.LateIfTaskLost:
		return r.spotPremium(job, machine)
	}
	return 0
}

// riskCost is the cost of a machine on which the job may fail or be slow.
func (r *Round) riskCost(job *model.JobState, machine *model.Machine) (cost model.Micros) {
	if job.FailedMachines[machine.ID] {
		cost += costFailedBefore
	}
	if len(machine.ConsecutiveFailures) > 0 {
		cost += costSuspect
	}
	if r.Now < machine.SlowUntil {
		cost += costSlow
	}
	return cost
}

// isPreferredKind tells whether a machine is of the kind that a job is better off on: a spot
// machine if it may use one, unless it would be late if that were taken away.
func isPreferredKind(job *model.JobState, machine *model.Machine) bool {
	return !job.AllowsSpot || machine.Spot != job.LateIfTaskLost
}

// spotPremium is what running on an ordinary machine costs a task that could use a spot
// machine, as the time that its run would last longer on a spot machine for the same
// money. A fetch that takes less than that is worth it.
func (r *Round) spotPremium(job *model.JobState, machine *model.Machine) model.Micros {
	machineType := r.MachineTypes[machine.MachineType]
	if machineType == nil || machineType.SpotPrice <= 0 || machineType.Price <= machineType.SpotPrice {
		return minSpotPremium
	}
	surcharge := machineType.Price/machineType.SpotPrice - 1
	return max(minSpotPremium, model.Micros(float64(job.EstimatedRun)*surcharge))
}

// minFragmentPercent is by how much GPUs have to be worth more than a gang's request so
// that the gang avoids leaving them unusable, in percent.
const minFragmentPercent = 150

// fragmentsGPUs tells that a gang without GPUs would leave GPUs unusable on a machine
// that are wanted and worth more than what the gang takes. It goes there only when it
// can't wait any longer.
func (r *Round) fragmentsGPUs(job *model.JobState, machine *model.Machine) bool {
	if machine.Size.GPUs == 0 || job.Request.GPUs > 0 || r.WantedGPUs == 0 || machine.Size.Cores == 0 || !r.gangCanWait(job) {
		return false
	}
	unusable := model.Resources{GPUs: machine.Size.GPUs * job.Request.Cores / machine.Size.Cores}
	return 100*coreEquivalents(unusable) > minFragmentPercent*coreEquivalents(job.Request)
}
