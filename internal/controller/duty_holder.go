package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// dutyStepPeriod is how often a controller looks at its duties.
const dutyStepPeriod = 20 * model.Millisecond

// enableRetry is how long after a write that enables intents the next may follow.
const enableRetry = model.Second

// dutyHolder is a controller's part in single-holder duties: it acquires leases, carries
// intents out and cleans up. It is part of the controller actor.
type dutyHolder struct {
	c         *controller
	candidate bool // it may hold duties without leading
	keeper    *duty.Keeper
	cleaner   *duty.Cleaner
	nodes     map[string]duty.Node // live controllers, by name
	held      map[duty.Name]uint64 // fencing tokens of the duties that are held
	vacancies vacancyLog
	lag       lagDetector
	resync    bool                   // a write failed: no further one before a catch-up
	writing   *leaseWrite            // the lease write in flight, nil: none
	calls     map[string]*intentCall // by the intent's key

	stepAt            model.Micros
	cleanAt           model.Micros
	outcomesAt        model.Micros // when outcomes were last written
	cloudAskedAt      model.Micros
	cloudFailingSince model.Micros // 0: the cloud answers, or is not needed
}

func newDutyHolder(c *controller, policy *duty.Policy) *dutyHolder {
	d := &dutyHolder{
		c:         c,
		candidate: policy != nil,
		cleaner:   duty.NewCleaner(),
		nodes:     map[string]duty.Node{},
		held:      map[duty.Name]uint64{},
		vacancies: newVacancyLog(),
		calls:     map[string]*intentCall{},
	}
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

// step does what is due.
func (d *dutyHolder) step() {
	c := d.c
	if !c.loaded || c.now-d.stepAt < dutyStepPeriod || !d.candidate && !d.recorded() {
		return
	}
	d.stepAt = c.now
	d.enableIntents()
	s := d.situation()
	d.noteHeld(&s)
	d.probeCloud(&s)
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

// enableIntents has a leader that was elected before all controllers understood the records
// say that it acts through intents from now on.
func (d *dutyHolder) enableIntents() {
	c := d.c
	l := c.leading
	if l == nil || !l.ready || c.actsThroughIntents() || !d.wanted() || !c.lanes.free(laneMisc, c.now) || !c.auth.IsValid(c.now) {
		return
	}
	grant := grantKey
	c.lanes.pauseUntil(laneMisc, c.now+enableRetry)
	c.send(laneMisc, msgCommitted{token: l.token, txn: &state.Txn{
		Conditions: []state.Condition{{Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}, {Path: grant, Revision: l.token}},
		Then:       []state.Op{{Set: state.LeaderKey, Value: c.leaderRecord(), LeaseID: c.session}},
	}})
}

// situation is what the keeper looks at.
func (d *dutyHolder) situation() duty.Situation {
	c := d.c
	s := duty.Situation{
		Now:               c.now,
		WallMs:            c.wall(),
		Self:              c.set.NodeName,
		Overloaded:        d.lag.overloaded(c.now),
		CloudFailingSince: d.cloudFailingSince,
		Nodes:             d.liveNodes(),
		Leases:            map[duty.Name]duty.Held{},
	}
	if c.session != 0 && c.auth.IsValid(c.now) {
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
		node.Candidate, node.Revision = rec.Duties, v.Revisions[state.NodeKey(name)]
		d.nodes[name] = node
	}
	return d.nodes
}
