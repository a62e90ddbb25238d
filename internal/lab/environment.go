// Package lab runs cells of real controllers on loopback. The test doubles of
// internal/standin follow the real time and are served over HTTP by the published protocols,
// and events are recorded in a history. It is for experiments; no test needs it.
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
	"woadweir/internal/jsoncodec"
	"woadweir/internal/jsonhttp"
	"woadweir/internal/spill"
	"woadweir/internal/standin"
	"woadweir/internal/state"
)

// Environment has the test doubles of all cells, on one clock.
type Environment struct {
	mu         sync.Mutex
	sim        *standin.Sim
	invariants *standin.InvariantChecker
	history    *History
	startedAt  time.Time
}

// NewEnvironment returns an environment without cells and starts its clock. Breaches of the
// invariants, such as a team over its limit or a task in two places at once, are recorded.
func NewEnvironment(teams map[string]*model.Team, cancelLimit model.Micros) *Environment {
	sim := standin.NewSim(1)
	env := &Environment{sim: sim, invariants: standin.NewInvariantChecker(sim, teams, cancelLimit), history: &History{}, startedAt: time.Now()}
	env.invariants.OnTaskStarted = func(cell string, id model.TaskID, completedBefore bool) {
		kind := TaskStarted
		if completedBefore {
			kind = TaskRepeated
		}
		env.history.add(Row{AtUs: int64(sim.Now), Kind: kind, Cell: cell, Job: id.Job, Task: int64(id.Index)})
	}
	go env.run()
	return env
}

// clockStep is the interval at which the simulated clock is advanced to the real time.
const clockStep = 2 * time.Millisecond

func (e *Environment) run() {
	for range time.Tick(clockStep) {
		e.Do(func() {})
	}
}

// Do advances the simulated clock to the real time and then calls f. Calls are serialised.
func (e *Environment) Do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sim.Run(model.Micros(time.Since(e.startedAt) / time.Microsecond))
	f()
}

// Now returns the time since the environment was created.
func (e *Environment) Now() (now model.Micros) {
	e.Do(func() { now = e.sim.Now })
	return now
}

// Record adds a row to the history, with the current time.
func (e *Environment) Record(row Row) {
	e.Do(func() {
		row.AtUs = int64(e.sim.Now)
		e.history.add(row)
	})
}

// History returns the recorded history. The environment must not be used while it is read.
func (e *Environment) History() *History { return e.history }

// RecordViolations adds each breach of a rule to the history. It is called once, at the end.
func (e *Environment) RecordViolations() {
	e.Do(func() {
		e.invariants.CheckCancelled()
		for _, violation := range e.invariants.Violations {
			e.history.add(Row{AtUs: int64(e.sim.Now), Kind: RuleViolated, Key: violation})
		}
	})
}

// Node is a controller, as known to workers.
type Node struct{ Name, Address string }

// CellServices are the systems around one cell's controllers: the state service, and the
// cloud with the workers.
type CellServices struct {
	Name    string
	Address string // of the state service and the cloud
	env     *Environment
	state   *standin.State
	cloud   *standin.Cloud
	nodes   []Node
	clients map[string]*jsonhttp.Client
}

// NewCellServices creates a cell's state service and cloud and serves them on the listener.
func (e *Environment) NewCellServices(name string, listener net.Listener, nodes []Node, machineTypes []model.MachineType, capacity map[string]int, times standin.WorkerTimes) *CellServices {
	services := &CellServices{Name: name, Address: listener.Addr().String(), env: e, nodes: nodes, clients: map[string]*jsonhttp.Client{}}
	e.Do(func() {
		services.state = standin.NewState(e.sim)
		services.cloud = standin.NewCloud(e.sim, services, e.invariants, machineTypes, times)
		services.cloud.Cell, services.cloud.Capacity, services.cloud.ListLag = name, capacity, model.Second/2
	})
	for _, node := range nodes {
		services.clients[node.Name] = jsonhttp.New(node.Address, 512)
	}
	server := &fasthttp.Server{Handler: services.serve, Name: "stand-in"}
	go func() { _ = server.Serve(listener) }() // it serves until the process exits
	return services
}

// Nodes returns the names of the controllers that workers know.
func (s *CellServices) Nodes() (names []string) {
	for _, node := range s.nodes {
		names = append(names, node.Name)
	}
	return names
}

// workerTimeout is how long a worker waits for the answer to a heartbeat.
const workerTimeout = 4 * model.Second

// SendHeartbeat sends a worker's heartbeat to a controller.
func (s *CellServices) SendHeartbeat(_ *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	go func() {
		_ = s.clients[node].Do("POST", "/checkin", json.RawMessage(body), workerTimeout, func(code int, body []byte) error {
			body = append([]byte(nil), body...)
			s.env.Do(func() { answer(code, body) })
			return nil
		}) // without a response, the worker's own timeout applies
	}()
}

// KeyCount returns the number of keys with a prefix in the state service.
func (s *CellServices) KeyCount(prefix string) (n int) {
	s.env.Do(func() { n = s.state.KeyCount(prefix) })
	return n
}

