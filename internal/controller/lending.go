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

// suspendedAsLent is why nothing of a lent job is bound here, as logged.
const suspendedAsLent = "lent to another cell"

// jobAdded keeps a job that is lent from being bound when the shard learns of it.
func (s *spiller) jobAdded(jobID string) {
	if record := s.l.c.view.LentOut[jobID]; record != nil && record.State != spill.Home {
		s.keepHome(jobID)
	}
}

// keepHome has nothing of a job bound here.
func (s *spiller) keepHome(jobID string) {
	job := s.l.shard.Jobs[jobID]
	if job == nil || job.Ended != "" {
		return
	}
	s.l.shard.Suspend(job, suspendedAsLent, s.l.c.now)
}

// reservation is what counts towards a team's limit for a job that is lent.
type reservation struct {
	team   string
	amount model.Resources
}

// reserve counts all of a lent job towards its team's limit: of a task that is known as
// finished another attempt may run in the guest, if that has not heard of it.
func (s *spiller) reserve(jobID string, record *spill.OutRecord) {
	if _, reserved := s.reserved[jobID]; reserved {
		return
	}
	s.reserved[jobID] = reservation{record.Team, record.Reserved()}
	s.l.shard.Reserve(record.Team, record.Reserved())
}

// release ends a reservation.
func (s *spiller) release(jobID string) {
	if r, reserved := s.reserved[jobID]; reserved {
		delete(s.reserved, jobID)
		s.l.shard.Release(r.team, r.amount)
	}
}

// lendingNews takes what the view says of a job that is or was lent.
func (s *spiller) lendingNews(jobID string) {
	l := s.l
	record := l.c.view.LentOut[jobID]
	if record != nil && record.State == spill.Lent {
		lending := s.lendings[jobID]
		if lending == nil || lending.Record.Token != record.Token {
			s.lendings[jobID] = spill.NewLending(*record, l.c.now)
			s.keepHome(jobID)
			s.reserve(jobID, record)
			slog.Info("lent", "job", jobID, "cell", record.Cell, "token", record.Token)
			return
		}
		lending.Record = *record
		return
	}
	if record != nil && record.State == spill.Unreadable {
		s.keepHome(jobID)
		return
	}
	if _, pending := s.changes[spill.OutKey(jobID)]; pending && record != nil {
		return // it is to be lent again
	}
	delete(s.lendings, jobID)
	s.release(jobID)
	if job := l.shard.Jobs[jobID]; job != nil && job.HomeCell == "" {
		l.shard.Resume(job)
		l.schedule.runSoon()
	}
}

// stepLendings offers what is lent until it is heard of, takes back what is proven to be
// gone, and forgets what has ended.
func (s *spiller) stepLendings() {
	c := s.l.c
	for _, jobID := range sortedKeys(c.view.LentOut) {
		if _, ended := c.view.Final(jobID); ended {
			s.forgetEnded(jobID)
		}
	}
	for _, jobID := range sortedKeys(s.lendings) {
		lending, job := s.lendings[jobID], s.l.shard.Jobs[jobID]
		if job == nil || job.EndPending || job.Ended != "" || lending.Record.State != spill.Lent {
			continue
		}
		if reason, proven := lending.TakeBack(c.now); proven {
			s.takeBack(jobID, lending, reason)
			continue
		}
		if lending.OfferDue(c.now) {
			s.offer(jobID, lending.Record.Cell, lending.Record.Token)
		}
		s.noteRunning(jobID, lending)
	}
	if c.now-s.recallAt >= recallPeriod {
		s.recallAt = c.now
		s.recallOne()
	}
}

// recallOne has one job come home that has not begun in its guest and could begin here.
func (s *spiller) recallOne() {
	looked := 0
	for _, jobID := range sortedKeys(s.lendings) {
		lending, job := s.lendings[jobID], s.l.shard.Jobs[jobID]
		if job == nil || job.EndPending || job.Ended != "" || lending.Running() || lending.Recalled() {
			continue
		}
		if looked++; looked > maxJobsSearched {
			return
		}
		if s.wantedHome(job, lending) {
			lending.Recall(s.l.c.now)
			return
		}
	}
}

// forgetEnded removes the record of a job that has ended, once nothing of it can be in the
// guest: until then it counts towards its team's limit.
func (s *spiller) forgetEnded(jobID string) {
	lending := s.lendings[jobID]
	if lending != nil {
		if _, proven := lending.TakeBack(s.l.c.now); !proven {
			return
		}
	}
	s.want(spill.OutKey(jobID), spillChange{})
}

// wantedHome tells that a job that has not begun in its guest is better off at home.
func (s *spiller) wantedHome(job *model.JobState, lending *spill.Lending) bool {
	if s.policy == nil || !s.policy.Knows(lending.Record.Cell) {
		return true
	}
	return s.l.shard.RoomSoonFor(job.Job, s.roomWanted(job), s.l.c.now) && !s.l.shard.OwnWorkWaits(ownWorkMaxWait, s.l.c.now)
}

// takeBack has a job come home. Nothing of it is bound here before that is durable.
func (s *spiller) takeBack(jobID string, lending *spill.Lending, reason spill.ReturnReason) {
	key := spill.OutKey(jobID)
	record := lending.Record
	if change, ok := s.changes[key].value.(spill.OutRecord); ok && change.State == spill.Home {
		return
	}
	record.State, record.SinceMs, record.Running = spill.Home, s.l.c.wall(), 0
	noteStep(record.Trace, "take back", jobID, attribute.String("why", string(reason)))
	s.want(key, spillChange{value: record})
	slog.Info("taken back", "job", jobID, "cell", record.Cell, "token", record.Token, "why", reason)
}

// noteRunning has the users' answers say that a lent job runs, once.
func (s *spiller) noteRunning(jobID string, lending *spill.Lending) {
	if lending.Record.Running > 0 || !lending.Running() {
		return
	}
	if _, pending := s.changes[spill.OutKey(jobID)]; pending {
		return
	}
	record := lending.Record
	record.Running = max(1, lending.LastRunning())
	s.want(spill.OutKey(jobID), spillChange{value: record})
}

// roomWanted is how many tasks have to find room for a job to be well served: all of a
// gang, half of what is left of an array.
func (s *spiller) roomWanted(job *model.JobState) int {
	left := job.Tasks - job.Done.Len()
	if job.Kind == model.Gang {
		return left
	}
	return (left + 1) / 2
}
