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
		t.Fatalf("got %d bound tasks, want 8, the team's limit", n)
	}
}

func TestZoneRulesCountOldAttempts(t *testing.T) {
	s := newTestState(5)
	spreadSpec := newJob("j-1", 5, model.Array)
	spreadSpec.Spread = true
	job := s.AddJob(spreadSpec, model.TaskSet{}, "", 0, 0)
	newWorker(s, "h1", "gpu", "a").sendHeartbeat(sec, 5)
	if n := job.BindingCount(); n != 3 {
		t.Fatalf("got %d of 5 tasks in one zone, want 3", n)
	}
	sameZoneSpec := newJob("j-2", 3, model.Array)
	sameZoneSpec.SameZone, sameZoneSpec.Team = true, "blue"
	sameZoneJob := s.AddJob(sameZoneSpec, model.TaskSet{}, "", 0, 0)
	s.Restore(sameZoneJob, 0, 3, s.AddMachine("h9", "box", "b", false, 0)) // an old attempt that may still be on its machine
	s.Place(2*sec, true)
	if n := sameZoneJob.BindingCount(); n != 1 {
		t.Fatal("placed in another zone than a task that may still be on its machine")
	}
}

// Waiting jobs of high priority preempt tasks of lower priority, and a job never preempts
// tasks of its own priority.
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
		t.Fatalf("got %d tasks stopped to free two cores, want 2; commands %v", n, commands)
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
		t.Fatalf("got %d tasks stopped, want 2: tasks of the same priority were preempted", stops)
	}
}

// A job whose only objective is its deadline, such as the jobs of a pipeline, preempts
// others after a quarter of the time that it can wait, and not before.
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
			t.Errorf("got %d tasks stopped after %.0f s for a job that can wait 40 s, want preemption after 10 s", n, at.Seconds())
		}
	}
}

// A machine on which tasks run far longer than expected gets new tasks last.
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
		t.Fatal("the machine counts as slow after less than three times the expected run time")
	}
	sendRunning(40 * sec)
	newWorker(s, "h2", "box", "a").sendHeartbeat(40*sec, 5)
	s.AddJob(newJob("j-2", 1, model.Array), model.TaskSet{}, "", 40*sec, 0)
	s.Place(40*sec, true)
	if len(s.Machines["h2"].Bindings) != 1 {
		t.Fatal("a new task is bound to the slow machine")
	}
}

// A job of which no task has started for a long time gets the next free resources for one
// task, whatever its priority. The rest goes to the other jobs as before.
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
			t.Errorf("after %v s: got %d bound tasks of the waiting job and %d in total, want 1 after more than 150 s, else 0, and 4 in total", wait.Seconds(), n, len(s.Machines["h1"].Bindings))
		}
	}
}

// Of the waiting jobs of a class, those that can still meet all objectives go first, in
// the order of their remaining work. Then come those that have missed an objective, and
// finally those that can meet none. An order by age alone would make every job late as
// soon as more is requested than there is capacity for.
func TestOrderWithinAClass(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 200 * sec
	runningJob := s.AddJob(newJob("j-run", 20, model.Array), model.TaskSet{}, "", now, 0)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 20 { // two end per second
		s.addBinding(runningJob, n, machine, uint64(n+1), now)
	}
	add := func(jobID string, tasks int, age model.Micros) *model.JobState {
		spec := newJob(jobID, tasks, model.Gang)
		spec.AcceptedRevision = uint64(now - age)
		return s.AddJob(spec, model.TaskSet{}, "", now, age)
	}
	want := []*model.JobState{add("j-small", 2, 5*sec), add("j-large", 12, 20*sec), add("j-missed", 2, 40*sec), add("j-hopeless", 2, 160*sec)}
	order := func() []*model.JobState {
		round := s.NewRound(now)
		round.Sort()
		return slices.DeleteFunc(round.Jobs, func(job *model.JobState) bool { return len(job.Waiting) == 0 })
	}
	if got := order(); !slices.Equal(got, want) {
		for i, job := range got {
			t.Errorf("got %s at position %d", job.ID, i)
		}
	}
	// As long as all waiting tasks can start in time, a job that is about to miss its last
	// objective goes first; otherwise this would only make all others late.
	nearlyLate := add("j-near", 12, 118*sec)
	if job := order()[0]; job != nearlyLate {
		t.Errorf("got %s first, want the job that is about to miss its last objective", job.ID)
	}
	add("j-crowd", 400, 0)
	if job := order()[0]; job != want[0] {
		t.Errorf("got %s first, want the job with the least remaining work, as not all tasks can start in time", job.ID)
	}
}

