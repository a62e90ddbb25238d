package standin

import (
	"fmt"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
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

// maxUnanswered is how long all requests about an accepted job may go unanswered once all
// failures are over, regardless of whether requests about other jobs are answered.
const maxUnanswered = 75 * model.Second

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

// checkAnswer checks an answer whose body has been decoded.
func (c *InvariantChecker) checkAnswer(jobID string, code int, status string, sentAt model.Micros) {
	if endedAt, ok := c.endReportedAt[jobID]; ok && sentAt <= endedAt {
		return // sent before the final status was reported: both statuses are correct
	}
	if code != 200 && code != 201 {
		c.checkRefusal(jobID, code)
		return
	}
	c.lastAnsweredAt[jobID] = c.sim.Now
	job := c.Submitted[jobID]
	if job == nil {
		c.addViolation("invented: %s", jobID)
		return
	}
	c.Accepted[jobID] = true
	if previous := c.reportedEnd[jobID]; previous != "" && previous != status {
		c.addViolation("went_back: %s was %s, is %s", jobID, previous, status)
	}
	if !c.checkStatus(jobID, status, sentAt) {
		return
	}
	if c.reportedEnd[jobID] == "" {
		c.reportedEnd[jobID] = status
		c.endReportedAt[jobID] = c.sim.Now
	}
}

// checkRefusal checks a refused or unanswered request about a job.
func (c *InvariantChecker) checkRefusal(jobID string, code int) {
	if !c.Accepted[jobID] {
		return
	}
	switch code {
	case 400, 404, 422:
		c.addViolation("forgotten: %s answered %d", jobID, code)
	default:
		if c.FaultsOverAt > 0 && c.sim.Now-max(c.FaultsOverAt, c.lastAnsweredAt[jobID]) > maxUnanswered {
			c.addViolation("forgotten: requests about %s have not been answered for too long", jobID)
		}
	}
}

// checkStatus checks a reported status against what has happened, and reports whether it is
// final.
func (c *InvariantChecker) checkStatus(jobID, status string, sentAt model.Micros) (ended bool) {
	switch status {
	case "done":
		if !c.isComplete(jobID) {
			c.addViolation("not_done: %s", jobID)
		}
		return true
	case model.JobCancelled:
		if !c.cancelRequested(jobID) {
			c.addViolation("went_back: %s is withdrawn, but nobody requested that", jobID)
		}
		return true
	}
	c.eachDependency(jobID, func(dependency string) {
		if reportedAt, ok := c.endReportedAt[dependency]; ok && c.reportedEnd[dependency] == model.JobCancelled && sentAt > reportedAt+c.CancelLimit {
			c.addViolation("orphaned: %s is %s after %s was withdrawn", jobID, status, dependency)
		}
	})
	return false
}

// cancelRequested reports whether a user requested the cancellation of a job or of one of
// its dependencies.
func (c *InvariantChecker) cancelRequested(jobID string) bool {
	_, requested := c.cancelRequestedAt[jobID]
	c.eachDependency(jobID, func(dependency string) {
		_, ok := c.cancelRequestedAt[dependency]
		requested = requested || ok
	})
	return requested
}

// ReportedEnd returns the final status of a job that users were told, or "" if they were
// told none.
func (c *InvariantChecker) ReportedEnd(jobID string) string { return c.reportedEnd[jobID] }

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

// EndReportedAt returns when a user was first told a job's final status, or 0 if no user was.
func (c *InvariantChecker) EndReportedAt(jobID string) model.Micros { return c.endReportedAt[jobID] }

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

// maxWait is how long a job may wait, once all failures are over, while suitable machines
// have room and its team is below its limit.
const maxWait = 90 * model.Second

// CheckWaiting checks that no job waits longer than maxWait. It is meant to be called about
// every second, with the workers that are up and reachable.
func (c *InvariantChecker) CheckWaiting(workers []*Worker) {
	for jobID := range c.Accepted {
		if !c.isWaiting(jobID) || !c.canStart(c.Submitted[jobID], workers) {
			delete(c.waitingSince, jobID)
			continue
		}
		since, ok := c.waitingSince[jobID]
		if !ok {
			c.waitingSince[jobID] = c.sim.Now
		} else if c.sim.Now-since > maxWait {
			c.addViolation("left waiting: %s waits for %.0f s although machines have room", jobID, (c.sim.Now - since).Seconds())
			c.waitingSince[jobID] = c.sim.Now
		}
	}
}

// isWaiting reports whether a job may run but none of its tasks is on a machine.
func (c *InvariantChecker) isWaiting(jobID string) bool {
	if _, cancelled := c.cancelRequestedAt[jobID]; cancelled || c.reportedEnd[jobID] != "" || c.JobTasksOnMachines(jobID) > 0 || c.isComplete(jobID) {
		return false
	}
	for _, dependency := range c.Awaits[jobID] {
		if !c.isComplete(dependency) {
			return false
		}
	}
	return true
}

// canStart reports whether the machines and the team's limit have room for one task of a
// job, or for all tasks of a gang.
func (c *InvariantChecker) canStart(job *model.Job, workers []*Worker) bool {
	count := 1
	if job.Kind == model.Gang {
		count = job.Tasks
	}
	remaining := c.Teams[job.Team].Limit.Minus(c.Used(job.Team))
	request := job.Request
	request.Mem = 0
	if request.FitCount(remaining, count) < count {
		return false
	}
	inZone := map[string]int{}
	for _, worker := range workers {
		if !worker.hung && !worker.FailsTasks && worker.reclaimedAt == 0 && job.Allows(worker.MachineType, worker.Zone, worker.Spot) {
			inZone[worker.Zone] += job.Request.FitCount(worker.Size.Minus(worker.used()), count)
		}
	}
	sum := 0
	for _, n := range inZone {
		n = min(n, job.MaxPerZone())
		if job.SameZone && n >= count {
			return true
		}
		sum += n
	}
	return !job.SameZone && sum >= count
}

// CheckAnswer checks the answer that a user got to a request sent at sentAt.
func (c *InvariantChecker) CheckAnswer(jobID string, code int, body []byte, sentAt model.Micros) {
	var answer struct {
		Ref    string `json:"ref"`
		Status string `json:"status"`
	}
	if code == 200 || code == 201 {
		if err := jsoncodec.Unmarshal(body, &answer); err != nil || answer.Ref != jobID {
			c.addViolation("answer about %s is not valid JSON or names another job: %s", jobID, body)
			return
		}
	}
	c.checkAnswer(jobID, code, answer.Status, sentAt)
}

// CancelRequested records that a user requests the cancellation of a job.
func (c *InvariantChecker) CancelRequested(jobID string) { c.cancelRequestedAt[jobID] = c.sim.Now }
