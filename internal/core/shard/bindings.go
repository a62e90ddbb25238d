package shard

import (
	"slices"

	"woadweir/internal/core/model"
)

// Restore adds a binding that an earlier owner of the shard made durable.
func (s *State) Restore(job *model.JobState, index int, attempt uint64, m *model.Machine) {
	b := s.addBinding(job, index, m, attempt, m.LastResponse)
	b.Version = m.DurableVersion
	m.Stored = true
	if job.Kind == model.Gang && attempt > job.Attempt {
		job.Attempt = attempt
	}
}

// addBinding adds a binding to its job and its machine, and counts its resources as
// used by the machine and the team.
func (s *State) addBinding(job *model.JobState, index int, machine *model.Machine, attempt uint64, now model.Micros) *model.Binding {
	id := model.TaskID{Job: job.ID, Index: index}
	binding := &model.Binding{ID: id, Attempt: attempt, Job: job.Job, Machine: machine, BoundAt: now}
	machine.Bindings[id] = binding
	addRecordBytes(binding, 1)
	job.Bindings[index] = append(job.Bindings[index], binding)
	if i, ok := slices.BinarySearch(job.Waiting, index); ok {
		job.Waiting = slices.Delete(job.Waiting, i, i+1)
	}
	machine.Used = machine.Used.Plus(job.Request)
	s.Used[job.Team] = s.Used[job.Team].Plus(job.Request)
	s.estimateImageFetch(binding, now)
	return binding
}

// estimateImageFetch records when the image of a newly bound task is expected to be on
// the machine.
func (s *State) estimateImageFetch(binding *model.Binding, now model.Micros) {
	machine, job := binding.Machine, binding.Job
	machineType := s.MachineTypes[machine.MachineType]
	if machineType == nil {
		return
	}
	if !machine.HasImage(job.Image) && machineType.FetchGBps > 0 {
		if machine.ReadyAt == nil {
			machine.ReadyAt = map[string]model.Micros{}
		}
		fetchStart := now + max(s.Params.HeartbeatInterval/2, machine.FetchTimeLeft(now))
		machine.ReadyAt[job.Image] = fetchStart + model.Seconds(job.ImageGB/machineType.FetchGBps)
	}
	binding.ExpectedFetch = max(0, machine.ReadyAt[job.Image]-now)
	machine.TouchImage(job.Image, job.ImageGB, machineType.CacheGB)
}

// bind binds a task to a machine. The start command may be sent only once the record of
// the machine is durable.
func (s *State) bind(job *model.JobState, index int, machine *model.Machine, attempt uint64, now model.Micros) {
	binding := s.addBinding(job, index, machine, attempt, now)
	s.markChanged(machine)
	binding.Version = machine.Version
	if job.Kind == model.Gang {
		job.Attempt, job.AttemptFailed = attempt, false
	}
	s.Log(Event{Kind: EventBind, Machine: machine.ID, Task: binding.ID.String(), Attempt: attempt})
}

// unbind removes a binding. The caller must have proof that the attempt is not on the
// machine and can never start there.
func (s *State) unbind(binding *model.Binding, proof string, now model.Micros) {
	machine := binding.Machine
	if machine.Bindings[binding.ID] != binding {
		return
	}
	delete(machine.Bindings, binding.ID)
	addRecordBytes(binding, -1)
	machine.Used = machine.Used.Minus(binding.Job.Request)
	machine.HasNewCapacity = true
	if len(machine.Bindings) == 0 {
		machine.EmptySince = now
	}
	s.Used[binding.Job.Team] = s.Used[binding.Job.Team].Minus(binding.Job.Request)
	job := s.Jobs[binding.ID.Job]
	removeFromJob(job, binding, now)
	if !job.Done.Has(binding.ID.Index) || job.FinalStatus != "" {
		// The task may be bound to another machine next. The removal has to be durable
		// before that binding, and the queue preserves this order. A completed task is
		// never bound again, so its removal can wait for the next write of the record.
		s.markChanged(machine)
	}
	s.Log(Event{Kind: EventUnbind, Machine: machine.ID, Task: binding.ID.String(), Attempt: binding.Attempt, Reason: proof})
	if job.Kind == model.Gang && job.FinalStatus == "" && !job.EndPending && len(job.Bindings) > 0 && !job.AttemptFailed {
		s.failGangAttempt(job, "gang member "+binding.ID.String()+" is gone", now)
	}
	s.NeedsPlacement = true
	s.removeIfEnded(job)
}

// removeFromJob removes a binding from its job. A task without any binding left is
// waiting again unless it is done.
func removeFromJob(job *model.JobState, binding *model.Binding, now model.Micros) {
	index := binding.ID.Index
	remaining := slices.DeleteFunc(job.Bindings[index], func(other *model.Binding) bool { return other == binding })
	if len(remaining) > 0 {
		job.Bindings[index] = remaining
		return
	}
	delete(job.Bindings, index)
	job.IdleSince = now
	if job.FinalStatus != "" || job.Done.Has(index) {
		return
	}
	if i, ok := slices.BinarySearch(job.Waiting, index); !ok {
		job.Waiting = slices.Insert(job.Waiting, i, index)
	}
}

