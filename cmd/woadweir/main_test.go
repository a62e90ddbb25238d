package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Run as the program itself when asked to, so that exit statuses can be seen.
func TestMain(m *testing.M) {
	if os.Getenv("WOADWEIR_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestExitStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte(`node_name = "x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"version", 0, "woadweir "},
		{"--help", 0, "Usage: woadweir"},
		{"check --config " + bad, 2, "serve_on: missing"},
		{"--config " + bad, 2, "serve_on: missing"},
		{"check --config " + bad + ".none", 2, "no such file"},
		{"run", 2, "--config"},
		{"frob", 2, "frob"},
	} {
		cmd := exec.Command(os.Args[0], strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "WOADWEIR_TEST_MAIN=1")
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.says) {
			t.Errorf("%s: status %d, %q; want %d and %q", c.args, got, out, c.status, c.says)
		}
		if c.status == 2 && strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %q is not one line", c.args, out)
		}
	}
}
