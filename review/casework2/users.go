package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// job is a job as a user submits it.
type job struct {
	Ref       string   `json:"ref"`
	Jobclass  string   `json:"jobclass"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	MemoryGb  float64  `json:"memoryGb"`
	Bundle    string   `json:"bundle"`
	ImageGb   float64  `json:"imageGb"`
	Builds    []string `json:"builds"`
	Yard      *string  `json:"yard"`
	SamePlace bool     `json:"samePlace"`
	Apart     bool     `json:"apart"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guessS"`
	KeepsakeS float64  `json:"keepsakeS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`

	runs      time.Duration // how long a piece runs, negative: until it is stopped
	starts    int
	withdrawn time.Time // when its user was told that it is cancelled
}

// Times of users and of the load balancer (PROTOCOL, "Users -> controller nodes").
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	probeTimeout  = time.Second
)

// users are the users behind the load balancer: each request goes to a healthy controller.
type users struct {
	settings *deployment
	record   *record
	client   *http.Client

	mu      sync.Mutex
	healthy map[string]bool
}

func newUsers(d *deployment) *users {
	u := &users{settings: d, record: d.record, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, healthy: map[string]bool{}}
	for _, n := range d.nodes {
		go u.probe(n)
	}
	return u
}

// probe probes a controller about once a second, as the load balancer does: two failures in
// a row mark it unhealthy, two successes healthy; one suffices for a new one.
func (u *users) probe(n controllerNode) {
	good, bad, ever := 0, 0, false
	for range time.Tick(time.Second) {
		if code, _ := request(u.client, http.MethodGet, n.serve, "/up", nil, probeTimeout); code == 200 {
			good, bad = good+1, 0
		} else {
			good, bad = 0, bad+1
		}
		u.mu.Lock()
		was := u.healthy[n.name]
		switch {
		case bad >= 2:
			u.healthy[n.name] = false
		case good >= 2 || good == 1 && !ever:
			u.healthy[n.name], ever = true, true
		}
		if now := u.healthy[n.name]; now != was {
			u.record.add("load balancer: %s healthy: %v", n.name, now)
		}
		u.mu.Unlock()
	}
}

func (u *users) isHealthy(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.healthy[name]
}

// send sends a request to a healthy controller, or to any other of three if none accepts.
func (u *users) send(method, path string, body []byte, timeout time.Duration) (code int, answer jobAnswer, node string) {
	var nodes []controllerNode
	for _, n := range u.settings.nodes {
		if u.isHealthy(n.name) {
			nodes = append(nodes, n)
		}
	}
	rand.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
	for _, n := range nodes[:min(3, len(nodes))] {
		node = n.name
		var raw []byte
		if code, raw = request(u.client, method, n.serve, path, body, timeout); code != 0 {
			_ = json.Unmarshal(raw, &answer) // other answers have no such fields
			break
		}
	}
	u.record.add("user: %s %s at %s: %d %s", method, path, node, code, answer.Status)
	return code, answer, node
}

type jobAnswer struct {
	Ref    string
	Status string
}

// submit submits a job until it is accepted or refused, for up to 60 s. It returns the last
// code.
func (u *users) submit(f *fleet, j *job, extra map[string]any) int {
	f.mu.Lock()
	f.jobs[j.Ref] = j
	f.mu.Unlock()
	raw, err := json.Marshal(j)
	if err != nil {
		panic(err) // strings, numbers and booleans can always be encoded
	}
	if len(extra) > 0 {
		more, err := json.Marshal(extra)
		if err != nil {
			panic(err)
		}
		raw = append(append(raw[:len(raw)-1:len(raw)-1], ','), more[1:]...)
	}
	code := 0
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		code, _, _ = u.send(http.MethodPost, "/work", raw, submitTimeout)
		if code == 200 || code == 201 || code == 400 || code == 422 {
			break
		}
	}
	return code
}

// poll asks once about a job.
func (u *users) poll(id string) (code int, status string) {
	code, answer, _ := u.send(http.MethodGet, "/work/"+id, nil, pollTimeout)
	return code, answer.Status
}
