package shard

import (
	"woadweir/internal/core/model"
)

// runTimeStats are the statistics of the run times of a class.
type runTimeStats struct {
	count int
	mean  float64 // moving average in microseconds
}

// recordRunTime adds the run time of a completed task to the statistics of its class.
func (s *State) recordRunTime(class string, runTime model.Micros) {
	stats := s.runTimes[class]
	if stats == nil {
		stats = &runTimeStats{}
		s.runTimes[class] = stats
	}
	stats.count++
	weight := max(1/float64(stats.count), 0.05)
	stats.mean += (float64(runTime) - stats.mean) * weight
}

// ExpectedRunTime is the expected run time of a task of the job: the mean of the owner's
// estimate and the average of the class.
func (s *State) ExpectedRunTime(job *model.Job) model.Micros {
	stats := s.runTimes[job.Class]
	if stats == nil || stats.count < 3 {
		return job.EstimatedRun
	}
	if job.EstimatedRun == 0 {
		return model.Micros(stats.mean)
	}
	return (job.EstimatedRun + model.Micros(stats.mean)) / 2
}

// Remaining is the expected time until a bound task is done.
func (s *State) Remaining(binding *model.Binding, now model.Micros) model.Micros {
	expected := s.ExpectedRunTime(binding.Job)
	if binding.RunningSince == 0 {
		return expected
	}
	elapsed := now - binding.RunningSince
	// The longer a task has exceeded its estimate, the longer it may still take.
	return max(expected-elapsed, elapsed/4)
}

// A machine counts as slow if two tasks on it run for three times their expected time: a
// single one may be due to a wrong estimate.
const (
	slowFactor   = 3
	minSlowTasks = 2
	slowDuration = 60 * model.Second
	// minExpectedRunTime is the least time that a task is expected to run for here.
	minExpectedRunTime = 5 * model.Second
)

// detectSlowMachine marks a slow machine. Its tasks are left to finish, but for a while
// new tasks go to other machines first.
func (s *State) detectSlowMachine(machine *model.Machine, now model.Micros) {
	slowTasks := 0
	for _, b := range machine.Bindings {
		expected := s.ExpectedRunTime(b.Job)
		if b.RunningSince == 0 || expected <= 0 {
			continue
		}
		if now-b.RunningSince > slowFactor*max(expected, minExpectedRunTime) {
			slowTasks++
		}
	}
	if slowTasks < minSlowTasks {
		return
	}
	if now >= machine.SlowUntil {
		s.Log(Event{Kind: EventSlow, Machine: machine.ID})
	}
	machine.SlowUntil = now + slowDuration
}
