package leadership

import "woadweir/internal/core/model"

// CallKind is the kind of a request that the session makes to the state service.
type CallKind uint8

// The session's requests.
const (
	CallRead   CallKind = iota // read the node's key
	CallRevoke                 // revoke the lease
	CallGrant                  // grant a lease
	CallPut                    // put the node's key under the lease if the key is still at Revision
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

// The outcomes of a request.
const (
	Succeeded Outcome = iota
	Missing           // the key or the lease does not exist
	Conflict          // the key is not at the expected revision
	Unclear           // the request may or may not have been executed, or was rejected
)

// Reply is the result of a Call.
type Reply struct {
	Outcome  Outcome
	LeaseID  uint64 // CallRead: the lease of the node's key; CallGrant: the new lease
	Revision uint64 // CallRead: the revision of the node's key
}

// SessionChange reports to the owner of a session that its lease was granted, renewed or
// lost.
type SessionChange struct {
	Changed bool         // false if there is nothing to report
	LeaseID uint64       // 0 if the session has ended
	SentAt  model.Micros // when the request that granted or renewed the lease was sent
}

const (
	// sessionRetryDelay is the delay before a failed request is repeated.
	sessionRetryDelay = 250 * model.Millisecond
	// renewalsPerTTL is the number of renewals that are sent within the TTL of the lease.
	renewalsPerTTL = 6
)

// Session maintains one lease for this process. It is a state machine: its owner makes the
// request that Next returns, and passes the result to HandleReply. A process that starts
// first revokes the lease of its predecessor on the same node. Only this node writes its
// key, so the predecessor has ended, and its leadership need not last until its lease
// expires.
type Session struct {
	ttl       model.Micros
	call      Call         // next request
	sentAt    model.Micros // when that request was sent
	grantedAt model.Micros // when the request that granted the lease was sent
	leaseID   uint64       // current lease, 0 if there is none
	revision  uint64       // revision of the node's key before the lease was granted
	revokedID uint64       // former lease that was revoked
}

// NewSession returns a session that begins by reading the node's key.
func NewSession(ttl model.Micros) *Session { return &Session{ttl: ttl} }

// Next returns the request to be made now.
func (s *Session) Next() Call { return s.call }

// Sending records when the request returned by Next is sent.
func (s *Session) Sending(now model.Micros) { s.sentAt = now }

// Abandon makes the session revoke its lease instead of renewing it, as its owner has
// stopped acting under it. It must not be called between Sending and HandleReply.
func (s *Session) Abandon(leaseID uint64) {
	if leaseID != 0 && leaseID == s.leaseID {
		s.leaseID = 0
		s.call = Call{Kind: CallRevoke, LeaseID: leaseID}
	}
}

// HandleReply processes the result of the request, and determines the next one.
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

// restart reads the node's key again, as it shows whether the failed request was executed.
func (s *Session) restart() { s.call = Call{Kind: CallRead, After: sessionRetryDelay} }

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
		s.call.After = sessionRetryDelay
		return SessionChange{}
	}
}
