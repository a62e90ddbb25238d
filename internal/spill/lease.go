package spill

import "woadweir/internal/core/model"

// clockDriftDivisor covers how far two steady clocks may part: four times the 0.05% that the
// protocol allows each of them.
const clockDriftDivisor = 500

// safetyMargin covers answers that workers still take after they were made, and rounding.
const safetyMargin = 2 * model.Second

// withClockDrift is how long a span may take by another clock.
func withClockDrift(span model.Micros) model.Micros { return span + span/clockDriftDivisor }

// LeaseExpiry is when a guest's right to run a job ends. It counts from when the guest
// sent its question, less the age of what home's answer rests on: so an answer that
// arrives late prolongs nothing, and a cancellation that was confirmed before home
// answered but is not known to home's holder does not either.
func LeaseExpiry(sent, age, lease model.Micros) model.Micros {
	return sent - age + lease - lease/clockDriftDivisor
}

// GoneAfter is how long after home last granted the right nothing of a job can be on the
// guest's machines any more: the right is over, and then the workers' lease.
func GoneAfter(lease, workerLease model.Micros) model.Micros {
	return withClockDrift(lease) + withClockDrift(workerLease) + safetyMargin
}

// FitsCancel tells whether tasks of a job whose cancellation never reaches the guest are
// gone within the time that a cancellation may take at home.
func FitsCancel(lease, workerLease, cancelTime model.Micros) bool {
	return GoneAfter(lease, workerLease) <= cancelTime
}

// ExecutionLease is a guest's right to run one lent job.
type ExecutionLease struct{ expiresAt model.Micros }

// Extend takes an answer that grants the right. Answers may come in any order.
func (l *ExecutionLease) Extend(sent, age, lease model.Micros) {
	l.expiresAt = max(l.expiresAt, LeaseExpiry(sent, age, lease))
}

// IsValid tells whether tasks of the job may run now.
func (l *ExecutionLease) IsValid(now model.Micros) bool { return now < l.expiresAt }
