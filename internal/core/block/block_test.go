package block

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/place"
)

const sec = model.Second

func newHolder(token uint64) *State {
	h := New(Params{
		Teams: map[string]*model.Team{
			"red":  {Name: "red", Guaranteed: model.Resources{Cores: 8000}, Limit: model.Resources{Cores: 8000}},
			"blue": {Name: "blue", Limit: model.Resources{Cores: 100_000, GPUs: 8000}},
		},
		Report: 5 * sec / 2, Lease: 18 * sec, GangWait: 30 * sec, Margin: sec, MaxValue: 28_000,
	}, token)
	h.SetMachineTypes([]model.MachineType{
		{Name: "box", Cores: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "gpu", Cores: 8, GPUs: 2, MemoryGB: 32, CacheGB: 50, FetchGBps: 1, Price: 9, SpotPrice: 4, BootS: 10, Zones: []string{"a", "b"}}})
	return h
}

func job(ref string, tasks int, shape model.JobKind) *model.Job {
	return &model.Job{ID: ref, Class: "c", Team: "red", Kind: shape, Priority: model.NormalPriority, Tasks: tasks,
		Request: model.Resources{Cores: 1000, Mem: 1000}, Image: "i", ImageGB: 1, EstimatedRun: 10 * sec, AllowsSpot: true}
}

// worker is a scripted worker: it says what it is told to say.
type worker struct {
	h     *State
	r     Report
	tally uint64
}

func newWorker(h *State, ref, machineType, zone string) *worker {
	return &worker{h: h, r: Report{Machine: ref, MachineType: machineType, Zone: zone, Session: 1}}
}

// says has the worker report these tasks, and returns the commands it gets.
// One that has not reported for a while has first to show that it hears.
func (w *worker) says(now model.Micros, token uint64, ps ...TaskReport) (Verdict, []Command) {
	if m := w.h.Machines[w.r.Machine]; token == w.h.Token && (m == nil || now-m.LastHeartbeat > 3*sec) {
		w.tally++
		r := w.r
		r.Sequence, r.Token, r.Tasks = w.tally, token, ps
		w.h.ApplyReport(&r, now-sec/2)
	}
	w.tally++
	r := w.r
	r.Sequence, r.Token, r.Tasks = w.tally, token, ps
	v := w.h.ApplyReport(&r, now)
	if v != Taken {
		return v, nil
	}
	w.h.Place(now, true)
	return v, w.h.Commands(&r, now)
}

// starts has the worker report with nothing on it, and again once what was bound
// then is durable: it is told to start that.
func (w *worker) starts() {
	w.says(sec, w.h.Token)
	write(w.h, sec)
	w.says(2*sec, w.h.Token)
}

// write makes everything that waits durable.
func write(h *State, now model.Micros) (keys []string) {
	for h.Queued() > 0 {
		ws := h.Writes(16, 48<<10)
		for _, w := range ws {
			for e := range w.vers {
				keys = append(keys, e)
			}
		}
		h.Committed(ws, now)
	}
	return keys
}

func verbs(commands []Command, verb string) (n int) {
	for _, o := range commands {
		if o.Op == verb {
			n++
		}
	}
	return n
}

func bound(h *State, ref string) *model.Binding {
	for _, b := range h.Machines[ref].Bindings {
		return b
	}
	return nil
}

// running are the tasks of a report that says that all that is bound to a machine
// runs.
func running(h *State, ref string) (ps []TaskReport) {
	for _, b := range h.Machines[ref].Bindings {
		ps = append(ps, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	}
	return ps
}

func TestStartOnlyOnceBindingIsDurable(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	if _, commands := w.says(sec, 5); len(h.Machines["h1"].Bindings) != 2 || verbs(commands, "start") != 0 {
		t.Fatalf("%d bound, orders %v: want 2 bound, none started", len(h.Machines["h1"].Bindings), commands)
	}
	write(h, sec)
	if _, commands := w.says(2*sec, 5); verbs(commands, "start") != 2 {
		t.Fatalf("orders %v, want two starts", commands)
	}
}

func TestUnbindNeedsNewerReportUnderOurToken(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	m := h.AddMachine("h1", "box", "a", false, 0)
	h.Restore(js, 0, 77, m) // bound by an earlier holder
	id := model.TaskID{Job: "j-1"}
	// A late copy may tell of an end of the same attempt before it ran again.
	w.says(sec, 4, TaskReport{ID: id, Attempt: 77, Status: model.Exited, Cause: "stopped"})
	if b := bound(h, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by an end reported under an older token")
	}
	// The old holder's start may still be on its way.
	w.says(2*sec, 4)
	if b := bound(h, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by a report under an older token that lacks the piece")
	}
	w.says(3*sec, 5, TaskReport{ID: id, Attempt: 77, Status: model.Running})
	w.says(4*sec, 5)
	if b := bound(h, "h1"); b != nil && b.Attempt == 77 {
		t.Fatal("still bound after a newer report under our token without it")
	}
}

func TestLateReportMovesNothingBack(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := bound(h, "h1")
	w.says(3*sec, 5, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	late := w.r
	late.Sequence, late.Token = 2, 5
	if v := h.ApplyReport(&late, 4*sec); v != Stale {
		t.Fatalf("verdict %v for a late copy", v)
	}
	if bound(h, "h1") != b {
		t.Fatal("a late copy unbound the piece")
	}
}

func TestHigherTokenDeposes(t *testing.T) {
	h := newHolder(5)
	if v, _ := newWorker(h, "h1", "box", "a").says(sec, 6); v != Deposed {
		t.Fatalf("verdict %v for a worker that knows a higher token", v)
	}
}

// The worker's lease is counted from the last moment at which any entitled node
// may have answered it; a listing or silence proves nothing.
func TestLeaseProof(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.says(sec, 5)
	write(h, sec)
	w.says(10*sec, 5)
	h.Machines["h1"].Failed = true
	h.Tick(10*sec + 18*sec)
	if bound(h, "h1") == nil {
		t.Fatal("unbound before the lease is surely over")
	}
	h.Tick(10*sec + h.LeaseExpiry() + 1)
	if bound(h, "h1") != nil {
		t.Fatal("still bound after the lease")
	}
	if h.LeaseExpiry() <= 18*sec+18*sec/1000 {
		t.Fatal("the lease is not stretched by drift")
	}
}

// A new holder knows nothing of what the former answered, so it counts from its
// own takeover.
func TestLeaseProofAfterTakeover(t *testing.T) {
	h := newHolder(9)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 100*sec, 0)
	h.Restore(js, 0, 7, h.AddMachine("h1", "box", "a", false, 100*sec))
	h.Tick(100*sec + 18*sec)
	if bound(h, "h1") == nil {
		t.Fatal("unbound before the lease of a possible last answer is over")
	}
}

func TestDeletionProof(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.says(sec, 5)
	write(h, sec)
	h.MachineDeleted("h1", "deleted", 2*sec)
	if len(js.Waiting) != 1 || len(js.Bindings) != 0 || h.Used["red"] != (model.Resources{}) {
		t.Fatalf("waiting %v, bound %v, used %v", js.Waiting, js.Bindings, h.Used["red"])
	}
}

// A worker forgets a finished task only once its completion is durable, and a
// job is done only once its end is.
func TestCompletionDurableBeforeClear(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := js.Bindings[0][0]
	done := TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "done"}
	other := TaskReport{ID: js.Bindings[1][0].ID, Attempt: js.Bindings[1][0].Attempt, Status: model.Running}
	if _, commands := w.says(3*sec, 5, done, other); verbs(commands, "clear") != 0 {
		t.Fatal("cleared before the completion is durable")
	}
	write(h, 3*sec)
	if _, commands := w.says(4*sec, 5, done, other); verbs(commands, "clear") != 1 {
		t.Fatal("not cleared though the completion is durable")
	}
	other.Status, other.Cause = model.Exited, "done"
	if _, commands := w.says(5*sec, 5, other); verbs(commands, "clear") != 0 || js.Ended != "" {
		t.Fatal("ended before the end is durable")
	}
	write(h, 5*sec)
	if js.Ended != "done" {
		t.Fatal("the end was not written")
	}
}

