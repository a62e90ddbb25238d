package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bucket is a token bucket: rate per second, with bursts of the given size.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, at: time.Now()}
}

// take takes n tokens if there are as many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Limits of the state service (PROTOCOL, "Controller nodes -> state service").
const (
	pageItems    = 1000
	pageBytes    = 512 << 10
	keptChanges  = 10_000
	txnBytes     = 64 << 10
	guardsPerOp  = 4
	leaseLateMax = 100 * time.Millisecond
)

type storedValue struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type change struct {
	Set   string          `json:"set,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type stateLease struct {
	ttl     time.Duration
	expires time.Time
}

// stateService is a stand-in for the state service: a consistent key-value store with
// transactions, leases and a watch, and with the request limits of the settings.
type stateService struct {
	settings *deployment
	latency  time.Duration

	mu       sync.Mutex
	keys     map[string]*storedValue
	sorted   []string
	changes  []change
	epoch    uint64
	leases   map[uint64]*stateLease
	nextID   uint64
	requests *bucket
	writes   *bucket
}

func newStateService(d *deployment, latency time.Duration) *stateService {
	s := &stateService{settings: d, latency: latency, keys: map[string]*storedValue{}, leases: map[uint64]*stateLease{},
		requests: newBucket(d.rps, d.rps), writes: newBucket(d.writeRPS, d.writeRPS)}
	go s.expireLeases()
	return s
}

func (s *stateService) expireLeases() {
	for range time.Tick(leaseLateMax / 4) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, v := range s.keys {
		if v.lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.epoch++
	for _, key := range gone {
		s.drop(key)
	}
}

func (s *stateService) drop(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	if i, ok := slices.BinarySearch(s.sorted, key); ok {
		s.sorted = slices.Delete(s.sorted, i, i+1)
	}
	s.note(change{Drop: key, Stamp: s.epoch})
}

func (s *stateService) set(key string, value json.RawMessage, lease uint64) {
	if s.keys[key] == nil {
		i, _ := slices.BinarySearch(s.sorted, key)
		s.sorted = slices.Insert(s.sorted, i, key)
	}
	s.keys[key] = &storedValue{value: value, stamp: s.epoch, lease: lease}
	s.note(change{Set: key, Value: value, Stamp: s.epoch})
}

func (s *stateService) note(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > 2*keptChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-keptChanges:])
	}
}

// ServeHTTP answers a request.
func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	time.Sleep(s.latency)
	s.mu.Lock()
	code, body := s.answer(r, raw)
	s.mu.Unlock()
	writeJSON(w, code, body)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		code, raw = 500, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the caller may have gone
}

func failure(text string) map[string]string { return map[string]string{"error": text} }

func (s *stateService) answer(r *http.Request, raw []byte) (int, any) {
	if !s.requests.take(1) {
		return 429, failure("too many requests")
	}
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case path == "/commit":
		return s.commit(raw)
	case path == "/watch":
		from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
		return s.watch(query.Get("starts"), from)
	case path == "/keys":
		most, err := strconv.Atoi(query.Get("most"))
		if err != nil {
			most = pageItems
		}
		return s.list(query.Get("starts"), query.Get("from"), min(most, pageItems))
	case strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		v := s.keys[key]
		if v == nil {
			return 404, map[string]uint64{"epoch": s.epoch}
		}
		return 200, entry(key, v)
	case path == "/grants":
		var in struct{ TTLMs int64 }
		if json.Unmarshal(raw, &in) != nil || in.TTLMs < 100 || in.TTLMs > 600_000 {
			return 400, failure("ttlMs")
		}
		s.nextID++
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &stateLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]uint64{"tenancy": s.nextID}
	case strings.HasPrefix(path, "/grants/"):
		return s.lease(r.Method, strings.Split(strings.TrimPrefix(path, "/grants/"), "/"))
	}
	return 400, failure("no such request")
}

func entry(key string, v *storedValue) map[string]any {
	e := map[string]any{"path": key, "value": v.value, "stamp": v.stamp}
	if v.lease != 0 {
		e["tenancy"] = v.lease
	}
	return e
}

func (s *stateService) lease(method string, parts []string) (int, any) {
	id, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return 400, failure("lease")
	}
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, failure("no such lease")
	case method == http.MethodDelete:
		s.endLease(id)
	default:
		l.expires = time.Now().Add(l.ttl)
	}
	return 200, map[string]uint64{"tenancy": id}
}

func (s *stateService) list(prefix, from string, most int) (int, any) {
	first := sort.SearchStrings(s.sorted, max(prefix, from))
	entries, bytes, hasNext := []any{}, 0, false
	for _, key := range s.sorted[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if from != "" && key <= from {
			continue
		}
		v := s.keys[key]
		size := len(key) + len(v.value) + 64
		if len(entries) == most || bytes+size > pageBytes {
			hasNext = true
			break
		}
		bytes += size
		entries = append(entries, entry(key, v))
	}
	return 200, map[string]any{"entries": entries, "hasNext": hasNext, "epoch": s.epoch}
}

// watch answers at once: the controllers always ask with blockMs 0.
func (s *stateService) watch(prefix string, from uint64) (int, any) {
	if oldest := s.oldestKept(); from+1 < oldest {
		return 410, failure("too old")
	}
	events := []change{}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Stamp > from })
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.Set+c.Drop, prefix) {
			events = append(events, c)
		}
	}
	return 200, map[string]any{"epoch": s.epoch, "events": events}
}

// oldestKept returns the oldest stamp of which all changes are kept.
func (s *stateService) oldestKept() uint64 {
	if len(s.changes) == 0 {
		return s.epoch + 1
	}
	kept := s.changes[max(0, len(s.changes)-keptChanges):]
	return kept[0].Stamp
}

type txnOp struct {
	Set     string
	Value   json.RawMessage
	Tenancy uint64
	Drop    string
}

func (s *stateService) commit(raw []byte) (int, any) {
	var txn struct {
		Guards []struct {
			Path  string
			Stamp uint64
		}
		Then []txnOp
	}
	if len(raw) > txnBytes || json.Unmarshal(raw, &txn) != nil {
		return 400, failure("malformed or too large")
	}
	if len(txn.Then) > s.settings.txnOps || len(txn.Guards) > guardsPerOp*s.settings.txnOps {
		return 400, failure("too many operations")
	}
	for _, op := range txn.Then {
		if len(op.Value) > s.settings.valueKB<<10 {
			return 400, failure("value too large")
		}
	}
	if !s.writes.take(float64(len(txn.Then))) {
		return 429, failure("too many changes")
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		stamp := uint64(0)
		if v := s.keys[guard.Path]; v != nil {
			stamp = v.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	for _, op := range txn.Then {
		if op.Tenancy != 0 && s.leases[op.Tenancy] == nil {
			return 400, failure("no such lease")
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "epoch": s.epoch}
	}
	if len(txn.Then) > 0 {
		s.epoch++
	}
	for _, op := range txn.Then {
		if op.Drop != "" {
			s.drop(op.Drop)
		} else {
			s.set(op.Set, op.Value, op.Tenancy)
		}
	}
	return 200, map[string]uint64{"epoch": s.epoch}
}
