package controller

import (
	"net/http"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// A leader has a connection to each worker, and a limit of connections. When they run
// short, it redirects workers that come anew to siblings, which relay their heartbeats to
// the leader and its responses back. The leader decides everything as if the worker had
// come itself: how long a response may take, and what a late one does, depends on the
// worker alone. The watermarks are parts of the connection limit.
const (
	relayHighWatermark  = 0.62 // from here on, workers that come anew are redirected
	relayLowWatermark   = 0.55 // below, relayed workers are asked to return
	relayProbeWatermark = 0.45 // from here on, the leader looks for siblings that relay
)

const (
	pruneInterval   = 250 * model.Millisecond
	relayRetryPause = 3 * model.Second // after a relay to the leader that failed
	// returnWindow is how long a worker that was asked to return counts as on its way.
	returnWindow = model.Second
)

// A worker whose heartbeat is relayed although it came to the leader itself not long
// ago, or was asked to, can't reach the leader. It is not redirected to and fro, or its
// lease would expire.
const (
	recentlyDirect = 15 * model.Second
	recentlyAsked  = 20 * model.Second
	routeLifetime  = 60 * model.Second
)

// route is how a worker's heartbeats reach this leader.
type route struct {
	directAt model.Micros // when it last sent one itself
	askedAt  model.Micros // when it was last asked to
}

// heartbeatRelay decides which workers send their heartbeats to this controller itself
// and which through siblings, within the limit of connections.
type heartbeatRelay struct {
	connectionLimit int // 0: no limit
	// freshFor is how long a worker counts as connected after a heartbeat.
	freshFor       model.Micros
	directAt       map[string]model.Micros // by machine: the last heartbeat that came itself
	routes         map[string]route        // by machine, while this controller leads
	prunedAt       model.Micros
	askWindowStart model.Micros // when the window of asked began
	askedInWindow  int          // workers asked to return in this window
	nextRelay      int
	// retryAt is before when no heartbeat is relayed to the leader.
	retryAt model.Micros
}

func newHeartbeatRelay(settings *config.Settings) heartbeatRelay {
	return heartbeatRelay{connectionLimit: settings.Params.Quota.FDLimit, freshFor: 2 * model.Seconds(settings.Params.Workers.ReportS),
		directAt: map[string]model.Micros{}, routes: map[string]route{}}
}

// recordDirect notes a heartbeat that a worker sent to this controller itself.
func (r *heartbeatRelay) recordDirect(machineID string, leads bool, now model.Micros) {
	r.directAt[machineID] = now
	if leads {
		known := r.routes[machineID]
		known.directAt = now
		r.routes[machineID] = known
	}
}

// directWorkers is how many workers have sent heartbeats to this controller itself in
// the last two heartbeat intervals.
func (r *heartbeatRelay) directWorkers(now model.Micros) int {
	if r.prunedAt == 0 || now-r.prunedAt >= pruneInterval {
		r.prune(now)
	}
	return len(r.directAt)
}

// prune forgets workers that do not come any more.
func (r *heartbeatRelay) prune(now model.Micros) {
	r.prunedAt = now
	for machineID, at := range r.directAt {
		if now-at > r.freshFor {
			delete(r.directAt, machineID)
		}
	}
	for machineID, known := range r.routes {
		if now-max(known.directAt, known.askedAt) > routeLifetime {
			delete(r.routes, machineID)
		}
	}
}

// connectionLoad is about how many workers are connected to this controller, as a part
// of the limit; 0 without a limit.
func (r *heartbeatRelay) connectionLoad(now model.Micros) float64 {
	if r.connectionLimit <= 0 {
		return 0
	}
	return float64(r.directWorkers(now)) / float64(r.connectionLimit)
}

// askToReturn decides whether a relayed worker is asked to come itself, and notes it.
func (r *heartbeatRelay) askToReturn(machineID string, now model.Micros) bool {
	if now-r.askWindowStart >= returnWindow {
		r.askWindowStart, r.askedInWindow = now, 0
	}
	// Those asked a moment ago are still on their way.
	if r.connectionLimit > 0 && float64(r.directWorkers(now)+r.askedInWindow) >= relayLowWatermark*float64(r.connectionLimit) {
		return false
	}
	known := r.routes[machineID]
	if known.directAt != 0 && now-known.directAt < recentlyDirect || known.askedAt != 0 && now-known.askedAt < recentlyAsked {
		return false
	}
	known.askedAt = now
	r.routes[machineID] = known
	r.askedInWindow++
	return true
}

// redirectTarget returns the sibling to which a worker that comes anew is redirected, or "" if
// it may stay.
func (r *heartbeatRelay) redirectTarget(machineID string, siblings *siblingProbe, now model.Micros) string {
	if _, known := r.directAt[machineID]; known {
		return ""
	}
	relays := siblings.relays
	if len(relays) == 0 || now-siblings.answeredAt > 2*relayProbeInterval || r.connectionLoad(now) < relayHighWatermark {
		return ""
	}
	r.nextRelay++
	return relays[r.nextRelay%len(relays)]
}

// relayFailed pauses relaying to the leader after a relay that got no answer.
func (r *heartbeatRelay) relayFailed(now model.Micros) { r.retryAt = now + relayRetryPause }

// redirectTo is a response that sends a worker to another controller, or to any if none
// is named.
func redirectTo(node string) workerAnswer {
	return workerAnswer{code: http.StatusMisdirectedRequest, body: workerapi.Redirect(node)}
}

// workerUnavailable is a response that has a worker try again.
func workerUnavailable() workerAnswer {
	return workerAnswer{code: http.StatusServiceUnavailable, body: []byte("{}")}
}

// redirectToLeader is a response that sends a worker to the leader, or has its
// heartbeat relayed there.
func (c *controller) redirectToLeader() workerAnswer {
	leader := c.view.Leader
	if leader == nil || leader.Node == c.settings.NodeName || !c.authority.IsViewFresh(c.now) {
		return redirectTo("")
	}
	answer := redirectTo(leader.Node)
	if c.now >= c.relay.retryAt {
		answer.relayTo = leader.Node
	}
	return answer
}

// handleHeartbeat answers a worker's heartbeat, which the leader alone can take.
func (c *controller) handleHeartbeat(m msgHeartbeat) {
	leads := c.leading != nil
	machineID := m.heartbeat.Machine
	if leads && !m.relayed {
		if sibling := c.relay.redirectTarget(machineID, &c.siblings, c.now); sibling != "" {
			m.reply <- redirectTo(sibling)
			return
		}
	}
	if !m.relayed {
		c.relay.recordDirect(machineID, leads, c.now)
	}
	switch {
	case !leads:
		answer := c.redirectToLeader()
		if m.relayed {
			answer.relayTo = "" // a heartbeat is relayed once
		}
		m.reply <- answer
	case !c.leading.ready || !c.authority.IsValid(c.now):
		m.reply <- workerUnavailable()
	case m.relayed && c.relay.askToReturn(machineID, c.now):
		m.reply <- redirectTo(c.settings.NodeName)
	default:
		c.leading.handleHeartbeat(m)
	}
}

// Report answers a heartbeat that a sibling relays.
func (f *frontend) Report(body []byte) (code int, responseBody []byte) {
	heartbeat, err := workerapi.ParseHeartbeat(body)
	if err != nil {
		return http.StatusBadRequest, userapi.Error(http.StatusBadRequest, err.Error(), 0).Body
	}
	reply := make(chan workerAnswer, 1)
	answer, ok := ask(f.mailbox, msgHeartbeat{heartbeat: heartbeat, reply: reply, relayed: true}, reply, relayTimeout)
	if !ok {
		answer = workerUnavailable()
	}
	return answer.code, answer.body
}
