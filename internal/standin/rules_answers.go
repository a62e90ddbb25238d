package standin

import (
	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
)

// maxUnanswered is how long all requests about an accepted job may go unanswered once all
// failures are over, regardless of whether requests about other jobs are answered.
const maxUnanswered = 75 * model.Second

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

// EndReportedAt returns when a user was first told a job's final status, or 0 if no user was.
func (c *InvariantChecker) EndReportedAt(jobID string) model.Micros { return c.endReportedAt[jobID] }

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
