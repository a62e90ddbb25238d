// Package lab runs cells of real controllers on loopback: the stand-ins of internal/standin
// live in real time and are served over HTTP by the published protocol, and what happens is
// kept as a history. It is for experiments; no test needs it.
package lab

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/jsonhttp"
	"woadweir/internal/spill"
	"woadweir/internal/standin"
	"woadweir/internal/state"
)

// World is the stand-ins of all cells, on one clock.
type Environment struct {
	mu        sync.Mutex
	sim       *standin.Sim
	rules     *standin.InvariantChecker
	history   *History
	startedAt time.Time
}

// NewWorld starts the clock; tasks of teams beyond their limits, or in two places at once,
// are noted.
func NewEnvironment(teams map[string]*model.Team, cancel model.Micros) *Environment {
	sim := standin.NewSim(1)
	w := &Environment{sim: sim, rules: standin.NewInvariantChecker(sim, teams, cancel), history: &History{}, startedAt: time.Now()}
	w.rules.OnTaskStarted = func(cell string, id model.TaskID, again bool) {
		kind := TaskStarted
		if again {
			kind = TaskRepeated
		}
		w.history.add(Row{AtUs: int64(sim.Now), Kind: kind, Cell: cell, Job: id.Job, Task: int64(id.Index)})
	}
	go w.run()
	return w
}

// clockStep is how often the stand-ins' time is brought up to the real one.
const clockStep = 2 * time.Millisecond

func (w *Environment) run() {
	for range time.Tick(clockStep) {
		w.Do(func() {})
	}
}

// Do runs f in the stand-ins' time.
func (w *Environment) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sim.Run(model.Micros(time.Since(w.startedAt) / time.Microsecond))
	f()
}

// Now is the time since the world began.
func (w *Environment) Now() (now model.Micros) {
	w.Do(func() { now = w.sim.Now })
	return now
}

// Note adds a row to the history, at the present time.
func (w *Environment) Record(row Row) {
	w.Do(func() {
		row.AtUs = int64(w.sim.Now)
		w.history.add(row)
	})
}

// History is what happened; the world must not be used while it is read.
func (w *Environment) History() *History { return w.history }

// Finish notes each broken rule, and ends the history.
func (w *Environment) RecordViolations() {
	w.Do(func() {
		w.rules.CheckCancelled()
		for _, broken := range w.rules.Violations {
			w.history.add(Row{AtUs: int64(w.sim.Now), Kind: RuleViolated, Key: broken})
		}
	})
}

// Node is a controller as workers know it.
type Node struct{ Name, Address string }

// Region is what lies outside one cell's controllers: state service, cloud and workers.
type CellServices struct {
	Name    string
	Address string // of the state service and the cloud
	world   *Environment
	state   *standin.State
	cloud   *standin.Cloud
	nodes   []Node
	clients map[string]*jsonhttp.Client
}

// NewRegion serves a cell's state service and cloud at an address.
func (w *Environment) NewCellServices(name string, listener net.Listener, nodes []Node, machineTypes []model.MachineType, capacity map[string]int, times standin.WorkerTimes) *CellServices {
	r := &CellServices{Name: name, Address: listener.Addr().String(), world: w, nodes: nodes, clients: map[string]*jsonhttp.Client{}}
	w.Do(func() {
		r.state = standin.NewState(w.sim)
		r.cloud = standin.NewCloud(w.sim, r, w.rules, machineTypes, times)
		r.cloud.Cell, r.cloud.Capacity, r.cloud.ListLag = name, capacity, model.Second/2
	})
	for _, n := range nodes {
		r.clients[n.Name] = jsonhttp.New(n.Address, 512)
	}
	server := &fasthttp.Server{Handler: r.serve, Name: "stand-in"}
	go func() { _ = server.Serve(listener) }() // until the process ends
	return r
}

// Nodes are the names of the controllers that workers know.
func (r *CellServices) Nodes() (names []string) {
	for _, n := range r.nodes {
		names = append(names, n.Name)
	}
	return names
}

const workerTimeout = 4 * model.Second

// Checkin carries a worker's report to a controller.
func (r *CellServices) SendHeartbeat(_ *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	go func() {
		_ = r.clients[node].Do("POST", "/checkin", json.RawMessage(body), workerTimeout, func(code int, body []byte) error {
			body = append([]byte(nil), body...)
			r.world.Do(func() { answer(code, body) })
			return nil
		}) // without a response the worker's own patience ends
	}()
}

// Keys counts the keys with a prefix in the state service.
func (r *CellServices) KeyCount(prefix string) (n int) {
	r.world.Do(func() { n = r.state.KeyCount(prefix) })
	return n
}

