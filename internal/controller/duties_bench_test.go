package controller

import (
	"fmt"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// holderFailureCount is the number of failures of a holder that are measured with each number
// of controllers.
const holderFailureCount = 120

// holderFailure is a kind of failure by which a holder loses its duties.
type holderFailure struct {
	name    string
	inject  func(*simNode)
	restore func(*simNode) // ends the failure
}

// holderFailures returns the failures in the order in which they are injected.
func holderFailures() []holderFailure {
	pause := func(duration model.Micros) holderFailure {
		return holderFailure{fmt.Sprintf("paused %2.0f s", duration.Seconds()), func(n *simNode) { n.pauseFor(duration) }, func(*simNode) {}}
	}
	return []holderFailure{
		pause(5 * model.Second), pause(12 * model.Second), pause(40 * model.Second),
		{"restart after 20 s", func(n *simNode) { n.crash(); n.sim.After(20*model.Second, n.start) }, func(*simNode) {}},
		{"restart after 0.2 s", func(n *simNode) { n.crash(); n.sim.After(200*model.Millisecond, n.start) }, func(*simNode) {}},
		{"no state service", func(n *simNode) { n.setStateLink(linkDropping) }, func(n *simNode) { n.setStateLink(linkOpen) }},
		{"no cloud", func(n *simNode) { n.cloudUnavailable = true }, func(n *simNode) { n.cloudUnavailable = false }},
	}
}

// newDeploymentWithControllers returns a small deployment with the given number of controllers,
// three or more.
func newDeploymentWithControllers(b *testing.B, seed uint64, controllers int, policy func(string) *duty.Policy) *simDeployment {
	names := make([]string, controllers)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	settings := func(name string) *config.Settings {
		s := simSettings(name)
		s.Siblings = nil
		for _, other := range names {
			if other != name {
				s.Siblings = append(s.Siblings, config.Sibling{NodeName: other})
			}
		}
		return s
	}
	sim := newDeployment(&testing.T{}, seed, settings, cloudCapacity(4, 2))
	for _, name := range names[len(sim.nodes):] {
		sim.nodes = append(sim.nodes, &simNode{sim: sim, name: name, reachableByWorkers: true})
	}
	sim.state.KeepLog, sim.policy = true, policy
	for _, n := range sim.nodes {
		n.crash()
		n.start()
	}
	return sim
}

// handOverResults are the measurements of a run with repeated failures of the holder.
type handOverResults struct {
	withoutHolderMs map[string]*hdrhistogram.Histogram // time without a holder that can perform the duty, by failure
	keptByHolder    map[string]int                     // failures after which the holder kept the duty
	rejectedWrites  int
	violations      []string
}

// measureHandOvers makes the holder of renting fail repeatedly and measures the time until
// another lease is written.
func measureHandOvers(sim *simDeployment) handOverResults {
	results := handOverResults{withoutHolderMs: map[string]*hdrhistogram.Histogram{}, keptByHolder: map[string]int{}}
	failures := holderFailures()
	for _, failure := range failures {
		results.withoutHolderMs[failure.name] = hdrhistogram.New(1, 600_000, 3)
	}
	sim.scheduleArrayJobs(holderFailureCount*10, 8*model.Second)
	sim.Run(60 * model.Second)
	for i := range holderFailureCount {
		failure := failures[i%len(failures)]
		holder := sim.dutyHolder(duty.Renting)
		if holder == nil {
			sim.Run(sim.Now + 10*model.Second)
			continue
		}
		writesBefore, failedAt := sim.countLeaseWrites(duty.Renting), sim.Now
		failure.inject(holder)
		for sim.Now < failedAt+50*model.Second && sim.countLeaseWrites(duty.Renting) == writesBefore {
			sim.Run(sim.Now + 20*model.Millisecond)
		}
		if sim.countLeaseWrites(duty.Renting) == writesBefore {
			results.keptByHolder[failure.name]++
		} else if err := results.withoutHolderMs[failure.name].RecordValue(int64((sim.Now - failedAt) / model.Millisecond)); err != nil {
			panic(err)
		}
		sim.Run(failedAt + 55*model.Second)
		failure.restore(holder)
		sim.Run(sim.Now + 30*model.Second)
	}
	for _, write := range sim.state.Log {
		if len(write.Rejected) > 0 && writesDutyRecord(write.Txn) {
			results.rejectedWrites++
		}
	}
	results.violations = append(sim.invariants.Violations, sim.dutyViolations()...)
	return results
}

// writesDutyRecord reports whether a transaction writes a duty's lease or an intent.
func writesDutyRecord(txn *state.Txn) bool {
	for _, op := range txn.Then {
		switch op.Value.(type) {
		case duty.Lease, duty.Rental, duty.Return:
			return true
		}
	}
	return false
}

// requestedWritesPerSecond returns the number of writes per second that a deployment without
// faults requests from the state service.
func requestedWritesPerSecond(b *testing.B, policy func(string) *duty.Policy) float64 {
	sim := newDeploymentWithControllers(b, 3, 3, policy)
	sim.scheduleArrayJobs(60, 4*model.Second)
	sim.Run(300 * model.Second)
	return float64(sim.state.RequestedWrites) / 300
}

// BenchmarkDutyHandOver measures, in simulated time, how long renting is without a holder
// that can perform it. CI does not run it:
//
//	go test -run '^$' -bench DutyHandOver -benchtime 1x ./internal/controller
func BenchmarkDutyHandOver(b *testing.B) {
	policy, err := duty.ParseSettings([]byte(spreadDuties), []string{}, 60*model.Second)
	if err != nil {
		b.Fatal(err)
	}
	spread := func(string) *duty.Policy { return policy }
	b.Logf("simulated; requested writes per second at the state service, 3 controllers: %.2f without a duties file, %.2f with duties on the leader, %.2f with duties spread",
		requestedWritesPerSecond(b, nil), requestedWritesPerSecond(b, func(string) *duty.Policy { return duty.LeaderOnly() }), requestedWritesPerSecond(b, spread))
	for _, controllers := range []int{3, 5, 9} {
		b.Run(fmt.Sprint(controllers), func(b *testing.B) { reportHandOvers(b, controllers, spread) })
	}
}

// reportHandOvers measures hand-overs with the given number of controllers and logs the results.
func reportHandOvers(b *testing.B, controllers int, policy func(string) *duty.Policy) {
	sim := newDeploymentWithControllers(b, uint64(controllers), controllers, policy)
	results := measureHandOvers(sim)
	b.Logf("simulated; %d controllers, session %.1f s: %d fenced writes rejected, %d violations", controllers,
		sim.nodes[0].ctl.authority.Times.TTL.Seconds(), results.rejectedWrites, len(results.violations))
	for _, failure := range holderFailures() {
		histogram := results.withoutHolderMs[failure.name]
		b.Logf("simulated; %d controllers, %-19s: %3d hand-overs, ms without holder: median %d, p90 %d, max %d; kept by the holder %d", controllers, failure.name,
			histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90), histogram.Max(), results.keptByHolder[failure.name])
	}
	if len(results.violations) > 0 {
		b.Errorf("violations: %v", results.violations[:min(4, len(results.violations))])
	}
}
