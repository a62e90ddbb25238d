// Package userapi names the users' requests and renders their answers.
package userapi

import (
	"encoding/json"
	"strings"
)

// Answer is a response to a user.
type Answer struct {
	Code       int
	Body       []byte
	RetryAfter int // seconds, 0: no header
	// Helper names another controller that can answer instead, when this one
	// does not reach the state service.
	Helper string
}

// Error renders a failure.
func Error(code int, why string, retryAfter int) Answer {
	b, err := json.Marshal(map[string]string{"error": why})
	if err != nil {
		panic(err)
	}
	return Answer{Code: code, Body: b, RetryAfter: retryAfter}
}

// Accepted renders the state of a job in answer to a submission.
func Accepted(code int, ref, status string) Answer {
	return render(code, jobBody{Ref: ref, Status: status})
}

// State renders the state of a job in answer to a poll. failedMachines is on how many
// machines a job has failed that fails everywhere; users ignore the field if they do not
// know it.
func State(ref, status string, done, running, failedMachines int) Answer {
	return render(200, jobBody{Ref: ref, Status: status, Done: &done, Running: &running, FailedMachines: failedMachines})
}

// jobBody is what users are told of a job.
type jobBody struct {
	Ref            string `json:"ref"`
	Status         string `json:"status"`
	Done           *int   `json:"done,omitempty"`
	Running        *int   `json:"running,omitempty"`
	FailedMachines int    `json:"failedMachines,omitempty"`
}

func render(code int, body jobBody) Answer {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Answer{Code: code, Body: b}
}

// Route is what a user's request is about.
type Route uint8

// The users' requests.
const (
	None Route = iota
	Submit
	Poll
	Cancel
	Up
)

// Parse finds out what a request is about.
func Parse(method, path string) (Route, string) {
	switch {
	case path == "/up" && method == "GET":
		return Up, ""
	case path == "/work" && method == "POST":
		return Submit, ""
	}
	rest, ok := strings.CutPrefix(path, "/work/")
	if !ok {
		return None, ""
	}
	if method == "GET" && rest != "" && !strings.Contains(rest, "/") {
		return Poll, rest
	}
	if ref, ok := strings.CutSuffix(rest, "/withdraw"); ok && method == "POST" && ref != "" {
		return Cancel, ref
	}
	return None, ""
}