// A cancellation that was decided first stands, whatever finishes.
func TestCancelAgainstCompletion(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	for n := range 2 { // the second is still on its machine when the job ends
		h.complete(model.TaskID{Job: "j-1", Index: n}, nil, 3*sec)
	}
	h.EndJob("j-1", "withdrawn", 4*sec)
	for _, x := range h.Writes(16, 48<<10) {
		if x.Key == "job/j-1" {
			t.Fatal("the end is to be written over a cancellation")
		}
	}
	if js.Ended != "withdrawn" {
		t.Fatalf("ended %q", js.Ended)
	}
}

func TestCancelledJobIsStoppedAndNotStarted(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := bound(h, "h1")
	h.EndJob("j-1", "withdrawn", 2*sec)
	_, commands := w.says(3*sec, 5, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	if verbs(commands, "start") != 0 || verbs(commands, "stop") != 1 || commands[0].Grace != 0 {
		t.Fatalf("orders %v, want one stop without grace", commands)
	}
}

// None of a gang starts before all its bindings are durable, and the next
// attempt waits until the old one is wholly gone.
func TestGangAttempts(t *testing.T) {
	h := newHolder(5)
	j := job("j-1", 2, model.Gang)
	j.Team, j.Request.Cores = "blue", 3000 // one to a box
	js := h.AddJob(j, model.Set{}, "", 0, 0)
	w1, w2 := newWorker(h, "h1", "box", "a"), newWorker(h, "h2", "box", "a")
	if w1.says(sec, 5); len(js.Bindings) != 0 {
		t.Fatal("part of a gang was bound")
	}
	w2.says(sec, 5)
	if len(js.Bindings) != 2 || js.Bindings[0][0].Attempt != js.Bindings[1][0].Attempt {
		t.Fatal("the gang is not bound under one attempt")
	}
	ws := h.Writes(1, 150) // room for the first record only
	if h.Committed(ws, sec); len(ws) != 1 || len(ws[0].vers) != 1 {
		t.Fatalf("%+v written, want one of two records", ws)
	}
	_, o1 := w1.says(2*sec, 5)
	_, o2 := w2.says(2*sec, 5)
	if verbs(o1, "start")+verbs(o2, "start") != 0 {
		t.Fatal("a task of a gang starts before all bindings are durable")
	}
	write(h, 2*sec)
	w1.says(3*sec, 5)
	w2.says(3*sec, 5)
	b1, b2 := bound(h, "h1"), bound(h, "h2")
	w1.says(4*sec, 5, TaskReport{ID: b1.ID, Attempt: b1.Attempt, Status: model.Running})
	w2.says(4*sec, 5, TaskReport{ID: b2.ID, Attempt: b2.Attempt, Status: model.Running})
	newWorker(h, "h3", "box", "a").says(4*sec, 5)
	newWorker(h, "h4", "box", "a").says(4*sec, 5)
	w1.says(5*sec, 5) // gone without a trace
	_, o2 = w2.says(5*sec, 5, TaskReport{ID: b2.ID, Attempt: b2.Attempt, Status: model.Running})
	if len(js.Bindings) != 1 || verbs(o2, "stop") != 1 {
		t.Fatalf("%d bound, orders %v: want the rest of the attempt stopped, and no new one", len(js.Bindings), o2)
	}
	w2.says(6*sec, 5, TaskReport{ID: b2.ID, Attempt: b2.Attempt, Status: model.Exited, Cause: "stopped"})
	if len(js.Bindings) != 2 || js.Bindings[0][0].Attempt == b1.Attempt {
		t.Fatal("no new attempt after the old one is gone")
	}
}

// The record of a task's leaving is durable before, or together with, that of
// its binding elsewhere.
func TestUnbindIsWrittenBeforeRebind(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w1 := newWorker(h, "h1", "box", "a")
	w1.says(sec, 5)
	write(h, sec)
	w1.says(2*sec, 5)
	b := bound(h, "h1")
	newWorker(h, "h2", "box", "a").says(2*sec, 5)
	h.Machines["h1"].Draining = true
	w1.says(3*sec, 5, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "error"})
	if bound(h, "h2") == nil {
		t.Fatal("not bound elsewhere")
	}
	ws := h.Writes(1, 48<<10)
	if rec := ws[0].Value.(BundleRecord); len(ws) != 1 || len(rec.Machines) != 2 || len(rec.Machines["h1"].Tasks) != 0 {
		t.Fatalf("written: %+v", ws)
	}
}

