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
func (h *BorrowedJob) Permission(withhold, now model.Micros) Permission {
	switch {
	case h.returnRequested || h.lendingOver:
		return Stopped
	case h.lease.IsValid(now):
		return MayRun
	case now-max(h.lease.expiresAt, h.trackedSince) < withhold:
		return Withheld
	}
	return Stopped
}

// MarkStarted records that tasks of the job are on machines.
func (h *BorrowedJob) MarkStarted() { h.started = true }

// HasStarted tells whether tasks of the job were on machines.
func (h *BorrowedJob) HasStarted() bool { return h.started }

// ReturnUnlessStarted requests a return if the job has not begun in the time that a guest
// keeps it.
func (h *BorrowedJob) ReturnUnlessStarted(start, now model.Micros) {
	if !h.started && now-h.trackedSince > start {
		h.returnRequested = true
	}
}

// RequestReturn has the job returned once nothing of it is bound.
func (h *BorrowedJob) RequestReturn() { h.returnRequested = true }

// IsReturnRequested tells that the job is to be returned once nothing of it is bound.
func (h *BorrowedJob) IsReturnRequested() bool { return h.returnRequested }

// SetReturned records that the state service holds the return.
func (h *BorrowedJob) SetReturned() { h.returnRequested, h.returned = true, true }

// IsReturned tells that the state service holds the return.
func (h *BorrowedJob) IsReturned() bool { return h.returned }

// IsLendingOver tells that home has said that the job is not lent any more.
func (h *BorrowedJob) IsLendingOver() bool { return h.lendingOver }

// CanForget tells that home needs to hear nothing more of a job that is over here.
func (h *BorrowedJob) CanForget() bool { return h.lendingOver && (!h.jobEnded || h.returnAcknowledged) }

// ReportsReturned tells whether home is to be told that nothing is left here. bound tells whether
// any task is.
func (h *BorrowedJob) ReportsReturned(bound bool) (returned bool) {
	return !bound && (h.returned || h.jobEnded)
}

// ApplyVerdict takes a verdict of the home cell on a question that was sent at that time, and
// told whether the job was reported as returned.
func (h *BorrowedJob) ApplyVerdict(v *Verdict, returned bool, sent, age model.Micros) {
	if v.Token != h.Token {
		return
	}
	switch v.Kind {
	case Granted:
		h.lease.Extend(sent, age, v.Lease)
	case Recalled:
		h.returnRequested = true
	case Revoked:
		h.lendingOver, h.jobEnded = true, false
	case Ended:
		h.returnAcknowledged = returned
		h.lendingOver, h.jobEnded = true, true
	}
}
