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
func NewEnvironment(teams map[string]*model.Team, cancelLimit model.Micros) *Environment {
	sim := standin.NewSim(1)
	env := &Environment{sim: sim, rules: standin.NewInvariantChecker(sim, teams, cancelLimit), history: &History{}, startedAt: time.Now()}
	env.rules.OnTaskStarted = func(cell string, id model.TaskID, again bool) {
		kind := TaskStarted
		if again {
			kind = TaskRepeated
		}
		env.history.add(Row{AtUs: int64(sim.Now), Kind: kind, Cell: cell, Job: id.Job, Task: int64(id.Index)})
	}
	go env.run()
	return env
}

// clockStep is how often the stand-ins' time is brought up to the real one.
const clockStep = 2 * time.Millisecond

func (e *Environment) run() {
	for range time.Tick(clockStep) {
		e.Do(func() {})
	}
}

// Do runs f in the stand-ins' time.
func (e *Environment) Do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sim.Run(model.Micros(time.Since(e.startedAt) / time.Microsecond))
	f()
}

// Now is the time since the world began.
func (e *Environment) Now() (now model.Micros) {
	e.Do(func() { now = e.sim.Now })
	return now
}

// Note adds a row to the history, at the present time.
func (e *Environment) Record(row Row) {
	e.Do(func() {
		row.AtUs = int64(e.sim.Now)
		e.history.add(row)
	})
}

// History is what happened; the world must not be used while it is read.
func (e *Environment) History() *History { return e.history }

// Finish notes each broken rule, and ends the history.
func (e *Environment) RecordViolations() {
	e.Do(func() {
		e.rules.CheckCancelled()
		for _, violation := range e.rules.Violations {
			e.history.add(Row{AtUs: int64(e.sim.Now), Kind: RuleViolated, Key: violation})
		}
	})
}

// Node is a controller as workers know it.
type Node struct{ Name, Address string }

// Region is what lies outside one cell's controllers: state service, cloud and workers.
type CellServices struct {
	Name    string
	Address string // of the state service and the cloud
	env     *Environment
	state   *standin.State
	cloud   *standin.Cloud
	nodes   []Node
	clients map[string]*jsonhttp.Client
}

// NewRegion serves a cell's state service and cloud at an address.
func (e *Environment) NewCellServices(name string, listener net.Listener, nodes []Node, machineTypes []model.MachineType, capacity map[string]int, times standin.WorkerTimes) *CellServices {
	services := &CellServices{Name: name, Address: listener.Addr().String(), env: e, nodes: nodes, clients: map[string]*jsonhttp.Client{}}
	e.Do(func() {
		services.state = standin.NewState(e.sim)
		services.cloud = standin.NewCloud(e.sim, services, e.rules, machineTypes, times)
		services.cloud.Cell, services.cloud.Capacity, services.cloud.ListLag = name, capacity, model.Second/2
	})
	for _, node := range nodes {
		services.clients[node.Name] = jsonhttp.New(node.Address, 512)
	}
	server := &fasthttp.Server{Handler: services.serve, Name: "stand-in"}
	go func() { _ = server.Serve(listener) }() // until the process ends
	return services
}

// Nodes are the names of the controllers that workers know.
func (s *CellServices) Nodes() (names []string) {
	for _, node := range s.nodes {
		names = append(names, node.Name)
	}
	return names
}

const workerTimeout = 4 * model.Second

// Checkin carries a worker's report to a controller.
func (s *CellServices) SendHeartbeat(_ *standin.Worker, node string, body []byte, answer func(int, []byte)) {
	go func() {
		_ = s.clients[node].Do("POST", "/checkin", json.RawMessage(body), workerTimeout, func(code int, body []byte) error {
			body = append([]byte(nil), body...)
			s.env.Do(func() { answer(code, body) })
			return nil
		}) // without a response the worker's own patience ends
	}()
}

// Keys counts the keys with a prefix in the state service.
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
			from, _ := strconv.ParseUint(string(args.Peek("from")), 10, 64) // 0 if there is none
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
func (s *CellServices) commit(raw []byte) (int, any) {
	var input struct {
		Conditions []state.Condition `json:"guards"`
		Then       []struct {
			Set     string
			Value   json.RawMessage
			LeaseID uint64 `json:"tenancy"`
			Drop    string
		}
	}
	if err := json.Unmarshal(raw, &input); err != nil {
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

// isLending tells a record that lends a job from later versions of it.
func isLending(value json.RawMessage) bool {
	var record spill.OutRecord
	return json.Unmarshal(value, &record) == nil && record.State == spill.Lent && record.Running == 0
}

func (s *CellServices) lease(method, path string, raw []byte) (int, any) {
	parts := strings.Split(path, "/") // "", "grants", id, "touch"
	if len(parts) == 2 {
		var input struct{ TTLMs int64 }
		if err := json.Unmarshal(raw, &input); err != nil {
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

func (s *CellServices) rentals(method, path string, raw []byte) (int, any) {
	switch {
	case path == "/rentals" && method == "GET":
		machines, err := s.cloud.List()
		return cloudStatus(err), map[string]any{"hosts": machines, "hasNext": false}
	case path == "/rentals":
		var rental cloud.Rental
		if err := json.Unmarshal(raw, &rental); err != nil {
			return 400, nil
		}
		machines, err := s.cloud.Rent(&rental)
		if err != nil {
			return 503, map[string]string{"error": "no capacity"}
		}
		return 200, map[string]any{"hosts": machines}
	case path == "/rentals/delete":
		var input struct{ Hosts []string }
		if err := json.Unmarshal(raw, &input); err != nil {
			return 400, nil
		}
		return cloudStatus(s.cloud.Delete(input.Hosts)), nil
	}
	return 404, nil
}

func cloudStatus(err error) int {
	if err != nil {
		return 503
	}
	return 200
}