// The tasks of a gang whose images take long start first, and no two wait for
// each other, however long all take: gangs once waited for themselves.
func TestGangStartsLongFetchesFirst(t *testing.T) {
	h := newHolder(5)
	j := job("j-1", 3, model.Gang)
	j.Team, j.Request.Cores = "blue", 3000 // one to a box
	js := h.AddJob(j, model.Set{}, "", 0, 0)
	var ws []*worker
	for _, ref := range []string{"h1", "h2", "h3"} {
		w := newWorker(h, ref, "box", "a")
		w.says(sec, 5)
		ws = append(ws, w)
	}
	if len(js.Bindings) != 3 {
		t.Fatal("not bound")
	}
	for n, fetch := range []model.Micros{0, 90 * sec, 100 * sec} {
		bound(h, ws[n].r.Machine).ExpectedFetch = fetch
	}
	write(h, sec)
	started := func(now model.Micros) (n []int) {
		for i, w := range ws {
			b := bound(h, w.r.Machine)
			var ps []TaskReport
			if b.Seen {
				ps = append(ps, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: b.Status})
			}
			if _, o := w.says(now, 5, ps...); verbs(o, "start") > 0 {
				n = append(n, i)
				b.Seen, b.Status = true, model.Fetching
			}
		}
		return n
	}
	if n := started(2 * sec); len(n) != 2 || n[0] != 1 {
		t.Fatalf("started %v, want the two that fetch", n)
	}
	for _, w := range ws[1:] {
		bound(h, w.r.Machine).Status = model.WaitingForGang
	}
	if n := started(100 * sec); len(n) != 1 || n[0] != 0 {
		t.Fatalf("started %v, want the one that has its image", n)
	}
}

// A gang that does not come together, for whatever reason, gives its machines
// back.
func TestGangThatNeverRunsIsEnded(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 1, model.Gang), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.says(sec, 5)
	write(h, sec)
	b := bound(h, "h1")
	at := 10 * sec
	for ; at < 200*sec && !js.AttemptFailed; at += 10 * sec {
		w.says(at, 5, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Fetching})
		h.Tick(at)
	}
	if !js.AttemptFailed || at < 60*sec {
		t.Fatalf("broken %v after %v s", js.AttemptFailed, at.Seconds())
	}
}

// Where a binding got durable before the task's leaving of another machine did,
// a new holder finds the task bound twice. The newest attempt is the true one:
// the older may never be started beside it.
func TestNewestAttemptWinsAtTakeover(t *testing.T) {
	h := newHolder(9)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	for ref, attempt := range map[string]uint64{"h1": 7, "h2": 8} {
		h.Restore(js, 0, attempt, h.AddMachine(ref, "box", "a", false, 0))
	}
	h.StopSuperseded()
	_, o1 := newWorker(h, "h1", "box", "a").says(sec, 5)
	_, o2 := newWorker(h, "h2", "box", "a").says(sec, 5)
	if verbs(o1, "start") != 0 || verbs(o2, "start") != 1 {
		t.Fatalf("older attempt: %v, newest: %v", o1, o2)
	}
}

