package placement

import (
	"slices"

	"woadweir/internal/core/model"
)

// protectFirstTaskAfter is how long a job has to have waited for its first task so that
// this task is not preempted.
const protectFirstTaskAfter = 150 * model.Second

// prepare sets up the round's own state.
func (w *Round) prepare() {
	w.reservedLimit = map[string]model.Resources{}
	w.tooLarge = map[machineConstraints][]model.Resources{}
	w.reservedZones = map[string]bool{}
	w.collectTargets()
	w.reserveForGPUTasks()
	if w.Preempting {
		w.findLowestPriority()
		w.countPreempted()
		w.dropReservations()
		w.findProtectedJobs()
	}
	w.bookReservations()
}

// collectTargets collects the machines that take new work.
func (w *Round) collectTargets() {
	w.targets = make([]target, 0, len(w.Machines))
	for _, machine := range w.Machines {
		if w.AcceptsTasks(machine) {
			w.targets = append(w.targets, target{machine: machine})
		}
	}
}

// findLowestPriority finds the lowest priority of the tasks that may be preempted.
func (w *Round) findLowestPriority() {
	w.lowestPriority = model.ProductionPriority
	for i := range w.targets {
		for _, binding := range w.targets[i].machine.Bindings {
			if binding.Job.Kind != model.Gang {
				w.lowestPriority = min(w.lowestPriority, binding.Job.Priority)
			}
		}
	}
}

// countPreempted counts the reservations for which others were preempted.
func (w *Round) countPreempted() {
	w.preemptedFor = map[*model.JobState]map[*model.Machine]int{}
	for job, reservations := range w.Reservations {
		for _, reservation := range reservations {
			if !reservation.Preempted {
				continue
			}
			if w.preemptedFor[job] == nil {
				w.preemptedFor[job] = map[*model.Machine]int{}
			}
			w.preemptedFor[job][reservation.Machine]++
		}
	}
}

// dropReservations drops the reservations of the last preempting round, except those
// for which others were preempted. If these were dropped, too, a job served earlier could
// take the machines without having enough of them to start; the job that loses them
// would preempt tasks elsewhere, and so on for the jobs behind it.
func (w *Round) dropReservations() {
	for job, reservations := range w.Reservations {
		reservations = slices.DeleteFunc(reservations, func(r Reservation) bool { return !r.Preempted })
		if len(reservations) == 0 || len(job.Waiting) == 0 || job.FinalStatus != "" {
			delete(w.Reservations, job)
		} else {
			w.Reservations[job] = reservations
		}
	}
}

// findProtectedJobs finds the jobs whose first task may not be preempted.
func (w *Round) findProtectedJobs() {
	w.protectedJobs = map[string]bool{}
	for _, job := range w.Jobs {
		if !job.IsKnownToRun() && w.Now-job.ReadySince > protectFirstTaskAfter {
			w.protectedJobs[job.ID] = true
		}
	}
}
