package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// LateOrderKey is the smallest OrderKey of jobs that can't meet an objective any more.
const LateOrderKey = model.Micros(1) << 60

// canBeInTime reports whether a job can still meet an objective.
func canBeInTime(job *model.JobState) bool { return job.OrderKey < LateOrderKey }

// Sort sorts the jobs into the order in which they are served (see compareJobs), after
// computing the fields that the order depends on.
func (r *Round) Sort() {
	slices.SortFunc(r.Jobs, func(a, b *model.JobState) int { return cmp.Compare(a.AcceptedRevision, b.AcceptedRevision) })
	r.markGuaranteed()
	r.markStarved()
	for _, job := range r.Jobs {
		job.OrderKey = r.Estimates.OrderKey(job)
		job.HasPreempted = slices.ContainsFunc(r.Reservations[job], func(reservation Reservation) bool { return reservation.Preempted })
	}
	slices.SortStableFunc(r.Jobs, compareJobs)
}

// compareJobs orders jobs by these criteria, each applied if the ones before it are equal:
// starved jobs first; priority; jobs for which others have been preempted; jobs that can
// still meet an objective; jobs within their team's guarantee; OrderKey.
//
// If jobs that preempted others did not come first among jobs of their priority, another
// job would take what they freed, and even more tasks would be preempted. Starved jobs of
// the same priority are ordered by age alone: if those that can still meet an objective
// came first, the oldest might never start.
func compareJobs(a, b *model.JobState) int {
	if a.Starved && b.Starved {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(idleSince(a), idleSince(b)))
	}
	return cmp.Or(
		trueFirst(a.Starved, b.Starved),
		cmp.Compare(b.Priority, a.Priority),
		trueFirst(a.HasPreempted, b.HasPreempted),
		trueFirst(canBeInTime(a), canBeInTime(b)),
		trueFirst(a.CanMeetGuarantee, b.CanMeetGuarantee),
		trueFirst(a.WithinGuarantee, b.WithinGuarantee),
		cmp.Compare(a.OrderKey, b.OrderKey))
}

// trueFirst compares two booleans, with true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Even the largest jobs are to start within four minutes. So a job is starved if it has
// not started within startWithin, or would not start in that time if it kept waiting for
// the tasks ahead of it, at the rate at which tasks of its class start. Whatever the
// rate, no job is starved before minStarvationAge.
const (
	startWithin      = 185 * model.Second
	minStarvationAge = 60 * model.Second
)

// minStartRate is the minimum start rate that is assumed of a class, in tasks per second.
const minStartRate = 0.001

// markStarved finds the jobs that have had no task bound for so long that they have to be
// served first, whatever their priority. Without it, gangs to which single tasks leave no
// machines, and jobs that can't meet an objective any more, might never start. If jobs
// became starved sooner, all jobs of a busy class would be late, one after the other. The
// jobs must be in order of age.
func (r *Round) markStarved() {
	starvedUntil := r.starvedUntil()
	for _, job := range r.Jobs {
		until, found := starvedUntil[job.Class]
		job.Starved = found && isIdle(job) && idleSince(job) <= until && r.Now-idleSince(job) > minStarvationAge
	}
}

// starvedUntil returns, by class, since when the youngest starved job has been idle. All
// jobs of the class that have been idle for longer are starved, too.
func (r *Round) starvedUntil() map[string]model.Micros {
	tasksAhead := map[string]float64{} // by class: tasks that have to start first, those of the job included
	until := map[string]model.Micros{}
	for _, job := range r.Jobs {
		if !isIdle(job) {
			continue
		}
		tasksAhead[job.Class] += tasksToStart(job)
		if r.startsTooLate(job, tasksAhead[job.Class]) {
			until[job.Class] = max(until[job.Class], idleSince(job))
		}
	}
	return until
}

// startsTooLate reports whether a job has not started within startWithin, or would not with
// the given number of tasks ahead of it.
func (r *Round) startsTooLate(job *model.JobState, tasksAhead float64) bool {
	age := r.Now - idleSince(job)
	if age <= minStarvationAge {
		return false
	}
	expected := age.Seconds() + tasksAhead/max(r.Estimates.StartRate(job.Class), minStartRate)
	return age > startWithin || expected > startWithin.Seconds()
}

// isIdle reports whether a job has waiting tasks and no bound one.
func isIdle(job *model.JobState) bool {
	return len(job.Bindings) == 0 && len(job.Waiting) > 0 && job.FinalStatus == ""
}

// tasksToStart returns how many tasks have to start for a job to count as started.
func tasksToStart(job *model.JobState) float64 {
	if job.Kind == model.Gang {
		return float64(job.Tasks)
	}
	return 1
}

// markGuaranteed finds the jobs that are within their team's guarantee. If there is a
// guarantee objective, jobs are counted one by one. Otherwise all jobs of a team are
// treated alike: they are within the guarantee if the team uses less than its guarantee.
func (r *Round) markGuaranteed() {
	if r.GuaranteeObjective != 0 {
		r.markGuaranteedByJob()
		return
	}
	for _, job := range r.Jobs {
		team := r.Teams[job.Team]
		job.WithinGuarantee = team != nil && team.WithinGuarantee(r.Used[job.Team])
		job.CanMeetGuarantee = false
	}
}

// markGuaranteedByJob finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs. The jobs must be in order of age.
func (r *Round) markGuaranteedByJob() {
	requested := make(map[string]model.Resources, len(r.Teams))
	for _, job := range r.Jobs {
		requested[job.Team] = requested[job.Team].Plus(job.Request.Times(job.Tasks))
		team := r.Teams[job.Team]
		job.WithinGuarantee = team != nil && team.WithinGuarantee(requested[job.Team])
		job.CanMeetGuarantee = job.WithinGuarantee && r.Now-job.ReadySince < r.GuaranteeObjective
	}
}
