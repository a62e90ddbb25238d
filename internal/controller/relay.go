package controller

import (
	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// A leader has a socket for each worker, and so many sockets only. When they get
// short, it sends workers that come anew to siblings, which hand their reports on and
// its answers back. All that is decided is decided by the leader, as if the worker
// had come itself: how long an answer may take, and what a late one does, depends on
// the worker alone.
const (
	crowdFull  = 0.62 // of the sockets: from here on workers that come anew are sent on
	crowdHome  = 0.55 // below, those that come through siblings are asked to come themselves
	crowdPing  = 0.45 // from here on it asks which siblings hand reports on
	crowdFresh = 250 * model.Millisecond
	pingCrowd  = 2 * model.Second
	failedFor  = 3 * model.Second // how long a sibling does not try again
)

// A worker that comes through a sibling although it came here itself not long ago,
// or was asked to, can't reach this controller. It is not sent to and fro, or its
// lease would run out.
const (
	cameLately  = 15 * model.Second
	askedLately = 20 * model.Second
	routesFor   = 60 * model.Second
)

// route is how a worker came here.
type route struct {
	direct model.Micros // when it last reported here itself
	asked  model.Micros // when it was last asked to
}

// direct is how many workers have reported to this controller itself in the last two
// reports' time.
func (c *controller) direct() int {
	if c.seenAt == 0 || c.now-c.seenAt >= crowdFresh {
		c.seenAt = c.now
		fresh := 2 * model.Seconds(c.set.Params.Workers.ReportS)
		for ref, at := range c.seen {
			if c.now-at > fresh {
				delete(c.seen, ref)
			}
		}
		for ref, r := range c.routes {
			if c.now-max(r.direct, r.asked) > routesFor {
				delete(c.routes, ref)
			}
		}
	}
	return len(c.seen)
}

// crowd is about how many workers report to this controller itself, as a part of
// its sockets; 0 if these are not limited.
func (c *controller) crowd() float64 {
	limit := c.set.Params.Quota.FDLimit
	if limit <= 0 {
		return 0
	}
	return float64(c.direct()) / float64(limit)
}

// askHome tells that a worker whose report was handed on had better come itself.
func (c *controller) askHome(machine string) bool {
	if c.now-c.homeAt >= model.Second {
		c.homeAt, c.home = c.now, 0
	}
	// Those asked a moment ago are still on their way.
	if limit := c.set.Params.Quota.FDLimit; limit > 0 && float64(c.direct()+c.home) >= crowdHome*float64(limit) {
		return false
	}
	r := c.routes[machine]
	if r.direct != 0 && c.now-r.direct < cameLately || r.asked != 0 && c.now-r.asked < askedLately {
		return false
	}
	r.asked = c.now
	c.routes[machine] = r
	c.home++
	return true
}

// sendOn gives the sibling to which a worker that comes anew is to go, "" if it may
// stay.
func (c *controller) sendOn(machine string) string {
	if _, here := c.seen[machine]; here || len(c.relays) == 0 || c.now-c.pingedAt > 2*pingCrowd || c.crowd() < crowdFull {
		return ""
	}
	c.relayNext++
	return c.relays[c.relayNext%len(c.relays)]
}

// elsewhere tells a worker where to go, or whom to hand its report on to.
func (c *controller) elsewhere() workerAnswer {
	a := workerAnswer{code: 421, body: workerapi.Elsewhere("")}
	if l := c.view.Leader; l != nil && l.Node != c.set.NodeName && c.auth.IsViewFresh(c.now) {
		a.body = workerapi.Elsewhere(l.Node)
		if c.now >= c.relayNotBy {
			a.relay = l.Node
		}
	}
	return a
}

func (c *controller) report(m msgHeartbeat) {
	leads := c.leading != nil
	if leads && !m.relayed {
		if to := c.sendOn(m.report.Machine); to != "" {
			m.reply <- workerAnswer{code: 421, body: workerapi.Elsewhere(to)}
			return
		}
	}
	if !m.relayed {
		c.seen[m.report.Machine] = c.now
		if leads {
			r := c.routes[m.report.Machine]
			r.direct = c.now
			c.routes[m.report.Machine] = r
		}
	}
	switch {
	case !leads:
		a := c.elsewhere()
		if m.relayed {
			a.relay = "" // once is enough
		}
		m.reply <- a
	case !c.leading.ready || !c.auth.IsValid(c.now):
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
	case m.relayed && c.askHome(m.report.Machine):
		m.reply <- workerAnswer{code: 421, body: workerapi.Elsewhere(c.set.NodeName)}
	default:
		c.leading.report(m)
	}
}

// Report answers a report that a sibling hands on.
func (f *front) Report(body []byte) (code int, answer []byte) {
	r, err := workerapi.ParseHeartbeat(body)
	if err != nil {
		return 400, userapi.Error(400, err.Error(), 0).Body
	}
	reply := make(chan workerAnswer, 1)
	a, got := ask(f.mail, msgHeartbeat{report: r, reply: reply, relayed: true}, reply, patienceRelay)
	if !got {
		return 503, []byte("{}")
	}
	return a.code, a.body
}