// A bundle whose write got no answer may yet be carried out. It is written again
// before any other, so that its guard shuts the late copy out, and what it held
// is written again, too.
func TestLostBundleIsWrittenAgainFirst(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h1", "box", "a").says(sec, 5)
	write(h, sec)
	h.AddJob(job("j-2", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h2", "box", "a").says(sec, 5)
	lost := h.Writes(16, 48<<10)
	h.Params.MaxValue = 400 // a slot that holds anything is full now
	h.AddJob(job("j-3", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h3", "box", "a").says(sec, 5)
	h.Retry(lost, true)
	again := h.Writes(16, 48<<10)
	if again[0].Slot != lost[0].Slot {
		t.Fatalf("slot %d is written first, want %d", again[0].Slot, lost[0].Slot)
	}
	h.Committed(again, sec)
	write(h, sec)
	for _, ref := range []string{"h1", "h2"} {
		if m := h.Machines[ref]; m.DurableVersion < m.Version {
			t.Errorf("%s is not durable", ref)
		}
	}
}

// A slot that is written anew carries along what only it holds. A machine that
// is gone is denied as long as an older record of it stands elsewhere, or a new
// holder would take it for present.
func TestBundlesCarryWhatOnlyTheyHold(t *testing.T) {
	h := newHolder(5)
	stored := map[int]BundleRecord{}
	store := func() {
		for h.Queued() > 0 {
			ws := h.Writes(16, 48<<10)
			for _, w := range ws {
				stored[w.Slot] = w.Value.(BundleRecord)
			}
			h.Committed(ws, sec)
		}
	}
	for _, ref := range []string{"h1", "h2", "h3"} {
		h.Params.MaxValue = 280 // one machine fills a quarter
		h.markChanged(h.AddMachine(ref, "box", "a", false, 0))
		store()
	}
	if len(stored) < 2 {
		t.Fatalf("all in %d slots", len(stored))
	}
	seed := uint64(1)
	for i := range 200 {
		seed = seed*6364136223846793005 + 1442695040888963407
		ref := []string{"h1", "h2", "h3", "h4", "h5"}[seed>>33%5]
		if h.Machines[ref] != nil && seed>>50%3 == 0 {
			h.MachineDeleted(ref, "deleted", sec)
		} else {
			h.markChanged(h.AddMachine(ref, "box", "a", false, 0))
		}
		store()
		for _, ref := range []string{"h1", "h2", "h3", "h4", "h5"} {
			k, ok := h.liveAt["host/"+ref]
			rec, there := stored[k].Machines[ref]
			if h.Machines[ref] != nil && (!ok || !there || rec == nil) {
				t.Fatalf("step %d: %s is not where it is thought to be", i, ref)
			}
			for slot, b := range stored {
				if rec := b.Machines[ref]; h.Machines[ref] == nil && rec != nil && (!ok || stored[k].Machines[ref] != nil) {
					t.Fatalf("step %d: %s is gone, but stands in slot %d", i, ref, slot)
				}
			}
		}
	}
}

func TestTeamLimitCountsAllBound(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 20, model.Array), model.Set{}, "", 0, 0)
	for _, ref := range []string{"h1", "h2", "h3", "h4"} {
		newWorker(h, ref, "box", "a").says(sec, 5)
	}
	if n := js.BindingCount(); n != 8 {
		t.Fatalf("%d tasks bound, the team's limit is 8", n)
	}
}

func TestPlaceRulesCountOldAttempts(t *testing.T) {
	h := newHolder(5)
	apart := job("j-1", 5, model.Array)
	apart.Spread = true
	js := h.AddJob(apart, model.Set{}, "", 0, 0)
	newWorker(h, "h1", "gpu", "a").says(sec, 5)
	if n := js.BindingCount(); n != 3 {
		t.Fatalf("%d of 5 in one yard, want 3", n)
	}
	same := job("j-2", 3, model.Array)
	same.SameZone, same.Team = true, "blue"
	js2 := h.AddJob(same, model.Set{}, "", 0, 0)
	h.Restore(js2, 0, 3, h.AddMachine("h9", "box", "b", false, 0)) // an old attempt that is not surely gone
	h.Place(2*sec, true)
	if n := js2.BindingCount(); n != 1 {
		t.Fatal("placed in another yard than a task that may still be on its machine")
	}
}

func TestAttemptsNeverRepeat(t *testing.T) {
	a, b := newHolder(5), newHolder(6)
	var last uint64
	for range 1000 {
		last = a.NextAttempt()
	}
	if first := b.NextAttempt(); first <= last {
		t.Fatalf("attempt %d under a later grant, %d under the earlier", first, last)
	}
}

// Two failures in a row set a machine aside; a job that fails everywhere spoils
// no more machines.
func TestFaultIsFoundOut(t *testing.T) {
	h := newHolder(5)
	j := job("j-1", 4, model.Array)
	js := h.AddJob(j, model.Set{}, "", 0, 0)
	fail := func(w *worker, now model.Micros) {
		w.says(now, 5)
		write(h, now)
		w.says(now+sec, 5)
		var ps []TaskReport
		for _, b := range h.Machines[w.r.Machine].Bindings {
			ps = append(ps, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "error"})
		}
		w.says(now+2*sec, 5, ps...)
	}
	fail(newWorker(h, "h1", "box", "a"), sec)
	if !h.Machines["h1"].Faulty {
		t.Fatal("a machine on which two tasks failed is not set aside")
	}
	fail(newWorker(h, "h2", "box", "a"), 10*sec)
	h3 := newWorker(h, "h3", "box", "a")
	fail(h3, 20*sec)
	if js.NotBefore <= 22*sec || h.Machines["h3"].Faulty {
		t.Fatalf("a job that failed on three machines: not before %v, third machine sick %v", js.NotBefore, h.Machines["h3"].Faulty)
	}
}

// A queue of urgent work stops work of lower rank, and never work of its own.
func TestPreemption(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"hot": {8 * sec}}
	low := job("j-1", 4, model.Array)
	low.Priority, low.Team = model.LowPriority, "blue"
	h.AddJob(low, model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	hot := job("j-2", 1, model.Gang)
	hot.Priority, hot.Class = model.HighPriority, "hot"
	hot.Request.Cores = 2000
	h.AddJob(hot, model.Set{}, "", 2*sec, 0)
	ps := running(h, "h1")
	_, commands := w.says(4*sec, 5, ps...)
	if n := verbs(commands, "stop"); n != 2 {
		t.Fatalf("%d stopped to make room for two cores, orders %v", n, commands)
	}
	same := job("j-3", 1, model.Array)
	same.Priority, same.Team = model.LowPriority, "blue"
	h.AddJob(same, model.Set{}, "", 4*sec, 0)
	h.Place(200*sec, true)
	stops := 0
	for _, b := range h.Machines["h1"].Bindings {
		if b.Stopping {
			stops++
		}
	}
	if stops != 2 {
		t.Fatalf("%d stopped: work of the same rank was displaced", stops)
	}
}

// What is urgent for its deadline alone, as a pipeline's jobs are, has others stopped
// after a quarter of the time that it can spare, and not before.
func TestUrgentByDeadline(t *testing.T) {
	for _, at := range []model.Micros{4 * sec, 12 * sec} {
		h := newHolder(5)
		low := job("j-1", 4, model.Array)
		low.Priority, low.Team = model.LowPriority, "blue"
		h.AddJob(low, model.Set{}, "", 0, 0)
		w := newWorker(h, "h1", "box", "a")
		w.starts()
		due := job("j-2", 1, model.Array)
		due.Priority, due.Class, due.EstimatedRun, due.Deadline = model.HighPriority, "due", 10*sec, 50*sec
		h.AddJob(due, model.Set{}, "", 0, 0)
		_, commands := w.says(at, 5, running(h, "h1")...)
		if n := verbs(commands, "stop"); n != map[model.Micros]int{4 * sec: 0, 12 * sec: 1}[at] {
			t.Errorf("%d stopped at %.0f s for a job that can spare 40 s", n, at.Seconds())
		}
	}
}

// A machine on which tasks run far longer than expected gets work last.
func TestSlowMachineIsNoticed(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.says(sec, 5)
	write(h, sec)
	running := func(now model.Micros) {
		var ps []TaskReport
		for n := range 2 {
			ps = append(ps, TaskReport{ID: js.Bindings[n][0].ID, Attempt: js.Bindings[n][0].Attempt, Status: model.Running})
		}
		w.says(now, 5, ps...)
	}
	running(2 * sec)
	running(30 * sec)
	if h.Machines["h1"].SlowUntil != 0 {
		t.Fatal("slow after less than three times the expected run")
	}
	running(40 * sec)
	newWorker(h, "h2", "box", "a").says(40*sec, 5)
	h.AddJob(job("j-2", 1, model.Array), model.Set{}, "", 40*sec, 0)
	h.Place(40*sec, true)
	if len(h.Machines["h2"].Bindings) != 1 {
		t.Fatal("new work goes to the slow machine")
	}
}

// A gang that its team's limit keeps waiting is not overtaken by single tasks of
// the team for ever, and has them stopped once it is late.
func TestGangIsOwedItsTeamsLimit(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"hot": {40 * sec}}
	h.AddJob(job("j-1", 30, model.Array), model.Set{}, "", 0, 0)
	for _, ref := range []string{"h1", "h2", "h3", "h4", "h5"} {
		newWorker(h, ref, "box", "a").says(sec, 5)
	}
	if h.Used["red"].Cores != 8000 {
		t.Fatal("the team is not at its limit")
	}
	hot := job("j-2", 2, model.Gang)
	hot.Priority, hot.Class, hot.Request.Cores = model.HighPriority, "hot", 2000
	js := h.AddJob(hot, model.Set{}, "", sec, 0)
	h.complete(model.TaskID{Job: "j-1"}, nil, 2*sec)
	h.unbind(h.Jobs["j-1"].Bindings[0][0], "ended: done", 2*sec)
	h.Place(2*sec, true)
	if got := h.Used["red"].Cores; got != 7000 {
		t.Fatalf("%d used: what came free went to a single task", got)
	}
	for _, m := range h.Machines {
		m.LastHeartbeat = 22 * sec
	}
	h.Place(22*sec, true)
	stops := 0
	for _, bs := range h.Jobs["j-1"].Bindings {
		if bs[0].Stopping {
			stops++
		}
	}
	if stops != 3 || len(js.Bindings) != 0 {
		t.Fatalf("%d stopped, want three more cores within the limit", stops)
	}
}

