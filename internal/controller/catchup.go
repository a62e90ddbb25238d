package controller

import (
	"errors"
	"log/slog"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/state"
)

// Rhythm of the catch-ups.
const (
	syncLeast        = 60 * model.Millisecond  // at least, between two
	syncLeader       = 200 * model.Millisecond // at most, by the leader
	syncFollower     = 400 * model.Millisecond // at most, by others
	syncOrphan       = 150 * model.Millisecond // at most, without a leader
	maxResponseDelay = 250 * model.Millisecond // a response waits so long for its bindings
	syncShare        = 0.6                     // of the requests that the state service bears
)

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
	c.io.sync(c.view.Revision, c.wantList)
}

func (c *controller) synced(m msgSynced) {
	c.syncing = false
	waiters := c.inSync
	c.inSync = nil
	c.stateBad = m.err != nil && !errors.Is(m.err, state.ErrCompacted) && !errors.Is(m.err, state.ErrBusy)
	if m.err == nil && m.view == nil {
		for i := range m.changes.Events {
			if err := c.apply(&m.changes.Events[i]); err != nil {
				m.err = err
				break
			}
		}
	}
	if m.err != nil {
		c.syncFailed(m.err)
		for _, f := range waiters {
			f(false)
		}
		return
	}
	if m.view != nil {
		c.view, c.loaded, c.wantList = m.view, true, false
		c.view.TakeChangedJobs() // everything is told
		if c.leading != nil {
			c.leading.reload()
		}
	} else {
		c.view.Revision = max(c.view.Revision, m.changes.Revision)
	}
	c.syncOK = m.sent
	c.auth.ViewSynced(m.sent)
	if l := c.leading; l != nil {
		if c.view.Leader == nil || c.view.Leader.Session != c.session || c.view.Revisions[state.GrantKey(blockName)] != l.token {
			c.stepDown("the state says that another leads")
		} else if !l.ready && c.view.Revision >= l.token {
			l.takeOver()
		}
		l.resync, l.spill.resync = false, false
	}
	c.duties.resync = false
	for _, f := range waiters {
		f(true)
	}
}

// syncFailed decides what follows a catch-up that failed.
func (c *controller) syncFailed(err error) {
	slog.Debug("sync", "err", err)
	switch {
	case errors.Is(err, state.ErrLayout):
		// Whoever wrote that knows of jobs or bindings that we would miss.
		slog.Error("the state service holds what this version can't read; not serving", "err", err)
		c.loaded, c.wantList, c.stateBad = false, true, true
		c.syncNotBy = c.now + 5*model.Second
		c.stepDown("unreadable records")
	case errors.Is(err, state.ErrCompacted):
		c.wantList = true
	default:
		c.syncNotBy = c.now + 200*model.Millisecond
	}
}

// apply takes a change into the view, and tells the holder of new and ended
// jobs.
func (c *controller) apply(e *state.Event) error {
	if e.Drop != "" {
		c.view.Drop(e.Drop, e.Revision)
		c.spillNews(e.Drop)
		return nil
	}
	if set, err := c.view.Set(e.Set, e.Value, e.Revision); !set || err != nil {
		return err
	}
	if ref, ok := strings.CutPrefix(e.Set, state.JobPrefix); ok {
		c.jobNews(ref)
	}
	c.spillNews(e.Set)
	return nil
}

// spillNews tells the holder of a record of spilling that has changed.
func (c *controller) spillNews(key string) {
	if strings.HasPrefix(key, state.SpillPrefix) && c.leading != nil && c.leading.ready {
		c.leading.spill.recordNews(key)
	}
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
	for _, ref := range c.view.TakeChangedJobs() {
		c.jobNews(ref)
	}
}

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
