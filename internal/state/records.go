package state

import "woadweir/internal/core/model"

// NodeRecord is the value of a controller's own key, attached to its session lease.
type NodeRecord struct {
	Session      uint64 `json:"session"`
	ServeAddress string `json:"serve"`
	// Layout is the newest record layout that the process can read, see Layout.
	Layout int `json:"layout,omitempty"`
	// MayHoldDuties is set if the process may hold single-holder duties without leading.
	MayHoldDuties bool `json:"duties,omitempty"`
}

// Versions of the record layout. They are stored in NodeRecord, so that mixed versions
// write only what all of them can read.
const (
	LayoutDense  = 2 // dense bundles
	LayoutDuties = 3 // leases of duties, and intents; bundles may be removed
	LayoutSpill  = 4 // jobs lent to other cells, and by them
)

// Layout is the record layout that a controller announces: the newest it reads, where
// LayoutSpill counts only if the controller is configured to spill. No controller writes
// records beyond the layout that all controllers have announced.
func Layout(spills bool) int {
	if spills {
		return LayoutSpill
	}
	return LayoutDuties
}

// LeaderRecord is the value of the leader key, attached to the leader's session lease.
type LeaderRecord struct {
	Node    string `json:"node"`
	Session uint64 `json:"session"`
	// UsesIntents is set if the leader rents and returns machines through intents, so that
	// other controllers may hold duties.
	UsesIntents bool `json:"duties,omitempty"`
}

// GrantRecord says which controller may schedule a shard, and with what team credit.
type GrantRecord struct {
	Holder  string                     `json:"holder"`
	Session uint64                     `json:"session"`
	Credit  map[string]model.Resources `json:"credit"`
}

// MachineTypesRecord holds the machine types that the cloud last offered. On the wire
// they are called builds.
type MachineTypesRecord struct {
	MachineTypes []model.MachineType `json:"builds"`
}
