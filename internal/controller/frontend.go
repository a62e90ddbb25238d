package controller

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
	"woadweir/internal/peer"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// Timeouts of requests to the controller actor or to a sibling.
const (
	userWriteTimeout   = 4500 * time.Millisecond // a submission or a cancellation
	statusTimeout      = 1800 * time.Millisecond // a status read
	healthCheckTimeout = 900 * time.Millisecond
	forwardTimeout     = 1200 * time.Millisecond // a user's request forwarded to a sibling
	heartbeatTimeout   = 3500 * time.Millisecond
	relayTimeout       = 2500 * time.Millisecond // a heartbeat relayed to the leader
	// endSessionTimeout is how long the state service may take to end a session.
	endSessionTimeout = 2 * model.Second
)

// heartbeatPath is the path of workers' heartbeats.
const heartbeatPath = "/checkin"

// frontend serves the HTTP requests of users and workers, and the calls of the other
// controllers. It turns requests into messages to the controller actor, and the actor's
// replies into responses.
type frontend struct {
	mailbox chan<- any
	peers   []*peer.Client
	state   *state.Client
	ctx     context.Context
}

// serve handles an HTTP request.
func (f *frontend) serve(rc *fasthttp.RequestCtx) {
	method, path := string(rc.Method()), string(rc.Path())
	rc.SetContentType("application/json")
	if path == heartbeatPath && method == http.MethodPost {
		f.serveHeartbeat(rc)
		return
	}
	answer := f.User(method, path, rc.PostBody())
	if answer.ForwardTo != "" {
		answer = f.forward(answer, method, path, rc.PostBody())
	}
	writeAnswer(rc, answer)
}

// forward forwards a user's request to a sibling and returns its answer, or ours if the
// sibling does not answer.
func (f *frontend) forward(ours userapi.Answer, method, path string, body []byte) userapi.Answer {
	sibling := f.findPeer(ours.ForwardTo)
	if sibling == nil {
		return ours
	}
	ctx, cancel := context.WithTimeout(f.ctx, forwardTimeout)
	defer cancel()
	theirs, err := sibling.Forward(ctx, method, path, body)
	if err != nil {
		return ours
	}
	return theirs
}

// findPeer returns the client of the sibling with a name, or nil if there is none.
func (f *frontend) findPeer(name string) *peer.Client {
	for _, client := range f.peers {
		if client.Name == name {
			return client
		}
	}
	return nil
}

// Ping answers a sibling's ping.
func (f *frontend) Ping() (stateReached bool, workers int) {
	reply := make(chan pingReply, 1)
	answer, _ := ask(f.mailbox, msgPing{reply}, reply, healthCheckTimeout)
	return answer.stateReached, answer.workers
}

// EndSession ends a sibling's session at the sibling's request.
func (f *frontend) EndSession(id uint64) {
	if err := f.state.RevokeLease(id, endSessionTimeout); err != nil {
		slog.Info("could not end a sibling's session at its request", "id", id, "err", err)
	}
}

// User answers a user's request from this controller's own state, without forwarding it.
func (f *frontend) User(method, path string, body []byte) userapi.Answer {
	route, jobID := userapi.Parse(method, path)
	if (route == userapi.Poll || route == userapi.Cancel) && !model.ValidJobID(jobID) {
		return noSuchJob()
	}
	reply := make(chan userapi.Answer, 1)
	switch route {
	case userapi.HealthCheck:
		return f.healthCheck()
	case userapi.Submit:
		submission, jobID, err := model.ParseSubmission(body)
		if err != nil && jobID == "" {
			return userapi.Error(http.StatusBadRequest, err.Error(), 0)
		}
		return askUser(f.mailbox, msgSubmit{jobID, submission, err, reply}, reply, userWriteTimeout)
	case userapi.Poll:
		return askUser(f.mailbox, msgStatusRequest{jobID, reply}, reply, statusTimeout)
	case userapi.Cancel:
		return askUser(f.mailbox, msgCancel{jobID, reply}, reply, userWriteTimeout)
	}
	return userapi.Error(http.StatusNotFound, "no such page", 0)
}

// healthCheck answers the load balancer's health check.
func (f *frontend) healthCheck() userapi.Answer {
	reply := make(chan bool, 1)
	if healthy, ok := ask(f.mailbox, msgHealthCheck{reply}, reply, healthCheckTimeout); !ok || !healthy {
		return userapi.Error(http.StatusServiceUnavailable, "not ready", 1)
	}
	return userapi.Answer{Code: http.StatusOK, Body: []byte("{}")}
}

// serveHeartbeat answers a worker's heartbeat.
func (f *frontend) serveHeartbeat(rc *fasthttp.RequestCtx) {
	body := rc.PostBody()
	heartbeat, err := workerapi.ParseHeartbeat(body)
	if err != nil {
		writeAnswer(rc, userapi.Error(http.StatusBadRequest, err.Error(), 0))
		return
	}
	reply := make(chan workerAnswer, 1)
	answer, ok := ask(f.mailbox, msgHeartbeat{heartbeat: heartbeat, reply: reply}, reply, heartbeatTimeout)
	if !ok {
		writeAnswer(rc, userapi.Error(http.StatusServiceUnavailable, "busy", 1))
		return
	}
	if answer.relayTo != "" {
		answer = f.relay(answer, body)
	}
	rc.SetStatusCode(answer.code)
	rc.Response.SetBodyRaw(answer.body)
}

// relay relays a heartbeat to the leader and returns its answer, or ours if the leader does
// not answer.
func (f *frontend) relay(ours workerAnswer, body []byte) workerAnswer {
	if leaderClient := f.findPeer(ours.relayTo); leaderClient != nil {
		ctx, cancel := context.WithTimeout(f.ctx, relayTimeout)
		defer cancel()
		if code, answer, err := leaderClient.Report(ctx, body); err == nil {
			return workerAnswer{code: code, body: answer}
		}
	}
	select {
	case f.mailbox <- msgRelayFailed{}:
	default: // the mailbox is full; the next failure will be reported
	}
	return ours
}

// ask sends a message to the controller actor and waits for its reply. ok is false if there
// is none in time, or at once if the mailbox is full.
func ask[T any](mailbox chan<- any, msg any, reply <-chan T, timeout time.Duration) (answer T, ok bool) {
	select {
	case mailbox <- msg:
	default:
		return answer, false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-reply:
		return answer, true
	case <-timer.C:
		return answer, false
	}
}

// askUser sends a user's request to the controller actor. Without a reply, it answers that
// the user may try again.
func askUser(mailbox chan<- any, msg any, reply <-chan userapi.Answer, timeout time.Duration) userapi.Answer {
	answer, ok := ask(mailbox, msg, reply, timeout)
	if !ok {
		return userapi.Error(http.StatusServiceUnavailable, "try again", 1)
	}
	return answer
}

// writeAnswer writes an answer to the HTTP response.
func writeAnswer(rc *fasthttp.RequestCtx, answer userapi.Answer) {
	rc.SetStatusCode(answer.Code)
	if answer.RetryAfter > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	rc.Response.SetBodyRaw(answer.Body)
}
