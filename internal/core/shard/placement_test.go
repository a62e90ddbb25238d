package shard

import (
	"slices"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

func TestTeamLimitCountsAllBound(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 20, model.Array), model.TaskSet{}, "", 0, 0)
	for _, machineID := range []string{"h1", "h2", "h3", "h4"} {
		newWorker(s, machineID, "box", "a").sendHeartbeat(sec, 5)
	}
	if n := job.BindingCount(); n != 8 {
		t.Fatalf("%d tasks bound, the team's limit is 8", n)
	}
}

func TestPlaceRulesCountOldAttempts(t *testing.T) {
	s := newTestState(5)
	apart := newJob("j-1", 5, model.Array)
	apart.Spread = true
	job := s.AddJob(apart, model.TaskSet{}, "", 0, 0)
	newWorker(s, "h1", "gpu", "a").sendHeartbeat(sec, 5)
	if n := job.BindingCount(); n != 3 {
		t.Fatalf("%d of 5 in one yard, want 3", n)
	}
	same := newJob("j-2", 3, model.Array)
	same.SameZone, same.Team = true, "blue"
	js2 := s.AddJob(same, model.TaskSet{}, "", 0, 0)
	s.Restore(js2, 0, 3, s.AddMachine("h9", "box", "b", false, 0)) // an old attempt that is not surely gone
	s.Place(2*sec, true)
	if n := js2.BindingCount(); n != 1 {
		t.Fatal("placed in another yard than a task that may still be on its machine")
	}
}

// A queue of urgent work stops work of lower rank, and never work of its own.
func TestPreemption(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"hot": {8 * sec}}
	low := newJob("j-1", 4, model.Array)
	low.Priority, low.Team = model.LowPriority, "blue"
	s.AddJob(low, model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	hot := newJob("j-2", 1, model.Gang)
	hot.Priority, hot.Class = model.HighPriority, "hot"
	hot.Request.Cores = 2000
	s.AddJob(hot, model.TaskSet{}, "", 2*sec, 0)
	tasks := runningTasks(s, "h1")
	_, commands := w.sendHeartbeat(4*sec, 5, tasks...)
	if n := countCommands(commands, StopTask); n != 2 {
		t.Fatalf("%d stopped to make room for two cores, commands %v", n, commands)
	}
	same := newJob("j-3", 1, model.Array)
	same.Priority, same.Team = model.LowPriority, "blue"
	s.AddJob(same, model.TaskSet{}, "", 4*sec, 0)
	s.Place(200*sec, true)
	stops := 0
	for _, b := range s.Machines["h1"].Bindings {
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
		s := newTestState(5)
		low := newJob("j-1", 4, model.Array)
		low.Priority, low.Team = model.LowPriority, "blue"
		s.AddJob(low, model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "box", "a")
		w.startBoundTasks()
		due := newJob("j-2", 1, model.Array)
		due.Priority, due.Class, due.EstimatedRun, due.Deadline = model.HighPriority, "due", 10*sec, 50*sec
		s.AddJob(due, model.TaskSet{}, "", 0, 0)
		_, commands := w.sendHeartbeat(at, 5, runningTasks(s, "h1")...)
		if n := countCommands(commands, StopTask); n != map[model.Micros]int{4 * sec: 0, 12 * sec: 1}[at] {
			t.Errorf("%d stopped at %.0f s for a job that can spare 40 s", n, at.Seconds())
		}
	}
}

// A machine on which tasks run far longer than expected gets work last.
func TestSlowMachineIsNoticed(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	running := func(now model.Micros) {
		var tasks []TaskStatus
		for n := range 2 {
			tasks = append(tasks, TaskStatus{ID: job.Bindings[n][0].ID, Attempt: job.Bindings[n][0].Attempt, Status: model.Running})
		}
		w.sendHeartbeat(now, 5, tasks...)
	}
	running(2 * sec)
	running(30 * sec)
	if s.Machines["h1"].SlowUntil != 0 {
		t.Fatal("slow after less than three times the expected run")
	}
	running(40 * sec)
	newWorker(s, "h2", "box", "a").sendHeartbeat(40*sec, 5)
	s.AddJob(newJob("j-2", 1, model.Array), model.TaskSet{}, "", 40*sec, 0)
	s.Place(40*sec, true)
	if len(s.Machines["h2"].Bindings) != 1 {
		t.Fatal("new work goes to the slow machine")
	}
}

