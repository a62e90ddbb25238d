package spill

import "woadweir/internal/core/model"

// BorrowedJob is the state of a job that another cell has lent to this one, as kept by the
// holder of this cell's shard (stored as an InRecord). After a change of the shard's holder
// the new one has no execution lease until it has renewed it.
type BorrowedJob struct {
	Home  string
	Token uint64

	lease              ExecutionLease
	trackedSince       model.Micros // when this holder began to track the job
	started            bool         // tasks of it have been on machines
	returnRequested    bool         // it is to be returned
	returned           bool         // the stored record has the state Returned
	lendingOver        bool         // the home cell has answered Revoked or Ended
	jobEnded           bool         // the answer was Ended: the home cell waits for the report that nothing is left here
	returnAcknowledged bool         // the home cell has received that report
}

// NewBorrowedJob returns the state of a borrowed job without an execution lease.
func NewBorrowedJob(record *InRecord, now model.Micros) *BorrowedJob {
	returned := record.State == Returned
	return &BorrowedJob{Home: record.Home, Token: record.Token, trackedSince: now, returnRequested: returned, returned: returned}
}

// Permission says what an execution cell may do with the tasks of a borrowed job.
type Permission uint8

// The permissions. Without a valid execution lease, answers to the workers that have tasks of
// the job are withheld for a while: the tasks run on until the worker lease expires, in case the
// execution lease is renewed. After that the tasks are stopped.
const (
	MayRun Permission = iota
	Withheld
	Stopped
)

// Permission returns the permission at the time now. withholdTime is how long answers to workers
// are withheld.
func (b *BorrowedJob) Permission(withholdTime, now model.Micros) Permission {
	switch {
	case b.returnRequested || b.lendingOver:
		return Stopped
	case b.lease.IsValid(now):
		return MayRun
	case now-max(b.lease.expiresAt, b.trackedSince) < withholdTime:
		return Withheld
	}
	return Stopped
}

// MarkStarted records that tasks of the job are on machines.
func (b *BorrowedJob) MarkStarted() { b.started = true }

// HasStarted reports whether tasks of the job have been on machines.
func (b *BorrowedJob) HasStarted() bool { return b.started }

// ReturnUnlessStarted requests a return if the job has not started within startTimeout.
func (b *BorrowedJob) ReturnUnlessStarted(startTimeout, now model.Micros) {
	if !b.started && now-b.trackedSince > startTimeout {
		b.returnRequested = true
	}
}

// RequestReturn requests that the job is returned once none of its tasks is bound.
func (b *BorrowedJob) RequestReturn() { b.returnRequested = true }

// IsReturnRequested reports whether the job is to be returned once none of its tasks is bound.
func (b *BorrowedJob) IsReturnRequested() bool { return b.returnRequested }

// SetReturned records that the return is stored in the state service.
func (b *BorrowedJob) SetReturned() { b.returnRequested, b.returned = true, true }

// IsReturned reports whether the return is stored in the state service.
func (b *BorrowedJob) IsReturned() bool { return b.returned }

// IsLendingOver reports whether the home cell has said that the job is no longer lent.
func (b *BorrowedJob) IsLendingOver() bool { return b.lendingOver }

// CanForget reports whether the lending is over and the home cell needs no further report.
func (b *BorrowedJob) CanForget() bool { return b.lendingOver && (!b.jobEnded || b.returnAcknowledged) }

// ReportsReturned reports whether the home cell is to be told that nothing of the job is left
// here. bound says whether any task is still bound.
func (b *BorrowedJob) ReportsReturned(bound bool) (returned bool) {
	return !bound && (b.returned || b.jobEnded)
}

// ApplyVerdict applies the home cell's verdict in the answer to a renewal that was sent at the
// time sent. returned says whether that renewal reported the job as returned; age is the
// answer's RenewalAnswer.Age.
func (b *BorrowedJob) ApplyVerdict(verdict *Verdict, returned bool, sent, age model.Micros) {
	if verdict.Token != b.Token {
		return
	}
	switch verdict.Kind {
	case Granted:
		b.lease.Extend(sent, age, verdict.Lease)
	case Recalled:
		b.returnRequested = true
	case Revoked:
		b.lendingOver, b.jobEnded = true, false
	case Ended:
		b.returnAcknowledged = returned
		b.lendingOver, b.jobEnded = true, true
	}
}
