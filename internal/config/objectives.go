package config

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// The kinds of objectives.
const (
	objectiveWait      = "wait"      // tasks start within a time
	objectiveFinished  = "finished"  // jobs are done within a time
	objectiveDeadline  = "deadline"  // jobs are done within a multiple of their deadline
	objectiveGuarantee = "guarantee" // work within a team's guarantee starts within a time
)

// StartObjectives returns, by class, the times within which tasks should start, ascending.
func (s *Settings) StartObjectives() map[string][]model.Micros { return s.timesByClass(objectiveWait) }

// FinishObjectives returns, by class, the times within which jobs should be done, ascending.
func (s *Settings) FinishObjectives() map[string][]model.Micros {
	return s.timesByClass(objectiveFinished)
}

// timesByClass returns, by class, the times of the objectives of a kind, ascending.
func (s *Settings) timesByClass(kind string) map[string][]model.Micros {
	return targetsByClass(s, kind, func(objective *Objective) model.Micros { return model.Seconds(objective.WithinS) })
}

// DeadlineObjectives returns, by class, the multiples of their deadline within which jobs
// should be done, ascending.
func (s *Settings) DeadlineObjectives() map[string][]float64 {
	return targetsByClass(s, objectiveDeadline, func(objective *Objective) float64 { return objective.DeadlineMultiple })
}

// targetsByClass returns, by class, the positive targets of the objectives of a kind,
// ascending.
func targetsByClass[T cmp.Ordered](s *Settings, kind string, targetOf func(*Objective) T) map[string][]T {
	targets := map[string][]T{}
	var zero T
	for i := range s.Params.Objectives {
		objective := &s.Params.Objectives[i]
		if objective.Kind != kind || objective.Class == "" {
			continue
		}
		if target := targetOf(objective); target > zero {
			targets[objective.Class] = append(targets[objective.Class], target)
		}
	}
	for _, classTargets := range targets {
		slices.Sort(classTargets)
	}
	return targets
}

// GuaranteeObjective returns the time within which work within a team's guarantee should
// start, 0 if there is no such objective.
func (s *Settings) GuaranteeObjective() model.Micros {
	for _, objective := range s.Params.Objectives {
		if objective.Kind == objectiveGuarantee && objective.WithinS > 0 {
			return model.Seconds(objective.WithinS)
		}
	}
	return 0
}
