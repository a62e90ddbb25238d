package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// messageBatch is the maximum number of queued messages that are handled after the first
// before due work is checked.
const messageBatch = 64

// controller is the actor that owns all state of a controller. Its methods run only in
// the goroutine of run. Largely independent parts are kept in separate structs.
type controller struct {
	settings *config.Settings
	operator *config.OperatorSettings
	teams    map[string]*model.Team

	// Access to everything outside the actor.
	clock       Clock
	wallClockMs func() int64   // Unix time in milliseconds
	jitter      func() float64 // random numbers from 0 to 1
	io          effects
	cells       cellCalls // nil if there are no other cells

	// now is the time at which handling of the current message or step started.
	now model.Micros

	// The local view of the state service's records and its synchronization.
	view       *state.View
	viewLoaded bool // the view has been listed completely
	sync       viewSync
	layouts    map[string]int // by controller: the newest record layout that it was ever seen to read

	// Writes to the state service.
	limits      config.Limits // of the state service's requests and values
	writeBudget *state.Budget
	lanes       transactionLanes

	// Users' requests.
	userWrites   userWriteQueue
	waitingReads int // status reads waiting for a read barrier

	// The other controllers and the workers.
	siblings siblingProbe
	relay    heartbeatRelay

	// Leadership and duties.
	authority       leadership.Authority
	session         uint64  // 0 if there is none
	resignedSession uint64  // the session given up last; later renewals of it are ignored
	leading         *leader // nil while this controller is not the leader
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

// run handles messages from the mailbox until the context ends.
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

// handleQueued handles the messages that are already queued, up to a batch.
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

// handle handles one message. It panics if the message's type is unknown.
func (c *controller) handle(m any) {
	c.now = c.clock()
	if !c.handleRequest(m) && !c.handleOutcome(m) {
		panic(fmt.Sprintf("controller: unknown message type %T", m))
	}
}

// handleRequest handles a message if it is a request to this controller, and reports
// whether it was one.
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

// handleOutcome handles a message if it is the outcome of an operation that this
// controller started, and reports whether it was one.
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

// step runs all periodic work that is due.
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
