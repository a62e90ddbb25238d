package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// answerTimeout is how long a worker waits for the answer to a report.
	answerTimeout = 4 * time.Second
	// maxLine is the longest line that a response to a worker may contain (PROTOCOL).
	maxLine = 64 << 10
)

// fleet has all workers, and what the tasks' descriptions say: workers fetch those
// themselves.
type fleet struct {
	settings *deployment
	record   *record

	mu      sync.Mutex
	jobs    map[string]*job // submitted jobs
	workers []*worker
	done    map[string]bool // pieces that have completed: their result is kept
	gangs   map[string][]member
	longest int      // the longest line in an answer that was too long
	broken  []string // what breaks a rule
}

func newFleet(d *deployment, rec *record) *fleet {
	return &fleet{settings: d, record: rec, jobs: map[string]*job{}, done: map[string]bool{}, gangs: map[string][]member{}}
}

type piece struct {
	name   string // "j-000412/3"
	job    *job
	try    uint64
	status string
	cause  string
}

// onMachine reports whether the piece has its image and has not ended.
func (p *piece) onMachine() bool { return p.status == "running" || p.status == "gathering" }

// worker is a stand-in for the worker of one machine. It reads answers with lines of up to
// 64 KiB, as the pages promise. Pieces do not save their progress.
type worker struct {
	fleet   *fleet
	machine *machine
	size    machineType
	address string

	mu       sync.Mutex
	tenure   uint64
	tally    uint64
	warrant  uint64
	pieces   []*piece
	answered time.Time // when the last answered report was sent
	ended    bool
	node     int
	soon     chan struct{}
}

func (f *fleet) newWorker(m *machine, size machineType) *worker {
	w := &worker{fleet: f, machine: m, size: size, address: "127.0.0.1:1", tenure: 1, soon: make(chan struct{}, 1)}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.run()
	return w
}

// end ends the machine with everything on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.pieces = true, nil
}

func (w *worker) changed() {
	select {
	case w.soon <- struct{}{}:
	default:
	}
}

func (w *worker) run() {
	time.Sleep(time.Until(w.machine.up))
	w.mu.Lock()
	w.answered = time.Now()
	w.node = rand.IntN(len(w.fleet.settings.nodes))
	w.mu.Unlock()
	go w.watchLease()
	client := &http.Client{}
	for {
		pause, ok := w.report(client)
		if !ok {
			return
		}
		early := time.NewTimer(min(pause, 500*time.Millisecond))
		<-early.C
		if rest := pause - 500*time.Millisecond; rest > 0 {
			select {
			case <-time.After(rest):
			case <-w.soon:
			}
		}
	}
}

// watchLease ends all pieces when the lease is over.
func (w *worker) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		if time.Since(w.answered) > w.fleet.settings.lease {
			if len(w.pieces) > 0 {
				w.fleet.record.add("worker %s: lease over, %d pieces killed", w.machine.ref, len(w.pieces))
			}
			w.pieces, w.answered = nil, time.Now()
			w.tenure++
			w.changed()
		}
		w.mu.Unlock()
	}
}

// report sends a report and carries out the orders of the answer. It returns the time until
// the next report.
func (w *worker) report(client *http.Client) (pause time.Duration, ok bool) {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return 0, false
	}
	w.tally++
	sent, tenure, node := time.Now(), w.tenure, w.fleet.settings.nodes[w.node%len(w.fleet.settings.nodes)]
	body := w.body()
	w.mu.Unlock()
	code, raw := post(client, node.serve, "/checkin", body, answerTimeout)
	if longest := longestLine(raw); longest > maxLine {
		w.fleet.tooLong(w, longest)
		code, raw = 0, nil // it can't be read
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer struct {
		Warrant *uint64
		Steward string
		Orders  []struct {
			Verb, Piece string
			Try         uint64
		}
	}
	_ = json.Unmarshal(raw, &answer) // an answer that can't be read has no orders
	if code == 421 {
		at := slices.IndexFunc(w.fleet.settings.nodes, func(n controllerNode) bool { return n.name == answer.Steward })
		if at >= 0 && at != w.node%len(w.fleet.settings.nodes) {
			w.node = at
			return time.Duration(rand.Int64N(int64(500 * time.Millisecond))), true
		}
	}
	if code != 200 {
		w.node++
		return time.Second, true
	}
	interval := w.fleet.settings.report
	pause = interval*3/4 + time.Duration(rand.Int64N(int64(interval/2)))
	if answer.Warrant == nil || *answer.Warrant < w.warrant || tenure != w.tenure || w.ended {
		return pause, true
	}
	w.answered = sent
	if *answer.Warrant > w.warrant {
		w.warrant = *answer.Warrant
		w.changed()
	}
	for _, order := range answer.Orders {
		w.fleet.record.add("worker %s: order %s %s try %d", w.machine.ref, order.Verb, order.Piece, order.Try)
		w.carryOut(order.Verb, order.Piece, order.Try)
	}
	return pause, true
}

