package model

// The status of a job as users are told, and as the end of a job is stored.
const (
	JobPending   = "pending"   // no task runs
	JobRunning   = "running"   // a task is bound
	JobDone      = "done"      // all tasks are done; final
	JobCancelled = "withdrawn" // final
)
