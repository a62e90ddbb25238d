package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// An image counts as cached on a machine if it is there within imageReadyWithin, or within
// the estimated run time of the task divided by imageReadyRunDivisor.
const (
	imageReadyWithin     = 2 * model.Second
	imageReadyRunDivisor = 8
)

// candidate is a machine on which a task may be placed.
type candidate struct {
	target *target
	cost   model.Micros
	// free is the free amount of the resource that matters most to the job: GPUs if it
	// requests any, cores otherwise.
	free model.Milli
}

// fittingMachines are the machines on which a task of a job fits.
type fittingMachines struct {
	machines []*target
	// tasks is the number of tasks that fit on these machines.
	tasks int
	// anyPreferred is set if a task fits on a machine of the job's preferred kind, whether
	// the image is there or not.
	anyPreferred bool
}

// candidates returns the machines on which a task fits, best first; none if fewer than
// minTasks fit. With cachedOnly, only machines that have the image, or will have it soon,
// are considered. Requests that fit nowhere are recorded: during a round, free resources
// only shrink, so that no larger request has to be tried again.
func (r *Round) candidates(job *model.JobState, minTasks int, cachedOnly bool) []candidate {
	constraints := r.constraintsOf(job)
	if cachedOnly {
		constraints.image = job.Image
	}
	if r.isTooLarge(job.Request, constraints) {
		return nil
	}
	fitting := r.findFitting(job, constraints, minTasks, cachedOnly)
	if cachedOnly && fitting.anyPreferred {
		// A cached image is not worth using a machine of the other kind.
		fitting.machines = slices.DeleteFunc(fitting.machines, func(target *target) bool { return !isPreferredKind(job, target.machine) })
	}
	if len(fitting.machines) == 0 {
		r.tooLarge[constraints] = append(r.tooLarge[constraints], job.Request)
	}
	if fitting.tasks < minTasks {
		return nil
	}
	return r.rank(job, constraints, fitting.machines)
}

// isTooLarge reports whether a request is known to fit on no machine.
func (r *Round) isTooLarge(request model.Resources, constraints machineConstraints) bool {
	return slices.ContainsFunc(r.tooLarge[constraints], func(tooLarge model.Resources) bool { return tooLarge.Fits(request) })
}

// findFitting finds the machines on which a task fits, and counts the tasks that fit, at
// most maxTasks on each.
func (r *Round) findFitting(job *model.JobState, constraints machineConstraints, maxTasks int, cachedOnly bool) (fitting fittingMachines) {
	maxFetch := max(imageReadyWithin, job.EstimatedRun/imageReadyRunDivisor)
	for i := range r.targets {
		target := &r.targets[i]
		usable := target.usable(constraints)
		if !job.Request.Fits(usable) || !r.mayUse(job, target.machine) || r.fragmentsGPUs(job, target.machine) {
			continue
		}
		fitting.anyPreferred = fitting.anyPreferred || isPreferredKind(job, target.machine)
		if cachedOnly && r.fetchTime(job, target.machine) > maxFetch {
			continue
		}
		fitting.machines = append(fitting.machines, target)
		fitting.tasks += job.Request.FitCount(usable, maxTasks)
	}
	return fitting
}

// rank sorts machines by cost, then by free resources: the fullest first, so that others
// become empty and can be returned.
func (r *Round) rank(job *model.JobState, constraints machineConstraints, machines []*target) []candidate {
	ranked := make([]candidate, len(machines))
	for i, target := range machines {
		tasks := job.Request.FitCount(target.usable(constraints), len(job.Waiting))
		free := target.free().Cores
		if job.Request.GPUs > 0 {
			free = target.free().GPUs
		}
		ranked[i] = candidate{target: target, cost: r.cost(job, target, tasks), free: free}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.target.machine.ID, b.target.machine.ID))
	})
	return ranked
}
