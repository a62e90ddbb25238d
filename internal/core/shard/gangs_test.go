package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

// No task of a gang starts before all bindings of the gang are durable, and the next
// attempt is not bound until all tasks of the previous one are gone.
func TestGangAttempts(t *testing.T) {
	s := newTestState(5)
	spec := newJob("j-1", 2, model.Gang)
	spec.Team, spec.Request.Cores = "blue", 3000 // one task per machine
	job := s.AddJob(spec, model.TaskSet{}, "", 0, 0)
	w1, w2 := newWorker(s, "h1", "box", "a"), newWorker(s, "h2", "box", "a")
	if w1.sendHeartbeat(sec, 5); len(job.Bindings) != 0 {
		t.Fatal("part of a gang was bound")
	}
	w2.sendHeartbeat(sec, 5)
	if len(job.Bindings) != 2 || job.Bindings[0][0].Attempt != job.Bindings[1][0].Attempt {
		t.Fatal("the gang is not bound with a single attempt number")
	}
	writes := s.Writes(1, 150) // enough for the first record only
	if s.Committed(writes, sec); len(writes) != 1 || len(writes[0].versions) != 1 {
		t.Fatalf("got writes %+v, want one of two records", writes)
	}
	_, commands1 := w1.sendHeartbeat(2*sec, 5)
	_, commands2 := w2.sendHeartbeat(2*sec, 5)
	if countCommands(commands1, StartTask)+countCommands(commands2, StartTask) != 0 {
		t.Fatal("a task of the gang is started before all bindings are durable")
	}
	commitAll(s, 2*sec)
	w1.sendHeartbeat(3*sec, 5)
	w2.sendHeartbeat(3*sec, 5)
	binding1, binding2 := anyBinding(s, "h1"), anyBinding(s, "h2")
	w1.sendHeartbeat(4*sec, 5, TaskStatus{ID: binding1.ID, Attempt: binding1.Attempt, Status: model.Running})
	w2.sendHeartbeat(4*sec, 5, TaskStatus{ID: binding2.ID, Attempt: binding2.Attempt, Status: model.Running})
	newWorker(s, "h3", "box", "a").sendHeartbeat(4*sec, 5)
	newWorker(s, "h4", "box", "a").sendHeartbeat(4*sec, 5)
	w1.sendHeartbeat(5*sec, 5) // the task is missing
	_, commands2 = w2.sendHeartbeat(5*sec, 5, TaskStatus{ID: binding2.ID, Attempt: binding2.Attempt, Status: model.Running})
	if len(job.Bindings) != 1 || countCommands(commands2, StopTask) != 1 {
		t.Fatalf("got %d bound tasks and commands %v, want the rest of the attempt stopped and no new attempt", len(job.Bindings), commands2)
	}
	w2.sendHeartbeat(6*sec, 5, TaskStatus{ID: binding2.ID, Attempt: binding2.Attempt, Status: model.Exited, Cause: CauseStopped})
	if len(job.Bindings) != 2 || job.Bindings[0][0].Attempt == binding1.Attempt {
		t.Fatal("no new attempt although the old one is gone")
	}
}

// The tasks of a gang with the longest image fetches start first, and no two tasks wait
// for each other, however long their fetches take. Otherwise a gang with several long
// fetches would wait for itself and never start.
func TestGangStartsLongFetchesFirst(t *testing.T) {
	s := newTestState(5)
	spec := newJob("j-1", 3, model.Gang)
	spec.Team, spec.Request.Cores = "blue", 3000 // one task per machine
	job := s.AddJob(spec, model.TaskSet{}, "", 0, 0)
	var workers []*worker
	for _, machineID := range []string{"h1", "h2", "h3"} {
		w := newWorker(s, machineID, "box", "a")
		w.sendHeartbeat(sec, 5)
		workers = append(workers, w)
	}
	if len(job.Bindings) != 3 {
		t.Fatal("the gang is not bound")
	}
	for n, fetch := range []model.Micros{0, 90 * sec, 100 * sec} {
		anyBinding(s, workers[n].heartbeat.Machine).ExpectedFetch = fetch
	}
	commitAll(s, sec)
	startTasks := func(now model.Micros) (started []int) {
		for i, w := range workers {
			binding := anyBinding(s, w.heartbeat.Machine)
			var tasks []TaskStatus
			if binding.Reported {
				tasks = append(tasks, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: binding.Status})
			}
			if _, commands := w.sendHeartbeat(now, 5, tasks...); countCommands(commands, StartTask) > 0 {
				started = append(started, i)
				binding.Reported, binding.Status = true, model.Fetching
			}
		}
		return started
	}
	if started := startTasks(2 * sec); len(started) != 2 || started[0] != 1 {
		t.Fatalf("got tasks %v started, want the two that fetch their image", started)
	}
	for _, w := range workers[1:] {
		anyBinding(s, w.heartbeat.Machine).Status = model.WaitingForGang
	}
	if started := startTasks(100 * sec); len(started) != 1 || started[0] != 0 {
		t.Fatalf("got tasks %v started, want the one that has its image", started)
	}
}