// stop marks a bound task to be stopped. If it is marked already, the grace period can
// only be shortened.
func (s *State) stop(binding *model.Binding, grace model.Micros, reason string, now model.Micros) {
	if binding.Stopping && grace >= binding.StopGrace {
		return
	}
	if !binding.Stopping {
		binding.StopDecidedAt = now
		s.Log(Event{Kind: EventStop, Machine: binding.Machine.ID, Task: binding.ID.String(), Attempt: binding.Attempt, Reason: reason})
	}
	binding.Stopping, binding.StopGrace = true, grace
}

// stopBeforeReclaim stops the tasks on a spot machine that is about to be reclaimed, if
// they would not finish in time. Tasks with checkpoints save their state, the others
// start from the beginning on another machine.
func (s *State) stopBeforeReclaim(machine *model.Machine, now model.Micros) {
	s.Log(Event{Kind: EventReclaim, Machine: machine.ID})
	timeLeft := machine.ReclaimedAt - now
	for _, binding := range machine.Bindings {
		job := s.Jobs[binding.ID.Job]
		if job.Kind == model.Gang {
			for _, bindings := range job.Bindings {
				for _, member := range bindings {
					s.stop(member, s.stopGrace(job, timeLeft), "spot notice", now)
				}
			}
			job.AttemptFailed = true
			continue
		}
		remaining := s.Remaining(binding, now)
		if binding.Status == model.Running && (remaining < timeLeft || job.CheckpointInterval == 0 && remaining < timeLeft*3/2) {
			continue
		}
		s.stop(binding, s.stopGrace(job, timeLeft), "spot notice", now)
	}
}

// stopGrace returns the time that a task of the job gets to save its state if the
// machine will be gone after timeLeft.
func (s *State) stopGrace(job *model.JobState, timeLeft model.Micros) model.Micros {
	if job.CheckpointInterval == 0 || timeLeft < job.SaveTime {
		return 0
	}
	return max(job.SaveTime, timeLeft-model.Second)
}

// MachineDeleted removes a machine whose deletion the cloud has confirmed, with all its
// bindings.
func (s *State) MachineDeleted(machineID, proof string, now model.Micros) {
	machine := s.Machines[machineID]
	if machine == nil {
		return
	}
	for _, binding := range machine.Bindings {
		s.unbind(binding, proof, now)
	}
	delete(s.Machines, machineID)
	if machine.Stored || machine.Version > 0 {
		s.enqueue(MachineEntry + machineID)
	}
}

// LeaseExpiry returns the time after the last possible response within which a worker
// has certainly killed all its tasks. It allows for a clock drift of 1/500.
func (s *State) LeaseExpiry() model.Micros {
	return s.Params.WorkerLease + s.Params.WorkerLease/500 + s.Params.LeaseMargin
}

// Tick removes the bindings of machines whose lease has certainly expired, and fails
// gang attempts that have not started in time.
func (s *State) Tick(now model.Micros) {
	for _, machine := range s.Machines {
		if now-machine.LastResponse <= s.LeaseExpiry() {
			continue
		}
		for _, b := range machine.Bindings {
			s.unbind(b, "worker lease expired", now)
		}
		if machine.Up && !machine.Lost {
			machine.Lost = true
			s.Log(Event{Kind: EventLost, Machine: machine.ID})
		}
	}
	for _, job := range s.Jobs {
		s.checkGang(job, now)
	}
	// Jobs become late as time passes, without any other event.
	s.NeedsPlacement = true
}

// StopSuperseded is called once all bindings are restored after a takeover. It stops the
// bindings of ended jobs, and the older attempts of tasks that are bound more than once:
// the earlier owner had proof that these attempts were gone, but had not written their
// removal. They must never be started again in parallel with the newest attempt.
func (s *State) StopSuperseded() {
	for _, job := range s.Jobs {
		for _, bindings := range job.Bindings {
			newest := uint64(0)
			for _, b := range bindings {
				newest = max(newest, b.Attempt)
			}
			for _, b := range bindings {
				switch {
				case job.FinalStatus != "":
					s.stop(b, 0, "job "+job.FinalStatus, b.Machine.LastResponse)
				case b.Attempt < newest:
					s.stop(b, 0, "a newer attempt is bound", b.Machine.LastResponse)
				}
			}
		}
		if job.Kind == model.Gang && len(job.Bindings) > 0 && len(job.Bindings) < job.Tasks && job.FinalStatus == "" {
			s.failGangAttempt(job, "gang attempt is incomplete", 0)
		}
		s.removeIfEnded(job)
	}
	s.refreshOldestAttempt()
}

// MaxHeartbeatGap returns the time after a heartbeat by which the next one should have
// arrived: workers send them at every interval, with a jitter of a quarter of it.
func (s *State) MaxHeartbeatGap() model.Micros { return s.Params.HeartbeatInterval*5/4 + model.Second }

// Drain stops the tasks on a machine so that they start again on other machines, and the
// machine can be returned to the cloud.
func (s *State) Drain(m *model.Machine, now model.Micros) {
	m.Draining = true
	for _, b := range m.Bindings {
		s.stop(b, s.stopGrace(s.Jobs[b.ID.Job], b.Job.SaveTime+model.Second), "moved to other machines", now)
	}
}
