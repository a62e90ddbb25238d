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

// spillStepPeriod is how often a leader processes lent and borrowed jobs.
const spillStepPeriod = 100 * model.Millisecond

// spillManager handles a leader's jobs that run in another cell than their home cell
// ("spill"): those lent to other cells and those borrowed from them. It is part of the
// controller actor.
type spillManager struct {
	leader         *leader
	policy         *spill.Policy          // nil: no job is lent or accepted, existing ones drain
	pendingChanges map[string]spillChange // by key of the record
	resync         bool                   // a transaction failed: none before a synchronization of the view
	lastStepAt     model.Micros

	// As a home cell.
	lentJobs           map[string]*spill.LentJob    // by job
	reservations       map[string]reservation       // by job
	pacers             map[string]*spill.OfferPacer // by cell
	probed             map[string]bool              // neighbours with a probe in flight
	neighbourIndex     int                          // of the neighbour that was looked at last
	lastProbeAt        model.Micros                 // when a job to lend was last looked for
	lastRecallSearchAt model.Micros                 // when a job to recall was last looked for
	leaseMismatches    map[string]bool              // neighbours for which a worker lease that is too long was logged

	// As an execution cell.
	borrowedJobs  map[string]*spill.BorrowedJob     // by key of the record
	renewals      map[string]*renewalSchedule       // by home cell
	unknownJobs   map[string]model.Micros           // when the workers last did not know a job, by key of the record
	refusedOffers map[autoscaler.Offer]model.Micros // when the cloud last had too little capacity for an offer
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

// isEnabled reports whether jobs may be lent and accepted: there is a spill file, every
// controller can read the records, and this version can read every record there is.
func (s *spillManager) isEnabled() bool {
	c := s.leader.controller
	return s.policy != nil && c.allControllersHave(c.view.Layouts, state.LayoutSpill) && c.view.UnreadableSpill == ""
}

// takeOver restores lent and borrowed jobs from the records, before this cell's own jobs
// are added and bindings are restored. Execution leases that earlier leaders granted or
// were granted ended with their authority.
func (s *spillManager) takeOver() {
	view := s.leader.controller.view
	if view.UnreadableSpill != "" {
		slog.Error("a spill record is not readable; no jobs are lent or accepted", "key", view.UnreadableSpill)
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

// suspendRestored stops tasks that a takeover has restored of jobs that are lent to other
// cells: the previous leader had proof that these were gone before it lent the jobs.
func (s *spillManager) suspendRestored() {
	for jobID := range s.lentJobs {
		if job := s.leader.shard.Jobs[jobID]; job != nil {
			s.leader.shard.Suspend(job, suspendReasonLent, s.leader.controller.now)
		}
	}
}

// step does the work that is due.
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

// recordChanged handles a change of a spill record in the view.
func (s *spillManager) recordChanged(key string) {
	if jobID, out := strings.CutPrefix(key, spill.OutPrefix); out {
		s.lentJobChanged(jobID)
	} else {
		s.borrowedJobChanged(key)
	}
}

// reload handles all spill records, and those that are gone, after a new listing.
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

// recordSpan records a step of a lending as a span and returns the span's context.
func recordSpan(parent, step, jobID string, attributes ...attribute.KeyValue) (context string) {
	span := tracing.Start(parent, step, append(attributes, attribute.String("job", jobID))...)
	span.End("")
	return span.Context()
}

// sortedKeys returns the keys of a map in order, so that the same state leads to the same
// decisions.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
