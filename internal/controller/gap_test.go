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
func refusedAlone(t *testing.T, ts workerTimes, seed uint64, peersCutOff bool, long model.Micros) (m *meeting, l *simNode, us []*user, cut model.Micros) {
	for range 5 {
		m = newMeeting(t, ts, seed)
		seed += 1000
		a, b, c := m.load()
		us = []*user{a, b, c}
		l = m.requireLeader()
		l.setCut(refused)
		l.peersCutOff, cut = peersCutOff, m.Now
		end := m.Now + min(long, 1800*model.Millisecond) - 50*model.Millisecond
		m.Run(m.Now + 50*model.Millisecond)
		if m.leader() != l {
			t.Fatal("the leader does not act any more when the cancellations come")
		}
		for _, u := range us {
			u.cancel(m.other(l))
		}
		m.Run(end)
		told := 0
		for _, u := range us {
			if m.rules.ReportedEnd(u.sub.ID) == "withdrawn" && m.on(u) > 0 {
				told++
			}
		}
		if told == len(us) {
			return m, l, us, cut
		}
	}
	for _, u := range us {
		t.Logf("%s: %q, %d tasks", u.sub.ID, m.rules.ReportedEnd(u.sub.ID), m.on(u))
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
	times := append([]workerTimes{{5, 26.5, 51.5}, {5, 26.5, 46.5}}, meetingTimes...)
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
	{name: "back first", first: true},
	{name: "hang", hang: true, peersCutOff: true},
	{name: "heartbeats blocked", heartbeatsBlocked: true, first: true},
	{name: "syncs lost", syncsLost: true, first: true},
}

type outageVariant struct {
	name              string
	peersCutOff       bool // the leader is cut off from its siblings
	first             bool // it is the first to come back
	hang              bool // the machines of a cancelled job hang
	heartbeatsBlocked bool // every other machine reaches no controller
	syncsLost         bool // the leader is back first, its session renewed, without a catch-up for a while
}

func (v *outageVariant) run(t *testing.T, ts workerTimes, seed uint64, until model.Micros) {
	m, l, cancelled, cut := refusedAlone(t, ts, seed, v.peersCutOff, until)
	v.failMachines(m, cancelled[0])
	m.Run(cut + until)
	m.state.SetOutage(true)
	m.Run(max(m.Now, cut+14*model.Second))
	if !v.first {
		l.setCut(open)
	}
	m.requireStopped(cancelled...)
	m.Run(m.Now + m.rules.CancelLimit/4)
	if v.first {
		for _, n := range m.nodes {
			if n != l {
				n.setCut(refused)
			}
		}
		l.setCut(open)
		l.syncsLost = v.syncsLost
	}
	m.state.SetOutage(false)
	if v.syncsLost {
		m.Run(m.Now + 2*m.session())
		l.syncsLost = false
	}
	m.Run(m.Now + 3*model.Second)
	m.requireServed()
}

func (v *outageVariant) failMachines(m *meeting, cancelled *user) {
	for i, x := range m.cloud.Workers() {
		if v.hang && x.HasTaskOf(cancelled.sub.ID) {
			x.SetHung(true)
			m.After(m.lease()/2+model.Micros(i)*model.Second, func() { x.SetHung(false) })
		}
		if v.heartbeatsBlocked {
			m.heartbeatsBlocked[x.ID] = i%2 == 0
		}
	}
}

// The same while starts of the cancelled job are still on their way to machines, and
// with a job that awaits it, which is withdrawn with it and never begins.
func TestRefusedLeaderThenOutageWithStartsInFlight(t *testing.T) {
	for i, ts := range meetingTimes {
		for k, until := range []model.Micros{model.Second, 5 * model.Second, 10 * model.Second} {
			t.Run(fmt.Sprintf("cancel %v outage after %.1f", ts.cancel, until.Seconds()), func(t *testing.T) {
				t.Parallel()
				m := newMeeting(t, ts, uint64(300+i*10+k))
				m.load()
				first := m.submitArray(6, 300)
				m.until(20*model.Second, "it is accepted", func() bool { return first.accepted })
				s := arrayJob(600, 2, 5)
				s.Awaits = []string{first.sub.ID}
				next := m.add(s)
				m.until(20*model.Second, "that which awaits it is accepted", func() bool { return next.accepted })
				l := m.requireLeader()
				m.until(90*model.Second, "starts are on their way", func() bool {
					j := l.ctl.leading.shard.Jobs[first.sub.ID]
					return j != nil && len(j.Bindings) > m.on(first)
				})
				l.setCut(refused)
				cut := m.Now
				first.cancel(m.other(l))
				m.withdrawn(10*model.Second, first)
				m.Run(max(m.Now, cut+until))
				m.state.SetOutage(true)
				m.Run(max(m.Now, cut+14*model.Second))
				l.setCut(open)
				m.requireStopped(first)
				m.Run(m.Now + m.rules.CancelLimit/4)
				m.state.SetOutage(false)
				m.Run(m.Now + 3*model.Second)
				m.withdrawn(20*model.Second, next)
				if m.on(next) > 0 {
					t.Error("what awaits a withdrawn job runs")
				}
				m.requireServed()
			})
		}
	}
}
