package placement

import "woadweir/internal/core/model"

// limitPreemption is what of a team's limit a preemption can free.
type limitPreemption struct {
	// left is what is left of the limit, negative if it is exceeded, once tasks that are
	// being stopped are gone.
	left model.Resources
	// victims are the team's tasks that may be preempted, least loss first.
	victims []*model.Binding
}

// preemptWithinTeam serves a gang that its team's limit keeps waiting. When it is late,
// tasks of its own team and of lower priority are stopped for it. It does so only for the
// first gang: the next may not find machines for a long time, and the team's other work
// would use up the limit again meanwhile.
func (r *Round) preemptWithinTeam(gang *model.JobState) {
	if r.Teams[gang.Team] == nil || len(gang.Bindings) > 0 || len(gang.Waiting) != gang.Tasks {
		return
	}
	first := r.reserveLimit(gang)
	if !first || !r.Preempting || !r.waitedLongEnough(gang) {
		return
	}
	for _, victim := range r.findLimitPreemption(gang).chooseVictims() {
		r.Executor.Stop(victim, "limit of "+gang.Team+" for "+gang.ID)
	}
}

// findLimitPreemption finds what of its team's limit a preemption can free for a gang, for which it
// is reserved already.
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

// chooseVictims chooses victims until the limit is kept; none if it can't be.
func (p limitPreemption) chooseVictims() (chosen []*model.Binding) {
	left := p.left
	for _, victim := range p.victims {
		if withinLimit(left) {
			break
		}
		if left.Cores >= 0 && victim.Job.Request.GPUs == 0 {
			continue // only GPUs are missing
		}
		left = left.Plus(victim.Job.Request)
		chosen = append(chosen, victim)
	}
	if !withinLimit(left) {
		return nil
	}
	return chosen
}

// withinLimit tells that what is left of a limit shows it to be kept. Memory is not
// limited.
func withinLimit(left model.Resources) bool { return left.Cores >= 0 && left.GPUs >= 0 }
