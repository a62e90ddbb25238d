// Package placement decides which waiting task goes to which machine, and which
// running tasks are preempted for others.
//
// It works in rounds: World.Round sorts the waiting jobs (order.go), looks at the
// machines (prepare.go, machines.go), and then serves one job after the other. Tasks go
// to the machines that cost least (candidates.go, cost.go); a gang gets all its machines
// or none (gang.go). A preempting round also frees machines for jobs that found none
// (preempt.go, victims.go) and keeps them reserved until the job starts (reservations.go,
// nextfree.go).
//
// The package only decides. Making a decision durable and carrying it out is left to
// the caller, by way of the interface Executor.
package placement

import "woadweir/internal/core/model"

// Estimator gives a round the estimates on which its decisions rest.
type Estimator interface {
	// DueAt is by when a job is to be done to be in time. For a job that can't be in time
	// any more, or needn't be, it is Late or greater.
	DueAt(job *model.JobState) model.Micros
	// MaxWait is how long a job may wait before work of lower priority is preempted for it.
	MaxWait(job *model.JobState) model.Micros
	// StartRate is how many tasks of a class start in a second, as estimated from those
	// that run.
	StartRate(class string) float64
	// Remaining is how long a bound task is expected to stay on its machine.
	Remaining(binding *model.Binding) model.Micros
}

// Executor carries out the decisions of a round.
type Executor interface {
	// TaskSlots is how many more tasks of a job may be bound to a machine, whatever
	// resources are free there.
	TaskSlots(job *model.Job, machine *model.Machine) int
	// NextAttempt returns an attempt number that no task has carried before.
	NextAttempt() uint64
	// Bind binds a waiting task to a machine. It has to book the task's resources at
	// once, so that the next decision sees what is left.
	Bind(job *model.JobState, task int, machine *model.Machine, attempt uint64)
	// Stop asks for a bound task to be stopped, to free its resources.
	Stop(binding *model.Binding, reason string)
}

// Round is what a placement round works on. It serves for one round.
type Round struct {
	// Now is the time of the round.
	Now model.Micros
	// HeartbeatTimeout is the silence after which a machine gets no new work.
	HeartbeatTimeout model.Micros
	// StopTime is about how long it takes until a stopped task's resources are free.
	StopTime model.Micros
	// GuaranteeObjective is the time within which jobs within their team's guarantee are to start;
	// 0 if these jobs are not counted one by one.
	GuaranteeObjective model.Micros

	Machines     []*model.Machine
	MachineTypes map[string]*model.MachineType
	Jobs         []*model.JobState
	Teams        map[string]*model.Team
	// Used is what all bound tasks of a team take.
	Used map[string]model.Resources
	// RequestPerGPU is what a GPU task takes beside each of its GPUs, on average.
	RequestPerGPU model.Resources
	// WantedGPUs are the GPUs that are, or may soon be, wanted beyond those in use.
	WantedGPUs model.Milli

	Estimates Estimator
	Executor  Executor

	// Preempting has the round also look for work to be stopped, which takes longer than
	// placing alone.
	Preempting bool
	// Reservations are the resources kept for jobs that still wait. A preempting round
	// makes them anew; the rounds until the next one respect them.
	Reservations map[*model.JobState][]Reservation

	// The rest is the round's own.

	// targets are the machines that take new work.
	targets []target
	// targetOf indexes openMachines; it is made when first needed.
	targetOf map[*model.Machine]*target
	// tooLarge holds, by constraints, requests that no machine has room for.
	tooLarge map[machineConstraints][]model.Resources
	// reservedLimit is what is kept, of a team's limit, for gangs served earlier.
	reservedLimit map[string]model.Resources
	// reservedZones are the zones where machines that come free are reserved for a gang.
	reservedZones map[string]bool
	// lowestPriority is the lowest priority of the tasks that may be preempted.
	lowestPriority model.Priority
	// preemptedFor counts, by job and machine, the tasks' places for which others were
	// stopped in the last preempting round.
	preemptedFor map[*model.JobState]map[*model.Machine]int
	// protectedJobs are jobs whose first task may not be preempted.
	protectedJobs map[string]bool
	// holdingGangs counts the gangs for which free resources were held back.
	holdingGangs int
	// preemptingJobs counts the jobs that looked for work to be stopped.
	preemptingJobs int
}

// maxPreemptingJobs bounds the jobs of a round that look for work to be stopped: the
// first in order. The turn of the others comes when those are served.
const maxPreemptingJobs = 24

// Run places what can be placed and passes each decision to the Executor.
func (r *Round) Run() {
	r.Sort()
	r.prepare()
	for start, end := 0, 0; start < len(r.Jobs); start = end {
		first := r.Jobs[start]
		end = start + 1
		for end < len(r.Jobs) && samePrecedence(first, r.Jobs[end]) {
			end++
		}
		r.placeSamePrecedence(r.Jobs[start:end])
	}
}

