package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
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
	settings, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if team := settings.Teams()["red"]; team.Limit.Cores != 136_000 || team.Limit.GPUs != model.NoLimit || team.Guaranteed.Cores != 64_000 {
		t.Errorf("team %+v, want at most 136 cores, GPUs without a limit, and 64 cores guaranteed", team)
	}
	if times := settings.StartObjectives()["c"]; len(times) != 2 || times[0] != 8*model.Second || times[1] != 18*model.Second {
		t.Errorf("start objectives %v, want 8 s and 18 s", times)
	}
	if times := settings.FinishObjectives()["d"]; len(times) != 1 || times[0] != 150*model.Second {
		t.Errorf("finish objectives %v, want 150 s", times)
	}
}

// Unknown settings have to be ignored, and keys are case-sensitive. A setting that differed from a
// known one in case alone replaced it.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	document := validSettings + "[params.state.next]\nrps = 90.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 12\n"
	want, err := Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	check := func(changed string) {
		if got, err := Parse([]byte(changed)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\ngot  %+v, error %v\nwant %+v", changed, got, err, want)
		}
	}
	lines := strings.SplitAfter(document, "\n")
	for i, line := range lines {
		key, _, isSetting := strings.Cut(line, " = ")
		if !isSetting {
			continue
		}
		for _, other := range []string{strings.ToUpper(key), strings.ToUpper(key[:1]) + key[1:], strings.Replace(`"`+key+`"`, "k", "\u212a", 1)} {
			if other == `"`+key+`"` {
				continue // the same key, quoted
			}
			for _, value := range []string{"7", "\"10.9.9.9:1\"", "[]", "{ x = 2024-01-01 }"} {
				unknown := other + " = " + value + "\n"
				check(strings.Join(lines[:i], "") + unknown + strings.Join(lines[i:], ""))
				check(strings.Join(lines[:i+1], "") + unknown + strings.Join(lines[i+1:], ""))
			}
		}
	}
	for _, table := range []string{"[Services]\ncloud = \"10.9.9.9:1\"\n", "[params.Workers]\nlease_s = 99.0\n", "[[params.Teams]]\nname = \"blue\"\n", "[[Siblings]]\nnode_name = \"n9\"\n",
		"[Params.state]\nrps = nan\n", "[params.\"wor\u212aers\"]\nlease_s = 99.0\n"} {
		check(document + table)
		check(strings.Replace(document, "[[siblings]]", table+"[[siblings]]", 1))
	}
}

// All keys of the settings are in lower case: other keys are taken to be unknown.
func TestKeysAreInLowerCase(t *testing.T) {
	var visit func(settings reflect.Type)
	visit = func(settings reflect.Type) {
		for settings.Kind() == reflect.Slice || settings.Kind() == reflect.Pointer {
			settings = settings.Elem()
		}
		if settings.Kind() != reflect.Struct {
			return
		}
		for i := range settings.NumField() {
			field := settings.Field(i)
			if key := field.Tag.Get("toml"); !field.Anonymous && (key == "" || key != strings.ToLower(key)) {
				t.Errorf("%s.%s: key %q is not in lower case", settings, field.Name, key)
			}
			visit(field.Type)
		}
	}
	visit(reflect.TypeFor[Settings]())
}

// Of the current and the next limits of the state service, the smaller ones apply, each by
// itself.
func TestNextLimits(t *testing.T) {
	settings, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if limits := settings.StateLimits(); limits != (Limits{RPS: 120, WriteRPS: 40, ValueKB: 32, TxnOps: 24}) {
		t.Errorf("without next limits: %+v", limits)
	}
	settings, err = Parse([]byte(validSettings + "[params.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 48\nother = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if limits := settings.StateLimits(); limits != (Limits{RPS: 120, WriteRPS: 28, ValueKB: 2, TxnOps: 24}) {
		t.Errorf("with next limits: %+v", limits)
	}
	for field, value := range map[string]string{"rps": "0.0", "write_rps": "-1.0", "value_kb": "0.5", "txn_ops": "1"} {
		_, err := Parse([]byte(validSettings + "[params.state.next]\n" + field + " = " + value + "\n"))
		if err == nil || !strings.Contains(err.Error(), "params.state.next."+field) {
			t.Errorf("%s = %s: error %v, want one that names the field", field, value, err)
		}
	}
}

func TestBadSettingsNameTheField(t *testing.T) {
	for old, invalid := range map[string][2]string{ // replacement, field that the error names
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
		_, err := Parse([]byte(strings.Replace(validSettings, old, invalid[0], 1)))
		if err == nil || !strings.Contains(err.Error(), invalid[1]) {
			t.Errorf("%q instead of %q: error %v, want one that names %s", invalid[0], old, err, invalid[1])
		}
	}
}

func TestFieldErrors(t *testing.T) {
	for replacement, want := range map[[2]string]FieldError{
		{"txn_ops = 24", "txn_ops = 1"}:     {"params.state.txn_ops", "1 is not between 2 and 1e+06"},
		{"lease_s = 18.0", "lease_s = 0.0"}: {"params.workers.lease_s", "0 is not greater than 0 and at most 86400"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, replacement[0], replacement[1], 1)))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || *fieldError != want {
			t.Errorf("%s: error %v, want %v", replacement[1], err, &want)
		}
	}
}

