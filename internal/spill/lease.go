package spill

import "woadweir/internal/core/model"

// clockDriftDivisor bounds how far two monotonic clocks may drift apart, as a fraction of a time
// span (1/500): four times the 0.05% that the protocol allows each of them.
const clockDriftDivisor = 500

// safetyMargin covers rounding, and answers that workers still accept some time after they were
// made.
const safetyMargin = 2 * model.Second

// withClockDrift returns the longest that a time span of one clock may take by another clock.
func withClockDrift(span model.Micros) model.Micros { return span + span/clockDriftDivisor }

// LeaseExpiry returns when an execution lease expires. The lease counts from when the execution
// cell sent its renewal, less the age of the state that the home cell's answer is based on (see
// RenewalAnswer.Age). So an answer that arrives late does not prolong the lease, and neither does
// one that was given after a cancellation was confirmed, by a holder of the home shard that did
// not know of the cancellation yet.
func LeaseExpiry(sent, age, lease model.Micros) model.Micros {
	return sent - age + lease - lease/clockDriftDivisor
}

// GoneAfter returns how long after the home cell last granted an execution lease nothing of the
// job can be on the execution cell's machines any more: the execution lease expires first, and
// then the worker lease.
func GoneAfter(lease, workerLease model.Micros) model.Micros {
	return withClockDrift(lease) + withClockDrift(workerLease) + safetyMargin
}

// FitsCancel reports whether the tasks of a job whose cancellation never reaches the execution
// cell are gone within the time that a cancellation may take in the home cell.
func FitsCancel(lease, workerLease, cancelTime model.Micros) bool {
	return GoneAfter(lease, workerLease) <= cancelTime
}

// ExecutionLease is an execution cell's time-limited permission to run one borrowed job.
type ExecutionLease struct{ expiresAt model.Micros }

// Extend extends the lease after an answer that grants it. Answers may arrive in any order.
func (l *ExecutionLease) Extend(sent, age, lease model.Micros) {
	l.expiresAt = max(l.expiresAt, LeaseExpiry(sent, age, lease))
}

// IsValid reports whether tasks of the job may run now.
func (l *ExecutionLease) IsValid(now model.Micros) bool { return now < l.expiresAt }