// samePrecedence tells whether neither job has to be served before the other.
func samePrecedence(a, b *model.JobState) bool {
	return a.Priority == b.Priority && a.Starved == b.Starved && canBeInTime(a) == canBeInTime(b)
}

// placeSamePrecedence serves jobs of equal standing. Tasks whose image is on a machine go
// first: when GPUs come free one at a time, each would otherwise go to the next task in
// order, and spend as long on fetching its image as on running it.
func (r *Round) placeSamePrecedence(jobs []*model.JobState) {
	if r.mayReorder(jobs) {
		for _, job := range jobs {
			if r.isWaiting(job) {
				r.placeTasks(job, true)
			}
		}
	}
	for _, job := range jobs {
		if r.isWaiting(job) {
			r.placeJob(job)
		}
	}
}

// mayReorder tells whether jobs of equal standing may be served out of order: none of
// them is starved or a waiting gang.
func (r *Round) mayReorder(jobs []*model.JobState) bool {
	if jobs[0].Starved {
		return false
	}
	for _, job := range jobs {
		if job.Kind == model.Gang && r.isWaiting(job) {
			return false
		}
	}
	return true
}

// isWaiting tells whether a job has tasks that may be placed now.
func (r *Round) isWaiting(job *model.JobState) bool {
	return job.FinalStatus == "" && !job.EndPending && len(job.Waiting) > 0 && r.Now >= job.NotBefore
}

// placeJob places what it can of one job, on resources reserved for it and others. What
// it does not use stays reserved, except in a preempting round, which decides anew.
func (r *Round) placeJob(job *model.JobState) {
	if len(r.Reservations[job]) == 0 {
		r.placeOrReserve(job)
		return
	}
	r.unbookReservationsOf(job)
	clear(r.tooLarge)
	if r.Preempting {
		delete(r.Reservations, job)
		r.placeOrReserve(job)
		return
	}
	r.placeOrReserve(job)
	if len(job.Waiting) == 0 {
		delete(r.Reservations, job)
	}
	r.bookReservationsOf(job)
}

// placeOrReserve places what it can of one job, and reserves or frees resources for the
// rest.
func (r *Round) placeOrReserve(job *model.JobState) {
	if job.Kind == model.Gang && r.tasksWithinLimit(job, job.Tasks) < job.Tasks {
		r.preemptWithinTeam(job)
		return
	}
	reserved := false
	if job.Kind == model.Gang {
		reserved = r.placeGang(job)
		r.reserveFirstGangLimit(job)
	} else {
		r.placeTasks(job, false)
	}
	switch {
	case r.Preempting && len(job.Waiting) > 0 && !reserved:
		r.freeResources(job)
	case !r.Preempting && job.Kind == model.Gang && len(job.Waiting) == job.Tasks:
		r.holdFreeResources(job)
	}
}

// reserveFirstGangLimit reserves part of the team's limit for a gang that waits for
// machines, if no other gang of the team has such a reservation. With none at all, the
// team's other work would use up the limit meanwhile, and be preempted for the gang
// again; with one for every gang, nothing would be left of the limit.
func (r *Round) reserveFirstGangLimit(gang *model.JobState) {
	_, exists := r.reservedLimit[gang.Team]
	if !exists && len(gang.Waiting) > 0 && len(gang.Bindings) == 0 {
		r.reserveLimit(gang)
	}
}

// freeResources has others preempted for a job that found no machines. For a gang that
// can't preempt, it reserves the machines that come free next.
func (r *Round) freeResources(job *model.JobState) {
	reserved := false
	if r.mayPreempt(job) {
		r.preemptingJobs++
		reserved = r.preempt(job, anyMachine)
	}
	if !reserved && job.Kind == model.Gang {
		r.reserveNextFree(job)
	}
}

// mayPreempt tells whether there may be tasks that a job can preempt, and the round has
// not looked for such tasks too often yet.
func (r *Round) mayPreempt(job *model.JobState) bool {
	if r.preemptingJobs >= maxPreemptingJobs {
		return false
	}
	return job.Priority > r.lowestPriority || job.Priority >= model.HighPriority
}

// placeTasks places single tasks. With cachedOnly, it uses only machines that have the
// job's image, or will have it soon.
func (r *Round) placeTasks(job *model.JobState, cachedOnly bool) {
	left := job.BindableTasks(r.tasksWithinLimit(job, len(job.Waiting)))
	if job.Starved {
		left = min(left, 1)
	}
	if left == 0 {
		return
	}
	constraints := r.constraintsOf(job)
	for _, candidate := range r.candidates(job, 1, cachedOnly) {
		machine := candidate.target.machine
		fitting := job.Request.FitCount(candidate.target.usable(constraints), left)
		tasks := min(left, fitting, ZoneRoom(job, machine.Zone), r.Executor.TaskSlots(job.Job, machine))
		for range tasks {
			r.Executor.Bind(job, job.Waiting[0], machine, r.Executor.NextAttempt())
			left--
		}
		if left == 0 {
			return
		}
	}
}
