package spill

import "woadweir/internal/core/model"

// Hosting is a job that another cell has lent to this one, as the guest's holder sees it.
// A new holder has no right to run anything until it has asked.
type Hosting struct {
	Home  string
	Token uint64

	right     Right
	since     model.Micros
	begun     bool // tasks of it were on machines
	returning bool // it is to be returned
	returned  bool // the record says that it is returned
	over      bool // home has said that it is not lent any more
	ended     bool // as it has ended: home waits to hear that nothing is left here
	cleared   bool // home has heard that
}

// NewHosting is a hosting without a right to run.
func NewHosting(record *InRecord, now model.Micros) *Hosting {
	returned := record.State == Returned
	return &Hosting{Home: record.Home, Token: record.Token, since: now, returning: returned, returned: returned}
}

// Phase tells what a guest may do with the tasks of a lent job.
type Phase uint8

// The phases of a lent job in its guest. Without the right, workers that have tasks of the job get no answer for a
// while, so that the tasks live on until their lease runs out if the right comes back;
// after that they are stopped.
const (
	MayRun Phase = iota
	Withheld
	Stopped
)

// Phase returns the phase at a time. withhold is how long answers are withheld.
func (h *Hosting) Phase(withhold, now model.Micros) Phase {
	switch {
	case h.returning || h.over:
		return Stopped
	case h.right.Holds(now):
		return MayRun
	case now-max(h.right.until, h.since) < withhold:
		return Withheld
	}
	return Stopped
}

// Begun records that tasks of the job are on machines.
func (h *Hosting) Begun() { h.begun = true }

// HasBegun tells whether tasks of the job were on machines.
func (h *Hosting) HasBegun() bool { return h.begun }

// ReturnUnlessBegun requests a return if the job has not begun in the time that a guest
// keeps it.
func (h *Hosting) ReturnUnlessBegun(start, now model.Micros) {
	if !h.begun && now-h.since > start {
		h.returning = true
	}
}

// RequestReturn has the job returned once nothing of it is bound.
func (h *Hosting) RequestReturn() { h.returning = true }

// ReturnRequested tells that the job is to be returned once nothing of it is bound.
func (h *Hosting) ReturnRequested() bool { return h.returning }

// SetReturned records that the state service holds the return.
func (h *Hosting) SetReturned() { h.returning, h.returned = true, true }

// IsReturned tells that the state service holds the return.
func (h *Hosting) IsReturned() bool { return h.returned }

// IsOver tells that home has said that the job is not lent any more.
func (h *Hosting) IsOver() bool { return h.over }

// Forgettable tells that home needs to hear nothing more of a job that is over here.
func (h *Hosting) Forgettable() bool { return h.over && (!h.ended || h.cleared) }

// Report tells whether home is to be told that nothing is left here. bound tells whether
// any task is.
func (h *Hosting) Report(bound bool) (returned bool) {
	return !bound && (h.returned || h.ended)
}

// Heard takes a verdict of the home cell on a question that was sent at that time, and
// told whether the job was reported as returned.
func (h *Hosting) Heard(v *Verdict, returned bool, sent, age model.Micros) {
	if v.Token != h.Token {
		return
	}
	switch v.Kind {
	case Granted:
		h.right.Extend(sent, age, v.Lease)
	case Recalled:
		h.returning = true
	case Revoked:
		h.over, h.ended = true, false
	case Ended:
		h.cleared = returned
		h.over, h.ended = true, true
	}
}
