package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// answerOf asks one node, and waits for its answer.
func (n *simNode) answerOf(msg func(chan<- userapi.Answer) any) userapi.Answer {
	n.w.t.Helper()
	reply := make(chan userapi.Answer, 1)
	n.ask(msg(reply), nil)
	n.w.until(10*model.Second, "an answer", func() bool { return len(reply) == 1 })
	return <-reply
}

func (n *simNode) submits(s *model.Submission) userapi.Answer {
	return n.answerOf(func(r chan<- userapi.Answer) any { c := *s; return msgSubmit{c.ID, &c, nil, r} })
}

func (n *simNode) statusOf(t *testing.T, ref string) string {
	t.Helper()
	var a userapi.Answer
	n.w.until(10*model.Second, "an answer about "+ref, func() bool {
		a = n.answerOf(func(r chan<- userapi.Answer) any { return msgStatusRequest{ref, r} })
		return a.Code != 503 // now and then a catch-up is lost
	})
	var body struct{ Status string }
	if a.Code != 200 || json.Unmarshal(a.Body, &body) != nil {
		t.Fatalf("%s is answered %d %s", ref, a.Code, a.Body)
	}
	return body.Status
}

func awaiting(i int, refs ...string) *model.Submission {
	s := arrayJob(i, 2, 5)
	s.Awaits = refs
	return s
}

// What names a job that was never accepted is refused, but only on a view that is
// up to date: another node may have accepted it a moment ago.
func TestAwaitsWhatWasAccepted(t *testing.T) {
	w := newWorld(t, 61)
	w.waitForLeader(10 * model.Second)
	w.Run(w.Now + 3*model.Second)
	service := arrayJob(2, 1, 0)
	service.Kind = "service"
	for i, s := range []*model.Submission{arrayJob(0, 2, 200), service} {
		if a := w.nodes[i].submits(s); a.Code != 201 {
			t.Fatalf("%d %s", a.Code, a.Body)
		}
	}
	// The third node has not heard of them yet.
	first, other := awaiting(3, "j-000000"), awaiting(4, "j-000000", "j-000003")
	if a := w.nodes[2].submits(first); a.Code != 201 {
		t.Errorf("of a job that another node accepted: %d %s", a.Code, a.Body)
	}
	if a := w.nodes[1].submits(other); a.Code != 201 {
		t.Errorf("of two jobs: %d %s", a.Code, a.Body)
	}
	for i, refs := range [][]string{{"j-999999"}, {"j-000000", "j-999999"}, {"j-000009"}, {"j-000002"}} {
		if a := w.nodes[i%3].submits(awaiting(9, refs...)); a.Code != 422 {
			t.Errorf("awaits %v: %d %s", refs, a.Code, a.Body)
		}
	}
	// Whoever was accepted is told so again, whatever the repetition says.
	again := awaiting(3, "j-999999")
	if a := w.nodes[0].submits(again); a.Code != 200 || !strings.Contains(string(a.Body), "pending") {
		t.Errorf("a repeated submission: %d %s", a.Code, a.Body)
	}
	// While the state service is away nothing can be said of what is not known.
	w.state.SetOutage(true)
	w.Run(w.Now + 2*model.Second)
	if a := w.nodes[0].submits(awaiting(10, "j-999999")); a.Code != 503 || a.RetryAfter == 0 {
		t.Errorf("during an outage: %d %s", a.Code, a.Body)
	}
}

// A job whose record can't fit into a value, now or once the limits have fallen, is
// refused; a list that fits is not.
func TestManyAwaits(t *testing.T) {
	w := newDeployment(t, 62, nextSettings, capacity(4, 2))
	w.waitForLeader(10 * model.Second)
	w.Run(w.Now + 3*model.Second)
	var refs []string
	for i := range 100 {
		s := arrayJob(i, 1, 1)
		refs = append(refs, s.ID)
		n := w.nodes[i%3]
		w.until(30*model.Second, "accepted", func() bool { return n.submits(s).Code/100 == 2 })
	}
	if a := w.nodes[0].submits(awaiting(200, refs...)); a.Code != 201 {
		t.Errorf("awaits 100: %d %s", a.Code, a.Body)
	}
	long := awaiting(201, refs...)
	long.Image = strings.Repeat("x", 900)
	if a := w.nodes[0].submits(long); a.Code != 422 {
		t.Errorf("too large: %d %s", a.Code, a.Body)
	}
}

