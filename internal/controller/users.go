package controller

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

const pingFresh = 2 * model.Second

// healthy tells whether users are to be sent here. A controller that is cut off
// alone can have siblings answer. When no controller reaches the state service,
// leaving the load balancer would only delay the return.
func (c *controller) healthy() bool {
	if !c.loaded {
		return false
	}
	return c.now-c.syncOK < 3*model.Second || c.alive > 0 && c.now-c.pingedAt < pingFresh
}

// unreached is the answer to a user when the state service is not reached.
func (c *controller) unreached() userapi.Answer {
	a := userapi.Error(503, "state not reachable", 1)
	if len(c.helpers) > 0 && c.now-c.pingedAt < pingFresh {
		a.Helper = c.helpers[int(c.now)%len(c.helpers)]
	}
	return a
}

// caughtUp runs f once the view has caught up with everything up to now, or
// answers that the state service is not reached.
func (c *controller) caughtUp(reply chan<- userapi.Answer, f func()) {
	if c.stateBad {
		reply <- c.unreached()
		return
	}
	c.afterSync(func(ok bool) {
		if !ok {
			reply <- c.unreached()
			return
		}
		f()
	})
}

// statusQuery answers a question about a job. All that wait share one catch-up of the
// view with the state service, however many they are, so that reads stay linearizable at
// a cost that does not grow with them. Users may ask many times as often as they used to:
// what is too much to be held is refused at once.
func (c *controller) statusQuery(m msgStatusRequest) {
	switch _, ended := c.view.Final(m.ref); {
	case ended:
		// An end never changes: it may be told at any time.
		m.reply <- c.pollAnswer(m.ref)
		return
	case c.stateBad:
		m.reply <- c.unreached()
		return
	case c.waitingReads >= c.maxWaitingReads():
		m.reply <- userapi.Error(429, "too many questions", 1)
		return
	}
	c.waitingReads++
	c.afterSync(func(ok bool) {
		c.waitingReads--
		if !ok {
			m.reply <- c.unreached()
			return
		}
		m.reply <- c.pollAnswer(m.ref)
	})
}

// How many questions may wait: at least so many, and so many where connections are not
// limited.
const (
	leastWaitingReads   = 64
	defaultWaitingReads = 1024
)

// maxWaitingReads bounds the questions that wait for a catch-up: each holds a connection,
// and when the state service is slow, they must not take those that workers' reports need.
func (c *controller) maxWaitingReads() int {
	if limit := c.set.Params.Quota.FDLimit; limit > 0 {
		return max(leastWaitingReads, limit/4)
	}
	return defaultWaitingReads
}

// pollAnswer tells of a job. The leader tells as well of how many machines it has failed
// on, as long as it fails everywhere: its user may have submitted it with a mistake.
func (c *controller) pollAnswer(ref string) userapi.Answer {
	status, done, running, known := c.view.Status(ref)
	if !known {
		return userapi.Error(404, "no such job", 0)
	}
	return userapi.State(ref, status, done, running, c.failedMachines(ref))
}

// failedMachines is on how many machines a job has failed that fails everywhere, 0 for
// another, or where this controller does not lead.
func (c *controller) failedMachines(ref string) int {
	if c.leading == nil || !c.leading.ready {
		return 0
	}
	js := c.leading.block.Jobs[ref]
	if js == nil || !js.NeedsBackoff() {
		return 0
	}
	return len(js.FailedMachines)
}

// maxUserQueue bounds the submissions that wait, to about a second's worth: more
// could not be written in time, and are refused at once.
func (c *controller) maxUserQueue() int { return max(4, int(c.budget.Rate())) }