// Nothing new is bound to a machine before a report shows that it hears us: one
// that bears an older token may be an old copy.
func TestNoWorkForAMachineThatDoesNotHear(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	m := h.AddMachine("h1", "box", "a", false, 0)
	w := newWorker(h, "h1", "box", "a")
	for i := range model.Micros(4) {
		w.says(i*sec, 4)
	}
	if len(js.Bindings) != 0 {
		t.Fatal("work for a machine whose reports bear an older token")
	}
	w.says(4*sec, 5)
	if len(js.Bindings) != 1 {
		t.Fatal("no work for a machine that hears")
	}
	more := h.AddJob(job("j-2", 1, model.Array), model.Set{}, "", 0, 0)
	r := w.r
	for i := range model.Micros(8) { // its answers are lost: it comes back from the other controllers
		w.tally++
		r.Sequence, r.Token = w.tally, 5
		h.ApplyReport(&r, 10*sec+i*5*sec)
		h.Place(10*sec+i*5*sec, true)
	}
	if len(more.Bindings) != 0 {
		t.Fatal("more work for a machine that has not heard the last answers")
	}
	if !h.Unreachable(m, 10*sec+35*sec) || h.Unreachable(m, 10*sec+20*sec) {
		t.Fatal("a machine that goes on reporting without hearing is not found out in time")
	}
}

// A job that nothing of has begun for long gets the next room, whatever its rank,
// with one task: the others go on.
func TestLongWaitingJobBegins(t *testing.T) {
	for _, wait := range []model.Micros{60 * sec, 200 * sec} {
		h := newHolder(5)
		h.AddJob(job("j-1", 90, model.Array), model.Set{}, "", 0, 0)
		w := newWorker(h, "h1", "box", "a")
		w.starts()
		low := job("j-2", 3, model.Array)
		low.Priority = model.LowPriority
		js := h.AddJob(low, model.Set{}, "", 2*sec, 0)
		ps := running(h, "h1")
		w.says(wait, 5, ps...)
		ps[0].Status, ps[0].Cause = model.Exited, "done"
		ps[1].Status, ps[1].Cause = model.Exited, "done"
		w.says(wait+sec, 5, ps...)
		if n := js.BindingCount(); (n == 1) != (wait > 150*sec) || n > 1 || len(h.Machines["h1"].Bindings) != 4 {
			t.Errorf("after %v s: %d tasks of the waiting job, %d bound in all", wait.Seconds(), n, len(h.Machines["h1"].Bindings))
		}
	}
}

// Machines that come free are kept for a gang that needs several at once and
// can't have others stopped: work of its own rank would take them one by one.
func TestMachinesAreAwaitedForALargeGang(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"c": {40 * sec}}
	one := func(ref string, tasks int, now model.Micros) *model.JobState {
		j := job(ref, tasks, model.Gang)
		j.Priority, j.Team, j.Request.Cores, j.SameZone = model.HighPriority, "blue", 4000, true
		return h.AddJob(j, model.Set{}, "", now, 0)
	}
	var ws []*worker
	running := map[int]TaskReport{}
	for i, ref := range []string{"h1", "h2", "h3"} {
		one("j-s"+ref, 1, 0)
		w := newWorker(h, ref, "box", "a")
		w.starts()
		b := bound(h, ref)
		running[i] = TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Running}
		ws = append(ws, w)
	}
	big := one("j-big", 2, 3*sec)
	for i := range 4 {
		one("j-t"+string(rune('a'+i)), 1, 4*sec)
	}
	for i, w := range ws {
		w.says(60*sec, 5, running[i])
	}
	done := running[0]
	done.Status, done.Cause = model.Exited, "done"
	ws[0].says(61*sec, 5, done)
	h.Place(61*sec, true)
	if b := bound(h, "h1"); b != nil {
		t.Fatalf("%s took the machine that the large gang waits for", b.ID)
	}
	done = running[1]
	done.Status, done.Cause = model.Exited, "done"
	ws[1].says(62*sec, 5, done)
	h.Place(62*sec, true)
	if len(big.Bindings) != 2 {
		t.Fatal("the large gang is not bound though there is room")
	}
}

