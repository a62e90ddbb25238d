// Package config reads and checks the settings: the platform's TOML file and the
// operators' own XML files.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields it does not name are ignored.
type Settings struct {
	NodeName    string    `toml:"node_name"`
	Area        string    `toml:"area"`
	ServeOn     string    `toml:"serve_on"` // address for users and workers
	PeerAddress string    `toml:"back"`     // address for the other controllers
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
	Kind             string  `toml:"kind"` // one of the objective kinds below
	Class            string  `toml:"class"`
	WithinS          float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // of the job's deadline
}

// Workers are the times of the protocol with the workers.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // period of the heartbeats
	LeaseS    float64 `toml:"lease_s"`     // for which a worker runs its tasks without a response
	GangWaitS float64 `toml:"gang_wait_s"` // for which the tasks of a gang wait for each other
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"` // within which the tasks of a cancelled job stop
}

// State is the rate and size limits of the state service.
type State struct {
	Limits
	// Next holds the limits that the state service will have from some unannounced
	// moment on; what it does not name stays.
	Next NextLimits `toml:"next"`
}

// Limits are the rates and sizes that the state service accepts.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// NextLimits are changes of Limits, nil where a limit stays.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Cloud is the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"` // by which its machine list may be out of date
}

// Quota is what a controller may use of its own machine.
type Quota struct {
	Cores   float64 `toml:"cores"`
	RAMMB   float64 `toml:"ram_mb"`
	FDLimit int     `toml:"fd_limit"`
}

// Load reads and checks the platform's file.
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

// Parse reads and checks settings. A FieldError names the first field at fault.
func Parse(raw []byte) (*Settings, error) {
	settings := new(Settings)
	if err := toml.Unmarshal(raw, settings); err != nil {
		return nil, addFieldPath(err)
	}
	return settings, settings.check()
}

// addFieldPath adds the path of the field to an error of the TOML decoder, which names the
// Go type instead.
func addFieldPath(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) || len(decodeError.Key()) == 0 {
		return err
	}
	return fmt.Errorf("%s: %w", strings.Join(decodeError.Key(), "."), err)
}

// nextLimits are the limits of the state service after they have changed.
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

// StateLimits are the limits of the state service that are respected at any time: the
// smaller ones of now and next, as the change comes without notice.
func (s *Settings) StateLimits() Limits {
	now, next := s.Params.State.Limits, s.nextLimits()
	return Limits{
		RPS:      min(now.RPS, next.RPS),
		WriteRPS: min(now.WriteRPS, next.WriteRPS),
		ValueKB:  min(now.ValueKB, next.ValueKB),
		TxnOps:   min(now.TxnOps, next.TxnOps),
	}
}