// Settings that are unusual, but with which the controller can run safely, are accepted.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	for old, unusual := range map[string]string{
		`report_s = 2.5`:  `report_s = 14.0`,
		`cancel_s = 38.0`: `cancel_s = 23.0`,
	} {
		if _, err := Parse([]byte(strings.Replace(validSettings, old, unusual, 1))); err != nil {
			t.Errorf("%s: %v", unusual, err)
		}
	}
	if _, err := Parse([]byte(strings.Replace(validSettings, `report_s = 2.5`, `report_s = 15.0`, 1))); err == nil {
		t.Error("a report period of 15 s is accepted with a worker lease of 18 s")
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
	operator, err := LoadOperatorSettings(path)
	if err != nil || operator.ExtraCapacityRate != 0.2 || operator.Granularity != 5 {
		t.Errorf("%+v, error %v, want extra-capacity-rate 0.2 and the default granularity 5", operator, err)
	}
	write(`<woadweir><granularity>0</granularity></woadweir>`)
	if _, err := LoadOperatorSettings(path); err == nil || !strings.Contains(err.Error(), "granularity") {
		t.Errorf("granularity 0: error %v, want one that names the element", err)
	}
	for _, invalid := range []string{"x", "2.5", ""} {
		write(`<woadweir><granularity>` + invalid + `</granularity></woadweir>`)
		if _, err := LoadOperatorSettings(path); err == nil || !strings.Contains(err.Error(), "granularity") {
			t.Errorf("granularity %q: error %v, want one that names the element", invalid, err)
		}
	}
	write(`<other/>`)
	if _, err := LoadOperatorSettings(path); err == nil {
		t.Error("a document with another root element is accepted")
	}
	if operator, err := LoadOperatorSettings(""); err != nil || operator.LoopPeriodS != 10 {
		t.Errorf("defaults: %+v, error %v, want loop-period-s 10", operator, err)
	}
}

// A team's limit that is 0 or missing means no limit. A guarantee without a limit is kept.
// A resource with neither does not count against the guarantee.
func TestTeamsWithoutLimit(t *testing.T) {
	const teamLines = "cpus = 64.0\ncpus_max = 136.0\n"
	for lines, want := range map[string][2]model.Milli{
		teamLines:                        {64_000, 136_000},
		"":                               {model.NoLimit, model.NoLimit},
		"cpus = 0.0\ncpus_max = 0.0\n":   {model.NoLimit, model.NoLimit},
		"cpus = 64.0\n":                  {64_000, model.NoLimit},
		"cpus = 64.0\ncpus_max = 0.0\n":  {64_000, model.NoLimit},
		"cpus_max = 136.0\n":             {0, 136_000},
		"cpus = 0.0\ncpus_max = 136.0\n": {0, 136_000},
	} {
		if !strings.Contains(validSettings, teamLines) {
			t.Fatalf("validSettings does not contain %q, so nothing would be replaced", teamLines)
		}
		settings, err := Parse([]byte(strings.Replace(validSettings, teamLines, lines, 1)))
		if err != nil {
			t.Fatalf("%q: %v", lines, err)
		}
		team := settings.Teams()[settings.Params.Teams[0].Name]
		if got := [2]model.Milli{team.Guaranteed.Cores, team.Limit.Cores}; got != want {
			t.Errorf("%q: guarantee and limit %v, want %v", lines, got, want)
		}
		job := &model.Job{Team: team.Name, Tasks: 1, Request: model.Resources{Cores: 8000, GPUs: 1000}}
		machineTypes := []model.MachineType{{Name: "f", Cores: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
		if reason := job.InfeasibleReason(settings.Teams(), machineTypes); reason != "" {
			t.Errorf("%q: a task with 8 cores can never run: %s", lines, reason)
		}
	}
}
