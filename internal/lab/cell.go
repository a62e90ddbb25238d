package lab

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// Settings of every cell: short times, so that a run is short.
const (
	heartbeatS, leaseS, cancelS = 1, 8, 24
	controllersPerCell          = 2
)

const settingsFormat = `node_name = "%s"
area = "a"
serve_on = "%s"
back = "%s"
[services]
cloud = "%s"
state = "%s"
[params]
clock_error_ms = 100
[[params.teams]]
name = "red"
cpus = 100
cpus_max = 10000
[params.workers]
report_s = %d
lease_s = %d
gang_wait_s = 20
gang_peer_s = 3
cancel_s = %d
[params.state]
rps = 400
write_rps = 100
value_kb = 32
txn_ops = 16
[params.cloud]
rps = 20
list_lag_s = 0.5
[params.quota]
cores = 1
`

var machineTypes = []model.MachineType{{Name: "small", Cores: 8, MemoryGB: 32, CacheGB: 20, FetchGBps: 5, Price: 1, SpotPrice: 0.3, BootS: 2, Zones: []string{"a", "b"}}}

// Teams are the teams of every cell.
func Teams() map[string]*model.Team {
	return map[string]*model.Team{"red": {Name: "red", Limit: model.Resources{Cores: 10_000_000, GPUs: model.NoLimit}}}
}

// Cancel is how long a cancellation may take.
const CancelLimit = cancelS * model.Second

// Cell is a cell whose controllers are processes of the program.
type Cell struct {
	*CellServices
	binary, dir   string
	peerAddresses []string
	processes     []*exec.Cmd
}

// freeAddresses finds addresses on loopback that nobody uses now.
func freeAddresses(n int) (addresses []string, err error) {
	for range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// NewCell prepares a cell with so many machines of each kind in each zone.
func (w *Environment) NewCell(name, binary, dir string, machines int) (*Cell, error) {
	addresses, err := freeAddresses(2 * controllersPerCell)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var nodes []Node
	for i := range controllersPerCell {
		nodes = append(nodes, Node{fmt.Sprintf("%s-%d", name, i), addresses[i]})
	}
	capacity := map[string]int{}
	for _, zone := range machineTypes[0].Zones {
		capacity["small/"+zone+"/true"], capacity["small/"+zone+"/false"] = machines, machines
	}
	c := &Cell{binary: binary, dir: filepath.Join(dir, name), peerAddresses: addresses[controllersPerCell:], processes: make([]*exec.Cmd, controllersPerCell)}
	c.CellServices = w.NewCellServices(name, listener, nodes, machineTypes, capacity, standin.WorkerTimes{HeartbeatInterval: heartbeatS * model.Second, Lease: leaseS * model.Second,
		GangWait: 20 * model.Second, GangPeer: 3 * model.Second})
	return c, os.MkdirAll(c.dir, 0o755)
}

// Addresses are those at which the cell's users ask.
func (c *Cell) Addresses() (addresses []string) {
	for _, n := range c.nodes {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// WriteFiles writes the settings of the cell's controllers, and its spill file if it has
// neighbours.
func (c *Cell) WriteFiles(neighbours []*Cell) error {
	for i, n := range c.nodes {
		text := fmt.Sprintf(settingsFormat, n.Name, n.Address, c.peerAddresses[i], c.Address, c.Address, heartbeatS, leaseS, cancelS)
		for k, other := range c.nodes {
			if k != i {
				text += fmt.Sprintf("[[siblings]]\nnode_name = %q\narea = \"a\"\nendpoint = %q\n", other.Name, c.peerAddresses[k])
			}
		}
		if err := os.WriteFile(c.settingsPath(i), []byte(text), 0o644); err != nil {
			return err
		}
	}
	if len(neighbours) == 0 {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<spill cell=%q><wait-s>2</wait-s><lease-s>5</lease-s><stay-s>10</stay-s><start-s>10</start-s>\n", c.Name)
	for _, other := range neighbours {
		fmt.Fprintf(&b, "<neighbour cell=%q><controller>%s</controller></neighbour>\n", other.Name, strings.Join(other.peerAddresses, "</controller><controller>"))
	}
	return os.WriteFile(c.spillPath(), []byte(b.String()+"</spill>\n"), 0o644)
}

func (c *Cell) settingsPath(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d.toml", i))
}
func (c *Cell) spillPath() string { return filepath.Join(c.dir, "spill.xml") }

// Start starts the cell's controllers.
func (c *Cell) Start() error {
	for i := range c.nodes {
		args := []string{"--config", c.settingsPath(i)}
		if _, err := os.Stat(c.spillPath()); err == nil {
			args = append(args, "--spill", c.spillPath())
		}
		log, err := os.OpenFile(filepath.Join(c.dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		p := exec.Command(c.binary, args...)
		p.Stderr, p.Env = log, append(os.Environ(), "LOG_LEVEL=info")
		if err := p.Start(); err != nil {
			return err
		}
		_ = log.Close() // the process has its own
		c.processes[i] = p
	}
	return nil
}

// Kill ends the cell's controllers at once.
func (c *Cell) Kill() {
	for i, p := range c.processes {
		if p != nil {
			_ = p.Process.Kill() // it may have ended by itself
			_ = p.Wait()
			c.processes[i] = nil
		}
	}
}
