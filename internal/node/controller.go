package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"woadweir/internal/config"
	"woadweir/internal/core/block"
	"woadweir/internal/core/lead"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// Lanes of transactions: at most one of each is on its way. Users' changes have
// several, as now and then the state service takes very long for one: no two of
// them touch the same job without a guard, and they need no order.
const (
	laneElect = iota
	laneHolder
	laneMisc
	laneUsers // the first of userLanes
	userLanes = 4
	lanes     = laneUsers + userLanes
)

// theBlock is the one block of the present policy: the leader holds it.
const theBlock = "b0"

// Rhythm of the catch-ups.
const (
	syncLeast    = 60 * model.Millisecond  // at least, between two
	syncLeader   = 200 * model.Millisecond // at most, by the leader
	syncFollower = 400 * model.Millisecond // at most, by others
	syncOrphan   = 150 * model.Millisecond // at most, without a leader
	holdCheckin  = 250 * model.Millisecond // a response waits so long for its bindings
	syncShare    = 0.6                     // of the requests that the state service bears
)

// writeShare is a controller's part of the changes that the state service bears:
// half are the leader's, the others share the rest. As long as nothing is
// refused, the leader may take three quarters, each of the others a third: when
// little is borne, tasks wait for their bindings to be written.
func (c *controller) writeShare(leads bool) (share, most float64) {
	all := c.limits.WriteRPS
	if leads || len(c.set.Siblings) == 0 {
		return all / 2, all * 3 / 4
	}
	return all / 2 / float64(len(c.set.Siblings)), all / 3
}

// maxValue is how many bytes a value may have at most.
func (c *controller) maxValue() int { return int(c.limits.ValueKB * 960) }

// fits tells whether a record can be written.
func (c *controller) fits(rec any) bool {
	raw, err := json.Marshal(rec)
	return err == nil && len(raw) <= c.maxValue()
}

// denseBelow is the size of values from which on the plain form of bundles is dense
// enough.
const denseBelow = 8 << 10

// dense tells whether bundles are to be written in the dense form: values are small,
// and all controllers read it. A controller that has once had a version with it never
// comes back with one before, so having seen each once is enough, or what somebody has
// written who has.
func (c *controller) dense() bool {
	if c.maxValue() >= denseBelow {
		return false
	}
	for name, l := range c.view.Layouts {
		c.layouts[name] = max(c.layouts[name], l)
	}
	all := c.layouts[c.set.NodeName] >= state.Layout
	for _, s := range c.set.Siblings {
		all = all && c.layouts[s.NodeName] >= state.Layout
	}
	return all || c.view.Newest >= state.Layout
}

// tighten makes what is written smaller, after the state service has refused as too
// large what the settings allow.
func (c *controller) tighten(err error) {
	c.limits.TxnOps = max(2, c.limits.TxnOps/2)
	c.limits.ValueKB = max(1, c.limits.ValueKB/2)
	slog.Error("the state service bears less than the settings say", "err", err, "txn_ops", c.limits.TxnOps, "value_kb", c.limits.ValueKB)
}

// held is a response to a worker that waits for bindings to become durable.
type held struct {
	msg   msgCheckin
	until model.Micros
}

// controller is the actor that owns the view, the user queue and, when leading,
// the holder and the renting loop.
type controller struct {
	set   *config.Settings
	op    *config.Operator
	clock Clock
	io    effects
	now   model.Micros
	wall  func() int64 // time of day, ms

	limits   config.Limits // of the state service
	teams    map[string]*model.Team
	auth     lead.Authority
	session  uint64
	resigned uint64 // a session that was given up, whatever is heard of it
	view     *state.View
	loaded   bool

	syncing   bool
	syncAt    model.Micros // when the last one was sent
	syncOK    model.Micros // when the last good one was sent
	syncNotBy model.Micros // not before, after an error
	syncGap   model.Micros // between two at least
	wantList  bool
	waiting   []func(ok bool) // run when a catch-up that starts later has ended
	inSync    []func(ok bool) // those of the one on its way

	users  []userWrite
	busy   [lanes]bool
	pauses [lanes]model.Micros
	budget *state.Budget

	stateBad bool // the last catch-up failed
	pinging  bool
	pingAt   model.Micros   // when siblings were last asked
	pingedAt model.Micros   // when they last answered
	alive    int            // siblings that answered
	helpers  []string       // siblings that reach the state service
	cutPings int            // pings in a row that spoke for resigning
	layouts  map[string]int // of the nodes' processes, the newest seen of each

	// Workers that report here themselves, and reports that are handed on.
	seen       map[string]model.Micros // when they reported here last
	seenAt     model.Micros            // when seen was last cleared of those that are gone
	routes     map[string]route
	homeAt     model.Micros // home counts from then
	home       int          // workers that were asked to come here themselves
	relays     []string     // siblings that hand reports on
	relayNext  int
	relayNotBy model.Micros // no report is handed on before

	leading *leadership
}

