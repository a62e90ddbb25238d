package controller

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits of the search for a job to be lent.
const (
	candidatePeriod = 500 * model.Millisecond
	maxUnheard      = 8 // jobs lent to a cell that it has not asked for yet
	minLeasesLeft   = 2 // leases of the right that have to fit in before a job's deadline
)

// findCandidate asks a neighbour whether it takes the job that has waited longest.
func (s *spiller) findCandidate() {
	c := s.l.c
	if !s.enabled() || c.now-s.candidateAt < candidatePeriod || len(s.lendings) >= s.policy.MostLent || c.cells == nil {
		return
	}
	s.candidateAt = c.now
	neighbour := s.nextNeighbour()
	if neighbour == "" {
		return
	}
	if jobID := s.oldestWithoutRoom(); jobID != "" {
		s.probing[neighbour] = true
		s.offer(jobID, neighbour, 0)
	}
}

// oldestWithoutRoom is the oldest job that may be lent and finds no room here, "" if there
// is none among the oldest few.
func (s *spiller) oldestWithoutRoom() string {
	var jobs []*model.JobState
	for _, job := range s.l.shard.Jobs {
		if s.mayLend(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *model.JobState) int { return cmp.Compare(a.AcceptedRevision, b.AcceptedRevision) })
	for _, job := range jobs[:min(len(jobs), maxJobsSearched)] {
		if !s.l.shard.RoomSoonFor(job.Job, s.roomWanted(job), s.l.c.now) {
			return job.ID
		}
	}
	return ""
}

// nextNeighbour is a neighbour that may be asked now, "" if there is none. One after the
// other is tried, those last that were asked last.
func (s *spiller) nextNeighbour() string {
	for range s.policy.Neighbours {
		s.nextCell++
		cell := s.policy.Neighbours[s.nextCell%len(s.policy.Neighbours)].Cell
		if !s.probing[cell] && s.contact(cell).Ready(s.l.c.now) && s.unheard(cell) < maxUnheard {
			return cell
		}
	}
	return ""
}

// contact paces the offers to a cell.
func (s *spiller) contact(cell string) *spill.Contact {
	if s.contacts[cell] == nil {
		s.contacts[cell] = &spill.Contact{}
	}
	return s.contacts[cell]
}

// unheard is how many jobs were lent to a cell that it has not asked for yet.
func (s *spiller) unheard(cell string) (n int) {
	for _, lending := range s.lendings {
		if lending.Record.Cell == cell && !lending.Heard() {
			n++
		}
	}
	return n
}

// mayLend tells whether a job may be lent: a whole array or gang of which nothing is
// bound, that has waited long enough and has not come back a moment ago, that no other
// job awaits, that has time, and that its team's limit leaves room for here, so that the
// team stays within it wherever the job runs.
func (s *spiller) mayLend(job *model.JobState) bool {
	c := s.l.c
	view := c.view.Jobs[job.ID]
	switch {
	case job.HomeCell != "" || job.Suspended || job.Ended != "" || job.EndPending || job.Kind == model.Service:
		return false
	case len(job.Bindings) > 0 || len(job.Waiting) == 0 || c.now < job.NotBefore:
		return false
	case c.now-max(job.ReadySince, job.IdleSince) < s.policy.Wait:
		return false
	case view == nil || view.Submission == nil || view.End != "" || !view.IsIndependent():
		return false
	case job.Deadline > 0 && job.ReadySince+job.Deadline < c.now+minLeasesLeft*s.policy.Lease:
		return false
	case !s.l.shard.WithinLimit(job.Job, job.Tasks):
		return false
	}
	if _, pending := s.changes[spill.OutKey(job.ID)]; pending {
		return false
	}
	record := c.view.LentOut[job.ID]
	return record == nil || record.State == spill.Home && model.Micros(c.wall()-record.SinceMs)*model.Millisecond >= s.policy.Stay
}