// A job that nothing of has begun for long gets the next room, whatever its rank,
// with one task: the others go on.
func TestLongWaitingJobBegins(t *testing.T) {
	for _, wait := range []model.Micros{60 * sec, 200 * sec} {
		s := newTestState(5)
		s.AddJob(newJob("j-1", 90, model.Array), model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "box", "a")
		w.startBoundTasks()
		low := newJob("j-2", 3, model.Array)
		low.Priority = model.LowPriority
		job := s.AddJob(low, model.TaskSet{}, "", 2*sec, 0)
		tasks := runningTasks(s, "h1")
		w.sendHeartbeat(wait, 5, tasks...)
		tasks[0].Status, tasks[0].Cause = model.Exited, CauseDone
		tasks[1].Status, tasks[1].Cause = model.Exited, CauseDone
		w.sendHeartbeat(wait+sec, 5, tasks...)
		if n := job.BindingCount(); (n == 1) != (wait > 150*sec) || n > 1 || len(s.Machines["h1"].Bindings) != 4 {
			t.Errorf("after %v s: %d tasks of the waiting job, %d bound in all", wait.Seconds(), n, len(s.Machines["h1"].Bindings))
		}
	}
}

// Of a class's waiting jobs, that with least left goes first while it can meet all
// aims; what has missed one comes next, and at last what can meet none. Serving by
// age alone makes every job late once more is asked than there is room for.
func TestOrderWithinAClass(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 200 * sec
	run := s.AddJob(newJob("j-run", 20, model.Array), model.TaskSet{}, "", now, 0)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 20 { // two end in a second
		s.addBinding(run, n, machine, uint64(n+1), now)
	}
	add := func(machineID string, tasks int, age model.Micros) *model.JobState {
		spec := newJob(machineID, tasks, model.Gang)
		spec.AcceptedRevision = uint64(now - age)
		return s.AddJob(spec, model.TaskSet{}, "", now, age)
	}
	want := []*model.JobState{add("j-small", 2, 5*sec), add("j-large", 12, 20*sec), add("j-missed", 2, 40*sec), add("j-hopeless", 2, 160*sec)}
	order := func() []*model.JobState {
		w := s.PlacementInput(now)
		w.Sort()
		return slices.DeleteFunc(w.Jobs, func(job *model.JobState) bool { return len(job.Waiting) == 0 })
	}
	if got := order(); !slices.Equal(got, want) {
		for i, job := range got {
			t.Errorf("%s is served as number %d", job.ID, i)
		}
	}
	// As long as what waits can be had in time, what is about to miss the last time
	// goes first; else this would only make all the others late.
	near := add("j-near", 12, 118*sec)
	if job := order()[0]; job != near {
		t.Errorf("%s goes before what is about to be late", job.ID)
	}
	add("j-crowd", 400, 0)
	if job := order()[0]; job != want[0] {
		t.Errorf("%s goes first though not all can begin in time", job.ID)
	}
}

