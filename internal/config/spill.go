package config

import (
	"fmt"
	"os"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// LoadSpill loads the spill file and checks it against the other settings. For an empty
// path, it returns nil: no jobs are lent to other cells or borrowed from them.
func LoadSpill(path string, s *Settings) (*spill.Policy, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	workers := &s.Params.Workers
	policy, err := spill.ParseSettings(raw, model.Seconds(workers.LeaseS), model.Seconds(workers.CancelS))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return policy, nil
}
