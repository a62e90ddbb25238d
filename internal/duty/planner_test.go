package duty

import (
	"encoding/json"
	"slices"
	"testing"

	"woadweir/internal/core/model"
)

// plannerTest has a keeper on node a, with b and c live, and b the leader.
type plannerTest struct {
	*testing.T
	planner  *LeasePlanner
	snapshot Snapshot
}

func newPlannerTest(t *testing.T) *plannerTest {
	policy := LeaderOnly()
	for _, name := range Movable {
		policy.Places[name] = PlaceListed
		policy.Listed[name] = []string{"c", "a", "b"}
	}
	s := Snapshot{Now: 100 * model.Second, WallMs: 1_000_000, Self: "a", Session: 7, Leader: "b", Nodes: map[string]Node{}, Leases: map[Name]StoredLease{}}
	for i, name := range []string{"a", "b", "c"} {
		s.Nodes[name] = Node{Name: name, Session: uint64(7 + i), Revision: uint64(20 + i), Since: s.Now, Candidate: true}
	}
	for _, name := range []Name{Returning, Cleanup} {
		s.Leases[name] = StoredLease{Lease: Lease{Holder: "b", Session: 8}, Token: 30}
	}
	return &plannerTest{t, NewLeasePlanner(policy), s}
}

func (t *plannerTest) advance(d model.Micros) {
	t.snapshot.Now += d
	t.snapshot.WallMs += int64(d / model.Millisecond)
}

func (t *plannerTest) setHolder(holder string, session, token uint64) {
	lease := t.snapshot.Leases[Renting].Lease
	lease.Holder, lease.Session = holder, session
	t.snapshot.Leases[Renting] = StoredLease{Lease: lease, Token: token}
}

func (t *plannerTest) expectNoAction(when string) {
	t.Helper()
	if a, ok := t.planner.Decide(&t.snapshot); ok {
		t.Errorf("%s: %+v", when, a)
	}
}

// A vacant duty is left to the controllers before this one for a while each; without
// authority nothing is acquired.
func TestAcquireInTurn(t *testing.T) {
	kt := newPlannerTest(t)
	kt.expectNoAction("at once, as c is preferred")
	kt.advance(acquireStagger)
	kt.snapshot.Session = 0
	kt.expectNoAction("without a session")
	kt.snapshot.Session = 7
	a, ok := kt.planner.Decide(&kt.snapshot)
	if !ok || a.Kind != Acquire || a.Name != Renting || a.Token != 0 || a.Lease.Holder != "a" || a.Lease.Session != 7 {
		t.Errorf("%+v", a)
	}
	kt.setHolder("c", 9, 40)
	kt.expectNoAction("held by another")
	delete(kt.snapshot.Leases, Renting)
	delete(kt.snapshot.Nodes, "c")
	a, ok = kt.planner.Decide(&kt.snapshot)
	if !ok || a.Lease.Previous != "c" || a.Lease.PreviousToken != 40 || a.Lease.Why != ReasonSessionOver {
		t.Errorf("after c's end: %+v", a)
	}
}

// A preferred controller gets the duty once both it and the present holder have settled.
func TestHandOverToPreferred(t *testing.T) {
	kt := newPlannerTest(t)
	kt.setHolder("a", 7, 50)
	kt.expectNoAction("at once")
	kt.advance(defaultSettleS * model.Second)
	a, ok := kt.planner.Decide(&kt.snapshot)
	if !ok || a.Kind != HandOver || a.Successor.Name != "c" || a.Lease.Session != 9 || a.Token != 50 || a.Lease.Why != ReasonPreferred || len(a.Lease.Avoid) != 0 {
		t.Errorf("%+v", a)
	}
}

