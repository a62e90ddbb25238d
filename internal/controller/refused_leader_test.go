package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
)

// refuseLeaderAndCancel makes the state service refuse the leader's requests alone, and cancels
// jobs through another controller. All cancellations have to be confirmed before cancelWithin has
// passed, while tasks of the jobs still run. Sometimes an answer is lost on the way: then it tries
// again with another seed.
func refuseLeaderAndCancel(t *testing.T, times workerTimes, seed uint64, peersCutOff bool, cancelWithin model.Micros) (scenario *failureScenario, leader *simNode, users []*user, refusedAt model.Micros) {
	for range 5 {
		scenario = newFailureScenario(t, times, seed)
		seed += 1000
		array, gang, service := scenario.startMixedLoad()
		users = []*user{array, gang, service}
		leader = scenario.requireLeader()
		leader.setStateLink(linkRefusing)
		leader.peersCutOff, refusedAt = peersCutOff, scenario.Now
		end := scenario.Now + min(cancelWithin, 1800*model.Millisecond) - 50*model.Millisecond
		scenario.Run(scenario.Now + 50*model.Millisecond)
		if scenario.leader() != leader {
			t.Fatal("the leader lost its authority before the jobs were cancelled")
		}
		for _, u := range users {
			u.cancel(scenario.otherNode(leader))
		}
		scenario.Run(end)
		confirmed := 0
		for _, u := range users {
			if scenario.invariants.ReportedEnd(u.submission.ID) == "withdrawn" && scenario.tasksOnMachines(u) > 0 {
				confirmed++
			}
		}
		if confirmed == len(users) {
			return scenario, leader, users, refusedAt
		}
	}
	for _, u := range users {
		t.Logf("%s: end %q, %d tasks on machines", u.submission.ID, scenario.invariants.ReportedEnd(u.submission.ID), scenario.tasksOnMachines(u))
	}
	t.Fatalf("the cancellations were not confirmed in time, or no task of the jobs was running\n%s", scenario.describe())
	return nil, nil, nil, 0
}

// The state service refuses the leader alone, and another controller confirms cancellations. Then
// the state service is down for all controllers for longer than a cancellation may take, while
// the workers go on reporting to the old leader. The cancelled tasks must be gone in time all the
// same: the leader's authority counts from when the last successful session renewal and view
// sync were sent, and the session is short enough for the worker lease to expire after it within
// the time for a cancellation.
func TestRefusedLeaderThenOutage(t *testing.T) {
	allTimes := append([]workerTimes{{5, 26.5, 51.5}, {5, 26.5, 46.5}}, scenarioWorkerTimes...)
	for i, times := range allTimes {
		session := leadership.ComputeLeaseTimes(30*model.Second, model.Seconds(times.lease), model.Seconds(times.report), model.Seconds(times.cancel)).TTL
		// The outage begins at once, and before, at and after the end of the old leader's session.
		for k, outageAfter := range []model.Micros{model.Second, 2 * model.Second, session - model.Second/2, session, session + 2*model.Second} {
			for _, variant := range outageVariants {
				t.Run(fmt.Sprintf("cancel %v outage after %.1f %s", times.cancel, outageAfter.Seconds(), variant.name), func(t *testing.T) {
					t.Parallel()
					variant.run(t, times, uint64(100+i*10+k), outageAfter)
				})
			}
		}
	}
}

// outageVariants are further faults beside the refused leader and the outage.
var outageVariants = []outageVariant{
	{name: "plain"},
	{name: "peers cut off", peersCutOff: true},
	{name: "leader returns first", returnsFirst: true},
	{name: "machines hang", machinesHang: true, peersCutOff: true},
	{name: "heartbeats blocked", heartbeatsBlocked: true, returnsFirst: true},
	{name: "syncs lost", syncsLost: true, returnsFirst: true},
}

type outageVariant struct {
	name              string
	peersCutOff       bool // the leader is cut off from its siblings
	returnsFirst      bool // the leader is the first controller that reaches the state service again
	machinesHang      bool // the machines of a cancelled job hang
	heartbeatsBlocked bool // every other machine reaches no controller
	syncsLost         bool // the leader returns first and renews its session, but its view syncs get no answers for a while
}