// A gang that would strand GPUs that are wanted waits for another machine, until
// it gets short of time.
func TestGangLeavesWantedGPUs(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"hot": {100 * sec}}
	gpu := job("j-1", 4, model.Array)
	gpu.Team, gpu.Request.GPUs, gpu.Request.Cores = "blue", 1000, 3000
	h.AddJob(gpu, model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "gpu", "a")
	w.starts()
	hot := job("j-2", 1, model.Gang)
	hot.Team, hot.Class, hot.Priority, hot.Request.Cores = "blue", "hot", model.HighPriority, 2000
	js := h.AddJob(hot, model.Set{}, "", 2*sec, 0)
	report := func(now model.Micros) {
		var ps []TaskReport
		for id, b := range h.Machines["h1"].Bindings {
			if id.Job == "j-1" {
				ps = append(ps, TaskReport{ID: id, Attempt: b.Attempt, Status: model.Running})
			}
		}
		w.says(now, 5, ps...)
	}
	if report(3 * sec); len(js.Bindings) != 0 {
		t.Fatal("the gang takes what GPU tasks need, with time to spare")
	}
	if report(90 * sec); len(js.Bindings) != 1 {
		t.Fatal("the gang does not take the room when it is short of time")
	}
}

// Of a class's waiting jobs, that with least left goes first while it can meet all
// aims; what has missed one comes next, and at last what can meet none. Serving by
// age alone makes every job late once more is asked than there is room for.
func TestOrderWithinAClass(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 200 * sec
	run := h.AddJob(job("j-run", 20, model.Array), model.Set{}, "", now, 0)
	m := h.AddMachine("h1", "box", "a", false, 0)
	for n := range 20 { // two end in a second
		h.addBinding(run, n, m, uint64(n+1), now)
	}
	add := func(ref string, tasks int, age model.Micros) *model.JobState {
		j := job(ref, tasks, model.Gang)
		j.AcceptedRevision = uint64(now - age)
		return h.AddJob(j, model.Set{}, "", now, age)
	}
	want := []*model.JobState{add("j-small", 2, 5*sec), add("j-large", 12, 20*sec), add("j-missed", 2, 40*sec), add("j-hopeless", 2, 160*sec)}
	order := func() []*model.JobState {
		w := h.World(now)
		w.Sort()
		return slices.DeleteFunc(w.Jobs, func(j *model.JobState) bool { return len(j.Waiting) == 0 })
	}
	if got := order(); !slices.Equal(got, want) {
		for i, j := range got {
			t.Errorf("%s is served as number %d", j.ID, i)
		}
	}
	// As long as what waits can be had in time, what is about to miss the last time
	// goes first; else this would only make all the others late.
	near := add("j-near", 12, 118*sec)
	if j := order()[0]; j != near {
		t.Errorf("%s goes before what is about to be late", j.ID)
	}
	add("j-crowd", 400, 0)
	if j := order()[0]; j != want[0] {
		t.Errorf("%s goes first though not all can begin in time", j.ID)
	}
}

// Jobs begin by turns early enough that all do within four minutes, by the rate
// at which tasks of their class begin. One of which tasks are done has begun, also
// for a new holder that saw none of them run; but what has begun, and has had
// nothing on a machine for as long, is not left out for ever either.
func TestJobsBeginInTimeByTheRateOfTheirClass(t *testing.T) {
	h := newHolder(5)
	now := 200 * sec
	run := h.AddJob(job("j-run", 5, model.Array), model.Set{}, "", now, 190*sec)
	m := h.AddMachine("h1", "box", "a", false, 0)
	for n := range 5 { // of ten seconds each: one begins every two seconds
		h.addBinding(run, n, m, uint64(n+1), now)
	}
	run.HasRun = true
	var old []*model.JobState
	for i := range 20 {
		old = append(old, h.AddJob(job("j-"+string(rune('a'+i)), 3, model.Array), model.Set{}, "", now, 100*sec))
	}
	done := model.Set{}
	done.Add(0)
	begun := h.AddJob(job("j-begun", 3, model.Array), done, "", now, 190*sec)
	begun.IdleSince = 150 * sec
	starved := func() (n int) {
		h.World(now).Sort()
		for _, j := range old {
			if j.Starved {
				n++
			}
		}
		return n
	}
	if n := starved(); n != 0 || begun.Starved {
		t.Errorf("%d of 20 go before all others though they would begin in 140 s, one that has begun: %v", n, begun.Starved)
	}
	for i := range 40 {
		j := h.AddJob(job("j-more"+string(rune('a'+i)), 3, model.Array), model.Set{}, "", now, 100*sec)
		j.AcceptedRevision = 1
		old = append(old, j)
	}
	if n := starved(); n != 60 {
		t.Errorf("%d of 60 go before all others though the last would begin after 220 s", n)
	}
	begun.IdleSince = now - 190*sec
	if starved(); !begun.Starved {
		t.Error("what lost its machines three minutes ago goes after all else")
	}
}

// Of what goes first because it has waited so long, the oldest is served first. By
// the order of the others, what can still meet an aim would go before what can't,
// and in a long overload the oldest would wait for ever.
func TestOldestOfTheStarvedFirst(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 300 * sec
	h.AddJob(job("j-young", 2, model.Gang), model.Set{}, "", now, 90*sec)
	old := h.AddJob(job("j-old", 12, model.Gang), model.Set{}, "", now, 200*sec)
	w := h.World(now)
	w.Sort()
	if !w.Jobs[1].Starved || w.Jobs[0] != old {
		t.Errorf("%s is served first; starved: %v, %v", w.Jobs[0].ID, w.Jobs[0].Starved, w.Jobs[1].Starved)
	}
}

