package config

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// Kinds of objectives.
const (
	objectiveWait      = "wait"      // tasks start within a time
	objectiveFinished  = "finished"  // jobs are done within a time
	objectiveDeadline  = "deadline"  // jobs are done within a multiple of their deadline
	objectiveGuarantee = "guarantee" // work within a team's guarantee starts within a time
)

// StartObjectives gives, by class, the times within which its tasks are to start, ascending.
func (s *Settings) StartObjectives() map[string][]model.Micros { return s.timesByClass(objectiveWait) }

// FinishObjectives gives, by class, the times within which its jobs are to be done, ascending.
func (s *Settings) FinishObjectives() map[string][]model.Micros {
	return s.timesByClass(objectiveFinished)
}

func (s *Settings) timesByClass(kind string) map[string][]model.Micros {
	return targetsByClass(s, kind, func(o *Objective) model.Micros { return model.Seconds(o.WithinS) })
}

// DeadlineObjectives gives, by class, the multiples of their deadline by which its jobs are to be
// done, ascending.
func (s *Settings) DeadlineObjectives() map[string][]float64 {
	return targetsByClass(s, objectiveDeadline, func(o *Objective) float64 { return o.DeadlineMultiple })
}

// targetsByClass collects the positive targets that the objectives of a kind set for each
// class, ascending.
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
	for _, ofClass := range targets {
		slices.Sort(ofClass)
	}
	return targets
}

// GuaranteeObjective is the time within which work within a team's guarantee is to start, 0 if no
// objective says so.
func (s *Settings) GuaranteeObjective() model.Micros {
	for _, objective := range s.Params.Objectives {
		if objective.Kind == objectiveGuarantee && objective.WithinS > 0 {
			return model.Seconds(objective.WithinS)
		}
	}
	return 0
}
