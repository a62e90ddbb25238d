package controller

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"pgregory.net/rapid"

	"woadweir/internal/cloud"
	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/standin"
	"woadweir/internal/state"
)

const spreadDuties = `<duties><duty name="renting" place="spread"/><duty name="returning" place="spread"/><duty name="cleanup" place="spread"/>
	<settle-s>20</settle-s><cooldown-s>40</cooldown-s></duties>`

const leaderDuties = `<duties/>`

func simDutyPolicy(t *testing.T, file string) func(string) *duty.Policy {
	return func(string) *duty.Policy {
		policy, err := duty.ParseSettings([]byte(file), []string{"node-0", "node-1", "node-2"}, 60*model.Second)
		if err != nil {
			t.Fatal(err)
		}
		return policy
	}
}

// newDutyWorld is a small deployment with a duties file, whose stand-ins keep logs.
func newDutyDeployment(t *testing.T, seed uint64, file string) *simDeployment {
	sim := newSmallDeployment(t, seed)
	sim.state.KeepLog = true
	sim.policy = simDutyPolicy(t, file)
	for _, n := range sim.nodes {
		n.crash()
		n.start()
	}
	return sim
}

// holderOf is the node that the state service's records name for a duty.
func (sim *simDeployment) dutyHolder(name duty.Name) *simNode {
	entry, err := sim.state.Get("", name.Key())
	if err != nil {
		return nil
	}
	var lease duty.Lease
	if err := json.Unmarshal(entry.Value, &lease); err != nil {
		panic(err)
	}
	return sim.nodes[slices.Index(sim.Nodes(), lease.Holder)]
}

// dutyHistory judges the logs of the stand-ins.
func (sim *simDeployment) dutyViolations() []string {
	return standin.CheckDuties(sim.state.Log, sim.cloud.Calls).Violations
}

func (sim *simDeployment) checkDuties() {
	sim.t.Helper()
	sim.requireInvariants()
	if violations := sim.dutyViolations(); len(violations) > 0 {
		sim.t.Fatalf("%d violations: %v", len(violations), violations[:min(5, len(violations))])
	}
}

// rejected counts the rejected writes of a node that were guarded by a key with that
// prefix which failed.
func (sim *simDeployment) countRejectedWrites(node, prefix string) (n int) {
	for _, write := range sim.state.Log {
		if write.Node == node && slices.ContainsFunc(write.Rejected, func(key string) bool { return strings.HasPrefix(key, prefix) }) {
			n++
		}
	}
	return n
}

// somework keeps machines being rented and returned.
func (sim *simDeployment) scheduleArrayJobs(jobs int, interval model.Micros) {
	for i := range jobs {
		sim.At(sim.Now+model.Micros(i)*interval, func() { sim.submit(arrayJob(i, 6, 6), 0) })
	}
}

// endAll lets time pass until every accepted job has ended.
func (sim *simDeployment) requireAllEndBy(deadline model.Micros) {
	sim.t.Helper()
	sim.Run(deadline)
	for ref := range sim.invariants.Accepted {
		if sim.invariants.ReportedEnd(ref) == "" {
			sim.t.Errorf("%s never ended; %s", ref, sim.describe())
		}
	}
	if len(sim.invariants.Accepted) == 0 {
		sim.t.Error("nothing was accepted")
	}
}

// Duties that are spread are held by others than the leader, work runs, machines come
// and go, and the cloud hears of them from the holders alone.
func TestDutiesSpread(t *testing.T) {
	sim := newDutyDeployment(t, 5, spreadDuties)
	sim.scheduleArrayJobs(8, 15*model.Second)
	sim.Run(60 * model.Second)
	for _, name := range []duty.Name{duty.Renting, duty.Returning} {
		if h := sim.dutyHolder(name); h == nil || h == sim.leader() {
			t.Errorf("%s is at %v", name, h)
		}
	}
	sim.requireAllEndBy(400 * model.Second)
	sim.checkDuties()
	if n := sim.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented", n)
	}
	if len(sim.cloud.Calls) < 4 {
		t.Errorf("%d calls of the cloud", len(sim.cloud.Calls))
	}
}