// A gang attempt that does not start to run in time, for whatever reason, is failed, so
// that it does not keep its machines.
func TestGangAttemptThatNeverRunsFails(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Gang), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	binding := anyBinding(s, "h1")
	now := 10 * sec
	for ; now < 200*sec && !job.AttemptFailed; now += 10 * sec {
		w.sendHeartbeat(now, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Fetching})
		s.Tick(now)
	}
	if !job.AttemptFailed || now < 60*sec {
		t.Fatalf("attempt failed: %v after %v s, want true after at least 60 s", job.AttemptFailed, now.Seconds())
	}
}

// A gang that waits because of its team's limit is not overtaken indefinitely by single
// tasks of the team, and preempts them once it is late.
func TestSingleTasksDoNotOvertakeGangAtTeamLimit(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"hot": {40 * sec}}
	s.AddJob(newJob("j-1", 30, model.Array), model.TaskSet{}, "", 0, 0)
	for _, machineID := range []string{"h1", "h2", "h3", "h4", "h5"} {
		newWorker(s, machineID, "box", "a").sendHeartbeat(sec, 5)
	}
	if s.Used["red"].Cores != 8000 {
		t.Fatal("the team is not at its limit")
	}
	gang := newJob("j-2", 2, model.Gang)
	gang.Priority, gang.Class, gang.Request.Cores = model.HighPriority, "hot", 2000
	job := s.AddJob(gang, model.TaskSet{}, "", sec, 0)
	s.recordCompletion(model.TaskID{Job: "j-1"}, nil, 2*sec)
	s.unbind(s.Jobs["j-1"].Bindings[0][0], "ended: done", 2*sec)
	s.Place(2*sec, true)
	if got := s.Used["red"].Cores; got != 7000 {
		t.Fatalf("got %d cores used, want 7000: the freed core went to a single task", got)
	}
	for _, m := range s.Machines {
		m.LastHeartbeat = 22 * sec
	}
	s.Place(22*sec, true)
	stops := 0
	for _, bindings := range s.Jobs["j-1"].Bindings {
		if bindings[0].Stopping {
			stops++
		}
	}
	if stops != 3 || len(job.Bindings) != 0 {
		t.Fatalf("got %d tasks stopped, want 3 to free three more cores within the limit", stops)
	}
}

// Machines that become free are reserved for a gang that needs several at once and can't
// preempt. Otherwise jobs of the same priority would take them one by one.
func TestFreedMachinesAreReservedForLargeGang(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"c": {40 * sec}}
	addGang := func(jobID string, tasks int, now model.Micros) *model.JobState {
		spec := newJob(jobID, tasks, model.Gang)
		spec.Priority, spec.Team, spec.Request.Cores, spec.SameZone = model.HighPriority, "blue", 4000, true
		return s.AddJob(spec, model.TaskSet{}, "", now, 0)
	}
	var workers []*worker
	statuses := map[int]TaskStatus{}
	for i, machineID := range []string{"h1", "h2", "h3"} {
		addGang("j-s"+machineID, 1, 0)
		w := newWorker(s, machineID, "box", "a")
		w.startBoundTasks()
		binding := anyBinding(s, machineID)
		statuses[i] = TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Running}
		workers = append(workers, w)
	}
	big := addGang("j-big", 2, 3*sec)
	for i := range 4 {
		addGang("j-t"+string(rune('a'+i)), 1, 4*sec)
	}
	for i, w := range workers {
		w.sendHeartbeat(60*sec, 5, statuses[i])
	}
	done := statuses[0]
	done.Status, done.Cause = model.Exited, CauseDone
	workers[0].sendHeartbeat(61*sec, 5, done)
	s.Place(61*sec, true)
	if b := anyBinding(s, "h1"); b != nil {
		t.Fatalf("%s was bound to the machine that is reserved for the large gang", b.ID)
	}
	done = statuses[1]
	done.Status, done.Cause = model.Exited, CauseDone
	workers[1].sendHeartbeat(62*sec, 5, done)
	s.Place(62*sec, true)
	if len(big.Bindings) != 2 {
		t.Fatal("the large gang is not bound although two machines are free")
	}
}

