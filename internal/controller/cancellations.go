package controller

import (
	"net/http"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/userapi"
)

// cancel answers a cancellation, or queues it to be written to the state service.
// Cancelling a job that has ended changes nothing.
func (c *controller) cancel(m msgCancel) {
	if end, ended := c.view.EffectiveEnd(m.jobID); ended {
		m.reply <- userapi.Accepted(http.StatusOK, m.jobID, end)
		return
	}
	c.withReadBarrier(m.reply, func() { c.enqueueCancellation(m) })
}

// enqueueCancellation queues a cancellation after the read barrier. It goes before all
// queued submissions because it frees capacity.
func (c *controller) enqueueCancellation(m msgCancel) {
	if end, ended := c.view.EffectiveEnd(m.jobID); ended {
		m.reply <- userapi.Accepted(http.StatusOK, m.jobID, end)
		return
	}
	if _, _, _, known := c.view.Status(m.jobID); !known {
		m.reply <- noSuchJob()
		return
	}
	c.userWrites.prepend(userWrite{jobID: m.jobID, replies: []chan<- userapi.Answer{m.reply}, deadline: c.now + userWriteDeadline})
}

// cancelledRecord returns the record of a cancelled job. It keeps what the job's tasks may
// still occupy on machines. If the whole submission does not fit into a value, for example
// because the limit was larger when it was accepted, the other fields are left out.
func (c *controller) cancelledRecord(submission *model.Submission) shard.JobRecord {
	record := shard.JobRecord{Spec: submission, End: model.JobCancelled}
	if !c.fitsValue(record) {
		reduced := *submission
		reduced.Class, reduced.Image, reduced.MachineTypes, reduced.Awaits = "-", "-", nil, nil
		record.Spec = &reduced
	}
	return record
}