// What has to be written along with a change stays little, and slots stay few,
// however long machines come, change and go.
func TestSlotsStayFew(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 90_000, model.Array), model.Set{}, "", 0, 0)
	next := 0
	add := func() *model.Machine {
		next++
		m := h.AddMachine(fmt.Sprintf("host-%06d", next), "box", "a", false, 0)
		for k := range 6 {
			h.bind(js, next*8+k, m, h.NextAttempt(), 0)
		}
		return m
	}
	var ms []*model.Machine
	for range 300 {
		ms = append(ms, add())
	}
	write(h, sec)
	for i := range 3000 {
		k := i * 7 % len(ms)
		if i%5 == 0 {
			h.MachineDeleted(ms[k].ID, "deleted", sec)
			ms[k] = add()
		} else {
			h.markChanged(ms[k])
		}
		write(h, sec)
	}
	total := 0
	for e, k := range h.liveAt {
		if h.kept(e, k) {
			total += h.size(e)
		}
	}
	if most := 4*total/h.Params.MaxValue + 8; len(h.slots) > most {
		t.Errorf("%d slots for %d bytes, want at most %d", len(h.slots), total, most)
	}
	for k, s := range h.slots {
		if _, size := h.carried(k); s.live < size {
			t.Errorf("slot %d: %d bytes are kept, %d counted", k, size, s.live)
		}
	}
}

// Of tasks alike, those whose image is there get the room that comes free: each
// machine would else spend as long on images as on work.
func TestTasksWhoseImageIsThereGoFirst(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 4, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	ps := running(h, "h1")
	w.says(3*sec, 5, ps...)
	other, same := job("j-2", 1, model.Array), job("j-3", 1, model.Array)
	other.Image, other.ImageGB = "x", 20
	same.AcceptedRevision = 1
	h.AddJob(other, model.Set{}, "", 3*sec, 0)
	js := h.AddJob(same, model.Set{}, "", 3*sec, 0)
	ps[0].Status, ps[0].Cause = model.Exited, "done"
	w.says(4*sec, 5, ps...)
	if len(js.Bindings) != 1 {
		t.Fatal("the room goes to a task that has to wait for its image")
	}
}

// Work without GPUs has no GPU task stopped unless it is urgent, and of others the
// ones that wait for their image are not always the first: they would never run.
func TestWhatIsWorthStopping(t *testing.T) {
	for _, rank := range []model.Priority{model.NormalPriority, model.HighPriority} {
		h := newHolder(5)
		h.Params.Waits = map[string][]model.Micros{"hot": {8 * sec}}
		gpu := job("j-1", 2, model.Array)
		gpu.Team, gpu.Priority, gpu.Request.GPUs, gpu.Request.Cores = "blue", model.LowPriority, 1000, 4000
		h.AddJob(gpu, model.Set{}, "", 0, 0)
		w := newWorker(h, "h1", "gpu", "a")
		w.starts()
		hot := job("j-2", 1, model.Array)
		hot.Priority, hot.Class = rank, "hot"
		h.AddJob(hot, model.Set{}, "", 2*sec, 0)
		ps := running(h, "h1")
		_, commands := w.says(20*sec, 5, ps...)
		if n := verbs(commands, "stop"); n != int(rank-model.NormalPriority) {
			t.Errorf("rank %v: %d GPU tasks stopped for one without", rank, n)
		}
	}
	w := &place.World{Now: 20 * sec}
	fetching := &model.Binding{Job: job("j-1", 1, model.Array), BoundAt: 0, ExpectedFetch: 60 * sec}
	running := &model.Binding{Job: job("j-2", 1, model.Array), BoundAt: 0, RunningSince: 15 * sec}
	if w.PreemptionLoss(fetching) <= w.PreemptionLoss(running) || w.PreemptionLoss(fetching) != 4*w.PreemptionLoss(running) {
		t.Errorf("20 s of fetching weigh %v, 5 s of work %v", w.PreemptionLoss(fetching), w.PreemptionLoss(running))
	}
}

// Room that others were stopped for is not taken by a gang served earlier: that
// one has its own made, and nobody is stopped twice for the same.
func TestRoomMadeForAGangIsItsOwn(t *testing.T) {
	h := newHolder(5)
	h.Params.Waits = map[string][]model.Micros{"hot": {8 * sec}}
	low := job("j-1", 8, model.Array)
	low.Priority, low.Team = model.LowPriority, "blue"
	h.AddJob(low, model.Set{}, "", 0, 0)
	var ws []*worker
	for _, ref := range []string{"h1", "h2"} {
		w := newWorker(h, ref, "box", "a")
		w.starts()
		ws = append(ws, w)
	}
	gang := func(ref string, now, age model.Micros) *model.JobState {
		j := job(ref, 1, model.Gang)
		j.Priority, j.Class, j.Team, j.Request.Cores = model.HighPriority, "hot", "blue", 4000
		return h.AddJob(j, model.Set{}, "", now, age)
	}
	stops := func() (n [2]int) {
		for i, ref := range []string{"h1", "h2"} {
			for _, b := range h.Machines[ref].Bindings {
				if b.Stopping {
					n[i]++
				}
			}
		}
		return n
	}
	for _, w := range ws {
		ps := running(h, w.r.Machine)
		w.says(8*sec, 5, ps...)
	}
	a := gang("j-2", 8*sec, 7*sec)
	h.Place(9*sec, true)
	first := stops()
	if first[0]+first[1] != 4 {
		t.Fatalf("stopped for one gang: %v", first)
	}
	b := gang("j-3", 9*sec, 8*sec) // older, and so served first but for what was made for the other
	b.AcceptedRevision = 0
	a.AcceptedRevision = 1
	for i := range model.Micros(4) {
		h.Place(9500*model.Millisecond+i*sec/10, true)
	}
	if n := stops(); n != [2]int{4, 4} {
		t.Fatalf("stopped for two gangs: %v", n)
	}
	made := "h1"
	if first[1] == 4 {
		made = "h2"
	}
	for _, x := range h.Machines[made].Bindings {
		h.unbind(x, "ended: stopped", 10*sec)
	}
	h.Place(10*sec, true)
	if x := bound(h, made); x == nil || x.ID.Job != "j-2" {
		t.Errorf("the room made for one gang went to %v", x)
	}
}

