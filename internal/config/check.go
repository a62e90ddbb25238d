package config

import (
	"fmt"
	"math"
	"net/netip"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
)

// FieldError reports a setting with which the controller can't run safely.
type FieldError struct {
	Field  string // path of the field in the file
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

const missing = "missing"

// fieldRange is a field's value with the range that it has to be in.
type fieldRange struct {
	field       string
	value       float64
	low, high   float64
	includesLow bool // low itself is in the range
}

func (r *fieldRange) contains() bool {
	if math.IsNaN(r.value) || r.value > r.high || r.value < r.low {
		return false
	}
	return r.includesLow || r.value != r.low
}

func (r *fieldRange) outOfRangeReason() string {
	if r.includesLow {
		return fmt.Sprintf("%v is not between %v and %v", r.value, r.low, r.high)
	}
	return fmt.Sprintf("%v is not greater than %v and at most %v", r.value, r.low, r.high)
}

func checkRanges(ranges []fieldRange) error {
	for _, r := range ranges {
		if !r.contains() {
			return &FieldError{r.field, r.outOfRangeReason()}
		}
	}
	return nil
}

// check returns an error for the first invalid field. All settings with which the
// controller can run safely are accepted, however unusual.
func (s *Settings) check() error {
	checks := []func() error{s.checkNames, s.checkAddresses, s.checkTeamNames, s.checkAllRanges, s.checkSession}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	if s.NodeName == "" {
		return &FieldError{"node_name", missing}
	}
	for i, sibling := range s.Siblings {
		if sibling.NodeName == "" {
			return &FieldError{fmt.Sprintf("siblings[%d].node_name", i), missing}
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"serve_on", s.ServeOn},
		{"back", s.PeerAddress},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	}
	for i, sibling := range s.Siblings {
		addresses = append(addresses, address{fmt.Sprintf("siblings[%d].endpoint", i), sibling.Endpoint})
	}
	for _, a := range addresses {
		if a.value == "" {
			return &FieldError{a.field, missing}
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &FieldError{a.field, fmt.Sprintf("%q is not an address with a port", a.value)}
		}
	}
	return nil
}

func (s *Settings) checkTeamNames() error {
	if len(s.Params.Teams) == 0 {
		return &FieldError{"params.teams", missing}
	}
	for i, team := range s.Params.Teams {
		if team.Name == "" {
			return &FieldError{teamField(i, "name"), missing}
		}
	}
	return nil
}

func teamField(index int, field string) string {
	return fmt.Sprintf("params.teams[%d].%s", index, field)
}

func (s *Settings) checkAllRanges() error {
	ranges := s.Params.ranges()
	ranges = append(ranges, s.Params.State.Limits.ranges("params.state")...)
	ranges = append(ranges, s.nextLimits().ranges("params.state.next")...)
	for i := range s.Params.Teams {
		ranges = append(ranges, s.Params.Teams[i].ranges(i)...)
	}
	return checkRanges(ranges)
}

func (p *Params) ranges() []fieldRange {
	return []fieldRange{
		{"params.workers.report_s", p.Workers.ReportS, 0, 3600, false},
		{"params.workers.lease_s", p.Workers.LeaseS, 0, 86400, false},
		{"params.workers.gang_wait_s", p.Workers.GangWaitS, 0, 86400, true},
		{"params.workers.gang_peer_s", p.Workers.GangPeerS, 0, 86400, true},
		{"params.workers.cancel_s", p.Workers.CancelS, 0, 86400, false},
		{"params.cloud.rps", p.Cloud.RPS, 0, 1e6, false},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS, 0, 3600, true},
		{"params.clock_error_ms", p.ClockErrorMs, 0, 1e7, true},
		{"params.quota.cores", p.Quota.Cores, 0, 1e4, true},
		{"params.quota.ram_mb", p.Quota.RAMMB, 0, 1e7, true},
	}
}

func (l Limits) ranges(section string) []fieldRange {
	return []fieldRange{
		{section + ".rps", l.RPS, 0, 1e9, false},
		{section + ".write_rps", l.WriteRPS, 0, 1e9, false},
		{section + ".value_kb", l.ValueKB, 1, 1e6, true},
		{section + ".txn_ops", float64(l.TxnOps), 2, 1e6, true},
	}
}

func (t *Team) ranges(index int) []fieldRange {
	return []fieldRange{
		{teamField(index, "cpus"), t.CPUs, 0, 1e9, true},
		{teamField(index, "cpus_max"), t.CPUsMax, 0, 1e9, true},
		{teamField(index, "gpus"), t.GPUs, 0, 1e9, true},
		{teamField(index, "gpus_max"), t.GPUsMax, 0, 1e9, true},
	}
}

// checkSession checks that the workers' times allow a safe session lease.
func (s *Settings) checkSession() error {
	workers := &s.Params.Workers
	if workers.ReportS*5/4 >= workers.LeaseS {
		return &FieldError{"params.workers.report_s", fmt.Sprintf("a report period of %v s is too long for a worker lease of %v s", workers.ReportS, workers.LeaseS)}
	}
	if !leadership.IsFeasible(model.Seconds(workers.LeaseS), model.Seconds(workers.CancelS)) {
		return &FieldError{"params.workers.cancel_s", fmt.Sprintf("a cancellation time of %v s is too short for a session lease and a worker lease of %v s", workers.CancelS, workers.LeaseS)}
	}
	return nil
}
