package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/workerapi"
)

// report takes a worker's report. The response may wait a moment for bindings that the
// report made possible.
func (l *leader) report(m msgHeartbeat) {
	c := l.c
	if l.inventory.isDeleted(m.report.Machine) {
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	}
	switch l.block.ApplyHeartbeat(m.report, c.now) {
	case shard.Stale:
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	case shard.HigherToken:
		c.afterSync(func(bool) {})
		m.reply <- workerAnswer{code: 421, body: workerapi.Elsewhere("")}
		return
	case shard.TokenUnknown:
		m.reply <- workerAnswer{code: 200, body: workerapi.Answer(l.token, nil)}
		return
	}
	l.place()
	if l.awaits(m.report.Machine) {
		until := c.now + maxResponseDelay
		if l.spill.withheld(m.report.Machine) {
			// Sent to the next controller, the worker would lose seconds of its lease.
			until = c.now + maxWithheldDelay
		}
		l.pendingResponses = append(l.pendingResponses, pendingResponse{m, until})
		return
	}
	l.respond(m)
}

// maxWithheldDelay is how long a response waits for the right to run a lent job.
const maxWithheldDelay = 1500 * model.Millisecond

// awaits tells whether the response to a machine's report had better wait: for its
// bindings to be durable, for the round that may give it some, or for the right to run
// lent tasks.
func (l *leader) awaits(ref string) bool {
	if l.block.Pending(ref) || l.spill.withheld(ref) {
		return true
	}
	m := l.block.Machines[ref]
	return l.block.NeedsPlacement && m != nil && m.HasNews
}

func (l *leader) respond(m msgHeartbeat) {
	h := l.block.Machines[m.report.Machine]
	l.spill.applyRights()
	if l.spill.withheld(m.report.Machine) {
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	}
	if h == nil || h.Incarnation != m.report.Incarnation || h.Sequence != m.report.Sequence || h.Deleting || !l.c.auth.IsValid(l.c.now) {
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	}
	m.reply <- workerAnswer{code: 200, body: workerapi.Answer(l.token, l.block.Commands(m.report, l.c.now))}
}

// answerPending answers reports whose bindings are durable, or that waited enough.
func (l *leader) answerPending(all bool) {
	if len(l.pendingResponses) == 0 {
		return
	}
	keep := l.pendingResponses[:0]
	for _, h := range l.pendingResponses {
		if !all && l.awaits(h.msg.report.Machine) && l.c.now < h.until {
			keep = append(keep, h)
			continue
		}
		l.respond(h.msg)
	}
	l.pendingResponses = keep
}
