package state

import (
	"encoding/json"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/spill"
)

// Events may arrive late. An older event must not replace what a newer one or a commit of this
// controller has set.
func TestViewKeepsTheNewest(t *testing.T) {
	view := NewView()
	view.Put("job/j-1", shard.JobRecord{Spec: &model.Submission{ID: "j-1", Tasks: 3}}, 10)
	view.Put("job/j-1", shard.JobRecord{End: "done", Tasks: 3}, 20)
	if set, err := view.Set("job/j-1", json.RawMessage(`{"end":"withdrawn"}`), 15); set || err != nil {
		t.Errorf("older event: applied is %v, error %v; want false and no error", set, err)
	}
	if status, done, _, known := view.Status("j-1"); status != "done" || done != 3 || !known {
		t.Errorf("got status %s, %d done, known %v; want done, 3, true", status, done, known)
	}
	view.Put("leader", LeaderRecord{Node: "a"}, 30)
	if view.Drop("leader", 25); view.Leader == nil {
		t.Error("an older deletion removed a newer value")
	}
	if view.Drop("leader", 31); view.Leader != nil {
		t.Error("a newer deletion was not applied")
	}
}

// An end is final: no later record of the job changes what a view says of it, nor what follows for
// its dependents.
func TestViewKeepsTheFirstEnd(t *testing.T) {
	accepted := func(id string, awaits ...string) shard.JobRecord {
		return shard.JobRecord{Spec: &model.Submission{ID: id, Tasks: 2, Kind: "sweep", Priority: "idle", Awaits: awaits}}
	}
	for _, end := range []string{model.JobDone, model.JobCancelled} {
		for _, later := range []shard.JobRecord{{End: model.JobDone, Tasks: 2}, {Spec: accepted("j-1").Spec, End: model.JobCancelled}, accepted("j-1")} {
			view := NewView()
			view.Put("job/j-1", accepted("j-1"), 1)
			view.Put("job/j-2", accepted("j-2", "j-1"), 2)
			view.Put("job/j-1", shard.JobRecord{End: end, Tasks: 2}, 3)
			view.Put("job/j-1", later, 4)
			if got, _, _, _ := view.Status("j-1"); got != end {
				t.Errorf("%s, then %+v: status %s", end, later, got)
			}
			if got := view.Jobs["j-2"].Ready(); got != (end == model.JobDone) {
				t.Errorf("%s, then %+v: a dependent is ready: %v", end, later, got)
			}
			if got := view.AcceptedRevision("j-1"); got != 1 {
				t.Errorf("%s, then %+v: accepted at revision %d, want 1", end, later, got)
			}
		}
	}
}

// A record is that of the job that its key names, whatever ID its submission has.
func TestKeyNamesTheJob(t *testing.T) {
	view := NewView()
	named := model.Submission{ID: "j-9", Tasks: 2}
	view.Put("job/j-1", shard.JobRecord{Spec: &named}, 1)
	view.Put("spill/in/south/j-1", spill.InRecord{Spec: &named}, 2)
	if got := view.Jobs["j-1"].Submission.ID; got != "j-1" {
		t.Errorf("job j-1: the submission names %s", got)
	}
	if got := view.BorrowedJobs["spill/in/south/j-1"].Spec.ID; got != "j-1" {
		t.Errorf("borrowed job j-1: the submission names %s", got)
	}
	if view.Known("j-9") || named.ID != "j-9" {
		t.Errorf("job j-9 is known: %v; the record's submission names %s, want it unchanged", view.Known("j-9"), named.ID)
	}
}

