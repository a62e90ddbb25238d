package state

import "woadweir/internal/core/model"

// NodeRecord is a controller's record of itself. Its key is attached to the controller's session
// lease.
type NodeRecord struct {
	Session      uint64 `json:"session"`
	ServeAddress string `json:"serve"`
	// Layout is the newest record layout that the process can read; see the function Layout.
	Layout int `json:"layout,omitempty"`
	// MayHoldDuties is set if the process may hold single-holder duties without being the
	// leader.
	MayHoldDuties bool `json:"duties,omitempty"`
}

// Versions of the record layout. Each controller announces one in its NodeRecord, so that
// controllers of different versions write only what all of them can read.
const (
	LayoutDense  = 2 // dense bundles
	LayoutDuties = 3 // duty leases and intents; bundles may be removed
	LayoutSpill  = 4 // records of lent and borrowed jobs
)

// Layout returns the record layout that a controller announces: the newest that it reads, where
// LayoutSpill counts only if spilling is configured (spills). No controller writes records of a
// newer layout than all controllers have announced.
func Layout(spills bool) int {
	if spills {
		return LayoutSpill
	}
	return LayoutDuties
}

// LeaderRecord says which controller leads. Its key is attached to the leader's session lease.
type LeaderRecord struct {
	Node    string `json:"node"`
	Session uint64 `json:"session"`
	// UsesIntents is set if the leader rents and returns machines through intents, so that
	// other controllers may hold duties.
	UsesIntents bool `json:"duties,omitempty"`
}

// GrantRecord says which controller may schedule a shard, and how much of each team's limit it may
// use (Credit, by team).
type GrantRecord struct {
	Holder  string                     `json:"holder"`
	Session uint64                     `json:"session"`
	Credit  map[string]model.Resources `json:"credit"`
}

// MachineTypesRecord holds the machine types that the cloud last offered. They are stored under
// the name builds.
type MachineTypesRecord struct {
	MachineTypes []model.MachineType `json:"builds"`
}
