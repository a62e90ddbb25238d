package model

// Versions counts the changes of a record, and tells which is durable.
type Versions struct{ Current, Stored uint64 }

// JobState is a job as the leader knows it, with what has become of its tasks.
type JobState struct {
	*Job

	// Its tasks. Waiting are those that are neither bound nor done, ascending.
	Waiting  []int
	Bindings map[int][]*Binding // by task, old attempts included
	Done     TaskSet
	// DoneVersions are the versions of Done, by part: one if it is stored as a whole.
	DoneVersions []Versions

	// Its end.
	FinalStatus string // JobDone or JobCancelled once that is durable, else ""
	EndPending  bool   // all tasks are done: the end is to be written

	// Attempts of a gang.
	Attempt       uint64
	AttemptFailed bool // the attempt is to be ended before the next begins

	// What has happened to it.
	Failures
	NotBefore  Micros // no task of it is bound before
	ReadySince Micros // since when all that it awaits is done
	HasRun     bool   // a task of it has run
	IdleSince  Micros // since when nothing of it is bound
	// UnknownToWorkers tells that a worker has refused to start it, as it found no
	// description of the job.
	UnknownToWorkers bool

	// Lending between cells.
	// Suspended tells that no task of it may be bound or started now: it is lent to another
	// cell, or lent by one without a right to run it.
	Suspended bool
	// HomeCell is the cell that has lent it, "": it is a job of this one. Confirmed are then
	// the finished tasks that its home has stored.
	HomeCell  string
	Confirmed TaskSet

	// The estimates of the last placement round.
	WithinGuarantee  bool // within its team's guarantee
	CanMeetGuarantee bool // and can still start in the time that such work is to start in
	Starved          bool // it has waited too long to begin
	// LateIfTaskLost tells that it misses an objective if one of its tasks has to begin anew.
	LateIfTaskLost bool
	HasPreempted   bool // others have been preempted to make room for it
	DueAt          Micros
}

// BindingCount is the number of bound tasks, old attempts included.
func (j *JobState) BindingCount() int {
	n := 0
	for _, b := range j.Bindings {
		n += len(b)
	}
	return n
}
