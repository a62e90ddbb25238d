package controller

import (
	"log/slog"
	"maps"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

const (
	withholdDivisor = 3                  // answers are withheld for 1/withholdDivisor of a worker lease
	unknownJobPause = 600 * model.Second // how long a job that the workers did not know is not accepted again
)

// borrowedJobID returns the ID of the job that the key of a borrowed job's record names.
func borrowedJobID(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// addBorrowedJob adds a borrowed job to the shard, without an execution lease.
func (s *spillManager) addBorrowedJob(key string) {
	l := s.leader
	record := l.controller.view.BorrowedJobs[key]
	jobID := borrowedJobID(key)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell != record.Home {
		// A job of that ID of this cell or of a third one has just become known. Nothing of
		// the borrowed job is bound here, and its home cell takes it back because no renewal
		// for it arrives.
		s.queueChange(key, spillChange{})
		return
	}
	s.borrowedJobs[key] = spill.NewBorrowedJob(record, l.controller.now)
	if l.shard.Jobs[jobID] == nil {
		spec := record.Spec.Job(l.controller.view.Revisions[key])
		spec.Priority = model.LowPriority // this cell's own jobs come first
		l.shard.AddBorrowedJob(spec, record.Home, model.TaskSetFromBytes(record.Done), l.controller.now)
	}
}

// borrowedJobChanged handles a change of a borrowed job's record in the view.
func (s *spillManager) borrowedJobChanged(key string) {
	l := s.leader
	record, borrowed := l.controller.view.BorrowedJobs[key], s.borrowedJobs[key]
	switch {
	case record == nil:
		delete(s.borrowedJobs, key)
		l.jobChanged(borrowedJobID(key)) // this cell's own job of that ID may start now
	case borrowed == nil || borrowed.Token != record.Token:
		s.addBorrowedJob(key)
		slog.Info("borrowed job accepted", "job", borrowedJobID(key), "home", record.Home, "token", record.Token)
	case record.State == spill.Returned:
		borrowed.SetReturned()
	}
}

// borrowedJob returns the shard's job for a borrowed job's record, nil if there is none or
// the job of that ID has another home cell.
func (s *spillManager) borrowedJob(key string) *model.JobState {
	job := s.leader.shard.Jobs[borrowedJobID(key)]
	if job == nil || job.HomeCell != s.borrowedJobs[key].Home {
		return nil
	}
	return job
}

// isBorrowed reports whether a job ID is that of a borrowed job.
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

// withholdTime returns how long workers get no answer after an execution lease has expired.
func (s *spillManager) withholdTime() model.Micros {
	return model.Seconds(s.leader.controller.settings.Params.Workers.LeaseS) / withholdDivisor
}

// applyExecutionLeases suspends the borrowed jobs whose execution lease is not valid, and
// resumes the others. It is called before every decision and every answer to a worker.
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
			s.leader.shard.Suspend(job, "no execution lease from cell "+borrowed.Home, s.leader.controller.now)
		}
		if len(job.Bindings) > 0 {
			borrowed.MarkStarted()
		}
	}
}

// withholdsAnswers reports whether a machine has tasks of a borrowed job whose execution
// lease has just expired. Its worker gets no answer, because an answer would renew the
// worker's lease.
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

// stepBorrowedJobs returns borrowed jobs that have not started in time or are to be
// returned for another reason, and removes those whose lending is over.
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

// recordUnknownJob records that the workers do not know a job, so that it is not accepted
// again for unknownJobPause.
func (s *spillManager) recordUnknownJob(key string) {
	now := s.leader.controller.now
	maps.DeleteFunc(s.unknownJobs, func(_ string, at model.Micros) bool { return now-at >= unknownJobPause })
	s.unknownJobs[key] = now
}

// isOrphaned reports whether a job's home cell can't be called, because it is not in the
// spill file, and the execution lease is over. An execution cell may forget a job at any
// time while none of its tasks is bound there.
func (s *spillManager) isOrphaned(borrowed *spill.BorrowedJob) bool {
	reachable := s.policy != nil && s.policy.HasNeighbour(borrowed.Home)
	return !reachable && borrowed.Permission(s.withholdTime(), s.leader.controller.now) == spill.Stopped
}

// writeReturn queues the write that returns a borrowed job. Once it is durable, no leader
// of this cell starts a task of the job under this token.
func (s *spillManager) writeReturn(key string) {
	record := *s.leader.controller.view.BorrowedJobs[key]
	record.State = spill.Returned
	if _, pending := s.pendingChanges[key]; !pending {
		s.queueChange(key, spillChange{value: record})
		recordSpan(record.Trace, "return", borrowedJobID(key))
		slog.Info("returning borrowed job", "job", borrowedJobID(key), "home", record.Home, "token", record.Token)
	}
}
