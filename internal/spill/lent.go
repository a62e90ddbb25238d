package spill

import "woadweir/internal/core/model"

// Times of a lending at home.
const (
	offerInterval           = 2 * model.Second  // between two offers without an answer
	offerTimeout            = 12 * model.Second // an offer of which nothing is heard is given up
	minLentTimeBeforeRecall = 5 * model.Second  // a job is not recalled right after it was lent
)

// LentJob is a job of this cell that is lent, as its home's holder sees it. The holder
// lends on a durable record only, and binds the job again only when a durable record says
// that it is home.
type LentJob struct {
	Record OutRecord
	// leaseGranted tells that the right may have been granted under the record's token, last at
	// lastGrant: by this holder, or by an earlier one before this one's takeover.
	leaseGranted bool
	lastGrantAt  model.Micros

	trackedSince    model.Micros
	offeredAt       model.Micros
	offered         bool
	renewalReceived bool // the guest has asked for the right
	started         bool // the guest has reported tasks on machines, or done
	runningTasks    int  // on machines, as the guest reported last
	refused         bool
	recalled        bool
	takingBack      bool
	returned        bool // the guest has reported that nothing is left there
}

// NewLentJob is a lending that this holder has just made durable.
func NewLentJob(record OutRecord, now model.Micros) *LentJob {
	return &LentJob{Record: record, trackedSince: now}
}

// RestoreLentJob is a lending that a new holder finds. The holder before may have
// granted the right until this one took over, and never later.
func RestoreLentJob(record OutRecord, now model.Micros) *LentJob {
	return &LentJob{Record: record, trackedSince: now, renewalReceived: true, leaseGranted: true, lastGrantAt: now}
}

// StartOfferIfDue tells that the job is to be offered now, and notes that it is.
func (l *LentJob) StartOfferIfDue(now model.Micros) bool {
	if l.renewalReceived || l.refused || l.takingBack || l.offered && now-l.offeredAt < offerInterval {
		return false
	}
	l.offered, l.offeredAt = true, now
	return true
}

// MarkRefused notes that the guest has refused the job. A copy of the offer that is taken
// later does no harm: the guest would have to ask for the right to run it.
func (l *LentJob) MarkRefused() {
	if !l.renewalReceived {
		l.refused = true
	}
}

// Recall has the guest asked to return the job, if it has not begun.
func (l *LentJob) Recall(now model.Micros) {
	if !l.started && now-l.trackedSince >= minLentTimeBeforeRecall {
		l.recalled = true
	}
}

// IsRecalled tells that the job is to be returned.
func (l *LentJob) IsRecalled() bool { return l.recalled }

// HasStarted tells that the guest has begun the job.
func (l *LentJob) HasStarted() bool { return l.started }

// RunningTasks is how many tasks the guest last told to be on machines.
func (l *LentJob) RunningTasks() int { return l.runningTasks }

// RenewalReceived tells that the guest has asked for the job.
func (l *LentJob) RenewalReceived() bool { return l.renewalReceived }

// RecordReportAfterEnd takes in what the guest tells of a job that has ended. It is never granted
// the right again, so that nothing is bound there stays true.
func (l *LentJob) RecordReportAfterEnd(executionCell string, report *JobReport) {
	if executionCell == l.Record.Cell && report.Token == l.Record.Token && report.Returned {
		l.returned = true
	}
}

// AnswerRenewal decides what the guest's question about the job is answered. Only here the right
// is granted. workerLease is that of the guest's workers now, and cancel what home allows
// for a cancellation.
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
		return Undecided // until the record says that it is home
	case l.recalled || workerLease > l.Record.WorkerLease() || !FitsCancel(l.Record.Lease(), l.Record.WorkerLease(), cancelTime):
		return Recalled
	}
	l.leaseGranted, l.lastGrantAt = true, now
	return Granted
}

// TakeBackReason tells why a job is taken back.
type TakeBackReason string

// The reasons for which a job is taken back.
const (
	ReturnReported  TakeBackReason = "returned by the guest"
	OfferRefused    TakeBackReason = "refused"
	OfferUnanswered TakeBackReason = "the guest did not ask for it"
	LeasesExpired   TakeBackReason = "silent, and its leases are over"
)

// TakeBack reports whether there is proof that nothing of the job is on the guest's
// machines or can ever start there under this token. From then on the right is not granted
// any more, so the proof stands.
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
