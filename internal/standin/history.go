package standin

import (
	"fmt"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// DutyChecker checks that each duty has one holder at a time. It uses only the logs of the
// test doubles: which controller sent each write and what the write contains. It does not
// use the conditions under which a write was accepted, since these are what is tested.
type DutyChecker struct {
	// Violations describe each write or call that broke a rule: time, controller and rule.
	Violations []string

	holder      map[duty.Name]string
	token       map[duty.Name]uint64
	openRentals map[string]bool // request IDs of all rental intents that were ever open
	returned    map[string]bool // machines named in a return intent
	bound       map[string]map[taskAttempt]bool
	// intentsRequiredFrom is the time from which every call of the cloud needs an intent:
	// the leader has recorded that it uses intents, and calls that it began before are
	// over. -1 while it has not.
	intentsRequiredFrom model.Micros
}

// oldCallsTimeout is how long calls without an intent may still arrive after a leader has
// begun to use intents.
const oldCallsTimeout = 10 * model.Second

// taskAttempt identifies an attempt of a task.
type taskAttempt struct {
	job           string
	task, attempt uint64
}

// CheckDuties checks the writes of a State and the calls of a Cloud, each sorted by time.
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

// checkWrite checks one change of an accepted transaction and updates the checker's state.
func (c *DutyChecker) checkWrite(write *TxnRecord, op state.Op) {
	switch record := op.Value.(type) {
	case state.LeaderRecord:
		switch {
		case !record.UsesIntents && c.intentsRequiredFrom >= 0:
			c.addViolation("%.3f %s leads without intents after a leader used them", write.At.Seconds(), write.Node)
		case record.UsesIntents && c.intentsRequiredFrom < 0:
			c.intentsRequiredFrom = write.At + oldCallsTimeout
		}
	case duty.Lease:
		name := duty.Name(strings.TrimPrefix(op.Set, duty.KeyPrefix))
		c.holder[name], c.token[name] = record.Holder, write.Revision
	case duty.Rental:
		if record.State == duty.Open {
			c.openRentals[record.Request] = true
			return
		}
		c.checkToken(write, duty.Renting, record.Token)
	case duty.Return:
		if record.State != duty.Open {
			c.checkToken(write, duty.Returning, record.Token)
			return
		}
		for _, machine := range record.Machines {
			c.returned[machine] = true
		}
	case shard.BundleRecord:
		c.checkBindings(write, record)
	case nil:
		if op.Drop != "" && c.holder[duty.Cleanup] != write.Node {
			c.addViolation("%.3f %s removes %s while %s holds cleanup", write.At.Seconds(), write.Node, op.Drop, c.holder[duty.Cleanup])
		}
	}
}

// checkToken checks a write made under a duty: its token has to be the last one granted.
func (c *DutyChecker) checkToken(write *TxnRecord, name duty.Name, token uint64) {
	if token != c.token[name] || c.holder[name] != write.Node {
		c.addViolation("%.3f %s writes with token %d of duty %s, which %s holds with token %d", write.At.Seconds(), write.Node, token, name, c.holder[name], c.token[name])
	}
}

// checkBindings checks that no task is newly bound to a machine that is to be returned.
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

// checkCall checks that a call of the cloud has an intent, if one is required by then, and
// that no machine is rented by two requests.
func (c *DutyChecker) checkCall(call CloudCall, rented map[string]string) {
	throughIntents := c.intentsRequiredFrom >= 0 && call.At >= c.intentsRequiredFrom
	for _, machine := range call.Machines {
		switch {
		case call.Request == "" && !c.returned[machine] && throughIntents:
			c.addViolation("%.3f %s is deleted without a return intent", call.At.Seconds(), machine)
		case call.Request != "" && rented[machine] != "":
			c.addViolation("%.3f %s is rented by requests %s and %s", call.At.Seconds(), machine, rented[machine], call.Request)
		case call.Request != "":
			rented[machine] = call.Request
		}
	}
	if call.Request != "" && !c.openRentals[call.Request] && throughIntents {
		c.addViolation("%.3f %s rents machines without a rental intent", call.At.Seconds(), call.Request)
	}
}