func newController(set *config.Settings, op *config.Operator, spans lead.Spans, clock Clock, io effects) *controller {
	// Catch-ups of all controllers together take at most so much of what the state
	// service bears; transactions and sessions need the rest.
	nodes := len(set.Siblings) + 1
	limits := set.StateLimits()
	gap := model.Seconds(float64(nodes) / (syncShare * limits.RPS))
	c := &controller{set: set, limits: limits, op: op, clock: clock, io: io, teams: set.Teams(), auth: lead.Authority{Spans: spans},
		syncGap: max(syncLeast, gap), seen: map[string]model.Micros{}, routes: map[string]route{}, layouts: map[string]int{}, view: state.NewView(), wantList: true,
		wall: func() int64 { return time.Now().UnixMilli() }}
	c.budget = state.NewBudget(c.writeShare(false))
	return c
}

// run takes messages until the context ends.
func (c *controller) run(ctx context.Context, mail <-chan any) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-mail:
			c.take(m)
			for range 64 {
				select {
				case m = <-mail:
					c.take(m)
					continue
				default:
				}
				break
			}
		}
		c.step()
	}
}

func (c *controller) take(m any) {
	c.now = c.clock()
	switch m := m.(type) {
	case msgTick:
	case msgPoll:
		c.poll(m)
	case msgSubmit:
		c.submit(m)
	case msgWithdraw:
		c.withdraw(m)
	case msgUp:
		m.reply <- c.healthy()
	case msgReached:
		m.reply <- pinged{c.loaded && !c.suspect(), c.direct()}
	case msgPinged:
		c.pinging, c.pingedAt = false, c.now
		c.alive, c.helpers, c.relays = m.alive, m.helpers, m.relays
		c.considerResigning(m)
	case msgCheckin:
		c.checkin(m)
	case msgRelayFailed:
		c.relayNotBy = c.now + failedFor
	case msgSession:
		c.sessionNews(m)
	case msgSynced:
		c.synced(m)
	case msgCommitted:
		c.committed(m)
	case msgFlavors:
		c.gotFlavors(m)
	case msgListed:
		c.listed(m)
	case msgRented:
		c.rented(m)
	case msgDeleted:
		c.deleted(m)
	default:
		panic("node: unknown message")
	}
}

// step does what is due.
func (c *controller) step() {
	c.now = c.clock()
	c.passOn()
	c.startSync()
	c.startPing()
	c.elect()
	c.pumpUsers()
	if c.leading != nil {
		c.lead()
	}
}

// --- session and leadership

func (c *controller) sessionNews(m msgSession) {
	if m.id == 0 {
		c.auth.Ended()
		c.session = 0
		c.stepDown("session over")
		return
	}
	if m.id == c.resigned {
		return
	}
	if m.id != c.session && c.session != 0 {
		c.stepDown("new session")
	}
	c.session = m.id
	c.auth.Touched(m.sent)
}

// elect tries for the leader's key when nobody has it. When an earlier try was
// carried out but its answer was lost, the key is there under our own session:
// then only the grant is written, anew, as for any takeover.
func (c *controller) elect() {
	if c.leading != nil || c.session == 0 || c.busy[laneElect] || c.now < c.pauses[laneElect] || !c.auth.Holds(c.now) {
		return
	}
	ours := c.view.Leader != nil && c.view.Leader.Session == c.session
	if c.view.Leader != nil && !ours {
		return
	}
	grant := "grant/" + theBlock
	rec := state.GrantRecord{Holder: c.set.NodeName, Session: c.session, Credit: c.credit()}
	if !c.fits(rec) {
		rec.Credit = nil // which is the whole of every team's limit, too
	}
	t := &state.Txn{
		Guards: []state.Guard{{Path: "leader", Stamp: c.view.Stamps["leader"]}, {Path: grant, Stamp: c.view.Stamps[grant]}},
		Then:   []state.Op{{Set: grant, Value: rec}}}
	if !ours {
		t.Then = append(t.Then, state.Op{Set: "leader", Value: state.LeaderRecord{Node: c.set.NodeName, Session: c.session}, Tenancy: c.session})
	}
	c.send(laneElect, msgCommitted{txn: t, token: c.session})
}

// credit is each team's whole limit: the one holder has it all.
func (c *controller) credit() map[string]model.Need {
	m := map[string]model.Need{}
	for n, t := range c.teams {
		m[n] = t.Max
	}
	return m
}

func (c *controller) setShare(leads bool) {
	share, most := c.writeShare(leads)
	c.budget.SetRate(share, most, c.now)
}

