package model

// Binding is a task bound to a machine: from the decision until there is proof that
// it is gone.
type Binding struct {
	ID      TaskID
	Attempt uint64
	Job     *Job
	Machine *Machine
	Version uint64 // version of the machine's record that first holds it
	Status  TaskState
	// SentIncarnation and SentTally name the report whose response last carried the
	// start; both 0 if this process never sent it.
	SentIncarnation, SentSequence uint64
	Reported                      bool   // a report under our token has shown it
	BoundAt                       Micros // when it was bound
	RunningSince                  Micros // first seen running, 0 if not yet
	ExpectedFetch                 Micros // how long its image was thought to take when it was bound
	Stopping                      bool   // it is to be stopped
	StopGrace                     Micros // grace of that stop
	StopDecidedAt                 Micros // when the stop was decided
	StopSentAt                    Micros // when it was first sent
	StopReason                    string // why it is stopped
}
