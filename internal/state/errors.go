package state

import (
	"errors"
	"fmt"
)

// Errors of requests to the state service. The comments give the HTTP status and whether the
// request was executed.
var (
	ErrBusy      = errors.New("state service: too many requests")                      // 429: not executed
	ErrRefused   = errors.New("state service: refused")                                // 503: not executed
	ErrLost      = errors.New("state service: no response")                            // may have been executed, or may still be
	ErrCompacted = errors.New("state service: revision too old")                       // 410
	ErrNoLease   = errors.New("state service: no such lease")                          // 400: not executed
	ErrTooBig    = errors.New("state service: value or transaction beyond its limits") // 400: not executed
	ErrMissing   = errors.New("state service: not found")                              // 404
)

// StatusError reports an HTTP status that the state service's protocol does not define for the
// request.
type StatusError struct{ Code int }

// Error returns a text with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: unexpected status %d", e.Code)
}

// NotExecuted reports whether an error means that the request was certainly not executed, and will
// not be.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrBusy) || errors.Is(err, ErrRefused) || errors.Is(err, ErrTooBig) || errors.Is(err, ErrNoLease)
}

// ErrLayout matches every RecordError. A controller that ignored an unreadable record could lose
// an accepted job or start a task twice.
var ErrLayout = errors.New("record of another layout")

// RecordError reports a record that this version does not write and can't decode.
type RecordError struct {
	Key    string
	Detail string // what is wrong with it, empty if its key or state is unknown
	Cause  error  // error of the JSON decoder, nil if the JSON was well-formed
}

// Error returns a text with the key and what is wrong with its value.
func (e *RecordError) Error() string {
	text := ErrLayout.Error() + ": " + e.Key
	if e.Detail != "" {
		text += " " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Is makes errors.Is match ErrLayout.
func (e *RecordError) Is(target error) bool { return target == ErrLayout }

// Unwrap returns the error of the JSON decoder.
func (e *RecordError) Unwrap() error { return e.Cause }
