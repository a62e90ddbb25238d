package standin

import (
	"fmt"
	"slices"

	"woadweir/internal/core/model"
)

// InvariantChecker checks the invariants that must hold under every failure. The workers
// tell it which tasks are on machines, and the users tell it what they requested and how
// they were answered.
type InvariantChecker struct {
	Teams map[string]*model.Team
	// CancelLimit is how long a job's tasks may stay on machines after a user was told of
	// its cancellation.
	CancelLimit model.Micros
	// Violations describe each breach of a rule: time, rule and details.
	Violations []string

	// Submitted has the jobs that users submitted, including those that were not accepted.
	Submitted map[string]*model.Job
	// HomeCells are the cells at which jobs were submitted, if there are several cells.
	HomeCells map[string]string
	// Accepted has the jobs that a user was told are accepted.
	Accepted map[string]bool
	// Awaits are the jobs that each job directly depends on.
	Awaits map[string][]string
	// FaultsOverAt is when all injected failures had ended, 0 if they have not.
	FaultsOverAt model.Micros
	// OnJobCompleted, if set, is called when a job's last task completes.
	OnJobCompleted func(jobID string)
	// Starts counts the tasks that got their image and came onto a machine.
	Starts int
	// CancelledStarts counts starts of tasks whose job had already been reported as
	// withdrawn: the start command was still in flight. They are violations only after
	// CancelLimit.
	CancelledStarts int
	// LocalJobsOnly are the cells whose workers find no description of jobs that were
	// submitted at another cell.
	LocalJobsOnly map[string]bool
	// OnTaskStarted, if set, is called for each task that comes onto a machine;
	// completedBefore says whether the task had completed before.
	OnTaskStarted func(cell string, task model.TaskID, completedBefore bool)
	// ExecutedAgain counts starts of tasks that had completed before: the service had not
	// learned of the completion, for example because the machine was lost.
	ExecutedAgain int
	// FailingJobs are jobs that were submitted with an error: their tasks fail on every
	// machine. FailingJobAttempts counts those of their tasks that got their image and
	// failed.
	FailingJobs        map[string]bool
	FailingJobAttempts int

	sim               *Sim
	onMachines        map[model.TaskID]map[*Task]bool // attempts that are on machines
	used              map[limitKey]model.Resources
	completed         map[model.TaskID]bool
	cancelRequestedAt map[string]model.Micros // when a user requested that a job be cancelled
	reportedEnd       map[string]string       // the final status of a job that a user was told
	endReportedAt     map[string]model.Micros
	lastAnsweredAt    map[string]model.Micros // when a request about a job was last answered
	waitingSince      map[string]model.Micros // since when a job waits although machines have room
}

// NewInvariantChecker returns a checker without jobs and violations.
func NewInvariantChecker(sim *Sim, teams map[string]*model.Team, cancelLimit model.Micros) *InvariantChecker {
	return &InvariantChecker{sim: sim, Teams: teams, CancelLimit: cancelLimit, Submitted: map[string]*model.Job{}, onMachines: map[model.TaskID]map[*Task]bool{},
		used: map[limitKey]model.Resources{}, HomeCells: map[string]string{}, completed: map[model.TaskID]bool{}, cancelRequestedAt: map[string]model.Micros{},
		reportedEnd: map[string]string{}, endReportedAt: map[string]model.Micros{}, Accepted: map[string]bool{}, Awaits: map[string][]string{}, lastAnsweredAt: map[string]model.Micros{}, waitingSince: map[string]model.Micros{}}
}

func (c *InvariantChecker) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f ", c.sim.Now.Seconds())+fmt.Sprintf(format, args...))
}

// taskStarted records that a task is on its machine, and checks that it may be there. It is
// called once the task has its image.
func (c *InvariantChecker) taskStarted(t *Task) {
	c.Starts++
	job := t.job
	if c.OnTaskStarted != nil {
		c.OnTaskStarted(t.worker.Cell, t.id, c.completed[t.id])
	}
	if len(c.onMachines[t.id]) > 0 {
		c.addViolation("ran_twice: %s on %s", t.id, t.worker.ID)
	}
	if !job.Allows(t.worker.MachineType, t.worker.Zone, t.worker.Spot) {
		c.addViolation("wrong_place: %s on %s", t.id, t.worker.ID)
	}
	for _, dependency := range c.Awaits[job.ID] {
		if !c.isComplete(dependency) {
			c.addViolation("too_early: %s starts before %s is done", t.id, dependency)
		}
	}
	c.checkZones(t)
	if c.onMachines[t.id] == nil {
		c.onMachines[t.id] = map[*Task]bool{}
	}
	c.onMachines[t.id][t] = true
	for _, key := range c.limitKeys(t) {
		c.used[key] = c.used[key].Plus(job.Request)
		if !c.Teams[job.Team].WithinLimit(c.used[key]) {
			c.addViolation("quota: %v uses %v, more than the team's limit", key, c.used[key])
		}
	}
	if c.reportedEnd[job.ID] == model.JobCancelled {
		c.CancelledStarts++
	}
	if c.cancelOverdue(job.ID) {
		c.addViolation("ran_cancelled: %s starts too long after its cancellation", t.id)
	}
}

