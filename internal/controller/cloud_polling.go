package controller

import "woadweir/internal/core/model"

// How often a leader polls the cloud.
const (
	machineTypesPeriod = 30 * model.Second
	machineTypesRetry  = model.Second // until the machine types are known
	machineListPeriod  = 1500 * model.Millisecond
)

// cloudPolling schedules a leader's reads of the cloud's machine types and machine list.
// At most one request of each kind is in flight.
type cloudPolling struct {
	machineTypesRequestedAt model.Micros // when they were last requested, 0: never
	machineTypesInFlight    bool
	machineTypesKnown       bool
	machineListRequestedAt  model.Micros
	machineListInFlight     bool
}

// machineTypesDue reports whether the machine types are to be requested now.
func (p *cloudPolling) machineTypesDue(now model.Micros) bool {
	if p.machineTypesInFlight {
		return false
	}
	age := now - p.machineTypesRequestedAt
	return p.machineTypesRequestedAt == 0 || age > machineTypesPeriod || !p.machineTypesKnown && age > machineTypesRetry
}

// pollCloud requests the machine types and the machine list if they are due.
func (l *leader) pollCloud() {
	polling, now := &l.polling, l.controller.now
	if polling.machineTypesDue(now) {
		polling.machineTypesRequestedAt, polling.machineTypesInFlight = now, true
		l.controller.io.fetchMachineTypes()
	}
	if !polling.machineListInFlight && l.due(&polling.machineListRequestedAt, machineListPeriod) {
		polling.machineListInFlight = true
		l.controller.io.listMachines()
	}
}