// A gang without GPUs waits instead of taking cores without which wanted GPUs would stay
// unused, until it gets short of time.
func TestGangLeavesWantedGPUsToGPUTasks(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"hot": {100 * sec}}
	gpuSpec := newJob("j-1", 4, model.Array)
	gpuSpec.Team, gpuSpec.Request.GPUs, gpuSpec.Request.Cores = "blue", 1000, 3000
	s.AddJob(gpuSpec, model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "gpu", "a")
	w.startBoundTasks()
	gangSpec := newJob("j-2", 1, model.Gang)
	gangSpec.Team, gangSpec.Class, gangSpec.Priority, gangSpec.Request.Cores = "blue", "hot", model.HighPriority, 2000
	job := s.AddJob(gangSpec, model.TaskSet{}, "", 2*sec, 0)
	sendRunning := func(now model.Micros) {
		var tasks []TaskStatus
		for id, binding := range s.Machines["h1"].Bindings {
			if id.Job == "j-1" {
				tasks = append(tasks, TaskStatus{ID: id, Attempt: binding.Attempt, Status: model.Running})
			}
		}
		w.sendHeartbeat(now, 5, tasks...)
	}
	if sendRunning(3 * sec); len(job.Bindings) != 0 {
		t.Fatal("the gang takes cores that GPU tasks need, although it has time to wait")
	}
	if sendRunning(90 * sec); len(job.Bindings) != 1 {
		t.Fatal("the gang does not take the cores although it is short of time")
	}
}

// Resources for which tasks were preempted are reserved for the gang that preempted
// them. A gang that is served earlier preempts tasks of its own, and no further tasks are
// preempted for the same gang.
func TestPreemptedResourcesAreReservedForGang(t *testing.T) {
	s := newTestState(5)
	s.Params.StartObjectives = map[string][]model.Micros{"hot": {8 * sec}}
	lowSpec := newJob("j-1", 8, model.Array)
	lowSpec.Priority, lowSpec.Team = model.LowPriority, "blue"
	s.AddJob(lowSpec, model.TaskSet{}, "", 0, 0)
	var workers []*worker
	for _, machineID := range []string{"h1", "h2"} {
		w := newWorker(s, machineID, "box", "a")
		w.startBoundTasks()
		workers = append(workers, w)
	}
	addGang := func(jobID string, now, age model.Micros) *model.JobState {
		spec := newJob(jobID, 1, model.Gang)
		spec.Priority, spec.Class, spec.Team, spec.Request.Cores = model.HighPriority, "hot", "blue", 4000
		return s.AddJob(spec, model.TaskSet{}, "", now, age)
	}
	stops := func() (counts [2]int) {
		for i, machineID := range []string{"h1", "h2"} {
			for _, b := range s.Machines[machineID].Bindings {
				if b.Stopping {
					counts[i]++
				}
			}
		}
		return counts
	}
	for _, w := range workers {
		tasks := runningTasks(s, w.heartbeat.Machine)
		w.sendHeartbeat(8*sec, 5, tasks...)
	}
	firstGang := addGang("j-2", 8*sec, 7*sec)
	s.Place(9*sec, true)
	firstStops := stops()
	if firstStops[0]+firstStops[1] != 4 {
		t.Fatalf("got tasks stopped by machine %v for one gang, want 4 in total", firstStops)
	}
	secondGang := addGang("j-3", 9*sec, 8*sec) // older, so it is served first except for the reservation of the other
	secondGang.AcceptedRevision = 0
	firstGang.AcceptedRevision = 1
	for i := range model.Micros(4) {
		s.Place(9500*model.Millisecond+i*sec/10, true)
	}
	if n := stops(); n != [2]int{4, 4} {
		t.Fatalf("got tasks stopped by machine %v for two gangs, want 4 on each", n)
	}
	freedMachine := "h1"
	if firstStops[1] == 4 {
		freedMachine = "h2"
	}
	for _, binding := range s.Machines[freedMachine].Bindings {
		s.unbind(binding, "ended: stopped", 10*sec)
	}
	s.Place(10*sec, true)
	if x := anyBinding(s, freedMachine); x == nil || x.ID.Job != "j-2" {
		t.Errorf("got %v on the machine that was freed for j-2", x)
	}
}
