package leadership

import "woadweir/internal/core/model"

// CallKind is a kind of request that the session needs made to the state service.
type CallKind uint8

// The session's requests.
const (
	CallRead   CallKind = iota // read the node's key
	CallRevoke                 // revoke the lease
	CallGrant                  // open a lease
	CallPut                    // put the node's key under the lease if the key is at Revision
	CallRenew                  // renew the lease
)

// Call is a request to be made after a delay.
type Call struct {
	Kind     CallKind
	After    model.Micros
	LeaseID  uint64
	Revision uint64
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of a request. Unclear covers all requests that may or may not have been
// executed, and all that were rejected.
const (
	Succeeded Outcome = iota
	Missing
	Conflict
	Unclear
)

// Reply is the result of a Call.
type Reply struct {
	Outcome  Outcome
	LeaseID  uint64 // CallRead: the lease in the node's key; CallGrant: the new lease
	Revision uint64 // CallRead: the revision of the node's key
}

// SessionChange tells the session's owner that its lease was opened, renewed or lost.
type SessionChange struct {
	Changed bool         // false: nothing to tell
	LeaseID uint64       // 0: the session is over
	SentAt  model.Micros // when the request that opened or renewed it was sent
}

const (
	// sessionRetry is the delay before a failed request is repeated.
	sessionRetry = 250 * model.Millisecond
	// renewalsPerTTL is how many renewals are sent within the lease's TTL.
	renewalsPerTTL = 6
)

// Session keeps one lease for this process, as a state machine: its owner makes the
// request of Next, and passes the result to HandleReply. A process that starts first
// revokes the lease of its predecessor on the same node: only this node writes its key,
// so that process is no more, and what it led need not wait for its lease to expire.
type Session struct {
	ttl       model.Micros
	call      Call
	sentAt    model.Micros
	grantedAt model.Micros
	leaseID   uint64
	revision  uint64 // of the node's key before the lease was opened
	revokedID uint64 // a former lease that was revoked
}

// NewSession makes a session that begins with reading the node's key.
func NewSession(ttl model.Micros) *Session { return &Session{ttl: ttl} }

// Next is the request to be made now.
func (s *Session) Next() Call { return s.call }

// Sending notes when the request of Next is sent.
func (s *Session) Sending(now model.Micros) { s.sentAt = now }

// Abandon has the lease revoked instead of renewed: its owner has stopped acting under
// it. It must not be called between Sending and HandleReply.
func (s *Session) Abandon(leaseID uint64) {
	if leaseID != 0 && leaseID == s.leaseID {
		s.leaseID = 0
		s.call = Call{Kind: CallRevoke, LeaseID: leaseID}
	}
}

// HandleReply takes the result of the request, and decides on the next one.
func (s *Session) HandleReply(reply Reply) SessionChange {
	switch s.call.Kind {
	case CallRead:
		s.handleRead(reply)
	case CallRevoke:
		s.handleRevoke(reply)
	case CallGrant:
		s.handleGrant(reply)
	case CallPut:
		return s.handlePut(reply)
	case CallRenew:
		return s.handleRenew(reply)
	}
	return SessionChange{}
}

// restart reads the node's key again: it tells whether the failed request was executed.
func (s *Session) restart() { s.call = Call{Kind: CallRead, After: sessionRetry} }

func (s *Session) handleRead(reply Reply) {
	switch {
	case reply.Outcome == Missing:
		s.revision = 0
		s.call = Call{Kind: CallGrant}
	case reply.Outcome != Succeeded:
		s.restart()
	case reply.LeaseID != 0 && reply.LeaseID != s.revokedID:
		s.call = Call{Kind: CallRevoke, LeaseID: reply.LeaseID}
	default:
		s.revision = reply.Revision
		s.call = Call{Kind: CallGrant}
	}
}

func (s *Session) handleRevoke(reply Reply) {
	if reply.Outcome == Unclear {
		s.restart()
		return
	}
	s.revokedID = s.call.LeaseID
	s.call = Call{Kind: CallRead}
}

func (s *Session) handleGrant(reply Reply) {
	if reply.Outcome != Succeeded {
		s.restart()
		return
	}
	s.grantedAt = s.sentAt
	s.call = Call{Kind: CallPut, LeaseID: reply.LeaseID, Revision: s.revision}
}

func (s *Session) handlePut(reply Reply) SessionChange {
	if reply.Outcome != Succeeded {
		s.restart()
		return SessionChange{}
	}
	s.leaseID = s.call.LeaseID
	s.call = Call{Kind: CallRenew, LeaseID: s.leaseID, After: s.ttl / renewalsPerTTL}
	return SessionChange{Changed: true, LeaseID: s.leaseID, SentAt: s.grantedAt}
}

func (s *Session) handleRenew(reply Reply) SessionChange {
	switch reply.Outcome {
	case Succeeded:
		s.call.After = s.ttl / renewalsPerTTL
		return SessionChange{Changed: true, LeaseID: s.leaseID, SentAt: s.sentAt}
	case Missing:
		s.leaseID = 0
		s.call = Call{Kind: CallRead}
		return SessionChange{Changed: true}
	default:
		s.call.After = sessionRetry
		return SessionChange{}
	}
}
