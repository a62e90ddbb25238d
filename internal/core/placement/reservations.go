package placement

import "woadweir/internal/core/model"

// Reservation reserves resources of a machine for one task of a waiting job.
type Reservation struct {
	Machine *model.Machine
	Request model.Resources
	// Preempted is set if tasks of others were preempted for the reservation.
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

// unbookReservationsOf makes the resources that are reserved for a job available.
func (r *Round) unbookReservationsOf(job *model.JobState) {
	for _, reservation := range r.Reservations[job] {
		if target := r.findTarget(reservation.Machine); target != nil {
			target.reserved = target.reserved.Minus(reservation.Request)
		}
	}
}

// findTarget returns the target of a machine, nil if the machine accepts no new tasks.
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

// reserve reserves what one task of a waiting job needs on a machine.
func (r *Round) reserve(job *model.JobState, target *target, preempted bool) {
	target.reserved = target.reserved.Plus(job.Request)
	if r.Reservations != nil {
		reservation := Reservation{Machine: target.machine, Request: job.Request, Preempted: preempted}
		r.Reservations[job] = append(r.Reservations[job], reservation)
	}
}

// holdFreeResources withholds free resources from jobs served later in this round, for a
// gang that found too few. The next preempting round decides which of them the gang gets.
// Without this, single tasks would take each machine as soon as it is free, and be
// preempted soon afterwards.
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

// reserveLimit reserves what a waiting gang needs of its team's limit. Otherwise, single
// tasks of jobs served later would take whatever becomes free, and the gang might never
// start. It reports whether the gang is the first of its team with such a reservation.
func (r *Round) reserveLimit(gang *model.JobState) (first bool) {
	reserved, exists := r.reservedLimit[gang.Team]
	r.reservedLimit[gang.Team] = reserved.Plus(gang.Request.Times(gang.Tasks))
	return !exists
}
