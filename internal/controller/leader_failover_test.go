package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
)

// failoverBound is how long it may take until another controller leads and has taken over:
// the session of the one before, its end, which may come late, and the election.
func (sim *simDeployment) maxFailoverTime() model.Micros {
	return sim.nodes[0].ctl.authority.Times.TTL + 4*model.Second
}

// silent cuts a controller off from all: the state service, the other controllers,
// workers and users. What it sends meanwhile is carried out when the cut ends.
func (n *simNode) setIsolated(isolated bool) {
	n.reachableByWorkers, n.peersCutOff, n.usersCutOff = !isolated, isolated, isolated
	if isolated {
		n.setStateLink(linkHolding)
	} else {
		n.setStateLink(linkOpen)
	}
}

// otherLeads waits until a controller other than the former leader has taken over, and
// sees that no two hold the authority to act meanwhile.
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
			sim.t.Fatalf("%.1f s: %d controllers hold authority\n%s", sim.Now.Seconds(), holders, sim.describe())
		}
		leader := sim.leader()
		return leader != nil && leader != former && !leader.paused && leader.ctl.leading.ready
	})
}

// longWork has arrays and gangs run that last through a failover.
func startLongJobs(sim *simDeployment) (users []*user) {
	for i := range 3 {
		users = append(users, sim.submit(arrayJob(i, 4, 45), 0))
		users = append(users, sim.submit(gangJob(10+i, 2, 45), 0))
	}
	sim.waitForRunningTasks(3*4 + 3*2)
	return users
}

// allDone sees that every job came to its end.
func (sim *simDeployment) requireAllDone(users []*user) {
	sim.t.Helper()
	for _, u := range users {
		if u.reportedEnd != "done" {
			sim.t.Errorf("%s: %q", u.submission.ID, u.reportedEnd)
		}
	}
}

// A leader that is silent for a minute or more is replaced within the bound. The tasks
// that run go on, as their leases are renewed by the next leader, and when the silence
// ends, all that the former leader had on its way is carried out late and changes nothing.
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
				// Nothing that ran was lost: only the new job's tasks may have begun.
				if n := sim.invariants.Starts - starts; n > 4 {
					t.Errorf("%d tasks began during the failover, more than what was submitted", n)
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

// A leader that stands still while its clock goes on is replaced if that takes longer
// than its session. When it goes on, it believes to lead until its clock is read: it must
// act on nothing that it no longer holds. A short pause costs it nothing.
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
					// Reports that came to it while it stood still are answered by it when it goes on.
					sim.Run(sim.Now + pause - ttl)
					if leading := former.ctl.leading; leading != nil && former.ctl.authority.IsValid(former.ctl.clock()) && leading.token == token {
						t.Error("the former leader goes on under its old token")
					}
				}
				sim.Run(sim.Now + pause + 120*model.Second)
				sim.requireInvariants()
				sim.requireAllDone(users)
				if cancelled.reportedEnd != "withdrawn" {
					t.Errorf("cancelled during the pause: %q", cancelled.reportedEnd)
				}
			})
		}
	}
}
