package controller

import "woadweir/internal/core/model"

// minProvisioningInterval is the shortest time between two rounds of the autoscaler.
const minProvisioningInterval = 500 * model.Millisecond

// provisioningSchedule decides when the autoscaler's next round is due: after a full
// period, or sooner if its input has changed.
type provisioningSchedule struct {
	last, next model.Micros // start of the last round, and when the next is due at the latest
	soon       bool         // a round is due as soon as minProvisioningInterval allows
}

// runSoon requests a round as soon as minProvisioningInterval allows.
func (s *provisioningSchedule) runSoon() { s.soon = true }

// started records that a round begins now.
func (s *provisioningSchedule) started(now, period model.Micros) {
	s.last, s.next, s.soon = now, now+period, false
}

// isDue reports whether a round is due.
func (s *provisioningSchedule) isDue(now model.Micros) bool {
	return now >= s.next || s.soon && now-s.last >= minProvisioningInterval
}
