package model

// The status of a job, as reported to users. The final ones are stored when the job ends.
const (
	JobPending   = "pending"   // no task runs
	JobRunning   = "running"   // a task is bound
	JobDone      = "done"      // all tasks are done; final
	JobCancelled = "withdrawn" // final
)
