package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

func TestLateReportMovesNothingBack(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := bound(h, "h1")
	w.says(3*sec, 5, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	late := w.r
	late.Sequence, late.Token = 2, 5
	if v := h.ApplyHeartbeat(&late, 4*sec); v != Stale {
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

// A worker forgets a finished task only once its completion is durable, and a
// job is done only once its end is.
func TestCompletionDurableBeforeClear(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 2, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	w.starts()
	b := js.Bindings[0][0]
	done := TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "done"}
	other := TaskStatus{ID: js.Bindings[1][0].ID, Attempt: js.Bindings[1][0].Attempt, Status: model.Running}
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

// failAll has a worker come up, get what is bound to it started, and report
// all of it failed.
func failAll(h *State, w *worker, now model.Micros) {
	w.says(now, 5)
	write(h, now)
	w.says(now+sec, 5)
	w.says(now+2*sec, 5, failures(h, w.r.Machine)...)
}

// failures are the tasks of a report that says that all that is bound to a
// machine failed.
func failures(h *State, machine string) (ps []TaskStatus) {
	for _, b := range h.Machines[machine].Bindings {
		ps = append(ps, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: "error"})
	}
	return ps
}

// A machine is set aside when tasks of two jobs fail on it that are known to
// run: their work is done elsewhere. Two new jobs that fail on it at once are no
// evidence against it until they are seen to run.
func TestFaultIsFoundOut(t *testing.T) {
	h := newHolder(5)
	for _, ref := range []string{"j-1", "j-2"} {
		h.AddJob(job(ref, 2, model.Array), model.Set{}, "", 0, 0)
		h.complete(model.TaskID{Job: ref, Index: 0}, nil, sec/2)
	}
	failAll(h, newWorker(h, "h1", "box", "a"), sec)
	if !h.Machines["h1"].Quarantined {
		t.Fatal("a machine on which two jobs failed that have done work is not set aside")
	}
	h.EndJob("j-1", "withdrawn", 4*sec)
	h.EndJob("j-2", "withdrawn", 4*sec)
	for _, ref := range []string{"j-3", "j-4", "j-5"} {
		h.AddJob(job(ref, 2, model.Array), model.Set{}, "", 0, 0)
	}
	h2 := newWorker(h, "h2", "box", "a")
	failAll(h, h2, 10*sec)
	if h.Machines["h2"].Quarantined {
		t.Fatal("a machine is set aside for the first failures of new jobs")
	}
	for _, ref := range []string{"j-3", "j-4", "j-5"} {
		h.complete(model.TaskID{Job: ref, Index: 1}, nil, 15*sec)
	}
	h2.says(16*sec, 5)
	if !h.Machines["h2"].Quarantined {
		t.Fatal("a machine on which jobs failed that have since done work elsewhere is not set aside")
	}
}

// A machine that fails all that comes to it is set aside even if it is one job that
// has nowhere else to go: else that would fail there for ever. The job has one machine
// set aside, not every one that it fails on.
func TestJobWithOneMachineToGoTo(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	for i := range faultyAfterUnproven {
		if m := h.Machines["h1"]; m != nil && m.Quarantined {
			t.Fatalf("set aside after %d failures", i)
		}
		failAll(h, w, model.Micros(1+100*i)*sec)
	}
	if !h.Machines["h1"].Quarantined {
		t.Fatalf("a machine on which all fails is not set aside after %d failures", faultyAfterUnproven)
	}
	other := newWorker(h, "h2", "box", "a")
	for i := range 2 * faultyAfterUnproven {
		failAll(h, other, model.Micros(1000+100*i)*sec)
	}
	if h.Machines["h2"].Quarantined || len(js.FailedMachines) != 2 {
		t.Fatalf("a job that failed on %d machines had the second set aside as well", len(js.FailedMachines))
	}
}

// What fails on a machine where other work runs is at fault itself, if nothing of it has
// run yet.
func TestOtherWorkThatRunsClearsAMachine(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 1, model.Array), model.Set{}, "", 0, 0)
	mistaken := h.AddJob(job("j-2", 3, model.Array), model.Set{}, "", 0, 0)
	w := newWorker(h, "h1", "box", "a")
	runs := func(at model.Micros) {
		ps := failures(h, "h1")
		for i := range ps {
			if ps[i].ID.Job == "j-1" {
				ps[i].Status, ps[i].Cause = model.Running, ""
			}
		}
		w.says(at, 5, ps...)
	}
	w.says(sec, 5)
	write(h, sec)
	w.says(2*sec, 5)
	for i := range 2 * faultyAfterUnproven {
		runs(model.Micros(3+100*i) * sec)
		write(h, model.Micros(4+100*i)*sec)
	}
	if h.Machines["h1"].Quarantined {
		t.Fatal("a machine on which other work runs is set aside for a job that never ran")
	}
	if !mistaken.IsAtFault() {
		t.Fatal("a job that fails where other work runs is not found to be at fault")
	}
}

