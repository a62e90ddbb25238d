package controller

import (
	"log/slog"
	"maps"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

const (
	withholdDivisor = 3                  // of a workers' lease, for which answers are withheld
	unknownJobPause = 600 * model.Second // a job that the workers did not know is not taken again before
)

// borrowedJobID is the job that the key of a guest's record names.
func borrowedJobID(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// addBorrowedJob makes a lent job known to the shard, without a right to run it.
func (s *spillManager) addBorrowedJob(key string) {
	l := s.leader
	record := l.controller.view.BorrowedJobs[key]
	jobID := borrowedJobID(key)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell != record.Home {
		// A job of this cell or of another by that name became known a moment before: nothing
		// of this one is here, and home takes it back as it is not asked for it.
		s.queueChange(key, spillChange{})
		return
	}
	s.borrowedJobs[key] = spill.NewBorrowedJob(record, l.controller.now)
	if l.shard.Jobs[jobID] == nil {
		spec := record.Spec.Job(l.controller.view.Revisions[key])
		spec.Priority = model.LowPriority // this cell's own work comes first
		l.shard.AddGuest(spec, record.Home, model.TaskSetFromBytes(record.Done), l.controller.now)
	}
}

// borrowedJobChanged takes what the view says of a job that another cell has lent.
func (s *spillManager) borrowedJobChanged(key string) {
	l := s.leader
	record, borrowed := l.controller.view.BorrowedJobs[key], s.borrowedJobs[key]
	switch {
	case record == nil:
		delete(s.borrowedJobs, key)
		l.jobChanged(borrowedJobID(key)) // one of this cell's own by that name may begin
	case borrowed == nil || borrowed.Token != record.Token:
		s.addBorrowedJob(key)
		slog.Info("taken in", "job", borrowedJobID(key), "home", record.Home, "token", record.Token)
	case record.State == spill.Returned:
		borrowed.SetReturned()
	}
}

// borrowedJob is the shard's job that a record stands for, nil if it is gone or another's.
func (s *spillManager) borrowedJob(key string) *model.JobState {
	job := s.leader.shard.Jobs[borrowedJobID(key)]
	if job == nil || job.HomeCell != s.borrowedJobs[key].Home {
		return nil
	}
	return job
}

// isBorrowed tells whether a job's name stands for one that another cell has lent.
func (s *spillManager) isBorrowed(jobID string) bool {
	if job := s.leader.shard.Jobs[jobID]; job != nil {
		return job.HomeCell != ""
	}
	for key := range s.borrowedJobs {
		if borrowedJobID(key) == jobID {
			return true
		}
	}
	return false
}

// withholdTime is how long workers get no answer after a right has ended.
func (s *spillManager) withholdTime() model.Micros {
	return model.Seconds(s.leader.controller.settings.Params.Workers.LeaseS) / withholdDivisor
}

// applyExecutionLeases suspends what this cell has no right to run, and resumes what it has. It is
// called before every decision and every answer to a worker.
func (s *spillManager) applyExecutionLeases() {
	for key, borrowed := range s.borrowedJobs {
		job := s.borrowedJob(key)
		if job == nil {
			continue
		}
		switch borrowed.Permission(s.withholdTime(), s.leader.controller.now) {
		case spill.MayRun:
			s.leader.shard.Resume(job)
		case spill.Withheld:
			job.Suspended = true
		case spill.Stopped:
			s.leader.shard.Suspend(job, "no right to run it for "+borrowed.Home, s.leader.controller.now)
		}
		if len(job.Bindings) > 0 {
			borrowed.MarkStarted()
		}
	}
}

// withholdsAnswers tells that a machine has tasks of a lent job for which the right has ended a
// moment ago. Its worker gets no answer: one would renew its lease.
func (s *spillManager) withholdsAnswers(machineID string) bool {
	if len(s.borrowedJobs) == 0 {
		return false
	}
	machine := s.leader.shard.Machines[machineID]
	if machine == nil {
		return false
	}
	for key, borrowed := range s.borrowedJobs {
		if machine.TaskCounts[borrowedJobID(key)] > 0 && borrowed.Permission(s.withholdTime(), s.leader.controller.now) == spill.Withheld {
			return true
		}
	}
	return false
}

// stepBorrowedJobs returns what has not begun, and forgets what is over.
func (s *spillManager) stepBorrowedJobs() {
	l := s.leader
	for _, key := range sortedKeys(s.borrowedJobs) {
		borrowed, jobID := s.borrowedJobs[key], borrowedJobID(key)
		job := s.borrowedJob(key)
		bound := job != nil && len(job.Bindings) > 0
		if borrowed.IsLendingOver() || s.isOrphaned(borrowed) {
			if job != nil {
				l.shard.EndJob(jobID, "over", l.controller.now)
			}
			if !bound && (borrowed.CanForget() || s.isOrphaned(borrowed)) {
				s.queueChange(key, spillChange{})
			}
			continue
		}
		if s.policy != nil {
			borrowed.ReturnUnlessStarted(s.policy.StartTimeout, l.controller.now)
		}
		if job != nil && job.UnknownToWorkers {
			s.recordUnknownJob(key)
			borrowed.RequestReturn()
		}
		if borrowed.IsReturnRequested() && !borrowed.IsReturned() && !bound {
			s.writeReturn(key)
		}
	}
}

// recordUnknownJob keeps a job out for a while that the workers do not know.
func (s *spillManager) recordUnknownJob(key string) {
	now := s.leader.controller.now
	maps.DeleteFunc(s.unknownJobs, func(_ string, at model.Micros) bool { return now-at >= unknownJobPause })
	s.unknownJobs[key] = now
}

// isOrphaned tells that a job's home can't be asked, as it is not in the file, and the right
// to run the job is over. A guest may forget what it has nothing bound of at any time.
func (s *spillManager) isOrphaned(borrowed *spill.BorrowedJob) bool {
	known := s.policy != nil && s.policy.HasNeighbour(borrowed.Home)
	return !known && borrowed.Permission(s.withholdTime(), s.leader.controller.now) == spill.Stopped
}

// writeReturn has a return made durable: from then on no holder of this cell starts anything
// of the job under this token.
func (s *spillManager) writeReturn(key string) {
	record := *s.leader.controller.view.BorrowedJobs[key]
	record.State = spill.Returned
	if _, pending := s.pendingChanges[key]; !pending {
		s.queueChange(key, spillChange{value: record})
		recordSpan(record.Trace, "return", borrowedJobID(key))
		slog.Info("returned", "job", borrowedJobID(key), "home", record.Home, "token", record.Token)
	}
}
