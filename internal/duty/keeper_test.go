package duty

import (
	"encoding/json"
	"slices"
	"testing"

	"woadweir/internal/core/model"
)

// keeperTest has a keeper on node a, with b and c live, and b the leader.
type keeperTest struct {
	*testing.T
	k *Keeper
	s Situation
}

func newKeeperTest(t *testing.T) *keeperTest {
	policy := LeaderOnly()
	for _, name := range Movable {
		policy.Places[name] = PlaceListed
		policy.Listed[name] = []string{"c", "a", "b"}
	}
	s := Situation{Now: 100 * model.Second, WallMs: 1_000_000, Self: "a", Session: 7, Leader: "b", Nodes: map[string]Node{}, Leases: map[Name]Held{}}
	for i, name := range []string{"a", "b", "c"} {
		s.Nodes[name] = Node{Name: name, Session: uint64(7 + i), Revision: uint64(20 + i), Since: s.Now, Candidate: true}
	}
	for _, name := range []Name{Returning, Cleanup} {
		s.Leases[name] = Held{Lease: Lease{Holder: "b", Session: 8}, Token: 30}
	}
	return &keeperTest{t, NewKeeper(policy), s}
}

func (t *keeperTest) pass(d model.Micros) {
	t.s.Now += d
	t.s.WallMs += int64(d / model.Millisecond)
}

func (t *keeperTest) held(holder string, session, token uint64) {
	lease := t.s.Leases[Renting].Lease
	lease.Holder, lease.Session = holder, session
	t.s.Leases[Renting] = Held{Lease: lease, Token: token}
}

func (t *keeperTest) nothing(when string) {
	t.Helper()
	if a, ok := t.k.Decide(&t.s); ok {
		t.Errorf("%s: %+v", when, a)
	}
}

// A vacant duty is left to the controllers before this one for a while each; without
// authority nothing is acquired.
func TestAcquireInTurn(t *testing.T) {
	kt := newKeeperTest(t)
	kt.nothing("at once, as c is preferred")
	kt.pass(acquireStagger)
	kt.s.Session = 0
	kt.nothing("without a session")
	kt.s.Session = 7
	a, ok := kt.k.Decide(&kt.s)
	if !ok || a.Kind != Acquire || a.Name != Renting || a.Token != 0 || a.Lease.Holder != "a" || a.Lease.Session != 7 {
		t.Errorf("%+v", a)
	}
	kt.held("c", 9, 40)
	kt.nothing("held by another")
	delete(kt.s.Leases, Renting)
	delete(kt.s.Nodes, "c")
	a, ok = kt.k.Decide(&kt.s)
	if !ok || a.Lease.Previous != "c" || a.Lease.PreviousToken != 40 || a.Lease.Why != ReasonSessionOver {
		t.Errorf("after c's end: %+v", a)
	}
}

// A preferred controller gets the duty once both it and the present holder have settled.
func TestHandOverToPreferred(t *testing.T) {
	kt := newKeeperTest(t)
	kt.held("a", 7, 50)
	kt.nothing("at once")
	kt.pass(defaultSettleS * model.Second)
	a, ok := kt.k.Decide(&kt.s)
	if !ok || a.Kind != HandOver || a.Successor.Name != "c" || a.Lease.Session != 9 || a.Token != 50 || a.Lease.Why != ReasonPreferred || len(a.Lease.Avoid) != 0 {
		t.Errorf("%+v", a)
	}
}

// A holder whose cloud does not answer passes the duty on and is avoided, each time for
// longer and after a longer wait, as the cloud may answer nobody; with nobody left it
// keeps it.
func TestHandOverAfterFailure(t *testing.T) {
	kt := newKeeperTest(t)
	kt.k.policy.Settle = maxSettleS * model.Second // no controller is preferred meanwhile
	pause := int64(0)
	for round := range 3 {
		kt.held("a", 7, uint64(50+round))
		kt.nothing("while the cloud answers")
		kt.s.CloudFailingSince = kt.s.Now
		kt.pass(cloudFailure<<round - 1)
		kt.nothing("too soon")
		kt.pass(1)
		a, ok := kt.k.Decide(&kt.s)
		if !ok || a.Kind != HandOver || a.Lease.Why != ReasonNoCloud {
			t.Fatalf("round %d: %+v", round, a)
		}
		longer := a.Lease.Avoid["a"].UntilMs - kt.s.WallMs
		if longer <= pause || a.Lease.Avoid["a"].Times != round+1 {
			t.Errorf("round %d: avoided for %d ms after %d", round, longer, pause)
		}
		pause = longer
		kt.s.Leases[Renting] = Held{Lease: a.Lease, Token: uint64(60 + round)}
		kt.s.CloudFailingSince = 0
		kt.nothing("held by another")
		kt.pass(model.Micros(longer) * model.Millisecond)
	}
	kt.held("a", 7, 90)
	lease := kt.s.Leases[Renting]
	lease.Avoid = map[string]Avoidance{"b": {UntilMs: kt.s.WallMs + 1e9, Times: 1}, "c": {UntilMs: kt.s.WallMs + 1e9, Times: 1}}
	kt.s.Leases[Renting] = lease
	kt.nothing("observed")
	kt.s.CloudFailingSince = kt.s.Now
	kt.pass(cloudFailure << maxDoublings)
	kt.nothing("with nobody left")
	kt.s.Overloaded = true
	kt.nothing("overloaded, with nobody left")
	delete(lease.Avoid, "b")
	if a, ok := kt.k.Decide(&kt.s); !ok || a.Successor.Name != "b" {
		t.Errorf("with b left: %+v", a)
	}
}

// The cleaner removes what has stood unneeded for long enough in one revision.
func TestCleanerPlan(t *testing.T) {
	c := NewCleaner()
	list := []Unneeded{UnneededBundle("x", 4), UnneededIntent("y", 5), UnneededBundle("z", 6)}
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
