package controller

import (
	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
)

// Limits of a leader's records of the cloud's machines.
const (
	deletedRetention   = 600 * model.Second // how long a deleted machine's ID is remembered
	deletionRetryDelay = model.Second       // before a failed deletion is repeated
	maxDeletionBatch   = 100                // the cloud's limit of machines in one deletion
)

// Values of machineInventory.pendingDeletions beside the time of a retry.
const (
	deletionDue  model.Micros = 0
	deletionSent model.Micros = -1
)

// machineInventory is a leader's record of rentals and deletions that the cloud has not
// confirmed yet, and of how the cloud's machine lists agree with the leader's own fleet.
type machineInventory struct {
	pendingRentals   map[string]cloud.Rental // by request ID
	pendingDeletions map[string]model.Micros // by machine ID: deletionDue, deletionSent or the time of a retry
	deletedAt        map[string]model.Micros // by machine ID: when the deletion was confirmed
	listMisses       map[string]int          // by machine ID: lists in a row that lacked the machine
	listsReceived    int
	requestCount     int // rental requests named so far
}

func newMachineInventory() machineInventory {
	return machineInventory{
		pendingRentals:   map[string]cloud.Rental{},
		pendingDeletions: map[string]model.Micros{},
		deletedAt:        map[string]model.Micros{},
		listMisses:       map[string]int{},
	}
}

// isDeleted reports whether a machine is known as deleted. Its late reports and older
// machine lists must not bring it back into the fleet.
func (inv *machineInventory) isDeleted(machineID string) bool {
	return inv.deletedAt[machineID] != 0
}

// confirmDeletion records that the cloud has deleted a machine.
func (inv *machineInventory) confirmDeletion(machineID string, now model.Micros) {
	delete(inv.pendingDeletions, machineID)
	inv.deletedAt[machineID] = now
}

// retryDeletions schedules deletions that failed for another attempt.
func (inv *machineInventory) retryDeletions(machineIDs []string, now model.Micros) {
	for _, machineID := range machineIDs {
		inv.pendingDeletions[machineID] = now + deletionRetryDelay
	}
}

// takeDueDeletions returns the machines whose deletion is due, at most one batch of
// them, and marks them as sent.
func (inv *machineInventory) takeDueDeletions(now model.Micros) []string {
	var machineIDs []string
	for machineID, at := range inv.pendingDeletions {
		if at == deletionSent || at != deletionDue && now < at {
			continue
		}
		machineIDs = append(machineIDs, machineID)
		if len(machineIDs) == maxDeletionBatch {
			break
		}
	}
	for _, machineID := range machineIDs {
		inv.pendingDeletions[machineID] = deletionSent
	}
	return machineIDs
}

// forgetDeleted drops the records of machines that were deleted long ago.
func (inv *machineInventory) forgetDeleted(now model.Micros) {
	for machineID, at := range inv.deletedAt {
		if _, pending := inv.pendingDeletions[machineID]; !pending && now-at > deletedRetention {
			delete(inv.deletedAt, machineID)
		}
	}
}

// countMisses compares the fleet with a new machine list. Only machines that a list has
// shown before can be missed.
func (inv *machineInventory) countMisses(fleet map[string]*model.Machine, listed map[string]bool) {
	for machineID, machine := range fleet {
		if listed[machineID] || !machine.Listed {
			delete(inv.listMisses, machineID)
			continue
		}
		inv.listMisses[machineID]++
	}
}
