package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxLine is the longest line that a response to a worker may contain.
const maxLine = 64 << 10

// worker is a stand-in for a machine's worker.
type worker struct {
	machine *machine
	nodes   []*node
	times   workerTimes
	world   *world
	address string

	mu         sync.Mutex
	dead       bool
	tenure     uint64
	tally      uint64
	warrant    uint64
	leasedFrom time.Time
	tasks      []*workerTask
	images     map[string]time.Time // when each is complete
	wake       chan struct{}
	node       int

	// What was seen.
	longestLine, longestReport int
	unreadable                 int
}

type workerTask struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	spec   *jobSpec
	worker *worker
}

func newWorker(m *machine, nodes []*node, times workerTimes, w *world) *worker {
	return &worker{machine: m, nodes: nodes, times: times, world: w, address: "127.0.0.1:9", images: map[string]time.Time{}, wake: make(chan struct{}, 1), node: rand.IntN(max(1, len(nodes)))}
}

func (w *worker) run() {
	w.mu.Lock()
	w.tenure, w.leasedFrom = 1, time.Now()
	w.mu.Unlock()
	go w.watchLease()
	go w.report()
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	w.dropTasks()
}

// dropTasks kills and forgets all tasks. w.mu is held.
func (w *worker) dropTasks() {
	w.world.mu.Lock()
	for _, task := range w.tasks {
		if w.world.onMachine[task.Piece] == w.machine.ref && task.Status != "ended" {
			delete(w.world.onMachine, task.Piece)
		}
		task.Status, task.Cause = "ended", "killed"
	}
	w.world.mu.Unlock()
	w.tasks = nil
}

func (w *worker) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if time.Since(w.leasedFrom) > w.times.lease {
			if len(w.tasks) > 0 {
				note("%s: lease over, %d tasks killed", w.machine.ref, len(w.tasks))
			}
			w.dropTasks()
			w.tenure++
			w.leasedFrom = time.Now()
			w.changed()
		}
		w.mu.Unlock()
	}
}

func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// report sends reports, one at a time.
func (w *worker) report() {
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.tally++
		tasks := make([]workerTask, 0, len(w.tasks))
		for _, task := range w.tasks {
			tasks = append(tasks, *task)
		}
		body, _ := json.Marshal(map[string]any{"host": w.machine.ref, "address": w.address, "build": w.machine.build, "yard": w.machine.yard, "loaners": w.machine.loaners,
			"tenure": w.tenure, "tally": w.tally, "warrant": w.warrant, "recallS": nil, "pieces": tasks})
		w.longestReport = max(w.longestReport, len(body))
		tenure, node := w.tenure, w.nodes[w.node%len(w.nodes)]
		w.mu.Unlock()
		sentAt := time.Now()
		code, answer, readable := w.send(node, body)
		pause := w.handle(code, answer, readable, sentAt, tenure, node)
		select {
		case <-time.After(pause):
		case <-w.wake:
			time.Sleep(max(0, time.Until(sentAt.Add(500*time.Millisecond))))
		}
	}
}

// send sends a report and reads the answer, whose lines may be as long as the protocol says.
func (w *worker) send(n *node, body []byte) (code int, answer []byte, readable bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.serve+"/checkin", bytes.NewReader(body))
	if err != nil {
		return 0, nil, true
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, true
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, true
	}
	longest := 0
	for _, line := range bytes.Split(answer, []byte("\n")) {
		longest = max(longest, len(line))
	}
	w.mu.Lock()
	w.longestLine = max(w.longestLine, longest)
	w.mu.Unlock()
	return response.StatusCode, answer, longest <= maxLine
}

