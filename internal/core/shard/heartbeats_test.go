package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

func TestStaleHeartbeatIsIgnored(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	binding := firstBinding(s, "h1")
	w.sendHeartbeat(3*sec, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Running})
	stale := w.heartbeat
	stale.Sequence, stale.Token = 2, 5
	if result := s.ApplyHeartbeat(&stale, 4*sec); result != Stale {
		t.Fatalf("verdict %v for a late copy", result)
	}
	if firstBinding(s, "h1") != binding {
		t.Fatal("a late copy unbound the task")
	}
}

func TestHigherTokenIsReported(t *testing.T) {
	s := newTestState(5)
	if result, _ := newWorker(s, "h1", "box", "a").sendHeartbeat(sec, 6); result != HigherToken {
		t.Fatalf("verdict %v for a worker that knows a higher token", result)
	}
}

// A worker forgets a finished task only once its completion is durable, and a
// job is done only once its end is.
func TestCompletionDurableBeforeClear(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	binding := job.Bindings[0][0]
	done := TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Exited, Cause: CauseDone}
	other := TaskStatus{ID: job.Bindings[1][0].ID, Attempt: job.Bindings[1][0].Attempt, Status: model.Running}
	if _, commands := w.sendHeartbeat(3*sec, 5, done, other); countCommands(commands, ClearTask) != 0 {
		t.Fatal("cleared before the completion is durable")
	}
	commitAll(s, 3*sec)
	if _, commands := w.sendHeartbeat(4*sec, 5, done, other); countCommands(commands, ClearTask) != 1 {
		t.Fatal("not cleared though the completion is durable")
	}
	other.Status, other.Cause = model.Exited, CauseDone
	if _, commands := w.sendHeartbeat(5*sec, 5, other); countCommands(commands, ClearTask) != 0 || job.FinalStatus != "" {
		t.Fatal("ended before the end is durable")
	}
	commitAll(s, 5*sec)
	if job.FinalStatus != "done" {
		t.Fatal("the end was not written")
	}
}

// A cancellation that was decided first stands, whatever finishes.
func TestCancellationBeforeEndIsDurable(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	for n := range 2 { // the second is still on its machine when the job ends
		s.recordCompletion(model.TaskID{Job: "j-1", Index: n}, nil, 3*sec)
	}
	s.EndJob("j-1", "withdrawn", 4*sec)
	for _, write := range s.Writes(16, 48<<10) {
		if write.Key == "job/j-1" {
			t.Fatal("the end is to be written over a cancellation")
		}
	}
	if job.FinalStatus != "withdrawn" {
		t.Fatalf("ended %q", job.FinalStatus)
	}
}

// failBoundTasks has a worker come up, get what is bound to it started, and report
// all of it failed.
func failBoundTasks(s *State, w *worker, now model.Micros) {
	w.sendHeartbeat(now, 5)
	commitAll(s, now)
	w.sendHeartbeat(now+sec, 5)
	w.sendHeartbeat(now+2*sec, 5, failedTasks(s, w.heartbeat.Machine)...)
}

// failedTasks are the tasks of a report that says that all that is bound to a
// machine failed.
func failedTasks(s *State, machine string) (tasks []TaskStatus) {
	for _, b := range s.Machines[machine].Bindings {
		tasks = append(tasks, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: CauseError})
	}
	return tasks
}

