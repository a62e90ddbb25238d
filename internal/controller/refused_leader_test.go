package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
)

// refusedAlone has the state service refuse the leader alone, and jobs cancelled through
// another controller before long has passed. Now and then an answer is lost on the way:
// then another seed has to do.
func refuseLeaderAndCancel(t *testing.T, ts workerTimes, seed uint64, peersCutOff bool, long model.Micros) (m *failureScenario, l *simNode, us []*user, cut model.Micros) {
	for range 5 {
		m = newFailureScenario(t, ts, seed)
		seed += 1000
		a, b, c := m.startMixedLoad()
		us = []*user{a, b, c}
		l = m.requireLeader()
		l.setStateLink(linkRefusing)
		l.peersCutOff, cut = peersCutOff, m.Now
		end := m.Now + min(long, 1800*model.Millisecond) - 50*model.Millisecond
		m.Run(m.Now + 50*model.Millisecond)
		if m.leader() != l {
			t.Fatal("the leader does not act any more when the cancellations come")
		}
		for _, u := range us {
			u.cancel(m.otherNode(l))
		}
		m.Run(end)
		told := 0
		for _, u := range us {
			if m.invariants.ReportedEnd(u.submission.ID) == "withdrawn" && m.tasksOnMachines(u) > 0 {
				told++
			}
		}
		if told == len(us) {
			return m, l, us, cut
		}
	}
	for _, u := range us {
		t.Logf("%s: %q, %d tasks", u.submission.ID, m.invariants.ReportedEnd(u.submission.ID), m.tasksOnMachines(u))
	}
	t.Fatalf("the cancellations are not confirmed in time, or nothing of the jobs runs\n%s", m.describe())
	return nil, nil, nil, 0
}

// The state service refuses the leader alone; another controller confirms cancellations;
// then it is down for all for longer than a cancellation may take, while the workers go on
// reporting to the old leader. What this guards: authority rests on when the last good
// touch and catch-up were sent, and the session is so short that with the workers' lease
// after it all is over in time.
func TestRefusedLeaderThenOutage(t *testing.T) {
	times := append([]workerTimes{{5, 26.5, 51.5}, {5, 26.5, 46.5}}, scenarioWorkerTimes...)
	for i, ts := range times {
		session := leadership.ComputeLeaseTimes(30*model.Second, model.Seconds(ts.lease), model.Seconds(ts.report), model.Seconds(ts.cancel)).TTL
		// The outage begins at once, before, at and after the end of the old leader's session.
		for k, until := range []model.Micros{model.Second, 2 * model.Second, session - model.Second/2, session, session + 2*model.Second} {
			for _, v := range outageVariants {
				t.Run(fmt.Sprintf("cancel %v outage after %.1f %s", ts.cancel, until.Seconds(), v.name), func(t *testing.T) {
					t.Parallel()
					v.run(t, ts, uint64(100+i*10+k), until)
				})
			}
		}
	}
}

// outageVariants are what comes on top of the refused leader and the outage.
var outageVariants = []outageVariant{
	{name: "plain"},
	{name: "peers cut off", peersCutOff: true},
	{name: "back first", returnsFirst: true},
	{name: "hang", machinesHang: true, peersCutOff: true},
	{name: "heartbeats blocked", heartbeatsBlocked: true, returnsFirst: true},
	{name: "syncs lost", syncsLost: true, returnsFirst: true},
}

type outageVariant struct {
	name              string
	peersCutOff       bool // the leader is cut off from its siblings
	returnsFirst      bool // it is the first to come back
	machinesHang      bool // the machines of a cancelled job hang
	heartbeatsBlocked bool // every other machine reaches no controller
	syncsLost         bool // the leader is back first, its session renewed, without a catch-up for a while
}

func (v *outageVariant) run(t *testing.T, ts workerTimes, seed uint64, until model.Micros) {
	m, l, cancelled, cut := refuseLeaderAndCancel(t, ts, seed, v.peersCutOff, until)
	v.failMachines(m, cancelled[0])
	m.Run(cut + until)
	m.state.SetOutage(true)
	m.Run(max(m.Now, cut+14*model.Second))
	if !v.returnsFirst {
		l.setStateLink(linkOpen)
	}
	m.requireStopped(cancelled...)
	m.Run(m.Now + m.invariants.CancelLimit/4)
	if v.returnsFirst {
		for _, n := range m.nodes {
			if n != l {
				n.setStateLink(linkRefusing)
			}
		}
		l.setStateLink(linkOpen)
		l.syncsLost = v.syncsLost
	}
	m.state.SetOutage(false)
	if v.syncsLost {
		m.Run(m.Now + 2*m.sessionTTL())
		l.syncsLost = false
	}
	m.Run(m.Now + 3*model.Second)
	m.requireRecovery()
}

func (v *outageVariant) failMachines(m *failureScenario, cancelled *user) {
	for i, x := range m.cloud.Workers() {
		if v.machinesHang && x.HasTaskOf(cancelled.submission.ID) {
			x.SetHung(true)
			m.After(m.workerLease()/2+model.Micros(i)*model.Second, func() { x.SetHung(false) })
		}
		if v.heartbeatsBlocked {
			m.heartbeatsBlocked[x.ID] = i%2 == 0
		}
	}
}

// The same while starts of the cancelled job are still on their way to machines, and
// with a job that awaits it, which is withdrawn with it and never begins.
func TestRefusedLeaderThenOutageWithStartsInFlight(t *testing.T) {
	for i, ts := range scenarioWorkerTimes {
		for k, until := range []model.Micros{model.Second, 5 * model.Second, 10 * model.Second} {
			t.Run(fmt.Sprintf("cancel %v outage after %.1f", ts.cancel, until.Seconds()), func(t *testing.T) {
				t.Parallel()
				m := newFailureScenario(t, ts, uint64(300+i*10+k))
				m.startMixedLoad()
				first := m.submitArray(6, 300)
				m.runUntil(20*model.Second, "it is accepted", func() bool { return first.accepted })
				s := arrayJob(600, 2, 5)
				s.Awaits = []string{first.submission.ID}
				next := m.submitAndTrack(s)
				m.runUntil(20*model.Second, "that which awaits it is accepted", func() bool { return next.accepted })
				l := m.requireLeader()
				m.runUntil(90*model.Second, "starts are on their way", func() bool {
					j := l.ctl.leading.shard.Jobs[first.submission.ID]
					return j != nil && len(j.Bindings) > m.tasksOnMachines(first)
				})
				l.setStateLink(linkRefusing)
				cut := m.Now
				first.cancel(m.otherNode(l))
				m.waitForCancelled(10*model.Second, first)
				m.Run(max(m.Now, cut+until))
				m.state.SetOutage(true)
				m.Run(max(m.Now, cut+14*model.Second))
				l.setStateLink(linkOpen)
				m.requireStopped(first)
				m.Run(m.Now + m.invariants.CancelLimit/4)
				m.state.SetOutage(false)
				m.Run(m.Now + 3*model.Second)
				m.waitForCancelled(20*model.Second, next)
				if m.tasksOnMachines(next) > 0 {
					t.Error("what awaits a withdrawn job runs")
				}
				m.requireRecovery()
			})
		}
	}
}
