// Package config loads and checks the settings: the platform's TOML file and the operators'
// XML files.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the settings from the platform's file. Unknown fields in the file are
// ignored.
type Settings struct {
	NodeName    string    `toml:"node_name"`
	Area        string    `toml:"area"`
	ServeOn     string    `toml:"serve_on"` // listen address for users and workers
	PeerAddress string    `toml:"back"`     // listen address for the other controllers
	Siblings    []Sibling `toml:"siblings"`
	Services    Services  `toml:"services"`
	Params      Params    `toml:"params"`
}

// Sibling is another controller of this deployment.
type Sibling struct {
	NodeName string `toml:"node_name"`
	Area     string `toml:"area"`
	Endpoint string `toml:"endpoint"`
}

// Services are the addresses of the services that the controllers use.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the parameters of the deployment.
type Params struct {
	Zones        []string    `toml:"zones"`
	ClockErrorMs float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Quota        Quota       `toml:"quota"`
}

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for the jobs of a class.
type Objective struct {
	Kind             string  `toml:"kind"` // one of the kinds in objectives.go
	Class            string  `toml:"class"`
	WithinS          float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // of the job's deadline
}

// Workers are the times of the protocol with the workers.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // heartbeat period
	LeaseS    float64 `toml:"lease_s"`     // how long a worker runs its tasks without a response
	GangWaitS float64 `toml:"gang_wait_s"` // how long the tasks of a gang wait for each other
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"` // time within which the tasks of a cancelled job have to stop
}

// State holds the rate and size limits of the state service.
type State struct {
	Limits
	// Next holds the limits that the state service will change to at an unannounced time.
	// Limits that it does not contain stay.
	Next NextLimits `toml:"next"`
}

// Limits are the request rates and sizes that the state service accepts.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// NextLimits are changes to Limits; nil fields leave a limit unchanged.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"` // by how much the cloud's machine list may be out of date
}

// Quota is the quota of a controller on the machine that it runs on.
type Quota struct {
	Cores   float64 `toml:"cores"`
	RAMMB   float64 `toml:"ram_mb"`
	FDLimit int     `toml:"fd_limit"`
}

// Load loads and checks the platform's file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and checks settings. A FieldError names the first invalid field.
func Parse(raw []byte) (*Settings, error) {
	raw, err := withoutFoldedKeys(raw)
	if err != nil {
		return nil, err
	}
	settings := new(Settings)
	if err := toml.Unmarshal(raw, settings); err != nil {
		return nil, addFieldPath(err)
	}
	return settings, settings.check()
}

// withoutFoldedKeys removes the keys that are not in lower case from a TOML document. They are
// unknown, because all keys of Settings are in lower case, but the TOML decoder matches keys
// without regard to case.
func withoutFoldedKeys(raw []byte) ([]byte, error) {
	var document map[string]any
	if err := toml.Unmarshal(raw, &document); err != nil {
		return nil, err
	}
	if !removeFoldedKeys(document) {
		return raw, nil
	}
	return toml.Marshal(document)
}

// removeFoldedKeys removes the keys that are not in lower case from a TOML value and the tables
// in it. It reports whether there were any.
func removeFoldedKeys(value any) (removed bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			if key != strings.ToLower(key) {
				delete(value, key)
				removed = true
			} else if removeFoldedKeys(element) {
				removed = true
			}
		}
	case []any:
		for _, element := range value {
			if removeFoldedKeys(element) {
				removed = true
			}
		}
	}
	return removed
}

// addFieldPath adds the path of the field to an error of the TOML decoder, whose text names
// the Go type instead.
func addFieldPath(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) || len(decodeError.Key()) == 0 {
		return err
	}
	return fmt.Errorf("%s: %w", strings.Join(decodeError.Key(), "."), err)
}

// nextLimits returns the limits of the state service after the change.
func (s *Settings) nextLimits() Limits {
	limits, next := s.Params.State.Limits, &s.Params.State.Next
	if next.RPS != nil {
		limits.RPS = *next.RPS
	}
	if next.WriteRPS != nil {
		limits.WriteRPS = *next.WriteRPS
	}
	if next.ValueKB != nil {
		limits.ValueKB = *next.ValueKB
	}
	if next.TxnOps != nil {
		limits.TxnOps = *next.TxnOps
	}
	return limits
}

// StateLimits returns the limits of the state service that are always respected: the
// smaller of the current and the next ones, as the change comes without notice.
func (s *Settings) StateLimits() Limits {
	current, next := s.Params.State.Limits, s.nextLimits()
	return Limits{
		RPS:      min(current.RPS, next.RPS),
		WriteRPS: min(current.WriteRPS, next.WriteRPS),
		ValueKB:  min(current.ValueKB, next.ValueKB),
		TxnOps:   min(current.TxnOps, next.TxnOps),
	}
}
