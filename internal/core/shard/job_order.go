package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// classLoad is the load caused by the tasks of a class.
type classLoad struct {
	rate    float64 // tasks that are expected to end per second
	waiting int     // waiting tasks that may be started
}

// timeToStart returns the expected time until all waiting tasks of the class have
// started.
func (l classLoad) timeToStart() model.Micros {
	if l.waiting == 0 {
		return 0
	}
	if l.rate <= 0 {
		return unboundedTime
	}
	return model.Seconds(min(float64(l.waiting)/l.rate, unboundedTime.Seconds()))
}

// unboundedTime stands for a time without an upper bound. It is longer than any time
// that matters here.
const unboundedTime = model.Micros(1) << 50

// updateClassLoads computes the load of every class from the bindings, so that a new
// owner of the shard has it immediately.
func (s *State) updateClassLoads(jobs []*model.JobState, now model.Micros) {
	s.classLoads = make(map[string]classLoad, len(s.runTimes)+1)
	for _, job := range jobs {
		load := s.classLoads[job.Class]
		if bound := len(job.Bindings); bound > 0 {
			load.rate += float64(bound) / max(s.ExpectedRunTime(job.Job), model.Second).Seconds()
		}
		if now >= job.NotBefore {
			load.waiting += len(job.Waiting)
		}
		s.classLoads[job.Class] = load
	}
}

// missedObjectiveOffset is the smallest order key of jobs that have missed an objective,
// but can still meet another.
const missedObjectiveOffset = placement.LateOrderKey / 2

// maxOvertakenTime is the longest time for which jobs with less remaining work may go
// before a job. It is well within the four minutes in which all jobs are to start,
// because the largest jobs need the most time to get their machines.
const maxOvertakenTime = 90 * model.Second

// orderKey returns the key by which jobs of the same priority are ordered, smallest
// first. Jobs that can still meet all objectives of their class go first, ordered by
// remaining work: when not all jobs can be in time, shortest-first gets the most of them
// done in time. Then come jobs that have missed an objective and can meet another, and
// finally, by age, jobs that cannot meet any. A job that is about to miss the last
// objective for its start or its end goes before all of these, as long as all waiting
// tasks can be in time; otherwise this would only make all of them late.
func (s *State) orderKey(job *model.JobState, now model.Micros) model.Micros {
	if job.Kind == model.Gang && job.HasRun {
		// The gang lost its machines after it had started. It does not wait in the queue
		// again.
		return job.ReadySince - placement.LateOrderKey
	}
	runTime := s.ExpectedRunTime(job.Job)
	age := now - job.ReadySince
	expectedEnd := age + runTime*9/10
	if s.isAboutToMissLastObjective(job, age, expectedEnd) {
		return job.ReadySince - placement.LateOrderKey
	}
	met, missed := s.countObjectives(job, age, expectedEnd)
	remainingWork := runTime * model.Micros(len(job.Waiting))
	switch {
	case met == 0:
		return placement.LateOrderKey + job.ReadySince
	case missed == 0 || len(s.Params.StartObjectives[job.Class]) == 0 && job.Deadline == 0:
		return remainingWork
	}
	return missedObjectiveOffset + remainingWork
}

// isAboutToMissLastObjective reports whether a job of the given age and expected end is
// about to miss the last objective of its class for the start or the end, while all
// waiting tasks of the class can start in time.
func (s *State) isAboutToMissLastObjective(job *model.JobState, age, expectedEnd model.Micros) bool {
	startObjectives := s.Params.StartObjectives[job.Class]
	if len(startObjectives) == 0 {
		return false
	}
	lastObjective := startObjectives[len(startObjectives)-1]
	minAge := min(lastObjective*3/4, maxOvertakenTime)
	if age >= minAge && age < lastObjective && s.classLoads[job.Class].timeToStart() < lastObjective*3/4 {
		return true
	}
	finishObjectives := s.Params.FinishObjectives[job.Class]
	if len(finishObjectives) == 0 {
		return false
	}
	lastObjective = finishObjectives[len(finishObjectives)-1]
	return expectedEnd >= lastObjective*3/4 && expectedEnd <= lastObjective && s.classLoads[job.Class].timeToStart() < lastObjective/4
}

// countObjectives counts the objectives that a job of the given age and expected end can
// still meet, and those that it misses.
func (s *State) countObjectives(job *model.JobState, age, expectedEnd model.Micros) (met, missed int) {
	count := func(meets bool) {
		if meets {
			met++
		} else {
			missed++
		}
	}
	for _, objective := range s.Params.StartObjectives[job.Class] {
		count(age < objective)
	}
	if job.Deadline > 0 {
		count(expectedEnd <= job.Deadline)
		for _, multiple := range s.Params.DeadlineObjectives[job.Class] {
			count(expectedEnd <= model.Micros(float64(job.Deadline)*multiple))
		}
	}
	for _, objective := range s.Params.FinishObjectives[job.Class] {
		count(expectedEnd <= objective)
	}
	return met, missed
}

// lateIfTaskLost reports whether a job is expected to meet its deadline, or a multiple of
// the deadline that is an objective, but would miss it if a task were lost halfway
// through its run. Such jobs should not run on spot machines.
func (s *State) lateIfTaskLost(job *model.JobState, now model.Micros) bool {
	if job.Deadline <= 0 {
		return false
	}
	runTime := s.ExpectedRunTime(job.Job)
	age := now - job.ReadySince
	for _, multiple := range append([]float64{1}, s.Params.DeadlineObjectives[job.Class]...) {
		objective := model.Micros(float64(job.Deadline) * multiple)
		if age+runTime*9/10 <= objective {
			return age+runTime*3/2+2*s.Params.HeartbeatInterval > objective
		}
	}
	return false
}