func (c *controller) elected(m msgCommitted) {
	c.pauses[laneElect] = c.now + 300*model.Millisecond
	if m.err != nil || !m.res.OK {
		return
	}
	if m.token != c.session {
		// The session it was won with is over, and the key with it.
		return
	}
	for _, op := range m.txn.Then {
		c.view.Put(op.Set, op.Value, m.res.Epoch)
	}
	slog.Info("leader", "token", m.res.Epoch)
	c.setShare(true)
	c.leading = newLeadership(c, m.res.Epoch)
}

func (c *controller) stepDown(why string) {
	if c.leading == nil {
		return
	}
	slog.Info("step down", "why", why)
	for _, h := range c.leading.held {
		h.msg.reply <- c.elsewhere()
	}
	c.leading = nil
	c.setShare(false)
}

// --- catching up

func (c *controller) afterSync(f func(ok bool)) { c.waiting = append(c.waiting, f) }

func (c *controller) startSync() {
	if c.syncing || c.now < c.syncNotBy || c.now-c.syncAt < c.syncGap && c.syncAt != 0 {
		return
	}
	gap := syncFollower
	switch {
	case c.leading != nil:
		gap = syncLeader
	case c.view.Leader == nil:
		gap = syncOrphan
	}
	if len(c.waiting) == 0 && c.loaded && c.now-c.syncAt < gap {
		return
	}
	c.syncing, c.syncAt = true, c.now
	c.inSync, c.waiting = c.waiting, nil
	c.io.sync(c.view.Epoch, c.wantList)
}

func (c *controller) synced(m msgSynced) {
	c.syncing = false
	waiters := c.inSync
	c.inSync = nil
	c.stateBad = m.err != nil && !errors.Is(m.err, state.ErrTooOld) && !errors.Is(m.err, state.ErrBusy)
	if m.err == nil && m.view == nil {
		for i := range m.changes.Events {
			if err := c.apply(&m.changes.Events[i]); err != nil {
				m.err = err
				break
			}
		}
	}
	if m.err != nil {
		slog.Debug("sync", "err", m.err)
		if errors.Is(m.err, state.ErrLayout) {
			// Whoever wrote that knows of jobs or bindings that we would miss.
			slog.Error("the state service holds what this version can't read; not serving", "err", m.err)
			c.loaded, c.wantList, c.stateBad = false, true, true
			c.syncNotBy = c.now + 5*model.Second
			c.stepDown("unreadable records")
		} else if errors.Is(m.err, state.ErrTooOld) {
			c.wantList = true
		} else {
			c.syncNotBy = c.now + 200*model.Millisecond
		}
		for _, f := range waiters {
			f(false)
		}
		return
	}
	if m.view != nil {
		c.view, c.loaded, c.wantList = m.view, true, false
		c.view.TakeNews() // everything is told
		if c.leading != nil {
			c.leading.reload()
		}
	} else {
		c.view.Epoch = max(c.view.Epoch, m.changes.Epoch)
	}
	c.syncOK = m.sent
	c.auth.Synced(m.sent)
	if l := c.leading; l != nil {
		if c.view.Leader == nil || c.view.Leader.Session != c.session || c.view.Stamps["grant/"+theBlock] != l.token {
			c.stepDown("the state says that another leads")
		} else if !l.ready && c.view.Epoch >= l.token {
			l.takeOver()
		}
		l.resync = false
	}
	for _, f := range waiters {
		f(true)
	}
}

// apply takes a change into the view, and tells the holder of new and ended
// jobs.
func (c *controller) apply(e *state.Event) error {
	if e.Drop != "" {
		c.view.Drop(e.Drop, e.Stamp)
		return nil
	}
	if set, err := c.view.Set(e.Set, e.Value, e.Stamp); !set || err != nil {
		return err
	}
	if ref, ok := strings.CutPrefix(e.Set, jobPrefix); ok {
		c.jobNews(ref)
	}
	return nil
}

// jobNews tells the holder what the view says of a job.
func (c *controller) jobNews(ref string) {
	if c.leading != nil && c.leading.ready {
		c.leading.jobNews(ref)
	}
}

// passOn tells the holder of jobs whose standing changed through others: an end may
// come with a catch-up or with our own transactions, and what waits for it may be
// all that is left to do.
func (c *controller) passOn() {
	for _, ref := range c.view.TakeNews() {
		c.jobNews(ref)
	}
}

const jobPrefix = "job/"

// --- when the state service is not reached

// suspect tells that the state service may not be reached: the last catch-up
// failed, or the present one takes long.
func (c *controller) suspect() bool {
	return c.stateBad || c.syncing && c.now-c.syncAt > 300*model.Millisecond
}

