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
func LoadDuties(path string, s *Settings, o *OperatorSettings) (*duty.Policy, error) {
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
	policy, err := duty.ParseSettings(raw, nodes, s.LeaseTimes(o).TTL)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return policy, nil
}

// LeaseTimes are the times of the controller's session lease that follow from the
// settings. The duties file may shorten the session.
func (s *Settings) LeaseTimes(o *OperatorSettings) leadership.LeaseTimes {
	workers := &s.Params.Workers
	longest := model.Seconds(float64(o.BlockLeaseS))
	if o.Duties != nil && o.Duties.Lease != 0 {
		longest = min(longest, o.Duties.Lease)
	}
	return leadership.ComputeLeaseTimes(longest, model.Seconds(workers.LeaseS), model.Seconds(workers.ReportS), model.Seconds(workers.CancelS))
}
