package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node_ is a controller as its settings name it.
type node_ struct{ name, serve, back string }

// deployment describes a deployment: the limits of its surroundings, and its controllers,
// which run as processes of the project's program.
type deployment struct {
	zones                             []string
	rps, writeRPS, cloudRPS           float64
	valueKB, txnOps                   int
	listLag                           time.Duration
	report, lease, gangWait, gangPeer time.Duration
	cancel                            time.Duration
	teams                             string // the settings' tables of teams
	machineTypes                      []machineType
	bootTime                          time.Duration
	capacity                          int
	cores, ramMB                      float64
	fdLimit                           int
	nodes                             []node_
	stateAddress, cloudAddress        string
	binary, folder                    string
	processes                         []*exec.Cmd
	record                            *record
	stateOf                           map[string]string // another address of the state service for a controller
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// serve serves a stand-in on a free loopback address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // it serves until this process ends
	return listener.Addr().String(), nil
}

// addNodes gives the deployment its controllers.
func (d *deployment) addNodes(count int) error {
	addresses, err := freeAddresses(2 * count)
	if err != nil {
		return err
	}
	for i := range count {
		d.nodes = append(d.nodes, node_{fmt.Sprintf("weirhost-%d", i), addresses[2*i], addresses[2*i+1]})
	}
	d.processes = make([]*exec.Cmd, count)
	return nil
}

// writeSettings writes the settings file of each controller.
func (d *deployment) writeSettings() error {
	for i, n := range d.nodes {
		var b strings.Builder
		zone := d.zones[i%len(d.zones)]
		stateAddress := d.stateAddress
		if other := d.stateOf[n.name]; other != "" {
			stateAddress = other
		}
		fmt.Fprintf(&b, "node_name = %q\narea = %q\nserve_on = %q\nback = %q\n", n.name, zone, n.serve, n.back)
		for k, other := range d.nodes {
			if k != i {
				fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\narea = %q\nendpoint = %q\n", other.name, d.zones[k%len(d.zones)], other.back)
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n[params]\nnodes = %d\nzones = [\"%s\"]\nclock_error_ms = 100.0\n%s\n", d.cloudAddress, stateAddress,
			len(d.nodes), strings.Join(d.zones, `", "`), d.teams)
		fmt.Fprintf(&b, "[params.workers]\nreport_s = %v\nlease_s = %v\ngang_wait_s = %v\ngang_peer_s = %v\ncancel_s = %v\n", d.report.Seconds(), d.lease.Seconds(),
			d.gangWait.Seconds(), d.gangPeer.Seconds(), d.cancel.Seconds())
		fmt.Fprintf(&b, "[params.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %d\ntxn_ops = %d\n[params.cloud]\nrps = %v\nlist_lag_s = %v\n", d.rps, d.writeRPS, d.valueKB, d.txnOps,
			d.cloudRPS, d.listLag.Seconds())
		fmt.Fprintf(&b, "[params.quota]\ncores = %v\nram_mb = %v\nfd_limit = %d\n", d.cores, d.ramMB, d.fdLimit)
		if err := os.WriteFile(d.settingsPath(i), []byte(b.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) settingsPath(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("service-%d.toml", i))
}

// start starts a controller with the run command of the deploy file.
func (d *deployment) start(i int) error {
	logFile, err := os.OpenFile(filepath.Join(d.folder, fmt.Sprintf("log-%d.txt", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command(d.binary, "--config", d.settingsPath(i))
	process.Stderr, process.Env = logFile, append(os.Environ(), "LOG_LEVEL="+logLevel())
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	d.processes[i] = process
	d.record.add("controller %s started", d.nodes[i].name)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill kills a controller without a signal that it could handle.
func (d *deployment) kill(i int) {
	if process := d.processes[i]; process != nil {
		_ = process.Process.Kill() // it may have ended
		_ = process.Wait()
		d.processes[i] = nil
		d.record.add("controller %s killed", d.nodes[i].name)
	}
}

func (d *deployment) killAll() {
	for i := range d.processes {
		d.kill(i)
	}
}

// signal sends a controller a signal, to stop or to continue it.
func (d *deployment) signal(i int, s syscall.Signal) {
	if process := d.processes[i]; process != nil {
		_ = process.Process.Signal(s) // it may have ended
		d.record.add("controller %s: %v", d.nodes[i].name, s)
	}
}

// memory returns the resident memory of the controllers, and the most that it was.
func (d *deployment) memory() string {
	var all []string
	for _, process := range d.processes {
		if process == nil {
			continue
		}
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
		if err != nil {
			continue
		}
		var now, most string
		for _, line := range strings.Split(string(raw), "\n") {
			if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				now = strings.Fields(text)[0]
			}
			if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				most = strings.Fields(text)[0]
			}
		}
		all = append(all, now+"/"+most)
	}
	return strings.Join(all, " ")
}
