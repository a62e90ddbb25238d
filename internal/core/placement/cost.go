package placement

import "woadweir/internal/core/model"

// Costs of placing a task on a machine, expressed as the time for which the task could wait
// to avoid that placement.
const (
	costGPUMachine   = model.Second      // a GPU machine for a task without GPUs
	costGPUFragment  = 8 * model.Second  // wanted GPUs are left with too few cores or too little memory to be used
	costFailedBefore = 30 * model.Second // the job has failed on the machine before
	costLoss         = 60 * model.Second // the machine may be reclaimed, and the job would be late
	costSlow         = 20 * model.Second // the machine seemed slow recently
	costSuspect      = 10 * model.Second // tasks failed on the machine, and none has completed since

	// minSpotPremium is the minimum cost of an on-demand machine for a job that may use spot
	// machines.
	minSpotPremium = model.Second
)

// fetchTime returns the estimated time until a machine has the job's image.
func (r *Round) fetchTime(job *model.JobState, machine *model.Machine) model.Micros {
	machineType := r.MachineTypes[machine.MachineType]
	if machineType == nil || machineType.FetchGBps <= 0 {
		return 0
	}
	if machine.HasImage(job.Image) {
		// The fetch may still be in progress.
		return max(0, machine.ReadyAt[job.Image]-r.Now)
	}
	return machine.FetchTimeLeft(r.Now) + model.Seconds(job.ImageGB/machineType.FetchGBps)
}

// cost returns the cost of a machine for a job of which the given number of tasks fit on
// it. It covers the time until the machine has the image, the disadvantages for other
// jobs, and the risk for the job itself.
func (r *Round) cost(job *model.JobState, target *target, tasks int) model.Micros {
	machine := target.machine
	cost := r.fetchTime(job, machine)
	cost += cost / model.Micros(max(1, tasks)) // the fewer tasks share a fetch, the more it costs each of them
	cost += r.gpuCost(job, target)
	cost += r.spotCost(job, machine)
	cost += r.riskCost(job, machine)
	return cost
}

// gpuCost returns the cost of taking resources that GPU tasks could use.
func (r *Round) gpuCost(job *model.JobState, target *target) model.Micros {
	if target.machine.Size.GPUs == 0 || job.Request.GPUs > 0 {
		return 0
	}
	if job.Request.Fits(target.free().Minus(target.gpuReserve)) {
		return costGPUMachine
	}
	return costGPUMachine + costGPUFragment
}

// spotCost returns the cost of the wrong choice between spot and on-demand machines.
func (r *Round) spotCost(job *model.JobState, machine *model.Machine) model.Micros {
	switch {
	case machine.Spot && job.LateIfTaskLost:
		return costLoss
	case !machine.Spot && job.AllowsSpot && !job.LateIfTaskLost:
		return r.spotPremium(job, machine)
	}
	return 0
}

// riskCost returns the cost of a machine on which the job may fail or be slow.
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

// isPreferredKind reports whether a machine is of the kind that a job prefers: a spot
// machine if the job may use one, unless losing it would make the job late.
func isPreferredKind(job *model.JobState, machine *model.Machine) bool {
	return !job.AllowsSpot || machine.Spot != job.LateIfTaskLost
}

// spotPremium returns the cost of an on-demand machine for a job that may use spot machines:
// the additional run time that a spot machine would provide for the same price. Fetching
// the image to a spot machine is worthwhile if it takes less time than that.
func (r *Round) spotPremium(job *model.JobState, machine *model.Machine) model.Micros {
	machineType := r.MachineTypes[machine.MachineType]
	if machineType == nil || machineType.SpotPrice <= 0 || machineType.Price <= machineType.SpotPrice {
		return minSpotPremium
	}
	surcharge := machineType.Price/machineType.SpotPrice - 1
	return max(minSpotPremium, model.Micros(float64(job.EstimatedRun)*surcharge))
}

// minFragmentPercent is the minimum worth of GPUs, in percent of a gang's request, for the
// gang to avoid making them unusable.
const minFragmentPercent = 150

// fragmentsGPUs reports whether a gang without GPUs would make wanted GPUs of a machine
// unusable that are worth more than what the gang takes. The gang uses such a machine only
// when it can't wait any longer.
func (r *Round) fragmentsGPUs(job *model.JobState, machine *model.Machine) bool {
	if machine.Size.GPUs == 0 || job.Request.GPUs > 0 || r.WantedGPUs == 0 || machine.Size.Cores == 0 || !r.gangCanWait(job) {
		return false
	}
	unusable := model.Resources{GPUs: machine.Size.GPUs * job.Request.Cores / machine.Size.Cores}
	return 100*coreEquivalents(unusable) > minFragmentPercent*coreEquivalents(job.Request)
}