// startPing asks the siblings whether they reach the state service, as long as
// this controller may not, and whether workers come to them, as long as none
// comes to a leader; a leader to which very many come asks which of them hand
// reports on.
func (c *controller) startPing() {
	if c.pinging || len(c.set.Siblings) == 0 || c.pingAt != 0 && c.now-c.pingAt < 500*model.Millisecond {
		return
	}
	crowded := c.leading != nil && c.now-c.pingAt >= pingCrowd && c.crowd() >= crowdPing
	if !crowded && !c.suspect() && !c.deserted() {
		return
	}
	c.pinging, c.pingAt = true, c.now
	c.io.ping()
}

// deserted tells that this controller leads and holds machines that are up, but
// that none has reported to it itself for a while.
func (c *controller) deserted() bool {
	l := c.leading
	if l == nil || !l.ready || c.direct() > 0 {
		return false
	}
	up := 0
	for _, m := range l.h.Hosts {
		if m.Up && !m.Lost && !m.Deleting {
			up++
		}
	}
	return up > 1
}

// considerResigning gives leadership up when a sibling can do what this
// controller can't: reach the state service, or the workers. It stops acting
// first, so its session can be ended at once and nobody has to wait until it
// runs out. Two pings in a row have to say so.
func (c *controller) considerResigning(m msgPinged) {
	cut := c.suspect() && c.now-c.syncOK > 2*model.Second && len(m.helpers) > 0
	alone := c.deserted() && m.workers > 0
	if c.leading == nil || c.session == 0 || !cut && !alone {
		c.cutPings = 0
		return
	}
	if c.cutPings++; c.cutPings < 2 {
		return
	}
	c.cutPings = 0
	session, helper := c.session, ""
	if cut {
		helper = m.helpers[0]
	}
	c.auth.Ended()
	c.session, c.resigned = 0, session
	c.pauses[laneElect] = c.now + 5*model.Second
	c.stepDown("resigned: a sibling reaches what this node does not")
	c.io.resign(session, helper)
}

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

// --- users

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

func (c *controller) poll(m msgPoll) {
	if _, ok := c.view.Final(m.ref); ok {
		// An end never changes: it may be told at any time.
		m.reply <- c.pollAnswer(m.ref)
		return
	}
	c.caughtUp(m.reply, func() { m.reply <- c.pollAnswer(m.ref) })
}

func (c *controller) pollAnswer(ref string) userapi.Answer {
	status, done, running, known := c.view.Status(ref)
	if !known {
		return userapi.Error(404, "no such job", 0)
	}
	return userapi.State(ref, status, done, running)
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
	if len(c.view.Flavors) == 0 {
		m.reply <- userapi.Error(503, "machine types not known yet", 1)
		return
	}
	if why := m.sub.Job(0).CanEverRun(c.teams, c.view.Flavors); why != "" {
		c.refuseUnknown(m, 422, why)
		return
	}
	if !c.fits(block.JobRecord{Spec: m.sub, End: state.Withdrawn}) {
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
		case a == sub.Ref:
			return "awaits itself"
		case !c.view.Known(a):
			return "awaits " + a + ", which was never accepted"
		case j.Sub != nil && j.Sub.Shape == "service":
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
	m.sub.AtMs = c.wall()
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

func (c *controller) withdraw(m msgWithdraw) {
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
			bytes, value = len(raw), block.JobRecord{Spec: u.sub}
		} else {
			bytes, value = 600, c.withdrawn(c.view.Jobs[u.ref].Sub)
		}
		if len(batch) == n || size+bytes > 40_000 || taken[u.ref] {
			rest = append(rest, c.users[i])
			continue
		}
		taken[u.ref] = true
		size += bytes + 200
		key := jobPrefix + u.ref
		g := state.Guard{Path: key}
		if u.sub == nil {
			g.Stamp = c.view.Stamps[key]
		}
		t.Guards = append(t.Guards, g)
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
func (c *controller) withdrawn(sub *model.Submission) block.JobRecord {
	rec := block.JobRecord{Spec: sub, End: state.Withdrawn}
	if !c.fits(rec) {
		slim := *sub
		slim.Class, slim.Bundle, slim.Builds, slim.Awaits = "-", "-", nil, nil
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
			c.view.Put(m.txn.Then[i].Set, m.txn.Then[i].Value, m.res.Epoch)
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
			failed[strings.TrimPrefix(p, jobPrefix)] = true
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

// --- transactions

func (c *controller) send(lane int, m msgCommitted) {
	m.lane = lane
	c.busy[lane] = true
	c.budget.Spend(len(m.txn.Then), c.now)
	c.io.commit(m)
}

func (c *controller) committed(m msgCommitted) {
	c.busy[m.lane] = false
	switch {
	case m.lane == laneElect:
		c.elected(m)
	case m.lane >= laneUsers:
		c.usersCommitted(m)
	default:
		if c.leading != nil && c.leading.token == m.token {
			c.leading.committed(m)
		}
	}
}
