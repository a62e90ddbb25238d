package model

// Binding is a task bound to a machine. It lasts from the decision to bind the task until
// there is proof that the task is not on the machine any more.
type Binding struct {
	ID      TaskID
	Attempt uint64
	Job     *Job
	Machine *Machine
	Version uint64 // first version of the machine's record that contains the binding
	Status  TaskState
	// SentIncarnation and SentSequence identify the heartbeat whose response was the last to
	// carry the start command; both are 0 if this process never sent it.
	SentIncarnation, SentSequence uint64
	Reported                      bool   // a heartbeat with our fencing token has shown the task
	BoundAt                       Micros // when the task was bound
	RunningSince                  Micros // when the task was first seen running, 0 if not yet
	ExpectedFetch                 Micros // estimate, made when the task was bound, of the time to fetch its image
	Stopping                      bool   // the task is to be stopped
	StopGrace                     Micros // grace period of that stop
	StopDecidedAt                 Micros // when the stop was decided
	StopSentAt                    Micros // when the stop command was first sent
}