// A machine is quarantined when tasks of two jobs fail on it that are known to
// run: their work is done elsewhere. Two new jobs that fail on it at once are no
// evidence against it until they are seen to run.
func TestFailuresOfProvenJobsQuarantineMachine(t *testing.T) {
	s := newTestState(5)
	for _, jobID := range []string{"j-1", "j-2"} {
		s.AddJob(newJob(jobID, 2, model.Array), model.TaskSet{}, "", 0, 0)
		s.recordCompletion(model.TaskID{Job: jobID, Index: 0}, nil, sec/2)
	}
	failBoundTasks(s, newWorker(s, "h1", "box", "a"), sec)
	if !s.Machines["h1"].Quarantined {
		t.Fatal("a machine on which two jobs failed that have done work is not quarantined")
	}
	s.EndJob("j-1", "withdrawn", 4*sec)
	s.EndJob("j-2", "withdrawn", 4*sec)
	for _, jobID := range []string{"j-3", "j-4", "j-5"} {
		s.AddJob(newJob(jobID, 2, model.Array), model.TaskSet{}, "", 0, 0)
	}
	h2 := newWorker(s, "h2", "box", "a")
	failBoundTasks(s, h2, 10*sec)
	if s.Machines["h2"].Quarantined {
		t.Fatal("a machine is quarantined for the first failures of new jobs")
	}
	for _, jobID := range []string{"j-3", "j-4", "j-5"} {
		s.recordCompletion(model.TaskID{Job: jobID, Index: 1}, nil, 15*sec)
	}
	h2.sendHeartbeat(16*sec, 5)
	if !s.Machines["h2"].Quarantined {
		t.Fatal("a machine on which jobs failed that have since done work elsewhere is not quarantined")
	}
}

// A machine that fails all that comes to it is quarantined even if it is one job that
// has nowhere else to go: else that would fail there for ever. The job has one machine
// quarantined, not every one that it fails on.
func TestFailingJobQuarantinesOnlyOneMachine(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	for i := range unprovenFailureThreshold {
		if m := s.Machines["h1"]; m != nil && m.Quarantined {
			t.Fatalf("quarantined after %d failures", i)
		}
		failBoundTasks(s, w, model.Micros(1+100*i)*sec)
	}
	if !s.Machines["h1"].Quarantined {
		t.Fatalf("a machine on which all fails is not quarantined after %d failures", unprovenFailureThreshold)
	}
	other := newWorker(s, "h2", "box", "a")
	for i := range 2 * unprovenFailureThreshold {
		failBoundTasks(s, other, model.Micros(1000+100*i)*sec)
	}
	if s.Machines["h2"].Quarantined || len(job.FailedMachines) != 2 {
		t.Fatalf("a job that failed on %d machines had the second quarantined as well", len(job.FailedMachines))
	}
}

