package controller

import (
	"log/slog"
	"slices"
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
)

// Rhythm of spilling.
const (
	spillGap       = 100 * model.Millisecond // between two looks at what is lent
	candidateGap   = 500 * model.Millisecond // between two searches for a job to lend
	mostUnheard    = 8                       // jobs that were lent and not yet asked for
	mostUnbegun    = 4                       // jobs taken in the hope of machines, not yet begun
	refusalQuiet   = 60 * model.Second       // a cloud that refused so long ago may have machines again
	ownPatience    = 5 * model.Second        // own work that waits for so long keeps others' out
	refusedPause   = 10 * model.Second       // after which a refused cell may ask again
	unknownPause   = 600 * model.Second      // a job that the workers did not know is not taken again before
	recallGap      = model.Second            // between two looks at what home has room for again
	withholdShare  = 3                       // of a workers' lease, for which answers are withheld
	renewShare     = 6                       // questions for the right in its lease
	mostRenewGap   = 1500 * model.Millisecond
	jobsPerRenewal = 64
)

// spillChange is a change of a record of spilling that is to be made durable. It is
// repeated as it is until the view shows it, or it is pointless: a copy of it that got no
// answer may still be carried out.
type spillChange struct {
	value any    // nil: the record is removed
	job   string // a job of this cell that must not have changed, "": none
}

// spiller is a leader's part in spilling: what it has lent to other cells and what others
// have lent to it. It is part of the controller actor.
type spiller struct {
	l        *leader
	policy   *spill.Policy // nil: nothing new is lent or taken, what is there drains
	lendings map[string]*spill.Lending
	hostings map[string]*spill.Hosting // by key of the record
	changes  map[string]spillChange    // by key
	resync   bool                      // a write failed: no further one before a catch-up

	contacts    map[string]*spill.Contact
	probing     map[string]bool // neighbours that are asked whether they take a job
	renewals    map[string]*renewalState
	nextCell    int                     // the neighbour that is asked next
	reserved    map[string]reservation  // by job
	unknown     map[string]model.Micros // when workers last did not know a job, by key
	recallAt    model.Micros
	refused     map[autoscaler.Offer]model.Micros // when the cloud last had no capacity of it
	stepAt      model.Micros
	candidateAt model.Micros
	complained  map[string]bool // neighbours whose settings do not fit, as logged
}

func newSpiller(l *leader, policy *spill.Policy) *spiller {
	return &spiller{l: l, policy: policy, lendings: map[string]*spill.Lending{}, hostings: map[string]*spill.Hosting{}, changes: map[string]spillChange{},
		contacts: map[string]*spill.Contact{}, probing: map[string]bool{}, renewals: map[string]*renewalState{}, complained: map[string]bool{},
		reserved: map[string]reservation{}, unknown: map[string]model.Micros{}, refused: map[autoscaler.Offer]model.Micros{}}
}

// enabled tells whether jobs may be lent and taken: the operators want it, every
// controller reads the records, and no record is beyond this version.
func (s *spiller) enabled() bool {
	c := s.l.c
	return s.policy != nil && c.allHave(c.view.Layouts, state.LayoutSpill) && c.view.UnreadableSpill == ""
}

// takeOver learns what is lent from the records, before this cell's own jobs are known and
// bindings are restored. Whatever the holders before have granted or were granted ended
// with their authority.
func (s *spiller) takeOver() {
	view := s.l.c.view
	if view.UnreadableSpill != "" {
		slog.Error("a record of spilling is not readable; nothing is lent or taken", "key", view.UnreadableSpill)
	}
	for key := range view.LentIn {
		s.takeIn(key)
	}
	for job, record := range view.LentOut {
		if record.State == spill.Lent {
			s.lendings[job] = spill.RestoredLending(*record, s.l.c.now)
			s.reserve(job, record)
		}
	}
}

// afterRestore stops what a takeover has restored of jobs that are lent out: the holder
// before had proof that it was gone before it lent them.
func (s *spiller) afterRestore() {
	for job := range s.lendings {
		if js := s.l.block.Jobs[job]; js != nil {
			s.l.block.Suspend(js, "lent to another cell", s.l.c.now)
		}
	}
}

