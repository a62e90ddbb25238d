package placement

import "woadweir/internal/core/model"

// Reservation is what is kept on a machine for one task of a waiting job.
type Reservation struct {
	Machine *model.Machine
	Request model.Resources
	// Preempted tells that others were preempted for it.
	Preempted bool
}

// bookReservations books the reservations of all jobs on their machines.
func (w *Round) bookReservations() {
	for job := range w.Reservations {
		w.bookReservationsOf(job)
	}
}

// bookReservationsOf books a job's reservations on their machines.
func (w *Round) bookReservationsOf(job *model.JobState) {
	for _, reservation := range w.Reservations[job] {
		if open := w.findTarget(reservation.Machine); open != nil {
			open.reserved = open.reserved.Plus(reservation.Request)
		}
	}
}

// unbookReservationsOf makes a job's reservations available.
func (w *Round) unbookReservationsOf(job *model.JobState) {
	for _, reservation := range w.Reservations[job] {
		if open := w.findTarget(reservation.Machine); open != nil {
			open.reserved = open.reserved.Minus(reservation.Request)
		}
	}
}

// findTarget returns what the round knows of a machine, nil if it takes no new work.
func (w *Round) findTarget(machine *model.Machine) *target {
	if w.targetOf == nil {
		w.targetOf = make(map[*model.Machine]*target, len(w.targets))
		for i := range w.targets {
			open := &w.targets[i]
			w.targetOf[open.machine] = open
		}
	}
	return w.targetOf[machine]
}

// reserve keeps what one task needs on a machine for a job that waits.
func (w *Round) reserve(job *model.JobState, open *target, preempted bool) {
	open.reserved = open.reserved.Plus(job.Request)
	if w.Reservations != nil {
		reservation := Reservation{Machine: open.machine, Request: job.Request, Preempted: preempted}
		w.Reservations[job] = append(w.Reservations[job], reservation)
	}
}

// holdFreeResources keeps free resources from jobs served later in this round, for a
// gang that found too few. Which of them the gang gets is left to the next preempting
// round: until then single tasks would take each machine at once, and be preempted soon
// after.
func (w *Round) holdFreeResources(gang *model.JobState) {
	w.holdingGangs++
	if w.holdingGangs > maxPreemptingJobs {
		return
	}
	left := gang.Tasks
	for i := range w.targets {
		open := &w.targets[i]
		tasks := gang.Request.FitCount(open.free(), left)
		if tasks == 0 || !w.mayUse(gang, open.machine) {
			continue
		}
		open.reserved = open.reserved.Plus(gang.Request.Times(tasks))
		left -= tasks
		if left == 0 {
			return
		}
	}
}

// reserveLimit keeps what a waiting gang needs, of its team's limit, from jobs that are
// served later: otherwise single tasks would take whatever becomes free, and the gang
// might never start. It tells whether the gang is the first of its team with such a
// reservation.
func (w *Round) reserveLimit(gang *model.JobState) (first bool) {
	reserved, exists := w.reservedLimit[gang.Team]
	w.reservedLimit[gang.Team] = reserved.Plus(gang.Request.Times(gang.Tasks))
	return !exists
}