// checkZones checks that a task may start in its zone, given the zones of the job's other
// tasks.
func (c *InvariantChecker) checkZones(t *Task) {
	job := t.job
	if !job.SameZone && !job.Spread {
		return
	}
	inZone, elsewhere := 0, 0
	for index := range job.Tasks {
		for other := range c.onMachines[model.TaskID{Job: job.ID, Index: index}] {
			if other.worker.Zone == t.worker.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if job.SameZone && elsewhere > 0 || inZone+1 > job.MaxPerZone() {
		c.addViolation("wrong_place: %s in zone %s: %d other tasks there, %d elsewhere", t.id, t.worker.Zone, inZone, elsewhere)
	}
}

// cancelOverdue reports whether a user was told of a job's cancellation so long ago that
// none of its tasks may still be on a machine.
func (c *InvariantChecker) cancelOverdue(jobID string) bool {
	return c.reportedEnd[jobID] == model.JobCancelled && c.sim.Now > c.endReportedAt[jobID]+c.CancelLimit
}

// CheckCancelled checks that no task of a job cancelled too long ago is on a machine now. A
// task that never leaves its machine would not be noticed otherwise.
func (c *InvariantChecker) CheckCancelled() {
	for id, tasks := range c.onMachines {
		if !c.cancelOverdue(id.Job) {
			continue
		}
		for t := range tasks {
			c.addViolation("ran_cancelled: %s is on %s", id, t.worker.ID)
		}
	}
}

// taskCompleted records that a task has completed.
func (c *InvariantChecker) taskCompleted(id model.TaskID) {
	c.completed[id] = true
	if c.OnJobCompleted != nil && c.isComplete(id.Job) {
		c.OnJobCompleted(id.Job)
	}
}

// isComplete reports whether all tasks of a job have completed.
func (c *InvariantChecker) isComplete(jobID string) bool {
	for index := range c.Submitted[jobID].Tasks {
		if !c.completed[model.TaskID{Job: jobID, Index: index}] {
			return false
		}
	}
	return true
}

// CompletedTasks returns how many tasks of a job have completed.
func (c *InvariantChecker) CompletedTasks(jobID string) (n int) {
	for id := range c.completed {
		if id.Job == jobID {
			n++
		}
	}
	return n
}

// eachDependency calls visit once for each job that a job depends on, directly or
// indirectly.
func (c *InvariantChecker) eachDependency(jobID string, visit func(jobID string)) {
	seen := map[string]bool{}
	for queue := slices.Clone(c.Awaits[jobID]); len(queue) > 0; queue = queue[1:] {
		if dependency := queue[0]; !seen[dependency] {
			seen[dependency] = true
			visit(dependency)
			queue = append(queue, c.Awaits[dependency]...)
		}
	}
}

// taskRemoved records that a task is no longer on its machine.
func (c *InvariantChecker) taskRemoved(t *Task) {
	if !c.onMachines[t.id][t] {
		return
	}
	delete(c.onMachines[t.id], t)
	for _, key := range c.limitKeys(t) {
		c.used[key] = c.used[key].Minus(t.job.Request)
	}
	if c.cancelOverdue(t.job.ID) {
		c.addViolation("ran_cancelled: %s was on %s until %.1f s after its cancellation was reported", t.id, t.worker.ID, (c.sim.Now - c.endReportedAt[t.job.ID]).Seconds())
	}
}

// TasksOnMachines returns how many task attempts are on machines.
func (c *InvariantChecker) TasksOnMachines() (n int) {
	for _, tasks := range c.onMachines {
		n += len(tasks)
	}
	return n
}

// JobTasksOnMachines returns how many task attempts of a job are on machines.
func (c *InvariantChecker) JobTasksOnMachines(jobID string) (n int) {
	for id, tasks := range c.onMachines {
		if id.Job == jobID {
			n += len(tasks)
		}
	}
	return n
}

// Used returns the resources of machines that a team's tasks use, where there is one cell.
func (c *InvariantChecker) Used(team string) model.Resources { return c.used[limitKey{team: team}] }

// limitKey identifies a set of tasks whose resources must stay within a team's limit: the
// team's tasks on the machines of a cell or, with byHome, the tasks of the team's jobs that
// were submitted at a cell, wherever they run.
type limitKey struct {
	team, cell string
	byHome     bool
}

// limitKeys returns the two sets that a task counts towards.
func (c *InvariantChecker) limitKeys(t *Task) [2]limitKey {
	return [2]limitKey{{t.job.Team, t.worker.Cell, false}, {t.job.Team, c.HomeCells[t.job.ID], true}}
}
