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

func TestZoneRulesCountOldAttempts(t *testing.T) {
	s := newTestState(5)
	spreadSpec := newJob("j-1", 5, model.Array)
	spreadSpec.Spread = true
	job := s.AddJob(spreadSpec, model.TaskSet{}, "", 0, 0)
	newWorker(s, "h1", "gpu", "a").sendHeartbeat(sec, 5)
	if n := job.BindingCount(); n != 3 {
		t.Fatalf("%d of 5 in one yard, want 3", n)
	}
	sameZoneSpec := newJob("j-2", 3, model.Array)
	sameZoneSpec.SameZone, sameZoneSpec.Team = true, "blue"
	sameZoneJob := s.AddJob(sameZoneSpec, model.TaskSet{}, "", 0, 0)
	s.Restore(sameZoneJob, 0, 3, s.AddMachine("h9", "box", "b", false, 0)) // an old attempt that is not surely gone
	s.Place(2*sec, true)
	if n := sameZoneJob.BindingCount(); n != 1 {
		t.Fatal("placed in another yard than a task that may still be on its machine")
	}
}

// A queue of urgent work stops work of lower rank, and never work of its own.
func TestPreemption(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"hot": {8 * sec}}
	lowSpec := newJob("j-1", 4, model.Array)
	lowSpec.Priority, lowSpec.Team = model.LowPriority, "blue"
	s.AddJob(lowSpec, model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	highSpec := newJob("j-2", 1, model.Gang)
	highSpec.Priority, highSpec.Class = model.HighPriority, "hot"
	highSpec.Request.Cores = 2000
	s.AddJob(highSpec, model.TaskSet{}, "", 2*sec, 0)
	tasks := runningTasks(s, "h1")
	_, commands := w.sendHeartbeat(4*sec, 5, tasks...)
	if n := countCommands(commands, StopTask); n != 2 {
		t.Fatalf("%d stopped to make room for two cores, commands %v", n, commands)
	}
	sameSpec := newJob("j-3", 1, model.Array)
	sameSpec.Priority, sameSpec.Team = model.LowPriority, "blue"
	s.AddJob(sameSpec, model.TaskSet{}, "", 4*sec, 0)
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
func TestPreemptionForDeadline(t *testing.T) {
	for _, at := range []model.Micros{4 * sec, 12 * sec} {
		s := newTestState(5)
		lowSpec := newJob("j-1", 4, model.Array)
		lowSpec.Priority, lowSpec.Team = model.LowPriority, "blue"
		s.AddJob(lowSpec, model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "box", "a")
		w.startBoundTasks()
		deadlineSpec := newJob("j-2", 1, model.Array)
		deadlineSpec.Priority, deadlineSpec.Class, deadlineSpec.EstimatedRun, deadlineSpec.Deadline = model.HighPriority, "due", 10*sec, 50*sec
		s.AddJob(deadlineSpec, model.TaskSet{}, "", 0, 0)
		_, commands := w.sendHeartbeat(at, 5, runningTasks(s, "h1")...)
		if n := countCommands(commands, StopTask); n != map[model.Micros]int{4 * sec: 0, 12 * sec: 1}[at] {
			t.Errorf("%d stopped at %.0f s for a job that can spare 40 s", n, at.Seconds())
		}
	}
}

// A machine on which tasks run far longer than expected gets work last.
func TestSlowMachineIsDetected(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	sendRunning := func(now model.Micros) {
		var tasks []TaskStatus
		for n := range 2 {
			tasks = append(tasks, TaskStatus{ID: job.Bindings[n][0].ID, Attempt: job.Bindings[n][0].Attempt, Status: model.Running})
		}
		w.sendHeartbeat(now, 5, tasks...)
	}
	sendRunning(2 * sec)
	sendRunning(30 * sec)
	if s.Machines["h1"].SlowUntil != 0 {
		t.Fatal("slow after less than three times the expected run")
	}
	sendRunning(40 * sec)
	newWorker(s, "h2", "box", "a").sendHeartbeat(40*sec, 5)
	s.AddJob(newJob("j-2", 1, model.Array), model.TaskSet{}, "", 40*sec, 0)
	s.Place(40*sec, true)
	if len(s.Machines["h2"].Bindings) != 1 {
		t.Fatal("new work goes to the slow machine")
	}
}

// A job that nothing of has begun for long gets the next room, whatever its rank,
// with one task: the others go on.
func TestLongWaitingJobStarts(t *testing.T) {
	for _, wait := range []model.Micros{60 * sec, 200 * sec} {
		s := newTestState(5)
		s.AddJob(newJob("j-1", 90, model.Array), model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "box", "a")
		w.startBoundTasks()
		lowSpec := newJob("j-2", 3, model.Array)
		lowSpec.Priority = model.LowPriority
		job := s.AddJob(lowSpec, model.TaskSet{}, "", 2*sec, 0)
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
	runningJob := s.AddJob(newJob("j-run", 20, model.Array), model.TaskSet{}, "", now, 0)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 20 { // two end in a second
		s.addBinding(runningJob, n, machine, uint64(n+1), now)
	}
	add := func(jobID string, tasks int, age model.Micros) *model.JobState {
		spec := newJob(jobID, tasks, model.Gang)
		spec.AcceptedRevision = uint64(now - age)
		return s.AddJob(spec, model.TaskSet{}, "", now, age)
	}
	want := []*model.JobState{add("j-small", 2, 5*sec), add("j-large", 12, 20*sec), add("j-missed", 2, 40*sec), add("j-hopeless", 2, 160*sec)}
	order := func() []*model.JobState {
		round := s.PlacementInput(now)
		round.Sort()
		return slices.DeleteFunc(round.Jobs, func(job *model.JobState) bool { return len(job.Waiting) == 0 })
	}
	if got := order(); !slices.Equal(got, want) {
		for i, job := range got {
			t.Errorf("%s is served as number %d", job.ID, i)
		}
	}
	// As long as what waits can be had in time, what is about to miss the last time
	// goes first; else this would only make all the others late.
	nearlyLate := add("j-near", 12, 118*sec)
	if job := order()[0]; job != nearlyLate {
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
func TestStarvationDependsOnStartRateOfClass(t *testing.T) {
	s := newTestState(5)
	now := 200 * sec
	runningJob := s.AddJob(newJob("j-run", 5, model.Array), model.TaskSet{}, "", now, 190*sec)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 5 { // of ten seconds each: one begins every two seconds
		s.addBinding(runningJob, n, machine, uint64(n+1), now)
	}
	runningJob.HasRun = true
	var waiting []*model.JobState
	for i := range 20 {
		waiting = append(waiting, s.AddJob(newJob("j-"+string(rune('a'+i)), 3, model.Array), model.TaskSet{}, "", now, 100*sec))
	}
	done := model.TaskSet{}
	done.Add(0)
	startedJob := s.AddJob(newJob("j-begun", 3, model.Array), done, "", now, 190*sec)
	startedJob.IdleSince = 150 * sec
	starved := func() (n int) {
		s.PlacementInput(now).Sort()
		for _, job := range waiting {
			if job.Starved {
				n++
			}
		}
		return n
	}
	if n := starved(); n != 0 || startedJob.Starved {
		t.Errorf("%d of 20 go before all others though they would begin in 140 s, one that has begun: %v", n, startedJob.Starved)
	}
	for i := range 40 {
		job := s.AddJob(newJob("j-more"+string(rune('a'+i)), 3, model.Array), model.TaskSet{}, "", now, 100*sec)
		job.AcceptedRevision = 1
		waiting = append(waiting, job)
	}
	if n := starved(); n != 60 {
		t.Errorf("%d of 60 go before all others though the last would begin after 220 s", n)
	}
	startedJob.IdleSince = now - 190*sec
	if starved(); !startedJob.Starved {
		t.Error("what lost its machines three minutes ago goes after all else")
	}
}

// Of what goes first because it has waited so long, the oldest is served first. By
// the order of the others, what can still meet an aim would go before what can't,
// and in a long overload the oldest would wait for ever.
func TestOldestStarvedJobGoesFirst(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 300 * sec
	s.AddJob(newJob("j-young", 2, model.Gang), model.TaskSet{}, "", now, 90*sec)
	oldest := s.AddJob(newJob("j-old", 12, model.Gang), model.TaskSet{}, "", now, 200*sec)
	round := s.PlacementInput(now)
	round.Sort()
	if !round.Jobs[1].Starved || round.Jobs[0] != oldest {
		t.Errorf("%s is served first; starved: %v, %v", round.Jobs[0].ID, round.Jobs[0].Starved, round.Jobs[1].Starved)
	}
}

// Of tasks alike, those whose image is there get the room that comes free: each
// machine would else spend as long on images as on work.
func TestTasksWithCachedImageGoFirst(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 4, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	tasks := runningTasks(s, "h1")
	w.sendHeartbeat(3*sec, 5, tasks...)
	otherImage, sameImage := newJob("j-2", 1, model.Array), newJob("j-3", 1, model.Array)
	otherImage.Image, otherImage.ImageGB = "x", 20
	sameImage.AcceptedRevision = 1
	s.AddJob(otherImage, model.TaskSet{}, "", 3*sec, 0)
	job := s.AddJob(sameImage, model.TaskSet{}, "", 3*sec, 0)
	tasks[0].Status, tasks[0].Cause = model.Exited, CauseDone
	w.sendHeartbeat(4*sec, 5, tasks...)
	if len(job.Bindings) != 1 {
		t.Fatal("the room goes to a task that has to wait for its image")
	}
}

// Work without GPUs has no GPU task stopped unless it is urgent, and of others the
// ones that wait for their image are not always the first: they would never run.
func TestChoiceOfPreemptedTasks(t *testing.T) {
	for _, priority := range []model.Priority{model.NormalPriority, model.HighPriority} {
		s := newTestState(5)
		s.Params.StartObjectives = map[string][]model.Micros{"hot": {8 * sec}}
		gpuSpec := newJob("j-1", 2, model.Array)
		gpuSpec.Team, gpuSpec.Priority, gpuSpec.Request.GPUs, gpuSpec.Request.Cores = "blue", model.LowPriority, 1000, 4000
		s.AddJob(gpuSpec, model.TaskSet{}, "", 0, 0)
		w := newWorker(s, "h1", "gpu", "a")
		w.startBoundTasks()
		spec := newJob("j-2", 1, model.Array)
		spec.Priority, spec.Class = priority, "hot"
		s.AddJob(spec, model.TaskSet{}, "", 2*sec, 0)
		tasks := runningTasks(s, "h1")
		_, commands := w.sendHeartbeat(20*sec, 5, tasks...)
		if n := countCommands(commands, StopTask); n != int(priority-model.NormalPriority) {
			t.Errorf("rank %v: %d GPU tasks stopped for one without", priority, n)
		}
	}
	round := &placement.Round{Now: 20 * sec}
	fetching := &model.Binding{Job: newJob("j-1", 1, model.Array), BoundAt: 0, ExpectedFetch: 60 * sec}
	running := &model.Binding{Job: newJob("j-2", 1, model.Array), BoundAt: 0, RunningSince: 15 * sec}
	if round.PreemptionLoss(fetching) <= round.PreemptionLoss(running) || round.PreemptionLoss(fetching) != 4*round.PreemptionLoss(running) {
		t.Errorf("20 s of fetching weigh %v, 5 s of work %v", round.PreemptionLoss(fetching), round.PreemptionLoss(running))
	}
}

// A job that meets its deadline, but not if a task begins anew half through its run, is
// better off on machines that are not taken away.
func TestLateIfTaskLost(t *testing.T) {
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
