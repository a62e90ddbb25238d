package controller

import (
	"errors"
	"log/slog"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// Rhythm of a controller's duties.
const (
	dutyGap         = 20 * model.Millisecond
	cleanGap        = 5 * model.Second
	outcomePatience = 5 * model.Second // outcomes that wait for longer are reported
)

// What makes a controller overloaded: ticks that come so late, so many in a row, for so
// long. A process that stood still once is late once.
const (
	lateTick       = model.Second
	lateTicksLeast = 3
	overloadedIn   = 5 * model.Second
)

// probeGap is how often a holder asks the cloud for something, so that it learns of a
// cloud that it can't reach before a rental or a deletion has to wait for that.
const probeGap = 4 * model.Second

// The histogram of the times for which duties were vacant, in milliseconds.
const (
	vacancyMostMs = 600_000
	vacancyDigits = 2
)

// dutyHolder is a controller's part in single-holder duties: it acquires leases, carries
// intents out and cleans up. It is part of the controller actor.
type dutyHolder struct {
	c         *controller
	candidate bool // it may hold duties without leading
	keeper    *duty.Keeper
	cleaner   *duty.Cleaner
	nodes     map[string]duty.Node
	held      map[duty.Name]uint64
	vacant    map[duty.Name]model.Micros // since when
	vacancies *hdrhistogram.Histogram    // of duties that this controller acquired
	resync    bool                       // a write failed: no further one before a catch-up
	writing   *leaseWrite                // on its way
	calls     map[string]*intentCall     // by the intent's key

	stepAt, cleanAt   model.Micros
	tickAt, lateSince model.Micros
	lateTicks         int
	cloudAskedAt      model.Micros
	outcomesAt        model.Micros // when outcomes were last written
	cloudFailingSince model.Micros
}

// leaseWrite is a write to a duty's lease.
type leaseWrite struct {
	duty.Action
	span tracing.Span
}

func newDutyHolder(c *controller, policy *duty.Policy) *dutyHolder {
	d := &dutyHolder{c: c, candidate: policy != nil, cleaner: duty.NewCleaner(), nodes: map[string]duty.Node{},
		held: map[duty.Name]uint64{}, vacant: map[duty.Name]model.Micros{}, vacancies: hdrhistogram.New(1, vacancyMostMs, vacancyDigits), calls: map[string]*intentCall{}}
	if policy == nil {
		policy = duty.LeaderOnly()
	}
	d.keeper = duty.NewKeeper(policy)
	return d
}

// recorded tells that the state service holds records of duties, so that every
// controller has to respect them.
func (d *dutyHolder) recorded() bool {
	v := d.c.view
	return v.Leader != nil && v.Leader.Duties || len(v.Duties)+len(v.Rentals)+len(v.Returns) > 0
}

// wanted tells whether a leader is to rent and return through intents: somebody has
// begun to, or the operators want it and every controller understands the records.
func (d *dutyHolder) wanted() bool {
	return d.recorded() || d.candidate && d.understood()
}

// understood tells whether every controller reads the records of duties, by the version
// that each has run last: one may have gone back to the version before in the middle of
// an upgrade, and would stop at them.
func (d *dutyHolder) understood() bool {
	return d.c.allHave(d.c.view.Layouts, state.LayoutDuties)
}

// ticked notes how late this actor is.
func (d *dutyHolder) ticked() {
	now := d.c.now
	switch {
	case d.tickAt == 0 || now-d.tickAt < lateTick:
		d.lateSince, d.lateTicks = 0, 0
	case d.lateTicks == 0:
		d.lateSince, d.lateTicks = d.tickAt, 1
	default:
		d.lateTicks++
	}
	d.tickAt = now
}

func (d *dutyHolder) overloaded() bool {
	return d.lateTicks >= lateTicksLeast && d.c.now-d.lateSince >= overloadedIn
}

// step does what is due.
func (d *dutyHolder) step() {
	c := d.c
	if !c.loaded || c.now-d.stepAt < dutyGap || !d.candidate && !d.recorded() {
		return
	}
	d.stepAt = c.now
	d.enable()
	s := d.situation()
	d.noteHeld(&s)
	d.carryOut(&s)
	if !c.lanes.free(laneDuty, c.now) || d.resync || s.Session == 0 {
		return
	}
	if l := c.view.Leader; l != nil && l.Duties {
		if action, ok := d.keeper.Decide(&s); ok {
			d.writeLease(action)
			return
		}
	}
	if !d.writeOutcomes(&s, duty.Renting) && !d.writeOutcomes(&s, duty.Returning) {
		d.clean(&s)
	}
}

// enable has a leader that was elected before all controllers understood the records
// say that it acts through intents from now on.
func (d *dutyHolder) enable() {
	c := d.c
	l := c.leading
	if l == nil || !l.ready || c.actsThroughIntents() || !d.wanted() || !c.lanes.free(laneMisc, c.now) || !c.auth.Holds(c.now) {
		return
	}
	grant := "grant/" + blockName
	c.lanes.pauseUntil(laneMisc, c.now+model.Second)
	c.send(laneMisc, msgCommitted{token: l.token, txn: &state.Txn{
		Conditions: []state.Condition{{Path: "leader", Revision: c.view.Revisions["leader"]}, {Path: grant, Revision: l.token}},
		Then:       []state.Op{{Set: "leader", Value: c.leaderRecord(), LeaseID: c.session}}}})
}

// situation is what the keeper looks at.
func (d *dutyHolder) situation() duty.Situation {
	c := d.c
	s := duty.Situation{Now: c.now, WallMs: c.wall(), Self: c.set.NodeName, Overloaded: d.overloaded(), CloudFailingSince: d.cloudFailingSince,
		Nodes: d.liveNodes(), Leases: map[duty.Name]duty.Held{}}
	if c.session != 0 && c.auth.Holds(c.now) {
		s.Session = c.session
	}
	if c.view.Leader != nil {
		s.Leader = c.view.Leader.Node
	}
	for name, lease := range c.view.Duties {
		s.Leases[name] = duty.Held{Lease: *lease, Token: c.view.Revisions[name.Key()]}
	}
	return s
}

// liveNodes are the controllers whose sessions stand, with since when.
func (d *dutyHolder) liveNodes() map[string]duty.Node {
	v := d.c.view
	for name := range d.nodes {
		if v.Nodes[name] == nil {
			delete(d.nodes, name)
		}
	}
	for name, rec := range v.Nodes {
		node, known := d.nodes[name]
		if !known || node.Session != rec.Session {
			node = duty.Node{Name: name, Session: rec.Session, Since: d.c.now}
		}
		node.Candidate, node.Revision = rec.Duties, v.Revisions["node/"+name]
		d.nodes[name] = node
	}
	return d.nodes
}

// noteHeld tells in the log what this controller has come to hold, and what it has lost
// and why.
func (d *dutyHolder) noteHeld(s *duty.Situation) {
	for _, name := range duty.Movable {
		token, mine := s.Holds(name)
		before := d.held[name]
		lease := s.Leases[name]
		if before != 0 && before != token {
			delete(d.held, name)
			slog.Info("duty lost", "duty", name, "token", before, "why", d.whyLost(s, lease))
		}
		if mine && before != token {
			d.held[name] = token
			d.noteVacancy(s, name)
			slog.Info("duty held", "duty", name, "token", token, "previous", lease.Previous, "previous_token", lease.PreviousToken, "why", lease.Why)
		}
		if lease.Token != 0 || d.c.view.Leader == nil || !d.c.view.Leader.Duties {
			delete(d.vacant, name)
		} else if _, known := d.vacant[name]; !known {
			d.vacant[name] = s.Now
		}
	}
	_, rents := d.held[duty.Renting]
	_, returns := d.held[duty.Returning]
	switch {
	case !rents && !returns:
		d.cloudFailingSince = 0
	case d.c.leading == nil && s.Now-d.cloudAskedAt >= probeGap: // a leader reads the machine list anyway
		d.cloudAskedAt = s.Now
		d.c.io.fetchMachineTypes()
	}
}

// cloudAnswered takes note of whether the cloud has answered a call. That it is asked too
// often, or has no capacity, is an answer.
func (d *dutyHolder) cloudAnswered(err error) {
	d.cloudAskedAt = d.c.now
	switch {
	case err == nil, errors.Is(err, cloud.ErrBusy), errors.Is(err, cloud.ErrNoCapacity):
		d.cloudFailingSince = 0
	case d.cloudFailingSince == 0:
		d.cloudFailingSince = d.c.now
	}
}

// noteVacancy records how long a duty was vacant before this controller held it.
func (d *dutyHolder) noteVacancy(s *duty.Situation, name duty.Name) {
	since, known := d.vacant[name]
	if !known {
		return
	}
	ms := int64((s.Now - since) / model.Millisecond)
	if err := d.vacancies.RecordValue(min(max(1, ms), vacancyMostMs)); err != nil {
		slog.Debug("vacancy", "err", err)
	}
	slog.Info("duty was vacant", "duty", name, "ms", ms, "median_ms", d.vacancies.ValueAtQuantile(50), "most_ms", d.vacancies.Max())
}

func (d *dutyHolder) whyLost(s *duty.Situation, lease duty.Held) string {
	switch {
	case d.c.session == 0:
		return "the session is over"
	case s.Session == 0:
		return "no authority: the state service was not reached in time"
	case lease.Token == 0:
		return "the lease is gone"
	default:
		return string(lease.Why) + ", held by " + lease.Holder
	}
}

// writeLease acquires a duty or hands it over.
func (d *dutyHolder) writeLease(a duty.Action) {
	c := d.c
	name := "acquire"
	if a.Kind == duty.HandOver {
		name = "hand over"
	}
	span := tracing.Start(c.traceOf(a.Name), name, attribute.String("duty", string(a.Name)), attribute.String("holder", a.Lease.Holder))
	a.Lease.Trace = span.Context()
	txn := &state.Txn{Conditions: []state.Condition{{Path: a.Name.Key(), Revision: a.Token}, {Path: "leader", Revision: c.view.Revisions["leader"]}},
		Then: []state.Op{{Set: a.Name.Key(), Value: a.Lease, LeaseID: a.Lease.Session}}}
	if a.Kind == duty.HandOver {
		txn.Conditions = append(txn.Conditions, state.Condition{Path: "node/" + a.Successor.Name, Revision: a.Successor.Revision})
	}
	d.writing = &leaseWrite{a, span}
	c.send(laneDuty, msgCommitted{txn: txn, token: a.Token})
}

// traceOf is the trace context of a duty's present lease.
func (c *controller) traceOf(name duty.Name) string {
	if lease := c.view.Duties[name]; lease != nil {
		return lease.Trace
	}
	return ""
}

// committed takes the end of a write to a lease, of outcomes or of removals.
func (d *dutyHolder) committed(m msgCommitted) {
	c := d.c
	written := d.writing
	d.writing = nil
	failure := ""
	switch {
	case m.err != nil:
		failure = m.err.Error()
		if c.writeFailed(m) {
			d.needSync()
		}
	case m.res.OK:
		c.view.Apply(m.txn, m.res.Revision)
	default:
		failure = "refused"
		d.refused(m)
		if c.writeFailed(m) {
			d.needSync()
		}
	}
	if written != nil {
		written.span.End(failure)
		if failure != "" {
			slog.Info("lease not written", "duty", written.Name, "holder", written.Lease.Holder, "why", failure)
		}
	}
}

// refused reports a write that the state service refused as another holds the duty.
func (d *dutyHolder) refused(m msgCommitted) {
	for _, name := range duty.Movable {
		if m.token != 0 && slices.Contains(m.res.Failed, name.Key()) {
			slog.Info("fenced write refused", "duty", name, "token", m.token, "keys", m.res.Failed)
			tracing.Start(d.c.traceOf(name), "refusal", attribute.String("duty", string(name)), attribute.Int64("token", int64(m.token))).End("held by another")
		}
	}
}

func (d *dutyHolder) needSync() {
	d.c.needSync(&d.resync)
}

// clean removes what nobody needs.
func (d *dutyHolder) clean(s *duty.Situation) {
	c := d.c
	token, mine := s.Holds(duty.Cleanup)
	if !mine || c.now-d.cleanAt < cleanGap {
		return
	}
	d.cleanAt = c.now
	removals := d.cleaner.Plan(c.now, d.unneeded(), min(c.limits.TxnOps, c.budget.Left(c.now)))
	if len(removals) == 0 {
		return
	}
	txn := &state.Txn{Conditions: []state.Condition{{Path: duty.Cleanup.Key(), Revision: token}}}
	for _, r := range removals {
		txn.Conditions = append(txn.Conditions, state.Condition{Path: r.Key, Revision: r.Revision})
		txn.Then = append(txn.Then, state.Op{Drop: r.Key})
	}
	slog.Info("clean up", "token", token, "keys", len(removals))
	c.send(laneDuty, msgCommitted{txn: txn, token: token})
}

// unneeded lists what could be removed were it to stay as it is.
func (d *dutyHolder) unneeded() []duty.Unneeded {
	v := d.c.view
	var list []duty.Unneeded
	for key, r := range v.Rentals {
		if r.State != duty.Open {
			list = append(list, duty.UnneededIntent(key, v.Revisions[key]))
		}
	}
	for key, r := range v.Returns {
		if r.State != duty.Open {
			list = append(list, duty.UnneededIntent(key, v.Revisions[key]))
		}
	}
	v.UnusedBundles(func(path string, stamp uint64) { list = append(list, duty.UnneededBundle(path, stamp)) })
	return list
}
