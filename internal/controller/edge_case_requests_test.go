package controller

import (
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// edgeCaseRequest is a request that a user should not make, with the status code that it has to
// be answered with.
type edgeCaseRequest struct {
	name       string
	newMessage func(chan<- userapi.Answer) any
	wantCode   int
}

// edgeCaseRequests returns such requests, some of them for a job that is done and for one that
// is cancelled.
func edgeCaseRequests(done, cancelled *user) []edgeCaseRequest {
	return []edgeCaseRequest{
		{"unknown team", submitModified(func(s *model.Submission) { s.Team = "nobody" }), 422},
		{"too large for a machine", submitModified(func(s *model.Submission) { s.Cores = 1000 }), 422},
		{"beyond the team's limit", submitModified(func(s *model.Submission) { s.Team, s.GPUs, s.Kind, s.Tasks = "blue", 1, "gang", 5 }), 422},
		{"unknown machine type", submitModified(func(s *model.Submission) { s.MachineTypes = []string{"none"} }), 422},
		{"missing fields", func(r chan<- userapi.Answer) any {
			_, jobID, err := model.ParseSubmission([]byte(`{"ref":"j-000901","pieces":1}`))
			return msgSubmit{jobID, nil, err, r}
		}, 400},
		{"status of a job that was never submitted", func(r chan<- userapi.Answer) any { return msgStatusRequest{"j-000999", r} }, 404},
		{"cancellation of a job that was never submitted", func(r chan<- userapi.Answer) any { return msgCancel{"j-000999", r} }, 404},
		{"cancellation of a done job", func(r chan<- userapi.Answer) any { return msgCancel{done.submission.ID, r} }, 200},
		{"repeated submission of a done job, modified", submitModified(func(s *model.Submission) { s.ID, s.Team = done.submission.ID, "nobody" }), 200},
		{"repeated submission of a withdrawn job", submitModified(func(s *model.Submission) { s.ID = cancelled.submission.ID }), 200},
	}
}

// submitModified returns a function that makes the submission message of an ordinary job to which
// modify has been applied.
func submitModified(modify func(s *model.Submission)) func(chan<- userapi.Answer) any {
	s := arrayJob(900, 1, 5)
	modify(s)
	return func(r chan<- userapi.Answer) any { return msgSubmit{s.ID, s, nil, r} }
}

// requestWithTimeout sends a user's request to a node and returns the answer after two seconds,
// with code 0 if there is none.
func (sc *failureScenario) requestWithTimeout(n *simNode, newMessage func(chan<- userapi.Answer) any) userapi.Answer {
	var got userapi.Answer
	sc.sendUserRequest(n, 2*model.Second, newMessage, func(a userapi.Answer) { got = a })
	sc.Run(sc.Now + 2*model.Second)
	return got
}

// Every node gives edge-case requests the documented answers, and 503 in an outage if the answer
// depends on the state service. None of them causes a write.
func TestEdgeCaseRequests(t *testing.T) {
	sc := newFailureScenario(t, scenarioWorkerTimes[0], 77)
	done, cancelled := sc.submitArray(1, 2), sc.submitArray(1, 300)
	sc.runUntil(60*model.Second, "the first job is done", func() bool { return sc.invariants.ReportedEnd(done.submission.ID) == "done" })
	cancelled.cancel(nil)
	sc.waitForCancelled(10*model.Second, cancelled)
	sc.Run(sc.Now + 20*model.Second)
	requests := edgeCaseRequests(done, cancelled)
	writes := 0
	for _, n := range sc.nodes {
		n.intercept = func(m msgCommitted) bool {
			if m.lane >= laneUsers {
				writes++
			}
			return false
		}
	}
	for _, request := range requests {
		for _, n := range sc.nodes {
			if a := sc.requestWithTimeout(n, request.newMessage); a.Code != request.wantCode {
				t.Errorf("%s: %s answers %d %s, want %d", request.name, n.name, a.Code, a.Body, request.wantCode)
			}
		}
	}
	if writes != 0 {
		t.Errorf("edge-case requests caused %d transactions, want none", writes)
	}
	sc.state.SetOutage(true)
	sc.Run(sc.Now + 3*model.Second)
	for _, request := range requests {
		for _, n := range sc.nodes {
			a := sc.requestWithTimeout(n, request.newMessage)
			if ended := request.wantCode == 200; ended != (a.Code == 200) || !ended && (a.Code != 503 || a.RetryAfter == 0) {
				t.Errorf("%s, in an outage: %s answers %d %s, want 200 if the job has ended, else 503 with Retry-After", request.name, n.name, a.Code, a.Body)
			}
		}
	}
	sc.requireInvariants()
}
