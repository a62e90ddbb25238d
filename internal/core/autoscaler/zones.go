package autoscaler

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// zoneLimits are what the rules on zones leave to a job's waiting tasks. Room in a zone
// that they may not use must not count as theirs: nothing would be rented for them
// where they may go, and they would wait beside it for ever.
type zoneLimits struct {
	job        *model.JobState
	leftByZone map[string]int // by zone, for those that were asked for
	// chosenZone is the one zone that is considered for a job whose tasks have to be
	// together and of which none is anywhere yet.
	chosenZone string
	// spotTolerant tells that the tasks take only room that is free now, and leave what is
	// open to work that needs ordinary machines.
	spotTolerant bool
}

func newZoneLimits(job *model.JobState, spotTolerant bool) *zoneLimits {
	return &zoneLimits{job: job, leftByZone: map[string]int{}, spotTolerant: spotTolerant}
}

// applies tells that rules on zones apply.
func (z *zoneLimits) applies() bool { return z.job.SameZone || z.job.Spread }

// roomIn is how many more tasks may go to a zone.
func (z *zoneLimits) roomIn(zone string) int {
	if z.chosenZone != "" && zone != z.chosenZone {
		return 0
	}
	n, ok := z.leftByZone[zone]
	if !ok {
		n = placement.ZoneRoom(z.job, zone)
		z.leftByZone[zone] = n
	}
	return n
}

// fittingTasks is how many of n tasks may go to a machine.
func (z *zoneLimits) fittingTasks(candidate *candidateMachine, n int) int {
	offer := candidate.offer
	if !z.job.Allows(offer.MachineType, offer.Zone, offer.Spot) || candidate.machine != nil && !suitsJob(z.job, candidate) {
		return 0
	}
	room := candidate.freeForOnDemand
	if z.spotTolerant {
		room = candidate.free
	}
	fits := z.job.Request.FitCount(room, n)
	if fits > 0 && z.applies() {
		fits = min(fits, z.roomIn(offer.Zone))
	}
	return fits
}

// assign puts tasks on a machine.
func (z *zoneLimits) assign(candidate *candidateMachine, tasks int) {
	taken := z.job.Request.Times(tasks)
	candidate.free = candidate.free.Minus(taken)
	if !z.spotTolerant {
		candidate.freeForOnDemand = candidate.freeForOnDemand.Minus(taken)
	}
	if z.applies() {
		z.leftByZone[candidate.offer.Zone] -= tasks
	}
}

// allows tells whether a machine of that kind may be rented.
func (z *zoneLimits) allows(machineType, zone string, spot bool) bool {
	return z.job.Allows(machineType, zone, spot) && (!z.applies() || z.roomIn(zone) > 0)
}

// chooseZone settles on the zone that has most room for tasks that have to be together.
func (z *zoneLimits) chooseZone(candidates []*candidateMachine, demand Demand) {
	if len(z.job.Bindings) > 0 {
		return // they are where the others are
	}
	room := map[string]int{}
	for _, candidate := range candidates {
		room[candidate.offer.Zone] += z.fittingTasks(candidate, demand.Count)
	}
	best := 0
	for zone, tasks := range room {
		if tasks > best || tasks == best && tasks > 0 && zone < z.chosenZone {
			z.chosenZone, best = zone, tasks
		}
	}
}

// excludeChosenZone gives the chosen zone up for any other: all tasks need a place there.
func (z *zoneLimits) excludeChosenZone() { z.leftByZone[z.chosenZone], z.chosenZone = 0, "" }

// isZoneExhausted tells that nothing can be rented at present in the zone that was chosen for
// tasks that have to be together.
func (p *Provisioner) isZoneExhausted(in *Input, zones *zoneLimits) bool {
	if zones.chosenZone == "" {
		return false
	}
	for name, machineType := range in.MachineTypes {
		if !machineType.OfferedIn(zones.chosenZone) || !zones.job.Request.Fits(machineType.Size()) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if zones.allows(name, zones.chosenZone, spot) && in.Now >= p.refusedUntil[Offer{name, zones.chosenZone, spot}] {
				return false
			}
		}
	}
	return true
}

// suitsJob tells whether a machine is for such work: one without GPUs alone must
// not keep a GPU machine rented, unless it is urgent.
func suitsJob(job *model.JobState, candidate *candidateMachine) bool {
	return candidate.size.GPUs == 0 || job.Request.GPUs > 0 || job.Priority >= model.HighPriority || candidate.machine != nil && candidate.machine.Used.GPUs > 0
}
