package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
)

// maxFailoverTime returns the longest time until another controller leads and has taken over:
// the TTL of the former leader's session, its expiry, which may come late, and the election.
func (sim *simDeployment) maxFailoverTime() model.Micros {
	return sim.nodes[0].ctl.authority.Times.TTL + 4*model.Second
}

// setIsolated cuts a controller off from the state service, the other controllers, workers and
// users, or connects it again. What it sends to the state service meanwhile is executed when the
// isolation ends.
func (n *simNode) setIsolated(isolated bool) {
	n.reachableByWorkers, n.peersCutOff, n.usersCutOff = !isolated, isolated, isolated
	if isolated {
		n.setStateLink(linkHolding)
	} else {
		n.setStateLink(linkOpen)
	}
}

// waitForOtherLeader waits until a controller other than the former leader has taken over, and
// checks that no two controllers hold authority meanwhile.
func (sim *simDeployment) waitForOtherLeader(former *simNode) {
	sim.t.Helper()
	sim.runUntil(sim.maxFailoverTime(), "another controller leads", func() bool {
		holders := 0
		for _, n := range sim.nodes {
			if n.alive && !n.paused && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
				holders++
			}
		}
		if holders > 1 {
			sim.t.Fatalf("%.1f s: %d controllers hold authority, want one at most\n%s", sim.Now.Seconds(), holders, sim.describe())
		}
		leader := sim.leader()
		return leader != nil && leader != former && !leader.paused && leader.ctl.leading.ready
	})
}

// startLongJobs submits arrays and gangs that last through a failover, and waits until they run.
func startLongJobs(sim *simDeployment) (users []*user) {
	for i := range 3 {
		users = append(users, sim.submit(arrayJob(i, 4, 45), 0))
		users = append(users, sim.submit(gangJob(10+i, 2, 45), 0))
	}
	sim.waitForRunningTasks(3*4 + 3*2)
	return users
}

// requireAllDone checks that every job was reported as done.
func (sim *simDeployment) requireAllDone(users []*user) {
	sim.t.Helper()
	for _, u := range users {
		if u.reportedEnd != "done" {
			sim.t.Errorf("%s: got end %q, want done", u.submission.ID, u.reportedEnd)
		}
	}
}

// A leader that is isolated for a minute or more is replaced within maxFailoverTime. Running tasks
// go on, since the next leader renews their leases. When the isolation ends, the former leader's
// held requests to the state service are executed late and change nothing.
func TestIsolatedLeader(t *testing.T) {
	for _, duration := range []model.Micros{60 * model.Second, 90 * model.Second} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.0f s, seed %d", duration.Seconds(), seed), func(t *testing.T) {
				sim := newSmallDeployment(t, 60+seed)
				users := startLongJobs(sim)
				starts := sim.invariants.Starts
				former := sim.leader()
				former.setIsolated(true)
				isolatedAt := sim.Now
				users = append(users, sim.submit(arrayJob(50, 4, 10), 0))
				sim.waitForOtherLeader(former)
				sim.Run(sim.Now + 10*model.Second)
				// No running task was lost: only the new job's tasks may have started.
				if n := sim.invariants.Starts - starts; n > 4 {
					t.Errorf("%d tasks started during the failover, want at most the 4 that were submitted", n)
				}
				sim.Run(isolatedAt + duration)
				former.setIsolated(false)
				sim.Run(sim.Now + 120*model.Second)
				sim.requireInvariants()
				sim.requireAllDone(users)
			})
		}
	}
}

// A leader whose process is paused while its clock goes on is replaced if the pause is longer than
// its session. When it resumes, it considers itself the leader until it reads its clock: it must
// not act on authority that it no longer holds. A short pause must do no harm.
func TestPausedLeader(t *testing.T) {
	ttl := newSmallDeployment(t, 1).nodes[0].ctl.authority.Times.TTL
	for _, pause := range []model.Micros{2 * model.Second, ttl - model.Second, ttl + model.Second, 30 * model.Second, 70 * model.Second} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.0f s, seed %d", pause.Seconds(), seed), func(t *testing.T) {
				sim := newSmallDeployment(t, 70+seed)
				users := startLongJobs(sim)
				former := sim.leader()
				token := former.ctl.leading.token
				former.pauseFor(pause)
				users = append(users, sim.submit(arrayJob(50, 4, 10), 0))
				cancelled := sim.submit(arrayJob(51, 4, 60), 3*model.Second)
				if pause > ttl+4*model.Second {
					sim.waitForOtherLeader(former)
					if leader := sim.leader(); leader.ctl.leading.token <= token {
						t.Errorf("the next leader's token %d is not above %d", leader.ctl.leading.token, token)
					}
					// The former leader answers the heartbeats that arrived during the pause when it resumes.
					sim.Run(sim.Now + pause - ttl)
					if leading := former.ctl.leading; leading != nil && former.ctl.authority.IsValid(former.ctl.clock()) && leading.token == token {
						t.Error("the former leader still leads under its old token")
					}
				}
				sim.Run(sim.Now + pause + 120*model.Second)
				sim.requireInvariants()
				sim.requireAllDone(users)
				if cancelled.reportedEnd != "withdrawn" {
					t.Errorf("%s, cancelled during the pause: got end %q, want withdrawn", cancelled.submission.ID, cancelled.reportedEnd)
				}
			})
		}
	}
}
