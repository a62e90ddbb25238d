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

// controllerNode is a controller as its settings name it.
type controllerNode struct{ name, serve, back string }

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
	nodes                             []controllerNode
	stateAddress, cloudAddress        string
	binary, folder                    string
	processes                         []*exec.Cmd
	record                            *record
}

// loopback is the loopback address of this run: runs at the same time do not meet.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

// taken are the addresses that have been given to a controller or a stand-in.
var taken = map[string]bool{}

// listen listens on a free port that nothing of this run has been given.
func listen() (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp4", loopback+":0")
		if err != nil {
			return nil, err
		}
		if address := listener.Addr().String(); !taken[address] {
			taken[address] = true
			return listener, nil
		}
		listener.Close()
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// serve serves a stand-in on a free loopback address.
func serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // it serves until this process ends
	return listener.Addr().String(), nil
}

// addNodes gives the deployment its controllers.
func (d *deployment) addNodes(count int) error {
	for i := range count {
		serve, err := freeAddress()
		if err != nil {
			return err
		}
		back, err := freeAddress()
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, controllerNode{fmt.Sprintf("weirhost-%d", i), serve, back})
	}
	d.processes = make([]*exec.Cmd, count)
	return nil
}

// writeSettings writes the settings file of each controller.
func (d *deployment) writeSettings() error {
	for i, n := range d.nodes {
		var b strings.Builder
		zone := d.zones[i%len(d.zones)]
		fmt.Fprintf(&b, "node_name = %q\narea = %q\nserve_on = %q\nback = %q\n", n.name, zone, n.serve, n.back)
		for k, other := range d.nodes {
			if k != i {
				fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\narea = %q\nendpoint = %q\n", other.name, d.zones[k%len(d.zones)], other.back)
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n[params]\nnodes = %d\nzones = [\"%s\"]\nclock_error_ms = 100.0\n%s\n", d.cloudAddress, d.stateAddress,
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
