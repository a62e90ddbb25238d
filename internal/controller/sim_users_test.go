package controller

import (
	"errors"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/userapi"
)

// user submits a job with retries, polls until its end, and may cancel it.
type user struct {
	w        *world
	sub      *model.Submission
	accepted bool
	ended    string
	cancelAt model.Micros
	asked    bool
	deadline model.Micros
	then     func()   // once, when it is accepted
	via      *simNode // the node at which it cancels, any one if it is nil
}

func (w *world) submit(sub *model.Submission, cancelAfter model.Micros) *user {
	u := &user{w: w, sub: sub, deadline: w.Now + 60*model.Second}
	w.rules.Submitted[sub.ID], w.rules.Awaits[sub.ID] = sub.Job(0), sub.Awaits
	if cancelAfter > 0 {
		u.cancelAt = w.Now + cancelAfter
	}
	w.users = append(w.users, u)
	if w.cell != nil {
		w.rules.HomeCells[sub.ID] = w.cell.name
	}
	u.post()
	return u
}

// allDone tells whether users were told that all of these jobs are done.
func allDone(us []*user) bool {
	return !slices.ContainsFunc(us, func(u *user) bool { return u.ended != "done" })
}

// call asks a node, any one if it is nil; f gets code 0 if there is no answer.
func (w *world) call(to *simNode, timeout model.Micros, msg func(chan<- userapi.Answer) any, f func(userapi.Answer)) {
	answered := false
	give := func(a userapi.Answer) {
		if !answered {
			answered = true
			f(a)
		}
	}
	w.After(timeout, func() { give(userapi.Answer{}) })
	if to == nil {
		to = w.nodes[w.Rand.IntN(len(w.nodes))]
	}
	var send func(n *simNode, forwarded bool)
	send = func(n *simNode, forwarded bool) {
		if !n.alive || n.usersCutOff && !forwarded {
			return
		}
		reply := make(chan userapi.Answer, 1)
		n.ask(msg(reply), func() bool {
			select {
			case a := <-reply:
				w.After(model.Millisecond, func() {
					if a.ForwardTo != "" && !forwarded {
						send(w.nodes[slices.Index(w.Nodes(), a.ForwardTo)], true)
						return
					}
					give(a)
				})
				return true
			default:
				return false
			}
		})
	}
	w.After(model.Millisecond, func() { send(to, false) })
}

func (u *user) post() {
	asked := u.w.Now
	u.w.call(nil, 5*model.Second, func(r chan<- userapi.Answer) any {
		s := *u.sub
		return msgSubmit{s.ID, &s, nil, r}
	}, func(a userapi.Answer) {
		switch a.Code {
		case 200, 201:
			u.accepted = true
			u.w.rules.CheckAnswer(u.sub.ID, a.Code, a.Body, asked)
			u.checkEveryNode()
			if u.then != nil {
				u.then()
				u.then = nil
			}
			u.poll()
		default:
			if u.w.Now < u.deadline {
				u.w.After(model.Second, u.post)
			}
		}
	})
}

func (u *user) poll() {
	if u.cancelAt > 0 && u.w.Now >= u.cancelAt {
		u.cancel(nil)
	}
	asked := u.w.Now
	u.w.call(nil, 2*model.Second, func(r chan<- userapi.Answer) any { return msgStatusRequest{u.sub.ID, r} }, func(a userapi.Answer) {
		u.w.rules.CheckAnswer(u.sub.ID, a.Code, a.Body, asked)
		if u.ended == "" && u.w.rules.ReportedEnd(u.sub.ID) != "" {
			u.checkEveryNode()
		}
		if u.ended = u.w.rules.ReportedEnd(u.sub.ID); u.ended == "" || u.w.Chance(0.5) {
			u.w.After(3*model.Second, u.poll)
		}
	})
}

func (u *user) withdraw() {
	asked := u.w.Now
	u.w.call(u.via, 5*model.Second, func(r chan<- userapi.Answer) any { return msgCancel{u.sub.ID, r} }, func(a userapi.Answer) {
		u.w.rules.CheckAnswer(u.sub.ID, a.Code, a.Body, asked)
		if a.Code != 200 {
			u.w.After(model.Second, u.withdraw)
			return
		}
		u.checkEveryNode()
	})
}

// cancel has the job withdrawn through a node, any one if it is nil.
func (u *user) cancel(via *simNode) {
	if !u.asked {
		u.asked, u.via = true, via
		u.w.rules.CancelRequested(u.sub.ID)
		u.withdraw()
	}
}

// checkEveryNode has the user ask at every node within milliseconds, and repeat the submission
// there, as it was, altered or with a field missing: none may say anything older than
// what the user was told, nor refuse a job that was accepted.
func (u *user) checkEveryNode() {
	w := u.w
	if !w.checksEveryNode {
		return
	}
	ref := u.sub.ID
	other := *u.sub
	other.Team, other.Tasks = "nobody", other.Tasks+1
	for _, n := range w.nodes {
		for _, msg := range []func(r chan<- userapi.Answer) any{
			func(r chan<- userapi.Answer) any { return msgStatusRequest{ref, r} },
			func(r chan<- userapi.Answer) any { same := *u.sub; return msgSubmit{ref, &same, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{ref, &other, nil, r} },
			func(r chan<- userapi.Answer) any { return msgSubmit{ref, nil, errors.New("pieces is missing"), r} },
		} {
			w.After(w.Between(0, 5*model.Millisecond), func() {
				asked := w.Now
				w.call(n, 2*model.Second, msg, func(a userapi.Answer) {
					w.rules.CheckAnswer(ref, a.Code, a.Body, asked)
					if a.Code == 200 {
						w.everyNodeAnswers++
					}
				})
			})
		}
	}
}
