package shard

import (
	"woadweir/internal/core/model"
)

// recordFailure counts a failed task against its machine, or against its job. Mostly
// the machine is at fault. But a job that was submitted with a mistake fails on every
// machine, and must not get healthy machines quarantined: each would be drained and
// replaced. So failures are counted for both (see quarantineIfFaulty), and a job that
// fails on several machines is retried with a backoff.
func (s *State) recordFailure(job *model.JobState, machine *model.Machine, now model.Micros) {
	if job.NoteFailure(machine.ID, now) && job.NeedsBackoff() {
		s.Log(Event{Kind: EventFailsEverywhere, Machine: machine.ID, Task: job.ID, Reason: "to be retried with one task, later and later"})
	}
	if !job.IsKnownToRun() && otherJobRuns(job, machine) {
		job.FaultSuspected = true
	}
	if !job.IsAtFault() {
		machine.NoteFailure(job.ID, now)
	}
}

// otherJobRuns tells whether a task of another job runs on the machine.
func otherJobRuns(job *model.JobState, m *model.Machine) bool {
	for id, b := range m.Bindings {
		if id.Job != job.ID && b.Status == model.Running {
			return true
		}
	}
	return false
}

// clearFailures forgets the failures on a machine on which a task runs or has
// completed. The machine is not faulty, so jobs that failed on it and have not run
// anywhere are at fault.
func (s *State) clearFailures(machine *model.Machine) {
	s.markUnprovenJobsAtFault(machine)
	machine.ConsecutiveFailures = nil
}

// markUnprovenJobsAtFault puts the jobs at fault that failed on a machine and have not run
// anywhere.
func (s *State) markUnprovenJobsAtFault(machine *model.Machine) {
	for _, f := range machine.ConsecutiveFailures {
		if job := s.Jobs[f.Job]; job != nil && !job.IsKnownToRun() {
			job.FaultSuspected = true
		}
	}
}

// Limits of consecutive failures on a machine.
const (
	// provenFailureThreshold is the number of failures of jobs that have run elsewhere after
	// which a machine is quarantined.
	provenFailureThreshold = 2
	// unprovenFailureThreshold is the number of failures of jobs that have not run anywhere
	// yet after which a machine is quarantined, as long as nothing else runs on it. Such
	// a job may not fit on other machines, and would fail there for ever. It gets only
	// one machine quarantined.
	unprovenFailureThreshold = 3
)

// quarantineIfFaulty quarantines a machine if the failures on it are its own fault.
// Failures of jobs that are known to run count for more: the first tasks of new jobs
// with a mistake often fail on the same machines at once, which proves nothing. This is
// checked with every heartbeat, as the jobs may have run elsewhere since.
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
	// The jobs that have not run anywhere have had their one machine quarantined. If they
	// fail on the next as well, they are at fault.
	s.markUnprovenJobsAtFault(machine)
	machine.Quarantined, machine.Draining = true, true
	s.Log(Event{Kind: EventQuarantined, Machine: machine.ID, Reason: "tasks fail on it"})
	for _, b := range machine.Bindings {
		if b.Status != model.Running {
			s.stop(b, 0, "machine is sick", now)
		}
	}
}
