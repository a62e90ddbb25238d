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
func Accepted(code int, ref, status string) Answer { return state(code, ref, status, nil) }

// State renders the state of a job in answer to a poll.
func State(ref, status string, done, running int) Answer {
	return state(200, ref, status, &[2]int{done, running})
}

func state(code int, ref, status string, counts *[2]int) Answer {
	out := struct {
		Ref     string `json:"ref"`
		Status  string `json:"status"`
		Done    *int   `json:"done,omitempty"`
		Running *int   `json:"running,omitempty"`
	}{Ref: ref, Status: status}
	if counts != nil {
		out.Done, out.Running = &counts[0], &counts[1]
	}
	b, err := json.Marshal(out)
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
	Withdraw
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
		return Withdraw, ref
	}
	return None, ""
}