func (v *outageVariant) run(t *testing.T, times workerTimes, seed uint64, outageAfter model.Micros) {
	scenario, leader, cancelled, refusedAt := refuseLeaderAndCancel(t, times, seed, v.peersCutOff, outageAfter)
	v.failMachines(scenario, cancelled[0])
	scenario.Run(refusedAt + outageAfter)
	scenario.state.SetOutage(true)
	scenario.Run(max(scenario.Now, refusedAt+14*model.Second))
	if !v.returnsFirst {
		leader.setStateLink(linkOpen)
	}
	scenario.requireStopped(cancelled...)
	scenario.Run(scenario.Now + scenario.invariants.CancelLimit/4)
	if v.returnsFirst {
		for _, n := range scenario.nodes {
			if n != leader {
				n.setStateLink(linkRefusing)
			}
		}
		leader.setStateLink(linkOpen)
		leader.syncsLost = v.syncsLost
	}
	scenario.state.SetOutage(false)
	if v.syncsLost {
		scenario.Run(scenario.Now + 2*scenario.sessionTTL())
		leader.syncsLost = false
	}
	scenario.Run(scenario.Now + 3*model.Second)
	scenario.requireRecovery()
}

func (v *outageVariant) failMachines(scenario *failureScenario, cancelled *user) {
	for i, worker := range scenario.cloud.Workers() {
		if v.machinesHang && worker.HasTaskOf(cancelled.submission.ID) {
			worker.SetHung(true)
			scenario.After(scenario.workerLease()/2+model.Micros(i)*model.Second, func() { worker.SetHung(false) })
		}
		if v.heartbeatsBlocked {
			scenario.heartbeatsBlocked[worker.ID] = i%2 == 0
		}
	}
}

// As TestRefusedLeaderThenOutage, while starts of the cancelled job are still on their way to
// machines, and with a job that awaits it. That job is cancelled too and must never start.
func TestRefusedLeaderThenOutageWithStartsInFlight(t *testing.T) {
	for i, times := range scenarioWorkerTimes {
		for k, outageAfter := range []model.Micros{model.Second, 5 * model.Second, 10 * model.Second} {
			t.Run(fmt.Sprintf("cancel %v outage after %.1f", times.cancel, outageAfter.Seconds()), func(t *testing.T) {
				t.Parallel()
				scenario := newFailureScenario(t, times, uint64(300+i*10+k))
				scenario.startMixedLoad()
				cancelled := scenario.submitArray(6, 300)
				scenario.runUntil(20*model.Second, "the job is accepted", func() bool { return cancelled.accepted })
				submission := arrayJob(600, 2, 5)
				submission.Awaits = []string{cancelled.submission.ID}
				dependent := scenario.submitAndTrack(submission)
				scenario.runUntil(20*model.Second, "the job that awaits it is accepted", func() bool { return dependent.accepted })
				leader := scenario.requireLeader()
				scenario.runUntil(90*model.Second, "starts are on their way to machines", func() bool {
					job := leader.ctl.leading.shard.Jobs[cancelled.submission.ID]
					return job != nil && len(job.Bindings) > scenario.tasksOnMachines(cancelled)
				})
				leader.setStateLink(linkRefusing)
				refusedAt := scenario.Now
				cancelled.cancel(scenario.otherNode(leader))
				scenario.waitForCancelled(10*model.Second, cancelled)
				scenario.Run(max(scenario.Now, refusedAt+outageAfter))
				scenario.state.SetOutage(true)
				scenario.Run(max(scenario.Now, refusedAt+14*model.Second))
				leader.setStateLink(linkOpen)
				scenario.requireStopped(cancelled)
				scenario.Run(scenario.Now + scenario.invariants.CancelLimit/4)
				scenario.state.SetOutage(false)
				scenario.Run(scenario.Now + 3*model.Second)
				scenario.waitForCancelled(20*model.Second, dependent)
				if scenario.tasksOnMachines(dependent) > 0 {
					t.Error("a job that awaits a cancelled job runs")
				}
				scenario.requireRecovery()
			})
		}
	}
}
