package spill

import "woadweir/internal/core/model"

// Timing of a lending in the home cell.
const (
	offerInterval           = 2 * model.Second  // between repeated offers while there is no answer
	offerTimeout            = 12 * model.Second // without a renewal for so long, an offered job is taken back
	minLentTimeBeforeRecall = 5 * model.Second  // a job that was just lent is not recalled
)

// LentJob is the state of a job of this cell that is lent, as kept by the holder of this cell's
// shard (stored as an OutRecord). The holder lends a job only on a durable record, and binds it
// again only when a durable record says that it is home.
type LentJob struct {
	Record OutRecord
	// leaseGranted is set if the execution lease may have been granted under the record's token,
	// last at lastGrantAt: by this holder, or by an earlier one before this one took over.
	leaseGranted bool
	lastGrantAt  model.Micros

	trackedSince    model.Micros // when this holder began to track the lending
	offeredAt       model.Micros
	offered         bool
	renewalReceived bool // the execution cell has asked for the execution lease
	started         bool // the execution cell has reported tasks that are on machines or finished
	runningTasks    int  // tasks on machines in the execution cell's last report
	refused         bool
	recalled        bool
	takingBack      bool
	returned        bool // the execution cell has reported that nothing of the job is left there
}

// NewLentJob returns the state of a lending that this holder has just made durable.
func NewLentJob(record OutRecord, now model.Micros) *LentJob {
	return &LentJob{Record: record, trackedSince: now}
}

// RestoreLentJob returns the state of a lending that a new holder of the shard finds stored. The
// previous holder may have granted the execution lease until the new one took over, but not
// later.
func RestoreLentJob(record OutRecord, now model.Micros) *LentJob {
	return &LentJob{Record: record, trackedSince: now, renewalReceived: true, leaseGranted: true, lastGrantAt: now}
}

// StartOfferIfDue reports whether the job is to be offered now, and if so records the offer.
func (l *LentJob) StartOfferIfDue(now model.Micros) bool {
	if l.renewalReceived || l.refused || l.takingBack || l.offered && now-l.offeredAt < offerInterval {
		return false
	}
	l.offered, l.offeredAt = true, now
	return true
}

// MarkRefused records that the execution cell has refused the job. It does no harm if a
// duplicate of the offer is accepted later: the execution cell would have to ask for the
// execution lease.
func (l *LentJob) MarkRefused() {
	if !l.renewalReceived {
		l.refused = true
	}
}

// Recall requests that the execution cell returns the job, unless it has started there or was
// lent only a moment ago.
func (l *LentJob) Recall(now model.Micros) {
	if !l.started && now-l.trackedSince >= minLentTimeBeforeRecall {
		l.recalled = true
	}
}

// IsRecalled reports whether the job is recalled.
func (l *LentJob) IsRecalled() bool { return l.recalled }

// HasStarted reports whether the execution cell has started the job.
func (l *LentJob) HasStarted() bool { return l.started }

// RunningTasks returns the number of tasks on machines in the execution cell's last report.
func (l *LentJob) RunningTasks() int { return l.runningTasks }

// RenewalReceived reports whether the execution cell has asked for the execution lease.
func (l *LentJob) RenewalReceived() bool { return l.renewalReceived }

// RecordReportAfterEnd records the execution cell's report on a job that has ended. Such a job is
// never granted the execution lease again, so a report that nothing of it is bound there stays
// true.
func (l *LentJob) RecordReportAfterEnd(executionCell string, report *JobReport) {
	if executionCell == l.Record.Cell && report.Token == l.Record.Token && report.Returned {
		l.returned = true
	}
}

// AnswerRenewal returns the verdict on the job for a renewal of the execution cell. The execution
// lease is granted nowhere else. workerLease is the present lease of the execution cell's
// workers, and cancelTime the time that a cancellation may take in this cell.
func (l *LentJob) AnswerRenewal(executionCell string, report *JobReport, workerLease, cancelTime, now model.Micros) VerdictKind {
	if executionCell != l.Record.Cell || report.Token != l.Record.Token {
		return Revoked
	}
	l.renewalReceived = true
	if report.Returned {
		l.returned = true
		return Undecided
	}
	l.runningTasks = report.Running
	l.started = l.started || report.Running > 0 || len(report.Done) > 0 || report.Complete
	switch {
	case l.takingBack:
		return Undecided // until the record says that the job is home
	case l.recalled || workerLease > l.Record.WorkerLease() || !FitsCancel(l.Record.Lease(), l.Record.WorkerLease(), cancelTime):
		return Recalled
	}
	l.leaseGranted, l.lastGrantAt = true, now
	return Granted
}

// TakeBackReason says why the home cell takes a job back. The values appear in traces and keep
// the word guest for the execution cell.
type TakeBackReason string

// The reasons for which a job is taken back.
const (
	ReturnReported  TakeBackReason = "returned by the guest"
	OfferRefused    TakeBackReason = "refused"
	OfferUnanswered TakeBackReason = "the guest did not ask for it"
	LeasesExpired   TakeBackReason = "silent, and its leases are over"
)

// TakeBack reports whether there is proof that nothing of the job is on the execution cell's
// machines or can ever start there under this token. From then on the execution lease is not
// granted any more, so the proof stays valid.
func (l *LentJob) TakeBack(now model.Micros) (TakeBackReason, bool) {
	reason := TakeBackReason("")
	switch {
	case l.returned:
		reason = ReturnReported
	case !l.leaseGranted && l.refused:
		reason = OfferRefused
	case !l.leaseGranted && now-l.trackedSince > offerTimeout:
		reason = OfferUnanswered
	case l.leaseGranted && now-l.lastGrantAt > GoneAfter(l.Record.Lease(), l.Record.WorkerLease()):
		reason = LeasesExpired
	default:
		return "", false
	}
	l.takingBack = true
	return reason, true
}
