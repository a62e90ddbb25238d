package shard

import (
	"woadweir/internal/core/model"
)

// bootTimeFactor is the multiple of its boot time within which a rented machine is
// expected to come up.
const bootTimeFactor = 2

// isBooting reports whether a machine was rented recently and is expected to come up.
func (s *State) isBooting(m *model.Machine, now model.Micros) bool {
	machineType := s.MachineTypes[m.MachineType]
	return !m.Up && !m.Failed && machineType != nil && now-m.RentedAt < bootTimeFactor*model.Seconds(machineType.BootS)
}

// HasCapacityFor reports whether the given number of further tasks of a job fits now on the
// machines that are up, leaving the fraction headroom of their cores free.
func (s *State) HasCapacityFor(job *model.Job, tasks int, headroom float64) bool {
	return s.hasCapacity(job, tasks, headroom, func(m *model.Machine) bool { return m.Up && m.ReceivesResponses })
}

// HasCapacitySoonFor reports whether the given number of further tasks of a job fits on the
// machines that are up or booting, without headroom.
func (s *State) HasCapacitySoonFor(job *model.Job, tasks int, now model.Micros) bool {
	return s.hasCapacity(job, tasks, 0, func(m *model.Machine) bool { return m.Up && m.ReceivesResponses || s.isBooting(m, now) })
}

// hasCapacity reports whether the given number of further tasks of a job fits on the usable
// machines, leaving the fraction headroom of their cores free.
func (s *State) hasCapacity(job *model.Job, tasks int, headroom float64, usable func(m *model.Machine) bool) bool {
	var total, free model.Resources
	byZone := map[string]int{}
	for _, m := range s.Machines {
		if !usable(m) || m.Lost || m.Deleting || m.Draining || m.Quarantined || m.SpotNotice {
			continue
		}
		total = total.Plus(m.Size)
		free = free.Plus(m.Free())
		if job.Allows(m.MachineType, m.Zone, m.Spot) {
			byZone[m.Zone] += job.Request.FitCount(m.Free(), tasks)
		}
	}
	freeAfter := free.Minus(job.Request.Times(tasks))
	if float64(freeAfter.Cores) < headroom*float64(total.Cores) {
		return false
	}
	sum := 0
	for _, n := range byZone {
		n = min(n, job.MaxPerZone())
		if job.SameZone && n >= tasks {
			return true
		}
		sum += n
	}
	return !job.SameZone && sum >= tasks
}

// WithinLimit reports whether the given number of further tasks of a job is within the
// limit of its team.
func (s *State) WithinLimit(job *model.Job, tasks int) bool {
	team := s.Params.Teams[job.Team]
	return team != nil && team.WithinLimit(s.Used[job.Team].Plus(job.Request.Times(tasks)))
}

// OwnWorkWaits reports whether a job of this cell has waited for longer than maxWait, and
// only lacks machines to start.
func (s *State) OwnWorkWaits(maxWait, now model.Micros) bool {
	for _, job := range s.Jobs {
		if job.HomeCell != "" || job.Suspended || job.FinalStatus != "" || len(job.Waiting) == 0 || now < job.NotBefore {
			continue
		}
		minTasks := 1
		if job.Kind == model.Gang {
			minTasks = len(job.Waiting)
		}
		if now-max(job.ReadySince, job.IdleSince) > maxWait && s.WithinLimit(job.Job, minTasks) {
			return true
		}
	}
	return false
}