// Jobs begin by turns early enough that all do within four minutes, by the rate
// at which tasks of their class begin. One of which tasks are done has begun, also
// for a new owner that saw none of them run; but what has begun, and has had
// nothing on a machine for as long, is not left out for ever either.
func TestJobsBeginInTimeByTheRateOfTheirClass(t *testing.T) {
	s := newTestState(5)
	now := 200 * sec
	run := s.AddJob(newJob("j-run", 5, model.Array), model.TaskSet{}, "", now, 190*sec)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 5 { // of ten seconds each: one begins every two seconds
		s.addBinding(run, n, machine, uint64(n+1), now)
	}
	run.HasRun = true
	var old []*model.JobState
	for i := range 20 {
		old = append(old, s.AddJob(newJob("j-"+string(rune('a'+i)), 3, model.Array), model.TaskSet{}, "", now, 100*sec))
	}
	done := model.TaskSet{}
	done.Add(0)
	begun := s.AddJob(newJob("j-begun", 3, model.Array), done, "", now, 190*sec)
	begun.IdleSince = 150 * sec
	starved := func() (n int) {
		s.PlacementInput(now).Sort()
		for _, job := range old {
			if job.Starved {
				n++
			}
		}
		return n
	}
	if n := starved(); n != 0 || begun.Starved {
		t.Errorf("%d of 20 go before all others though they would begin in 140 s, one that has begun: %v", n, begun.Starved)
	}
	for i := range 40 {
		job := s.AddJob(newJob("j-more"+string(rune('a'+i)), 3, model.Array), model.TaskSet{}, "", now, 100*sec)
		job.AcceptedRevision = 1
		old = append(old, job)
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
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 300 * sec
	s.AddJob(newJob("j-young", 2, model.Gang), model.TaskSet{}, "", now, 90*sec)
	old := s.AddJob(newJob("j-old", 12, model.Gang), model.TaskSet{}, "", now, 200*sec)
	w := s.PlacementInput(now)
	w.Sort()
	if !w.Jobs[1].Starved || w.Jobs[0] != old {
		t.Errorf("%s is served first; starved: %v, %v", w.Jobs[0].ID, w.Jobs[0].Starved, w.Jobs[1].Starved)
	}
}

// Of tasks alike, those whose image is there get the room that comes free: each
// machine would else spend as long on images as on work.
func TestTasksWhoseImageIsThereGoFirst(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 4, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	tasks := runningTasks(s, "h1")
	w.sendHeartbeat(3*sec, 5, tasks...)
	other, same := newJob("j-2", 1, model.Array), newJob("j-3", 1, model.Array)
	other.Image, other.ImageGB = "x", 20
	same.AcceptedRevision = 1
	s.AddJob(other, model.TaskSet{}, "", 3*sec, 0)
	job := s.AddJob(same, model.TaskSet{}, "", 3*sec, 0)
	tasks[0].Status, tasks[0].Cause = model.Exited, CauseDone
	w.sendHeartbeat(4*sec, 5, tasks...)
	if len(job.Bindings) != 1 {
		t.Fatal("the room goes to a task that has to wait for its image")
	}
}

// Work without GPUs has no GPU task stopped unless it is urgent, and of others the
// ones that wait for their image are not always the first: they would never run.
func TestWhatIsWorthStopping(t *testing.T) {
	for _, rank := range []model.Priority{model.NormalPriority, model.HighPriority} {
		s := newTestState(5)
		s.Params.StartObjectives = map[string][]model.Micros{"hot": {8 * sec}}
		gpu := newJob("j-1", 2, model.Array)
		gpu.Team, gpu.Priority, gpu.Request.GPUs, gpu.Request.Cores = "blue", model.LowPriority, 1000, 4000
		s.AddJob(gpu, model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "gpu", "a")
		w.startBoundTasks()
		hot := newJob("j-2", 1, model.Array)
		hot.Priority, hot.Class = rank, "hot"
		s.AddJob(hot, model.TaskSet{}, "", 2*sec, 0)
		tasks := runningTasks(s, "h1")
		_, commands := w.sendHeartbeat(20*sec, 5, tasks...)
		if n := countCommands(commands, StopTask); n != int(rank-model.NormalPriority) {
			t.Errorf("rank %v: %d GPU tasks stopped for one without", rank, n)
		}
	}
	w := &placement.Round{Now: 20 * sec}
	fetching := &model.Binding{Job: newJob("j-1", 1, model.Array), BoundAt: 0, ExpectedFetch: 60 * sec}
	running := &model.Binding{Job: newJob("j-2", 1, model.Array), BoundAt: 0, RunningSince: 15 * sec}
	if w.PreemptionLoss(fetching) <= w.PreemptionLoss(running) || w.PreemptionLoss(fetching) != 4*w.PreemptionLoss(running) {
		t.Errorf("20 s of fetching weigh %v, 5 s of work %v", w.PreemptionLoss(fetching), w.PreemptionLoss(running))
	}
}

// A job that meets its deadline, but not if a task begins anew half through its run, is
// better off on machines that are not taken away.
func TestLossMakesLate(t *testing.T) {
	s := newTestState(5)
	s.Params.DeadlineObjectives = map[string][]float64{"c": {1, 2}}
	spec := newJob("j-1", 1, model.Array) // thought to run for 10 s
	spec.Deadline = 30 * sec
	job := s.AddJob(spec, model.TaskSet{}, "", 0, 0)
	for age, want := range map[model.Micros]bool{
		0:        false, // 15 s, and two reports, fit into 30 s
		15 * sec: true,  // 25 s do, but 30 s and two reports don't
		25 * sec: false, // late, but in twice the time all is easy
		42 * sec: true,
		55 * sec: false, // nothing can be met any more
	} {
		if got := s.lateIfTaskLost(job, age); got != want {
			t.Errorf("after %v s: %v", age.Seconds(), got)
		}
	}
}
