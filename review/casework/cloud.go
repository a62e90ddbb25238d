package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is a machine type of the cloud, in its wire form.
type machineType struct {
	Label       string   `json:"label"`
	Cores       float64  `json:"cores"`
	GPUs        float64  `json:"gpus"`
	MemoryGb    float64  `json:"memoryGb"`
	CacheGb     float64  `json:"cacheGb"`
	FetchGbPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	LowPrice    float64  `json:"lowPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`
}

// workerTimes are the workers' settings.
type workerTimes struct{ report, lease time.Duration }

// cloudService is a stand-in for the cloud and its machines, written from
// PROTOCOL-woadweir.md.
type cloudService struct {
	Address string

	mu       sync.Mutex
	types    []machineType
	capacity int // of each type, zone and kind
	noSpot   bool
	latency  time.Duration
	lag      time.Duration
	requests bucket
	hires    map[string][]string
	machines []*machine
	nodes    []*node
	times    workerTimes
	world    *world
}

type machine struct {
	ref, build, yard string
	loaners          bool
	size             machineType
	rentedAt, upAt   time.Time
	goneAt           time.Time // zero while it is rented
	worker           *worker
}

func newCloud(w *world, types []machineType, capacity int, rps float64, lag, latency time.Duration, times workerTimes) *cloudService {
	c := &cloudService{world: w, types: types, capacity: capacity, requests: newBucket(rps, 2), lag: lag, latency: latency, times: times, hires: map[string][]string{}}
	listener := listen()
	c.Address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: c}).Serve(listener) }()
	return c
}

func (c *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(c.latency)
	code, answer := c.answer(r, body)
	raw, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(raw)
}

func (c *cloudService) answer(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(1) {
		return 429, errorAnswer{"too many requests"}
	}
	switch {
	case r.URL.Path == "/flavors":
		return 200, map[string]any{"builds": c.types}
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		return c.list(r)
	case r.URL.Path == "/rentals":
		return c.rent(body)
	case r.URL.Path == "/rentals/delete":
		return c.remove(body)
	}
	return 400, errorAnswer{"no such path"}
}

func (c *cloudService) list(r *http.Request) (int, any) {
	from := r.URL.Query().Get("from")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > 500 {
		most = 500
	}
	asOf := time.Now().Add(-c.lag)
	hosts, more := []map[string]any{}, false
	for _, m := range c.machines {
		if m.ref <= from || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && m.goneAt.Before(asOf) {
			continue
		}
		if len(hosts) == most {
			more = true
			break
		}
		status := "starting"
		if m.upAt.Before(asOf) {
			status = "running"
		}
		hosts = append(hosts, map[string]any{"ref": m.ref, "address": m.worker.address, "build": m.build, "yard": m.yard, "loaners": m.loaners, "status": status, "heldS": asOf.Sub(m.rentedAt).Seconds()})
	}
	return 200, map[string]any{"hosts": hosts, "hasNext": more}
}

func (c *cloudService) rent(body []byte) (int, any) {
	var request struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if json.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > 50 || request.Hire == "" {
		return 400, errorAnswer{"malformed"}
	}
	if hosts, ok := c.hires[request.Hire]; ok {
		return 200, map[string]any{"hosts": hosts}
	}
	used := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.build == request.Build && m.yard == request.Yard && m.loaners == request.Loaners {
			used++
		}
	}
	capacity := c.capacity
	if request.Loaners && c.noSpot {
		capacity = 0
	}
	count := min(request.Count, capacity-used)
	var size *machineType
	for i := range c.types {
		if c.types[i].Label == request.Build {
			size = &c.types[i]
		}
	}
	if count <= 0 || size == nil {
		return 503, errorAnswer{"no capacity"}
	}
	hosts := []string{}
	for range count {
		m := &machine{ref: fmt.Sprintf("host-%06d", len(c.machines)+1), build: request.Build, yard: request.Yard, loaners: request.Loaners, size: *size, rentedAt: time.Now()}
		m.upAt = m.rentedAt.Add(time.Duration(size.BootS * float64(time.Second)))
		m.worker = newWorker(m, c.nodes, c.times, c.world)
		c.machines = append(c.machines, m)
		hosts = append(hosts, m.ref)
		time.AfterFunc(time.Until(m.upAt), func() {
			c.mu.Lock()
			gone := !m.goneAt.IsZero()
			c.mu.Unlock()
			if !gone {
				note("machine %s (%s) is up", m.ref, m.build)
				m.worker.run()
			}
		})
	}
	c.hires[request.Hire] = hosts
	note("rented %s: %s %s x%d", request.Hire, request.Build, request.Yard, count)
	return 200, map[string]any{"hosts": hosts}
}

func (c *cloudService) remove(body []byte) (int, any) {
	var request struct{ Hosts []string }
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		return 400, errorAnswer{"malformed"}
	}
	names := map[string]bool{}
	for _, host := range request.Hosts {
		names[host] = true
	}
	for _, m := range c.machines {
		if names[m.ref] && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			m.worker.end()
			note("machine %s deleted", m.ref)
		}
	}
	return 200, struct{}{}
}

// world is what workers know of jobs, and what is seen on the machines.
type world struct {
	mu        sync.Mutex
	jobs      map[string]*jobSpec      // submitted
	completed map[string]bool          // by task
	onMachine map[string]string        // task -> machine, from its image on
	gangs     map[string][]*workerTask // by job and attempt: tasks that have their image
	starts    int
	broken    []string
}

type jobSpec struct {
	cores, memoryGb, imageGb float64
	bundle                   string
	pieces                   int
	runs                     time.Duration
	gang                     bool
}

func newWorld() *world {
	return &world{jobs: map[string]*jobSpec{}, completed: map[string]bool{}, onMachine: map[string]string{}, gangs: map[string][]*workerTask{}}
}

// add tells the workers of a job before it is submitted.
func (w *world) add(job map[string]any, runs time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job["ref"].(string)] = &jobSpec{cores: job["cores"].(float64), memoryGb: job["memoryGb"].(float64), imageGb: job["imageGb"].(float64),
		bundle: job["bundle"].(string), pieces: job["pieces"].(int), runs: runs, gang: job["shape"] == "gang"}
}

func (w *world) job(task string) *jobSpec {
	ref, number, _ := strings.Cut(task, "/")
	job := w.jobs[ref]
	if n, err := strconv.Atoi(number); job == nil || err != nil || n < 0 || n >= job.pieces {
		return nil
	}
	return job
}

func (w *world) doneCount(ref string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.completed {
		if strings.HasPrefix(task, ref+"/") {
			n++
		}
	}
	return n
}

// onMachines returns the number of a job's tasks that are on machines.
func (w *world) onMachines(ref string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for piece := range w.onMachine {
		if strings.HasPrefix(piece, ref+"/") {
			n++
		}
	}
	return n
}