// step does what is due.
func (s *spiller) step() {
	c := s.l.c
	if s.policy == nil && len(s.lendings)+len(s.hostings)+len(c.view.LentOut) == 0 || c.now-s.stepAt < spillGap {
		return
	}
	s.stepAt = c.now
	s.stepLendings()
	s.stepHostings()
	if s.policy != nil {
		s.findCandidate()
		s.renew()
	}
	s.write()
}

// want has a change made durable, in the place of an earlier one of the same record.
func (s *spiller) want(key string, change spillChange) { s.changes[key] = change }

// write sends the changes that are due, one transaction at a time. Each is guarded by the
// grant and by the record's own revision, and a lending by that of the job: a job that
// has ended is never lent.
func (s *spiller) write() {
	c := s.l.c
	if !c.lanes.free(laneSpill, c.now) || s.resync || len(s.changes) == 0 {
		return
	}
	n := min(c.limits.TxnOps, c.budget.Left(c.now))
	txn := &state.Txn{Conditions: []state.Condition{{Path: "grant/" + blockName, Revision: s.l.token}}}
	for _, key := range sortedKeys(s.changes) {
		change := s.changes[key]
		if s.settled(key, change) {
			delete(s.changes, key)
			s.recordNews(key)
			continue
		}
		if len(txn.Then) >= n {
			break
		}
		txn.Conditions = append(txn.Conditions, state.Condition{Path: key, Revision: c.view.Revisions[key]})
		if change.job != "" {
			txn.Conditions = append(txn.Conditions, state.Condition{Path: jobPrefix + change.job, Revision: c.view.Revisions[jobPrefix+change.job]})
		}
		if change.value == nil {
			txn.Then = append(txn.Then, state.Op{Drop: key})
		} else {
			txn.Then = append(txn.Then, state.Op{Set: key, Value: change.value})
		}
	}
	if len(txn.Then) > 0 {
		c.send(laneSpill, msgCommitted{txn: txn, token: s.l.token})
	}
}

// settled tells that a change stands in the view, or that it is pointless.
func (s *spiller) settled(key string, change spillChange) bool {
	view := s.l.c.view
	if change.job != "" {
		if _, ended := view.Final(change.job); ended {
			return true
		}
	}
	switch value := change.value.(type) {
	case spill.OutRecord:
		record := view.LentOut[strings.TrimPrefix(key, spill.OutPrefix)]
		return record != nil && *record == value
	case spill.InRecord:
		record := view.LentIn[key]
		return record != nil && record.Token == value.Token && record.State == value.State
	default:
		_, exists := view.Revisions[key]
		return !exists
	}
}

// committed takes the end of a transaction.
func (s *spiller) committed(m msgCommitted) {
	c := s.l.c
	if m.err == nil && m.res.OK {
		c.view.Apply(m.txn, m.res.Revision)
		for _, op := range m.txn.Then {
			key := op.Set + op.Drop // one of them is empty
			if change, pending := s.changes[key]; pending && s.settled(key, change) {
				delete(s.changes, key)
			}
			s.recordNews(key)
		}
		return
	}
	if m.lostGrant() {
		c.stepDown(reasonGrantLost)
		return
	}
	if c.writeFailed(m) {
		c.needSync(&s.resync)
	}
}

// recordNews takes what the view says of a record of spilling.
func (s *spiller) recordNews(key string) {
	if job, out := strings.CutPrefix(key, spill.OutPrefix); out {
		s.lendingNews(job)
	} else {
		s.hostingNews(key)
	}
}

// reload takes all records of a fresh listing.
func (s *spiller) reload() {
	view := s.l.c.view
	keys := map[string]bool{}
	for job := range view.LentOut {
		keys[spill.OutKey(job)] = true
	}
	for job := range s.lendings {
		keys[spill.OutKey(job)] = true
	}
	for key := range view.LentIn {
		keys[key] = true
	}
	for key := range s.hostings {
		keys[key] = true
	}
	for _, key := range sortedKeys(keys) {
		s.recordNews(key)
	}
}

// noteStep records a step of a lending as a span, whose context it gives.
func noteStep(parent, step, job string, attributes ...attribute.KeyValue) (context string) {
	span := tracing.Start(parent, step, append(attributes, attribute.String("job", job))...)
	span.End("")
	return span.Context()
}

// sortedKeys gives the keys of a map in order, so that the same state leads to the same
// decisions.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
