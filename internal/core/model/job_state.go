package model

// Versions counts the changes of a record. Current is the version in memory, Stored the
// latest one that is durable.
type Versions struct{ Current, Stored uint64 }

// JobState is a job as the leader knows it, with the state of its tasks.
type JobState struct {
	*Job

	// Tasks.
	Waiting  []int              // tasks that are neither bound nor done, ascending
	Bindings map[int][]*Binding // by task, earlier attempts included
	Done     TaskSet
	// DoneVersions are the versions of Done by part, or a single one if Done is stored as a
	// whole.
	DoneVersions []Versions

	// End of the job.
	FinalStatus string // JobDone or JobCancelled once that is durable, else ""
	EndPending  bool   // all tasks are done, and the end of the job is to be written

	// Attempts of a gang.
	Attempt       uint64
	AttemptFailed bool // the attempt has to be ended before the next one begins

	// History.
	Failures
	NotBefore  Micros // no task of the job is bound before this time
	ReadySince Micros // since when all jobs that it awaits are done
	HasRun     bool   // a task of the job has run
	IdleSince  Micros // since when no task of the job has been bound
	// UnknownToWorkers is set if a worker has refused to start the job because it found no
	// description of it.
	UnknownToWorkers bool

	// Lending between cells.
	// Suspended is set while no task of the job may be bound or started: the job is lent to
	// another cell, or borrowed from one without an execution lease.
	Suspended bool
	// HomeCell is the cell that the job is borrowed from, "" for a job of this cell.
	HomeCell string
	// Confirmed holds the finished tasks of a borrowed job that its home cell has stored.
	Confirmed TaskSet

	// Results of the last placement round.
	WithinGuarantee  bool   // the job is within its team's guarantee
	CanMeetGuarantee bool   // and it can still start within the guarantee objective
	Starved          bool   // the job has waited too long to start
	LateIfTaskLost   bool   // the job misses an objective if one of its tasks has to start over
	HasPreempted     bool   // tasks of other jobs have been preempted for the job
	OrderKey         Micros // jobs with a smaller key go first if all else is equal
}

// BindingCount returns the number of bound tasks, earlier attempts included.
func (j *JobState) BindingCount() int {
	count := 0
	for _, bindings := range j.Bindings {
		count += len(bindings)
	}
	return count
}
