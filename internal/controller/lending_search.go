package controller

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// Limits of the search for a job to lend.
const (
	probePeriod    = 500 * model.Millisecond
	maxUnconfirmed = 8 // jobs lent to a cell that has not sent a renewal for them yet
	minLeasesLeft  = 2 // execution leases that have to fit in before a job's deadline
)

// probeNeighbour asks a neighbour whether it would accept the oldest job that may be lent
// and finds no room here.
func (s *spillManager) probeNeighbour() {
	c := s.leader.controller
	if !s.isEnabled() || c.now-s.lastProbeAt < probePeriod || len(s.lentJobs) >= s.policy.MaxLent || c.cells == nil {
		return
	}
	s.lastProbeAt = c.now
	neighbour := s.nextNeighbour()
	if neighbour == "" {
		return
	}
	if jobID := s.oldestWithoutRoom(); jobID != "" {
		s.probed[neighbour] = true
		s.sendOffer(jobID, neighbour, 0)
	}
}

// oldestWithoutRoom returns the oldest job that may be lent and finds no room here, "" if
// there is none among the oldest maxJobsSearched.
func (s *spillManager) oldestWithoutRoom() string {
	var jobs []*model.JobState
	for _, job := range s.leader.shard.Jobs {
		if s.mayLend(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *model.JobState) int { return cmp.Compare(a.AcceptedRevision, b.AcceptedRevision) })
	for _, job := range jobs[:min(len(jobs), maxJobsSearched)] {
		if !s.leader.shard.HasCapacitySoonFor(job.Job, s.minTasksToFit(job), s.leader.controller.now) {
			return job.ID
		}
	}
	return ""
}

// nextNeighbour returns a neighbour that may be probed now, "" if there is none. It goes
// through the neighbours in turn, starting after the one it looked at last.
func (s *spillManager) nextNeighbour() string {
	for range s.policy.Neighbours {
		s.neighbourIndex++
		cell := s.policy.Neighbours[s.neighbourIndex%len(s.policy.Neighbours)].Cell
		if !s.probed[cell] && s.pacer(cell).Ready(s.leader.controller.now) && s.unconfirmed(cell) < maxUnconfirmed {
			return cell
		}
	}
	return ""
}

// pacer returns the pacer of the offers to a cell.
func (s *spillManager) pacer(cell string) *spill.OfferPacer {
	if s.pacers[cell] == nil {
		s.pacers[cell] = &spill.OfferPacer{}
	}
	return s.pacers[cell]
}

// unconfirmed returns the number of jobs lent to a cell for which it has not sent a renewal
// yet.
func (s *spillManager) unconfirmed(cell string) (n int) {
	for _, lent := range s.lentJobs {
		if lent.Record.Cell == cell && !lent.RenewalReceived() {
			n++
		}
	}
	return n
}

// mayLend reports whether a job may be lent. It has to be an array or a gang without bound
// tasks that has waited long enough, was not taken back recently, depends on no job and is
// awaited by none, and has enough time before its deadline. All of it has to fit within its
// team's limit here, so that the team stays within the limit wherever the job runs.
func (s *spillManager) mayLend(job *model.JobState) bool {
	c := s.leader.controller
	jobView := c.view.Jobs[job.ID]
	switch {
	case job.HomeCell != "" || job.Suspended || job.FinalStatus != "" || job.EndPending || job.Kind == model.Service:
		return false
	case len(job.Bindings) > 0 || len(job.Waiting) == 0 || c.now < job.NotBefore:
		return false
	case c.now-max(job.ReadySince, job.IdleSince) < s.policy.MinWait:
		return false
	case jobView == nil || jobView.Submission == nil || jobView.End != "" || !jobView.IsIndependent():
		return false
	case job.Deadline > 0 && job.ReadySince+job.Deadline < c.now+minLeasesLeft*s.policy.Lease:
		return false
	case !s.leader.shard.WithinLimit(job.Job, job.Tasks):
		return false
	}
	if _, pending := s.pendingChanges[spill.OutKey(job.ID)]; pending {
		return false
	}
	record := c.view.LentJobs[job.ID]
	return record == nil || record.State == spill.Home && model.Micros(c.wallClockMs()-record.SinceMs)*model.Millisecond >= s.policy.MinStay
}
