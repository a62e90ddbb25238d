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

// spillManager is a leader's part in offloading jobs between cells ("spill"): what it has lent
// to other cells and what others have lent to it. It is part of the controller actor.
type spillManager struct {
	leader         *leader
	policy         *spill.Policy          // nil: nothing new is lent or taken, what is there drains
	pendingChanges map[string]spillChange // by key of the record
	resync         bool                   // a write failed: no further one before a catch-up
	lastStepAt     model.Micros

	// As a home cell.
	lentJobs           map[string]*spill.LentJob    // by job
	reservations       map[string]reservation       // by job
	pacers             map[string]*spill.OfferPacer // by cell
	probed             map[string]bool              // neighbours that are asked whether they take a job
	neighbourIndex     int                          // the neighbour that is asked next
	lastProbeAt        model.Micros                 // when a job to be lent was last looked for
	lastRecallSearchAt model.Micros                 // when a job to be recalled was last looked for
	leaseMismatches    map[string]bool              // neighbours whose workers' lease does not fit, as logged

	// As a guest cell.
	borrowedJobs  map[string]*spill.BorrowedJob     // by key of the record
	renewals      map[string]*renewalSchedule       // by home cell
	unknownJobs   map[string]model.Micros           // when workers last did not know a job, by key of the record
	refusedOffers map[autoscaler.Offer]model.Micros // when the cloud last had no capacity of it
}

func newSpillManager(l *leader, policy *spill.Policy) *spillManager {
	return &spillManager{
		leader:          l,
		policy:          policy,
		pendingChanges:  map[string]spillChange{},
		lentJobs:        map[string]*spill.LentJob{},
		reservations:    map[string]reservation{},
		pacers:          map[string]*spill.OfferPacer{},
		probed:          map[string]bool{},
		leaseMismatches: map[string]bool{},
		borrowedJobs:    map[string]*spill.BorrowedJob{},
		renewals:        map[string]*renewalSchedule{},
		unknownJobs:     map[string]model.Micros{},
		refusedOffers:   map[autoscaler.Offer]model.Micros{},
	}
}

// isEnabled tells whether jobs may be lent and taken: the operators want it, every
// controller reads the records, and no record is beyond this version.
func (s *spillManager) isEnabled() bool {
	c := s.leader.controller
	return s.policy != nil && c.allControllersHave(c.view.Layouts, state.LayoutSpill) && c.view.UnreadableSpill == ""
}

// takeOver learns what is lent from the records, before this cell's own jobs are known and
// bindings are restored. Whatever the holders before have granted or were granted ended
// with their authority.
func (s *spillManager) takeOver() {
	view := s.leader.controller.view
	if view.UnreadableSpill != "" {
		slog.Error("a record of spilling is not readable; nothing is lent or taken", "key", view.UnreadableSpill)
	}
	for key := range view.BorrowedJobs {
		s.addBorrowedJob(key)
	}
	for jobID, record := range view.LentJobs {
		if record.State == spill.Lent {
			s.lentJobs[jobID] = spill.RestoreLentJob(*record, s.leader.controller.now)
			s.reserve(jobID, record)
		}
	}
}

// suspendRestored stops what a takeover has restored of jobs that are lent out: the holder
// before had proof that it was gone before it lent them.
func (s *spillManager) suspendRestored() {
	for jobID := range s.lentJobs {
		if job := s.leader.shard.Jobs[jobID]; job != nil {
			s.leader.shard.Suspend(job, suspendReasonLent, s.leader.controller.now)
		}
	}
}

// step does what is due.
func (s *spillManager) step() {
	c := s.leader.controller
	if s.policy == nil && len(s.lentJobs)+len(s.borrowedJobs)+len(c.view.LentJobs) == 0 || c.now-s.lastStepAt < spillStepPeriod {
		return
	}
	s.lastStepAt = c.now
	s.stepLentJobs()
	s.stepBorrowedJobs()
	if s.policy != nil {
		s.probeNeighbour()
		s.sendRenewals()
	}
	s.writeChanges()
}

// recordChanged takes what the view says of a record of spilling.
func (s *spillManager) recordChanged(key string) {
	if jobID, out := strings.CutPrefix(key, spill.OutPrefix); out {
		s.lentJobChanged(jobID)
	} else {
		s.borrowedJobChanged(key)
	}
}

// reload takes all records of a fresh listing.
func (s *spillManager) reload() {
	view := s.leader.controller.view
	keys := map[string]bool{}
	for jobID := range view.LentJobs {
		keys[spill.OutKey(jobID)] = true
	}
	for jobID := range s.lentJobs {
		keys[spill.OutKey(jobID)] = true
	}
	for key := range view.BorrowedJobs {
		keys[key] = true
	}
	for key := range s.borrowedJobs {
		keys[key] = true
	}
	for _, key := range sortedKeys(keys) {
		s.recordChanged(key)
	}
}

// recordSpan records a step of a lending as a span, whose context it gives.
func recordSpan(parent, step, jobID string, attributes ...attribute.KeyValue) (context string) {
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
