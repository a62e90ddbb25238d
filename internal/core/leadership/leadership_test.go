package leadership

import (
	"testing"

	"woadweir/internal/core/model"
)

// Authority counts from when the request was sent, not from when its answer
// came, and needs both the session and a view that was caught up.
func TestAuthority(t *testing.T) {
	s := Spans{TTL: 10 * model.Second, Margin: model.Second / 2}
	a := Authority{Spans: s}
	a.Touched(5 * model.Second)
	if a.Holds(6 * model.Second) {
		t.Error("authority without a view")
	}
	a.Synced(3 * model.Second)
	end := s.Until(3 * model.Second)
	if end > 13*model.Second-s.Margin || end < 12*model.Second {
		t.Errorf("authority until %v", end)
	}
	if !a.Holds(end-1) || a.Holds(end) {
		t.Error("authority does not end with the older of session and view")
	}
	a.Touched(4 * model.Second) // an answer that was overtaken
	a.Synced(20 * model.Second)
	if a.Holds(s.Until(5 * model.Second)) {
		t.Error("authority outlives the session")
	}
	a.Ended()
	if a.Holds(6 * model.Second) {
		t.Error("authority after the session's end")
	}
}

// A process that starts ends the session of its predecessor before it opens its
// own; one whose request had no answer starts over and leaves none behind.
func TestSessionEndsPredecessor(t *testing.T) {
	s := NewSession(10 * model.Second)
	step := func(kind CallKind, r Reply) News {
		t.Helper()
		if c := s.Next(); c.Kind != kind {
			t.Fatalf("request %v, want %v", c.Kind, kind)
		}
		s.Sending(7 * model.Second)
		return s.Take(r)
	}
	step(CallRead, Reply{ID: 3, Revision: 40})
	if s.Next().ID != 3 {
		t.Fatal("the predecessor's session is not ended")
	}
	step(CallEnd, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{ID: 9})
	step(CallPut, Reply{Outcome: Unclear})
	step(CallRead, Reply{ID: 9, Revision: 50}) // it was carried out after all
	if s.Next().ID != 9 {
		t.Fatal("a session that may be ours is left behind")
	}
	step(CallEnd, Reply{})
	step(CallRead, Reply{Outcome: Missing})
	step(CallGrant, Reply{ID: 10})
	if n := step(CallPut, Reply{}); n.ID != 10 || n.Sent != 7*model.Second {
		t.Fatalf("news %+v", n)
	}
	if n := step(CallTouch, Reply{Outcome: Unclear}); n.Any {
		t.Fatal("a touch without an answer renews")
	}
	if n := step(CallTouch, Reply{Outcome: Missing}); !n.Any || n.ID != 0 {
		t.Fatal("the end of the session is not told")
	}
}
