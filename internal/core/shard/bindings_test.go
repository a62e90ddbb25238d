package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

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
	w.says(sec, 4, TaskStatus{ID: id, Attempt: 77, Status: model.Exited, Cause: "stopped"})
	if b := bound(h, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by an end reported under an older token")
	}
	// The old holder's start may still be on its way.
	w.says(2*sec, 4)
	if b := bound(h, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by a report under an older token that lacks the piece")
	}
	w.says(3*sec, 5, TaskStatus{ID: id, Attempt: 77, Status: model.Running})
	w.says(4*sec, 5)
	if b := bound(h, "h1"); b != nil && b.Attempt == 77 {
		t.Fatal("still bound after a newer report under our token without it")
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

func TestCancelledJobIsStoppedAndNotStarted(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := bound(h, "h1")
	h.EndJob("j-1", "withdrawn", 2*sec)
	_, commands := w.says(3*sec, 5, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	if verbs(commands, "start") != 0 || verbs(commands, "stop") != 1 || commands[0].Grace != 0 {
		t.Fatalf("orders %v, want one stop without grace", commands)
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
	w1.says(3*sec, 5, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "error"})
	if bound(h, "h2") == nil {
		t.Fatal("not bound elsewhere")
	}
	ws := h.Writes(1, 48<<10)
	if rec := ws[0].Value.(BundleRecord); len(ws) != 1 || len(rec.Machines) != 2 || len(rec.Machines["h1"].Tasks) != 0 {
		t.Fatalf("written: %+v", ws)
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
	w.says(6*sec, 5, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "stopped"})
	if len(h.Machines["h1"].Bindings) != 0 || len(h.Machines["h2"].Bindings) != 1 {
		t.Errorf("%d tasks on the vacated machine, %d on the other", len(h.Machines["h1"].Bindings), len(h.Machines["h2"].Bindings))
	}
}