// A machine may have entries in several bundles. The latest one must count whatever the order in
// which the bundles are read, and an entry that its bundle no longer has must be dropped.
func TestViewOfBundles(t *testing.T) {
	newer := json.RawMessage(`{"hosts":{"h1":{"pieces":{"j-1":[[0,5],[1,6]]}}},"done":{"j-1":"AQ=="}}`)
	older := json.RawMessage(`{"hosts":{"h1":{"pieces":{"j-1":[[2,4]]}},"h2":{"pieces":{"j-2":[[0,4]]}}},"done":{"j-1":""}}`)
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		view := NewView()
		for _, slot := range order {
			if _, err := view.Set(BundleKey("b0", slot), [][]byte{newer, older}[slot], []uint64{8, 6}[slot]); err != nil {
				t.Fatal(err)
			}
		}
		view.Put("job/j-1", shard.JobRecord{Spec: &model.Submission{ID: "j-1", Tasks: 3}}, 2)
		view.Put("job/j-2", shard.JobRecord{Spec: &model.Submission{ID: "j-2", Tasks: 1}}, 2)
		if status, done, running, _ := view.Status("j-1"); status != "running" || running != 2 || done != 1 {
			t.Errorf("order %v: j-1 is %s with %d running, %d done; want running, 2, 1", order, status, running, done)
		}
		if slots, _ := view.Bundles("b0"); len(slots) != 2 || slots[0] != 1 {
			t.Errorf("got slots %v, want the older bundle's slot 1 first", slots)
		}
		view.Put(BundleKey("b0", 1), shard.BundleRecord{}, 9)
		if status, _, _, _ := view.Status("j-2"); status != "pending" {
			t.Errorf("order %v: j-2 is %s, want pending as nothing is bound", order, status)
		}
		if _, done, running, _ := view.Status("j-1"); running != 2 || done != 1 {
			t.Errorf("order %v: dropping an older entry changed the newer one: %d running, %d done; want 2, 1", order, running, done)
		}
		// The machine is gone, while another bundle still has an older version of it.
		view.Put(BundleKey("b0", 2), shard.BundleRecord{Machines: map[string]*shard.MachineRecord{"h1": nil}}, 10)
		if status, _, _, _ := view.Status("j-1"); status != "pending" {
			t.Errorf("order %v: j-1 is %s on a machine that is gone, want pending", order, status)
		}
	}
}

// A record that a version with another layout has written must be rejected, not misread.
func TestViewRefusesOtherLayouts(t *testing.T) {
	for path, value := range map[string]string{"job/j-1/spec": `{"ref":"j-1"}`, "job/j-1": `{"ref":"j-1","pieces":3}`,
		"host/h1": `{"pieces":{}}`, "bound/b0/1": `{"hosts":[]}`, "else": `1`,
		"duty/cooking": `{"holder":"x"}`, "duty/renting": `{"holder":7}`, "intent/rent/0": `[]`, "intent/lend/0": `{}`} {
		if _, err := NewView().Set(path, json.RawMessage(value), 5); !errors.Is(err, ErrLayout) {
			t.Errorf("%s: got error %v, want ErrLayout", path, err)
		}
	}
}

func TestBudget(t *testing.T) {
	budget := NewBudget(10, 10)
	if left := budget.Left(0); left != 10 {
		t.Errorf("%d left at first, want 10, the requests of one second", left)
	}
	budget.Spend(12, 0)
	if left := budget.Left(0); left != 0 {
		t.Errorf("%d left of an overspent budget, want 0", left)
	}
	if left := budget.Left(model.Second); left != 8 {
		t.Errorf("%d left after a second, want 8", left)
	}
	budget.Drain(model.Second)
	if left := budget.Left(model.Second + model.Second/2); left != 5 {
		t.Errorf("%d left half a second after a rejection, want 5", left)
	}
	// A budget may use what other controllers leave, until the service rejects requests.
	budget = NewBudget(2, 10)
	for range 6 {
		budget.Drain(0)
	}
	if rate := budget.Rate(); rate < 2 || rate > 2.5 {
		t.Errorf("rate %v after rejections, want about the share of 2", rate)
	}
	budget.Left(20 * model.Second)
	if rate := budget.Rate(); rate != 10 {
		t.Errorf("rate %v 20 s after the rejections, want the maximum rate of 10", rate)
	}
}

