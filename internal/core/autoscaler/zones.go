package autoscaler

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// zoneLimits are what the rules on zones leave to a job's waiting tasks. Room in a zone
// that they may not use must not count as theirs: nothing would be rented for them
// where they may go, and they would wait beside it for ever.
type zoneLimits struct {
	job  *model.JobState
	left map[string]int // by zone, for those that were asked for
	// only is the one zone that is considered for a job whose tasks have to be
	// together and of which none is anywhere yet.
	only string
	// flexible tells that the tasks take only room that is free now, and leave what is
	// open to work that needs ordinary machines.
	flexible bool
}

func newZoneLimits(job *model.JobState, flexible bool) *zoneLimits {
	return &zoneLimits{job: job, left: map[string]int{}, flexible: flexible}
}

// bound tells that rules on zones apply.
func (z *zoneLimits) bound() bool { return z.job.SameZone || z.job.Spread }

// room is how many more tasks may go to a zone.
func (z *zoneLimits) room(zone string) int {
	if z.only != "" && zone != z.only {
		return 0
	}
	n, ok := z.left[zone]
	if !ok {
		n = placement.ZoneRoom(z.job, zone)
		z.left[zone] = n
	}
	return n
}

// count is how many of n tasks may go to a machine.
func (z *zoneLimits) count(candidate *candidateMachine, n int) int {
	offer := candidate.offer
	if !z.job.Allows(offer.MachineType, offer.Zone, offer.Spot) || candidate.machine != nil && !suitsJob(z.job, candidate) {
		return 0
	}
	room := candidate.open
	if z.flexible {
		room = candidate.free
	}
	fits := z.job.Request.Count(room, n)
	if fits > 0 && z.bound() {
		fits = min(fits, z.room(offer.Zone))
	}
	return fits
}

// take puts tasks on a machine.
func (z *zoneLimits) take(candidate *candidateMachine, tasks int) {
	taken := z.job.Request.Times(tasks)
	candidate.free = candidate.free.Minus(taken)
	if !z.flexible {
		candidate.open = candidate.open.Minus(taken)
	}
	if z.bound() {
		z.left[candidate.offer.Zone] -= tasks
	}
}

// allows tells whether a machine of that kind may be rented.
func (z *zoneLimits) allows(machineType, zone string, spot bool) bool {
	return z.job.Allows(machineType, zone, spot) && (!z.bound() || z.room(zone) > 0)
}

// choose settles on the zone that has most room for tasks that have to be together.
func (z *zoneLimits) choose(candidates []*candidateMachine, demand Demand) {
	if len(z.job.Bindings) > 0 {
		return // they are where the others are
	}
	room := map[string]int{}
	for _, candidate := range candidates {
		room[candidate.offer.Zone] += z.count(candidate, demand.Count)
	}
	best := 0
	for zone, tasks := range room {
		if tasks > best || tasks == best && tasks > 0 && zone < z.only {
			z.only, best = zone, tasks
		}
	}
}

// elsewhere gives the chosen zone up for any other: all tasks need a place there.
func (z *zoneLimits) elsewhere() { z.left[z.only], z.only = 0, "" }

// zoneExhausted tells that nothing can be rented at present in the zone that was chosen for
// tasks that have to be together.
func (l *Provisioner) zoneExhausted(in *Input, zones *zoneLimits) bool {
	if zones.only == "" {
		return false
	}
	for name, machineType := range in.MachineTypes {
		if !machineType.In(zones.only) || !zones.job.Request.Fits(machineType.Size()) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if zones.allows(name, zones.only, spot) && in.Now >= l.refused[Offer{name, zones.only, spot}] {
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
