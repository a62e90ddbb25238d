package standin

import (
	"fmt"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// DutyHistory checks that each duty has one holder at a time. It goes by the logs of the
// stand-ins alone: from which controller each write came and what it says, not by the
// conditions under which it was accepted, since these are what is tested.
type DutyChecker struct {
	// Broken says which write or call broke a rule, when and how.
	Violations []string

	holder      map[duty.Name]string
	token       map[duty.Name]uint64
	openRentals map[string]bool // requests of rental intents that were ever open
	returned    map[string]bool // machines that stand in a return intent
	bound       map[string]map[taskAttempt]bool
	// intentsFrom is when the leader has said that it acts through intents, and its
	// calls from before are over; -1: not yet.
	intentsRequiredFrom model.Micros
}

// callsOver is how long after it has begun to act through intents a leader's calls from
// before may still come.
const oldCallsTimeout = 10 * model.Second

// boundTask is an attempt of a task.
type taskAttempt struct {
	job           string
	task, attempt uint64
}

// CheckDuties checks the writes of a State and the calls of a Cloud, each in the order of
// their times.
func CheckDuties(writes []TxnRecord, calls []CloudCall) *DutyChecker {
	h := &DutyChecker{holder: map[duty.Name]string{}, token: map[duty.Name]uint64{}, openRentals: map[string]bool{}, returned: map[string]bool{},
		bound: map[string]map[taskAttempt]bool{}, intentsRequiredFrom: -1}
	rented := map[string]string{}
	for _, w := range writes {
		for len(calls) > 0 && calls[0].At < w.At {
			h.checkCall(calls[0], rented)
			calls = calls[1:]
		}
		if len(w.Rejected) == 0 {
			for _, op := range w.Txn.Then {
				h.checkWrite(&w, op)
			}
		}
	}
	for _, c := range calls {
		h.checkCall(c, rented)
	}
	return h
}

func (h *DutyChecker) addViolation(format string, args ...any) {
	h.Violations = append(h.Violations, fmt.Sprintf(format, args...))
}

// accepted takes a change of an accepted write.
func (h *DutyChecker) checkWrite(w *TxnRecord, op state.Op) {
	switch r := op.Value.(type) {
	case state.LeaderRecord:
		switch {
		case !r.UsesIntents && h.intentsRequiredFrom >= 0:
			h.addViolation("%.3f %s leads without intents", w.At.Seconds(), w.Node)
		case r.UsesIntents && h.intentsRequiredFrom < 0:
			h.intentsRequiredFrom = w.At + oldCallsTimeout
		}
	case duty.Lease:
		name := duty.Name(strings.TrimPrefix(op.Set, duty.KeyPrefix))
		h.holder[name], h.token[name] = r.Holder, w.Revision
	case duty.Rental:
		if r.State == duty.Open {
			h.openRentals[r.Request] = true
			return
		}
		h.checkToken(w, duty.Renting, r.Token)
	case duty.Return:
		if r.State != duty.Open {
			h.checkToken(w, duty.Returning, r.Token)
			return
		}
		for _, machine := range r.Machines {
			h.returned[machine] = true
		}
	case shard.BundleRecord:
		h.checkBindings(w, r)
	case nil:
		if op.Drop != "" && h.holder[duty.Cleanup] != w.Node {
			h.addViolation("%.3f %s removes %s while %s holds cleanup", w.At.Seconds(), w.Node, op.Drop, h.holder[duty.Cleanup])
		}
	}
}

// performed takes a write under a duty: no other token may have been granted since.
func (h *DutyChecker) checkToken(w *TxnRecord, name duty.Name, token uint64) {
	if token != h.token[name] || h.holder[name] != w.Node {
		h.addViolation("%.3f %s writes under token %d of %s, held by %s under %d", w.At.Seconds(), w.Node, token, name, h.holder[name], h.token[name])
	}
}

// bundle takes bindings: none may be new on a machine that is to be returned.
func (h *DutyChecker) checkBindings(w *TxnRecord, r shard.BundleRecord) {
	for machine, rec := range r.Machines {
		now := map[taskAttempt]bool{}
		if rec != nil {
			for job, tasks := range rec.Tasks {
				for _, t := range tasks {
					now[taskAttempt{job, t[0], t[1]}] = true
				}
			}
		}
		for t := range now {
			if h.returned[machine] && !h.bound[machine][t] {
				h.addViolation("%.3f %s binds %s/%d to %s, which is to be returned", w.At.Seconds(), w.Node, t.job, t.task, machine)
			}
		}
		h.bound[machine] = now
	}
}

// call takes a call of the cloud that changed something.
func (h *DutyChecker) checkCall(c CloudCall, rented map[string]string) {
	throughIntents := h.intentsRequiredFrom >= 0 && c.At >= h.intentsRequiredFrom
	for _, machine := range c.Machines {
		switch {
		case c.Request == "" && !h.returned[machine] && throughIntents:
			h.addViolation("%.3f %s is deleted without an intent", c.At.Seconds(), machine)
		case c.Request != "" && rented[machine] != "":
			h.addViolation("%.3f %s is rented by %s and by %s", c.At.Seconds(), machine, rented[machine], c.Request)
		case c.Request != "":
			rented[machine] = c.Request
		}
	}
	if c.Request != "" && !h.openRentals[c.Request] && throughIntents {
		h.addViolation("%.3f %s is rented without an intent", c.At.Seconds(), c.Request)
	}
}