func (w *worker) handle(code int, raw []byte, readable bool, sentAt time.Time, tenure uint64, n *node) (pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := func() time.Duration { w.node++; return time.Second }
	if !readable {
		w.unreadable++
		if w.unreadable <= 5 {
			note("%s: the answer of %s has a line of %d bytes, it can't be read", w.machine.ref, n.name, len(raw))
		}
		return next()
	}
	var answer struct {
		Warrant uint64
		Steward string
		Orders  []struct {
			Verb, Piece string
			Try         uint64
		}
	}
	_ = json.Unmarshal(raw, &answer)
	switch {
	case code == 421 && answer.Steward != "" && answer.Steward != n.name:
		for i, other := range w.nodes {
			if other.name == answer.Steward {
				w.node = i
				return time.Duration(rand.Int64N(int64(500 * time.Millisecond)))
			}
		}
		return next()
	case code != 200:
		quiet("%s: report to %s answered %d", w.machine.ref, n.name, code)
		return next()
	}
	pause = w.times.report*3/4 + time.Duration(rand.Int64N(int64(w.times.report/2)))
	if w.dead || answer.Warrant < w.warrant || tenure != w.tenure {
		return pause
	}
	w.leasedFrom = sentAt
	if answer.Warrant > w.warrant {
		w.warrant = answer.Warrant
		w.changed()
	}
	for _, order := range answer.Orders {
		switch order.Verb {
		case "start":
			w.start(order.Piece, order.Try)
		case "stop":
			if task := w.find(order.Piece, order.Try); task != nil && task.Status != "ended" {
				w.finish(task, "stopped")
			}
		case "clear":
			for i, task := range w.tasks {
				if task.Piece == order.Piece && task.Try == order.Try && task.Status == "ended" {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
		}
	}
	return pause
}

func (w *worker) find(piece string, try uint64) *workerTask {
	for _, task := range w.tasks {
		if task.Piece == piece && task.Try == try {
			return task
		}
	}
	return nil
}

// start executes a start command. w.mu is held.
func (w *worker) start(piece string, try uint64) {
	if w.find(piece, try) != nil {
		return
	}
	w.world.mu.Lock()
	spec := w.world.job(piece)
	w.world.mu.Unlock()
	cores, memory, inUse := 0.0, 0.0, false
	for _, task := range w.tasks {
		if task.Status != "ended" {
			cores, memory = cores+task.spec.cores, memory+task.spec.memoryGb
			inUse = inUse || task.Piece == piece
		}
	}
	task := &workerTask{Piece: piece, Try: try, Status: "pulling", spec: spec, worker: w}
	w.tasks = append(w.tasks, task)
	w.changed()
	const tolerance = 1e-6
	switch {
	case spec == nil:
		task.Status, task.Cause = "ended", "unknown"
	case inUse:
		task.Status, task.Cause = "ended", "in_use"
	case cores+spec.cores > w.machine.size.Cores+tolerance || memory+spec.memoryGb > w.machine.size.MemoryGb+tolerance:
		task.Status, task.Cause = "ended", "full"
	default:
		ready, ok := w.images[spec.bundle]
		if !ok {
			ready = time.Now().Add(time.Duration(spec.imageGb / w.machine.size.FetchGbPerS * float64(time.Second)))
			w.images[spec.bundle] = ready
		}
		time.AfterFunc(time.Until(ready), func() { w.begin(task) })
	}
}

// begin starts a task whose image is on the machine.
func (w *worker) begin(task *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || task.Status != "pulling" {
		return
	}
	w.world.mu.Lock()
	w.world.starts++
	if other, on := w.world.onMachine[task.Piece]; on {
		w.world.broken = append(w.world.broken, "ran_twice: "+task.Piece+" on "+w.machine.ref+" and "+other)
	}
	w.world.onMachine[task.Piece] = w.machine.ref
	done := w.world.completed[task.Piece]
	w.world.mu.Unlock()
	quiet("%s: %s try %d starts", w.machine.ref, task.Piece, task.Try)
	w.changed()
	if done {
		w.finish(task, "done")
		return
	}
	if task.spec.gang && task.spec.pieces > 1 {
		task.Status = "gathering"
		time.AfterFunc(gangWait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if task.Status == "gathering" {
				w.finish(task, "alone")
			}
		})
		go w.world.gather(task)
		return
	}
	w.runTask(task)
}

// gangWait is the site's gang_wait_s.
const gangWait = 35 * time.Second

// gather starts a gang once all its tasks of an attempt have their image. What becomes of a
// gang that loses a task isn't played: no case has that.
func (w *world) gather(task *workerTask) {
	ref, _, _ := strings.Cut(task.Piece, "/")
	key := fmt.Sprintf("%s#%d", ref, task.Try)
	w.mu.Lock()
	w.gangs[key] = append(w.gangs[key], task)
	members := w.gangs[key]
	w.mu.Unlock()
	if len(members) < task.spec.pieces {
		return
	}
	for _, member := range members {
		member.worker.mu.Lock()
		if member.Status == "gathering" {
			member.worker.runTask(member)
			member.worker.changed()
		}
		member.worker.mu.Unlock()
	}
}

// runTask lets a task run. w.mu is held.
func (w *worker) runTask(task *workerTask) {
	task.Status = "running"
	time.AfterFunc(task.spec.runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dead || task.Status != "running" {
			return
		}
		w.world.mu.Lock()
		w.world.completed[task.Piece] = true
		w.world.mu.Unlock()
		w.finish(task, "done")
	})
}

// finish ends a task. w.mu is held.
func (w *worker) finish(task *workerTask, cause string) {
	task.Status, task.Cause = "ended", cause
	w.world.mu.Lock()
	if w.world.onMachine[task.Piece] == w.machine.ref {
		delete(w.world.onMachine, task.Piece)
	}
	w.world.mu.Unlock()
	quiet("%s: %s try %d ends: %s", w.machine.ref, task.Piece, task.Try, cause)
	w.changed()
}
