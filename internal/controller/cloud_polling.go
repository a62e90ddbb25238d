package controller

import "woadweir/internal/core/model"

// How often a leader polls the cloud.
const (
	machineTypesPeriod = 30 * model.Second
	machineTypesRetry  = model.Second // until the machine types are known
	machineListPeriod  = 1500 * model.Millisecond
)

// cloudPolling schedules a leader's reads of the cloud's machine types and machine list.
// Of each kind at most one request is in flight.
type cloudPolling struct {
	machineTypesAt       model.Micros // when they were last requested, 0: never
	machineTypesInFlight bool
	machineTypesKnown    bool
	machineListAt        model.Micros
	machineListInFlight  bool
}

// machineTypesDue reports whether the machine types are to be requested now.
func (p *cloudPolling) machineTypesDue(now model.Micros) bool {
	if p.machineTypesInFlight {
		return false
	}
	age := now - p.machineTypesAt
	return p.machineTypesAt == 0 || age > machineTypesPeriod || !p.machineTypesKnown && age > machineTypesRetry
}

// pollCloud requests the machine types and the machine list if they are due.
func (l *leader) pollCloud() {
	polling, now := &l.polling, l.c.now
	if polling.machineTypesDue(now) {
		polling.machineTypesAt, polling.machineTypesInFlight = now, true
		l.c.io.fetchMachineTypes()
	}
	if !polling.machineListInFlight && l.due(&polling.machineListAt, machineListPeriod) {
		polling.machineListInFlight = true
		l.c.io.listMachines()
	}
}
