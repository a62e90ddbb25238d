package controller

import (
	"errors"
	"log/slog"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// Intervals of the view's synchronization with the state service.
const (
	minSyncInterval      = 60 * model.Millisecond  // minimum between any two synchronizations
	leaderSyncInterval   = 200 * model.Millisecond // on the leader, if nothing waits for one
	followerSyncInterval = 400 * model.Millisecond // on the other controllers
	noLeaderSyncInterval = 150 * model.Millisecond // while there is no leader
	syncRetryPause       = 200 * model.Millisecond // after a failure
	unreadableSyncPause  = 5 * model.Second        // after records that this version can't read
	slowSync             = 300 * model.Millisecond // after this time in progress, one is suspected to fail
)

// syncRequestShare is the share of the state service's sustainable request rate that the
// synchronizations of all controllers together may use; transactions and sessions need the
// rest.
const syncRequestShare = 0.6

// viewSync schedules the synchronization of the view with the state service. A
// synchronization is also a linearizable read barrier: once it has succeeded, the view
// includes every write that was committed before it started.
type viewSync struct {
	minInterval model.Micros
	inProgress  bool
	startedAt   model.Micros // when the last synchronization was sent
	succeededAt model.Micros // when the last successful synchronization was sent
	notBefore   model.Micros // end of the pause after a failure
	failed      bool         // the last one failed: the state service is not reached
	needsList   bool         // the next one lists everything instead of reading changes
	// nextWaiters are called after a synchronization that has not started yet,
	// currentWaiters after the one in progress.
	nextWaiters    []func(ok bool)
	currentWaiters []func(ok bool)
}

// newViewSync returns a schedule that limits synchronizations to this controller's part of
// the state service's sustainable request rate.
func newViewSync(controllers int, requestsPerSecond float64) viewSync {
	interval := model.Seconds(float64(controllers) / (syncRequestShare * requestsPerSecond))
	return viewSync{minInterval: max(minSyncInterval, interval), needsList: true}
}

// afterReadBarrier calls f when a synchronization that starts after this call has ended.
// ok reports whether the synchronization succeeded.
func (s *viewSync) afterReadBarrier(f func(ok bool)) { s.nextWaiters = append(s.nextWaiters, f) }

// request makes a synchronization start as soon as possible.
func (s *viewSync) request() { s.afterReadBarrier(func(bool) {}) }

// allowed reports whether a synchronization may start now.
func (s *viewSync) allowed(now model.Micros) bool {
	if s.inProgress || now < s.notBefore {
		return false
	}
	return s.startedAt == 0 || now-s.startedAt >= s.minInterval
}

func (s *viewSync) begin(now model.Micros) {
	s.inProgress, s.startedAt = true, now
	s.currentWaiters, s.nextWaiters = s.nextWaiters, nil
}

// end ends the synchronization in progress, and returns the callbacks that wait for it.
func (s *viewSync) end(err error) (waiters []func(ok bool)) {
	s.inProgress = false
	s.failed = err != nil && !errors.Is(err, state.ErrCompacted) && !errors.Is(err, state.ErrBusy)
	waiters, s.currentWaiters = s.currentWaiters, nil
	return waiters
}

// suspectsOutage reports whether the state service may be unreachable: the last
// synchronization failed, or the one in progress takes longer than usual.
func (s *viewSync) suspectsOutage(now model.Micros) bool {
	return s.failed || s.inProgress && now-s.startedAt > slowSync
}

// syncInterval returns the maximum time between synchronizations if nothing waits for one.
func (c *controller) syncInterval() model.Micros {
	switch {
	case c.leading != nil:
		return leaderSyncInterval
	case c.view.Leader == nil:
		return noLeaderSyncInterval
	default:
		return followerSyncInterval
	}
}

// startSync starts a synchronization if one is due.
func (c *controller) startSync() {
	if !c.sync.allowed(c.now) {
		return
	}
	if len(c.sync.nextWaiters) == 0 && c.viewLoaded && c.now-c.sync.startedAt < c.syncInterval() {
		return
	}
	c.sync.begin(c.now)
	c.io.sync(c.view.Revision, c.sync.needsList)
}

// synced handles the outcome of a synchronization.
func (c *controller) synced(m msgSynced) {
	waiters := c.sync.end(m.err)
	err := m.err
	if err == nil {
		err = c.applySynced(m)
	}
	if err != nil {
		c.syncFailed(err)
	} else {
		c.syncSucceeded(m.sentAt)
	}
	for _, callback := range waiters {
		callback(err == nil)
	}
}

// applySynced replaces the view by a new listing, or applies changes to it.
func (c *controller) applySynced(m msgSynced) error {
	if m.view == nil {
		for i := range m.changes.Events {
			if err := c.applyEvent(&m.changes.Events[i]); err != nil {
				return err
			}
		}
		c.view.Revision = max(c.view.Revision, m.changes.Revision)
		return nil
	}
	c.view, c.viewLoaded, c.sync.needsList = m.view, true, false
	c.view.TakeChangedJobs() // reload handles all jobs
	if c.leading != nil {
		c.leading.reload()
	}
	return nil
}

// syncSucceeded renews the authority, and checks the leadership against the records of the
// state service.
func (c *controller) syncSucceeded(sentAt model.Micros) {
	c.sync.succeededAt = sentAt
	c.authority.ViewSynced(sentAt)
	if l := c.leading; l != nil {
		if c.view.Leader == nil || c.view.Leader.Session != c.session || c.view.Revisions[grantKey] != l.token {
			c.stepDown(reasonOtherLeader)
		} else if !l.ready && c.view.Revision >= l.token {
			l.takeOver()
		}
		l.resync, l.spill.resync = false, false
	}
	c.duties.resync = false
}

// syncFailed handles the failure of a synchronization according to its error.
func (c *controller) syncFailed(err error) {
	slog.Debug("synchronization with the state service failed", "err", err)
	switch {
	case errors.Is(err, state.ErrLayout):
		// Another version may have written jobs or bindings that this version would miss.
		slog.Error("the state service contains records that this version cannot read; not serving requests", "err", err)
		c.viewLoaded, c.sync.needsList, c.sync.failed = false, true, true
		c.sync.notBefore = c.now + unreadableSyncPause
		c.stepDown(reasonUnreadable)
	case errors.Is(err, state.ErrCompacted):
		c.sync.needsList = true
	default:
		c.sync.notBefore = c.now + syncRetryPause
	}
}

// applyEvent applies a change to the view, and notifies the leader's scheduler and spill
// manager if it concerns them.
func (c *controller) applyEvent(event *state.Event) error {
	if event.Drop != "" {
		c.view.Drop(event.Drop, event.Revision)
		c.spillRecordChanged(event.Drop)
		return nil
	}
	if set, err := c.view.Set(event.Set, event.Value, event.Revision); !set || err != nil {
		return err
	}
	if jobID, ok := strings.CutPrefix(event.Set, state.JobPrefix); ok {
		c.jobChanged(jobID)
	}
	c.spillRecordChanged(event.Set)
	return nil
}

// spillRecordChanged notifies the leader's spill manager of a changed spill record.
func (c *controller) spillRecordChanged(key string) {
	if strings.HasPrefix(key, state.SpillPrefix) && c.leading != nil && c.leading.ready {
		c.leading.spill.recordChanged(key)
	}
}

// jobChanged passes the view's state of a job to the leader's scheduler.
func (c *controller) jobChanged(jobID string) {
	if c.leading != nil && c.leading.ready {
		c.leading.jobChanged(jobID)
	}
}

// notifyDependents passes jobs whose status changed because of other jobs to the leader's
// scheduler. The other jobs may have ended through a synchronization or through our own
// transactions, and the dependents may be the only work that is left to run.
func (c *controller) notifyDependents() {
	for _, jobID := range c.view.TakeChangedJobs() {
		c.jobChanged(jobID)
	}
}
