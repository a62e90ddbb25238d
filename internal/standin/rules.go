package standin

import (
	"encoding/json"
	"fmt"
	"slices"

	"woadweir/internal/core/model"
)

// Rules checks the invariants that hold under every failure. It learns from the workers what
// is on machines, and from the users what they asked for and were answered.
type InvariantChecker struct {
	Teams map[string]*model.Team
	// Cancel is how long after a confirmed cancellation the job's tasks may be on machines.
	CancelLimit model.Micros
	// Broken says which rule was broken, when and how.
	Violations []string

	// Subs are the jobs that users submitted, also those that were not accepted.
	Submitted map[string]*model.Job
	// Homes are the cells at which jobs were submitted, where there are several.
	HomeCells map[string]string
	// Accepted are the jobs that a user was told are accepted.
	Accepted map[string]bool
	// Awaits are, for each job, those that it directly depends on.
	Awaits map[string][]string
	// Calm is when all failures were over, 0 if they are not.
	FaultsOverAt model.Micros
	// Finished, if set, is called at the moment when a job's last task completes.
	OnJobCompleted func(jobID string)
	// Starts counts the tasks that came onto a machine.
	Starts int
	// CancelledStarts are starts of tasks whose job had been reported as withdrawn:
	// commands that were on their way. They break no rule while cancel lasts.
	CancelledStarts int
	// Unknowing are the cells whose workers find no description of other cells' jobs.
	LocalJobsOnly map[string]bool
	// Observe, if set, is told of every task that comes onto a machine, and whether it had
	// completed before.
	OnTaskStarted func(cell string, task model.TaskID, completedBefore bool)
	// ExecutedAgain are starts of tasks that had completed before: no word of that had
	// come to the service, as after the loss of a machine.
	ExecutedAgain int
	// Mistaken are jobs that were submitted with a mistake: their tasks fail on every
	// machine. MistakenTries counts the tasks of theirs that got their image and failed.
	FailingJobs        map[string]bool
	FailingJobAttempts int

	sim               *Sim
	onMachines        map[model.TaskID]map[*Task]bool // what is on machines
	used              map[limitKey]model.Resources
	completed         map[model.TaskID]bool
	cancelRequestedAt map[string]model.Micros // when a user asked to cancel a job
	reportedEnd       map[string]string       // the end that a user was told of a job
	endReportedAt     map[string]model.Micros
	lastAnsweredAt    map[string]model.Micros // when a question about a job was last answered
	waitingSince      map[string]model.Micros // since when a job waits although there is room
}

// NewRules returns rules of which none is broken yet.
func NewInvariantChecker(sim *Sim, teams map[string]*model.Team, cancelLimit model.Micros) *InvariantChecker {
	return &InvariantChecker{sim: sim, Teams: teams, CancelLimit: cancelLimit, Submitted: map[string]*model.Job{}, onMachines: map[model.TaskID]map[*Task]bool{},
		used: map[limitKey]model.Resources{}, HomeCells: map[string]string{}, completed: map[model.TaskID]bool{}, cancelRequestedAt: map[string]model.Micros{},
		reportedEnd: map[string]string{}, endReportedAt: map[string]model.Micros{}, Accepted: map[string]bool{}, Awaits: map[string][]string{}, lastAnsweredAt: map[string]model.Micros{}, waitingSince: map[string]model.Micros{}}
}

// forgottenAfter is how long no question about an accepted job may stay without an
// answer once all troubles are over, however others fare.
const maxUnanswered = 75 * model.Second

func (c *InvariantChecker) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f ", c.sim.Now.Seconds())+fmt.Sprintf(format, args...))
}

// enter notes that a task is on its machine: it has its image.
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
			c.addViolation("quota: %v uses %v", key, c.used[key])
		}
	}
	if c.reportedEnd[job.ID] == model.JobCancelled {
		c.CancelledStarts++
	}
	if c.cancelOverdue(job.ID) {
		c.addViolation("ran_cancelled: %s starts", t.id)
	}
}

// checkZones checks that a task comes into a zone where the job's other tasks allow it.
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
		c.addViolation("wrong_place: %s in %s: %d there, %d elsewhere", t.id, t.worker.Zone, inZone, elsewhere)
	}
}

// overdue tells that a user was told of a job's cancellation so long ago that none of
// its tasks may be on a machine any more.
func (c *InvariantChecker) cancelOverdue(jobID string) bool {
	return c.reportedEnd[jobID] == model.JobCancelled && c.sim.Now > c.endReportedAt[jobID]+c.CancelLimit
}

// Check checks what is on machines now: a task that never leaves would not be
// noticed otherwise.
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

// finish notes that a task has completed.
func (c *InvariantChecker) taskCompleted(id model.TaskID) {
	c.completed[id] = true
	if c.OnJobCompleted != nil && c.isComplete(id.Job) {
		c.OnJobCompleted(id.Job)
	}
}

// complete tells whether all of a job's tasks are done.
func (c *InvariantChecker) isComplete(jobID string) bool {
	for index := range c.Submitted[jobID].Tasks {
		if !c.completed[model.TaskID{Job: jobID, Index: index}] {
			return false
		}
	}
	return true
}

// DoneTasks tells how many tasks of a job have completed.
func (c *InvariantChecker) CompletedTasks(jobID string) (n int) {
	for id := range c.completed {
		if id.Job == jobID {
			n++
		}
	}
	return n
}

