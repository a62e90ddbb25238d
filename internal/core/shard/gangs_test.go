package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

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
	w1.says(4*sec, 5, TaskStatus{ID: b1.ID, Attempt: b1.Attempt, Status: model.Running})
	w2.says(4*sec, 5, TaskStatus{ID: b2.ID, Attempt: b2.Attempt, Status: model.Running})
	newWorker(h, "h3", "box", "a").says(4*sec, 5)
	newWorker(h, "h4", "box", "a").says(4*sec, 5)
	w1.says(5*sec, 5) // gone without a trace
	_, o2 = w2.says(5*sec, 5, TaskStatus{ID: b2.ID, Attempt: b2.Attempt, Status: model.Running})
	if len(js.Bindings) != 1 || verbs(o2, "stop") != 1 {
		t.Fatalf("%d bound, orders %v: want the rest of the attempt stopped, and no new one", len(js.Bindings), o2)
	}
	w2.says(6*sec, 5, TaskStatus{ID: b2.ID, Attempt: b2.Attempt, Status: model.Exited, Cause: "stopped"})
	if len(js.Bindings) != 2 || js.Bindings[0][0].Attempt == b1.Attempt {
		t.Fatal("no new attempt after the old one is gone")
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
			var ps []TaskStatus
			if b.Seen {
				ps = append(ps, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: b.Status})
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
		w.says(at, 5, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Fetching})
		h.Tick(at)
	}
	if !js.AttemptFailed || at < 60*sec {
		t.Fatalf("broken %v after %v s", js.AttemptFailed, at.Seconds())
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
	running := map[int]TaskStatus{}
	for i, ref := range []string{"h1", "h2", "h3"} {
		one("j-s"+ref, 1, 0)
		w := newWorker(h, ref, "box", "a")
		w.starts()
		b := bound(h, ref)
		running[i] = TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Running}
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
		var ps []TaskStatus
		for id, b := range h.Machines["h1"].Bindings {
			if id.Job == "j-1" {
				ps = append(ps, TaskStatus{ID: id, Attempt: b.Attempt, Status: model.Running})
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
