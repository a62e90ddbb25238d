package controller

import (
	"net/http"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// A leader has a connection to each worker, and a limited number of connections. When these
// run short, it redirects workers that connect anew to siblings, which relay the heartbeats
// to the leader and its responses back to the workers. The leader decides everything as if
// the worker had contacted it directly: how long a response may take, and the effect of a
// late one, depends on the worker alone. The watermarks are fractions of the connection
// limit.
const (
	relayHighWatermark  = 0.62 // from this load on, workers that connect anew are redirected
	relayLowWatermark   = 0.55 // below this load, relayed workers are asked to return
	relayProbeWatermark = 0.45 // from this load on, the leader pings siblings to find relays
)

const (
	pruneInterval   = 250 * model.Millisecond
	relayRetryPause = 3 * model.Second // after a failed relay to the leader
	// returnWindow is how long the workers that were asked to return are counted as about
	// to connect.
	returnWindow = model.Second
)

// A worker whose heartbeat is relayed although it recently sent one to the leader directly,
// or was recently asked to, can't reach the leader. It is not redirected back and forth,
// because its lease would expire meanwhile.
const (
	recentlyDirect = 15 * model.Second // after a direct heartbeat
	recentlyAsked  = 20 * model.Second // after the worker was asked to return
	routeLifetime  = 60 * model.Second // how long a route is remembered
)

// route records how a worker's heartbeats reach this leader.
type route struct {
	directAt model.Micros // when the worker last sent a heartbeat directly
	askedAt  model.Micros // when the worker was last asked to return
}

// heartbeatRelay decides which workers send their heartbeats to this controller directly
// and which through siblings, within the connection limit.
type heartbeatRelay struct {
	connectionLimit int // 0 for no limit
	// freshFor is how long a worker counts as connected after a heartbeat.
	freshFor       model.Micros
	directAt       map[string]model.Micros // by machine: the time of the last direct heartbeat
	routes         map[string]route        // by machine, while this controller leads
	prunedAt       model.Micros
	askWindowStart model.Micros // when the current returnWindow started
	askedInWindow  int          // workers asked to return in that window
	nextRelay      int          // round-robin counter for redirections
	// retryAt is the time until which no heartbeat is relayed to the leader.
	retryAt model.Micros
}

func newHeartbeatRelay(settings *config.Settings) heartbeatRelay {
	return heartbeatRelay{connectionLimit: settings.Params.Quota.FDLimit, freshFor: 2 * model.Seconds(settings.Params.Workers.ReportS),
		directAt: map[string]model.Micros{}, routes: map[string]route{}}
}

// recordDirect records a heartbeat that a worker sent to this controller directly.
func (r *heartbeatRelay) recordDirect(machineID string, leads bool, now model.Micros) {
	r.directAt[machineID] = now
	if leads {
		known := r.routes[machineID]
		known.directAt = now
		r.routes[machineID] = known
	}
}

// directWorkers returns the number of workers that sent heartbeats to this controller
// directly within the last two heartbeat intervals.
func (r *heartbeatRelay) directWorkers(now model.Micros) int {
	if r.prunedAt == 0 || now-r.prunedAt >= pruneInterval {
		r.prune(now)
	}
	return len(r.directAt)
}

// prune drops workers that no longer send heartbeats.
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

// connectionLoad returns the approximate number of workers connected to this controller as
// a fraction of the connection limit, or 0 without a limit.
func (r *heartbeatRelay) connectionLoad(now model.Micros) float64 {
	if r.connectionLimit <= 0 {
		return 0
	}
	return float64(r.directWorkers(now)) / float64(r.connectionLimit)
}

// askToReturn decides whether a relayed worker is asked to send its heartbeats directly
// again. If so, it records that the worker was asked.
func (r *heartbeatRelay) askToReturn(machineID string, now model.Micros) bool {
	if now-r.askWindowStart >= returnWindow {
		r.askWindowStart, r.askedInWindow = now, 0
	}
	// Workers that were asked within the window have not connected yet.
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

// redirectTarget returns the sibling to which a worker that connects anew is redirected, or
// "" if it may stay.
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

// relayFailed pauses relaying to the leader after a relayed heartbeat got no answer.
func (r *heartbeatRelay) relayFailed(now model.Micros) { r.retryAt = now + relayRetryPause }

// redirectTo returns a response that redirects a worker to a controller, or to any other
// controller if none is named.
func redirectTo(node string) workerAnswer {
	return workerAnswer{code: http.StatusMisdirectedRequest, body: workerapi.Redirect(node)}
}

// workerUnavailable returns a response that makes a worker try again.
func workerUnavailable() workerAnswer {
	return workerAnswer{code: http.StatusServiceUnavailable, body: []byte("{}")}
}

// redirectToLeader returns a response that redirects a worker to the leader. It allows the
// frontend to relay the heartbeat there instead.
func (c *controller) redirectToLeader() workerAnswer {
	leaderRecord := c.view.Leader
	if leaderRecord == nil || leaderRecord.Node == c.settings.NodeName || !c.authority.IsViewFresh(c.now) {
		return redirectTo("")
	}
	answer := redirectTo(leaderRecord.Node)
	if c.now >= c.relay.retryAt {
		answer.relayTo = leaderRecord.Node
	}
	return answer
}

// handleHeartbeat answers a worker's heartbeat, which only the leader can process.
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
			answer.relayTo = "" // a heartbeat is relayed at most once
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
