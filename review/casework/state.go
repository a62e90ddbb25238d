package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in for the state service, written from PROTOCOL-woadweir.md.
type stateService struct {
	Address string

	mu       sync.Mutex
	keys     map[string]*stateEntry
	paths    []string // sorted
	revision uint64
	events   []stateEvent
	leases   map[uint64]*stateLease
	nextID   uint64
	changed  chan struct{} // closed and replaced at every change

	latency  time.Duration
	requests bucket
	writes   bucket
	txnOps   int
	valueKB  int

	// Counters, for the record.
	listPages, listEnds, refused, commits, tooBig int
}

type stateEntry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type stateEvent struct {
	Set      string          `json:"set,omitempty"`
	Drop     string          `json:"drop,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"stamp"`
}

type stateLease struct {
	ttl     time.Duration
	expires time.Time
}

// bucket limits a rate, with bursts of some seconds' worth.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, seconds float64) bucket {
	return bucket{rate, rate * seconds, rate * seconds, time.Now()}
}

func (b *bucket) take(n int) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

const (
	keptEvents  = 10_000
	pageItems   = 1000
	pageBytes   = 512 << 10
	maxTxnBytes = 64 << 10
)

func newState(rps, writeRPS float64, valueKB, txnOps int, latency time.Duration) *stateService {
	s := &stateService{keys: map[string]*stateEntry{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}),
		latency: latency, requests: newBucket(rps, 1), writes: newBucket(writeRPS, 1), valueKB: valueKB, txnOps: txnOps}
	listener := listen()
	s.Address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	return listener
}

func (s *stateService) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for path, entry := range s.keys {
		if entry.lease == id {
			attached = append(attached, path)
		}
	}
	if len(attached) == 0 {
		return
	}
	s.revision++
	for _, path := range attached {
		s.drop(path)
	}
	s.announce()
}

func (s *stateService) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
	if len(s.events) > 2*keptEvents {
		s.events = slices.Clone(s.events[len(s.events)-keptEvents:])
	}
}

func (s *stateService) set(path string, value json.RawMessage, lease uint64) {
	if s.keys[path] == nil {
		i, _ := slices.BinarySearch(s.paths, path)
		s.paths = slices.Insert(s.paths, i, path)
	}
	s.keys[path] = &stateEntry{value, s.revision, lease}
	s.events = append(s.events, stateEvent{Set: path, Value: value, Revision: s.revision})
}

func (s *stateService) drop(path string) {
	if s.keys[path] == nil {
		return
	}
	delete(s.keys, path)
	i, _ := slices.BinarySearch(s.paths, path)
	s.paths = slices.Delete(s.paths, i, i+1)
	s.events = append(s.events, stateEvent{Drop: path, Revision: s.revision})
}

// preload stores keys as an earlier time of the deployment left them, each with a revision
// of its own. It is called before the first controller starts.
func (s *stateService) preload(paths []string, value func(i int) json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, path := range paths {
		s.revision++
		s.keys[path] = &stateEntry{value(i), s.revision, 0}
	}
	s.paths = s.paths[:0]
	for path := range s.keys {
		s.paths = append(s.paths, path)
	}
	slices.Sort(s.paths)
	s.events = nil
}

func (s *stateService) counters() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int{"list pages": s.listPages, "lists to the end": s.listEnds, "429 answers": s.refused, "transactions": s.commits, "too big": s.tooBig, "keys": len(s.keys)}
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.latency)
	code, answer := s.answer(r, body)
	raw, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(raw)
}

type errorAnswer struct {
	Error string `json:"error"`
}

func (s *stateService) answer(r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.requests.take(1) {
		s.refused++
		return 429, errorAnswer{"too many requests"}
	}
	path := r.URL.Path
	switch {
	case path == "/commit":
		return s.commit(body)
	case path == "/watch":
		return s.watch(r)
	case path == "/keys":
		return s.list(r)
	case strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		entry := s.keys[key]
		if entry == nil {
			return 404, map[string]uint64{"epoch": s.revision}
		}
		return 200, map[string]any{"path": key, "value": entry.value, "stamp": entry.revision, "tenancy": entry.lease}
	case strings.HasPrefix(path, "/grants"):
		return s.grant(r.Method, path, body)
	}
	return 400, errorAnswer{"no such path"}
}

