package autoscaler

import "woadweir/internal/core/model"

// scarceFor is how long after a refusal spot machines count as scarce.
const scarceFor = 60 * model.Second

// markSurplus finds the ordinary machines without a task or placeholder that needs one.
// There are none as long as some work that may use spot machines can't have any: ordinary
// machines are then what it runs on.
func (l *Provisioner) markSurplus(in *Input, candidates []*candidateMachine) {
	if len(in.OrdinarySizes) == 0 {
		return
	}
	for _, size := range in.FlexibleSizes {
		if l.spotScarce(in, &model.Job{Request: size, AllowsSpot: true}) {
			return
		}
	}
	for _, candidate := range candidates {
		candidate.surplus = candidate.ordinary() && !candidate.needed && len(candidate.placeholders) == 0
	}
}

// placeFlexible puts tasks that may use spot machines on machines. Surplus machines are
// used only where no spot machine could be had lately.
func (l *Provisioner) placeFlexible(in *Input, candidates []*candidateMachine, waiting []Demand) (unplaced []unplacedTasks) {
	var others []*candidateMachine
	for _, candidate := range candidates {
		if !candidate.surplus {
			others = append(others, candidate)
		}
	}
	for _, tasks := range placeWaiting(others, waiting, true) {
		if l.spotScarce(in, tasks.demand.Job.Job) {
			tasks.count -= placeOnSurplus(candidates, tasks)
		}
		if tasks.count > 0 {
			unplaced = append(unplaced, tasks)
		}
	}
	for _, candidate := range candidates {
		candidate.surplus = candidate.surplus && !candidate.used
	}
	return unplaced
}

// placeOnSurplus puts tasks on surplus machines and returns how many have found room.
func placeOnSurplus(candidates []*candidateMachine, tasks unplacedTasks) (placed int) {
	for _, candidate := range candidates {
		if !candidate.surplus {
			continue
		}
		if fits := tasks.zones.count(candidate, tasks.count-placed); fits > 0 {
			tasks.zones.take(candidate, fits)
			placed += fits
			candidate.used = true
		}
	}
	return placed
}

// spotScarce tells that a job could not have a spot machine lately.
func (l *Provisioner) spotScarce(in *Input, job *model.Job) bool {
	for name, machineType := range in.MachineTypes {
		if !job.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			until, refused := l.refused[Offer{name, zone, true}]
			if job.Allows(name, zone, true) && (!refused || in.Now >= until-l.Params.RefusedPause+scarceFor) {
				return false
			}
		}
	}
	return true
}
