package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// Lanes of transactions: at most one of each is on its way. Users' changes have
// several, as now and then the state service takes very long for one: no two of
// them touch the same job without a guard, and they need no order.
const (
	laneElect = iota
	laneHolder
	laneMisc
	laneIntent
	laneDuty
	laneSpill
	laneUsers // the first of userLanes
	userLanes = 4
	lanes     = laneUsers + userLanes
)

// blockName names the one block of the present policy: the leader holds it.
const blockName = state.FirstBlock

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
// and all controllers read it, or somebody has written it who knew that.
func (c *controller) dense() bool {
	return c.maxValue() < denseBelow && (c.allRead(state.LayoutDense) || c.view.Newest >= state.LayoutDense)
}

// allRead tells whether all controllers read a layout of records. A controller that has
// once had a version that does never comes back with one before, so having seen each
// once is enough.
func (c *controller) allRead(layout int) bool {
	for name, l := range c.view.Layouts {
		c.layouts[name] = max(c.layouts[name], l)
	}
	return c.allHave(c.layouts, layout)
}

// allHave tells whether all controllers have at least that layout.
func (c *controller) allHave(layouts map[string]int, layout int) bool {
	for _, s := range c.set.Siblings {
		if layouts[s.NodeName] < layout {
			return false
		}
	}
	return layouts[c.set.NodeName] >= layout
}

// tighten makes what is written smaller, after the state service has refused as too
// large what the settings allow.
func (c *controller) tighten(err error) {
	c.limits.TxnOps = max(2, c.limits.TxnOps/2)
	c.limits.ValueKB = max(1, c.limits.ValueKB/2)
	slog.Error("the state service bears less than the settings say", "err", err, "txn_ops", c.limits.TxnOps, "value_kb", c.limits.ValueKB)
}

// pendingResponse is a response to a worker that waits for bindings to become durable.
type pendingResponse struct {
	msg   msgHeartbeat
	until model.Micros
}

// controller is the actor that owns the view, the user queue and, when leading,
// the holder and the renting loop.
type controller struct {
	set   *config.Settings
	op    *config.Operator
	clock Clock
	io    effects
	cells cellCalls // nil: no other cells
	now   model.Micros
	wall  func() int64 // time of day, ms
	// jitter draws from 0 to 1.
	jitter func() float64

	limits   config.Limits // of the state service
	teams    map[string]*model.Team
	auth     leadership.Authority
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
	// waitingReads is how many of these are users' questions about jobs.
	waitingReads int

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

	leading *leader
	duties  *dutyHolder
}

func newController(set *config.Settings, op *config.Operator, leaseTimes leadership.LeaseTimes, clock Clock, io effects) *controller {
	// Catch-ups of all controllers together take at most so much of what the state
	// service bears; transactions and sessions need the rest.
	nodes := len(set.Siblings) + 1
	limits := set.StateLimits()
	gap := model.Seconds(float64(nodes) / (syncShare * limits.RPS))
	c := &controller{set: set, limits: limits, op: op, clock: clock, io: io, teams: set.Teams(), auth: leadership.Authority{Times: leaseTimes},
		syncGap: max(syncLeast, gap), seen: map[string]model.Micros{}, routes: map[string]route{}, layouts: map[string]int{}, view: state.NewView(), wantList: true,
		wall: func() int64 { return time.Now().UnixMilli() }, jitter: rand.Float64}
	c.budget = state.NewBudget(c.writeShare(false))
	c.duties = newDutyHolder(c, op.Duties)
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
		c.duties.lag.ticked(c.now)
	case msgStatusRequest:
		c.statusQuery(m)
	case msgSubmit:
		c.submit(m)
	case msgCancel:
		c.cancel(m)
	case msgUp:
		m.reply <- c.healthy()
	case msgReached:
		m.reply <- pinged{c.loaded && !c.suspect(), c.direct()}
	case msgPinged:
		c.pinging, c.pingedAt = false, c.now
		c.alive, c.helpers, c.relays = m.alive, m.helpers, m.relays
		c.considerResigning(m)
	case msgHeartbeat:
		c.report(m)
	case msgRelayFailed:
		c.relayNotBy = c.now + failedFor
	case msgSession:
		c.sessionNews(m)
	case msgSynced:
		c.synced(m)
	case msgCommitted:
		c.committed(m)
	case msgMachineTypes:
		c.gotMachineTypes(m)
	case msgListed:
		c.listed(m)
	case msgRented:
		c.rented(m)
	case msgDeleted:
		c.deleted(m)
	case msgOffer, msgRenewal, msgOffered, msgRenewed:
		c.takeCellMessage(m)
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
	c.duties.step()
	c.pumpUsers()
	if c.leading != nil {
		c.lead()
	}
}

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
	case m.lane == laneDuty:
		c.duties.committed(m)
	default:
		if c.leading != nil && c.leading.token == m.token {
			c.leading.committed(m)
		}
	}
}