// before calls f for every job that a job needs, directly or through others.
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

// leave notes that a task is off its machine.
func (c *InvariantChecker) taskRemoved(t *Task) {
	if !c.onMachines[t.id][t] {
		return
	}
	delete(c.onMachines[t.id], t)
	for _, key := range c.limitKeys(t) {
		c.used[key] = c.used[key].Minus(t.job.Request)
	}
	if c.cancelOverdue(t.job.ID) {
		c.addViolation("ran_cancelled: %s was on %s for %.1f s", t.id, t.worker.ID, (c.sim.Now - c.endReportedAt[t.job.ID]).Seconds())
	}
}

// tell checks an answer whose body has been read.
func (c *InvariantChecker) checkAnswer(jobID string, code int, status string, sentAt model.Micros) {
	if endedAt, ok := c.endReportedAt[jobID]; ok && sentAt <= endedAt {
		return // asked before the end was told: either answer is right
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

// checkRefusal checks an answer that refuses a request about a job, or the lack of one.
func (c *InvariantChecker) checkRefusal(jobID string, code int) {
	if !c.Accepted[jobID] {
		return
	}
	switch code {
	case 400, 404, 422:
		c.addViolation("forgotten: %s answered %d", jobID, code)
	default:
		if c.FaultsOverAt > 0 && c.sim.Now-max(c.FaultsOverAt, c.lastAnsweredAt[jobID]) > maxUnanswered {
			c.addViolation("forgotten: no question about %s is answered", jobID)
		}
	}
}

// checkStatus checks a status against what has happened, and tells whether it is an end.
func (c *InvariantChecker) checkStatus(jobID, status string, sentAt model.Micros) (ended bool) {
	switch status {
	case "done":
		if !c.isComplete(jobID) {
			c.addViolation("not_done: %s", jobID)
		}
		return true
	case model.JobCancelled:
		if !c.cancelRequested(jobID) {
			c.addViolation("went_back: %s withdrawn unasked", jobID)
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

// cancellationAsked tells whether a user asked to cancel a job, or one that it needs.
func (c *InvariantChecker) cancelRequested(jobID string) bool {
	_, requested := c.cancelRequestedAt[jobID]
	c.eachDependency(jobID, func(dependency string) {
		_, ok := c.cancelRequestedAt[dependency]
		requested = requested || ok
	})
	return requested
}

// Ended is the status of a job that has ended, as users were told it, or "".
func (c *InvariantChecker) ReportedEnd(jobID string) string { return c.reportedEnd[jobID] }

// OnMachine tells how many tasks are on machines.
func (c *InvariantChecker) TasksOnMachines() (n int) {
	for _, tasks := range c.onMachines {
		n += len(tasks)
	}
	return n
}

// OnMachineOf tells how many tasks of a job are on machines.
func (c *InvariantChecker) JobTasksOnMachines(jobID string) (n int) {
	for id, tasks := range c.onMachines {
		if id.Job == jobID {
			n += len(tasks)
		}
	}
	return n
}

// ToldAt is when a user was first told of a job's end, 0 if that has not happened.
func (c *InvariantChecker) EndReportedAt(jobID string) model.Micros { return c.endReportedAt[jobID] }

// Used is what a team's tasks take of machines.
func (c *InvariantChecker) Used(team string) model.Resources { return c.used[limitKey{team: team}] }

// account is what counts towards a team's limit: its tasks on a cell's machines, or those
// of the jobs that were submitted at a cell, wherever they run.
type limitKey struct {
	team, cell string
	byHome     bool
}

// accounts are those to which a task counts.
func (c *InvariantChecker) limitKeys(t *Task) [2]limitKey {
	return [2]limitKey{{t.job.Team, t.worker.Cell, false}, {t.job.Team, c.HomeCells[t.job.ID], true}}
}

// waitsMost is how long a job may wait, with all troubles over, while a machine that
// fits has room and its team is under its limit.
const maxWait = 90 * model.Second

// Room checks that no job waits longer than that. It is to be called about every second,
// with the machines that are up and can be reached.
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
			c.addViolation("left waiting: %s, for %.0f s beside room", jobID, (c.sim.Now - since).Seconds())
			c.waitingSince[jobID] = c.sim.Now
		}
	}
}

// idle tells that a job could run, and nothing of it is on a machine.
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

// fits tells whether a job could begin: one task of it, or all of a gang.
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
		if !worker.hung && !worker.FailsTasks && worker.recallAt == 0 && job.Allows(worker.MachineType, worker.Zone, worker.Spot) {
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

// Tell checks an answer that a user got, to a request that was made at that time.
func (c *InvariantChecker) CheckAnswer(jobID string, code int, body []byte, sentAt model.Micros) {
	var answer struct {
		Ref    string `json:"ref"`
		Status string `json:"status"`
	}
	if code == 200 || code == 201 {
		if err := json.Unmarshal(body, &answer); err != nil || answer.Ref != jobID {
			c.addViolation("answer about %s is %s", jobID, body)
			return
		}
	}
	c.checkAnswer(jobID, code, answer.Status, sentAt)
}

// Ask notes that a user asks to cancel a job.
func (c *InvariantChecker) CancelRequested(jobID string) { c.cancelRequestedAt[jobID] = c.sim.Now }