// The client sends requests as the state service's protocol defines them, and turns its responses
// into results and errors.
func TestClient(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var gotRequest, response string
	status := 200
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		gotRequest = string(ctx.Method()) + " " + string(ctx.RequestURI()) + " " + string(ctx.PostBody())
		ctx.SetStatusCode(status)
		ctx.SetBodyString(response)
	}}
	go server.Serve(listener) //nolint:errcheck // ends with the listener
	defer listener.Close()
	client := NewClient(listener.Addr().String())
	const timeout = 5 * model.Second

	response = `{"epoch":432}`
	result, err := client.Commit(&Txn{Conditions: []Condition{{"a/b", 0}}, Then: []Op{{Set: "a/b", Value: 1, LeaseID: 7}, {Drop: "c/d"}}}, timeout)
	if err != nil || !result.OK || result.Revision != 432 {
		t.Errorf("commit: %+v, %v", result, err)
	}
	if want := `POST /commit {"guards":[{"path":"a/b","stamp":0}],"then":[{"set":"a/b","value":1,"tenancy":7},{"drop":"c/d"}]}`; gotRequest != want {
		t.Errorf("sent %s\nwant %s", gotRequest, want)
	}
	status, response = 409, `{"failed":["a/b"],"epoch":431}`
	if result, err = client.Commit(&Txn{}, timeout); err != nil || result.OK || len(result.Failed) != 1 {
		t.Errorf("conflict: %+v, %v", result, err)
	}
	status, response = 400, `{"error":"no such lease"}`
	if _, err = client.Commit(&Txn{}, timeout); !errors.Is(err, ErrNoLease) {
		t.Errorf("expired lease: got error %v, want ErrNoLease", err)
	}
	for errorStatus, want := range map[int]error{429: ErrBusy, 503: ErrRefused, 410: ErrCompacted} {
		status = errorStatus
		if _, err := client.Watch(5, timeout); !errors.Is(err, want) {
			t.Errorf("status %d: got error %v, want %v", errorStatus, err, want)
		}
	}
	if gotRequest != "GET /watch?starts=&from=5&blockMs=0 " {
		t.Errorf("sent %s", gotRequest)
	}
	status, response = 200, `{"epoch":9,"events":[{"set":"k","value":{"x":1},"stamp":9},{"drop":"l","stamp":8}]}`
	if changes, err := client.Watch(5, timeout); err != nil || changes.Revision != 9 || len(changes.Events) != 2 || changes.Events[1].Drop != "l" {
		t.Errorf("watch: %+v, %v", changes, err)
	}
	response = `{"tenancy":7}`
	if leaseID, err := client.GrantLease(2500*model.Millisecond, timeout); err != nil || leaseID != 7 || gotRequest != `POST /grants {"ttlMs":2500}` {
		t.Errorf("grant: lease %d, error %v, sent %s", leaseID, err, gotRequest)
	}
	status = 404
	if err := client.RenewLease(7, timeout); !errors.Is(err, ErrMissing) || gotRequest != "POST /grants/7/touch " {
		t.Errorf("renewal of an expired lease: error %v, sent %s", err, gotRequest)
	}
	if err := client.RevokeLease(7, timeout); err != nil {
		t.Errorf("revoking an expired lease: %v", err)
	}
	if _, err := client.Get("node/a", timeout); !errors.Is(err, ErrMissing) || gotRequest != "GET /keys/node/a " {
		t.Errorf("get: %v, sent %s", err, gotRequest)
	}
	listener.Close()
	server.Shutdown() //nolint:errcheck // connections are dropped
	if err := NewClient("127.0.0.1:1").RenewLease(7, model.Second); !errors.Is(err, ErrLost) {
		t.Errorf("unreachable service: got error %v, want ErrLost", err)
	}
}
