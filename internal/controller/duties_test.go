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

// simDutyPolicy returns the same policy, parsed from the text of a duties file, for every
// controller of a simulated deployment.
func simDutyPolicy(t *testing.T, file string) func(string) *duty.Policy {
	return func(string) *duty.Policy {
		policy, err := duty.ParseSettings([]byte(file), []string{"node-0", "node-1", "node-2"}, 60*model.Second)
		if err != nil {
			t.Fatal(err)
		}
		return policy
	}
}

// newDutyDeployment returns a small deployment with a duties file. Its simulated state service
// and cloud keep logs.
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

// dutyHolder returns the node that the state service records as the holder of a duty, nil if
// there is none.
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

// dutyViolations returns the violations of the duty invariants in the logs of the state
// service and the cloud.
func (sim *simDeployment) dutyViolations() []string {
	return standin.CheckDuties(sim.state.Log, sim.cloud.Calls).Violations
}

// requireDutyInvariants fails the test if a general or a duty invariant is violated.
func (sim *simDeployment) requireDutyInvariants() {
	sim.t.Helper()
	sim.requireInvariants()
	if violations := sim.dutyViolations(); len(violations) > 0 {
		sim.t.Fatalf("%d violations: %v", len(violations), violations[:min(5, len(violations))])
	}
}

// countRejectedWrites counts the writes of a node that were rejected because of a condition
// on a key with the prefix.
func (sim *simDeployment) countRejectedWrites(node, prefix string) (n int) {
	for _, write := range sim.state.Log {
		if write.Node == node && slices.ContainsFunc(write.Rejected, func(key string) bool { return strings.HasPrefix(key, prefix) }) {
			n++
		}
	}
	return n
}

// scheduleArrayJobs submits array jobs at a fixed interval, so that machines are rented and
// returned.
func (sim *simDeployment) scheduleArrayJobs(jobs int, interval model.Micros) {
	for i := range jobs {
		sim.At(sim.Now+model.Micros(i)*interval, func() { sim.submit(arrayJob(i, 6, 6), 0) })
	}
}

// requireAllEndBy runs the simulation up to the deadline and checks that every accepted job
// has ended.
func (sim *simDeployment) requireAllEndBy(deadline model.Micros) {
	sim.t.Helper()
	sim.Run(deadline)
	for jobID := range sim.invariants.Accepted {
		if sim.invariants.ReportedEnd(jobID) == "" {
			sim.t.Errorf("%s has not ended; %s", jobID, sim.describe())
		}
	}
	if len(sim.invariants.Accepted) == 0 {
		sim.t.Error("no job was accepted")
	}
}

// With duties spread, controllers other than the leader hold them, jobs run, machines are
// rented and returned, and only the holders call the cloud to do so.
func TestDutiesSpread(t *testing.T) {
	sim := newDutyDeployment(t, 5, spreadDuties)
	sim.scheduleArrayJobs(8, 15*model.Second)
	sim.Run(60 * model.Second)
	for _, name := range []duty.Name{duty.Renting, duty.Returning} {
		if h := sim.dutyHolder(name); h == nil || h == sim.leader() {
			t.Errorf("%s is held by %v, want a controller other than the leader", name, h)
		}
	}
	sim.requireAllEndBy(400 * model.Second)
	sim.requireDutyInvariants()
	if n := sim.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented, want at most 3", n)
	}
	if len(sim.cloud.Calls) < 4 {
		t.Errorf("%d calls to the cloud, want at least 4", len(sim.cloud.Calls))
	}
}

// Without a duties file no controller writes records of duties or intents.
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
				t.Fatalf("a transaction contains %s: %s", word, raw)
			}
		}
	}
}

// A holder that is paused for longer than its lease, at any point, has its writes rejected by
// the state service when it resumes. Everything that is rented or returned was decided once.
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
				// These points are reached only when a duty changes holders.
				sim.At(70*model.Second, func() { sim.dutyHolder(duty.Renting).cloudUnavailable = true })
				sim.At(75*model.Second, func() { sim.dutyHolder(duty.Returning).crash() })
			}
			sim.Run(140 * model.Second)
			if paused == nil && point != beforeRemoval {
				t.Errorf("point %d, seed %d: no controller reached the pause point", point, seed)
			}
			for _, n := range sim.nodes {
				n.cloudUnavailable = false
				if !n.alive {
					n.start()
				}
			}
			sim.requireAllEndBy(420 * model.Second)
			sim.requireDutyInvariants()
			if prefix := guardPrefixAt(point); paused != nil && prefix != "" && sim.countRejectedWrites(paused.name, prefix) == 0 {
				t.Errorf("point %d, seed %d: no write of %s was rejected because of a condition on %s", point, seed, paused.name, prefix)
			}
		}
	}
}

// guardPrefixAt returns the prefix of the key whose condition rejects the write that a
// controller sends when it resumes from a pause at the point, "" if it sends none.
func guardPrefixAt(point pausePoint) string {
	switch point {
	case beforeIntent:
		return "grant/"
	case beforeRentOutcome, beforeReturnOutcome, beforeHandOver:
		return duty.KeyPrefix
	}
	return ""
}