// body returns the report.
func (w *worker) body() []byte {
	pieces := []any{}
	for _, p := range w.pieces {
		status := map[string]any{"piece": p.name, "try": p.try, "status": p.status}
		if p.cause != "" {
			status["cause"] = p.cause
		}
		pieces = append(pieces, status)
	}
	raw, err := json.Marshal(map[string]any{"host": w.machine.ref, "address": w.address, "build": w.machine.build, "yard": w.machine.yard,
		"loaners": w.machine.loaners, "tenure": w.tenure, "tally": w.tally, "warrant": w.warrant, "recallS": nil, "pieces": pieces})
	if err != nil {
		panic(err) // maps of strings and numbers can always be encoded
	}
	return raw
}

func (w *worker) carryOut(verb, name string, try uint64) {
	at := slices.IndexFunc(w.pieces, func(p *piece) bool { return p.name == name && p.try == try })
	switch {
	case verb == "start" && at < 0:
		w.start(name, try)
	case verb == "stop" && at >= 0 && w.pieces[at].status != "ended":
		w.finish(w.pieces[at], "stopped")
	case verb == "clear" && at >= 0 && w.pieces[at].status == "ended":
		w.pieces = slices.Delete(w.pieces, at, at+1)
	}
}

func (w *worker) finish(p *piece, cause string) {
	p.status, p.cause = "ended", cause
	w.fleet.record.add("worker %s: %s try %d ended: %s", w.machine.ref, p.name, p.try, cause)
	w.changed()
}

// start starts a piece. Images are fetched at the type's rate, one after the other.
func (w *worker) start(name string, try uint64) {
	p := &piece{name: name, try: try, status: "pulling"}
	p.job = w.fleet.find(name)
	inUse := slices.ContainsFunc(w.pieces, func(q *piece) bool { return q.name == name && q.status != "ended" })
	free := w.free()
	w.pieces = append(w.pieces, p)
	switch {
	case p.job == nil:
		w.finish(p, "unknown")
	case inUse:
		w.finish(p, "in_use")
	case !free.fits(p.job):
		w.finish(p, "full")
	default:
		time.AfterFunc(time.Duration(p.job.ImageGb/w.size.FetchGbPerS*float64(time.Second)), func() { w.begin(p) })
	}
}

// has reports whether the piece is still there and has not ended.
func (w *worker) has(p *piece) bool { return slices.Contains(w.pieces, p) && p.status != "ended" }

// free returns what no piece takes of the machine.
func (w *worker) free() room {
	free := room{w.size.Cores, w.size.GPUs, w.size.MemoryGb}
	for _, p := range w.pieces {
		if p.status != "ended" {
			free = room{free.cores - p.job.Cores, free.gpus - p.job.GPUs, free.memory - p.job.MemoryGb}
		}
	}
	return free
}

// room is what is free on a machine.
type room struct{ cores, gpus, memory float64 }

// fits reports whether a piece of a job fits. The sums of amounts are not exact.
func (r room) fits(j *job) bool {
	const slack = 1e-6
	return j.Cores <= r.cores+slack && j.GPUs <= r.gpus+slack && j.MemoryGb <= r.memory+slack
}

func longestLine(body []byte) (longest int) {
	for line := range bytes.Lines(body) {
		longest = max(longest, len(line))
	}
	return longest
}

// begin runs a piece that has its image, or a gang of which it is the last.
func (w *worker) begin(p *piece) {
	elsewhere := w.fleet.machinesOf(p.name, w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.has(p) {
		return
	}
	w.fleet.started(w, p, elsewhere)
	w.changed()
	if p.job.Shape == "gang" {
		p.status = "gathering"
		w.fleet.gather(w, p)
		return
	}
	w.execute(p)
}

// execute runs a piece.
func (w *worker) execute(p *piece) {
	p.status = "running"
	duration := p.job.runs
	if w.fleet.isDone(p.name) {
		duration = 0 // the result is kept
	}
	w.changed()
	if duration < 0 {
		return // it runs until it is stopped
	}
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.has(p) {
			w.fleet.complete(p.name)
			w.finish(p, "done")
		}
	})
}

// post posts a body and returns the answer, or the code 0 if there is none.
func post(client *http.Client, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	return request(client, http.MethodPost, address, path, body, timeout)
}

func request(client *http.Client, method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}
