package placement

import (
	"slices"

	"woadweir/internal/core/model"
)

// protectFirstTaskAfter is how long a job has to have waited for its first task for that
// task to be protected from preemption.
const protectFirstTaskAfter = 150 * model.Second

// prepare initializes the internal state of the round.
func (r *Round) prepare() {
	r.reservedLimit = map[string]model.Resources{}
	r.tooLarge = map[machineConstraints][]model.Resources{}
	r.reservedZones = map[string]bool{}
	r.collectTargets()
	r.reserveForGPUTasks()
	if r.Preempting {
		r.findLowestPriority()
		r.countPreempted()
		r.dropReservations()
		r.findProtectedJobs()
	}
	r.bookReservations()
}

// collectTargets collects the machines that accept new tasks.
func (r *Round) collectTargets() {
	r.targets = make([]target, 0, len(r.Machines))
	for _, machine := range r.Machines {
		if r.AcceptsTasks(machine) {
			r.targets = append(r.targets, target{machine: machine})
		}
	}
}

// findLowestPriority finds the lowest priority of the tasks that may be preempted.
func (r *Round) findLowestPriority() {
	r.lowestPriority = model.ProductionPriority
	for i := range r.targets {
		for _, binding := range r.targets[i].machine.Bindings {
			if binding.Job.Kind != model.Gang {
				r.lowestPriority = min(r.lowestPriority, binding.Job.Priority)
			}
		}
	}
}

// countPreempted counts the reservations for which others were preempted.
func (r *Round) countPreempted() {
	r.preemptedFor = map[*model.JobState]map[*model.Machine]int{}
	for job, reservations := range r.Reservations {
		for _, reservation := range reservations {
			if !reservation.Preempted {
				continue
			}
			if r.preemptedFor[job] == nil {
				r.preemptedFor[job] = map[*model.Machine]int{}
			}
			r.preemptedFor[job][reservation.Machine]++
		}
	}
}

// dropReservations drops the reservations of the last preempting round, except those for
// which others were preempted. If these were dropped as well, a job served earlier could
// take the machines without having enough of them to start; the job that loses them would
// preempt tasks elsewhere, and so on for the jobs after it.
func (r *Round) dropReservations() {
	for job, reservations := range r.Reservations {
		reservations = slices.DeleteFunc(reservations, func(reservation Reservation) bool { return !reservation.Preempted })
		if len(reservations) == 0 || len(job.Waiting) == 0 || job.FinalStatus != "" {
			delete(r.Reservations, job)
		} else {
			r.Reservations[job] = reservations
		}
	}
}

// findProtectedJobs finds the jobs whose first task may not be preempted.
func (r *Round) findProtectedJobs() {
	r.protectedJobs = map[string]bool{}
	for _, job := range r.Jobs {
		if !job.IsKnownToRun() && r.Now-job.ReadySince > protectFirstTaskAfter {
			r.protectedJobs[job.ID] = true
		}
	}
}
