package controller

import (
	"errors"
	"fmt"
	"log/slog"

	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// Rhythm of the leader's dealings with the cloud.
const (
	machineTypesGap = 30 * model.Second
	listGap         = 1500 * model.Millisecond
	provisionGap    = 500 * model.Millisecond
	sweepGap        = 500 * model.Millisecond
	forgetMachine   = 600 * model.Second
	forgetTaskSize  = 180 * model.Second
)

func (l *leader) gotMachineTypes(m msgMachineTypes) {
	c := l.c
	l.machineTypesBusy = false
	if m.err != nil || len(m.machineTypes) == 0 {
		slog.Debug("machine types", "err", m.err)
		l.cloudBad = c.now
		return
	}
	l.machineTypesKnown, l.cloudGood = true, c.now
	same := len(m.machineTypes) == len(c.view.MachineTypes)
	for i := range m.machineTypes {
		same = same && m.machineTypes[i].Name == c.view.MachineTypes[i].Name && m.machineTypes[i].Size() == c.view.MachineTypes[i].Size()
	}
	if !same && !c.lanes.busy[laneMisc] {
		// As many as a value bears: with some of them it can be told of most
		// submissions, after an outage of the cloud, that they can run.
		rec := state.MachineTypesRecord{MachineTypes: m.machineTypes}
		for len(rec.MachineTypes) > 0 && !c.fits(rec) {
			rec.MachineTypes = rec.MachineTypes[:len(rec.MachineTypes)-1]
		}
		t := &state.Txn{Conditions: []state.Condition{{Path: "leader", Revision: c.view.Revisions["leader"]}, {Path: "flavors", Revision: c.view.Revisions["flavors"]}},
			Then: []state.Op{{Set: "flavors", Value: rec}}}
		c.send(laneMisc, msgCommitted{txn: t, token: l.token})
	}
	if l.ready {
		l.block.SetMachineTypes(m.machineTypes)
		l.provisionSoon = true
	}
}

func (c *controller) gotMachineTypes(m msgMachineTypes) {
	c.duties.cloudAnswered(m.err)
	if c.leading != nil {
		c.leading.gotMachineTypes(m)
	}
}

func (c *controller) listed(m msgListed) {
	c.duties.cloudAnswered(m.err)
	l := c.leading
	if l == nil || !l.ready {
		return
	}
	l.listBusy = false
	if m.err != nil {
		l.cloudBad = c.now
		return
	}
	l.cloudGood = c.now
	l.seenLists++
	in := make(map[string]bool, len(m.machines))
	for i := range m.machines {
		x := &m.machines[i]
		in[x.ID] = true
		if l.deletedMachines[x.ID] != 0 {
			continue
		}
		h := l.block.Machines[x.ID]
		if h == nil {
			h = l.block.AddMachine(x.ID, x.MachineType, x.Zone, x.Spot, c.now)
			h.RentedAt = m.sent - model.Seconds(x.HeldS)
			slog.Info("listed", "machine", x.ID, "type", x.MachineType, "status", x.Status)
		}
		h.Listed = true
		if x.Status == "failed" && !h.Failed {
			h.Failed = true
			slog.Info("failed", "machine", x.ID)
		}
	}
	for ref, h := range l.block.Machines {
		if in[ref] || !h.Listed {
			delete(l.missingFromLists, ref)
			continue
		}
		l.missingFromLists[ref]++
	}
}

func (c *controller) rented(m msgRented) {
	l := c.leading
	if m.intent != "" {
		c.duties.rented(m)
		return
	}
	if l == nil || l.token != m.token {
		return
	}
	delete(l.pendingRentals, m.rental.RequestID)
	l.provisionSoon = true
	if m.err != nil {
		if !errors.Is(m.err, cloud.ErrNoCapacity) {
			l.cloudBad = c.now
		}
		l.spill.refused[m.offer] = c.now
		slog.Info("rent refused", "type", m.rental.MachineType, "zone", m.rental.Zone, "spot", m.rental.Spot, "err", m.err)
		l.provisioner.Refuse(m.offer, c.now)
		return
	}
	l.cloudGood = c.now
	if len(m.machines) < m.rental.Count {
		l.spill.refused[m.offer] = c.now
		l.provisioner.Refuse(m.offer, c.now)
	}
	slog.Info("rented", "type", m.rental.MachineType, "zone", m.rental.Zone, "spot", m.rental.Spot, "machines", m.machines)
	for _, ref := range m.machines {
		if l.deletedMachines[ref] == 0 {
			l.block.AddMachine(ref, m.rental.MachineType, m.rental.Zone, m.rental.Spot, c.now)
		}
	}
}

func (c *controller) deleted(m msgDeleted) {
	l := c.leading
	if m.intent != "" {
		c.duties.deleted(m)
		return
	}
	if l == nil || l.token != m.token {
		return
	}
	if m.err != nil {
		l.cloudBad = c.now
		for _, ref := range m.machineIDs {
			l.pendingDeletions[ref] = c.now + model.Second // again then
		}
		return
	}
	l.cloudGood = c.now
	for _, ref := range m.machineIDs {
		l.machineGone(ref)
	}
	l.provisionSoon = true
}

// machineGone takes note of a confirmed deletion.
func (l *leader) machineGone(machine string) {
	delete(l.pendingDeletions, machine)
	l.deletedMachines[machine] = l.c.now
	l.block.MachineDeleted(machine, "deleted", l.c.now)
	slog.Info("deleted", "machine", machine)
}

// cloudOK tells whether the cloud answered last.
func (l *leader) cloudOK() bool { return l.cloudGood > l.cloudBad }

// releaseMachine decides that a machine is returned. There is no way back: a deletion
// that got no answer may still be carried out.
func (l *leader) releaseMachine(h *model.Machine, why string) {
	if h.Deleting {
		return
	}
	h.Deleting = true
	l.pendingDeletions[h.ID] = 0
	slog.Info("give back", "machine", h.ID, "type", h.MachineType, "why", why)
}

// lists is how many lists in a row have to lack a machine until it is taken to
// be gone. What has been listed stays listed until it is gone, but a list may be
// older than the one before it, so a young machine may be missing from one.
func (l *leader) lists(h *model.Machine) int {
	if l.c.now-h.RentedAt > 5*model.Seconds(l.c.set.Params.Cloud.ListLagS) {
		return 1
	}
	return 2
}

// fewUnreachable tells that few machines do not receive our answers. When many don't, the
// fault may be ours, as when this controller falls behind, and returning them all would
// be worse than any of it.
func (l *leader) fewUnreachable() bool {
	unreachable := 0
	for _, h := range l.block.Machines {
		if h.UnansweredSince != 0 {
			unreachable++
		}
	}
	return unreachable <= max(1, len(l.block.Machines)/4)
}

// releaseUnusableMachines returns machines that are of no use, and sends deletions.
func (l *leader) releaseUnusableMachines() {
	c := l.c
	fewUnreachable := l.fewUnreachable()
	for ref, h := range l.block.Machines {
		f := l.block.MachineTypes[h.MachineType]
		silent := c.now - max(h.LastHeartbeat, h.RentedAt)
		switch {
		case h.Deleting:
		case h.Failed:
			l.releaseMachine(h, "failed")
		case l.missingFromLists[ref] >= l.lists(h) && silent > l.block.ReportOverdue():
			l.releaseMachine(h, "not listed any more")
		case h.Up && h.Lost && silent > l.block.LeaseExpiry()+5*model.Second:
			l.releaseMachine(h, "silent")
		case fewUnreachable && l.block.Unreachable(h, c.now):
			l.releaseMachine(h, "does not hear")
		case h.Draining && len(h.Bindings) == 0:
			l.releaseMachine(h, "not wanted")
		case !h.Up && f != nil && len(h.Bindings) == 0 && silent > max(model.Seconds(f.BootS*l.provisioner.Params.FailedAfterBoots), 60*model.Second):
			l.releaseMachine(h, "never came up")
		}
	}
	l.forgetDeleted()
	l.sendDeletions()
}

// forgetDeleted forgets machines that were deleted long ago.
func (l *leader) forgetDeleted() {
	for ref, at := range l.deletedMachines {
		if _, returning := l.pendingDeletions[ref]; !returning && l.c.now-at > forgetMachine {
			delete(l.deletedMachines, ref)
		}
	}
}

// deleteAtMost is the cloud's limit of a deletion.
const deleteAtMost = 100

// sendDeletions sends the deletions that are due, or has them sent.
func (l *leader) sendDeletions() {
	c := l.c
	var refs []string
	for ref, at := range l.pendingDeletions {
		if at == 0 || at > 0 && c.now >= at {
			refs = append(refs, ref)
			if len(refs) == deleteAtMost {
				break
			}
		}
	}
	if len(refs) == 0 {
		return
	}
	for _, ref := range refs {
		l.pendingDeletions[ref] = deletionSent
	}
	if c.actsThroughIntents() {
		l.decideReturn(refs)
		return
	}
	c.io.deleteMachines(msgDeleted{machineIDs: refs, token: l.token})
}

// deletionSent stands in pendingDeletions for a deletion that is on its way.
const deletionSent model.Micros = -1

// provision is a round of the renting loop.
func (l *leader) provision() {
	c := l.c
	l.lastProvisioning, l.nextProvisioning, l.provisionSoon = c.now, c.now+model.Seconds(float64(c.op.LoopPeriodS)), false
	if len(l.block.MachineTypes) == 0 || l.seenLists == 0 {
		// Before the first list it may seem that nothing is rented.
		l.provisionSoon = true
		return
	}
	out := l.provisioner.Round(l.provisioningInput())
	for _, h := range l.block.Machines {
		h.Surplus = false
	}
	for _, h := range out.Surplus {
		h.Surplus = true
	}
	if l.cloudOK() || c.now-l.cloudBad > 2*model.Second {
		for _, r := range out.Rent {
			l.rent(r, out.Unplaced)
		}
	}
	for _, h := range out.ScaleIn {
		l.releaseMachine(h, "idle")
	}
	for _, h := range out.Vacate {
		l.block.Vacate(h, c.now)
	}
	if out.Unplaced > 0 {
		l.provisionSoon = true
	}
}

// provisioningInput is what a round of the renting loop looks at.
func (l *leader) provisioningInput() *autoscaler.Input {
	c := l.c
	w := l.block.World(c.now)
	w.Sort()
	in := &autoscaler.Input{Now: c.now, Machines: w.Machines, MachineTypes: l.block.MachineTypes, CloudOK: l.cloudOK(), OrdinaryPriority: model.ProductionPriority}
	l.addPendingRentals(in)
	l.addWaitingWork(in, w)
	l.addTaskSizes(in)
	return in
}

// addPendingRentals counts the machines that are asked for as if they were there.
func (l *leader) addPendingRentals(in *autoscaler.Input) {
	for hire, r := range l.pendingRentals {
		for k := range r.Count {
			in.Machines = append(in.Machines, &model.Machine{ID: fmt.Sprintf("~%s-%d", hire, k), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot,
				Size: l.block.MachineTypes[r.MachineType].Size(), RentedAt: l.c.now, EmptySince: l.c.now})
		}
	}
}

// addWaitingWork adds the tasks that wait and that their teams' limits allow to start.
func (l *leader) addWaitingWork(in *autoscaler.Input, w *placement.World) {
	c := l.c
	room := map[string]model.Resources{}
	for _, t := range c.teams {
		room[t.Name] = t.Limit.Minus(w.Used[t.Name])
	}
	for _, j := range w.Jobs {
		l.recentSizes[taskSize{j.Request, j.AllowsSpot}] = c.now
		if !j.AllowsSpot {
			in.OrdinaryPriority = min(in.OrdinaryPriority, j.Priority)
			in.OrdinaryPatience = max(in.OrdinaryPatience, w.Patience(j))
			in.Spread = in.Spread || j.Spread
		}
		if len(j.Waiting) == 0 || c.now < j.NotBefore {
			continue
		}
		need := j.Request
		need.Mem = 0
		// Nothing is rented for a job that fails everywhere beyond the task that is retried.
		k := j.TasksAtOnce(need.Count(room[j.Team], len(j.Waiting)))
		if j.Kind == model.Gang && k < len(j.Waiting) {
			continue
		}
		room[j.Team] = room[j.Team].Minus(need.Times(k))
		if k > 0 {
			in.Waiting = append(in.Waiting, autoscaler.Demand{Job: j, Count: k})
		}
	}
}

// addTaskSizes adds the sizes of tasks that were asked for lately.
func (l *leader) addTaskSizes(in *autoscaler.Input) {
	for z, at := range l.recentSizes {
		if l.c.now-at > forgetTaskSize {
			delete(l.recentSizes, z)
			continue
		}
		in.Sizes = append(in.Sizes, z.request)
		if !z.allowsSpot {
			in.OrdinarySizes = append(in.OrdinarySizes, z.request)
		} else {
			in.FlexibleSizes = append(in.FlexibleSizes, z.request)
		}
	}
}

// rent asks for machines, or has them asked for.
func (l *leader) rent(r autoscaler.Rental, unplaced int) {
	throughIntents := l.c.actsThroughIntents()
	most := r.Count
	if throughIntents {
		most = duty.RentAtMost(l.c.maxValue())
	}
	for left := r.Count; left > 0; left -= most {
		if throughIntents && l.extendRental(r, min(left, most)) {
			continue
		}
		rental := cloud.Rental{RequestID: l.rentalName(), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Count: min(left, most)}
		l.pendingRentals[rental.RequestID] = rental
		slog.Info("rent", "request", rental.RequestID, "type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "count", rental.Count, "unplaced", unplaced)
		if throughIntents {
			l.decideRental(rental)
			continue
		}
		l.c.io.rentMachines(msgRented{rental: rental, offer: autoscaler.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot}, token: l.token})
	}
}
