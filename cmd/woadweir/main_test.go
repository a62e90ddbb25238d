package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// The test binary runs as the program itself if WOADWEIR_TEST_MAIN is set, so that tests can
// check exit statuses.
func TestMain(m *testing.M) {
	if os.Getenv("WOADWEIR_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const goodSettings = `node_name = "node-0"
serve_on = "127.0.0.1:0"
back = "127.0.0.1:0"
[[siblings]]
node_name = "node-1"
endpoint = "127.0.0.1:1"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
[[params.teams]]
name = "red"
cpus_max = 10.0
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
`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Exit statuses and messages: 0 for success, 2 for errors in the settings or the command
// line, reported on one line, and 1 for other failures.
func TestExitStatus(t *testing.T) {
	badSettings := filepath.Join(t.TempDir(), "bad.toml")
	writeFile(t, badSettings, `node_name = "x"`)
	validSettings, unknownController := filepath.Join(t.TempDir(), "good.toml"), filepath.Join(t.TempDir(), "duties.xml")
	writeFile(t, validSettings, goodSettings)
	writeFile(t, unknownController, `<duties><duty name="renting"><prefer>node-7</prefer></duty></duties>`)
	longLease := filepath.Join(t.TempDir(), "long.xml")
	writeFile(t, longLease, `<duties><lease-s>60</lease-s></duties>`)
	longSpillLease := filepath.Join(t.TempDir(), "spill.xml")
	writeFile(t, longSpillLease, `<spill cell="north"><lease-s>30</lease-s></spill>`)
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"version", 0, "woadweir "},
		{"--help", 0, "Usage: woadweir"},
		{"check --config " + badSettings, 2, "serve_on: missing"},
		{"--config " + badSettings, 2, "serve_on: missing"},
		{"check --config " + badSettings + ".none", 2, "no such file"},
		{"run", 2, "--config"},
		{"frob", 2, "frob"},
		{"check --config " + validSettings, 0, "settings are good"},
		{"check --config " + validSettings + " --duties ../../deploy/duties.xml", 0, "settings are good"},
		{"check --config " + validSettings + " --duties " + unknownController, 2, `duty renting: unknown controller "node-7"`},
		{"check --config " + validSettings + " --duties " + longLease, 2, "lease-s: 60 is longer than is safe"},
		{"duties --config " + validSettings, 1, "state service"},
		{"check --config " + validSettings + " --spill ../../deploy/spill.xml", 0, "settings are good"},
		{"check --config " + validSettings + " --spill " + longSpillLease, 2, "lease-s: an execution lease of 30 s"},
		{"run --config " + validSettings + " --spill " + longSpillLease, 2, "lease-s: an execution lease of 30 s"},
		{"spills --config " + validSettings, 1, "state service"},
	} {
		cmd := exec.Command(os.Args[0], strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "WOADWEIR_TEST_MAIN=1")
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: got status %d and output %q, want status %d and %q in the output", c.args, got, out, c.status, c.want)
		}
		if c.status == 2 && strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: got output %q, want a single line", c.args, out)
		}
	}
}

// runAgainstState runs a command against a state service with the given handler, and returns
// the lines of its output.
func runAgainstState(t *testing.T, command string, handler fasthttp.RequestHandler) []string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	config := filepath.Join(t.TempDir(), "good.toml")
	writeFile(t, config, strings.ReplaceAll(goodSettings, `state = "127.0.0.1:1"`, `state = "`+listener.Addr().String()+`"`))
	cmd := exec.Command(os.Args[0], command, "--config", config)
	cmd.Env = append(os.Environ(), "WOADWEIR_TEST_MAIN=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatal(err, string(out))
	}
	return strings.Split(string(out), "\n")
}

// The spills command reads the lent and borrowed jobs from the state service.
func TestSpillsCommand(t *testing.T) {
	lines := runAgainstState(t, "spills", func(request *fasthttp.RequestCtx) {
		if string(request.QueryArgs().Peek("starts")) != "spill/" {
			request.SetStatusCode(400)
			return
		}
		request.SetBodyString(`{"entries":[{"path":"spill/in/south/j-000007","value":{"home":"south","token":5,"state":"returned","sinceMs":1700000000000},"stamp":9},
			{"path":"spill/out/j-000001","value":{"cell":"west","token":3145733,"state":"lent","sinceMs":1700000000000},"stamp":8}],"hasNext":false,"epoch":12}`)
	})
	for i, want := range []string{"JOB HOME GUEST STATE TOKEN SINCE", "j-000007 south here returned 5 2023-11-14T22:13:20Z", "j-000001 here west lent 3145733 2023-11-14T22:13:20Z"} {
		if got := strings.Join(strings.Fields(lines[i]), " "); got != want {
			t.Errorf("line %d: got %q, want %q", i, got, want)
		}
	}
}

// The duties command reads from the state service who holds each duty, and why the previous
// holder lost it.
func TestDutiesCommand(t *testing.T) {
	lines := runAgainstState(t, "duties", func(request *fasthttp.RequestCtx) {
		switch string(request.Path()) {
		case "/keys/duty/renting":
			request.SetBodyString(`{"path":"duty/renting","value":{"holder":"node-1","session":7,"sinceMs":1700000000000,"previous":"node-2","previousToken":31,"why":"cloud not reached"},"stamp":44}`)
		case "/keys/grant/b0":
			request.SetBodyString(`{"path":"grant/b0","value":{"holder":"node-0","session":6},"stamp":12}`)
		default:
			request.SetStatusCode(404)
			request.SetBodyString(`{"epoch":50}`)
		}
	})
	for i, want := range []string{"DUTY HOLDER TOKEN SINCE PREVIOUS ITS TOKEN WHY IT LOST THE DUTY",
		"renting node-1 44 2023-11-14T22:13:20Z node-2 31 cloud not reached", "returning - 0 - - 0 -", "cleanup - 0 - - 0 -", "reclaiming node-0 12 - - 0 -"} {
		if got := strings.Join(strings.Fields(lines[i]), " "); got != want {
			t.Errorf("line %d: got %q, want %q", i, got, want)
		}
	}
}