// expect has the rules know a job that a test submits itself.
func (w *world) expect(s *model.Submission) {
	w.rules.Submitted[s.ID], w.rules.Awaits[s.ID] = s.Job(0), s.Awaits
}

// accept submits a job at random nodes until one accepts it.
func (w *world) accept(s *model.Submission) {
	w.t.Helper()
	w.expect(s)
	w.until(60*model.Second, "accepted", func() bool { return w.nodes[w.Rand.IntN(3)].submits(s).Code/100 == 2 })
}

// acceptChainAndFan submits jobs of which each awaits the one before, and others that all
// await the first, by turns.
func (w *world) acceptChainAndFan(first string) (refs []string) {
	w.t.Helper()
	last := first
	for i := 10; i < 60; i++ {
		chained, fanned := awaiting(i, last), awaiting(100+i, first)
		w.accept(chained)
		w.accept(fanned)
		refs = append(refs, chained.ID, fanned.ID)
		last = chained.ID
	}
	return refs
}

// requireWithdrawnEverywhere checks that all nodes that are up say that jobs are withdrawn.
func (w *world) requireWithdrawnEverywhere(refs []string) {
	w.t.Helper()
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, ref := range refs {
			if s := n.statusOf(w.t, ref); s != "withdrawn" {
				w.t.Fatalf("%s says that %s is %s", n.name, ref, s)
			}
		}
	}
}

// startAll starts the nodes that are not up.
func (w *world) startAll() {
	for _, n := range w.nodes {
		if !n.alive {
			n.start()
		}
	}
}

// When a job is cancelled, so is all that needs it, on every node at once: there is
// nothing to be written for it, however many there are and however little the
// state service bears. What was submitted at the same moment through another node
// is no exception, nor what comes later. What is done stays done.
func TestCancellationTakesWhatComesAfter(t *testing.T) {
	w := newDeployment(t, 63, nextSettings, capacity(4, 2))
	w.waitForLeader(10 * model.Second)
	w.Run(w.Now + 3*model.Second)
	before, first := arrayJob(0, 1, 1), arrayJob(1, 4, 300)
	w.accept(before)
	first.Awaits = []string{before.ID}
	w.accept(first)
	dependents := w.acceptChainAndFan(first.ID)
	last := dependents[len(dependents)-2] // of the chain
	w.until(60*model.Second, "the first runs", func() bool { return w.nodes[0].statusOf(t, first.ID) == "running" })
	w.state.LowerLimits(2, 5, 3)
	u := &user{w: w, sub: first}
	w.rules.CancelRequested(first.ID)
	late := awaiting(500, first.ID)
	w.expect(late)
	lateTold := make(chan userapi.Answer, 1)
	w.nodes[1].ask(msgSubmit{late.ID, late, nil, lateTold}, nil)
	u.withdraw()
	w.until(10*model.Second, "it is cancelled", func() bool { return w.rules.ReportedEnd(first.ID) == "withdrawn" })
	w.waitForLeader(30 * model.Second)
	w.leader().crash() // and nobody is left to write anything about it
	w.requireWithdrawnEverywhere(dependents)
	w.startAll()
	w.waitForLeader(30 * model.Second)
	w.until(20*model.Second, "the late one was answered", func() bool { return len(lateTold) == 1 })
	if a := <-lateTold; a.Code == 201 {
		if s := w.nodes[2].statusOf(t, late.ID); s != "withdrawn" {
			t.Errorf("what was submitted meanwhile is %s", s)
		}
	}
	if a := w.nodes[0].submits(awaiting(501, last)); a.Code != 201 || w.nodes[2].statusOf(t, awaiting(501).ID) != "withdrawn" {
		t.Errorf("what names a withdrawn job: %d %s", a.Code, a.Body)
	}
	if s := w.nodes[0].statusOf(t, before.ID); s != "done" {
		t.Errorf("what was done before is %s", s)
	}
	w.Run(w.Now + 60*model.Second)
	if w.check(); w.rules.TasksOnMachines() != 0 {
		t.Errorf("%d tasks are on machines", w.rules.TasksOnMachines())
	}
}

