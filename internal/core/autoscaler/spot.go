package autoscaler

import "woadweir/internal/core/model"

// spotScarcityPeriod is how long spot machines count as scarce after a refusal.
const spotScarcityPeriod = 60 * model.Second

// markSurplus marks the on-demand machines without a task or placeholder that needs an
// on-demand machine. None are surplus while spot machines are scarce for some
// spot-tolerant work, because that work then runs on on-demand machines.
func (p *Provisioner) markSurplus(in *Input, candidates []*candidateMachine) {
	if len(in.OnDemandSizes) == 0 {
		return
	}
	for _, size := range in.SpotTolerantSizes {
		if p.isSpotScarce(in, &model.Job{Request: size, AllowsSpot: true}) {
			return
		}
	}
	for _, candidate := range candidates {
		candidate.surplus = candidate.isOnDemand() && !candidate.runsOnDemandTask && len(candidate.placeholders) == 0
	}
}

// placeSpotTolerant assigns spot-tolerant tasks to machines. It uses surplus machines only
// for jobs for which spot machines are scarce.
func (p *Provisioner) placeSpotTolerant(in *Input, candidates []*candidateMachine, waiting []Demand) (unplaced []unplacedTasks) {
	var others []*candidateMachine
	for _, candidate := range candidates {
		if !candidate.surplus {
			others = append(others, candidate)
		}
	}
	for _, tasks := range placeWaiting(others, waiting, true) {
		if p.isSpotScarce(in, tasks.demand.Job.Job) {
			tasks.count -= placeOnSurplus(candidates, tasks)
		}
		if tasks.count > 0 {
			unplaced = append(unplaced, tasks)
		}
	}
	for _, candidate := range candidates {
		candidate.surplus = candidate.surplus && !candidate.assigned
	}
	return unplaced
}

// placeOnSurplus assigns tasks to surplus machines and returns how many it assigned.
func placeOnSurplus(candidates []*candidateMachine, tasks unplacedTasks) (placed int) {
	for _, candidate := range candidates {
		if !candidate.surplus {
			continue
		}
		if fits := tasks.zones.fittingTasks(candidate, tasks.count-placed); fits > 0 {
			tasks.zones.assign(candidate, fits)
			placed += fits
			candidate.assigned = true
		}
	}
	return placed
}

// isSpotScarce reports whether the cloud has recently refused every spot offer that suits a
// job.
func (p *Provisioner) isSpotScarce(in *Input, job *model.Job) bool {
	for name, machineType := range in.MachineTypes {
		if !job.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			until, refused := p.refusedUntil[Offer{name, zone, true}]
			if job.Allows(name, zone, true) && (!refused || in.Now >= until-p.Params.RefusedPause+spotScarcityPeriod) {
				return false
			}
		}
	}
	return true
}
