package duty

import (
	"encoding/json"
	"slices"
	"testing"

	"woadweir/internal/core/model"
)

// plannerTest runs a planner on node a. Nodes b and c are live too, and b is the leader.
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
		t.Errorf("%s: got %+v, want no action", when, action)
	}
}

// A controller that acquired a vacant duty at once would compete with preferred ones. It waits a
// while for each controller in front of it, and acquires nothing without a session.
func TestAcquireInTurn(t *testing.T) {
	test := newPlannerTest(t)
	test.expectNoAction("at once, as c is preferred")
	test.advance(acquireStagger)
	test.snapshot.Session = 0
	test.expectNoAction("without a session")
	test.snapshot.Session = 7
	action, ok := test.planner.Decide(&test.snapshot)
	if !ok || action.Kind != Acquire || action.Name != Renting || action.Token != 0 || action.Lease.Holder != "a" || action.Lease.Session != 7 {
		t.Errorf("got %+v, want a to acquire renting", action)
	}
	test.setHolder("c", 9, 40)
	test.expectNoAction("held by another")
	delete(test.snapshot.Leases, Renting)
	delete(test.snapshot.Nodes, "c")
	action, ok = test.planner.Decide(&test.snapshot)
	if !ok || action.Lease.Previous != "c" || action.Lease.PreviousToken != 40 || action.Lease.Why != ReasonSessionOver {
		t.Errorf("after c's session ended: got %+v, want c with token 40 as the previous holder", action)
	}
}

// A duty is handed over to a preferred controller, but only after that one has been live and the
// holder has held the duty for the settle time. Handing over at once would move the duty each
// time that a preferred controller comes or goes.
func TestHandOverToPreferred(t *testing.T) {
	test := newPlannerTest(t)
	test.setHolder("a", 7, 50)
	test.expectNoAction("at once")
	test.advance(defaultSettleS * model.Second)
	action, ok := test.planner.Decide(&test.snapshot)
	if !ok || action.Kind != HandOver || action.Successor.Name != "c" || action.Lease.Session != 9 || action.Token != 50 || action.Lease.Why != ReasonPreferred || len(action.Lease.Avoid) != 0 {
		t.Errorf("got %+v, want a hand-over to the preferred c", action)
	}
}

// A holder that gets no answer from the cloud hands the duty over and is avoided. As the cloud may
// not answer any controller, each time the wait before the hand-over and the avoidance get longer.
// With no other candidate left the holder keeps the duty.
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
			t.Fatalf("round %d: got %+v, want a hand-over as the cloud is not reached", round, action)
		}
		newPauseMs := action.Lease.Avoid["a"].UntilMs - test.snapshot.WallMs
		if newPauseMs <= pauseMs || action.Lease.Avoid["a"].Times != round+1 {
			t.Errorf("round %d: avoided for %d ms after %d ms the time before, want longer", round, newPauseMs, pauseMs)
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
	test.expectNoAction("right after the new lease was seen")
	test.snapshot.CloudFailingSince = test.snapshot.Now
	test.advance(cloudFailureTimeout << maxDoublings)
	test.expectNoAction("with no other candidate left")
	test.snapshot.Overloaded = true
	test.expectNoAction("overloaded, with no other candidate left")
	delete(lease.Avoid, "b")
	if action, ok := test.planner.Decide(&test.snapshot); !ok || action.Successor.Name != "b" {
		t.Errorf("with b no longer avoided: got %+v, want a hand-over to b", action)
	}
}

// A key is removed only after it has been unneeded for long enough at the same revision. Otherwise a
// key that is in use again could be deleted.
func TestCleanerPlan(t *testing.T) {
	cleaner := NewCleaner()
	unneeded := []UnneededKey{UnneededBundle("x", 4), UnneededIntent("y", 5), UnneededBundle("z", 6)}
	if got := cleaner.Plan(0, unneeded, 10); len(got) != 0 {
		t.Fatalf("at once: got %v, want no removals", got)
	}
	unneeded[2].Revision = 7
	if got := cleaner.Plan(retainBundle, unneeded, 10); len(got) != 1 || got[0] != (Removal{"x", 4}) {
		t.Errorf("after the time for bundles: got %v, want x at revision 4", got)
	}
	if got := cleaner.Plan(retainIntent+retainBundle, unneeded, 1); len(got) != 1 || got[0].Key != "x" {
		t.Errorf("with a limit of one: got %v, want x", got)
	}
	cleaner.Plan(retainIntent+retainBundle, nil, 1)
	if got := cleaner.Plan(retainIntent+retainBundle+1, unneeded, 10); len(got) != 0 {
		t.Errorf("after the keys were needed again: got %v, want no removals", got)
	}
}

// An intent with the largest allowed number of machines must fit into a value of the state service;
// otherwise its outcome could not be stored.
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
				t.Errorf("%T of %d bytes, want at most %d; error %v", record, len(value), valueBytes, err)
			}
		}
	}
	if RentAtMost(32*960) != maxRental || ReturnAtMost(32*960) != maxReturn || RentAtMost(0) != 1 {
		t.Error("the limits do not reach the cloud's limits for large values, or one machine for small ones")
	}
}
