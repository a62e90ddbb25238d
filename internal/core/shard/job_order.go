package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// classLoad is the load that the tasks of a class make.
type classLoad struct {
	rate    float64 // tasks that are expected to end in a second
	waiting int     // tasks that may be started
}

// timeToStart is the time until all waiting tasks of the class have started.
func (l classLoad) timeToStart() model.Micros {
	if l.waiting == 0 {
		return 0
	}
	if l.rate <= 0 {
		return unboundedTime
	}
	return model.Seconds(min(float64(l.waiting)/l.rate, unboundedTime.Seconds()))
}

// unboundedTime is longer than any time that matters.
const unboundedTime = model.Micros(1) << 50

// updateClassLoads computes the load of every class from the bindings, so a new owner
// knows it at once.
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

// missedObjectiveOffset is the first due time of jobs that have missed a target, but can still
// meet another.
const missedObjectiveOffset = placement.LateDueAt / 2

// maxOvertaken bounds the time for which a job may be overtaken by jobs with less work
// left. It is well within the four minutes in which all jobs are to start, as the
// largest ones need most time to get their machines.
const maxOvertakenTime = 90 * model.Second

// orderKey orders jobs of the same priority. Jobs that can still meet all targets of their
// class go first, those with the least work left before the others: when not all jobs
// can be in time, this order gets the most of them done in time. Then come jobs that
// have missed a target and can meet another, and finally, by age, jobs that cannot meet
// any. A job that is about to miss the last target for its start or its end goes before
// all these, as long as all waiting tasks can be in time; otherwise this would only
// make all of them late.
func (s *State) orderKey(job *model.JobState, now model.Micros) model.Micros {
	if job.Kind == model.Gang && job.HasRun {
		// It lost its machines after it had started: it need not wait in the queue again.
		return job.ReadySince - placement.LateDueAt
	}
	runTime := s.ExpectedRunTime(job.Job)
	age := now - job.ReadySince
	expectedEnd := age + runTime*9/10
	if s.isAboutToMissLastObjective(job, age, expectedEnd) {
		return job.ReadySince - placement.LateDueAt
	}
	met, missed := s.countObjectives(job, age, expectedEnd)
	remainingWork := runTime * model.Micros(len(job.Waiting))
	switch {
	case met == 0:
		return placement.LateDueAt + job.ReadySince
	case missed == 0 || len(s.Params.StartObjectives[job.Class]) == 0 && job.Deadline == 0:
		return remainingWork
	}
	return missedObjectiveOffset + remainingWork
}

// isAboutToMissLastObjective tells whether a job of that age and expected end is about to miss the
// last target of its class for the start or the end, while all waiting tasks of the class
// can start in time.
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

// countObjectives counts the targets that a job of that age and expected end can still
// meet, and those that it misses.
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

// lossMakesLate tells whether a job is expected to meet its deadline, or a multiple of
// it that is a target, but not if a task is lost after half of its run. Such jobs
// should not run on spot machines.
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
