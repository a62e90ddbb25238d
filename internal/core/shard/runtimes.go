package shard

import (
	"woadweir/internal/core/model"
)

// runTimeStats holds statistics of the run times of a class.
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

// ExpectedRunTime returns the expected run time of a task of the job: the mean of the
// estimate given with the job and the average of the class. Until three tasks of the
// class have completed, it returns the estimate alone, and for a job without an estimate
// after that, the average alone.
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

// Remaining returns the expected time until a bound task is done.
func (s *State) Remaining(binding *model.Binding, now model.Micros) model.Micros {
	expected := s.ExpectedRunTime(binding.Job)
	if binding.RunningSince == 0 {
		return expected
	}
	elapsed := now - binding.RunningSince
	// The longer a task has exceeded its estimate, the longer it may still take.
	return max(expected-elapsed, elapsed/4)
}

// A machine counts as slow if two tasks on it run for more than three times their expected
// time: a single one may be due to a wrong estimate.
const (
	slowFactor   = 3
	minSlowTasks = 2
	slowDuration = 60 * model.Second
	// minExpectedRunTime is the lower bound of the expected time in this comparison.
	minExpectedRunTime = 5 * model.Second
)

// detectSlowMachine marks a machine as slow if its tasks run for too long. They continue,
// but for slowDuration new tasks preferably go to other machines.
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
