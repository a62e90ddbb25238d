package controller

import (
	"log/slog"
	"maps"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

const (
	withholdShare = 3                  // of a workers' lease, for which answers are withheld
	unknownPause  = 600 * model.Second // a job that the workers did not know is not taken again before
)

// jobOf is the job that the key of a guest's record names.
func jobOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// takeIn makes a lent job known to the shard, without a right to run it.
func (s *spiller) takeIn(key string) {
	l := s.l
	record := l.c.view.LentIn[key]
	jobID := jobOf(key)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell != record.Home {
		// A job of this cell or of another by that name became known a moment before: nothing
		// of this one is here, and home takes it back as it is not asked for it.
		s.want(key, spillChange{})
		return
	}
	s.hostings[key] = spill.NewHosting(record, l.c.now)
	if l.shard.Jobs[jobID] == nil {
		guest := record.Spec.Job(l.c.view.Revisions[key])
		guest.Priority = model.LowPriority // this cell's own work comes first
		l.shard.AddGuest(guest, record.Home, model.SetOf(record.Done), l.c.now)
	}
}

// hostingNews takes what the view says of a job that another cell has lent.
func (s *spiller) hostingNews(key string) {
	l := s.l
	record, hosting := l.c.view.LentIn[key], s.hostings[key]
	switch {
	case record == nil:
		delete(s.hostings, key)
		l.jobChanged(jobOf(key)) // one of this cell's own by that name may begin
	case hosting == nil || hosting.Token != record.Token:
		s.takeIn(key)
		slog.Info("taken in", "job", jobOf(key), "home", record.Home, "token", record.Token)
	case record.State == spill.Returned:
		hosting.SetReturned()
	}
}

// guestJob is the shard's job that a record stands for, nil if it is gone or another's.
func (s *spiller) guestJob(key string) *model.JobState {
	job := s.l.shard.Jobs[jobOf(key)]
	if job == nil || job.HomeCell != s.hostings[key].Home {
		return nil
	}
	return job
}

// isGuest tells whether a job's name stands for one that another cell has lent.
func (s *spiller) isGuest(jobID string) bool {
	if job := s.l.shard.Jobs[jobID]; job != nil {
		return job.HomeCell != ""
	}
	for key := range s.hostings {
		if jobOf(key) == jobID {
			return true
		}
	}
	return false
}

// withhold is how long workers get no answer after a right has ended.
func (s *spiller) withhold() model.Micros {
	return model.Seconds(s.l.c.set.Params.Workers.LeaseS) / withholdShare
}

// applyRights suspends what this cell has no right to run, and resumes what it has. It is
// called before every decision and every answer to a worker.
func (s *spiller) applyRights() {
	for key, hosting := range s.hostings {
		job := s.guestJob(key)
		if job == nil {
			continue
		}
		switch hosting.Phase(s.withhold(), s.l.c.now) {
		case spill.MayRun:
			s.l.shard.Resume(job)
		case spill.Withheld:
			job.Suspended = true
		case spill.Stopped:
			s.l.shard.Suspend(job, "no right to run it for "+hosting.Home, s.l.c.now)
		}
		if len(job.Bindings) > 0 {
			hosting.Begun()
		}
	}
}

// withheld tells that a machine has tasks of a lent job for which the right has ended a
// moment ago. Its worker gets no answer: one would renew its lease.
func (s *spiller) withheld(machineID string) bool {
	if len(s.hostings) == 0 {
		return false
	}
	machine := s.l.shard.Machines[machineID]
	if machine == nil {
		return false
	}
	for key, hosting := range s.hostings {
		if machine.TaskCounts[jobOf(key)] > 0 && hosting.Phase(s.withhold(), s.l.c.now) == spill.Withheld {
			return true
		}
	}
	return false
}

// stepHostings returns what has not begun, and forgets what is over.
func (s *spiller) stepHostings() {
	l := s.l
	for _, key := range sortedKeys(s.hostings) {
		hosting, jobID := s.hostings[key], jobOf(key)
		job := s.guestJob(key)
		bound := job != nil && len(job.Bindings) > 0
		if hosting.IsOver() || s.orphaned(hosting) {
			if job != nil {
				l.shard.EndJob(jobID, "over", l.c.now)
			}
			if !bound && (hosting.Forgettable() || s.orphaned(hosting)) {
				s.want(key, spillChange{})
			}
			continue
		}
		if s.policy != nil {
			hosting.ReturnUnlessBegun(s.policy.Start, l.c.now)
		}
		if job != nil && job.UnknownToWorkers {
			s.noteUnknown(key)
			hosting.RequestReturn()
		}
		if hosting.ReturnRequested() && !hosting.IsReturned() && !bound {
			s.writeReturn(key)
		}
	}
}

// noteUnknown keeps a job out for a while that the workers do not know.
func (s *spiller) noteUnknown(key string) {
	now := s.l.c.now
	maps.DeleteFunc(s.unknown, func(_ string, at model.Micros) bool { return now-at >= unknownPause })
	s.unknown[key] = now
}

// orphaned tells that a job's home can't be asked, as it is not in the file, and the right
// to run the job is over. A guest may forget what it has nothing bound of at any time.
func (s *spiller) orphaned(hosting *spill.Hosting) bool {
	known := s.policy != nil && s.policy.Knows(hosting.Home)
	return !known && hosting.Phase(s.withhold(), s.l.c.now) == spill.Stopped
}

// writeReturn has a return made durable: from then on no holder of this cell starts anything
// of the job under this token.
func (s *spiller) writeReturn(key string) {
	record := *s.l.c.view.LentIn[key]
	record.State = spill.Returned
	if _, pending := s.changes[key]; !pending {
		s.want(key, spillChange{value: record})
		noteStep(record.Trace, "return", jobOf(key))
		slog.Info("returned", "job", jobOf(key), "home", record.Home, "token", record.Token)
	}
}
