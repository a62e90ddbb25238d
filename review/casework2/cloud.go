package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents out.
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

type machine struct {
	ref, build, yard string
	loaners          bool
	rented           time.Time
	up               time.Time
	deleted          time.Time
	worker           *worker
}

// cloudService is a stand-in for the cloud. Machines are up after bootTime.
type cloudService struct {
	settings *deployment
	types    []machineType
	bootTime time.Duration
	capacity int // machines of each type, zone and kind
	fleet    *fleet
	record   *record

	mu       sync.Mutex
	machines []*machine
	hires    map[string][]string
	requests *bucket
}

func newCloudService(d *deployment, fleet *fleet, rec *record) *cloudService {
	return &cloudService{settings: d, types: d.machineTypes, bootTime: d.bootTime, capacity: d.capacity, fleet: fleet, record: rec,
		hires: map[string][]string{}, requests: newBucket(d.cloudRPS, 2*d.cloudRPS)}
}

// ServeHTTP answers a request.
func (c *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	code, body := c.answer(r, raw)
	c.mu.Unlock()
	writeJSON(w, code, body)
}

func (c *cloudService) answer(r *http.Request, raw []byte) (int, any) {
	if !c.requests.take(1) {
		return 429, failure("too many requests")
	}
	switch r.URL.Path {
	case "/flavors":
		return 200, map[string]any{"builds": c.types}
	case "/rentals/delete":
		var in struct{ Hosts []string }
		if json.Unmarshal(raw, &in) != nil || len(in.Hosts) > 100 {
			return 400, failure("malformed")
		}
		for _, m := range c.machines {
			if slices.Contains(in.Hosts, m.ref) && m.deleted.IsZero() {
				m.deleted = time.Now()
				m.worker.end()
				c.record.add("cloud: machine %s deleted", m.ref)
			}
		}
		return 200, map[string]any{}
	case "/rentals":
		if r.Method == http.MethodPost {
			return c.rent(raw)
		}
		return c.list(r.URL.Query().Get("from"), r.URL.Query().Get("most"))
	}
	return 400, failure("no such request")
}

func (c *cloudService) rent(raw []byte) (int, any) {
	var in struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if json.Unmarshal(raw, &in) != nil || in.Hire == "" || in.Count < 1 || in.Count > 50 {
		return 400, failure("malformed")
	}
	if hosts, known := c.hires[in.Hire]; known {
		return 200, map[string]any{"hosts": hosts}
	}
	at := slices.IndexFunc(c.types, func(t machineType) bool { return t.Label == in.Build && slices.Contains(t.Yards, in.Yard) })
	if at < 0 {
		return 400, failure("no such type")
	}
	used := 0
	for _, m := range c.machines {
		if m.deleted.IsZero() && m.build == in.Build && m.yard == in.Yard && m.loaners == in.Loaners {
			used++
		}
	}
	count := min(in.Count, c.capacity-used)
	if count <= 0 {
		return 503, failure("no capacity")
	}
	var hosts []string
	for range count {
		m := &machine{ref: fmt.Sprintf("host-%06d", len(c.machines)+1), build: in.Build, yard: in.Yard, loaners: in.Loaners, rented: time.Now()}
		m.up = m.rented.Add(c.bootTime)
		m.worker = c.fleet.newWorker(m, c.types[at])
		c.machines = append(c.machines, m)
		hosts = append(hosts, m.ref)
	}
	c.hires[in.Hire] = hosts
	c.record.add("cloud: %s rents %v", in.Hire, hosts)
	return 200, map[string]any{"hosts": hosts}
}

// list shows the machines as of list_lag_s ago.
func (c *cloudService) list(from, mostText string) (int, any) {
	most, err := strconv.Atoi(mostText)
	if err != nil || most > 500 {
		most = 500
	}
	as := time.Now().Add(-c.settings.listLag)
	hosts, hasNext := []any{}, false
	for _, m := range c.machines {
		if m.ref <= from || m.rented.After(as) || !m.deleted.IsZero() && !m.deleted.After(as) {
			continue
		}
		if len(hosts) == most {
			hasNext = true
			break
		}
		status := "running"
		if m.up.After(as) {
			status = "starting"
		}
		hosts = append(hosts, map[string]any{"ref": m.ref, "address": m.worker.address, "build": m.build, "yard": m.yard, "loaners": m.loaners,
			"status": status, "heldS": as.Sub(m.rented).Seconds()})
	}
	return 200, map[string]any{"hosts": hosts, "hasNext": hasNext}
}
