package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a machine gets no new work.
	maxMissedHeartbeats = 3
	// stopTimePercent is the approximate time until the resources of a stopped task are
	// free, in percent of the heartbeat interval.
	stopTimePercent = 120
	// gpuGrowthDivisor is applied to the GPUs in use. The quotient is the number of GPUs
	// that may soon be wanted in addition.
	gpuGrowthDivisor = 2
	// milliPerUnit is the number of thousandths in a unit.
	milliPerUnit = 1000
)

// The time that jobs wait before others are preempted for them.
const (
	// defaultMaxWait applies to jobs without an objective.
	defaultMaxWait = 180 * model.Second
	// maxWaitPercent applies to classes with a start objective, in percent of that
	// objective.
	maxWaitPercent = 40
	// promptMaxWaitDivisor applies to classes with a start objective below
	// promptStartObjective: they wait for that objective divided by it. Stopping a task
	// takes a larger part of a short objective.
	promptMaxWaitDivisor = 4
	promptStartObjective = 60 * model.Second
	// deadlineMaxWaitDivisor applies to jobs that have only a deadline: they wait for the
	// time that their run leaves until the deadline, divided by it.
	deadlineMaxWaitDivisor = 4
)

// NewRound returns a placement round that works on the current state.
func (s *State) NewRound(now model.Micros) *placement.Round {
	adapter := placementAdapter{state: s, now: now}
	round := &placement.Round{
		Now:                now,
		HeartbeatTimeout:   maxMissedHeartbeats * s.Params.HeartbeatInterval,
		StopTime:           s.Params.HeartbeatInterval * stopTimePercent / 100,
		GuaranteeObjective: s.Params.GuaranteeObjective,
		Machines:           make([]*model.Machine, 0, len(s.Machines)),
		MachineTypes:       s.MachineTypes,
		Jobs:               s.placeableJobs(now),
		Teams:              s.Params.Teams,
		Used:               s.Used,
		Estimates:          adapter,
		Executor:           adapter,
	}
	for _, machine := range s.Machines {
		round.Machines = append(round.Machines, machine)
	}
	demand := s.gpuDemand(round.Jobs)
	round.RequestPerGPU = demand.requestPerGPU()
	round.WantedGPUs = s.wantedGPUs(demand)
	s.updateClassLoads(round.Jobs, now)
	return round
}

// placeableJobs returns the jobs whose tasks may be placed in this cell, after updating
// their LateIfTaskLost.
func (s *State) placeableJobs(now model.Micros) []*model.JobState {
	jobs := make([]*model.JobState, 0, len(s.Jobs))
	for _, job := range s.Jobs {
		if job.FinalStatus != "" || job.Suspended {
			continue
		}
		job.LateIfTaskLost = job.AllowsSpot && s.lateIfTaskLost(job, now)
		jobs = append(jobs, job)
	}
	return jobs
}

// gpuDemand holds the resources requested by jobs that use GPUs.
type gpuDemand struct {
	// requested is the sum for all their tasks, waiting and bound.
	requested model.Resources
	// waiting maps a team to the GPUs of its waiting tasks that its limit allows.
	waiting map[string]model.Milli
}

// gpuDemand adds up the resources requested by jobs that use GPUs.
func (s *State) gpuDemand(jobs []*model.JobState) gpuDemand {
	demand := gpuDemand{waiting: map[string]model.Milli{}}
	for _, job := range jobs {
		if job.Request.GPUs <= 0 {
			continue
		}
		tasks := len(job.Waiting) + job.BindingCount()
		demand.requested = demand.requested.Plus(job.Request.Times(tasks))
		if team := s.Params.Teams[job.Team]; team != nil {
			request := job.Request
			request.Mem = 0 // team limits do not include memory
			allowed := request.FitCount(team.Limit.Minus(s.Used[job.Team]), len(job.Waiting))
			demand.waiting[job.Team] += job.Request.GPUs * model.Milli(allowed)
		}
	}
	return demand
}

