package controller

import (
	"log/slog"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// recallPeriod is how often this cell looks for a lent job that it has room for again.
const recallPeriod = model.Second

// maxJobsSearched is the maximum number of jobs for which one search looks for room.
const maxJobsSearched = 8

// suspendReasonLent is the logged reason for suspending a lent job in its home cell.
const suspendReasonLent = "lent to another cell"

// suspendIfLent suspends a job that has been added to the shard, if it is lent.
func (s *spillManager) suspendIfLent(jobID string) {
	if record := s.leader.controller.view.LentJobs[jobID]; record != nil && record.State != spill.Home {
		s.suspendLent(jobID)
	}
}

// suspendLent suspends a lent job, so that none of its tasks is bound in this cell.
func (s *spillManager) suspendLent(jobID string) {
	job := s.leader.shard.Jobs[jobID]
	if job == nil || job.FinalStatus != "" {
		return
	}
	s.leader.shard.Suspend(job, suspendReasonLent, s.leader.controller.now)
}

// reservation is the amount that a lent job counts towards its team's limit.
type reservation struct {
	team   string
	amount model.Resources
}

// reserve counts all tasks of a lent job towards its team's limit, finished ones too:
// another attempt of one may run in the execution cell, if that does not know that the task
// is finished.
func (s *spillManager) reserve(jobID string, record *spill.OutRecord) {
	if _, reserved := s.reservations[jobID]; reserved {
		return
	}
	s.reservations[jobID] = reservation{record.Team, record.Reserved()}
	s.leader.shard.ReserveQuota(record.Team, record.Reserved())
}

// release ends the reservation of a job.
func (s *spillManager) release(jobID string) {
	if reserved, found := s.reservations[jobID]; found {
		delete(s.reservations, jobID)
		s.leader.shard.ReleaseQuota(reserved.team, reserved.amount)
	}
}

// lentJobChanged handles a change in the view of the record of a job that is or was lent.
func (s *spillManager) lentJobChanged(jobID string) {
	l := s.leader
	record := l.controller.view.LentJobs[jobID]
	if record != nil && record.State == spill.Lent {
		lent := s.lentJobs[jobID]
		if lent == nil || lent.Record.Token != record.Token {
			s.lentJobs[jobID] = spill.NewLentJob(*record, l.controller.now)
			s.suspendLent(jobID)
			s.reserve(jobID, record)
			slog.Info("job lent", "job", jobID, "cell", record.Cell, "token", record.Token)
			return
		}
		lent.Record = *record
		return
	}
	if record != nil && record.State == spill.Unreadable {
		s.suspendLent(jobID)
		return
	}
	if _, pending := s.pendingChanges[spill.OutKey(jobID)]; pending && record != nil {
		return // a write that lends the job again is pending
	}
	delete(s.lentJobs, jobID)
	s.release(jobID)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell == "" {
		l.shard.Resume(job)
		l.provisioningSchedule.runSoon()
	}
}

// stepLentJobs offers lent jobs until the execution cell has sent a renewal, takes back
// those of which it is proven that nothing is left there, and removes the records of jobs
// that have ended.
func (s *spillManager) stepLentJobs() {
	c := s.leader.controller
	for _, jobID := range sortedKeys(c.view.LentJobs) {
		if _, ended := c.view.EffectiveEnd(jobID); ended {
			s.forgetEnded(jobID)
		}
	}
	for _, jobID := range sortedKeys(s.lentJobs) {
		lent, job := s.lentJobs[jobID], s.leader.shard.Jobs[jobID]
		if job == nil || job.EndPending || job.FinalStatus != "" || lent.Record.State != spill.Lent {
			continue
		}
		if reason, proven := lent.TakeBack(c.now); proven {
			s.takeBack(jobID, lent, reason)
			continue
		}
		if lent.StartOfferIfDue(c.now) {
			s.sendOffer(jobID, lent.Record.Cell, lent.Record.Token)
		}
		s.recordRunning(jobID, lent)
	}
	if c.now-s.lastRecallSearchAt >= recallPeriod {
		s.lastRecallSearchAt = c.now
		s.recallOne()
	}
}

// recallOne recalls one job that has not started in its execution cell and could start here.
func (s *spillManager) recallOne() {
	searched := 0
	for _, jobID := range sortedKeys(s.lentJobs) {
		lent, job := s.lentJobs[jobID], s.leader.shard.Jobs[jobID]
		if job == nil || job.EndPending || job.FinalStatus != "" || lent.HasStarted() || lent.IsRecalled() {
			continue
		}
		if searched++; searched > maxJobsSearched {
			return
		}
		if s.shouldRecall(job, lent) {
			lent.Recall(s.leader.controller.now)
			return
		}
	}
}

// forgetEnded removes the record of a job that has ended, once nothing of it can be left in
// the execution cell. Until then it counts towards its team's limit.
func (s *spillManager) forgetEnded(jobID string) {
	lent := s.lentJobs[jobID]
	if lent != nil {
		if _, proven := lent.TakeBack(s.leader.controller.now); !proven {
			return
		}
	}
	s.queueChange(spill.OutKey(jobID), spillChange{})
}

// shouldRecall reports whether a job that has not started in its execution cell is better
// run here: this cell has room for it soon and none of its own jobs waits for long, or the
// execution cell is no longer a neighbour.
func (s *spillManager) shouldRecall(job *model.JobState, lent *spill.LentJob) bool {
	if s.policy == nil || !s.policy.HasNeighbour(lent.Record.Cell) {
		return true
	}
	return s.leader.shard.HasCapacitySoonFor(job.Job, s.minTasksToFit(job), s.leader.controller.now) && !s.leader.shard.OwnWorkWaits(ownJobMaxWait, s.leader.controller.now)
}

// takeBack queues the write that makes a lent job this cell's own again. None of its tasks
// is bound here before that is durable.
func (s *spillManager) takeBack(jobID string, lent *spill.LentJob, reason spill.TakeBackReason) {
	key := spill.OutKey(jobID)
	record := lent.Record
	if change, ok := s.pendingChanges[key].value.(spill.OutRecord); ok && change.State == spill.Home {
		return
	}
	record.State, record.SinceMs, record.Running = spill.Home, s.leader.controller.wallClockMs(), 0
	recordSpan(record.Trace, "take back", jobID, attribute.String("why", string(reason)))
	s.queueChange(key, spillChange{value: record})
	slog.Info("taking back lent job", "job", jobID, "cell", record.Cell, "token", record.Token, "why", reason)
}

// recordRunning queues, once per lending, the write that lets status reads show that a lent
// job runs.
func (s *spillManager) recordRunning(jobID string, lent *spill.LentJob) {
	if lent.Record.Running > 0 || !lent.HasStarted() {
		return
	}
	if _, pending := s.pendingChanges[spill.OutKey(jobID)]; pending {
		return
	}
	record := lent.Record
	record.Running = max(1, lent.RunningTasks())
	s.queueChange(spill.OutKey(jobID), spillChange{value: record})
}

// minTasksToFit returns how many tasks a cell needs room for to be suitable for a job: all
// remaining tasks of a gang, half of those of an array.
func (s *spillManager) minTasksToFit(job *model.JobState) int {
	left := job.Tasks - job.Done.Len()
	if job.Kind == model.Gang {
		return left
	}
	return (left + 1) / 2
}