// A holder that gets no answer from the cloud hands the duty over and records the reason. It
// does not get the duty back while it is avoided. When the cloud answers no controller, the
// duty stays where it is.
func TestDutyHolderWithoutCloud(t *testing.T) {
	sim := newDutyDeployment(t, 7, spreadDuties)
	sim.scheduleArrayJobs(30, 5*model.Second)
	sim.Run(60 * model.Second)
	first := sim.dutyHolder(duty.Renting)
	first.cloudUnavailable = true
	sim.Run(95 * model.Second)
	second := sim.dutyHolder(duty.Renting)
	if second == first {
		t.Fatal("renting stays with a holder that can't reach the cloud")
	}
	if lease := second.ctl.view.Duties[duty.Renting]; lease.Why != duty.ReasonNoCloud || lease.Previous != first.name {
		t.Errorf("lease %+v, want reason %q and previous holder %s", lease, duty.ReasonNoCloud, first.name)
	}
	first.cloudUnavailable = false
	sim.Run(110 * model.Second)
	if sim.dutyHolder(duty.Renting) == first {
		t.Error("renting went back to its former holder while that holder is avoided")
	}
	for _, n := range sim.nodes {
		n.cloudUnavailable = true
	}
	writesBefore := sim.countLeaseWrites(duty.Renting)
	sim.Run(150 * model.Second)
	if writes := sim.countLeaseWrites(duty.Renting) - writesBefore; writes > 2 {
		t.Errorf("%d lease writes while the cloud answers no controller, want at most 2", writes)
	}
	for _, n := range sim.nodes {
		n.cloudUnavailable = false
	}
	sim.requireAllEndBy(500 * model.Second)
	sim.requireDutyInvariants()
}

// Errors by which the cloud says that it is called too often or has no capacity count as
// answers.
func TestBusyCloudCountsAsReachable(t *testing.T) {
	sim := newDutyDeployment(t, 17, spreadDuties)
	sim.Run(20 * model.Second)
	duties := sim.nodes[0].ctl.duties
	for _, err := range []error{cloud.ErrBusy, cloud.ErrNoCapacity, nil} {
		if duties.cloudAnswered(cloud.ErrUnavailable); duties.cloudFailingSince == 0 {
			t.Errorf("%v counts as an answer of the cloud", cloud.ErrUnavailable)
		}
		if duties.cloudAnswered(err); duties.cloudFailingSince != 0 {
			t.Errorf("%v does not count as an answer of the cloud", err)
		}
	}
}

// countLeaseWrites counts the accepted writes of a duty's lease.
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

// A holder that loses the connection to the state service stops holding its duties by itself.
// Another controller takes renting over, and the former holder does not take it back when
// it is connected again.
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
			t.Errorf("link state %d: the disconnected holder still holds %d duties", link, n)
		}
		second := sim.dutyHolder(duty.Renting)
		if second == nil || second == first {
			t.Fatalf("link state %d: no other controller took over renting", link)
		}
		first.setStateLink(linkOpen)
		sim.Run(88 * model.Second)
		if sim.dutyHolder(duty.Renting) != second || first.ctl.duties.held[duty.Renting] != 0 {
			t.Errorf("link state %d: the former holder took renting back when it was connected again", link)
		}
		sim.requireAllEndBy(420 * model.Second)
		sim.requireDutyInvariants()
		if now := sim.dutyHolder(duty.Renting).ctl.duties.held[duty.Renting]; now <= token {
			t.Errorf("link state %d: fencing token %d, want one above %d", link, now, token)
		}
	}
}

// While any controller may run the version in production, the leader performs all duties
// itself and no record of duties is written. Once no controller does, duties are spread.
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
		t.Errorf("%d records of duties while a controller runs the production version, want none", n)
	}
	if len(sim.cloud.Calls) == 0 {
		t.Error("nothing was rented while a controller runs the production version")
	}
	// One controller is rolled back to production before the last one is upgraded.
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
		t.Errorf("%d records of duties while a rolled-back controller runs the production version, want none", n)
	}
	restart(sim.nodes[1], false)
	sim.Run(190 * model.Second)
	if sim.state.KeyCount("duty/") != len(duty.Movable) {
		t.Errorf("%d duties are held once all controllers are upgraded, want %d", sim.state.KeyCount("duty/"), len(duty.Movable))
	}
	sim.requireAllEndBy(500 * model.Second)
	sim.requireInvariants()
}

// All controllers crash at the same time while machines are being rented. Every decision to rent
// is carried out once, by whichever controllers restart.
func TestAllControllersCrashWhileRenting(t *testing.T) {
	for seed := range uint64(6) {
		sim := newDutyDeployment(t, 20+seed, spreadDuties)
		sim.scheduleArrayJobs(12, 6*model.Second)
		sim.Run(40*model.Second + model.Micros(seed)*700*model.Millisecond)
		for i, n := range sim.nodes {
			n.crashFor(model.Micros(i)*900*model.Millisecond + sim.Between(50*model.Millisecond, 2*model.Second))
		}
		sim.requireAllEndBy(360 * model.Second)
		sim.requireDutyInvariants()
	}
}

