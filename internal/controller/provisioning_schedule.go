package controller

import "woadweir/internal/core/model"

// minProvisioningInterval is the shortest time between two rounds of the autoscaler.
const minProvisioningInterval = 500 * model.Millisecond

// provisioningSchedule tells when the autoscaler's next round is due: after a full
// period, or sooner if something changed that it looks at.
type provisioningSchedule struct {
	last, next model.Micros
	soon       bool
}

// runSoon asks for a round as soon as the shortest gap allows.
func (s *provisioningSchedule) runSoon() { s.soon = true }

// started records that a round begins now.
func (s *provisioningSchedule) started(now, period model.Micros) {
	s.last, s.next, s.soon = now, now+period, false
}

// isDue reports whether a round is due.
func (s *provisioningSchedule) isDue(now model.Micros) bool {
	return now >= s.next || s.soon && now-s.last >= minProvisioningInterval
}
