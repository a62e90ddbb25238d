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
	snapshot := Snapshot{Now: 100 * model.Second, WallMs: 1_000_000, Self: "a", Session: 7, Leader: "b", Nodes: map[string]Node{}, Leases: map[Name]StoredLease{}}
	for i, name := range []string{"a", "b", "c"} {
		snapshot.Nodes[name] = Node{Name: name, Session: uint64(7 + i), Revision: uint64(20 + i), Since: snapshot.Now, Candidate: true}
	}
	for _, name := range []Name{Returning, Cleanup} {
		snapshot.Leases[name] = StoredLease{Lease: Lease{Holder: "b", Session: 8}, Token: 30}
	}
	return &plannerTest{t, NewLeasePlanner(policy), snapshot}
}

func (t *plannerTest) advance(duration model.Micros) {
	t.snapshot.Now += duration
	t.snapshot.WallMs += int64(duration / model.Millisecond)
}

func (t *plannerTest) setHolder(holder string, session, token uint64) {
	lease := t.snapshot.Leases[Renting].Lease
	lease.Holder, lease.Session = holder, session
	t.snapshot.Leases[Renting] = StoredLease{Lease: lease, Token: token}
}

func (t *plannerTest) expectNoAction(when string) {
	t.Helper()
	if action, ok := t.planner.Decide(&t.snapshot); ok {
		t.Errorf("%s: %+v", when, action)
	}
}

// A vacant duty is left to the controllers before this one for a while each; without
// authority nothing is acquired.
func TestAcquireInTurn(t *testing.T) {
	test := newPlannerTest(t)
	test.expectNoAction("at once, as c is preferred")
	test.advance(acquireStagger)
	test.snapshot.Session = 0
	test.expectNoAction("without a session")
	test.snapshot.Session = 7
	action, ok := test.planner.Decide(&test.snapshot)
	if !ok || action.Kind != Acquire || action.Name != Renting || action.Token != 0 || action.Lease.Holder != "a" || action.Lease.Session != 7 {
		t.Errorf("%+v", action)
	}
	test.setHolder("c", 9, 40)
	test.expectNoAction("held by another")
	delete(test.snapshot.Leases, Renting)
	delete(test.snapshot.Nodes, "c")
	action, ok = test.planner.Decide(&test.snapshot)
	if !ok || action.Lease.Previous != "c" || action.Lease.PreviousToken != 40 || action.Lease.Why != ReasonSessionOver {
		t.Errorf("after c's end: %+v", action)
	}
}

// A preferred controller gets the duty once both it and the present holder have settled.
func TestHandOverToPreferred(t *testing.T) {
	test := newPlannerTest(t)
	test.setHolder("a", 7, 50)
	test.expectNoAction("at once")
	test.advance(defaultSettleS * model.Second)
	action, ok := test.planner.Decide(&test.snapshot)
	if !ok || action.Kind != HandOver || action.Successor.Name != "c" || action.Lease.Session != 9 || action.Token != 50 || action.Lease.Why != ReasonPreferred || len(action.Lease.Avoid) != 0 {
		t.Errorf("%+v", action)
	}
}

// A holder whose cloud does not answer passes the duty on and is avoided, each time for
// longer and after a longer wait, as the cloud may answer nobody; with nobody left it
// keeps it.
func TestHandOverAfterFailure(t *testing.T) {
	test := newPlannerTest(t)
	test.planner.policy.Settle = maxSettleS * model.Second // no controller is preferred meanwhile
	pauseMs := int64(0)
	for round := range 3 {
		test.setHolder("a", 7, uint64(50+round))
		test.expectNoAction("while the cloud answers")
		test.snapshot.CloudFailingSince = test.snapshot.Now
		test.advance(cloudFailureTimeout<<round - 1)
		test.expectNoAction("too soon")
		test.advance(1)
		action, ok := test.planner.Decide(&test.snapshot)
		if !ok || action.Kind != HandOver || action.Lease.Why != ReasonNoCloud {
			t.Fatalf("round %d: %+v", round, action)
		}
		newPauseMs := action.Lease.Avoid["a"].UntilMs - test.snapshot.WallMs
		if newPauseMs <= pauseMs || action.Lease.Avoid["a"].Times != round+1 {
			t.Errorf("round %d: avoided for %d ms after %d", round, newPauseMs, pauseMs)
		}
		pauseMs = newPauseMs
		test.snapshot.Leases[Renting] = StoredLease{Lease: action.Lease, Token: uint64(60 + round)}
		test.snapshot.CloudFailingSince = 0
		test.expectNoAction("held by another")
		test.advance(model.Micros(newPauseMs) * model.Millisecond)
	}
	test.setHolder("a", 7, 90)
	lease := test.snapshot.Leases[Renting]
	lease.Avoid = map[string]Avoidance{"b": {UntilMs: test.snapshot.WallMs + 1e9, Times: 1}, "c": {UntilMs: test.snapshot.WallMs + 1e9, Times: 1}}
	test.snapshot.Leases[Renting] = lease
	test.expectNoAction("observed")
	test.snapshot.CloudFailingSince = test.snapshot.Now
	test.advance(cloudFailureTimeout << maxDoublings)
	test.expectNoAction("with nobody left")
	test.snapshot.Overloaded = true
	test.expectNoAction("overloaded, with nobody left")
	delete(lease.Avoid, "b")
	if action, ok := test.planner.Decide(&test.snapshot); !ok || action.Successor.Name != "b" {
		t.Errorf("with b left: %+v", action)
	}
}

// The cleaner removes what has stood unneeded for long enough in one revision.
func TestCleanerPlan(t *testing.T) {
	cleaner := NewCleaner()
	unneeded := []UnneededKey{UnneededBundle("x", 4), UnneededIntent("y", 5), UnneededBundle("z", 6)}
	if got := cleaner.Plan(0, unneeded, 10); len(got) != 0 {
		t.Fatalf("at once: %v", got)
	}
	unneeded[2].Revision = 7
	if got := cleaner.Plan(retainBundle, unneeded, 10); len(got) != 1 || got[0] != (Removal{"x", 4}) {
		t.Errorf("after a while: %v", got)
	}
	if got := cleaner.Plan(retainIntent+retainBundle, unneeded, 1); len(got) != 1 || got[0].Key != "x" {
		t.Errorf("at most one: %v", got)
	}
	cleaner.Plan(retainIntent+retainBundle, nil, 1)
	if got := cleaner.Plan(retainIntent+retainBundle+1, unneeded, 10); len(got) != 0 {
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
		returnRecord := Return{Grant: 1 << 40, State: Gone, Token: 1 << 40, Trace: trace, Machines: slices.Repeat([]string{longest}, ReturnAtMost(valueBytes))}
		for _, record := range []any{rental, returnRecord} {
			value, err := json.Marshal(record)
			if err != nil || len(value) > valueBytes {
				t.Errorf("%T of %d bytes in a value of %d, %v", record, len(value), valueBytes, err)
			}
		}
	}
	if RentAtMost(32*960) != maxRental || ReturnAtMost(32*960) != maxReturn || RentAtMost(0) != 1 {
		t.Error("not as many as the cloud takes")
	}
}
