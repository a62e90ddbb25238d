package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// An image counts as being on a machine if it is there within this time, or within a
// small part of the task's run.
const (
	imageReadyWithin     = 2 * model.Second
	imageReadyRunDivisor = 8
)

// candidate is a machine that a task may go to.
type candidate struct {
	target *target
	cost   model.Micros
	// free is what is free there of the resource that matters most to the job.
	free model.Milli
}

// fittingMachines are the machines on which a task fits.
type fittingMachines struct {
	machines []*target
	// tasks is how many tasks fit there.
	tasks int
	// anyPreferred tells that a task fits, with or without its image, on a machine of the
	// kind that suits the job best.
	anyPreferred bool
}

// candidates are the machines on which a task fits, best first; none if fewer than
// minTasks fit. With cachedOnly, only machines that have the image, or will have it soon,
// count. Requests that fit nowhere are remembered: during a round, free resources only
// shrink, so that nothing larger needs to be tried again.
func (w *Round) candidates(job *model.JobState, minTasks int, cachedOnly bool) []candidate {
	limits := w.constraintsOf(job)
	if cachedOnly {
		limits.image = job.Image
	}
	if w.isTooLarge(job.Request, limits) {
		return nil
	}
	fitting := w.findFitting(job, limits, minTasks, cachedOnly)
	if cachedOnly && fitting.anyPreferred {
		// A cached image is no reason to go to the other kind of machine.
		fitting.machines = slices.DeleteFunc(fitting.machines, func(open *target) bool { return !isPreferredKind(job, open.machine) })
	}
	if len(fitting.machines) == 0 {
		w.tooLarge[limits] = append(w.tooLarge[limits], job.Request)
	}
	if fitting.tasks < minTasks {
		return nil
	}
	return w.rank(job, limits, fitting.machines)
}

// isTooLarge tells that a request is known to fit on no machine.
func (w *Round) isTooLarge(request model.Resources, limits machineConstraints) bool {
	return slices.ContainsFunc(w.tooLarge[limits], func(tooLarge model.Resources) bool { return tooLarge.Fits(request) })
}

// findFitting finds the machines on which a task fits, and counts up to maxTasks tasks on
// each.
func (w *Round) findFitting(job *model.JobState, limits machineConstraints, maxTasks int, cachedOnly bool) (fitting fittingMachines) {
	maxFetch := max(imageReadyWithin, job.EstimatedRun/imageReadyRunDivisor)
	for i := range w.targets {
		open := &w.targets[i]
		usable := open.usable(limits)
		if !job.Request.Fits(usable) || !w.mayUse(job, open.machine) || w.fragmentsGPUs(job, open.machine) {
			continue
		}
		fitting.anyPreferred = fitting.anyPreferred || isPreferredKind(job, open.machine)
		if cachedOnly && w.fetchTime(job, open.machine) > maxFetch {
			continue
		}
		fitting.machines = append(fitting.machines, open)
		fitting.tasks += job.Request.FitCount(usable, maxTasks)
	}
	return fitting
}

// rank sorts machines by cost, then by what is free: the fullest first, so that others
// become empty and can be returned.
func (w *Round) rank(job *model.JobState, limits machineConstraints, machines []*target) []candidate {
	ranked := make([]candidate, len(machines))
	for i, open := range machines {
		tasks := job.Request.FitCount(open.usable(limits), len(job.Waiting))
		free := open.free().Cores
		if job.Request.GPUs > 0 {
			free = open.free().GPUs
		}
		ranked[i] = candidate{target: open, cost: w.cost(job, open, tasks), free: free}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.target.machine.ID, b.target.machine.ID))
	})
	return ranked
}
