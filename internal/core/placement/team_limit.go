package placement

import "woadweir/internal/core/model"

// limitPreemption describes how much of a team's limit preemption can free for a gang.
type limitPreemption struct {
	// left is what is left of the limit once tasks that are being stopped are gone, negative
	// if the limit is exceeded.
	left model.Resources
	// victims are the team's tasks that may be preempted, least loss first.
	victims []*model.Binding
}

// preemptWithinTeam serves a gang that has to wait because of its team's limit. Once the
// gang is late, tasks of its own team with lower priority are stopped for it. This is done
// only for the first gang of a team: the next one may not find machines for a long time,
// and the team's other work would use up the limit again in the meantime.
func (r *Round) preemptWithinTeam(gang *model.JobState) {
	if r.Teams[gang.Team] == nil || len(gang.Bindings) > 0 || len(gang.Waiting) != gang.Tasks {
		return
	}
	first := r.reserveLimit(gang)
	if !first || !r.Preempting || !r.waitedLongEnough(gang) {
		return
	}
	for _, victim := range r.findLimitPreemption(gang).chooseVictims() {
		r.Executor.Stop(victim, "preempted within the limit of team "+gang.Team+" for gang "+gang.ID)
	}
}

// findLimitPreemption finds out how much of its team's limit preemption can free for a gang.
// What the gang needs must have been reserved with reserveLimit.
func (r *Round) findLimitPreemption(gang *model.JobState) limitPreemption {
	preemption := limitPreemption{left: r.remainingLimit(gang.Team)}
	for _, machine := range r.Machines {
		for _, binding := range machine.Bindings {
			switch {
			case binding.Job.Team != gang.Team:
			case binding.Stopping:
				preemption.left = preemption.left.Plus(binding.Job.Request)
			case binding.Job.Priority < gang.Priority && binding.Job.Kind != model.Gang:
				preemption.victims = append(preemption.victims, binding)
			}
		}
	}
	r.sortByLoss(preemption.victims)
	return preemption
}

// chooseVictims chooses victims until the limit is kept, or none if it can't be kept.
func (p limitPreemption) chooseVictims() (chosen []*model.Binding) {
	left := p.left
	for _, victim := range p.victims {
		if withinLimit(left) {
			break
		}
		if left.Cores >= 0 && victim.Job.Request.GPUs == 0 {
			continue // only GPUs are missing, and the victim has none
		}
		left = left.Plus(victim.Job.Request)
		chosen = append(chosen, victim)
	}
	if !withinLimit(left) {
		return nil
	}
	return chosen
}

// withinLimit reports whether a limit is kept, given what is left of it. Memory is not
// limited.
func withinLimit(left model.Resources) bool { return left.Cores >= 0 && left.GPUs >= 0 }
