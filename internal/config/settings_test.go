package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

const validSettings = `
node_name = "n0"
area = "z"
serve_on = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unheard_of = 3

[[siblings]]
node_name = "n1"
area = "z"
endpoint = "10.0.0.2:8081"

[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[params]
clock_error_ms = 100.0
[[params.teams]]
name = "red"
cpus = 64.0
cpus_max = 136.0
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 18.0
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 8.0
[[params.objectives]]
kind = "finished"
class = "d"
within_s = 150.0
[params.workers]
report_s = 2.5
lease_s = 18.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 38.0
[params.state]
rps = 120.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 24
[params.cloud]
rps = 8.0
list_lag_s = 5.0
[params.quota]
cores = 0.18
ram_mb = 98.0
fd_limit = 1500
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if tm := s.Teams()["red"]; tm.Limit.Cores != 136_000 || tm.Limit.GPUs != model.NoLimit || tm.Guaranteed.Cores != 64_000 {
		t.Errorf("team %+v", tm)
	}
	if w := s.StartObjectives()["c"]; len(w) != 2 || w[0] != 8*model.Second || w[1] != 18*model.Second {
		t.Errorf("waits %v", w)
	}
	if f := s.FinishObjectives()["d"]; len(f) != 1 || f[0] != 150*model.Second {
		t.Errorf("finish %v", f)
	}
}

// Of the limits now and next the smaller ones are kept, whichever they are.
func TestNextLimits(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if l := s.StateLimits(); l != (Limits{RPS: 120, WriteRPS: 40, ValueKB: 32, TxnOps: 24}) {
		t.Errorf("without any to come: %+v", l)
	}
	s, err = Parse([]byte(validSettings + "[params.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 48\nother = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if l := s.StateLimits(); l != (Limits{RPS: 120, WriteRPS: 28, ValueKB: 2, TxnOps: 24}) {
		t.Errorf("with some to come: %+v", l)
	}
	for field, value := range map[string]string{"rps": "0.0", "write_rps": "-1.0", "value_kb": "0.5", "txn_ops": "1"} {
		_, err := Parse([]byte(validSettings + "[params.state.next]\n" + field + " = " + value + "\n"))
		if err == nil || !strings.Contains(err.Error(), "params.state.next."+field) {
			t.Errorf("%s = %s: %v, want the field named", field, value, err)
		}
	}
}

func TestBadSettingsNameTheField(t *testing.T) {
	for old, c := range map[string][2]string{
		`serve_on = "10.0.0.1:8080"`: {`serve_on = "here"`, "serve_on"},
		`state = "10.2.0.1:2379"`:    {``, "services.state"},
		`lease_s = 18.0`:             {`lease_s = 0.0`, "params.workers.lease_s"},
		`txn_ops = 24`:               {`txn_ops = 1`, "params.state.txn_ops"},
		`cpus_max = 136.0`:           {`cpus_max = -1.0`, "params.teams[0].cpus_max"},
		`node_name = "n1"`:           {``, "siblings[0].node_name"},
		`report_s = 2.5`:             {`report_s = "often"`, "params.workers.report_s"},
		`cancel_s = 38.0`:            {`cancel_s = 21.0`, "params.workers.cancel_s"},
		`gang_wait_s = 30.0`:         {`gang_wait_s = -1.0`, "params.workers.gang_wait_s"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, old, c[0], 1)))
		if err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s instead of %s: %v, want the field %s named", c[0], old, err, c[1])
		}
	}
}

func TestFieldErrors(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validSettings, "txn_ops = 24", "txn_ops = 1", 1)))
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || *fieldError != (FieldError{"params.state.txn_ops", "1 is out of range"}) {
		t.Errorf("%v", err)
	}
}

// Settings that are unusual, but with which something safe can be done, start.
func TestUnusualSettingsStart(t *testing.T) {
	for old, odd := range map[string]string{
		`report_s = 2.5`:  `report_s = 14.0`,
		`cancel_s = 38.0`: `cancel_s = 23.0`,
	} {
		if _, err := Parse([]byte(strings.Replace(validSettings, old, odd, 1))); err != nil {
			t.Errorf("%s: %v", odd, err)
		}
	}
	if _, err := Parse([]byte(strings.Replace(validSettings, `report_s = 2.5`, `report_s = 15.0`, 1))); err == nil {
		t.Error("workers that report less often than their lease lasts")
	}
}

func TestOperatorFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.xml")
	write := func(body string) {
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`<woadweir><extra-capacity-rate>0.2</extra-capacity-rate></woadweir>`)
	o, err := LoadOperatorSettings(path)
	if err != nil || o.ExtraCapacityRate != 0.2 || o.Granularity != 5 {
		t.Errorf("%+v, %v", o, err)
	}
	write(`<woadweir><granularity>0</granularity></woadweir>`)
	if _, err := LoadOperatorSettings(path); err == nil || !strings.Contains(err.Error(), "granularity") {
		t.Errorf("out of bounds: %v", err)
	}
	for _, bad := range []string{"x", "2.5", ""} {
		write(`<woadweir><granularity>` + bad + `</granularity></woadweir>`)
		if _, err := LoadOperatorSettings(path); err == nil || !strings.Contains(err.Error(), "granularity") {
			t.Errorf("granularity %q: %v", bad, err)
		}
	}
	write(`<other/>`)
	if _, err := LoadOperatorSettings(path); err == nil {
		t.Error("another document is taken")
	}
	if o, err := LoadOperatorSettings(""); err != nil || o.LoopPeriodS != 10 {
		t.Errorf("defaults: %+v, %v", o, err)
	}
}

// A team's limit of 0, or one that is not named, is no limit; a guarantee that is named
// stands by itself, and what is named in neither way is not asked for.
func TestTeamsWithoutALimit(t *testing.T) {
	const named = "cpus = 64.0\ncpus_max = 136.0\n"
	for lines, want := range map[string][2]model.Milli{
		named:                            {64_000, 136_000},
		"":                               {model.NoLimit, model.NoLimit},
		"cpus = 0.0\ncpus_max = 0.0\n":   {model.NoLimit, model.NoLimit},
		"cpus = 64.0\n":                  {64_000, model.NoLimit},
		"cpus = 64.0\ncpus_max = 0.0\n":  {64_000, model.NoLimit},
		"cpus_max = 136.0\n":             {0, 136_000},
		"cpus = 0.0\ncpus_max = 136.0\n": {0, 136_000},
	} {
		if !strings.Contains(validSettings, named) {
			t.Fatal("the settings have changed")
		}
		s, err := Parse([]byte(strings.Replace(validSettings, named, lines, 1)))
		if err != nil {
			t.Fatalf("%q: %v", lines, err)
		}
		team := s.Teams()[s.Params.Teams[0].Name]
		if got := [2]model.Milli{team.Guaranteed.Cores, team.Limit.Cores}; got != want {
			t.Errorf("%q: guarantee and limit %v, want %v", lines, got, want)
		}
		job := &model.Job{Team: team.Name, Tasks: 1, Request: model.Resources{Cores: 8000, GPUs: 1000}}
		machineTypes := []model.MachineType{{Name: "f", Cores: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
		if why := job.InfeasibleReason(s.Teams(), machineTypes); why != "" {
			t.Errorf("%q: a task with 8 cores can't run: %s", lines, why)
		}
	}
}
