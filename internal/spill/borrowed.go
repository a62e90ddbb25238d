package spill

import "woadweir/internal/core/model"

// BorrowedJob is a job that another cell has lent to this one, as the guest's holder sees it.
// A new holder has no right to run anything until it has asked.
type BorrowedJob struct {
	Home  string
	Token uint64

	lease              ExecutionLease
	trackedSince       model.Micros
	started            bool // tasks of it were on machines
	returnRequested    bool // it is to be returned
	returned           bool // the record says that it is returned
	lendingOver        bool // home has said that it is not lent any more
	jobEnded           bool // as it has ended: home waits to hear that nothing is left here
	returnAcknowledged bool // home has heard that
}

// NewBorrowedJob is a hosting without a right to run.
func NewBorrowedJob(record *InRecord, now model.Micros) *BorrowedJob {
	returned := record.State == Returned
	return &BorrowedJob{Home: record.Home, Token: record.Token, trackedSince: now, returnRequested: returned, returned: returned}
}

// Permission tells what a guest may do with the tasks of a lent job.
type Permission uint8

// The phases of a lent job in its guest. Without the right, workers that have tasks of the job get no answer for a
// while, so that the tasks live on until their lease runs out if the right comes back;
// after that they are stopped.
const (
	MayRun Permission = iota
	Withheld
	Stopped
)

// Permission returns the phase at a time. withhold is how long answers are withheld.
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

// HasStarted tells whether tasks of the job were on machines.
func (b *BorrowedJob) HasStarted() bool { return b.started }

// ReturnUnlessStarted requests a return if the job has not begun in the time that a guest
// keeps it.
func (b *BorrowedJob) ReturnUnlessStarted(startTimeout, now model.Micros) {
	if !b.started && now-b.trackedSince > startTimeout {
		b.returnRequested = true
	}
}

// RequestReturn has the job returned once nothing of it is bound.
func (b *BorrowedJob) RequestReturn() { b.returnRequested = true }

// IsReturnRequested tells that the job is to be returned once nothing of it is bound.
func (b *BorrowedJob) IsReturnRequested() bool { return b.returnRequested }

// SetReturned records that the state service holds the return.
func (b *BorrowedJob) SetReturned() { b.returnRequested, b.returned = true, true }

// IsReturned tells that the state service holds the return.
func (b *BorrowedJob) IsReturned() bool { return b.returned }

// IsLendingOver tells that home has said that the job is not lent any more.
func (b *BorrowedJob) IsLendingOver() bool { return b.lendingOver }

// CanForget tells that home needs to hear nothing more of a job that is over here.
func (b *BorrowedJob) CanForget() bool { return b.lendingOver && (!b.jobEnded || b.returnAcknowledged) }

// ReportsReturned tells whether home is to be told that nothing is left here. bound tells whether
// any task is.
func (b *BorrowedJob) ReportsReturned(bound bool) (returned bool) {
	return !bound && (b.returned || b.jobEnded)
}

// ApplyVerdict takes a verdict of the home cell on a question that was sent at that time, and
// told whether the job was reported as returned.
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
