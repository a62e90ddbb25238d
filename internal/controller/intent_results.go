package controller

import (
	"log/slog"
	"slices"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/duty"
)

// takeOverIntents takes over the intents of former leaders. Nothing more can be written
// under their grants.
func (l *leader) takeOverIntents() {
	for key, returnIntent := range l.controller.view.Returns {
		l.takeOverReturn(key, returnIntent)
	}
	for key, rental := range l.controller.view.Rentals {
		l.takeOverRental(key, rental)
	}
}

func (l *leader) takeOverReturn(key string, returnIntent *duty.Return) {
	if returnIntent.State != duty.Open {
		for _, machineID := range returnIntent.Machines {
			l.machineDeleted(machineID)
		}
		return
	}
	for _, machineID := range returnIntent.Machines {
		l.inventory.pendingDeletions[machineID] = deletionSent
		if machine := l.shard.Machines[machineID]; machine != nil {
			machine.Deleting = true
		} else {
			// Nothing is bound to it, and nothing may be: its heartbeats are not answered.
			l.inventory.deletedAt[machineID] = l.controller.now
		}
	}
	l.intents.returns[key] = returnIntent.Machines
}

func (l *leader) takeOverRental(key string, rental *duty.Rental) {
	if rental.State == duty.Open {
		l.intents.rentals[rental.Request] = key
		l.inventory.pendingRentals[rental.Request] = requestOf(rental)
		return
	}
	if rental.State == duty.Filled {
		l.addRentedMachines(rental.Machines, offerOf(rental))
	}
	l.intents.finishedAt[key] = l.controller.now
}

// offerOf returns the offer that a rental intent is for.
func offerOf(rental *duty.Rental) autoscaler.Offer {
	return autoscaler.Offer{MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot}
}

// applyOutcomes applies the outcomes of the leader's open intents that the view shows.
func (l *leader) applyOutcomes() {
	view := l.controller.view
	for request, key := range l.intents.rentals {
		rental := view.Rentals[key]
		if rental != nil && rental.Request == request && rental.State != duty.Open {
			l.applyRental(key, rental)
		}
	}
	for key, machineIDs := range l.intents.returns {
		returnIntent := view.Returns[key]
		if returnIntent != nil && returnIntent.State != duty.Open && slices.Equal(returnIntent.Machines, machineIDs) {
			l.applyReturn(key, returnIntent)
		}
	}
}

func (l *leader) applyRental(key string, rental *duty.Rental) {
	delete(l.intents.rentals, rental.Request)
	delete(l.inventory.pendingRentals, rental.Request)
	l.intents.finishedAt[key] = l.controller.now
	l.provisioningSchedule.runSoon()
	slog.Info("rental intent finished", "request", rental.Request, "state", rental.State, "type", rental.MachineType, "zone", rental.Zone, "spot", rental.Spot, "machines", rental.Machines)
	if rental.State == duty.Refused || len(rental.Machines) < rental.Count {
		l.offerRefused(offerOf(rental))
	}
	l.addRentedMachines(rental.Machines, offerOf(rental))
}

func (l *leader) applyReturn(key string, returnIntent *duty.Return) {
	delete(l.intents.returns, key)
	for _, machineID := range returnIntent.Machines {
		l.machineDeleted(machineID)
	}
	l.provisioningSchedule.runSoon()
}
