package model

import "slices"

// A job that was submitted with a mistake fails on every machine until its owner cancels
// it. These types record failures both by job and by machine, so that such a job can be
// distinguished from a faulty machine.

// Retry policy for jobs of which no task is done.
const (
	// backoffMachineThreshold is the number of machines on which a job has to fail before
	// it is retried with backoff.
	backoffMachineThreshold = 3
	// minRetryBackoff is the base of the backoff of a job that has never run. The backoff
	// doubles with each failed retry, and is at least minMultiMachineBackoff once the job
	// has failed on backoffMachineThreshold machines.
	minRetryBackoff        = Second
	minMultiMachineBackoff = 8 * Second
	// maxRetryBackoff is the upper bound of the backoff.
	maxRetryBackoff = 64 * Second
)

// Failures records what the failed tasks of a job show about it.
type Failures struct {
	FailedMachines map[string]bool // machines on which tasks of the job failed
	failedRetries  int             // retries that failed while no task of the job was known to run
	// FaultSuspected is set if, before any of its tasks had run, the job failed on a machine
	// on which other work runs, then or later, or a machine was quarantined because of it.
	FaultSuspected bool
}

// NoteFailure records that a task of the job failed on a machine, and reports whether a new
// backoff of the job begins. The first retry is made immediately, on another machine. Before
// each further retry, a job that is not known to run waits exponentially longer, and so
// does one that fails on several machines without any task done. Tasks that fail during
// the wait were started before it and do not count as retries.
func (j *JobState) NoteFailure(machine string, now Micros) (waits bool) {
	if j.FailedMachines == nil {
		j.FailedMachines = map[string]bool{}
	}
	j.FailedMachines[machine] = true
	if j.IsKnownToRun() && !j.NeedsBackoff() || now < j.NotBefore {
		return false
	}
	j.failedRetries++
	if j.failedRetries == 1 && !j.NeedsBackoff() {
		return false
	}
	backoff := minRetryBackoff << min(j.failedRetries, 8)
	if j.NeedsBackoff() {
		backoff = max(backoff, minMultiMachineBackoff)
	}
	j.NotBefore = now + min(backoff, maxRetryBackoff)
	return true
}

// IsKnownToRun reports whether a task of the job has run or is done.
func (j *JobState) IsKnownToRun() bool { return j.HasRun || j.Done.Len() > 0 }

// IsAtFault reports whether the job itself is considered to be at fault, not the machines
// that it fails on.
func (j *JobState) IsAtFault() bool { return j.FaultSuspected && !j.IsKnownToRun() }

// NeedsBackoff reports whether the job has failed on so many machines, with no task done,
// that it is retried with backoff until a task completes.
func (j *JobState) NeedsBackoff() bool {
	return j.Done.Len() == 0 && len(j.FailedMachines) >= backoffMachineThreshold
}

// BindableTasks returns how many of n waiting tasks of an array or a service may be bound
// now. A job that has failed on every machine it was tried on is retried with one task at
// a time, so that it occupies one machine and not the whole fleet.
func (j *JobState) BindableTasks(n int) int {
	if !j.NeedsBackoff() || j.HasRun || j.Kind == Gang {
		return n
	}
	return min(n, max(0, 1-j.BindingCount()))
}

// TaskFailure is a failure of a job's tasks on a machine, with the time of the heartbeat
// that reported it.
type TaskFailure struct {
	Job string
	At  Micros
}

// maxConsecutiveFailures is the number of consecutive failures that are kept of a machine.
const maxConsecutiveFailures = 8

// NoteFailure records a failure of a job's tasks on the machine. Several tasks of one
// job that fail in the same heartbeat count as one failure.
func (m *Machine) NoteFailure(job string, at Micros) {
	failure := TaskFailure{Job: job, At: at}
	if slices.Contains(m.ConsecutiveFailures, failure) {
		return
	}
	m.ConsecutiveFailures = append(m.ConsecutiveFailures, failure)
	if n := len(m.ConsecutiveFailures); n > maxConsecutiveFailures {
		m.ConsecutiveFailures = m.ConsecutiveFailures[n-maxConsecutiveFailures:]
	}
}

// ForgetFailures drops the failures of a job that turned out to be at fault itself.
func (m *Machine) ForgetFailures(job string) {
	m.ConsecutiveFailures = slices.DeleteFunc(m.ConsecutiveFailures, func(f TaskFailure) bool { return f.Job == job })
}
