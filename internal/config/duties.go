package config

import (
	"fmt"
	"os"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// LoadDuties loads the duties file and checks it against the other settings. For an empty
// path, it returns nil: the leader performs all duties itself.
func LoadDuties(path string, s *Settings, operator *OperatorSettings) (*duty.Policy, error) {
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
	policy, err := duty.ParseSettings(raw, nodes, s.LeaseTimes(operator).TTL)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return policy, nil
}

// LeaseTimes returns the times of the controller's session lease that result from the
// settings. The duties file may shorten the session.
func (s *Settings) LeaseTimes(operator *OperatorSettings) leadership.LeaseTimes {
	workers := &s.Params.Workers
	maxTTL := model.Seconds(float64(operator.BlockLeaseS))
	if operator.Duties != nil && operator.Duties.Lease != 0 {
		maxTTL = min(maxTTL, operator.Duties.Lease)
	}
	return leadership.ComputeLeaseTimes(maxTTL, model.Seconds(workers.LeaseS), model.Seconds(workers.ReportS), model.Seconds(workers.CancelS))
}