// Reports that come as far apart as the settings let them pass for heard, and ones
// after a lost answer don't: that worker has waited four seconds for each of two
// controllers and one more before the next. A time that is right for one report
// period closes half of the machines for a round, or notices nothing, at another.
func TestHearingAtBothReportPeriods(t *testing.T) {
	for _, report := range []model.Micros{5 * sec / 2, 5 * sec} {
		h := newHolder(5)
		h.Params.Report = report
		m := h.AddMachine("h1", "box", "a", false, 0)
		w := newWorker(h, "h1", "box", "a")
		r := w.r
		at := sec
		for i, gap := range []model.Micros{0, report, report * 3 / 2, 10 * sec} {
			at += gap
			r.Sequence, r.Token = uint64(i+1), 5
			h.ApplyReport(&r, at)
			if want := i == 1 || i == 2; m.ReceivesAnswers != want {
				t.Errorf("reports every %v: after %v it counts as heard: %v", report, gap, m.ReceivesAnswers)
			}
		}
		if stop := h.World(at).StopTime; stop < report || stop > 2*report {
			t.Errorf("reports every %v: %v until a stopped task's room is free", report, stop)
		}
	}
}

// The finished tasks of a job that is too large for a value are stored in parts, and
// what an earlier holder stored as a whole is kept until all of it stands in parts: at
// no moment does a reader miss a completion that it could see before. A holder with
// larger values reads the parts, and so on to and fro.
func TestPartsOfALargeJob(t *testing.T) {
	const pieces = 20_000
	j := job("j-1", pieces, model.Array)
	stored := map[int]BundleRecord{}
	var order []int // slots as they were last written
	store := func(ws []Write) {
		for _, w := range ws {
			stored[w.Slot] = w.Value.(BundleRecord)
			order = append(slices.DeleteFunc(order, func(k int) bool { return k == w.Slot }), w.Slot)
		}
	}
	read := func() (s model.Set) {
		for _, b := range stored {
			s.Merge(b.Done["j-1"], 0)
			for k := range model.Parts(pieces) {
				s.Merge(b.Done[strings.TrimPrefix(PartEntry("j-1", k), DoneEntry)], k*model.TasksPerPart)
			}
		}
		return s
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for token, limit := range []int{28_000, 1_900, 28_000, 1_900, 1_200} {
		h := newHolder(uint64(token + 5))
		h.Params.MaxValue, h.Params.Dense = limit, token == 3
		js := h.AddJob(j, read(), "", 0, 0)
		for _, k := range order {
			b := stored[k]
			h.LoadSlot(k, b.Names())
		}
		for round := range 60 {
			before := read()
			for range 20 {
				h.complete(model.TaskID{Job: "j-1", Index: rng.IntN(pieces)}, nil, sec)
			}
			ws := h.Writes(1, 48<<10)
			for _, w := range ws {
				raw, err := json.Marshal(w.Value)
				if err != nil || len(raw) > limit {
					t.Fatalf("a value of %d bytes where %d are borne: %v", len(raw), limit, err)
				}
			}
			store(ws)
			h.Committed(ws, sec)
			after := read()
			for n := range pieces {
				if before.Has(n) && !after.Has(n) {
					t.Fatalf("limit %d, round %d: the completion of %d was there and is gone", limit, round, n)
				}
			}
		}
		for h.Queued() > 0 {
			ws := h.Writes(3, 48<<10)
			store(ws)
			h.Committed(ws, sec)
		}
		if s := read(); s.Len() != js.Done.Len() || s.Len() < 1000 {
			t.Fatalf("%d of %d completions are stored", s.Len(), js.Done.Len())
		}
	}
}

// A job that meets its deadline, but not if a task begins anew half through its run, is
// better off on machines that are not taken away.
func TestLossMakesLate(t *testing.T) {
	h := newHolder(5)
	h.Params.Deadlines = map[string][]float64{"c": {1, 2}}
	j := job("j-1", 1, model.Array) // thought to run for 10 s
	j.Deadline = 30 * sec
	js := h.AddJob(j, model.Set{}, "", 0, 0)
	for age, want := range map[model.Micros]bool{
		0:        false, // 15 s, and two reports, fit into 30 s
		15 * sec: true,  // 25 s do, but 30 s and two reports don't
		25 * sec: false, // late, but in twice the time all is easy
		42 * sec: true,
		55 * sec: false, // nothing can be met any more
	} {
		if got := h.lossMakesLate(js, age); got != want {
			t.Errorf("after %v s: %v", age.Seconds(), got)
		}
	}
}

// A machine that is vacated gets nothing new, and what is on it begins anew elsewhere once
// it is gone from there, never before.
func TestVacateMovesWithProof(t *testing.T) {
	h := newHolder(5)
	w := newWorker(h, "h1", "box", "a")
	h.AddJob(job("j-1", 1, model.Service), model.Set{}, "", 0, 0)
	w.starts()
	w.says(3*sec, 5, running(h, "h1")...)
	other := newWorker(h, "h2", "box", "a")
	other.says(3*sec, 5)
	h.Vacate(h.Machines["h1"], 4*sec)
	if _, cs := w.says(5*sec, 5, running(h, "h1")...); len(cs) != 1 || cs[0].Op != "stop" {
		t.Fatalf("commands %v, want a stop", cs)
	}
	other.says(5*sec, 5)
	if n := len(h.Machines["h2"].Bindings); n != 0 {
		t.Fatal("bound elsewhere before it is gone")
	}
	b := h.Machines["h1"].Bindings[model.TaskID{Job: "j-1"}]
	w.says(6*sec, 5, TaskReport{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "stopped"})
	if len(h.Machines["h1"].Bindings) != 0 || len(h.Machines["h2"].Bindings) != 1 {
		t.Errorf("%d tasks on the vacated machine, %d on the other", len(h.Machines["h1"].Bindings), len(h.Machines["h2"].Bindings))
	}
}
