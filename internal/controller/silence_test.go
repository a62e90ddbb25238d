package controller

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
)

// failoverBound is how long it may take until another controller leads and has taken over:
// the session of the one before, its end, which may come late, and the election.
func (w *world) failoverBound() model.Micros {
	return w.nodes[0].ctl.authority.Times.TTL + 4*model.Second
}

// silent cuts a controller off from all: the state service, the other controllers,
// workers and users. What it sends meanwhile is carried out when the cut ends.
func (n *simNode) silent(yes bool) {
	n.workers, n.peersCutOff, n.usersCutOff = !yes, yes, yes
	if yes {
		n.setCut(holding)
	} else {
		n.setCut(open)
	}
}

// otherLeads waits until a controller other than the former leader has taken over, and
// sees that no two hold the authority to act meanwhile.
func (w *world) otherLeads(former *simNode) {
	w.t.Helper()
	w.until(w.failoverBound(), "another controller leads", func() bool {
		holders := 0
		for _, n := range w.nodes {
			if n.alive && !n.paused && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
				holders++
			}
		}
		if holders > 1 {
			w.t.Fatalf("%.1f s: %d controllers hold authority\n%s", w.Now.Seconds(), holders, w.describe())
		}
		l := w.leader()
		return l != nil && l != former && !l.paused && l.ctl.leading.ready
	})
}

// longWork has arrays and gangs run that last through a failover.
func longWork(w *world) (us []*user) {
	for i := range 3 {
		us = append(us, w.submit(arrayJob(i, 4, 45), 0))
		us = append(us, w.submit(gangJob(10+i, 2, 45), 0))
	}
	w.running(3*4 + 3*2)
	return us
}

// allDone sees that every job came to its end.
func (w *world) allDone(us []*user) {
	w.t.Helper()
	for _, u := range us {
		if u.ended != "done" {
			w.t.Errorf("%s: %q", u.sub.ID, u.ended)
		}
	}
}

// A leader that is silent for a minute or more is replaced within the bound. The tasks
// that run go on, as their leases are renewed by the next leader, and when the silence
// ends, all that the former leader had on its way is carried out late and changes nothing.
func TestSilentLeader(t *testing.T) {
	for _, silence := range []model.Micros{60 * model.Second, 90 * model.Second} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.0f s, seed %d", silence.Seconds(), seed), func(t *testing.T) {
				w := newWorld(t, 60+seed)
				us := longWork(w)
				starts := w.rules.Starts
				former := w.leader()
				former.silent(true)
				began := w.Now
				us = append(us, w.submit(arrayJob(50, 4, 10), 0))
				w.otherLeads(former)
				w.Run(w.Now + 10*model.Second)
				// Nothing that ran was lost: only the new job's tasks may have begun.
				if n := w.rules.Starts - starts; n > 4 {
					t.Errorf("%d tasks began during the failover, more than what was submitted", n)
				}
				w.Run(began + silence)
				former.silent(false)
				w.Run(w.Now + 120*model.Second)
				w.check()
				w.allDone(us)
			})
		}
	}
}

// A leader that stands still while its clock goes on is replaced if that takes longer
// than its session. When it goes on, it believes to lead until its clock is read: it must
// act on nothing that it no longer holds. A short pause costs it nothing.
func TestPausedLeader(t *testing.T) {
	ttl := newWorld(t, 1).nodes[0].ctl.authority.Times.TTL
	for _, pause := range []model.Micros{2 * model.Second, ttl - model.Second, ttl + model.Second, 30 * model.Second, 70 * model.Second} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.0f s, seed %d", pause.Seconds(), seed), func(t *testing.T) {
				w := newWorld(t, 70+seed)
				us := longWork(w)
				former := w.leader()
				token := former.ctl.leading.token
				former.pauseFor(pause)
				us = append(us, w.submit(arrayJob(50, 4, 10), 0))
				cancelled := w.submit(arrayJob(51, 4, 60), 3*model.Second)
				if pause > ttl+4*model.Second {
					w.otherLeads(former)
					if l := w.leader(); l.ctl.leading.token <= token {
						t.Errorf("the next leader's token %d is not above %d", l.ctl.leading.token, token)
					}
					// Reports that came to it while it stood still are answered by it when it goes on.
					w.Run(w.Now + pause - ttl)
					if l := former.ctl.leading; l != nil && former.ctl.authority.IsValid(former.ctl.clock()) && l.token == token {
						t.Error("the former leader goes on under its old token")
					}
				}
				w.Run(w.Now + pause + 120*model.Second)
				w.check()
				w.allDone(us)
				if cancelled.ended != "withdrawn" {
					t.Errorf("cancelled during the pause: %q", cancelled.ended)
				}
			})
		}
	}
}
