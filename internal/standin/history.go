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
type DutyHistory struct {
	// Broken says which write or call broke a rule, when and how.
	Broken []string

	holder   map[duty.Name]string
	token    map[duty.Name]uint64
	open     map[string]bool // requests of rental intents that were ever open
	returned map[string]bool // machines that stand in a return intent
	bound    map[string]map[boundTask]bool
	// intentsFrom is when the leader has said that it acts through intents, and its
	// calls from before are over; -1: not yet.
	intentsFrom model.Micros
}

// callsOver is how long after it has begun to act through intents a leader's calls from
// before may still come.
const callsOver = 10 * model.Second

// boundTask is an attempt of a task.
type boundTask struct {
	job           string
	task, attempt uint64
}

// CheckDuties checks the writes of a State and the calls of a Cloud, each in the order of
// their times.
func CheckDuties(writes []Write, calls []CloudCall) *DutyHistory {
	h := &DutyHistory{holder: map[duty.Name]string{}, token: map[duty.Name]uint64{}, open: map[string]bool{}, returned: map[string]bool{},
		bound: map[string]map[boundTask]bool{}, intentsFrom: -1}
	rented := map[string]string{}
	for _, w := range writes {
		for len(calls) > 0 && calls[0].At < w.At {
			h.call(calls[0], rented)
			calls = calls[1:]
		}
		if len(w.Rejected) == 0 {
			for _, op := range w.Txn.Then {
				h.accepted(&w, op)
			}
		}
	}
	for _, c := range calls {
		h.call(c, rented)
	}
	return h
}

func (h *DutyHistory) broken(format string, args ...any) {
	h.Broken = append(h.Broken, fmt.Sprintf(format, args...))
}

// accepted takes a change of an accepted write.
func (h *DutyHistory) accepted(w *Write, op state.Op) {
	switch r := op.Value.(type) {
	case state.LeaderRecord:
		switch {
		case !r.UsesIntents && h.intentsFrom >= 0:
			h.broken("%.3f %s leads without intents", w.At.Seconds(), w.Node)
		case r.UsesIntents && h.intentsFrom < 0:
			h.intentsFrom = w.At + callsOver
		}
	case duty.Lease:
		name := duty.Name(strings.TrimPrefix(op.Set, duty.KeyPrefix))
		h.holder[name], h.token[name] = r.Holder, w.Revision
	case duty.Rental:
		if r.State == duty.Open {
			h.open[r.Request] = true
			return
		}
		h.performed(w, duty.Renting, r.Token)
	case duty.Return:
		if r.State != duty.Open {
			h.performed(w, duty.Returning, r.Token)
			return
		}
		for _, machine := range r.Machines {
			h.returned[machine] = true
		}
	case shard.BundleRecord:
		h.bundle(w, r)
	case nil:
		if op.Drop != "" && h.holder[duty.Cleanup] != w.Node {
			h.broken("%.3f %s removes %s while %s holds cleanup", w.At.Seconds(), w.Node, op.Drop, h.holder[duty.Cleanup])
		}
	}
}

// performed takes a write under a duty: no other token may have been granted since.
func (h *DutyHistory) performed(w *Write, name duty.Name, token uint64) {
	if token != h.token[name] || h.holder[name] != w.Node {
		h.broken("%.3f %s writes under token %d of %s, held by %s under %d", w.At.Seconds(), w.Node, token, name, h.holder[name], h.token[name])
	}
}

// bundle takes bindings: none may be new on a machine that is to be returned.
func (h *DutyHistory) bundle(w *Write, r shard.BundleRecord) {
	for machine, rec := range r.Machines {
		now := map[boundTask]bool{}
		if rec != nil {
			for job, tasks := range rec.Tasks {
				for _, t := range tasks {
					now[boundTask{job, t[0], t[1]}] = true
				}
			}
		}
		for t := range now {
			if h.returned[machine] && !h.bound[machine][t] {
				h.broken("%.3f %s binds %s/%d to %s, which is to be returned", w.At.Seconds(), w.Node, t.job, t.task, machine)
			}
		}
		h.bound[machine] = now
	}
}

// call takes a call of the cloud that changed something.
func (h *DutyHistory) call(c CloudCall, rented map[string]string) {
	throughIntents := h.intentsFrom >= 0 && c.At >= h.intentsFrom
	for _, machine := range c.Machines {
		switch {
		case c.Request == "" && !h.returned[machine] && throughIntents:
			h.broken("%.3f %s is deleted without an intent", c.At.Seconds(), machine)
		case c.Request != "" && rented[machine] != "":
			h.broken("%.3f %s is rented by %s and by %s", c.At.Seconds(), machine, rented[machine], c.Request)
		case c.Request != "":
			rented[machine] = c.Request
		}
	}
	if c.Request != "" && !h.open[c.Request] && throughIntents {
		h.broken("%.3f %s is rented without an intent", c.At.Seconds(), c.Request)
	}
}
