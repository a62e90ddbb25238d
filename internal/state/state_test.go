package state

import (
	"encoding/json"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// An older event never replaces what a newer one, or our own commit, has set.
func TestViewKeepsTheNewest(t *testing.T) {
	v := NewView()
	v.Put("job/j-1", shard.JobRecord{Spec: &model.Submission{ID: "j-1", Tasks: 3}}, 10)
	v.Put("job/j-1", shard.JobRecord{End: "done", Tasks: 3}, 20)
	if set, err := v.Set("job/j-1", json.RawMessage(`{"end":"withdrawn"}`), 15); set || err != nil {
		t.Errorf("an older event is applied: %v, %v", set, err)
	}
	if status, done, _, known := v.Status("j-1"); status != "done" || done != 3 || !known {
		t.Errorf("status %s, %d done, known %v", status, done, known)
	}
	v.Put("leader", LeaderRecord{Node: "a"}, 30)
	if v.Drop("leader", 25); v.Leader == nil {
		t.Error("an old removal undid a newer value")
	}
	if v.Drop("leader", 31); v.Leader != nil {
		t.Error("a removal is not applied")
	}
}

// Of a machine that stands in several bundles the latest counts, in whatever
// order they are read; and what its bundle no longer has is gone.
func TestViewOfBundles(t *testing.T) {
	newer := json.RawMessage(`{"hosts":{"h1":{"pieces":{"j-1":[[0,5],[1,6]]}}},"done":{"j-1":"AQ=="}}`)
	older := json.RawMessage(`{"hosts":{"h1":{"pieces":{"j-1":[[2,4]]}},"h2":{"pieces":{"j-2":[[0,4]]}}},"done":{"j-1":""}}`)
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		v := NewView()
		for _, k := range order {
			if _, err := v.Set(BundleKey("b0", k), [][]byte{newer, older}[k], []uint64{8, 6}[k]); err != nil {
				t.Fatal(err)
			}
		}
		v.Put("job/j-1", shard.JobRecord{Spec: &model.Submission{ID: "j-1", Tasks: 3}}, 2)
		v.Put("job/j-2", shard.JobRecord{Spec: &model.Submission{ID: "j-2", Tasks: 1}}, 2)
		if status, done, running, _ := v.Status("j-1"); status != "running" || running != 2 || done != 1 {
			t.Errorf("%v: %s with %d running, %d done", order, status, running, done)
		}
		if slots, _ := v.Bundles("b0"); len(slots) != 2 || slots[0] != 1 {
			t.Errorf("bundles in the order %v", slots)
		}
		v.Put(BundleKey("b0", 1), shard.BundleRecord{}, 9)
		if status, _, _, _ := v.Status("j-2"); status != "pending" {
			t.Errorf("%v: %s though nothing is bound", order, status)
		}
		if _, done, running, _ := v.Status("j-1"); running != 2 || done != 1 {
			t.Errorf("%v: an older copy took the newer one with it: %d running, %d done", order, running, done)
		}
		// A machine that is gone, while an older version of it stands elsewhere.
		v.Put(BundleKey("b0", 2), shard.BundleRecord{Machines: map[string]*shard.MachineRecord{"h1": nil}}, 10)
		if status, _, _, _ := v.Status("j-1"); status != "pending" {
			t.Errorf("%v: %s on a machine that is gone", order, status)
		}
	}
}