// Without the file nothing of duties is written by any controller.
func TestNoDutiesFile(t *testing.T) {
	sim := newSmallDeployment(t, 5)
	sim.state.KeepLog = true
	sim.scheduleArrayJobs(4, 10*model.Second)
	sim.Run(200 * model.Second)
	sim.requireInvariants()
	for _, write := range sim.state.Log {
		raw, err := json.Marshal(write.Txn)
		if err != nil {
			t.Fatal(err)
		}
		for _, word := range []string{`"duty/`, `"intent/`, `"duties"`, `"drop"`} {
			if strings.Contains(string(raw), word) {
				t.Fatalf("%s in %s", word, raw)
			}
		}
	}
}

// A holder that stands still past its lease, at whichever point, and goes on: its writes
// are refused by the state service, and nothing is rented or returned that was not
// decided once.
func TestDutyHolderPausedPastItsLease(t *testing.T) {
	t.Parallel()
	for point := beforeLease; point < pausePointCount; point++ {
		for seed := range uint64(4) {
			sim := newDutyDeployment(t, 100+seed, spreadDuties)
			sim.scheduleArrayJobs(30, 4*model.Second)
			sim.Run(50 * model.Second)
			var paused *simNode
			for _, n := range sim.nodes {
				n.shouldPause = func(at pausePoint) bool {
					if at != point || paused != nil {
						return false
					}
					paused = n
					n.resumeAfter(40 * model.Second)
					return true
				}
			}
			if point == beforeHandOver || point == beforeLease || point == leaseAnswer {
				// Something has to change hands.
				sim.At(70*model.Second, func() { sim.dutyHolder(duty.Renting).cloudUnavailable = true })
				sim.At(75*model.Second, func() { sim.dutyHolder(duty.Returning).crash() })
			}
			sim.Run(140 * model.Second)
			if paused == nil && point != beforeRemoval {
				t.Errorf("point %d, seed %d: nobody came there", point, seed)
			}
			for _, n := range sim.nodes {
				n.cloudUnavailable = false
				if !n.alive {
					n.start()
				}
			}
			sim.requireAllEndBy(420 * model.Second)
			sim.checkDuties()
			if prefix := guardPrefixAt(point); paused != nil && prefix != "" && sim.countRejectedWrites(paused.name, prefix) == 0 {
				t.Errorf("point %d, seed %d: no write of %s was rejected for %s", point, seed, paused.name, prefix)
			}
		}
	}
}

// guardAt is what refuses the write that a process sends on waking, "" if it has none to
// send.
func guardPrefixAt(point pausePoint) string {
	switch point {
	case beforeIntent:
		return "grant/"
	case beforeRentOutcome, beforeReturnOutcome, beforeHandOver:
		return duty.KeyPrefix
	}
	return ""
}

// A holder that the cloud does not answer hands over, and says why; it does not get the
// duty back while it is avoided. When the cloud answers nobody, the duty stays.
func TestDutyHolderWithoutCloud(t *testing.T) {
	sim := newDutyDeployment(t, 7, spreadDuties)
	sim.scheduleArrayJobs(30, 5*model.Second)
	sim.Run(60 * model.Second)
	first := sim.dutyHolder(duty.Renting)
	first.cloudUnavailable = true
	sim.Run(95 * model.Second)
	second := sim.dutyHolder(duty.Renting)
	if second == first {
		t.Fatal("the duty stays with a holder that can't perform it")
	}
	if lease := second.ctl.view.Duties[duty.Renting]; lease.Why != duty.ReasonNoCloud || lease.Previous != first.name {
		t.Errorf("lease %+v", lease)
	}
	first.cloudUnavailable = false
	sim.Run(110 * model.Second)
	if sim.dutyHolder(duty.Renting) == first {
		t.Error("the duty came back at once")
	}
	for _, n := range sim.nodes {
		n.cloudUnavailable = true
	}
	writesBefore := sim.countLeaseWrites(duty.Renting)
	sim.Run(150 * model.Second)
	if writes := sim.countLeaseWrites(duty.Renting) - writesBefore; writes > 2 {
		t.Errorf("%d moves while the cloud answers nobody", writes)
	}
	for _, n := range sim.nodes {
		n.cloudUnavailable = false
	}
	sim.requireAllEndBy(500 * model.Second)
	sim.checkDuties()
}

