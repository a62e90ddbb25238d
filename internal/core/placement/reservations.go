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
func (r *Round) bookReservations() {
	for job := range r.Reservations {
		r.bookReservationsOf(job)
	}
}

// bookReservationsOf books a job's reservations on their machines.
func (r *Round) bookReservationsOf(job *model.JobState) {
	for _, reservation := range r.Reservations[job] {
		if target := r.findTarget(reservation.Machine); target != nil {
			target.reserved = target.reserved.Plus(reservation.Request)
		}
	}
}

// unbookReservationsOf makes a job's reservations available.
func (r *Round) unbookReservationsOf(job *model.JobState) {
	for _, reservation := range r.Reservations[job] {
		if target := r.findTarget(reservation.Machine); target != nil {
			target.reserved = target.reserved.Minus(reservation.Request)
		}
	}
}

// findTarget returns what the round knows of a machine, nil if it takes no new work.
func (r *Round) findTarget(machine *model.Machine) *target {
	if r.targetOf == nil {
		r.targetOf = make(map[*model.Machine]*target, len(r.targets))
		for i := range r.targets {
			target := &r.targets[i]
			r.targetOf[target.machine] = target
		}
	}
	return r.targetOf[machine]
}

// reserve keeps what one task needs on a machine for a job that waits.
func (r *Round) reserve(job *model.JobState, target *target, preempted bool) {
	target.reserved = target.reserved.Plus(job.Request)
	if r.Reservations != nil {
		reservation := Reservation{Machine: target.machine, Request: job.Request, Preempted: preempted}
		r.Reservations[job] = append(r.Reservations[job], reservation)
	}
}

// holdFreeResources keeps free resources from jobs served later in this round, for a
// gang that found too few. Which of them the gang gets is left to the next preempting
// round: until then single tasks would take each machine at once, and be preempted soon
// after.
func (r *Round) holdFreeResources(gang *model.JobState) {
	r.holdingGangs++
	if r.holdingGangs > maxPreemptingJobs {
		return
	}
	left := gang.Tasks
	for i := range r.targets {
		target := &r.targets[i]
		tasks := gang.Request.FitCount(target.free(), left)
		if tasks == 0 || !r.mayUse(gang, target.machine) {
			continue
		}
		target.reserved = target.reserved.Plus(gang.Request.Times(tasks))
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
func (r *Round) reserveLimit(gang *model.JobState) (first bool) {
	reserved, exists := r.reservedLimit[gang.Team]
	r.reservedLimit[gang.Team] = reserved.Plus(gang.Request.Times(gang.Tasks))
	return !exists
}
