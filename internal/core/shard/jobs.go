package shard

import "woadweir/internal/core/model"

// AddJob adds a job that has been ready for the given age, with the tasks that are done
// already. It returns the existing job if the job is known. If finalStatus is not empty,
// the job has ended.
func (s *State) AddJob(spec *model.Job, done model.TaskSet, finalStatus string, now, age model.Micros) *model.JobState {
	if job := s.Jobs[spec.ID]; job != nil {
		return job
	}
	job := &model.JobState{
		Job:          spec,
		Done:         done,
		DoneVersions: make([]model.Versions, 1),
		FinalStatus:  finalStatus,
		Bindings:     map[int][]*model.Binding{},
		ReadySince:   now - age,
		IdleSince:    now - age,
	}
	if s.needsParts(spec) && finalStatus == "" {
		// The finished tasks may be stored as a whole set that is too large to be rewritten.
		s.storeInParts(job)
	}
	if finalStatus == "" {
		job.Waiting = make([]int, 0, spec.Tasks-done.Len())
		for i := range spec.Tasks {
			if !done.Has(i) {
				job.Waiting = append(job.Waiting, i)
			}
		}
		if done.Len() >= spec.Tasks {
			s.requestEnd(job)
		}
	}
	s.Jobs[spec.ID] = job
	s.NeedsPlacement = true
	s.Log(Event{Kind: EventJob, Task: spec.ID, Reason: spec.Class + " of " + spec.Team})
	return job
}

// EndJob marks a job as ended, once its end is durable, and stops its tasks.
func (s *State) EndJob(jobID, status string, now model.Micros) {
	job := s.Jobs[jobID]
	if job == nil || job.FinalStatus != "" {
		return
	}
	job.FinalStatus, job.EndPending, job.Waiting = status, false, nil
	for _, bindings := range job.Bindings {
		for _, b := range bindings {
			s.stop(b, 0, "job "+status, now)
		}
	}
	s.removeIfEnded(job)
}

// removeIfEnded removes an ended job once none of its tasks is bound. Its end remains in
// the state service permanently.
func (s *State) removeIfEnded(job *model.JobState) {
	if job.FinalStatus != "" && len(job.Bindings) == 0 {
		delete(s.Jobs, job.ID)
	}
}

// requestEnd queues the end of a job whose tasks are done, so that it is written.
func (s *State) requestEnd(job *model.JobState) {
	if job.FinalStatus == "" && !job.EndPending {
		job.EndPending = true
		job.Waiting = nil
		if job.HomeCell == "" { // the end of a borrowed job is written by its home cell
			s.pendingEnds = append(s.pendingEnds, job.ID)
		}
	}
}
