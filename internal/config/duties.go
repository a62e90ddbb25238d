package config

import (
	"fmt"
	"os"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// LoadDuties reads and checks the duties file against the deployment's settings; an
// empty path gives nil: the leader does everything itself.
func LoadDuties(path string, s *Settings, o *Operator) (*duty.Policy, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	nodes := []string{s.NodeName}
	for _, sibling := range s.Siblings {
		nodes = append(nodes, sibling.NodeName)
	}
	policy, err := duty.ParseSettings(raw, nodes, s.Spans(o).TTL)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return policy, nil
}

// Spans are the times of safety that follow from the settings. The duties file may
// shorten the session.
func (s *Settings) Spans(o *Operator) leadership.Spans {
	w := s.Params.Workers
	longest := model.Seconds(float64(o.BlockLeaseS))
	if o.Duties != nil && o.Duties.Lease != 0 {
		longest = min(longest, o.Duties.Lease)
	}
	return leadership.Settle(longest, model.Seconds(w.LeaseS), model.Seconds(w.ReportS), model.Seconds(w.CancelS))
}
