package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// messageBatch is how many messages are taken before what is due is looked for, beyond
// the first.
const messageBatch = 64

// controller is the actor that owns all state of a controller. Its methods run in the
// goroutine of run only. The concerns that need little of each other are kept in structs
// of their own.
type controller struct {
	settings *config.Settings
	operator *config.OperatorSettings
	teams    map[string]*model.Team

	// What reaches the world outside the actor.
	clock       Clock
	wallClockMs func() int64   // the time of day in ms
	jitter      func() float64 // random numbers from 0 to 1
	io          effects
	cells       cellCalls // nil: there are no other cells

	// now is when the present message or step was begun.
	now model.Micros

	// The view of the state service's records, and what its records allow to rely on.
	view       *state.View
	viewLoaded bool // the view has been listed
	sync       viewSync
	layouts    map[string]int // by controller: the newest layout of records that it was seen to read

	// Writes to the state service.
	limits      config.Limits // of the state service
	writeBudget *state.Budget
	lanes       transactionLanes

	// Users' requests.
	userWrites   userWriteQueue
	waitingReads int // status reads that wait for a read barrier

	// The other controllers and the workers.
	siblings siblingProbe
	relay    heartbeatRelay

	// Leadership and duties.
	authority       leadership.Authority
	session         uint64  // 0: none
	resignedSession uint64  // the session given up last, whatever is heard of it later
	leading         *leader // nil: this controller does not lead
	duties          *dutyManager
}

func newController(settings *config.Settings, operator *config.OperatorSettings, leaseTimes leadership.LeaseTimes, clock Clock, io effects) *controller {
	limits := settings.StateLimits()
	c := &controller{
		settings:    settings,
		operator:    operator,
		teams:       settings.Teams(),
		clock:       clock,
		wallClockMs: func() int64 { return time.Now().UnixMilli() },
		jitter:      rand.Float64,
		io:          io,
		view:        state.NewView(),
		sync:        newViewSync(len(settings.Siblings)+1, limits.RPS),
		layouts:     map[string]int{},
		limits:      limits,
		relay:       newHeartbeatRelay(settings),
		authority:   leadership.Authority{Times: leaseTimes},
	}
	c.writeBudget = state.NewBudget(c.writeShare(false))
	c.duties = newDutyManager(c, operator.Duties)
	return c
}

// run takes messages until the context ends.
func (c *controller) run(ctx context.Context, mailbox <-chan any) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-mailbox:
			c.handle(m)
			c.handleQueued(mailbox)
		}
		c.step()
	}
}

// handleQueued takes the messages that wait already, up to a batch.
func (c *controller) handleQueued(mailbox <-chan any) {
	for range messageBatch {
		select {
		case m := <-mailbox:
			c.handle(m)
		default:
			return
		}
	}
}

// handle handles a message.
func (c *controller) handle(m any) {
	c.now = c.clock()
	if !c.handleRequest(m) && !c.handleOutcome(m) {
		panic("node: unknown message")
	}
}

// handleRequest handles a message if it asks this controller for something.
func (c *controller) handleRequest(m any) bool {
	switch m := m.(type) {
	case msgTick:
		c.duties.lag.ticked(c.now)
	case msgStatusRequest:
		c.readStatus(m)
	case msgSubmit:
		c.submit(m)
	case msgCancel:
		c.cancel(m)
	case msgHealthCheck:
		m.reply <- c.isHealthy()
	case msgPing:
		m.reply <- pingReply{stateReached: c.viewLoaded && !c.sync.suspectsOutage(c.now), workers: c.relay.directWorkers(c.now)}
	case msgHeartbeat:
		c.handleHeartbeat(m)
	case msgOffer, msgRenewal:
		c.handleCellMessage(m)
	default:
		return false
	}
	return true
}

// handleOutcome handles a message if it is the outcome of what this controller has asked
// for.
func (c *controller) handleOutcome(m any) bool {
	switch m := m.(type) {
	case msgSynced:
		c.synced(m)
	case msgCommitted:
		c.committed(m)
	case msgSession:
		c.sessionChanged(m)
	case msgPinged:
		c.siblingsProbed(m)
	case msgRelayFailed:
		c.relay.relayFailed(c.now)
	case msgMachineTypes:
		c.machineTypesFetched(m)
	case msgListed:
		c.listed(m)
	case msgRented:
		c.rented(m)
	case msgDeleted:
		c.deleted(m)
	case msgOffered, msgRenewed:
		c.handleCellMessage(m)
	default:
		return false
	}
	return true
}

// step does what is due.
func (c *controller) step() {
	c.now = c.clock()
	c.notifyDependents()
	c.startSync()
	c.startProbe()
	c.elect()
	c.duties.step()
	c.sendUserWrites()
	if c.leading != nil {
		c.lead()
	}
}
