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

// Special values of machineInventory.pendingDeletions; others are the time of a retry.
const (
	deletionDue  model.Micros = 0
	deletionSent model.Micros = -1
)

// machineInventory tracks the rentals and deletions that the cloud has not confirmed yet,
// and which machines of the leader's fleet the cloud's machine lists lack.
type machineInventory struct {
	pendingRentals   map[string]cloud.Rental // by request ID
	pendingDeletions map[string]model.Micros // by machine ID: deletionDue, deletionSent or the time of a retry
	deletedAt        map[string]model.Micros // by machine ID: when the deletion was confirmed
	listMisses       map[string]int          // by machine ID: consecutive lists that lacked the machine
	listsReceived    int
	requestCount     int // rental requests so far, for their IDs
}

func newMachineInventory() machineInventory {
	return machineInventory{
		pendingRentals:   map[string]cloud.Rental{},
		pendingDeletions: map[string]model.Micros{},
		deletedAt:        map[string]model.Micros{},
		listMisses:       map[string]int{},
	}
}

// isDeleted reports whether a machine is known to be deleted. Its late heartbeats and
// outdated machine lists must not add it to the fleet again.
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

// takeDueDeletions returns the machines whose deletion is due, at most one batch, and
// marks their deletions as sent.
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

// forgetDeleted removes the records of machines that were deleted more than
// deletedRetention ago.
func (inv *machineInventory) forgetDeleted(now model.Micros) {
	for machineID, at := range inv.deletedAt {
		if _, pending := inv.pendingDeletions[machineID]; !pending && now-at > deletedRetention {
			delete(inv.deletedAt, machineID)
		}
	}
}

// countMisses counts which machines of the fleet a new machine list lacks. Only machines
// that an earlier list had can be missing.
func (inv *machineInventory) countMisses(fleet map[string]*model.Machine, listed map[string]bool) {
	for machineID, machine := range fleet {
		if listed[machineID] || !machine.Listed {
			delete(inv.listMisses, machineID)
			continue
		}
		inv.listMisses[machineID]++
	}
}