// A cloud that is asked too often, or has no capacity, does answer.
func TestBusyCloudCountsAsReachable(t *testing.T) {
	sim := newDutyDeployment(t, 17, spreadDuties)
	sim.Run(20 * model.Second)
	duties := sim.nodes[0].ctl.duties
	for _, err := range []error{cloud.ErrBusy, cloud.ErrNoCapacity, nil} {
		if duties.cloudAnswered(cloud.ErrUnavailable); duties.cloudFailingSince == 0 {
			t.Error("trouble is no answer")
		}
		if duties.cloudAnswered(err); duties.cloudFailingSince != 0 {
			t.Errorf("%v is an answer", err)
		}
	}
}

// leaseWrites counts the accepted writes of a duty's lease.
func (sim *simDeployment) countLeaseWrites(name duty.Name) (n int) {
	for _, write := range sim.state.Log {
		for _, op := range write.Txn.Then {
			if op.Set == name.Key() && len(write.Rejected) == 0 {
				n++
			}
		}
	}
	return n
}

// A holder that loses the state service stands down by itself; another takes the duty,
// and the former one comes back without taking what has moved.
func TestDutyHolderWithoutStateService(t *testing.T) {
	for _, link := range []int{linkDropping, linkRefusing} {
		sim := newDutyDeployment(t, 8, spreadDuties)
		sim.scheduleArrayJobs(20, 8*model.Second)
		sim.Run(60 * model.Second)
		first := sim.dutyHolder(duty.Renting)
		token := first.ctl.duties.held[duty.Renting]
		first.setStateLink(link)
		sim.Run(85 * model.Second)
		if n := len(first.ctl.duties.held); n != 0 {
			t.Errorf("cut %d: it still holds %d duties", link, n)
		}
		second := sim.dutyHolder(duty.Renting)
		if second == nil || second == first {
			t.Fatalf("cut %d: nobody took over", link)
		}
		first.setStateLink(linkOpen)
		sim.Run(88 * model.Second)
		if sim.dutyHolder(duty.Renting) != second || first.ctl.duties.held[duty.Renting] != 0 {
			t.Errorf("cut %d: the duty came back at once", link)
		}
		sim.requireAllEndBy(420 * model.Second)
		sim.checkDuties()
		if now := sim.dutyHolder(duty.Renting).ctl.duties.held[duty.Renting]; now <= token {
			t.Errorf("cut %d: token %d after %d", link, now, token)
		}
	}
}

// While any controller may run the version in production, the leader does everything
// itself and no record of duties is written; once none does, duties spread.
func TestDutiesWaitForEveryControllersUpgrade(t *testing.T) {
	withDuties := newDutyDeployment(t, 9, spreadDuties)
	sim := newSmallDeployment(t, 9)
	sim.state.KeepLog = true
	sim.policy = withDuties.policy
	for i, n := range sim.nodes {
		n.crash()
		n.runsProductionVersion = i == 2
		n.start()
	}
	sim.scheduleArrayJobs(20, 10*model.Second)
	sim.Run(100 * model.Second)
	if n := sim.state.KeyCount("duty/") + sim.state.KeyCount("intent/"); n > 0 {
		t.Errorf("%d records of duties beside production", n)
	}
	if len(sim.cloud.Calls) == 0 {
		t.Error("nothing was rented beside production")
	}
	// One goes back to production before the last is upgraded.
	restart := func(n *simNode, production bool) {
		n.crash()
		n.runsProductionVersion = production
		n.start()
	}
	restart(sim.nodes[1], true)
	sim.Run(115 * model.Second)
	restart(sim.nodes[2], false)
	sim.Run(135 * model.Second)
	if n := sim.state.KeyCount("duty/") + sim.state.KeyCount("intent/"); n > 0 {
		t.Errorf("%d records of duties beside one that went back to production", n)
	}
	restart(sim.nodes[1], false)
	sim.Run(190 * model.Second)
	if sim.state.KeyCount("duty/") != len(duty.Movable) {
		t.Errorf("%d duties are held once all are upgraded", sim.state.KeyCount("duty/"))
	}
	sim.requireAllEndBy(500 * model.Second)
	sim.requireInvariants()
}