// serve answers the controllers' requests.
func (s *CellServices) serve(request *fasthttp.RequestCtx) {
	path, args := string(request.Path()), request.QueryArgs()
	var body any
	code := 200
	s.env.Do(func() {
		switch {
		case path == "/commit":
			code, body = s.commit(request.PostBody())
		case path == "/watch":
			from, _ := strconv.ParseUint(string(args.Peek("from")), 10, 64) // 0 if it is missing
			changes, err := s.state.Watch("", from)
			code, body = stateStatus(err), changes
		case path == "/keys":
			entries, epoch, err := s.state.List("")
			code, body = stateStatus(err), map[string]any{"entries": entries, "hasNext": false, "epoch": epoch}
		case strings.HasPrefix(path, "/keys/"):
			entry, err := s.state.Get("", strings.TrimPrefix(path, "/keys/"))
			code, body = stateStatus(err), entry
		case strings.HasPrefix(path, "/grants"):
			code, body = s.lease(string(request.Method()), path, request.PostBody())
		case path == "/flavors":
			body = map[string]any{"builds": s.cloud.MachineTypes}
		default:
			code, body = s.rentals(string(request.Method()), path, request.PostBody())
		}
	})
	raw, err := json.Marshal(body)
	if err != nil {
		code = 500
	}
	request.SetStatusCode(code)
	request.SetBody(raw)
}

// stateStatus returns the HTTP status for an error of the state service, 200 for nil.
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

// commit commits a transaction, and adds its changes of spill records to the history.
func (s *CellServices) commit(raw []byte) (int, any) {
	var input struct {
		Conditions []state.Condition `json:"guards"`
		Then       []struct {
			Set     string          `json:"set"`
			Value   json.RawMessage `json:"value"`
			LeaseID uint64          `json:"tenancy"`
			Drop    string          `json:"drop"`
		} `json:"then"`
	}
	if err := jsoncodec.Unmarshal(raw, &input); err != nil {
		return 400, map[string]string{"error": err.Error()}
	}
	txn := &state.Txn{Conditions: input.Conditions}
	for _, op := range input.Then {
		change := state.Op{Set: op.Set, Drop: op.Drop, LeaseID: op.LeaseID}
		if op.Set != "" {
			change.Value = op.Value
		}
		txn.Then = append(txn.Then, change)
	}
	result, err := s.state.Commit("", txn)
	switch {
	case errors.Is(err, state.ErrNoLease):
		return 400, map[string]string{"error": "no such lease"}
	case err != nil:
		return stateStatus(err), map[string]string{"error": err.Error()}
	case !result.OK:
		return 409, result
	}
	for _, op := range input.Then {
		if key := op.Set + op.Drop; strings.HasPrefix(key, "spill/") {
			s.env.history.add(Row{AtUs: int64(s.env.sim.Now), Kind: StateChange, Cell: s.Name, Key: key, Bytes: int64(len(key) + len(op.Value)), Lent: isLending(op.Value)})
		}
	}
	return 200, result
}

// isLending reports whether a record is the first version written for a lent job, not a
// later one.
func isLending(value json.RawMessage) bool {
	var record spill.OutRecord
	return jsoncodec.Unmarshal(value, &record) == nil && record.State == spill.Lent && record.Running == 0
}

// lease serves the requests that create, renew and end leases.
func (s *CellServices) lease(method, path string, raw []byte) (int, any) {
	parts := strings.Split(path, "/") // "", "grants", id, "touch"
	if len(parts) == 2 {
		var input struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if err := jsoncodec.Unmarshal(raw, &input); err != nil {
			return 400, nil
		}
		id, err := s.state.GrantLease("", model.Micros(input.TTLMs)*model.Millisecond)
		return stateStatus(err), map[string]uint64{"tenancy": id}
	}
	id, err := strconv.ParseUint(parts[2], 10, 64)
	switch {
	case err != nil:
		return 400, nil
	case method == "DELETE":
		return stateStatus(s.state.EndLease("", id)), nil
	}
	return stateStatus(s.state.RenewLease("", id)), nil
}

// rentals serves the cloud's requests: the machine list, rentals and deletions.
func (s *CellServices) rentals(method, path string, raw []byte) (int, any) {
	switch {
	case path == "/rentals" && method == "GET":
		machines, err := s.cloud.List()
		return cloudStatus(err), map[string]any{"hosts": machines, "hasNext": false}
	case path == "/rentals":
		var rental cloud.Rental
		if err := jsoncodec.Unmarshal(raw, &rental); err != nil {
			return 400, nil
		}
		machines, err := s.cloud.Rent(&rental)
		if err != nil {
			return 503, map[string]string{"error": "no capacity"}
		}
		return 200, map[string]any{"hosts": machines}
	case path == "/rentals/delete":
		var input struct {
			Hosts []string `json:"hosts"`
		}
		if err := jsoncodec.Unmarshal(raw, &input); err != nil {
			return 400, nil
		}
		return cloudStatus(s.cloud.Delete(input.Hosts)), nil
	}
	return 404, nil
}

// cloudStatus returns the HTTP status for an error of the cloud, 200 for nil.
func cloudStatus(err error) int {
	if err != nil {
		return 503
	}
	return 200
}
