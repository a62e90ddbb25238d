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
	minSyncInterval      = 60 * model.Millisecond  // between any two
	leaderSyncInterval   = 200 * model.Millisecond // of the leader, if nothing waits for one
	followerSyncInterval = 400 * model.Millisecond // of the others
	noLeaderSyncInterval = 150 * model.Millisecond // while nobody leads
	syncRetryPause       = 200 * model.Millisecond // after a failure
	unreadableSyncPause  = 5 * model.Second        // after records that this version can't read
	slowSync             = 300 * model.Millisecond // one in progress for longer may fail
)

// syncRequestShare is the share of the requests that the state service sustains which the
// synchronizations of all controllers together may take; transactions and sessions need
// the rest.
const syncRequestShare = 0.6

// viewSync schedules the synchronization of the view with the state service. A
// synchronization is a linearizable read barrier as well: once it has succeeded, the view
// has every write that was committed before it started.
type viewSync struct {
	minInterval model.Micros
	inProgress  bool
	startedAt   model.Micros // when the last one was sent
	succeededAt model.Micros // when the last that succeeded was sent
	notBefore   model.Micros // pause after a failure
	failed      bool         // the last one failed: the state service is not reached
	needsList   bool         // the next one lists everything instead of reading changes
	// nextWaiters runs after a synchronization that is not started yet; current after the
	// one in progress.
	nextWaiters    []func(ok bool)
	currentWaiters []func(ok bool)
}

// newViewSync limits synchronizations to this controller's part of the requests that
// the state service sustains.
func newViewSync(controllers int, requestsPerSecond float64) viewSync {
	interval := model.Seconds(float64(controllers) / (syncRequestShare * requestsPerSecond))
	return viewSync{minInterval: max(minSyncInterval, interval), needsList: true}
}

// afterReadBarrier runs f once a synchronization that starts after this call has ended.
// It tells f whether that one succeeded.
func (s *viewSync) afterReadBarrier(f func(ok bool)) { s.nextWaiters = append(s.nextWaiters, f) }

// request has a synchronization start as soon as possible.
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

// end ends the synchronization in progress, and returns who waited for it.
func (s *viewSync) end(err error) (waiters []func(ok bool)) {
	s.inProgress = false
	s.failed = err != nil && !errors.Is(err, state.ErrCompacted) && !errors.Is(err, state.ErrBusy)
	waiters, s.currentWaiters = s.currentWaiters, nil
	return waiters
}

// suspectsOutage reports whether the state service may be unreachable: the last
// synchronization failed, or the one in progress takes long.
func (s *viewSync) suspectsOutage(now model.Micros) bool {
	return s.failed || s.inProgress && now-s.startedAt > slowSync
}

// syncInterval is how long the view may go without a synchronization that nobody waits
// for.
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

// synced handles the end of a synchronization.
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

// applySynced takes a listing or changes into the view.
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

// syncSucceeded renews the authority, and compares the leadership with what the state
// service says.
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

// syncFailed decides what follows a synchronization that failed.
func (c *controller) syncFailed(err error) {
	slog.Debug("sync", "err", err)
	switch {
	case errors.Is(err, state.ErrLayout):
		// Whoever wrote that knows of jobs or bindings that we would miss.
		slog.Error("the state service holds what this version can't read; not serving", "err", err)
		c.viewLoaded, c.sync.needsList, c.sync.failed = false, true, true
		c.sync.notBefore = c.now + unreadableSyncPause
		c.stepDown(reasonUnreadable)
	case errors.Is(err, state.ErrCompacted):
		c.sync.needsList = true
	default:
		c.sync.notBefore = c.now + syncRetryPause
	}
}

// applyEvent takes a change into the view, and tells the leader's scheduler what concerns it.
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

// spillRecordChanged tells the leader's spiller of a changed record, if it is one of its.
func (c *controller) spillRecordChanged(key string) {
	if strings.HasPrefix(key, state.SpillPrefix) && c.leading != nil && c.leading.ready {
		c.leading.spill.recordChanged(key)
	}
}

// jobChanged tells the leader's scheduler what the view says of a job.
func (c *controller) jobChanged(jobID string) {
	if c.leading != nil && c.leading.ready {
		c.leading.jobChanged(jobID)
	}
}

// notifyDependents tells the leader's scheduler of jobs whose status changed because of
// other jobs. Those may have ended by a synchronization or by our own transactions, and
// what depends on them may be all that is left to run.
func (c *controller) notifyDependents() {
	for _, jobID := range c.view.TakeChangedJobs() {
		c.jobChanged(jobID)
	}
}
