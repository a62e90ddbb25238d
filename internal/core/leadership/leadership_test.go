package leadership

import (
	"testing"

	"woadweir/internal/core/model"
)

// Authority counts from when a request was sent, not from when its response arrived, and
// requires both a session and a view that is up to date.
func TestAuthority(t *testing.T) {
	times := LeaseTimes{TTL: 10 * model.Second, Margin: model.Second / 2}
	authority := Authority{Times: times}
	authority.Renewed(5 * model.Second)
	if authority.IsValid(6 * model.Second) {
		t.Error("authority is valid without a view")
	}
	authority.ViewSynced(3 * model.Second)
	end := times.ValidUntil(3 * model.Second)
	if end > 13*model.Second-times.Margin || end < 12*model.Second {
		t.Errorf("authority ends at %v, want a time in [%v, %v]", end, 12*model.Second, 13*model.Second-times.Margin)
	}
	if !authority.IsValid(end-1) || authority.IsValid(end) {
		t.Error("authority does not end with the older of session and view")
	}
	authority.Renewed(4 * model.Second) // an older response that arrives late
	authority.ViewSynced(20 * model.Second)
	if authority.IsValid(times.ValidUntil(5 * model.Second)) {
		t.Error("authority is valid after the session has expired")
	}
	authority.Revoke()
	if authority.IsValid(6 * model.Second) {
		t.Error("authority is valid after the session was revoked")
	}
}

// A process that starts revokes the session of its predecessor before it opens its own. If
// a request gets no response, it may have been executed: the session starts over, and
// revokes a lease that the request may have left behind.
func TestSessionRevokesEarlierLeases(t *testing.T) {
	session := NewSession(10 * model.Second)
	step := func(kind CallKind, reply Reply) SessionChange {
		t.Helper()
		if call := session.Next(); call.Kind != kind {
			t.Fatalf("request %v, want %v", call.Kind, kind)
		}
		session.Sending(7 * model.Second)
		return session.HandleReply(reply)
	}
	step(CallRead, Reply{LeaseID: 3, Revision: 40})
	if session.Next().LeaseID != 3 {
		t.Fatal("the predecessor's lease is not revoked")
	}
	step(CallRevoke, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{LeaseID: 9})
	step(CallPut, Reply{Outcome: Unclear})
	step(CallRead, Reply{LeaseID: 9, Revision: 50}) // the put was executed after all
	if session.Next().LeaseID != 9 {
		t.Fatal("a lease of the session itself is left behind")
	}
	step(CallRevoke, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{LeaseID: 10})
	if change := step(CallPut, Reply{}); change.LeaseID != 10 || change.SentAt != 7*model.Second {
		t.Fatalf("change %+v, want lease 10, sent at %v", change, 7*model.Second)
	}
	if change := step(CallRenew, Reply{Outcome: Unclear}); change.Changed {
		t.Fatal("a renewal without a response is reported as successful")
	}
	if change := step(CallRenew, Reply{Outcome: Missing}); !change.Changed || change.LeaseID != 0 {
		t.Fatal("the end of the session is not reported")
	}
}
