package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a controller, a process of the program that the deploy file builds.
type node struct {
	name, serve, back, settings, logPath string
	process                              *exec.Cmd
	exited                               chan struct{}
}

// deployment is what the settings files describe.
type deployment struct {
	nodes []*node
	dir   string
}

// program is the program that the deploy file builds, relative to the repository's root.
const program = "target/woadweir"

// newDeployment writes the settings of some controllers. params is the rest of the file,
// from [params] on.
func newDeployment(names []string, area, stateAddress, cloudAddress, params string) *deployment {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	d := &deployment{dir: dir}
	for _, name := range names {
		d.nodes = append(d.nodes, &node{name: name, serve: freeAddress(), back: freeAddress(), settings: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log")})
	}
	for _, n := range d.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "node_name = %q\narea = %q\nserve_on = %q\nback = %q\n", n.name, area, n.serve, n.back)
		for _, other := range d.nodes {
			if other != n {
				fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\narea = %q\nendpoint = %q\n", other.name, area, other.back)
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", cloudAddress, stateAddress)
		if err := os.WriteFile(n.settings, []byte(b.String()+params), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	cleanups = append([]func(){d.killAll}, cleanups...)
	return d
}

var usedPorts = map[string]bool{}

func freeAddress() string {
	for {
		listener := listen()
		address := listener.Addr().String()
		_ = listener.Close()
		if !usedPorts[address] {
			usedPorts[address] = true
			return address
		}
	}
}

// start starts a controller with the command of the deploy file.
func (n *node) start() {
	logFile, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	process := exec.Command(program, "--config", n.settings)
	process.Stderr = logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should this process be killed
	process.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := process.Start(); err != nil {
		cannotRun("%v (the program is to be built first)", err)
	}
	_ = logFile.Close()
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	go func() { _ = process.Wait(); close(exited) }()
	note("%s started", n.name)
}

func logLevel() string {
	if level := os.Getenv("CASE_LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(syscall.SIGCONT)
	_ = n.process.Process.Kill()
	<-n.exited
	n.process = nil
	note("%s killed", n.name)
}

// hasExited reports whether a controller has ended by itself.
func (n *node) hasExited() bool {
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (d *deployment) killAll() {
	for _, n := range d.nodes {
		n.kill()
	}
	if keep := os.Getenv("CASE_KEEP_LOGS"); keep != "" {
		for _, n := range d.nodes {
			raw, _ := os.ReadFile(n.logPath)
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), raw, 0o600)
		}
	}
}

// waitHealthy waits until the given controllers answer GET /up with 200.
func waitHealthy(nodes []*node, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, n := range nodes {
		for {
			if code, _ := ask("GET", n.serve, "/up", nil, time.Second); code == 200 {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// residentKB returns the memory that a controller holds.
func (n *node) residentKB() int { return n.statusKB("VmRSS") }

// statusKB returns an amount of memory from the status of a controller's process.
func (n *node) statusKB(field string) (kb int) {
	process := n.process
	if process == nil {
		return 0
	}
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, field+":") {
			_, _ = fmt.Sscanf(line[len(field)+1:], "%d kB", &kb)
		}
	}
	return kb
}
