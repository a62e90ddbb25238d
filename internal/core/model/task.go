package model

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the id in the form "j-000412/3".
func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// ParseTaskID parses the form "j-000412/3", and reports whether s has it.
func ParseTaskID(s string) (TaskID, bool) {
	job, number, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, false
	}
	index, err := strconv.Atoi(number)
	return TaskID{job, index}, err == nil && index >= 0
}

// TaskState is the state of a bound task, as its worker last reported it.
type TaskState uint8

// The states of a task. A task is Unreported until a heartbeat has shown it.
const (
	Unreported TaskState = iota
	Fetching
	WaitingForGang
	Running
	Saving
	Exited
)
