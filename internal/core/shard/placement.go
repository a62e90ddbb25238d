package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

const (
	// maxMissedHeartbeats is after how many heartbeat intervals without one a machine gets
	// no new work.
	maxMissedHeartbeats = 3
	// stopTimePercent is about how long it takes until a stopped task's resources are
	// free, in percent of the heartbeat interval.
	stopTimePercent = 120
	// gpuGrowthDivisor gives, from the GPUs in use, those that may soon be wanted.
	gpuGrowthDivisor = 2
	// milliPerUnit is how many thousandths make a whole.
	milliPerUnit = 1000
)

// How long jobs wait before others are preempted for them.
const (
	// defaultMaxWait is for jobs without an aim.
	defaultMaxWait = 180 * model.Second
	// maxWaitPercent is for classes with a start aim, in percent of it.
	maxWaitPercent = 40
	// promptMaxWaitDivisor gives it for classes that are to start within promptStart, for
	// which stopping a task takes a larger part of that time.
	promptMaxWaitDivisor = 4
	promptStartObjective = 60 * model.Second
	// deadlineMaxWaitDivisor gives it from what a run leaves of the job's deadline.
	deadlineMaxWaitDivisor = 4
)

// PlacementInput returns what a placement round works on.
func (s *State) PlacementInput(now model.Micros) *placement.Round {
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

// placeableJobs are the jobs whose tasks may be placed here, brought up to date.
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

// gpuDemand is what jobs with GPUs ask for.
type gpuDemand struct {
	// requested is what all their tasks take, waiting and bound.
	requested model.Resources
	// waiting are, by team, the GPUs of waiting tasks that the team's limit allows.
	waiting map[string]model.Milli
}

// gpuDemand sums up what jobs with GPUs ask for.
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
			request.Mem = 0 // memory is not limited
			allowed := request.FitCount(team.Limit.Minus(s.Used[job.Team]), len(job.Waiting))
			demand.waiting[job.Team] += job.Request.GPUs * model.Milli(allowed)
		}
	}
	return demand
}

// requestPerGPU is what a task takes beside each of its GPUs, on average.
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

// wantedGPUs are the GPUs that are wanted beyond those in use. Besides those of waiting
// tasks, some more may soon be wanted: half of what is in use.
func (s *State) wantedGPUs(demand gpuDemand) (wanted model.Milli) {
	for name, waiting := range demand.waiting {
		used := s.Used[name].GPUs
		allowed := s.Params.Teams[name].Limit.GPUs - used
		wanted += max(0, min(allowed, waiting+used/gpuGrowthDivisor))
	}
	return wanted
}

// maxWait is how long a job waits until others are preempted for it.
func (s *State) maxWait(job *model.JobState) model.Micros {
	if startObjectives := s.Params.StartObjectives[job.Class]; len(startObjectives) > 0 {
		firstObjective := startObjectives[0]
		if firstObjective < promptStartObjective {
			return firstObjective / promptMaxWaitDivisor
		}
		return firstObjective * maxWaitPercent / 100
	}
	if job.Deadline > 0 && job.Priority >= model.HighPriority {
		// The deadline is its only aim: it can wait for a part of what its run leaves.
		slack := max(0, job.Deadline-s.ExpectedRunTime(job.Job))
		return min(defaultMaxWait, slack/deadlineMaxWaitDivisor)
	}
	return defaultMaxWait
}

// Place runs a placement round. One that preempts also looks for work to be
// stopped, which takes longer.
func (s *State) Place(now model.Micros, preempting bool) {
	s.NeedsPlacement = false
	round := s.PlacementInput(now)
	round.Reservations, round.Preempting = s.reservations, preempting
	round.Run()
}

// placementAdapter gives a placement round the state's estimates, and carries out its
// decisions on the state.
type placementAdapter struct {
	state *State
	now   model.Micros
}

var (
	_ placement.Estimator = placementAdapter{}
	_ placement.Executor  = placementAdapter{}
)

// DueAt implements placement.Estimator.
func (a placementAdapter) DueAt(job *model.JobState) model.Micros {
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
// one more.
func (a placementAdapter) Stop(binding *model.Binding, reason string) {
	grace := model.Micros(0)
	if binding.Job.CheckpointInterval > 0 {
		grace = binding.Job.SaveTime + model.Second
	}
	a.state.stop(binding, grace, reason, a.now)
}
