package autoscaler

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// zoneLimits tracks how many of a job's waiting tasks its zone rules still allow in each
// zone. Capacity in a zone that the tasks may not use must not count for them:
// nothing would be rented in the zones that they may use, and they would wait indefinitely.
type zoneLimits struct {
	job        *model.JobState
	leftByZone map[string]int // further tasks allowed, for the zones looked at so far
	// chosenZone is the only zone considered for a job whose tasks have to be in the same
	// zone and of which none is bound yet; "" if none is chosen.
	chosenZone string
	// spotTolerant is true if the tasks use only resources that are free, and not those of
	// preemptible tasks, which stay available to work that needs on-demand machines.
	spotTolerant bool
}

func newZoneLimits(job *model.JobState, spotTolerant bool) *zoneLimits {
	return &zoneLimits{job: job, leftByZone: map[string]int{}, spotTolerant: spotTolerant}
}

// applies reports whether the job has zone rules.
func (z *zoneLimits) applies() bool { return z.job.SameZone || z.job.Spread }

// allowedIn returns how many more tasks may be placed in a zone.
func (z *zoneLimits) allowedIn(zone string) int {
	if z.chosenZone != "" && zone != z.chosenZone {
		return 0
	}
	n, ok := z.leftByZone[zone]
	if !ok {
		n = placement.AllowedInZone(z.job, zone)
		z.leftByZone[zone] = n
	}
	return n
}

// fittingTasks returns how many of n tasks fit on a machine and may be placed there.
func (z *zoneLimits) fittingTasks(candidate *candidateMachine, n int) int {
	offer := candidate.offer
	if !z.job.Allows(offer.MachineType, offer.Zone, offer.Spot) || candidate.machine != nil && !suitsJob(z.job, candidate) {
		return 0
	}
	free := candidate.freeForOnDemand
	if z.spotTolerant {
		free = candidate.free
	}
	fits := z.job.Request.FitCount(free, n)
	if fits > 0 && z.applies() {
		fits = min(fits, z.allowedIn(offer.Zone))
	}
	return fits
}

// assign assigns a number of tasks to a machine.
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

// allows reports whether a machine of that kind may be rented for the job.
func (z *zoneLimits) allows(machineType, zone string, spot bool) bool {
	return z.job.Allows(machineType, zone, spot) && (!z.applies() || z.allowedIn(zone) > 0)
}

// chooseZone chooses the zone with the most capacity for tasks that have to be in the same
// zone.
func (z *zoneLimits) chooseZone(candidates []*candidateMachine, demand Demand) {
	if len(z.job.Bindings) > 0 {
		return // the zone of the job's bound tasks is given
	}
	fitting := map[string]int{}
	for _, candidate := range candidates {
		fitting[candidate.offer.Zone] += z.fittingTasks(candidate, demand.Count)
	}
	best := 0
	for zone, tasks := range fitting {
		if tasks > best || tasks == best && tasks > 0 && zone < z.chosenZone {
			z.chosenZone, best = zone, tasks
		}
	}
}

// excludeChosenZone excludes the chosen zone, so that all tasks are placed in another one.
func (z *zoneLimits) excludeChosenZone() { z.leftByZone[z.chosenZone], z.chosenZone = 0, "" }

// isZoneExhausted reports whether nothing can be rented at present in the zone chosen for
// tasks that have to be in the same zone.
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

// suitsJob reports whether a machine may be used for a job. A job that needs no GPUs and
// is not urgent must not be what keeps a GPU machine rented.
func suitsJob(job *model.JobState, candidate *candidateMachine) bool {
	return candidate.size.GPUs == 0 || job.Request.GPUs > 0 || job.Priority >= model.HighPriority || candidate.machine != nil && candidate.machine.Used.GPUs > 0
}
