package controller

import (
	"net/http"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// healthySyncAge is the maximum age of the last successful synchronization of the view at
// which a controller counts as healthy.
const healthySyncAge = 3 * model.Second

// Limits on the status reads that wait for a read barrier.
const (
	minWaitingReads     = 64   // lower bound of the limit
	defaultWaitingReads = 1024 // the limit if the number of connections is not limited
)

// isHealthy reports whether the load balancer should send users' requests to this
// controller. A controller that is the only one without the state service can forward them
// to siblings. If no controller reaches the state service, removing this one from the load
// balancer would only delay its return.
func (c *controller) isHealthy() bool {
	if !c.viewLoaded {
		return false
	}
	return c.now-c.sync.succeededAt < healthySyncAge || c.siblings.alive > 0 && c.siblings.isFresh(c.now)
}

// stateUnreachable returns the answer to a user when the state service is not reached. It
// names a sibling that can answer instead, if one is known.
func (c *controller) stateUnreachable() userapi.Answer {
	answer := userapi.Error(http.StatusServiceUnavailable, "state not reachable", 1)
	answer.ForwardTo = c.siblings.pickServing(c.now)
	return answer
}

// withReadBarrier calls f after a linearizable read barrier, or answers that the state
// service is not reached.
func (c *controller) withReadBarrier(reply chan<- userapi.Answer, f func()) {
	if c.sync.failed {
		reply <- c.stateUnreachable()
		return
	}
	c.sync.afterReadBarrier(func(ok bool) {
		if !ok {
			reply <- c.stateUnreachable()
			return
		}
		f()
	})
}

// readStatus answers a read of a job's status. All waiting reads share one read barrier, so
// reads are linearizable at a cost that does not grow with their number. Reads beyond the
// limit are refused at once.
func (c *controller) readStatus(m msgStatusRequest) {
	switch _, ended := c.view.EffectiveEnd(m.jobID); {
	case ended:
		// A final status never changes, so no read barrier is needed.
		m.reply <- c.statusAnswer(m.jobID)
		return
	case c.sync.failed:
		m.reply <- c.stateUnreachable()
		return
	case c.waitingReads >= c.maxWaitingReads():
		m.reply <- userapi.Error(http.StatusTooManyRequests, "too many questions", 1)
		return
	}
	c.waitingReads++
	c.sync.afterReadBarrier(func(ok bool) {
		c.waitingReads--
		if !ok {
			m.reply <- c.stateUnreachable()
			return
		}
		m.reply <- c.statusAnswer(m.jobID)
	})
}

// maxWaitingReads returns the maximum number of status reads that wait for a read barrier.
// Each of them holds a connection, and while the state service is slow they must leave
// enough connections for the workers' heartbeats.
func (c *controller) maxWaitingReads() int {
	if limit := c.settings.Params.Quota.FDLimit; limit > 0 {
		return max(minWaitingReads, limit/4)
	}
	return defaultWaitingReads
}

// statusAnswer returns the answer with the status of a job. While a job fails on every
// machine, the leader adds the number of machines on which it has failed, as the submission
// may be wrong.
func (c *controller) statusAnswer(jobID string) userapi.Answer {
	status, done, running, known := c.view.Status(jobID)
	if !known {
		return noSuchJob()
	}
	return userapi.JobStatus(jobID, status, done, running, c.failedMachines(jobID))
}

func noSuchJob() userapi.Answer { return userapi.Error(http.StatusNotFound, "no such job", 0) }

// failedMachines returns the number of machines on which a job has failed if it needs a
// retry backoff because it fails everywhere. It returns 0 for any other job, and on a
// controller that does not lead.
func (c *controller) failedMachines(jobID string) int {
	if c.leading == nil || !c.leading.ready {
		return 0
	}
	job := c.leading.shard.Jobs[jobID]
	if job == nil || !job.NeedsBackoff() {
		return 0
	}
	return len(job.FailedMachines)
}