// serve answers the controllers' requests.
func (r *CellServices) serve(c *fasthttp.RequestCtx) {
	path, args := string(c.Path()), c.QueryArgs()
	var body any
	code := 200
	r.world.Do(func() {
		switch {
		case path == "/commit":
			code, body = r.commit(c.PostBody())
		case path == "/watch":
			from, _ := strconv.ParseUint(string(args.Peek("from")), 10, 64) // 0 if there is none
			changes, err := r.state.Watch("", from)
			code, body = stateStatus(err), changes
		case path == "/keys":
			entries, epoch, err := r.state.List("")
			code, body = stateStatus(err), map[string]any{"entries": entries, "hasNext": false, "epoch": epoch}
		case strings.HasPrefix(path, "/keys/"):
			entry, err := r.state.Get("", strings.TrimPrefix(path, "/keys/"))
			code, body = stateStatus(err), entry
		case strings.HasPrefix(path, "/grants"):
			code, body = r.lease(string(c.Method()), path, c.PostBody())
		case path == "/flavors":
			body = map[string]any{"builds": r.cloud.MachineTypes}
		default:
			code, body = r.rentals(string(c.Method()), path, c.PostBody())
		}
	})
	raw, err := json.Marshal(body)
	if err != nil {
		code = 500
	}
	c.SetStatusCode(code)
	c.SetBody(raw)
}

// status is the HTTP status of an error of the state service.
func stateStatus(err error) int {
	switch {
	case err == nil:
		return 200
	case errors.Is(err, state.ErrMissing):
		return 404
	case errors.Is(err, state.ErrCompacted):
		return 410
	case errors.Is(err, state.ErrNoLease), errors.Is(err, state.ErrTooBig):
		return 400
	}
	return 503
}

// commit carries a transaction out, and notes the changes of records of spilling.
func (r *CellServices) commit(raw []byte) (int, any) {
	var in struct {
		Conditions []state.Condition `json:"guards"`
		Then       []struct {
			Set     string
			Value   json.RawMessage
			LeaseID uint64 `json:"tenancy"`
			Drop    string
		}
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return 400, map[string]string{"error": err.Error()}
	}
	txn := &state.Txn{Conditions: in.Conditions}
	for _, op := range in.Then {
		change := state.Op{Set: op.Set, Drop: op.Drop, LeaseID: op.LeaseID}
		if op.Set != "" {
			change.Value = op.Value
		}
		txn.Then = append(txn.Then, change)
	}
	result, err := r.state.Commit("", txn)
	switch {
	case errors.Is(err, state.ErrNoLease):
		return 400, map[string]string{"error": "no such lease"}
	case err != nil:
		return stateStatus(err), map[string]string{"error": err.Error()}
	case !result.OK:
		return 409, result
	}
	for _, op := range in.Then {
		if key := op.Set + op.Drop; strings.HasPrefix(key, "spill/") {
			r.world.history.add(Row{AtUs: int64(r.world.sim.Now), Kind: StateChange, Cell: r.Name, Key: key, Bytes: int64(len(key) + len(op.Value)), Lent: isLending(op.Value)})
		}
	}
	return 200, result
}

// isLending tells a record that lends a job from later versions of it.
func isLending(value json.RawMessage) bool {
	var record spill.OutRecord
	return json.Unmarshal(value, &record) == nil && record.State == spill.Lent && record.Running == 0
}

func (r *CellServices) lease(method, path string, raw []byte) (int, any) {
	parts := strings.Split(path, "/") // "", "grants", id, "touch"
	if len(parts) == 2 {
		var in struct{ TTLMs int64 }
		if err := json.Unmarshal(raw, &in); err != nil {
			return 400, nil
		}
		id, err := r.state.GrantLease("", model.Micros(in.TTLMs)*model.Millisecond)
		return stateStatus(err), map[string]uint64{"tenancy": id}
	}
	id, err := strconv.ParseUint(parts[2], 10, 64)
	switch {
	case err != nil:
		return 400, nil
	case method == "DELETE":
		return stateStatus(r.state.EndLease("", id)), nil
	}
	return stateStatus(r.state.RenewLease("", id)), nil
}

func (r *CellServices) rentals(method, path string, raw []byte) (int, any) {
	switch {
	case path == "/rentals" && method == "GET":
		machines, err := r.cloud.List()
		return cloudStatus(err), map[string]any{"hosts": machines, "hasNext": false}
	case path == "/rentals":
		var rental cloud.Rental
		if err := json.Unmarshal(raw, &rental); err != nil {
			return 400, nil
		}
		machines, err := r.cloud.Rent(&rental)
		if err != nil {
			return 503, map[string]string{"error": "no capacity"}
		}
		return 200, map[string]any{"hosts": machines}
	case path == "/rentals/delete":
		var in struct{ Hosts []string }
		if err := json.Unmarshal(raw, &in); err != nil {
			return 400, nil
		}
		return cloudStatus(r.cloud.Delete(in.Hosts)), nil
	}
	return 404, nil
}

func cloudStatus(err error) int {
	if err != nil {
		return 503
	}
	return 200
}
