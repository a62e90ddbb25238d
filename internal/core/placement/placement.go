// Package placement decides on which machine each waiting task is placed, and which running
// tasks are preempted for others.
//
// It works in rounds: Round.Run sorts the waiting jobs (order.go), collects the machines
// that accept tasks (prepare.go, machines.go), and then serves one job after the other.
// Tasks are placed on the machines with the lowest cost (candidates.go, cost.go); a gang
// gets all its machines or none (gang.go). A preempting round also frees machines for jobs
// that found none (preempt.go, victims.go) and reserves them until the job starts
// (reservations.go, next_free.go).
//
// The package only makes decisions. The caller makes them durable and carries them out, by
// implementing the interface Executor.
package placement

import "woadweir/internal/core/model"

// Estimator provides the estimates on which the decisions of a round are based.
type Estimator interface {
	// OrderKey returns the key by which jobs are ordered if all else is equal, smallest
	// first. A key of LateOrderKey or greater means that the job can't meet an objective any
	// more, or has none.
	OrderKey(job *model.JobState) model.Micros
	// MaxWait returns how long a job may wait before work of lower priority is preempted
	// for it.
	MaxWait(job *model.JobState) model.Micros
	// StartRate returns how many tasks of a class start per second, as estimated from the
	// running tasks.
	StartRate(class string) float64
	// Remaining returns how long a bound task is expected to stay on its machine.
	Remaining(binding *model.Binding) model.Micros
}

// Executor carries out the decisions of a round.
type Executor interface {
	// TaskSlots returns how many more tasks of a job may be bound to a machine, regardless
	// of the free resources.
	TaskSlots(job *model.Job, machine *model.Machine) int
	// NextAttempt returns an attempt number that has not been used for any task.
	NextAttempt() uint64
	// Bind binds a waiting task to a machine. It has to book the task's resources
	// immediately, so that the next decision is based on what is left.
	Bind(job *model.JobState, task int, machine *model.Machine, attempt uint64)
	// Stop asks for a bound task to be stopped, to free its resources.
	Stop(binding *model.Binding, reason string)
}

// Round holds the input and the state of one placement round. It must not be reused.
type Round struct {
	// Now is the time of the round.
	Now model.Micros
	// HeartbeatTimeout is the time since its last heartbeat after which a machine gets no
	// new work.
	HeartbeatTimeout model.Micros
	// StopTime is the approximate time until the resources of a stopped task are free.
	StopTime model.Micros
	// GuaranteeObjective is the time within which jobs within their team's guarantee are to
	// start; 0 if these jobs are not counted one by one.
	GuaranteeObjective model.Micros

	Machines     []*model.Machine
	MachineTypes map[string]*model.MachineType
	Jobs         []*model.JobState
	Teams        map[string]*model.Team
	// Used are the resources that the bound tasks of a team take, by team.
	Used map[string]model.Resources
	// RequestPerGPU is what a GPU task requests in addition to each of its GPUs, on average.
	RequestPerGPU model.Resources
	// WantedGPUs are the GPUs that are, or may soon be, wanted beyond those in use.
	WantedGPUs model.Milli

	Estimates Estimator
	Executor  Executor

	// Preempting makes the round also search for tasks to preempt, which takes longer than
	// placing alone.
	Preempting bool
	// Reservations are the resources reserved for waiting jobs. A preempting round renews
	// them; the rounds until the next preempting one respect them.
	Reservations map[*model.JobState][]Reservation

	// The following fields are internal to the round.

	// targets are the machines that accept new tasks.
	targets []target
	// targetOf indexes targets by machine; it is built on first use.
	targetOf map[*model.Machine]*target
	// tooLarge holds, by constraints, the requests that fit on no machine.
	tooLarge map[machineConstraints][]model.Resources
	// reservedLimit holds, by team, the part of the limit that is reserved for gangs served
	// earlier.
	reservedLimit map[string]model.Resources
	// reservedZones are the zones in which machines that become free are reserved for a
	// gang.
	reservedZones map[string]bool
	// lowestPriority is the lowest priority of the tasks that may be preempted.
	lowestPriority model.Priority
	// preemptedFor counts, by job and machine, the reservations of the last preempting round
	// for which tasks of others were stopped.
	preemptedFor map[*model.JobState]map[*model.Machine]int
	// protectedJobs are the jobs whose first task may not be preempted.
	protectedJobs map[string]bool
	// holdingGangs counts the gangs for which free resources were held back.
	holdingGangs int
	// preemptingJobs counts the jobs that searched for tasks to preempt.
	preemptingJobs int
}

// maxPreemptingJobs is the maximum number of jobs per round that search for tasks to
// preempt: the first in order. The others follow once those have been served.
const maxPreemptingJobs = 24

// Run places the tasks that can be placed, and passes each decision to the Executor.
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

// samePrecedence reports whether neither job has to be served before the other.
func samePrecedence(a, b *model.JobState) bool {
	return a.Priority == b.Priority && a.Starved == b.Starved && canBeInTime(a) == canBeInTime(b)
}

// placeSamePrecedence serves jobs of the same precedence. Tasks whose image is on a machine
// are placed first: when GPUs become free one at a time, each would otherwise go to the next
// task in order, and spend as much time on fetching the image as on running the task.
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

// mayReorder reports whether jobs of the same precedence may be served out of order: none
// of them is starved or a waiting gang.
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

// isWaiting reports whether a job has tasks that may be placed now.
func (r *Round) isWaiting(job *model.JobState) bool {
	return job.FinalStatus == "" && !job.EndPending && len(job.Waiting) > 0 && r.Now >= job.NotBefore
}

// placeJob places as many tasks of a job as it can, on resources reserved for the job and
// on others. Reserved resources that are not used stay reserved, except in a preempting
// round, which decides anew.
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

// placeOrReserve places as many tasks of a job as it can, and reserves or frees resources
// for the others.
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
// machines, if no other gang of the team has such a reservation. Without any reservation,
// the team's other work would use up the limit in the meantime, and be preempted for the
// gang again; with one for every gang, nothing would be left of the limit.
func (r *Round) reserveFirstGangLimit(gang *model.JobState) {
	_, exists := r.reservedLimit[gang.Team]
	if !exists && len(gang.Waiting) > 0 && len(gang.Bindings) == 0 {
		r.reserveLimit(gang)
	}
}

// freeResources preempts others for a job that found no machines. For a gang that can't
// preempt, it reserves the machines that become free next.
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

// mayPreempt reports whether there may be tasks that a job can preempt, and the round has
// not reached maxPreemptingJobs.
func (r *Round) mayPreempt(job *model.JobState) bool {
	if r.preemptingJobs >= maxPreemptingJobs {
		return false
	}
	return job.Priority > r.lowestPriority || job.Priority >= model.HighPriority
}

// placeTasks places tasks of an array or a service. With cachedOnly, it uses only machines
// that have the job's image, or will have it soon.
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
		tasks := min(left, fitting, AllowedInZone(job, machine.Zone), r.Executor.TaskSlots(job.Job, machine))
		for range tasks {
			r.Executor.Bind(job, job.Waiting[0], machine, r.Executor.NextAttempt())
			left--
		}
		if left == 0 {
			return
		}
	}
}