// All controllers end at once, in the middle of renting: what was decided is carried out
// once, by whoever comes back.
func TestAllControllersEndWhileRenting(t *testing.T) {
	for seed := range uint64(6) {
		sim := newDutyDeployment(t, 20+seed, spreadDuties)
		sim.scheduleArrayJobs(12, 6*model.Second)
		sim.Run(40*model.Second + model.Micros(seed)*700*model.Millisecond)
		for i, n := range sim.nodes {
			n.crashFor(model.Micros(i)*900*model.Millisecond + sim.Between(50*model.Millisecond, 2*model.Second))
		}
		sim.requireAllEndBy(360 * model.Second)
		sim.checkDuties()
	}
}

// A leader that starts without the file where duties are in use goes on through intents.
func TestLeaderWithoutDutiesFileUsesIntents(t *testing.T) {
	sim := newDutyDeployment(t, 11, spreadDuties)
	sim.scheduleArrayJobs(14, 8*model.Second)
	sim.Run(50 * model.Second)
	sim.policy = nil
	for i, n := range sim.nodes {
		sim.After(model.Micros(i)*20*model.Second, func() { n.crash(); n.start() })
	}
	sim.requireAllEndBy(400 * model.Second)
	sim.checkDuties()
	if h := sim.dutyHolder(duty.Renting); h == nil || h != sim.leader() {
		t.Error("without the file the leader holds the duties")
	}
}

// Two controllers that acquire a duty at the same time: one gets it, the other's write
// stands in the log of rejected ones.
func TestConcurrentDutyAcquisition(t *testing.T) {
	sim := newDutyDeployment(t, 13, spreadDuties)
	sim.scheduleArrayJobs(10, 5*model.Second)
	sim.Run(40 * model.Second)
	first := sim.dutyHolder(duty.Renting)
	delayedWrites := map[string]func(){}
	for _, n := range sim.nodes {
		n.intercept = func(m msgCommitted) bool {
			if n == first || pausePointBefore(m) != beforeLease || m.txn.Then[0].Set != duty.Renting.Key() || delayedWrites[n.name] != nil {
				return false
			}
			delayedWrites[n.name] = func() { n.commit(m) }
			return true
		}
	}
	first.crash()
	sim.Run(65 * model.Second)
	if len(delayedWrites) != 2 {
		t.Fatalf("%d controllers acquire", len(delayedWrites))
	}
	writesBefore, rejected := sim.countLeaseWrites(duty.Renting), 0
	for _, send := range delayedWrites {
		send()
	}
	sim.Run(67 * model.Second)
	for name := range delayedWrites {
		rejected += sim.countRejectedWrites(name, duty.Renting.Key())
	}
	if n := sim.countLeaseWrites(duty.Renting) - writesBefore; n != 1 || rejected == 0 {
		t.Errorf("%d acquisitions were accepted, %d rejected", n, rejected)
	}
	first.start()
	sim.requireAllEndBy(360 * model.Second)
	sim.checkDuties()
}

// All duties on one controller, then each on another, and then all controllers but one
// end: the duties follow, and work goes on.
func TestDutiesFollowPreferredNodes(t *testing.T) {
	sim := newDutyDeployment(t, 14, `<duties><duty name="renting"><prefer>node-1</prefer></duty><duty name="returning"><prefer>node-1</prefer></duty>
		<duty name="cleanup"><prefer>node-1</prefer></duty><settle-s>5</settle-s></duties>`)
	checkHolders := func(want map[duty.Name]string) {
		t.Helper()
		for name, node := range want {
			if h := sim.dutyHolder(name); h == nil || h.name != node {
				t.Errorf("%.0f s: %s is at %v, not at %s", sim.Now.Seconds(), name, h, node)
			}
		}
	}
	sim.scheduleArrayJobs(40, 5*model.Second)
	sim.Run(50 * model.Second)
	checkHolders(map[duty.Name]string{duty.Renting: "node-1", duty.Returning: "node-1", duty.Cleanup: "node-1"})
	sim.policy = simDutyPolicy(t, `<duties><duty name="renting"><prefer>node-0</prefer></duty><duty name="returning"><prefer>node-1</prefer></duty>
		<duty name="cleanup"><prefer>node-2</prefer></duty><settle-s>5</settle-s></duties>`)
	for i, n := range sim.nodes {
		sim.After(model.Micros(i)*15*model.Second, func() { n.crash(); n.start() })
	}
	sim.Run(130 * model.Second)
	checkHolders(map[duty.Name]string{duty.Renting: "node-0", duty.Returning: "node-1", duty.Cleanup: "node-2"})
	sim.nodes[0].crash()
	sim.nodes[1].crash()
	sim.Run(160 * model.Second)
	checkHolders(map[duty.Name]string{duty.Renting: "node-2", duty.Returning: "node-2", duty.Cleanup: "node-2"})
	sim.nodes[0].start()
	sim.nodes[1].start()
	sim.requireAllEndBy(480 * model.Second)
	sim.checkDuties()
}