// A leader that starts without a duties file keeps renting and returning machines through
// intents if the state service has records of duties.
func TestLeaderWithoutDutiesFileUsesIntents(t *testing.T) {
	sim := newDutyDeployment(t, 11, spreadDuties)
	sim.scheduleArrayJobs(14, 8*model.Second)
	sim.Run(50 * model.Second)
	sim.policy = nil
	for i, n := range sim.nodes {
		sim.After(model.Micros(i)*20*model.Second, func() { n.crash(); n.start() })
	}
	sim.requireAllEndBy(400 * model.Second)
	sim.requireDutyInvariants()
	if h := sim.dutyHolder(duty.Renting); h == nil || h != sim.leader() {
		t.Error("renting is not held by the leader, although there is no duties file")
	}
}

// When two controllers acquire a duty at the same time, one gets it, and the write of the
// other is logged as rejected.
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
		t.Fatalf("%d controllers try to acquire renting, want 2", len(delayedWrites))
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
		t.Errorf("%d acquisitions were accepted and %d rejected, want 1 accepted and at least 1 rejected", n, rejected)
	}
	first.start()
	sim.requireAllEndBy(360 * model.Second)
	sim.requireDutyInvariants()
}

// The duties move when the duties file prefers one controller for all of them, then a
// different controller for each, and when all controllers but one crash. Jobs keep running.
func TestDutiesFollowPreferredNodes(t *testing.T) {
	sim := newDutyDeployment(t, 14, `<duties><duty name="renting"><prefer>node-1</prefer></duty><duty name="returning"><prefer>node-1</prefer></duty>
		<duty name="cleanup"><prefer>node-1</prefer></duty><settle-s>5</settle-s></duties>`)
	checkHolders := func(want map[duty.Name]string) {
		t.Helper()
		for name, node := range want {
			if h := sim.dutyHolder(name); h == nil || h.name != node {
				t.Errorf("%.0f s: %s is held by %v, want %s", sim.Now.Seconds(), name, h, node)
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
	sim.requireDutyInvariants()
}

// countSpansByParent counts the spans that are recorded during run, by their name and their
// parent's, as in "call of intent".
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

// The leader's decision and another controller's call to the cloud belong to one trace.
func TestIntentTraceAcrossControllers(t *testing.T) {
	spans := countSpansByParent(func() {
		sim := newDutyDeployment(t, 15, spreadDuties)
		sim.scheduleArrayJobs(6, 5*model.Second)
		sim.Run(50 * model.Second)
		sim.dutyHolder(duty.Renting).crash()
		sim.Run(80 * model.Second)
	})
	if spans["call of intent"] < 2 || spans["acquire of "] < 3 {
		t.Errorf("spans %v, want at least 2 calls below an intent and 3 acquisitions", spans)
	}
}

// The holder of cleanup removes unused bundles under its fencing token. A removal that is
// carried out late does not delete what has been written since.
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
					t.Errorf("late removal: result %+v, error %v, want it rejected", res, err)
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
		t.Fatalf("no bundle was removed, there were %d", bundlesBefore)
	}
	if left := sim.state.KeyCount("bound/"); left >= bundlesBefore {
		t.Errorf("%d bundles are left, want fewer than the %d before the cleanup", left, bundlesBefore)
	}
	commitLate()
	sim.scheduleArrayJobs(10, model.Second)
	sim.requireAllEndBy(900 * model.Second)
	sim.requireDutyInvariants()
}

// Under random pauses, cut-off controllers, duplicated heartbeats, repeated requests and
// crashes, writes for a duty are never accepted from two holders, nothing is rented or
// returned without a decision, and no other invariant is violated.
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
		for jobID := range sim.invariants.Accepted {
			if sim.invariants.ReportedEnd(jobID) == "" {
				rt.Fatalf("%s has not ended; %s", jobID, sim.describe())
			}
		}
		dutyRecords += sim.state.KeyCount("duty/")
	})
	if dutyRecords == 0 {
		t.Error("no duty was held at the end of any run")
	}
}

// pauseAtNext pauses the controller when it next reaches the point, or immediately for
// noPausePoint.
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

// When the state service takes few writes per second, intents and their outcomes do not wait
// behind bindings and submissions. If they did, machines would be requested a minute late.
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
				t.Errorf("rental %s: intent written at %.1f s, outcome at %.1f s, want at most 4 s between them", rental.Request, decidedAt.Seconds(), write.At.Seconds())
			default:
				outcomes++
			}
		}
	}
	if outcomes < 10 {
		t.Errorf("%d outcomes within 4 s, want at least 10", outcomes)
	}
	sim.requireInvariants()
}
