package controller

import (
	"net/http"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/userapi"
)

// submit answers a submission, or queues it to be written to the state service. Submissions
// are idempotent: one of a known job is answered with that job's status.
func (c *controller) submit(m msgSubmit) {
	if status, ended := c.view.EffectiveEnd(m.jobID); ended {
		m.reply <- userapi.Accepted(http.StatusOK, m.jobID, status)
		return
	}
	if c.sync.failed {
		m.reply <- c.stateUnreachable()
		return
	}
	if c.view.Known(m.jobID) {
		c.withReadBarrier(m.reply, func() { m.reply <- c.repeatedSubmissionAnswer(m.jobID) })
		return
	}
	c.submitNew(m)
}

// repeatedSubmissionAnswer returns the answer to a submission of a job that is already known.
func (c *controller) repeatedSubmissionAnswer(jobID string) userapi.Answer {
	status, _, _, _ := c.view.Status(jobID)
	return userapi.Accepted(http.StatusOK, jobID, status)
}

// submitNew validates a submission whose job is not in the view, and queues it.
func (c *controller) submitNew(m msgSubmit) {
	if m.err != nil {
		c.refuseUnlessKnown(m, http.StatusBadRequest, m.err.Error())
		return
	}
	if len(c.view.MachineTypes) == 0 {
		m.reply <- userapi.Error(http.StatusServiceUnavailable, "machine types not known yet", 1)
		return
	}
	if reason := m.submission.Job(0).InfeasibleReason(c.teams, c.view.MachineTypes); reason != "" {
		c.refuseUnlessKnown(m, http.StatusUnprocessableEntity, reason)
		return
	}
	if !c.fitsValue(shard.JobRecord{Spec: m.submission, End: model.JobCancelled}) {
		c.refuseUnlessKnown(m, http.StatusUnprocessableEntity, "too large")
		return
	}
	if c.invalidDependency(m.submission) == "" {
		c.enqueueSubmission(m)
		return
	}
	// Another controller may have accepted the dependency a moment ago.
	c.withReadBarrier(m.reply, func() {
		if reason := c.invalidDependency(m.submission); reason != "" {
			c.refuseUnlessKnown(m, http.StatusUnprocessableEntity, reason)
			return
		}
		c.enqueueSubmission(m)
	})
}

// invalidDependency returns why a submission can't depend on one of the jobs that it names,
// or "" if it can depend on all of them.
func (c *controller) invalidDependency(submission *model.Submission) string {
	for _, dependency := range submission.Awaits {
		job := c.view.Jobs[dependency]
		switch {
		case dependency == submission.ID:
			return "awaits itself"
		case !c.view.Known(dependency):
			return "awaits " + dependency + ", which was never accepted"
		case job.Submission != nil && job.Submission.IsService():
			return "awaits " + dependency + ", a service"
		}
	}
	return ""
}

// enqueueSubmission queues an acceptance to be written to the state service. Concurrent
// submissions of one job share a write.
func (c *controller) enqueueSubmission(m msgSubmit) {
	if len(c.userWrites.queue) >= c.maxQueuedSubmissions() {
		m.reply <- userapi.Error(http.StatusTooManyRequests, "too many submissions", 2)
		return
	}
	if c.userWrites.joinSubmission(m.jobID, m.reply) {
		return
	}
	m.submission.AcceptedMs = c.wallClockMs()
	c.userWrites.append(userWrite{jobID: m.jobID, submission: m.submission, replies: []chan<- userapi.Answer{m.reply}, deadline: c.now + userWriteDeadline})
}

// maxQueuedSubmissions returns the maximum length of the queue, about one second's worth of
// writes. More could not be written in time, and are refused at once.
func (c *controller) maxQueuedSubmissions() int { return max(4, int(c.writeBudget.Rate())) }

// refuseUnlessKnown refuses a submission, unless a read barrier shows that its job is known:
// a repeated submission of a known job never gets a client error, whatever it contains.
func (c *controller) refuseUnlessKnown(m msgSubmit, code int, reason string) {
	c.withReadBarrier(m.reply, func() {
		if status, _, _, known := c.view.Status(m.jobID); known {
			m.reply <- userapi.Accepted(http.StatusOK, m.jobID, status)
			return
		}
		m.reply <- userapi.Error(code, reason, 0)
	})
}
