package controller

import (
	"log/slog"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// recallPeriod is how often a job is looked for that this cell has room for again.
const recallPeriod = model.Second

// maxJobsSearched is for how many jobs room is looked for in one search.
const maxJobsSearched = 8

// suspendReasonLent is why nothing of a lent job is bound here, as logged.
const suspendReasonLent = "lent to another cell"

// suspendIfLent keeps a job that is lent from being bound when the shard learns of it.
func (s *spillManager) suspendIfLent(jobID string) {
	if record := s.leader.controller.view.LentJobs[jobID]; record != nil && record.State != spill.Home {
		s.suspendLent(jobID)
	}
}

// suspendLent has nothing of a job bound here.
func (s *spillManager) suspendLent(jobID string) {
	job := s.leader.shard.Jobs[jobID]
	if job == nil || job.FinalStatus != "" {
		return
	}
	s.leader.shard.Suspend(job, suspendReasonLent, s.leader.controller.now)
}

// reservation is what counts towards a team's limit for a job that is lent.
type reservation struct {
	team   string
	amount model.Resources
}

// reserve counts all of a lent job towards its team's limit: of a task that is known as
// finished another attempt may run in the guest, if that has not heard of it.
func (s *spillManager) reserve(jobID string, record *spill.OutRecord) {
	if _, reserved := s.reservations[jobID]; reserved {
		return
	}
	s.reservations[jobID] = reservation{record.Team, record.Reserved()}
	s.leader.shard.ReserveQuota(record.Team, record.Reserved())
}

// release ends a reservation.
func (s *spillManager) release(jobID string) {
	if reserved, found := s.reservations[jobID]; found {
		delete(s.reservations, jobID)
		s.leader.shard.ReleaseQuota(reserved.team, reserved.amount)
	}
}

// lentJobChanged takes what the view says of a job that is or was lent.
func (s *spillManager) lentJobChanged(jobID string) {
	l := s.leader
	record := l.controller.view.LentJobs[jobID]
	if record != nil && record.State == spill.Lent {
		lent := s.lentJobs[jobID]
		if lent == nil || lent.Record.Token != record.Token {
			s.lentJobs[jobID] = spill.NewLentJob(*record, l.controller.now)
			s.suspendLent(jobID)
			s.reserve(jobID, record)
			slog.Info("lent", "job", jobID, "cell", record.Cell, "token", record.Token)
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
		return // it is to be lent again
	}
	delete(s.lentJobs, jobID)
	s.release(jobID)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell == "" {
		l.shard.Resume(job)
		l.provisioning.runSoon()
	}
}

// stepLentJobs offers what is lent until it is heard of, takes back what is proven to be
// gone, and forgets what has ended.
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

// recallOne has one job come home that has not begun in its guest and could begin here.
func (s *spillManager) recallOne() {
	looked := 0
	for _, jobID := range sortedKeys(s.lentJobs) {
		lent, job := s.lentJobs[jobID], s.leader.shard.Jobs[jobID]
		if job == nil || job.EndPending || job.FinalStatus != "" || lent.HasStarted() || lent.IsRecalled() {
			continue
		}
		if looked++; looked > maxJobsSearched {
			return
		}
		if s.shouldRecall(job, lent) {
			lent.Recall(s.leader.controller.now)
			return
		}
	}
}

// forgetEnded removes the record of a job that has ended, once nothing of it can be in the
// guest: until then it counts towards its team's limit.
func (s *spillManager) forgetEnded(jobID string) {
	lent := s.lentJobs[jobID]
	if lent != nil {
		if _, proven := lent.TakeBack(s.leader.controller.now); !proven {
			return
		}
	}
	s.queueChange(spill.OutKey(jobID), spillChange{})
}

// shouldRecall tells that a job that has not begun in its guest is better off at home.
func (s *spillManager) shouldRecall(job *model.JobState, lent *spill.LentJob) bool {
	if s.policy == nil || !s.policy.HasNeighbour(lent.Record.Cell) {
		return true
	}
	return s.leader.shard.HasRoomSoonFor(job.Job, s.minTasksPlaced(job), s.leader.controller.now) && !s.leader.shard.OwnWorkWaits(ownJobMaxWait, s.leader.controller.now)
}

// takeBack has a job come home. Nothing of it is bound here before that is durable.
func (s *spillManager) takeBack(jobID string, lent *spill.LentJob, reason spill.TakeBackReason) {
	key := spill.OutKey(jobID)
	record := lent.Record
	if change, ok := s.pendingChanges[key].value.(spill.OutRecord); ok && change.State == spill.Home {
		return
	}
	record.State, record.SinceMs, record.Running = spill.Home, s.leader.controller.wallClockMs(), 0
	recordSpan(record.Trace, "take back", jobID, attribute.String("why", string(reason)))
	s.queueChange(key, spillChange{value: record})
	slog.Info("taken back", "job", jobID, "cell", record.Cell, "token", record.Token, "why", reason)
}

// recordRunning has the users' answers say that a lent job runs, once.
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

// minTasksPlaced is how many tasks have to find room for a job to be well served: all of a
// gang, half of what is left of an array.
func (s *spillManager) minTasksPlaced(job *model.JobState) int {
	left := job.Tasks - job.Done.Len()
	if job.Kind == model.Gang {
		return left
	}
	return (left + 1) / 2
}
