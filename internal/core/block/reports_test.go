package block

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
