package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// user submits a job with retries, polls its status until it ends, and may cancel it.
type user struct {
	sim             *simDeployment
	submission      *model.Submission
	accepted        bool
	reportedEnd     string
	cancelAt        model.Micros // 0: never
	cancelRequested bool
	deadline        model.Micros // the submission is not repeated after this time
	onAccepted      func()       // called once, when the job is accepted; may be nil
	cancelVia       *simNode     // the node that gets the cancellation; nil: a random one
	unknownFields   string       // appended to the fields of the submission's body, each with a comma before it
}

// submit submits a job through a new user, which cancels it after cancelAfter unless that
// is 0.
func (sim *simDeployment) submit(submission *model.Submission, cancelAfter model.Micros) *user {
	return sim.submitWithFields(submission, cancelAfter, "")
}

// submitWithFields is like submit, for a body with additional fields; see user.unknownFields.
func (sim *simDeployment) submitWithFields(submission *model.Submission, cancelAfter model.Micros, unknownFields string) *user {
	u := &user{sim: sim, submission: submission, deadline: sim.Now + 60*model.Second, unknownFields: unknownFields}
	sim.invariants.Submitted[submission.ID], sim.invariants.Awaits[submission.ID] = submission.Job(0), submission.Awaits
	if cancelAfter > 0 {
		u.cancelAt = sim.Now + cancelAfter
	}
	sim.users = append(sim.users, u)
	if sim.cell != nil {
		sim.invariants.HomeCells[submission.ID] = sim.cell.name
	}
	u.sendSubmission()
	return u
}

// allReportedDone reports whether all of these jobs were reported as done to their users.
func allReportedDone(users []*user) bool {
	return !slices.ContainsFunc(users, func(u *user) bool { return u.reportedEnd != "done" })
}

// sendUserRequest sends a request to a node, or to a random one if to is nil, and follows
// one forwarding. onAnswer is called with code 0 if no answer arrives before the timeout.
func (sim *simDeployment) sendUserRequest(to *simNode, timeout model.Micros, newMessage func(chan<- userapi.Answer) any, onAnswer func(userapi.Answer)) {
	answered := false
	finish := func(a userapi.Answer) {
		if !answered {
			answered = true
			onAnswer(a)
		}
	}
	sim.After(timeout, func() { finish(userapi.Answer{}) })
	if to == nil {
		to = sim.nodes[sim.Rand.IntN(len(sim.nodes))]
	}
	var send func(n *simNode, forwarded bool)
	send = func(n *simNode, forwarded bool) {
		if !n.alive || n.usersCutOff && !forwarded {
			return
		}
		reply := make(chan userapi.Answer, 1)
		n.send(newMessage(reply), func() bool {
			select {
			case a := <-reply:
				sim.After(model.Millisecond, func() {
					if a.ForwardTo != "" && !forwarded {
						send(sim.nodes[slices.Index(sim.Nodes(), a.ForwardTo)], true)
						return
					}
					finish(a)
				})
				return true
			default:
				return false
			}
		})
	}
	sim.After(model.Millisecond, func() { send(to, false) })
}

// sendSubmission submits the job. It submits it again one second after each failure, until the
// job is accepted or the deadline has passed.
func (u *user) sendSubmission() {
	sentAt := u.sim.Now
	u.sim.sendUserRequest(nil, 5*model.Second, func(r chan<- userapi.Answer) any {
		submission, jobID, err := model.ParseSubmission(u.body())
		return msgSubmit{jobID, submission, err, r}
	}, func(a userapi.Answer) {
		switch a.Code {
		case 200, 201:
			u.accepted = true
			u.sim.invariants.CheckAnswer(u.submission.ID, a.Code, a.Body, sentAt)
			u.checkEveryNode()
			if u.onAccepted != nil {
				u.onAccepted()
				u.onAccepted = nil
			}
			u.poll()
		default:
			if u.sim.Now < u.deadline {
				u.sim.After(model.Second, u.sendSubmission)
			}
		}
	})
}

// body returns the body of the user's submission.
func (u *user) body() []byte {
	fields, err := json.Marshal(u.submission)
	if err != nil {
		panic(err)
	}
	body := strings.TrimSuffix(string(fields), "}")
	for name, value := range map[string]bool{"samePlace": u.submission.SameZone, "apart": u.submission.Spread, "loaners": u.submission.AllowsSpot} {
		if !value { // required, but left out by the encoder
			body += fmt.Sprintf(",%q:false", name)
		}
	}
	return []byte(body + u.unknownFields + "}")
}

// poll requests the job's status until its end is reported; after that, each further request is
// sent with a probability of one half. It also cancels the job when it is time to.
func (u *user) poll() {
	if u.cancelAt > 0 && u.sim.Now >= u.cancelAt {
		u.cancel(nil)
	}
	sentAt := u.sim.Now
	u.sim.sendUserRequest(nil, 2*model.Second, func(r chan<- userapi.Answer) any { return msgStatusRequest{u.submission.ID, r} }, func(a userapi.Answer) {
		u.sim.invariants.CheckAnswer(u.submission.ID, a.Code, a.Body, sentAt)
		if u.reportedEnd == "" && u.sim.invariants.ReportedEnd(u.submission.ID) != "" {
			u.checkEveryNode()
		}
		if u.reportedEnd = u.sim.invariants.ReportedEnd(u.submission.ID); u.reportedEnd == "" || u.sim.Chance(0.5) {
			u.sim.After(3*model.Second, u.poll)
		}
	})
}

// sendCancel sends a cancellation. It sends it again one second after each failure, until it is
// answered with code 200.
func (u *user) sendCancel() {
	sentAt := u.sim.Now
	u.sim.sendUserRequest(u.cancelVia, 5*model.Second, func(r chan<- userapi.Answer) any { return msgCancel{u.submission.ID, r} }, func(a userapi.Answer) {
		u.sim.invariants.CheckAnswer(u.submission.ID, a.Code, a.Body, sentAt)
		if a.Code != 200 {
			u.sim.After(model.Second, u.sendCancel)
			return
		}
		u.checkEveryNode()
	})
}

// cancel cancels the job through a node, or through a random one if via is nil. Further calls
// have no effect.
func (u *user) cancel(via *simNode) {
	if !u.cancelRequested {
		u.cancelRequested, u.cancelVia = true, via
		u.sim.invariants.CancelRequested(u.submission.ID)
		u.sendCancel()
	}
}

// checkEveryNode requests the job's status at every node within milliseconds, and repeats the
// submission there: unchanged, altered, and with a field missing. No node may answer with an
// older status than the user has already seen, or refuse a job that was accepted.
func (u *user) checkEveryNode() {
	sim := u.sim
	if !sim.checksEveryNode {
		return
	}
	jobID := u.submission.ID
	altered := *u.submission
	altered.Team, altered.Tasks = "nobody", altered.Tasks+1
	for _, n := range sim.nodes {
		for _, newMessage := range []func(r chan<- userapi.Answer) any{
			func(r chan<- userapi.Answer) any { return msgStatusRequest{jobID, r} },
			func(r chan<- userapi.Answer) any { same := *u.submission; return msgSubmit{jobID, &same, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{jobID, &altered, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{jobID, nil, errors.New("pieces is missing"), r} },
		} {
			sim.After(sim.Between(0, 5*model.Millisecond), func() {
				sentAt := sim.Now
				sim.sendUserRequest(n, 2*model.Second, newMessage, func(a userapi.Answer) {
					sim.invariants.CheckAnswer(jobID, a.Code, a.Body, sentAt)
					if a.Code == 200 {
						sim.everyNodeAnswers++
					}
				})
			})
		}
	}
}
