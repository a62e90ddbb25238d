package spill

import "woadweir/internal/core/model"

// Times of a lending at home.
const (
	offerPeriod   = 2 * model.Second  // between two offers without an answer
	offerPatience = 12 * model.Second // an offer of which nothing is heard is given up
	recallAfter   = 5 * model.Second  // a job is not recalled right after it was lent
)

// Lending is a job of this cell that is lent, as its home's holder sees it. The holder
// lends on a durable record only, and binds the job again only when a durable record says
// that it is home.
type Lending struct {
	Record OutRecord
	// granted tells that the right may have been granted under the record's token, last at
	// lastGrant: by this holder, or by an earlier one before this one's takeover.
	granted   bool
	lastGrant model.Micros

	since      model.Micros
	offeredAt  model.Micros
	offered    bool
	heard      bool // the guest has asked for the right
	running    bool // the guest has reported tasks on machines, or done
	tasks      int  // on machines, as the guest reported last
	refused    bool
	recalled   bool
	takingBack bool
	returned   bool // the guest has reported that nothing is left there
}

// NewLending is a lending that this holder has just made durable.
func NewLending(record OutRecord, now model.Micros) *Lending {
	return &Lending{Record: record, since: now}
}

// RestoredLending is a lending that a new holder finds. The holder before may have
// granted the right until this one took over, and never later.
func RestoredLending(record OutRecord, now model.Micros) *Lending {
	return &Lending{Record: record, since: now, heard: true, granted: true, lastGrant: now}
}

// OfferDue tells that the job is to be offered now, and notes that it is.
func (l *Lending) OfferDue(now model.Micros) bool {
	if l.heard || l.refused || l.takingBack || l.offered && now-l.offeredAt < offerPeriod {
		return false
	}
	l.offered, l.offeredAt = true, now
	return true
}

// Refuse notes that the guest has refused the job. A copy of the offer that is taken
// later does no harm: the guest would have to ask for the right to run it.
func (l *Lending) Refuse() {
	if !l.heard {
		l.refused = true
	}
}

// Recall has the guest asked to return the job, if it has not begun.
func (l *Lending) Recall(now model.Micros) {
	if !l.running && now-l.since >= recallAfter {
		l.recalled = true
	}
}

// Recalled tells that the job is to be returned.
func (l *Lending) Recalled() bool { return l.recalled }

// Running tells that the guest has begun the job.
func (l *Lending) Running() bool { return l.running }

// LastRunning is how many tasks the guest last told to be on machines.
func (l *Lending) LastRunning() int { return l.tasks }

// Heard tells that the guest has asked for the job.
func (l *Lending) Heard() bool { return l.heard }

// AnswerEnded takes in what the guest tells of a job that has ended. It is never granted
// the right again, so that nothing is bound there stays true.
func (l *Lending) AnswerEnded(guest string, report *JobReport) {
	if guest == l.Record.Cell && report.Token == l.Record.Token && report.Returned {
		l.returned = true
	}
}

// Answer decides what the guest's question about the job is answered. Only here the right
// is granted. workerLease is that of the guest's workers now, and cancel what home allows
// for a cancellation.
func (l *Lending) Answer(guest string, report *JobReport, workerLease, cancel, now model.Micros) VerdictKind {
	if guest != l.Record.Cell || report.Token != l.Record.Token {
		return Revoked
	}
	l.heard = true
	if report.Returned {
		l.returned = true
		return Undecided
	}
	l.tasks = report.Running
	l.running = l.running || report.Running > 0 || len(report.Done) > 0 || report.Complete
	switch {
	case l.takingBack:
		return Undecided // until the record says that it is home
	case l.recalled || workerLease > l.Record.WorkerLease() || !FitsCancel(l.Record.Lease(), l.Record.WorkerLease(), cancel):
		return Recalled
	}
	l.granted, l.lastGrant = true, now
	return Granted
}

// ReturnReason tells why a job is taken back.
type ReturnReason string

// The reasons for which a job is taken back.
const (
	GuestReturned ReturnReason = "returned by the guest"
	GuestRefused  ReturnReason = "refused"
	NeverTaken    ReturnReason = "the guest did not ask for it"
	GuestSilent   ReturnReason = "silent, and its leases are over"
)

// TakeBack reports whether there is proof that nothing of the job is on the guest's
// machines or can ever start there under this token. From then on the right is not granted
// any more, so the proof stands.
func (l *Lending) TakeBack(now model.Micros) (ReturnReason, bool) {
	reason := ReturnReason("")
	switch {
	case l.returned:
		reason = GuestReturned
	case !l.granted && l.refused:
		reason = GuestRefused
	case !l.granted && now-l.since > offerPatience:
		reason = NeverTaken
	case l.granted && now-l.lastGrant > GoneAfter(l.Record.Lease(), l.Record.WorkerLease()):
		reason = GuestSilent
	default:
		return "", false
	}
	l.takingBack = true
	return reason, true
}