func (c *controller) submit(m msgSubmit) {
	status, _, _, known := c.view.Status(m.ref)
	if _, ended := c.view.Final(m.ref); ended {
		m.reply <- userapi.Accepted(200, m.ref, status)
		return
	}
	if c.stateBad {
		m.reply <- c.unreached()
		return
	}
	if known {
		c.caughtUp(m.reply, func() {
			status, _, _, _ := c.view.Status(m.ref)
			m.reply <- userapi.Accepted(200, m.ref, status)
		})
		return
	}
	if m.err != nil {
		c.refuseUnknown(m, 400, m.err.Error())
		return
	}
	if len(c.view.MachineTypes) == 0 {
		m.reply <- userapi.Error(503, "machine types not known yet", 1)
		return
	}
	if why := m.sub.Job(0).CanEverRun(c.teams, c.view.MachineTypes); why != "" {
		c.refuseUnknown(m, 422, why)
		return
	}
	if !c.fits(shard.JobRecord{Spec: m.sub, End: state.Cancelled}) {
		c.refuseUnknown(m, 422, "too large")
		return
	}
	if why := c.cantAwait(m.sub); why != "" {
		// Another controller may have accepted it a moment ago.
		c.caughtUp(m.reply, func() {
			if why := c.cantAwait(m.sub); why != "" {
				c.refuseUnknown(m, 422, why)
				return
			}
			c.enqueue(m)
		})
		return
	}
	c.enqueue(m)
}

// cantAwait tells why a submission can't wait for what it names, or "".
func (c *controller) cantAwait(sub *model.Submission) string {
	for _, a := range sub.Awaits {
		j := c.view.Jobs[a]
		switch {
		case a == sub.ID:
			return "awaits itself"
		case !c.view.Known(a):
			return "awaits " + a + ", which was never accepted"
		case j.Submission != nil && j.Submission.Kind == "service":
			return "awaits " + a + ", a service"
		}
	}
	return ""
}

// enqueue has an acceptance made durable.
func (c *controller) enqueue(m msgSubmit) {
	if len(c.users) >= c.maxUserQueue() {
		m.reply <- userapi.Error(429, "too many submissions", 2)
		return
	}
	for i := range c.users {
		if c.users[i].ref == m.ref && c.users[i].sub != nil {
			c.users[i].reply = append(c.users[i].reply, m.reply)
			return
		}
	}
	m.sub.AcceptedMs = c.wall()
	c.users = append(c.users, userWrite{ref: m.ref, sub: m.sub, reply: []chan<- userapi.Answer{m.reply}, expiry: c.now + 4*model.Second})
}

// refuseUnknown refuses a submission, unless its job turns out to be known: a
// known job is never answered 400 or 422, whatever its repetition says.
func (c *controller) refuseUnknown(m msgSubmit, code int, why string) {
	c.caughtUp(m.reply, func() {
		if status, _, _, known := c.view.Status(m.ref); known {
			m.reply <- userapi.Accepted(200, m.ref, status)
			return
		}
		m.reply <- userapi.Error(code, why, 0)
	})
}

func (c *controller) cancel(m msgCancel) {
	if end, ok := c.view.Final(m.ref); ok {
		m.reply <- userapi.Accepted(200, m.ref, end)
		return
	}
	c.caughtUp(m.reply, func() {
		if end, ok := c.view.Final(m.ref); ok {
			m.reply <- userapi.Accepted(200, m.ref, end)
			return
		}
		if _, _, _, known := c.view.Status(m.ref); !known {
			m.reply <- userapi.Error(404, "no such job", 0)
			return
		}
		w := userWrite{ref: m.ref, reply: []chan<- userapi.Answer{m.reply}, expiry: c.now + 4*model.Second}
		// Cancellations go before acceptances.
		c.users = append([]userWrite{w}, c.users...)
	})
}

