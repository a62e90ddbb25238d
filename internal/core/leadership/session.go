package leadership

import "woadweir/internal/core/model"

// CallKind is a request that the session needs made of the state service.
type CallKind uint8

// The session's requests.
const (
	CallRead  CallKind = iota // read the node's key
	CallEnd                   // end lease ID
	CallGrant                 // open a lease
	CallPut                   // put the node's key under lease ID if its version is Revision
	CallTouch                 // renew lease ID
)

// Call is the next request, to be made after a pause.
type Call struct {
	Kind     CallKind
	After    model.Micros
	ID       uint64
	Revision uint64
}

// Outcome says how a request ended.
type Outcome uint8

// Outcomes of a request. Unclear covers all that may or may not have been
// carried out, and all that was refused.
const (
	Good Outcome = iota
	Missing
	Conflict
	Unclear
)

// Reply is what came of a Call.
type Reply struct {
	Outcome  Outcome
	ID       uint64 // CallRead: the lease in the node's key; CallGrant: the new lease
	Revision uint64 // CallRead: the version of the node's key
}

// News is what the session's owner has to know.
type News struct {
	Any  bool
	ID   uint64       // 0: the session is over
	Sent model.Micros // when the request that renewed it was sent
}

const sessionRetry = 250 * model.Millisecond

// Session keeps one lease for this process, step by step. A process that
// starts first ends the lease of the process that was this node before: only
// this node writes its key, so that process is no more, and what it led need
// not wait for its lease to run out.
type Session struct {
	ttl     model.Micros
	call    Call
	sent    model.Micros
	granted model.Micros
	id      uint64
	stamp   uint64
	ended   uint64 // a former lease that was ended
}

// NewSession begins with reading the node's key.
func NewSession(ttl model.Micros) *Session { return &Session{ttl: ttl} }

// Next is the request to be made now; sent is when it leaves.
func (s *Session) Next() Call { return s.call }

// Sending notes when the request of Next leaves.
func (s *Session) Sending(now model.Micros) { s.sent = now }

// ID is the lease being kept, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// Abandon has the lease ended instead of renewed: its owner has stopped acting
// under it. It must not be called while a request is on its way.
func (s *Session) Abandon(id uint64) {
	if id != 0 && id == s.id {
		s.id = 0
		s.call = Call{Kind: CallEnd, ID: id}
	}
}

// Take takes the outcome of the request and decides the next.
func (s *Session) Take(r Reply) (n News) {
	retry := func() { s.call = Call{Kind: CallRead, After: sessionRetry} }
	switch s.call.Kind {
	case CallRead:
		switch {
		case r.Outcome == Missing:
			s.stamp = 0
			s.call = Call{Kind: CallGrant}
		case r.Outcome != Good:
			retry()
		case r.ID != 0 && r.ID != s.ended:
			s.call = Call{Kind: CallEnd, ID: r.ID}
		default:
			s.stamp = r.Revision
			s.call = Call{Kind: CallGrant}
		}
	case CallEnd:
		if r.Outcome == Unclear {
			retry()
			break
		}
		s.ended = s.call.ID
		s.call = Call{Kind: CallRead}
	case CallGrant:
		if r.Outcome != Good {
			retry()
			break
		}
		s.granted = s.sent
		s.call = Call{Kind: CallPut, ID: r.ID, Revision: s.stamp}
	case CallPut:
		if r.Outcome != Good {
			retry()
			break
		}
		s.id = s.call.ID
		s.call = Call{Kind: CallTouch, ID: s.id, After: s.ttl / 6}
		return News{true, s.id, s.granted}
	case CallTouch:
		switch r.Outcome {
		case Good:
			s.call.After = s.ttl / 6
			return News{true, s.id, s.sent}
		case Missing:
			s.id = 0
			s.call = Call{Kind: CallRead}
			return News{Any: true}
		default:
			s.call.After = sessionRetry
		}
	}
	return News{}
}