// A record laid down by a version with another layout is refused, not misread.
func TestViewRefusesOtherLayouts(t *testing.T) {
	for path, value := range map[string]string{"job/j-1/spec": `{"ref":"j-1"}`, "job/j-1": `{"ref":"j-1","pieces":3}`,
		"host/h1": `{"pieces":{}}`, "bound/b0/1": `{"hosts":[]}`, "else": `1`,
		"duty/cooking": `{"holder":"x"}`, "duty/renting": `{"holder":7}`, "intent/rent/0": `[]`, "intent/lend/0": `{}`} {
		if _, err := NewView().Set(path, json.RawMessage(value), 5); !errors.Is(err, ErrLayout) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget(10, 10)
	if n := b.Left(0); n != 10 {
		t.Errorf("%d at first, want a second's worth", n)
	}
	b.Spend(12, 0)
	if n := b.Left(0); n != 0 {
		t.Errorf("%d left of a spent budget", n)
	}
	if n := b.Left(model.Second); n != 8 {
		t.Errorf("%d after a second, want 8", n)
	}
	b.Drain(model.Second)
	if n := b.Left(model.Second + model.Second/2); n != 5 {
		t.Errorf("%d half a second after a refusal, want 5", n)
	}
	// What others leave may be taken, until the service refuses it.
	b = NewBudget(2, 10)
	for range 6 {
		b.Drain(0)
	}
	if r := b.Rate(); r < 2 || r > 2.5 {
		t.Errorf("rate %v after refusals, want about its share", r)
	}
	b.Left(20 * model.Second)
	if r := b.Rate(); r != 10 {
		t.Errorf("rate %v long after, want the most", r)
	}
}

// What the client sends and how it reads the service's answers.
func TestClient(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var got, answer string
	code := 200
	srv := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		got = string(c.Method()) + " " + string(c.RequestURI()) + " " + string(c.PostBody())
		c.SetStatusCode(code)
		c.SetBodyString(answer)
	}}
	go srv.Serve(ln) //nolint:errcheck // ends with the listener
	defer ln.Close()
	c := NewClient(ln.Addr().String())
	const patience = 5 * model.Second

	answer = `{"epoch":432}`
	r, err := c.Commit(&Txn{Conditions: []Condition{{"a/b", 0}}, Then: []Op{{Set: "a/b", Value: 1, LeaseID: 7}, {Drop: "c/d"}}}, patience)
	if err != nil || !r.OK || r.Revision != 432 {
		t.Errorf("commit: %+v, %v", r, err)
	}
	if want := `POST /commit {"guards":[{"path":"a/b","stamp":0}],"then":[{"set":"a/b","value":1,"tenancy":7},{"drop":"c/d"}]}`; got != want {
		t.Errorf("sent %s\nwant %s", got, want)
	}
	code, answer = 409, `{"failed":["a/b"],"epoch":431}`
	if r, err = c.Commit(&Txn{}, patience); err != nil || r.OK || len(r.Failed) != 1 {
		t.Errorf("conflict: %+v, %v", r, err)
	}
	code, answer = 400, `{"error":"no such lease"}`
	if _, err = c.Commit(&Txn{}, patience); !errors.Is(err, ErrNoLease) {
		t.Errorf("expired lease: %v", err)
	}
	for status, want := range map[int]error{429: ErrBusy, 503: ErrRefused, 410: ErrCompacted} {
		code = status
		if _, err := c.Watch(5, patience); !errors.Is(err, want) {
			t.Errorf("%d: %v", status, err)
		}
	}
	if got != "GET /watch?starts=&from=5&blockMs=0 " {
		t.Errorf("sent %s", got)
	}
	code, answer = 200, `{"epoch":9,"events":[{"set":"k","value":{"x":1},"stamp":9},{"drop":"l","stamp":8}]}`
	if ch, err := c.Watch(5, patience); err != nil || ch.Revision != 9 || len(ch.Events) != 2 || ch.Events[1].Drop != "l" {
		t.Errorf("watch: %+v, %v", ch, err)
	}
	answer = `{"tenancy":7}`
	if id, err := c.GrantLease(2500*model.Millisecond, patience); err != nil || id != 7 || got != `POST /grants {"ttlMs":2500}` {
		t.Errorf("grant: %d, %v, sent %s", id, err, got)
	}
	code = 404
	if err := c.RenewLease(7, patience); !errors.Is(err, ErrMissing) || got != "POST /grants/7/touch " {
		t.Errorf("touch: %v, sent %s", err, got)
	}
	if err := c.RevokeLease(7, patience); err != nil {
		t.Errorf("ending a lease that is over: %v", err)
	}
	if _, err := c.Get("node/a", patience); !errors.Is(err, ErrMissing) || got != "GET /keys/node/a " {
		t.Errorf("get: %v, sent %s", err, got)
	}
	ln.Close()
	srv.Shutdown() //nolint:errcheck // connections are dropped
	if err := NewClient("127.0.0.1:1").RenewLease(7, model.Second); !errors.Is(err, ErrLost) {
		t.Errorf("unreachable: %v", err)
	}
}