// A holder whose cloud does not answer passes the duty on and is avoided, each time for
// longer and after a longer wait, as the cloud may answer nobody; with nobody left it
// keeps it.
func TestHandOverAfterFailure(t *testing.T) {
	kt := newPlannerTest(t)
	kt.planner.policy.Settle = maxSettleS * model.Second // no controller is preferred meanwhile
	pause := int64(0)
	for round := range 3 {
		kt.setHolder("a", 7, uint64(50+round))
		kt.expectNoAction("while the cloud answers")
		kt.snapshot.CloudFailingSince = kt.snapshot.Now
		kt.advance(cloudFailureTimeout<<round - 1)
		kt.expectNoAction("too soon")
		kt.advance(1)
		a, ok := kt.planner.Decide(&kt.snapshot)
		if !ok || a.Kind != HandOver || a.Lease.Why != ReasonNoCloud {
			t.Fatalf("round %d: %+v", round, a)
		}
		longer := a.Lease.Avoid["a"].UntilMs - kt.snapshot.WallMs
		if longer <= pause || a.Lease.Avoid["a"].Times != round+1 {
			t.Errorf("round %d: avoided for %d ms after %d", round, longer, pause)
		}
		pause = longer
		kt.snapshot.Leases[Renting] = StoredLease{Lease: a.Lease, Token: uint64(60 + round)}
		kt.snapshot.CloudFailingSince = 0
		kt.expectNoAction("held by another")
		kt.advance(model.Micros(longer) * model.Millisecond)
	}
	kt.setHolder("a", 7, 90)
	lease := kt.snapshot.Leases[Renting]
	lease.Avoid = map[string]Avoidance{"b": {UntilMs: kt.snapshot.WallMs + 1e9, Times: 1}, "c": {UntilMs: kt.snapshot.WallMs + 1e9, Times: 1}}
	kt.snapshot.Leases[Renting] = lease
	kt.expectNoAction("observed")
	kt.snapshot.CloudFailingSince = kt.snapshot.Now
	kt.advance(cloudFailureTimeout << maxDoublings)
	kt.expectNoAction("with nobody left")
	kt.snapshot.Overloaded = true
	kt.expectNoAction("overloaded, with nobody left")
	delete(lease.Avoid, "b")
	if a, ok := kt.planner.Decide(&kt.snapshot); !ok || a.Successor.Name != "b" {
		t.Errorf("with b left: %+v", a)
	}
}

// The cleaner removes what has stood unneeded for long enough in one revision.
func TestCleanerPlan(t *testing.T) {
	c := NewCleaner()
	list := []UnneededKey{UnneededBundle("x", 4), UnneededIntent("y", 5), UnneededBundle("z", 6)}
	if got := c.Plan(0, list, 10); len(got) != 0 {
		t.Fatalf("at once: %v", got)
	}
	list[2].Revision = 7
	if got := c.Plan(retainBundle, list, 10); len(got) != 1 || got[0] != (Removal{"x", 4}) {
		t.Errorf("after a while: %v", got)
	}
	if got := c.Plan(retainIntent+retainBundle, list, 1); len(got) != 1 || got[0].Key != "x" {
		t.Errorf("at most one: %v", got)
	}
	c.Plan(retainIntent+retainBundle, nil, 1)
	if got := c.Plan(retainIntent+retainBundle+1, list, 10); len(got) != 0 {
		t.Errorf("needed in between: %v", got)
	}
}

// The records of intents with as many machines as they may name fit into a value.
func TestIntentsFitIntoValues(t *testing.T) {
	const longest = "machine-name-0001234567"
	const trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for _, valueBytes := range []int{960, 2 * 960, 32 * 960} {
		rental := Rental{Request: "w1234567890-123456", MachineType: "a-rather-long-type", Zone: "a-rather-long-zone-name", Spot: true, Count: 50, Grant: 1 << 40,
			State: Filled, Token: 1 << 40, Trace: trace, Machines: slices.Repeat([]string{longest}, RentAtMost(valueBytes))}
		ret := Return{Grant: 1 << 40, State: Gone, Token: 1 << 40, Trace: trace, Machines: slices.Repeat([]string{longest}, ReturnAtMost(valueBytes))}
		for _, record := range []any{rental, ret} {
			raw, err := json.Marshal(record)
			if err != nil || len(raw) > valueBytes {
				t.Errorf("%T of %d bytes in a value of %d, %v", record, len(raw), valueBytes, err)
			}
		}
	}
	if RentAtMost(32*960) != maxRental || ReturnAtMost(32*960) != maxReturn || RentAtMost(0) != 1 {
		t.Error("not as many as the cloud takes")
	}
}