func (s *stateService) list(r *http.Request) (int, any) {
	prefix, from := r.URL.Query().Get("starts"), r.URL.Query().Get("from")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > pageItems {
		most = pageItems
	}
	type item struct {
		Path     string          `json:"path"`
		Value    json.RawMessage `json:"value"`
		Revision uint64          `json:"stamp"`
		Lease    uint64          `json:"tenancy,omitempty"`
	}
	items, size, more := []item{}, 0, false
	i, found := slices.BinarySearch(s.paths, max(prefix, from))
	if found && s.paths[i] == from {
		i++
	}
	for ; i < len(s.paths) && strings.HasPrefix(s.paths[i], prefix); i++ {
		entry := s.keys[s.paths[i]]
		size += len(s.paths[i]) + len(entry.value) + 60
		if len(items) == most || size > pageBytes {
			more = true
			break
		}
		items = append(items, item{s.paths[i], entry.value, entry.revision, entry.lease})
	}
	s.listPages++
	if !more {
		s.listEnds++
	}
	return 200, map[string]any{"entries": items, "hasNext": more, "epoch": s.revision}
}

func (s *stateService) watch(r *http.Request) (int, any) {
	prefix := r.URL.Query().Get("starts")
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	block, _ := strconv.Atoi(r.URL.Query().Get("blockMs"))
	deadline := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		if n := len(s.events); from < s.revision && (n == 0 || s.events[0].Revision > from+1 && s.events[0].Revision > 1 || n > keptEvents && s.events[n-keptEvents-1].Revision > from) {
			return 410, errorAnswer{"revision too old"}
		}
		events := []stateEvent{}
		i, _ := slices.BinarySearchFunc(s.events, from, func(e stateEvent, from uint64) int {
			if e.Revision > from {
				return 1
			}
			return -1
		})
		for _, event := range s.events[i:] {
			if strings.HasPrefix(event.Set+event.Drop, prefix) {
				events = append(events, event)
			}
		}
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			return 200, map[string]any{"epoch": s.revision, "events": events}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		}
		s.mu.Lock()
	}
}

func (s *stateService) commit(body []byte) (int, any) {
	var txn struct {
		Guards []struct {
			Path  string
			Stamp uint64
		}
		Then []struct {
			Set     string
			Value   json.RawMessage
			Tenancy uint64
			Drop    string
		}
	}
	if err := json.Unmarshal(body, &txn); err != nil {
		return 400, errorAnswer{"malformed"}
	}
	if len(txn.Then) > s.txnOps || len(txn.Guards) > 4*s.txnOps || len(body) > maxTxnBytes {
		s.tooBig++
		return 400, errorAnswer{"transaction too large"}
	}
	for _, op := range txn.Then {
		if len(op.Value) > s.valueKB<<10 {
			s.tooBig++
			return 400, errorAnswer{"value too large"}
		}
	}
	if !s.writes.take(len(txn.Then)) {
		s.refused++
		return 429, errorAnswer{"too many changes"}
	}
	s.commits++
	for _, op := range txn.Then {
		if op.Tenancy != 0 && s.leases[op.Tenancy] == nil {
			return 400, errorAnswer{"no such lease"}
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		revision := uint64(0)
		if entry := s.keys[guard.Path]; entry != nil {
			revision = entry.revision
		}
		if revision != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "epoch": s.revision}
	}
	if len(txn.Then) > 0 {
		s.revision++
		for _, op := range txn.Then {
			if op.Drop != "" {
				s.drop(op.Drop)
			} else {
				s.set(op.Set, op.Value, op.Tenancy)
			}
		}
		s.announce()
	}
	return 200, map[string]uint64{"epoch": s.revision}
}

func (s *stateService) grant(method, path string, body []byte) (int, any) {
	parts := strings.Split(path, "/") // "", "grants", id, "touch"
	if len(parts) == 2 {
		var input struct{ TTLMs int }
		if json.Unmarshal(body, &input) != nil || input.TTLMs < 100 || input.TTLMs > 600_000 {
			return 400, errorAnswer{"malformed"}
		}
		s.nextID++
		ttl := time.Duration(input.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &stateLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]uint64{"tenancy": s.nextID}
	}
	id, _ := strconv.ParseUint(parts[2], 10, 64)
	lease := s.leases[id]
	if lease == nil {
		return 404, errorAnswer{"no such lease"}
	}
	if method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expires = time.Now().Add(lease.ttl)
	}
	return 200, struct{}{}
}
