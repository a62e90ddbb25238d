package spill

import "woadweir/internal/core/model"

// driftDivisor covers how far two steady clocks may part: four times the 0.05% that the
// protocol allows each of them.
const driftDivisor = 500

// margin covers answers that workers still take after they were made, and rounding.
const margin = 2 * model.Second

// withDrift is how long a span may take by another clock.
func withDrift(span model.Micros) model.Micros { return span + span/driftDivisor }

// RightUntil is when a guest's right to run a job ends. It counts from when the guest
// sent its question, less the age of what home's answer rests on: so an answer that
// arrives late prolongs nothing, and a cancellation that was confirmed before home
// answered but is not known to home's holder does not either.
func RightUntil(sent, age, lease model.Micros) model.Micros {
	return sent - age + lease - lease/driftDivisor
}

// GoneAfter is how long after home last granted the right nothing of a job can be on the
// guest's machines any more: the right is over, and then the workers' lease.
func GoneAfter(lease, workerLease model.Micros) model.Micros {
	return withDrift(lease) + withDrift(workerLease) + margin
}

// FitsCancel tells whether tasks of a job whose cancellation never reaches the guest are
// gone within the time that a cancellation may take at home.
func FitsCancel(lease, workerLease, cancel model.Micros) bool {
	return GoneAfter(lease, workerLease) <= cancel
}

// Right is a guest's right to run one lent job.
type Right struct{ until model.Micros }

// Extend takes an answer that grants the right. Answers may come in any order.
func (r *Right) Extend(sent, age, lease model.Micros) {
	r.until = max(r.until, RightUntil(sent, age, lease))
}

// Holds tells whether tasks of the job may run now.
func (r *Right) Holds(now model.Micros) bool { return now < r.until }
