package leadership

import (
	"testing"

	"woadweir/internal/core/model"
)

// Authority counts from when the request was sent, not from when its answer
// came, and needs both the session and a view that was caught up.
func TestAuthority(t *testing.T) {
	s := LeaseTimes{TTL: 10 * model.Second, Margin: model.Second / 2}
	a := Authority{Times: s}
	a.Renewed(5 * model.Second)
	if a.IsValid(6 * model.Second) {
		t.Error("authority without a view")
	}
	a.ViewSynced(3 * model.Second)
	end := s.ValidUntil(3 * model.Second)
	if end > 13*model.Second-s.Margin || end < 12*model.Second {
		t.Errorf("authority until %v", end)
	}
	if !a.IsValid(end-1) || a.IsValid(end) {
		t.Error("authority does not end with the older of session and view")
	}
	a.Renewed(4 * model.Second) // an answer that was overtaken
	a.ViewSynced(20 * model.Second)
	if a.IsValid(s.ValidUntil(5 * model.Second)) {
		t.Error("authority outlives the session")
	}
	a.Revoke()
	if a.IsValid(6 * model.Second) {
		t.Error("authority after the session's end")
	}
}

// A process that starts ends the session of its predecessor before it opens its
// own; one whose request had no answer starts over and leaves none behind.
func TestSessionEndsPredecessor(t *testing.T) {
	s := NewSession(10 * model.Second)
	step := func(kind CallKind, r Reply) SessionChange {
		t.Helper()
		if c := s.Next(); c.Kind != kind {
			t.Fatalf("request %v, want %v", c.Kind, kind)
		}
		s.Sending(7 * model.Second)
		return s.HandleReply(r)
	}
	step(CallRead, Reply{LeaseID: 3, Revision: 40})
	if s.Next().LeaseID != 3 {
		t.Fatal("the predecessor's session is not ended")
	}
	step(CallRevoke, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{LeaseID: 9})
	step(CallPut, Reply{Outcome: Unclear})
	step(CallRead, Reply{LeaseID: 9, Revision: 50}) // it was carried out after all
	if s.Next().LeaseID != 9 {
		t.Fatal("a session that may be ours is left behind")
	}
	step(CallRevoke, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{LeaseID: 10})
	if n := step(CallPut, Reply{}); n.LeaseID != 10 || n.SentAt != 7*model.Second {
		t.Fatalf("change %+v", n)
	}
	if n := step(CallRenew, Reply{Outcome: Unclear}); n.Changed {
		t.Fatal("a touch without an answer renews")
	}
	if n := step(CallRenew, Reply{Outcome: Missing}); !n.Changed || n.LeaseID != 0 {
		t.Fatal("the end of the session is not told")
	}
}
