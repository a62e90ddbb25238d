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
	checker := &DutyChecker{holder: map[duty.Name]string{}, token: map[duty.Name]uint64{}, openRentals: map[string]bool{}, returned: map[string]bool{},
		bound: map[string]map[taskAttempt]bool{}, intentsRequiredFrom: -1}
	rented := map[string]string{}
	for _, write := range writes {
		for len(calls) > 0 && calls[0].At < write.At {
			checker.checkCall(calls[0], rented)
			calls = calls[1:]
		}
		if len(write.Rejected) == 0 {
			for _, op := range write.Txn.Then {
				checker.checkWrite(&write, op)
			}
		}
	}
	for _, call := range calls {
		checker.checkCall(call, rented)
	}
	return checker
}

func (c *DutyChecker) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// accepted takes a change of an accepted write.
func (c *DutyChecker) checkWrite(write *TxnRecord, op state.Op) {
	switch r := op.Value.(type) {
	case state.LeaderRecord:
		switch {
		case !r.UsesIntents && c.intentsRequiredFrom >= 0:
			c.addViolation("%.3f %s leads without intents", write.At.Seconds(), write.Node)
		case r.UsesIntents && c.intentsRequiredFrom < 0:
			c.intentsRequiredFrom = write.At + oldCallsTimeout
		}
	case duty.Lease:
		name := duty.Name(strings.TrimPrefix(op.Set, duty.KeyPrefix))
		c.holder[name], c.token[name] = r.Holder, write.Revision
	case duty.Rental:
		if r.State == duty.Open {
			c.openRentals[r.Request] = true
			return
		}
		c.checkToken(write, duty.Renting, r.Token)
	case duty.Return:
		if r.State != duty.Open {
			c.checkToken(write, duty.Returning, r.Token)
			return
		}
		for _, machine := range r.Machines {
			c.returned[machine] = true
		}
	case shard.BundleRecord:
		c.checkBindings(write, r)
	case nil:
		if op.Drop != "" && c.holder[duty.Cleanup] != write.Node {
			c.addViolation("%.3f %s removes %s while %s holds cleanup", write.At.Seconds(), write.Node, op.Drop, c.holder[duty.Cleanup])
		}
	}
}

// performed takes a write under a duty: no other token may have been granted since.
func (c *DutyChecker) checkToken(write *TxnRecord, name duty.Name, token uint64) {
	if token != c.token[name] || c.holder[name] != write.Node {
		c.addViolation("%.3f %s writes under token %d of %s, held by %s under %d", write.At.Seconds(), write.Node, token, name, c.holder[name], c.token[name])
	}
}

// bundle takes bindings: none may be new on a machine that is to be returned.
func (c *DutyChecker) checkBindings(write *TxnRecord, bundle shard.BundleRecord) {
	for machine, record := range bundle.Machines {
		bound := map[taskAttempt]bool{}
		if record != nil {
			for job, tasks := range record.Tasks {
				for _, attempt := range tasks {
					bound[taskAttempt{job, attempt[0], attempt[1]}] = true
				}
			}
		}
		for t := range bound {
			if c.returned[machine] && !c.bound[machine][t] {
				c.addViolation("%.3f %s binds %s/%d to %s, which is to be returned", write.At.Seconds(), write.Node, t.job, t.task, machine)
			}
		}
		c.bound[machine] = bound
	}
}

// call takes a call of the cloud that changed something.
func (c *DutyChecker) checkCall(call CloudCall, rented map[string]string) {
	throughIntents := c.intentsRequiredFrom >= 0 && call.At >= c.intentsRequiredFrom
	for _, machine := range call.Machines {
		switch {
		case call.Request == "" && !c.returned[machine] && throughIntents:
			c.addViolation("%.3f %s is deleted without an intent", call.At.Seconds(), machine)
		case call.Request != "" && rented[machine] != "":
			c.addViolation("%.3f %s is rented by %s and by %s", call.At.Seconds(), machine, rented[machine], call.Request)
		case call.Request != "":
			rented[machine] = call.Request
		}
	}
	if call.Request != "" && !c.openRentals[call.Request] && throughIntents {
		c.addViolation("%.3f %s is rented without an intent", call.At.Seconds(), call.Request)
	}
}