// spanParents counts the spans that are recorded meanwhile, by their name and their parent's.
func countSpansByParent(run func()) map[string]int {
	exporter := tracetest.NewInMemoryExporter()
	previousProvider := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)))
	defer otel.SetTracerProvider(previousProvider)
	run()
	names := map[trace.SpanID]string{}
	for _, span := range exporter.GetSpans() {
		names[span.SpanContext.SpanID()] = span.Name
	}
	counts := map[string]int{}
	for _, span := range exporter.GetSpans() {
		counts[span.Name+" of "+names[span.Parent.SpanID()]]++
	}
	return counts
}

// The leader's decision and the call of the cloud on another controller are one trace.
func TestIntentTraceAcrossControllers(t *testing.T) {
	spans := countSpansByParent(func() {
		sim := newDutyDeployment(t, 15, spreadDuties)
		sim.scheduleArrayJobs(6, 5*model.Second)
		sim.Run(50 * model.Second)
		sim.dutyHolder(duty.Renting).crash()
		sim.Run(80 * model.Second)
	})
	if spans["call of intent"] < 2 || spans["acquire of "] < 3 {
		t.Errorf("spans: %v", spans)
	}
}

// The cleaner removes bundles of which nothing counts, under its token, and a late
// removal does not touch what has been written since.
func TestDutyCleanup(t *testing.T) {
	sim := newDutyDeployment(t, 12, spreadDuties)
	sim.settings = func(name string) *config.Settings {
		s := simSettings(name)
		s.Params.State.ValueKB = 1
		return s
	}
	for _, n := range sim.nodes {
		n.crash()
		n.start()
	}
	sim.scheduleArrayJobs(30, 2*model.Second)
	sim.Run(100 * model.Second)
	bundlesBefore := sim.state.KeyCount("bound/")
	var commitLate func()
	for _, n := range sim.nodes {
		n.intercept = func(m msgCommitted) bool {
			if commitLate != nil || pausePointBefore(m) != beforeRemoval {
				return false
			}
			lateTxn := *m.txn
			commitLate = func() {
				res, err := sim.state.Commit(n.name, &lateTxn)
				if err != nil || res.OK {
					t.Errorf("a late removal was carried out: %+v, %v", res, err)
				}
			}
			sim.After(10*model.Millisecond, func() {
				n.deliver(n.incarnation, msgCommitted{lane: m.lane, txn: m.txn, token: m.token, err: state.ErrLost})
			})
			return true
		}
	}
	sim.Run(700 * model.Second)
	if commitLate == nil {
		t.Fatalf("nothing was removed; %d bundles", bundlesBefore)
	}
	if left := sim.state.KeyCount("bound/"); left >= bundlesBefore {
		t.Errorf("%d bundles at the most, %d are left", bundlesBefore, left)
	}
	commitLate()
	sim.scheduleArrayJobs(10, model.Second)
	sim.requireAllEndBy(900 * model.Second)
	sim.checkDuties()
}

