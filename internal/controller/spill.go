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

// spillStepPeriod is how often a leader looks at what is lent.
const spillStepPeriod = 100 * model.Millisecond

// spiller is a leader's part in offloading jobs between cells ("spill"): what it has lent
// to other cells and what others have lent to it. It is part of the controller actor.
type spiller struct {
	l       *leader
	policy  *spill.Policy          // nil: nothing new is lent or taken, what is there drains
	changes map[string]spillChange // by key of the record
	resync  bool                   // a write failed: no further one before a catch-up
	stepAt  model.Micros

	// As a home cell.
	lendings    map[string]*spill.Lending // by job
	reserved    map[string]reservation    // by job
	contacts    map[string]*spill.Contact // by cell
	probing     map[string]bool           // neighbours that are asked whether they take a job
	nextCell    int                       // the neighbour that is asked next
	candidateAt model.Micros              // when a job to be lent was last looked for
	recallAt    model.Micros              // when a job to be recalled was last looked for
	misfits     map[string]bool           // neighbours whose workers' lease does not fit, as logged

	// As a guest cell.
	hostings map[string]*spill.Hosting         // by key of the record
	renewals map[string]*renewalState          // by home cell
	unknown  map[string]model.Micros           // when workers last did not know a job, by key of the record
	refused  map[autoscaler.Offer]model.Micros // when the cloud last had no capacity of it
}

func newSpiller(l *leader, policy *spill.Policy) *spiller {
	return &spiller{
		l:        l,
		policy:   policy,
		changes:  map[string]spillChange{},
		lendings: map[string]*spill.Lending{},
		reserved: map[string]reservation{},
		contacts: map[string]*spill.Contact{},
		probing:  map[string]bool{},
		misfits:  map[string]bool{},
		hostings: map[string]*spill.Hosting{},
		renewals: map[string]*renewalState{},
		unknown:  map[string]model.Micros{},
		refused:  map[autoscaler.Offer]model.Micros{},
	}
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
	for jobID, record := range view.LentOut {
		if record.State == spill.Lent {
			s.lendings[jobID] = spill.RestoredLending(*record, s.l.c.now)
			s.reserve(jobID, record)
		}
	}
}

// afterRestore stops what a takeover has restored of jobs that are lent out: the holder
// before had proof that it was gone before it lent them.
func (s *spiller) afterRestore() {
	for jobID := range s.lendings {
		if job := s.l.shard.Jobs[jobID]; job != nil {
			s.l.shard.Suspend(job, suspendedAsLent, s.l.c.now)
		}
	}
}

// step does what is due.
func (s *spiller) step() {
	c := s.l.c
	if s.policy == nil && len(s.lendings)+len(s.hostings)+len(c.view.LentOut) == 0 || c.now-s.stepAt < spillStepPeriod {
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

// recordNews takes what the view says of a record of spilling.
func (s *spiller) recordNews(key string) {
	if jobID, out := strings.CutPrefix(key, spill.OutPrefix); out {
		s.lendingNews(jobID)
	} else {
		s.hostingNews(key)
	}
}

// reload takes all records of a fresh listing.
func (s *spiller) reload() {
	view := s.l.c.view
	keys := map[string]bool{}
	for jobID := range view.LentOut {
		keys[spill.OutKey(jobID)] = true
	}
	for jobID := range s.lendings {
		keys[spill.OutKey(jobID)] = true
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
func noteStep(parent, step, jobID string, attributes ...attribute.KeyValue) (context string) {
	span := tracing.Start(parent, step, append(attributes, attribute.String("job", jobID))...)
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
