package controller

import (
	"errors"
	"fmt"
	"log/slog"

	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/duty"
)

// rent requests machines from the cloud, or queues intents for them. unplaced is the number
// of waiting tasks that fit nowhere, for the log.
func (l *leader) rent(rental autoscaler.Rental, unplaced int) {
	throughIntents := l.controller.usesIntents()
	batch := rental.Count
	if throughIntents {
		batch = duty.RentAtMost(l.controller.maxValueBytes())
	}
	for left := rental.Count; left > 0; left -= batch {
		count := min(left, batch)
		if throughIntents && l.extendQueuedRental(rental, count) {
			continue
		}
		request := cloud.Rental{RequestID: l.nextRequestID(), MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot, Count: count}
		l.inventory.pendingRentals[request.RequestID] = request
		slog.Info("requesting machines", "request", request.RequestID, "type", rental.MachineType, "zone", rental.Zone, "spot", rental.Spot, "count", count, "unplaced", unplaced)
		if throughIntents {
			l.queueRental(request)
			continue
		}
		offer := autoscaler.Offer{MachineType: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot}
		l.controller.io.rentMachines(msgRented{rental: request, offer: offer, token: l.token})
	}
}

// nextRequestID returns a new ID for a rental request. Only this leader has its token, so
// no other process ever uses the same ID.
func (l *leader) nextRequestID() string {
	l.inventory.requestCount++
	return fmt.Sprintf("w%d-%d", l.token, l.inventory.requestCount)
}

// rented handles the cloud's answer to a rental request.
func (c *controller) rented(m msgRented) {
	if m.intentKey != "" {
		c.duties.rented(m)
		return
	}
	l := c.leading
	if l == nil || l.token != m.token {
		return
	}
	delete(l.inventory.pendingRentals, m.rental.RequestID)
	l.provisioningSchedule.runSoon()
	if m.err != nil {
		if !errors.Is(m.err, cloud.ErrNoCapacity) {
			l.cloudHealth.failed(c.now)
		}
		slog.Info("rental request failed", "type", m.rental.MachineType, "zone", m.rental.Zone, "spot", m.rental.Spot, "err", m.err)
		l.offerRefused(m.offer)
		return
	}
	l.cloudHealth.succeeded(c.now)
	if len(m.machines) < m.rental.Count {
		l.offerRefused(m.offer)
	}
	slog.Info("machines rented", "type", m.rental.MachineType, "zone", m.rental.Zone, "spot", m.rental.Spot, "machines", m.machines)
	l.addRentedMachines(m.machines, m.offer)
}

// offerRefused records that the cloud had too little capacity for an offer, so that it is
// not requested again at once.
func (l *leader) offerRefused(offer autoscaler.Offer) {
	l.spill.refusedOffers[offer] = l.controller.now
	l.provisioner.OfferRefused(offer, l.controller.now)
}

// addRentedMachines adds the machines of a rental to the fleet, except for those that have
// been deleted since.
func (l *leader) addRentedMachines(machineIDs []string, offer autoscaler.Offer) {
	for _, machineID := range machineIDs {
		if !l.inventory.isDeleted(machineID) {
			l.shard.AddMachine(machineID, offer.MachineType, offer.Zone, offer.Spot, l.controller.now)
		}
	}
}