// pumpUsers makes acceptances and cancellations durable.
func (c *controller) pumpUsers() {
	if len(c.users) == 0 {
		return
	}
	c.users = slices.DeleteFunc(c.users, func(u userWrite) bool {
		if c.now < u.expiry {
			return false
		}
		u.answer(userapi.Error(503, "try again", 1))
		return true
	})
	lane := laneUsers + slices.Index(c.busy[laneUsers:], false)
	if lane < laneUsers || c.now < c.pauses[laneUsers] {
		return
	}
	n := min(len(c.users), c.limits.TxnOps, c.budget.Left(c.now))
	if n <= 0 {
		return
	}
	t := &state.Txn{}
	var batch, rest []userWrite
	size := 0
	taken := map[string]bool{}
	for i, u := range c.users {
		var value any
		var bytes int
		if end, ended := c.view.Final(u.ref); ended && u.sub == nil {
			// It ended while this cancellation waited its turn. The guard would hold against
			// the end as the view has it by now, and the end would be written over.
			u.answer(userapi.Accepted(200, u.ref, end))
			continue
		}
		if u.sub != nil {
			raw, err := json.Marshal(u.sub)
			if err != nil {
				u.answer(userapi.Error(400, err.Error(), 0))
				continue
			}
			bytes, value = len(raw), shard.JobRecord{Spec: u.sub}
		} else {
			bytes, value = 600, c.cancelledRecord(c.view.Jobs[u.ref].Submission)
		}
		if len(batch) == n || size+bytes > 40_000 || taken[u.ref] {
			rest = append(rest, c.users[i])
			continue
		}
		taken[u.ref] = true
		size += bytes + 200
		key := state.JobKey(u.ref)
		g := state.Condition{Path: key}
		if u.sub == nil {
			g.Revision = c.view.Revisions[key]
		}
		t.Conditions = append(t.Conditions, g)
		t.Then = append(t.Then, state.Op{Set: key, Value: value})
		batch = append(batch, u)
	}
	c.users = rest
	if len(batch) == 0 {
		return
	}
	c.send(lane, msgCommitted{txn: t, users: batch})
}

// withdrawn is the record of a withdrawn job. What is kept of the submission has to
// fit, even if a larger one could be written when it was accepted: what counts is
// what may still be on machines.
func (c *controller) cancelledRecord(sub *model.Submission) shard.JobRecord {
	rec := shard.JobRecord{Spec: sub, End: state.Cancelled}
	if !c.fits(rec) {
		slim := *sub
		slim.Class, slim.Image, slim.MachineTypes, slim.Awaits = "-", "-", nil, nil
		rec.Spec = &slim
	}
	return rec
}

func (u *userWrite) answer(a userapi.Answer) {
	for _, r := range u.reply {
		r <- a
	}
	u.reply = nil
}

func (c *controller) usersCommitted(m msgCommitted) {
	switch {
	case m.err != nil && errors.Is(m.err, state.ErrBusy):
		c.budget.Drain(c.now)
		c.pauses[laneUsers] = c.now + 100*model.Millisecond
		c.users = append(m.users, c.users...)
	case errors.Is(m.err, state.ErrTooBig):
		c.tighten(m.err)
		c.users = append(m.users, c.users...)
	case m.err != nil:
		c.pauses[laneUsers] = c.now + 100*model.Millisecond
		for i := range m.users {
			m.users[i].answer(userapi.Error(503, "state not reachable", 1))
		}
	case m.res.OK:
		for i := range m.users {
			u := &m.users[i]
			c.view.Put(m.txn.Then[i].Set, m.txn.Then[i].Value, m.res.Revision)
			if u.sub != nil {
				u.answer(userapi.Accepted(201, u.ref, "pending"))
			} else {
				u.answer(userapi.Accepted(200, u.ref, "withdrawn"))
			}
			c.jobNews(u.ref)
		}
	default:
		failed := map[string]bool{}
		for _, p := range m.res.Failed {
			failed[strings.TrimPrefix(p, state.JobPrefix)] = true
		}
		for _, u := range m.users {
			if !failed[u.ref] {
				c.users = append(c.users, u)
				continue
			}
			// Somebody was faster: the state says what became of the job.
			c.afterSync(func(ok bool) {
				status, _, _, known := c.view.Status(u.ref)
				_, ended := c.view.Final(u.ref)
				switch {
				case !ok:
					u.answer(c.unreached())
				case known && (u.sub != nil || ended):
					u.answer(userapi.Accepted(200, u.ref, status))
				default:
					c.users = append(c.users, u)
				}
			})
		}
	}
}
