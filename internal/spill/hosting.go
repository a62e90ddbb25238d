package spill

import "woadweir/internal/core/model"

// Hosting is a job that another cell has lent to this one, as the guest's holder sees it.
// A new holder has no right to run anything until it has asked.
type Hosting struct {
	Home  string
	Token uint64

	right    Right
	since    model.Micros
	begun    bool // tasks of it were on machines
	giving   bool // it is to be returned
	returned bool // the record says that it is returned
	over     bool // home has said that it is not lent any more
	ended    bool // as it has ended: home waits to hear that nothing is left here
	left     bool // home has heard that
}

// NewHosting is a hosting without a right to run.
func NewHosting(record *InRecord, now model.Micros) *Hosting {
	returned := record.State == Returned
	return &Hosting{Home: record.Home, Token: record.Token, since: now, giving: returned, returned: returned}
}

// Phase is what may be done with the tasks of a lent job.
type Phase uint8

// The phases. Without the right, workers that have tasks of the job get no answer for a
// while, so that the tasks live on until their lease runs out if the right comes back;
// after that they are stopped.
const (
	MayRun Phase = iota
	Withheld
	Stopped
)

// Phase tells what may be done now. withhold is how long answers are withheld.
func (h *Hosting) Phase(withhold, now model.Micros) Phase {
	switch {
	case h.giving || h.over:
		return Stopped
	case h.right.Holds(now):
		return MayRun
	case now-max(h.right.until, h.since) < withhold:
		return Withheld
	}
	return Stopped
}

// Begun notes that tasks of the job are on machines.
func (h *Hosting) Begun() { h.begun = true }

// HasBegun tells whether tasks of the job were on machines.
func (h *Hosting) HasBegun() bool { return h.begun }

// Consider has the job returned if it has not begun in the time that a guest keeps it.
func (h *Hosting) Consider(start, now model.Micros) {
	if !h.begun && now-h.since > start {
		h.giving = true
	}
}

// ScaleIn has the job returned.
func (h *Hosting) ScaleIn() { h.giving = true }

// GivingBack tells that the job is to be returned once nothing of it is bound.
func (h *Hosting) GivingBack() bool { return h.giving }

// SetReturned notes that the state service holds the return.
func (h *Hosting) SetReturned() { h.giving, h.returned = true, true }

// IsReturned tells that the state service holds the return.
func (h *Hosting) IsReturned() bool { return h.returned }

// IsOver tells that home has said that the job is not lent any more.
func (h *Hosting) IsOver() bool { return h.over }

// Forgettable tells that home needs to hear nothing more of a job that is over here.
func (h *Hosting) Forgettable() bool { return h.over && (!h.ended || h.left) }

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
		h.giving = true
	case Revoked:
		h.over, h.ended = true, false
	case Ended:
		h.left = returned
		h.over, h.ended = true, true
	}
}