// Jobs count as starved early enough that all of them start within four minutes at the
// rate at which tasks of their class start. A job with finished tasks has started, even
// for a new owner that has seen none of them run. But a started job of which no task has
// been bound for as long also counts as starved, so that it does not wait forever.
func TestStarvationDependsOnStartRateOfClass(t *testing.T) {
	s := newTestState(5)
	now := 200 * sec
	runningJob := s.AddJob(newJob("j-run", 5, model.Array), model.TaskSet{}, "", now, 190*sec)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	for n := range 5 { // of ten seconds each: one starts every two seconds
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
		s.NewRound(now).Sort()
		for _, job := range waiting {
			if job.Starved {
				n++
			}
		}
		return n
	}
	if n := starved(); n != 0 || startedJob.Starved {
		t.Errorf("got %d of 20 jobs starved, want 0, as they would start in 140 s; started job starved: %v, want false", n, startedJob.Starved)
	}
	for i := range 40 {
		job := s.AddJob(newJob("j-more"+string(rune('a'+i)), 3, model.Array), model.TaskSet{}, "", now, 100*sec)
		job.AcceptedRevision = 1
		waiting = append(waiting, job)
	}
	if n := starved(); n != 60 {
		t.Errorf("got %d starved jobs, want all 60, as the last would start after 220 s", n)
	}
	startedJob.IdleSince = now - 190*sec
	if starved(); !startedJob.Starved {
		t.Error("a job that lost its machines three minutes ago is not starved")
	}
}

// Of the starved jobs, the oldest goes first. In the order of the other jobs, those that
// can still meet an objective would go before those that can't, and in a long overload the
// oldest job would wait forever.
func TestOldestStarvedJobGoesFirst(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {30 * sec, 150 * sec}}
	now := 300 * sec
	s.AddJob(newJob("j-young", 2, model.Gang), model.TaskSet{}, "", now, 90*sec)
	oldest := s.AddJob(newJob("j-old", 12, model.Gang), model.TaskSet{}, "", now, 200*sec)
	round := s.NewRound(now)
	round.Sort()
	if !round.Jobs[1].Starved || round.Jobs[0] != oldest {
		t.Errorf("got %s first, want j-old; starved: %v, %v, want both", round.Jobs[0].ID, round.Jobs[0].Starved, round.Jobs[1].Starved)
	}
}

// Of otherwise equal tasks, those whose image is on the machine get the freed resources.
// Otherwise each machine would spend as much time on fetching images as on running tasks.
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
		t.Fatal("the freed resources go to a task that has to wait for its image")
	}
}

// A job without GPUs preempts a GPU task only if its priority is high. Among other tasks,
// those that wait for their image are not always preempted first: they would never run.
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
			t.Errorf("priority %v: got %d GPU tasks stopped for a task without GPUs", priority, n)
		}
	}
	round := &placement.Round{Now: 20 * sec}
	fetching := &model.Binding{Job: newJob("j-1", 1, model.Array), BoundAt: 0, ExpectedFetch: 60 * sec}
	running := &model.Binding{Job: newJob("j-2", 1, model.Array), BoundAt: 0, RunningSince: 15 * sec}
	if round.PreemptionLoss(fetching) <= round.PreemptionLoss(running) || round.PreemptionLoss(fetching) != 4*round.PreemptionLoss(running) {
		t.Errorf("got a loss of %v for 20 s of fetching, want four times that for 5 s of running, %v", round.PreemptionLoss(fetching), round.PreemptionLoss(running))
	}
}

// A job that meets its deadline, but would miss it if a task restarted halfway through its
// run, should not use spot machines.
func TestLateIfTaskLost(t *testing.T) {
	s := newTestState(5)
	s.Params.DeadlineObjectives = map[string][]float64{"c": {1, 2}}
	spec := newJob("j-1", 1, model.Array) // expected to run for 10 s
	spec.Deadline = 30 * sec
	job := s.AddJob(spec, model.TaskSet{}, "", 0, 0)
	for age, want := range map[model.Micros]bool{
		0:        false, // 15 s and two heartbeat intervals fit into 30 s
		15 * sec: true,  // 25 s fit, but 30 s and two heartbeat intervals don't
		25 * sec: false, // the deadline is missed, but twice the deadline is met either way
		42 * sec: true,
		55 * sec: false, // no objective can be met any more
	} {
		if got := s.lateIfTaskLost(job, age); got != want {
			t.Errorf("after %v s: got %v", age.Seconds(), got)
		}
	}
}
