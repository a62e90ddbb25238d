package shard

import (
	"woadweir/internal/core/model"
)

// recordFailure records the failure of a task for its job and, unless the job itself is
// at fault, for its machine. Usually the machine is at fault. But a job that was
// submitted with a mistake fails on every machine, and must not get healthy machines
// quarantined: each would be drained and replaced. So failures are counted for both (see
// quarantineIfFaulty), and a job that fails on several machines is retried with backoff.
func (s *State) recordFailure(job *model.JobState, machine *model.Machine, now model.Micros) {
	if job.NoteFailure(machine.ID, now) && job.NeedsBackoff() {
		s.Log(Event{Kind: EventFailsEverywhere, Machine: machine.ID, Task: job.ID, Reason: "retrying one task at a time with backoff"})
	}
	if !job.IsKnownToRun() && otherJobRuns(job, machine) {
		job.FaultSuspected = true
	}
	if !job.IsAtFault() {
		machine.NoteFailure(job.ID, now)
	}
}

// otherJobRuns reports whether a task of another job is running on the machine.
func otherJobRuns(job *model.JobState, m *model.Machine) bool {
	for id, b := range m.Bindings {
		if id.Job != job.ID && b.Status == model.Running {
			return true
		}
	}
	return false
}

// clearFailures clears the failures on a machine on which a task is running or has
// completed. The machine is not faulty, so jobs that failed on it and have not run
// anywhere are at fault.
func (s *State) clearFailures(machine *model.Machine) {
	s.markUnprovenJobsAtFault(machine)
	machine.ConsecutiveFailures = nil
}

// markUnprovenJobsAtFault marks the jobs as at fault that failed on a machine and have
// not run anywhere.
func (s *State) markUnprovenJobsAtFault(machine *model.Machine) {
	for _, f := range machine.ConsecutiveFailures {
		if job := s.Jobs[f.Job]; job != nil && !job.IsKnownToRun() {
			job.FaultSuspected = true
		}
	}
}

// Limits for consecutive failures on a machine.
const (
	// provenFailureThreshold is the number of failures of jobs that have run elsewhere
	// after which a machine is quarantined.
	provenFailureThreshold = 2
	// unprovenFailureThreshold is the number of failures of jobs that have not run
	// anywhere yet after which a machine is quarantined, as long as nothing else runs on
	// it. Such a job may not fit on other machines, and would fail on this one forever.
	// It gets only one machine quarantined.
	unprovenFailureThreshold = 3
)

// quarantineIfFaulty quarantines a machine if the failures on it are attributed to the
// machine. Failures of jobs that are known to run have more weight: the first tasks of
// new jobs with a mistake often fail on the same machines at the same time, which proves
// nothing. This is checked with every heartbeat, because the jobs may have run elsewhere
// since.
func (s *State) quarantineIfFaulty(machine *model.Machine, now model.Micros) {
	if machine.Quarantined || len(machine.ConsecutiveFailures) < provenFailureThreshold {
		return
	}
	proven, unproven := 0, 0
	for _, f := range machine.ConsecutiveFailures {
		job := s.Jobs[f.Job]
		switch {
		case job == nil || job.IsAtFault():
		case job.IsKnownToRun():
			proven++
		default:
			unproven++
		}
	}
	if proven < provenFailureThreshold && unproven < unprovenFailureThreshold {
		return
	}
	// A job that has not run anywhere gets only one machine quarantined. If it fails on the
	// next one as well, the job is at fault.
	s.markUnprovenJobsAtFault(machine)
	machine.Quarantined, machine.Draining = true, true
	s.Log(Event{Kind: EventQuarantined, Machine: machine.ID, Reason: "tasks fail on the machine"})
	for _, b := range machine.Bindings {
		if b.Status != model.Running {
			s.stop(b, 0, "machine quarantined", now)
		}
	}
}
