package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// Sort puts jobs into the order in which they are served: those that have waited
// too long to begin, then rank, then those for which others have been stopped
// already (others would take that room for nothing, and what these leave would be
// filled and stopped again), then what can still be in time, then what is
// within its team's guarantee, then by DueAt.
func (w *World) Sort() {
	slices.SortFunc(w.Jobs, func(a, b *model.JobState) int { return cmp.Compare(a.AcceptedRevision, b.AcceptedRevision) })
	w.markGuaranteed()
	w.markStarved()
	for _, j := range w.Jobs {
		if w.DueAt != nil {
			j.DueAt = w.DueAt(j)
		}
		j.HasPreempted = slices.ContainsFunc(w.Reservations[j], func(k Reservation) bool { return k.Preempted })
	}
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		}
		return 1
	}
	slices.SortStableFunc(w.Jobs, func(a, b *model.JobState) int {
		if a.Starved && b.Starved {
			// By age alone: what can still meet an aim would keep the oldest waiting.
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(idleSince(a), idleSince(b)))
		}
		return cmp.Or(first(a.Starved, b.Starved), cmp.Compare(b.Priority, a.Priority), first(a.HasPreempted, b.HasPreempted), first(a.DueAt < Late, b.DueAt < Late), first(a.GuaranteeInTime, b.GuaranteeInTime), first(a.WithinGuarantee, b.WithinGuarantee), cmp.Compare(a.DueAt, b.DueAt))
	})
}

// Late is where the DueAt of jobs begins that can't be in time any more.
const Late = model.Micros(1) << 60

// Even the largest jobs are to begin within four minutes. What has not begun in
// beginBy goes before all others, and so does what would not have, by the rate at
// which tasks of its class come to begin, if it waited any longer for those ahead
// of it. Whatever the rate, nothing does in its first starveLeast.
const (
	startWithin      = 185 * model.Second
	minStarvationAge = 60 * model.Second
	// protectFirstTaskAfter is how long a job has to have waited for its first task so that
	// this is not stopped for others.
	protectFirstTaskAfter = 150 * model.Second
)

// markStarved finds the jobs of which nothing has begun, or been on a machine since,
// for so long that they have to go first, whatever their rank: a gang as a whole,
// another job with a single task. Without this, jobs that can't be in time any
// more, and gangs for which small ones leave no room, would wait for ever; with
// more of it, all jobs of a busy class would get late by turns. The jobs must be
// in order of age.
func (w *World) markStarved() {
	ahead := map[string]float64{}      // tasks that have to begin first
	until := map[string]model.Micros{} // jobs of the class seen until then are starved
	idles := func(j *model.JobState) bool { return len(j.Bindings) == 0 && len(j.Waiting) > 0 && j.Ended == "" }
	for _, j := range w.Jobs {
		if !idles(j) {
			continue
		}
		if j.Kind == model.Gang {
			ahead[j.Class] += float64(j.Tasks)
		} else {
			ahead[j.Class]++
		}
		age := w.Now - idleSince(j)
		if age > startWithin || age > minStarvationAge && age.Seconds()+ahead[j.Class]/max(w.Rate(j.Class), 0.001) > startWithin.Seconds() {
			until[j.Class] = max(until[j.Class], idleSince(j))
		}
	}
	for _, j := range w.Jobs {
		at, ok := until[j.Class]
		j.Starved = ok && idleSince(j) <= at && w.Now-idleSince(j) > minStarvationAge && idles(j)
	}
}

// idleSince is since when a job waits with nothing of it on a machine: from the start
// if nothing has begun.
func idleSince(j *model.JobState) model.Micros {
	if hasNotRun(j) {
		return j.ReadySince
	}
	return j.IdleSince
}

// hasNotRun tells that no task of a job has run yet, under any holder.
func hasNotRun(j *model.JobState) bool { return !j.HasRun && j.Done.Len() == 0 }

// markGuaranteed finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs. The jobs must be in order of age. Where no
// aim counts them one by one, all jobs of a team are alike: those of one that uses
// less than its guarantee.
func (w *World) markGuaranteed() {
	if w.Guarantee == 0 {
		for _, j := range w.Jobs {
			t := w.Teams[j.Team]
			j.WithinGuarantee, j.GuaranteeInTime = t != nil && t.WithinGuarantee(w.Used[j.Team]), false
		}
		return
	}
	sum := make(map[string]model.Resources, len(w.Teams))
	for _, j := range w.Jobs {
		t := w.Teams[j.Team]
		if t == nil {
			j.WithinGuarantee, j.GuaranteeInTime = false, false
			continue
		}
		use := sum[j.Team].Plus(j.Request.Times(j.Tasks))
		sum[j.Team] = use
		j.WithinGuarantee = t.WithinGuarantee(use)
		j.GuaranteeInTime = j.WithinGuarantee && w.Now-j.ReadySince < w.Guarantee
	}
}
