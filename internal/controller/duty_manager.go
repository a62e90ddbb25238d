package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// dutyStepPeriod is how often a controller processes its duties.
const dutyStepPeriod = 20 * model.Millisecond

// enableRetryPeriod is the pause after a write that enables intents before it is repeated.
const enableRetryPeriod = model.Second

// dutyManager handles a controller's single-holder duties: it acquires their leases,
// carries out intents and removes unneeded keys. It is part of the controller actor.
type dutyManager struct {
	controller    *controller
	mayHoldDuties bool // this controller may hold duties without leading
	planner       *duty.LeasePlanner
	cleaner       *duty.Cleaner
	nodes         map[string]duty.Node // live controllers, by name
	held          map[duty.Name]uint64 // fencing tokens of the duties that are held
	vacancies     vacancyTimes
	lag           lagDetector
	resync        bool                   // a transaction failed: none before a synchronization of the view
	pendingLease  *leaseWrite            // the lease write in flight, nil: none
	calls         map[string]*intentCall // by the intent's key

	lastStepAt        model.Micros
	lastCleanupAt     model.Micros
	outcomesWrittenAt model.Micros // when outcomes were last written
	cloudCalledAt     model.Micros
	cloudFailingSince model.Micros // 0: the cloud answers, or is not needed
}

func newDutyManager(c *controller, policy *duty.Policy) *dutyManager {
	d := &dutyManager{
		controller:    c,
		mayHoldDuties: policy != nil,
		cleaner:       duty.NewCleaner(),
		nodes:         map[string]duty.Node{},
		held:          map[duty.Name]uint64{},
		vacancies:     newVacancyTimes(),
		calls:         map[string]*intentCall{},
	}
	if policy == nil {
		policy = duty.LeaderOnly()
	}
	d.planner = duty.NewLeasePlanner(policy)
	return d
}

// hasRecords reports whether the state service has records of duties, which every
// controller then has to respect.
func (d *dutyManager) hasRecords() bool {
	view := d.controller.view
	return view.Leader != nil && view.Leader.UsesIntents || len(view.Duties)+len(view.Rentals)+len(view.Returns) > 0
}

// shouldUseIntents reports whether a leader has to rent and return machines through
// intents: some controller has begun to, or there is a duties file and every controller
// can read the records.
func (d *dutyManager) shouldUseIntents() bool {
	return d.hasRecords() || d.mayHoldDuties && d.allReadDutyRecords()
}

// allReadDutyRecords reports whether every controller can read the records of duties,
// judged by the version that each has run last: in the middle of an upgrade, one may have
// been rolled back to the previous version, which stops serving when it finds such records.
func (d *dutyManager) allReadDutyRecords() bool {
	return d.controller.allControllersHave(d.controller.view.Layouts, state.LayoutDuties)
}

// step does the work that is due.
func (d *dutyManager) step() {
	c := d.controller
	if !c.viewLoaded || c.now-d.lastStepAt < dutyStepPeriod || !d.mayHoldDuties && !d.hasRecords() {
		return
	}
	d.lastStepAt = c.now
	d.enableIntents()
	snapshot := d.snapshot()
	d.updateHeld(&snapshot)
	d.probeCloud(&snapshot)
	d.executeIntents(&snapshot)
	if !c.lanes.isFree(laneDuty, c.now) || d.resync || snapshot.Session == 0 {
		return
	}
	if leaderRecord := c.view.Leader; leaderRecord != nil && leaderRecord.UsesIntents {
		if action, ok := d.planner.Decide(&snapshot); ok {
			d.writeLease(action)
			return
		}
	}
	if !d.writeOutcomes(&snapshot, duty.Renting) && !d.writeOutcomes(&snapshot, duty.Returning) {
		d.cleanUp(&snapshot)
	}
}

// enableIntents records that the leader uses intents from now on, if this controller leads
// and was elected before all controllers could read the records of duties.
func (d *dutyManager) enableIntents() {
	c := d.controller
	l := c.leading
	if l == nil || !l.ready || c.usesIntents() || !d.shouldUseIntents() || !c.lanes.isFree(laneMisc, c.now) || !c.authority.IsValid(c.now) {
		return
	}
	c.lanes.pauseUntil(laneMisc, c.now+enableRetryPeriod)
	c.send(laneMisc, msgCommitted{token: l.token, txn: &state.Txn{
		Conditions: []state.Condition{{Path: state.LeaderKey, Revision: c.view.Revisions[state.LeaderKey]}, {Path: grantKey, Revision: l.token}},
		Then:       []state.Op{{Set: state.LeaderKey, Value: c.leaderRecord(), LeaseID: c.session}},
	}})
}

// snapshot returns the input of the lease planner.
func (d *dutyManager) snapshot() duty.Snapshot {
	c := d.controller
	snapshot := duty.Snapshot{
		Now:               c.now,
		WallMs:            c.wallClockMs(),
		Self:              c.settings.NodeName,
		Overloaded:        d.lag.isOverloaded(c.now),
		CloudFailingSince: d.cloudFailingSince,
		Nodes:             d.liveNodes(),
		Leases:            map[duty.Name]duty.StoredLease{},
	}
	if c.session != 0 && c.authority.IsValid(c.now) {
		snapshot.Session = c.session
	}
	if c.view.Leader != nil {
		snapshot.Leader = c.view.Leader.Node
	}
	for name, lease := range c.view.Duties {
		snapshot.Leases[name] = duty.StoredLease{Lease: *lease, Token: c.view.Revisions[name.Key()]}
	}
	return snapshot
}

// liveNodes returns the controllers that have a session, with when each was first seen with
// its present session.
func (d *dutyManager) liveNodes() map[string]duty.Node {
	view := d.controller.view
	for name := range d.nodes {
		if view.Nodes[name] == nil {
			delete(d.nodes, name)
		}
	}
	for name, record := range view.Nodes {
		node, known := d.nodes[name]
		if !known || node.Session != record.Session {
			node = duty.Node{Name: name, Session: record.Session, Since: d.controller.now}
		}
		node.Candidate, node.Revision = record.MayHoldDuties, view.Revisions[state.NodeKey(name)]
		d.nodes[name] = node
	}
	return d.nodes
}