// A job that was submitted with a mistake fails on every machine. Its failures
// must not get healthy machines set aside: each would be returned and another
// rented for the work that it had. The job stays known, and waits longer before
// each new try.
func TestJobThatFailsEverywhereSpoilsNoMachine(t *testing.T) {
	h := newHolder(5)
	names := []string{"h1", "h2", "h3"}
	var workers []*worker
	for _, name := range names {
		w := newWorker(h, name, "box", "a")
		w.says(sec, 5)
		workers = append(workers, w)
	}
	js := h.AddJob(job("j-1", 12, model.Array), model.Set{}, "", 0, 0)
	// retry has what may be bound start and fail on all machines, and tells how many tasks.
	retry := func(now model.Micros) (tried int) {
		for _, w := range workers {
			w.says(now, 5)
		}
		h.Place(now, true)
		write(h, now)
		tried = js.BindingCount()
		for _, w := range workers {
			w.says(now+sec, 5)
			w.says(now+2*sec, 5, failures(h, w.r.Machine)...)
		}
		return tried
	}
	now := -2 * sec
	for range 4 {
		if len(js.FailedMachines) < len(names) {
			now = max(now+4*sec, js.NotBefore)
			retry(now)
		}
	}
	if len(js.FailedMachines) != len(names) {
		t.Fatalf("the job failed on %d machines, not %d", len(js.FailedMachines), len(names))
	}
	for _, name := range names {
		m := h.Machines[name]
		if m.Quarantined || m.Draining {
			t.Fatalf("machine %s set aside for a job that fails everywhere", name)
		}
	}
	wait := js.NotBefore - now - 2*sec
	if wait < 8*sec {
		t.Fatalf("a job that failed on three machines is tried again after %v", wait)
	}
	if kept := len(js.Waiting) + js.BindingCount(); js.Ended != "" || kept != 12 {
		t.Fatalf("the job is not kept: ended %q, %d of 12 tasks wait or are bound", js.Ended, kept)
	}
	// Once its wait is over, one task at a time is tried, and the next wait is longer, up
	// to a bound.
	for i := range 8 {
		now = js.NotBefore + sec
		if n := retry(now); n != 1 {
			t.Fatalf("retry %d: %d tasks of a job that fails everywhere are tried at once", i, n)
		}
		next := js.NotBefore - now - 2*sec
		if next < min(wait, 60*sec) || next > 70*sec {
			t.Fatalf("retry %d: waits %v after a wait of %v", i, next, wait)
		}
		wait = next
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
		h.ApplyHeartbeat(&r, 10*sec+i*5*sec)
		h.Place(10*sec+i*5*sec, true)
	}
	if len(more.Bindings) != 0 {
		t.Fatal("more work for a machine that has not heard the last answers")
	}
	if !h.Unreachable(m, 10*sec+35*sec) || h.Unreachable(m, 10*sec+20*sec) {
		t.Fatal("a machine that goes on reporting without hearing is not found out in time")
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
			h.ApplyHeartbeat(&r, at)
			if want := i == 1 || i == 2; m.ReceivesAnswers != want {
				t.Errorf("reports every %v: after %v it counts as heard: %v", report, gap, m.ReceivesAnswers)
			}
		}
		if stop := h.World(at).StopTime; stop < report || stop > 2*report {
			t.Errorf("reports every %v: %v until a stopped task's room is free", report, stop)
		}
	}
}