// What fails on a machine where other work runs is at fault itself, if nothing of it has
// run yet.
func TestRunningTasksOfOtherJobsClearMachine(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	faulty := s.AddJob(newJob("j-2", 3, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	sendStatuses := func(at model.Micros) {
		tasks := failedTasks(s, "h1")
		for i := range tasks {
			if tasks[i].ID.Job == "j-1" {
				tasks[i].Status, tasks[i].Cause = model.Running, ""
			}
		}
		w.sendHeartbeat(at, 5, tasks...)
	}
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	w.sendHeartbeat(2*sec, 5)
	for i := range 2 * unprovenFailureThreshold {
		sendStatuses(model.Micros(3+100*i) * sec)
		commitAll(s, model.Micros(4+100*i)*sec)
	}
	if s.Machines["h1"].Quarantined {
		t.Fatal("a machine on which other work runs is quarantined for a job that never ran")
	}
	if !faulty.IsAtFault() {
		t.Fatal("a job that fails where other work runs is not found to be at fault")
	}
}

// A job that was submitted with a mistake fails on every machine. Its failures
// must not get healthy machines quarantined: each would be returned and another
// rented for the work that it had. The job stays known, and waits longer before
// each new try.
func TestJobThatFailsEverywhereQuarantinesNoMachine(t *testing.T) {
	s := newTestState(5)
	names := []string{"h1", "h2", "h3"}
	var workers []*worker
	for _, name := range names {
		w := newWorker(s, name, "box", "a")
		w.sendHeartbeat(sec, 5)
		workers = append(workers, w)
	}
	job := s.AddJob(newJob("j-1", 12, model.Array), model.TaskSet{}, "", 0, 0)
	// retry has what may be bound start and fail on all machines, and tells how many tasks.
	retry := func(now model.Micros) (tried int) {
		for _, w := range workers {
			w.sendHeartbeat(now, 5)
		}
		s.Place(now, true)
		commitAll(s, now)
		tried = job.BindingCount()
		for _, w := range workers {
			w.sendHeartbeat(now+sec, 5)
			w.sendHeartbeat(now+2*sec, 5, failedTasks(s, w.heartbeat.Machine)...)
		}
		return tried
	}
	now := -2 * sec
	for range 4 {
		if len(job.FailedMachines) < len(names) {
			now = max(now+4*sec, job.NotBefore)
			retry(now)
		}
	}
	if len(job.FailedMachines) != len(names) {
		t.Fatalf("the job failed on %d machines, not %d", len(job.FailedMachines), len(names))
	}
	for _, name := range names {
		m := s.Machines[name]
		if m.Quarantined || m.Draining {
			t.Fatalf("machine %s quarantined for a job that fails everywhere", name)
		}
	}
	wait := job.NotBefore - now - 2*sec
	if wait < 8*sec {
		t.Fatalf("a job that failed on three machines is tried again after %v", wait)
	}
	if kept := len(job.Waiting) + job.BindingCount(); job.FinalStatus != "" || kept != 12 {
		t.Fatalf("the job is not kept: ended %q, %d of 12 tasks wait or are bound", job.FinalStatus, kept)
	}
	// Once its wait is over, one task at a time is tried, and the next wait is longer, up
	// to a bound.
	for i := range 8 {
		now = job.NotBefore + sec
		if n := retry(now); n != 1 {
			t.Fatalf("retry %d: %d tasks of a job that fails everywhere are tried at once", i, n)
		}
		next := job.NotBefore - now - 2*sec
		if next < min(wait, 60*sec) || next > 70*sec {
			t.Fatalf("retry %d: waits %v after a wait of %v", i, next, wait)
		}
		wait = next
	}
}

// Nothing new is bound to a machine before a report shows that it hears us: one
// that bears an older token may be an old copy.
func TestNoBindingsForMachineWithoutResponses(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	w := newWorker(s, "h1", "box", "a")
	for i := range model.Micros(4) {
		w.sendHeartbeat(i*sec, 4)
	}
	if len(job.Bindings) != 0 {
		t.Fatal("work for a machine whose reports bear an older token")
	}
	w.sendHeartbeat(4*sec, 5)
	if len(job.Bindings) != 1 {
		t.Fatal("no work for a machine that hears")
	}
	secondJob := s.AddJob(newJob("j-2", 1, model.Array), model.TaskSet{}, "", 0, 0)
	heartbeat := w.heartbeat
	for i := range model.Micros(8) { // its answers are lost: it comes back from the other controllers
		w.sequence++
		heartbeat.Sequence, heartbeat.Token = w.sequence, 5
		s.ApplyHeartbeat(&heartbeat, 10*sec+i*5*sec)
		s.Place(10*sec+i*5*sec, true)
	}
	if len(secondJob.Bindings) != 0 {
		t.Fatal("more work for a machine that has not heard the last answers")
	}
	if !s.Unreachable(machine, 10*sec+35*sec) || s.Unreachable(machine, 10*sec+20*sec) {
		t.Fatal("a machine that goes on reporting without hearing is not found out in time")
	}
}

// Reports that come as far apart as the settings let them pass for heard, and ones
// after a lost answer don't: that worker has waited four seconds for each of two
// controllers and one more before the next. A time that is right for one report
// period closes half of the machines for a round, or notices nothing, at another.
func TestReceivesAnswersAtBothHeartbeatIntervals(t *testing.T) {
	for _, interval := range []model.Micros{5 * sec / 2, 5 * sec} {
		s := newTestState(5)
		s.Params.HeartbeatInterval = interval
		machine := s.AddMachine("h1", "box", "a", false, 0)
		w := newWorker(s, "h1", "box", "a")
		heartbeat := w.heartbeat
		at := sec
		for i, gap := range []model.Micros{0, interval, interval * 3 / 2, 10 * sec} {
			at += gap
			heartbeat.Sequence, heartbeat.Token = uint64(i+1), 5
			s.ApplyHeartbeat(&heartbeat, at)
			if want := i == 1 || i == 2; machine.ReceivesAnswers != want {
				t.Errorf("reports every %v: after %v it counts as heard: %v", interval, gap, machine.ReceivesAnswers)
			}
		}
		if stopTime := s.PlacementInput(at).StopTime; stopTime < interval || stopTime > 2*interval {
			t.Errorf("reports every %v: %v until a stopped task's room is free", interval, stopTime)
		}
	}
}