// requestPerGPU returns the average cores and memory that tasks request per GPU.
func (d gpuDemand) requestPerGPU() model.Resources {
	gpus := d.requested.GPUs
	if gpus == 0 {
		return model.Resources{}
	}
	return model.Resources{
		Cores: d.requested.Cores * milliPerUnit / gpus,
		Mem:   d.requested.Mem * milliPerUnit / gpus,
	}
}

// wantedGPUs returns the GPUs that are wanted in addition to those in use: those of
// waiting tasks, and half of those in use, which may soon be wanted as well.
func (s *State) wantedGPUs(demand gpuDemand) (wanted model.Milli) {
	for name, waiting := range demand.waiting {
		used := s.Used[name].GPUs
		allowed := s.Params.Teams[name].Limit.GPUs - used
		wanted += max(0, min(allowed, waiting+used/gpuGrowthDivisor))
	}
	return wanted
}

// maxWait returns how long a job waits before others are preempted for it.
func (s *State) maxWait(job *model.JobState) model.Micros {
	if startObjectives := s.Params.StartObjectives[job.Class]; len(startObjectives) > 0 {
		firstObjective := startObjectives[0]
		if firstObjective < promptStartObjective {
			return firstObjective / promptMaxWaitDivisor
		}
		return firstObjective * maxWaitPercent / 100
	}
	if job.Deadline > 0 && job.Priority >= model.HighPriority {
		// The deadline is the only objective of the job: it can wait for a part of the time
		// that its run leaves.
		slack := max(0, job.Deadline-s.ExpectedRunTime(job.Job))
		return min(defaultMaxWait, slack/deadlineMaxWaitDivisor)
	}
	return defaultMaxWait
}

// Place runs a placement round. A preempting round also looks for tasks to be stopped,
// which takes longer.
func (s *State) Place(now model.Micros, preempting bool) {
	s.NeedsPlacement = false
	round := s.NewRound(now)
	round.Reservations, round.Preempting = s.reservations, preempting
	round.Run()
}

// placementAdapter provides the state's estimates to a placement round, and applies the
// decisions of the round to the state.
type placementAdapter struct {
	state *State
	now   model.Micros
}

var (
	_ placement.Estimator = placementAdapter{}
	_ placement.Executor  = placementAdapter{}
)

// OrderKey implements placement.Estimator.
func (a placementAdapter) OrderKey(job *model.JobState) model.Micros {
	return a.state.orderKey(job, a.now)
}

// MaxWait implements placement.Estimator.
func (a placementAdapter) MaxWait(job *model.JobState) model.Micros { return a.state.maxWait(job) }

// StartRate implements placement.Estimator.
func (a placementAdapter) StartRate(class string) float64 { return a.state.classLoads[class].rate }

// Remaining implements placement.Estimator.
func (a placementAdapter) Remaining(binding *model.Binding) model.Micros {
	return a.state.Remaining(binding, a.now)
}

// TaskSlots implements placement.Executor.
func (a placementAdapter) TaskSlots(job *model.Job, machine *model.Machine) int {
	return a.state.TaskSlots(job, machine)
}

// NextAttempt implements placement.Executor.
func (a placementAdapter) NextAttempt() uint64 { return a.state.NextAttempt() }

// Bind implements placement.Executor.
func (a placementAdapter) Bind(job *model.JobState, task int, machine *model.Machine, attempt uint64) {
	a.state.bind(job, task, machine, attempt, a.now)
}

// Stop implements placement.Executor. A task that saves checkpoints gets the time to save
// another one.
func (a placementAdapter) Stop(binding *model.Binding, reason string) {
	grace := model.Micros(0)
	if binding.Job.CheckpointInterval > 0 {
		grace = binding.Job.SaveTime + model.Second
	}
	a.state.stop(binding, grace, reason, a.now)
}