// Random pauses, cuts, copies, repeats and ends: no write of a duty is accepted from two
// holders, nothing is rented or returned that was not decided, and no rule is broken.
func TestDutiesUnderRandomFailures(t *testing.T) {
	t.Parallel()
	dutyRecords := 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := newDutyDeployment(t, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]string{spreadDuties, leaderDuties}).Draw(rt, "file"))
		const faultsEnd = 110 * model.Second
		sim.scheduleArrayJobs(rapid.IntRange(4, 12).Draw(rt, "jobs"), sim.Between(model.Second, 8*model.Second))
		sim.duplicateHeartbeatChance = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "copies")
		sim.duplicateRequestChance = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "repeats")
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			duration := sim.Between(model.Second, 30*model.Second)
			sim.At(sim.Between(5*model.Second, faultsEnd-30*model.Second), func() { injectFault(sim, kind, duration) })
		}
		for range rapid.IntRange(1, 4).Draw(rt, "pauses") {
			point := pausePoint(rapid.IntRange(0, int(pausePointCount)-1).Draw(rt, "point"))
			duration := sim.Between(2*model.Second, 45*model.Second)
			n := sim.nodes[rapid.IntRange(0, 2).Draw(rt, "node")]
			sim.At(sim.Between(8*model.Second, faultsEnd-50*model.Second), func() { n.pauseAtNext(point, duration) })
		}
		if rapid.Bool().Draw(rt, "no cloud") {
			n := sim.nodes[rapid.IntRange(0, 2).Draw(rt, "without cloud")]
			sim.At(sim.Between(10*model.Second, 60*model.Second), func() { n.cloudUnavailable = true })
		}
		sim.At(faultsEnd, func() {
			(&failureScenario{simDeployment: sim}).endFaults()
			for _, n := range sim.nodes {
				n.cloudUnavailable, n.shouldPause = false, nil
			}
		})
		sim.Run(330 * model.Second)
		sim.invariants.CheckCancelled()
		if violations := append(sim.invariants.Violations, sim.dutyViolations()...); len(violations) > 0 {
			rt.Fatalf("%d violations: %v", len(violations), violations[:min(4, len(violations))])
		}
		for ref := range sim.invariants.Accepted {
			if sim.invariants.ReportedEnd(ref) == "" {
				rt.Fatalf("%s never ended; %s", ref, sim.describe())
			}
		}
		dutyRecords += sim.state.KeyCount("duty/")
	})
	if dutyRecords == 0 {
		t.Error("no duty was ever held")
	}
}

// pauseAtNext has the process stand still when it next comes to a point; at no point: now.
func (n *simNode) pauseAtNext(point pausePoint, duration model.Micros) {
	switch {
	case !n.alive || n.paused:
	case point == noPausePoint:
		n.pauseFor(duration)
	default:
		n.shouldPause = func(at pausePoint) bool {
			if at != point {
				return false
			}
			n.shouldPause = nil
			n.resumeAfter(duration)
			return true
		}
	}
}

// Where the state service bears few changes, intents and their outcomes do not queue up
// behind bindings and submissions: machines would be asked for a minute late.
func TestIntentsDoNotWaitBehindOtherWrites(t *testing.T) {
	sim := newDeployment(t, 16, func(name string) *config.Settings {
		s := simSettings(name)
		s.Params.Teams = []config.Team{{Name: "red", CPUsMax: 900}, {Name: "blue", CPUsMax: 900}}
		s.Params.State.WriteRPS = 6
		return s
	}, cloudCapacity(8, 2))
	sim.state.KeepLog, sim.policy = true, simDutyPolicy(t, spreadDuties)
	for _, n := range sim.nodes {
		n.crash()
		n.start()
	}
	for i := range 600 {
		sim.At(sim.Now+model.Micros(i)*100*model.Millisecond, func() { sim.submit(arrayJob(i, 3, 8), 0) })
	}
	sim.Run(70 * model.Second)
	decided, outcomes := map[string]model.Micros{}, 0
	for _, write := range sim.state.Log {
		for _, op := range write.Txn.Then {
			rental, ok := op.Value.(duty.Rental)
			switch decidedAt, known := decided[rental.Request]; {
			case !ok || len(write.Rejected) > 0:
			case !known:
				decided[rental.Request] = write.At
			case write.At-decidedAt > 4*model.Second:
				t.Errorf("%s was decided at %.1f s and answered at %.1f s", rental.Request, decidedAt.Seconds(), write.At.Seconds())
			default:
				outcomes++
			}
		}
	}
	if outcomes < 10 {
		t.Errorf("%d outcomes", outcomes)
	}
	sim.requireInvariants()
}
