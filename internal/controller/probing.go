package controller

import "woadweir/internal/core/model"

const (
	probeInterval  = 500 * model.Millisecond // minimum between rounds of pings
	probeFreshness = 2 * model.Second        // how long the answers of a round are used
	// relayProbeInterval is the interval at which a leader with many connections pings
	// siblings to find those that relay heartbeats.
	relayProbeInterval = 2 * model.Second
)

// siblingProbe contains the result of the last round of pings to the other controllers.
type siblingProbe struct {
	inProgress bool
	startedAt  model.Micros // when the last round was sent
	answeredAt model.Micros // when its answers were complete
	alive      int          // number of siblings that answered
	serving    []string     // siblings that reach the state service and so can serve users instead
	relays     []string     // siblings that relay heartbeats
	// resignRounds is the number of consecutive rounds that indicated that resigning helps.
	resignRounds int
}

// isFresh reports whether the answers of the last round are recent.
func (p *siblingProbe) isFresh(now model.Micros) bool { return now-p.answeredAt < probeFreshness }

// pickServing returns a sibling that can serve users, or "" if none is known.
func (p *siblingProbe) pickServing(now model.Micros) string {
	if len(p.serving) == 0 || !p.isFresh(now) {
		return ""
	}
	return p.serving[int(now)%len(p.serving)]
}

func (p *siblingProbe) recordAnswers(m msgPinged, now model.Micros) {
	p.inProgress, p.answeredAt = false, now
	p.alive, p.serving, p.relays = m.alive, m.serving, m.relays
}

// startProbe pings the siblings if the answers may be needed: to learn which siblings reach
// the state service while this controller may not, whether workers reach siblings while
// none reaches this leader, or which siblings relay heartbeats when this leader's
// connections run short.
func (c *controller) startProbe() {
	probe := &c.siblings
	if probe.inProgress || len(c.settings.Siblings) == 0 || probe.startedAt != 0 && c.now-probe.startedAt < probeInterval {
		return
	}
	needsRelays := c.leading != nil && c.now-probe.startedAt >= relayProbeInterval && c.relay.connectionLoad(c.now) >= relayProbeWatermark
	if !needsRelays && !c.sync.suspectsOutage(c.now) && !c.hasNoHeartbeats() {
		return
	}
	probe.inProgress, probe.startedAt = true, c.now
	c.io.ping()
}

// siblingsProbed handles the answers to a round of pings.
func (c *controller) siblingsProbed(m msgPinged) {
	c.siblings.recordAnswers(m, c.now)
	c.considerResigning(m)
}
