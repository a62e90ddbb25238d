// Package userapi routes the users' HTTP requests and encodes the responses to them.
package userapi

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Answer is a response to a user.
type Answer struct {
	Code       int
	Body       []byte
	RetryAfter int // in seconds, 0 for no Retry-After header
	// ForwardTo is the name of another controller that can answer instead, if this one does
	// not reach the state service.
	ForwardTo string
}

// Error returns the response to a request that failed. retryAfter is the number of seconds
// after which the user may retry, or 0 to leave it out.
func Error(code int, reason string, retryAfter int) Answer {
	answer := encode(code, errorBody{reason})
	answer.RetryAfter = retryAfter
	return answer
}

// Accepted returns the response to a submission or cancellation.
func Accepted(code int, jobID, status string) Answer {
	return encode(code, jobBody{ID: jobID, Status: status})
}

// JobStatus returns the response to a poll. For a job that fails on every machine,
// failedMachines is the number of machines on which it has failed, otherwise 0. Clients that
// do not know this field ignore it.
func JobStatus(jobID, status string, done, running, failedMachines int) Answer {
	return encode(http.StatusOK, jobBody{ID: jobID, Status: status, Done: &done, Running: &running, FailedMachines: failedMachines})
}

// The JSON names below are those of the users' protocol, where a ref is the ID of a job.

// jobBody is the status of a job in a response. Done and Running are nil in responses
// without the numbers of tasks.
type jobBody struct {
	ID             string `json:"ref"`
	Status         string `json:"status"`
	Done           *int   `json:"done,omitempty"`
	Running        *int   `json:"running,omitempty"`
	FailedMachines int    `json:"failedMachines,omitempty"`
}

type errorBody struct {
	Error string `json:"error"`
}

// encode returns a response with a JSON body. It panics if the body can't be encoded, which
// is impossible for the types above.
func encode(code int, body any) Answer {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Answer{Code: code, Body: encoded}
}

// Route is the kind of a user's request.
type Route uint8

// The routes.
const (
	None        Route = iota // no such request
	Submit                   // submits a job
	Poll                     // reads the status of a job
	Cancel                   // cancels a job
	HealthCheck              // the load balancer's health check
)

// The paths of the users' protocol, where work is a job and withdraw cancels it.
const (
	healthPath   = "/up"
	jobsPath     = "/work"
	jobPrefix    = jobsPath + "/"
	cancelSuffix = "/withdraw"
)

// Parse returns the route of a request and, for Poll and Cancel, the ID of the job.
func Parse(method, path string) (route Route, jobID string) {
	switch {
	case path == healthPath && method == http.MethodGet:
		return HealthCheck, ""
	case path == jobsPath && method == http.MethodPost:
		return Submit, ""
	}
	jobPath, ok := strings.CutPrefix(path, jobPrefix)
	if !ok {
		return None, ""
	}
	if method == http.MethodGet && jobPath != "" && !strings.Contains(jobPath, "/") {
		return Poll, jobPath
	}
	if jobID, ok := strings.CutSuffix(jobPath, cancelSuffix); ok && method == http.MethodPost && jobID != "" {
		return Cancel, jobID
	}
	return None, ""
}
