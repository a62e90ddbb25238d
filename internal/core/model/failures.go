package model

import "slices"

// A job that was submitted with a mistake fails on every machine until its owner
// cancels it. These types keep what is known of failures on both sides, so that
// such a job is told from a faulty machine.

// How the failures of a job without any task done are judged.
const (
	// backoffMachineThreshold is on how many machines a job has to fail until it is retried
	// with backoff.
	backoffMachineThreshold = 3
	// minRetryBackoff is what the waits of a job that has never run begin with. They
	// double with each failed retry, and are at least failsEverywhereBackoff once it has
	// failed on so many machines.
	minRetryBackoff        = Second
	minMultiMachineBackoff = 8 * Second
	// maxRetryBackoff bounds that wait.
	maxRetryBackoff = 64 * Second
)

// Failures is what a job's failed tasks tell of it.
type Failures struct {
	FailedMachines map[string]bool // machines on which tasks of it failed
	failedRetries  int             // retries that failed, with nothing of it known to run
	// FaultSuspected tells that it failed where other work runs, or on another machine after one
	// had been set aside for it, before anything of it had run.
	FaultSuspected bool
}

// NoteFailure records that a task of the job failed on a machine, and tells whether the
// job has to wait anew. The first retry is made at once, elsewhere. A job of which nothing
// is known to run waits before each further one, exponentially longer, and so does one
// that fails on several machines without any task done. Tasks that fail during the wait
// were started before it and are no retry.
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

// IsKnownToRun tells whether a task of the job has run, or is done.
func (j *JobState) IsKnownToRun() bool { return j.HasRun || j.Done.Len() > 0 }

// IsAtFault tells whether the job itself is thought to be at fault, not the machines
// that it fails on.
func (j *JobState) IsAtFault() bool { return j.FaultSuspected && !j.IsKnownToRun() }

// NeedsBackoff tells whether the job has failed on so many machines, with nothing
// done, that it is retried with backoff until a task completes.
func (j *JobState) NeedsBackoff() bool {
	return j.Done.Len() == 0 && len(j.FailedMachines) >= backoffMachineThreshold
}

// BindableTasks is how many of n waiting tasks of an array or a service may be bound
// now: of a job that fails everywhere it is tried one at a time, so that it takes up
// one machine's room and not the fleet's.
func (j *JobState) BindableTasks(n int) int {
	if !j.NeedsBackoff() || j.HasRun || j.Kind == Gang {
		return n
	}
	return min(n, max(0, 1-j.BindingCount()))
}

// TaskFailure is a failure of a job's tasks on a machine, by the time of the report
// that told of it.
type TaskFailure struct {
	Job string
	At  Micros
}

// maxConsecutiveFailures is how many failures in a row a machine keeps.
const maxConsecutiveFailures = 8

// NoteFailure records a failure of a job's tasks on the machine. Several tasks of one
// job that fail in the same report are one failure.
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