// A cancellation that is answered with done changes nothing for what comes after.
func TestDoneWinsAgainstCancellation(t *testing.T) {
	w := newWorld(t, 64)
	us := w.pipeline(0, 0)
	w.until(60*model.Second, "the first is done", func() bool { return us[0].ended == "done" })
	a := w.nodes[1].answerOf(func(r chan<- userapi.Answer) any { return msgCancel{us[0].sub.ID, r} })
	if a.Code != 200 || !strings.Contains(string(a.Body), "done") {
		t.Fatalf("%d %s", a.Code, a.Body)
	}
	w.until(120*model.Second, "all is done", func() bool {
		return len(us) > 0 && !slices.ContainsFunc(w.refs(0), func(ref string) bool { return w.rules.ReportedEnd(ref) != "done" })
	})
	w.check()
}

// refs are the jobs of a pipeline.
func (w *world) refs(first int) (refs []string) {
	for i := range 4 {
		refs = append(refs, fmt.Sprintf("j-%06d", first+i))
	}
	return refs
}

// A pipeline goes on over the end of all controllers, and when nothing else happens
// that would remind the leader of what waits.
func TestPipelineOverTakeovers(t *testing.T) {
	w := newWorld(t, 65)
	w.pipeline(0, 0)
	for range 3 {
		w.Run(w.Now + 12*model.Second)
		for _, n := range w.nodes {
			n.crashFor(w.Between(50*model.Millisecond, 3*model.Second))
		}
	}
	w.until(200*model.Second, "all is done", func() bool {
		return !slices.ContainsFunc(w.refs(0), func(ref string) bool { return w.rules.ReportedEnd(ref) != "done" })
	})
	w.check()
}

// What waits for others takes no part of its team's limit, has nothing stopped and
// rents nothing.
func TestWaitingTakesNothing(t *testing.T) {
	w := newWorld(t, 66)
	w.waitForLeader(10 * model.Second)
	w.Run(w.Now + 3*model.Second)
	first := arrayJob(0, 2, 60)
	big := arrayJob(1, 20, 5) // the team's whole limit
	big.Awaits, big.Priority = []string{first.ID}, "critical"
	w.submit(first, 0).then = func() { w.submit(big, 0) }
	w.until(30*model.Second, "the first runs", func() bool { return w.rules.TasksOnMachines() == 2 })
	beside := w.submit(arrayJob(2, 16, 5), 0)
	w.until(40*model.Second, "what came later is done", func() bool { return beside.ended == "done" })
	if s := w.nodes[0].statusOf(t, big.ID); s != "pending" {
		t.Errorf("what waits is %s", s)
	}
	w.until(120*model.Second, "all is done", func() bool { return w.rules.ReportedEnd(big.ID) == "done" })
	w.check()
}

// The watch of the rules sees what it is there for.
func TestRulesCatchBreaches(t *testing.T) {
	w := newWorld(t, 67)
	w.waitForLeader(10 * model.Second)
	w.Run(w.Now + 3*model.Second)
	broken := func(name string) bool {
		return slices.ContainsFunc(w.rules.Violations, func(b string) bool { return strings.Contains(b, name) })
	}
	// The service is not told that the second awaits the first.
	first, second := arrayJob(0, 2, 60), arrayJob(1, 2, 60)
	w.submit(first, 0)
	w.submit(second, 0)
	w.rules.Awaits[second.ID] = []string{first.ID}
	w.until(30*model.Second, "too_early", func() bool { return broken("too_early") })
	w.rules.CancelRequested(first.ID)
	(&user{w: w, sub: first}).withdraw()
	w.until(60*model.Second, "orphaned", func() bool { return broken("orphaned") })
	// Nobody is left to answer, and no trouble is said to be the reason.
	w.submit(arrayJob(2, 1, 300), 0)
	w.until(20*model.Second, "it is accepted", func() bool { return w.rules.Accepted[arrayJob(2, 1, 1).ID] })
	w.rules.FaultsOverAt = w.Now
	for _, n := range w.nodes {
		n.crash()
	}
	w.Run(w.Now + 70*model.Second)
	if broken("forgotten") {
		t.Error("forgotten too early")
	}
	w.Run(w.Now + 15*model.Second)
	if !broken("forgotten") {
		t.Error("forgotten is not seen")
	}
}
