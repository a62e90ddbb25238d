package model

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the form "j-000412/3".
func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// ParseTaskID reads "j-000412/3".
func ParseTaskID(s string) (TaskID, bool) {
	job, n, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, false
	}
	i, err := strconv.Atoi(n)
	return TaskID{job, i}, err == nil && i >= 0
}

// TaskState is the state of a bound task, as its worker last reported it.
type TaskState uint8

// The states of a task. Unreported means that no heartbeat has shown it yet.
const (
	Unreported TaskState = iota
	Fetching
	WaitingForGang
	Running
	Saving
	Exited
)
