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
	binding := anyBinding(s, "h1")
	w.sendHeartbeat(3*sec, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Running})
	stale := w.heartbeat
	stale.Sequence, stale.Token = 2, 5
	if result := s.ApplyHeartbeat(&stale, 4*sec); result != Stale {
		t.Fatalf("got result %v for a late copy of a heartbeat, want Stale", result)
	}
	if anyBinding(s, "h1") != binding {
		t.Fatal("a late copy of a heartbeat unbound the task")
	}
}

func TestHigherTokenIsReported(t *testing.T) {
	s := newTestState(5)
	if result, _ := newWorker(s, "h1", "box", "a").sendHeartbeat(sec, 6); result != HigherToken {
		t.Fatalf("got result %v for a worker that knows a higher token, want HigherToken", result)
	}
}

// A worker gets the command to clear a finished task only once the completion is durable,
// and a job is done only once its end is durable.
func TestCompletionDurableBeforeClear(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	binding := job.Bindings[0][0]
	done := TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Exited, Cause: CauseDone}
	other := TaskStatus{ID: job.Bindings[1][0].ID, Attempt: job.Bindings[1][0].Attempt, Status: model.Running}
	if _, commands := w.sendHeartbeat(3*sec, 5, done, other); countCommands(commands, ClearTask) != 0 {
		t.Fatal("the task is cleared before its completion is durable")
	}
	commitAll(s, 3*sec)
	if _, commands := w.sendHeartbeat(4*sec, 5, done, other); countCommands(commands, ClearTask) != 1 {
		t.Fatal("the task is not cleared although its completion is durable")
	}
	other.Status, other.Cause = model.Exited, CauseDone
	if _, commands := w.sendHeartbeat(5*sec, 5, other); countCommands(commands, ClearTask) != 0 || job.FinalStatus != "" {
		t.Fatal("the job ended, or its task is cleared, before the end is durable")
	}
	commitAll(s, 5*sec)
	if job.FinalStatus != "done" {
		t.Fatal("the end was not written")
	}
}

// If a job is cancelled after its last task has completed, but before its end is written,
// the cancellation is final and is not overwritten.
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
			t.Fatal("the end of the job overwrites its cancellation")
		}
	}
	if job.FinalStatus != "withdrawn" {
		t.Fatalf("got final status %q, want withdrawn", job.FinalStatus)
	}
}

// failBoundTasks sends the heartbeats of a worker that comes up, gets the command to start
// the tasks bound to its machine, and reports all of them as failed.
func failBoundTasks(s *State, w *worker, now model.Micros) {
	w.sendHeartbeat(now, 5)
	commitAll(s, now)
	w.sendHeartbeat(now+sec, 5)
	w.sendHeartbeat(now+2*sec, 5, failedTasks(s, w.heartbeat.Machine)...)
}

// failedTasks returns the statuses of a heartbeat that reports all tasks bound to a
// machine as failed.
func failedTasks(s *State, machine string) (tasks []TaskStatus) {
	for _, b := range s.Machines[machine].Bindings {
		tasks = append(tasks, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Exited, Cause: CauseError})
	}
	return tasks
}

// A machine is quarantined when tasks of two jobs fail on it that are known to run
// elsewhere. New jobs that fail on it at the same time are no evidence against it until
// they have run elsewhere.
func TestFailuresOfProvenJobsQuarantineMachine(t *testing.T) {
	s := newTestState(5)
	for _, jobID := range []string{"j-1", "j-2"} {
		s.AddJob(newJob(jobID, 2, model.Array), model.TaskSet{}, "", 0, 0)
		s.recordCompletion(model.TaskID{Job: jobID, Index: 0}, nil, sec/2)
	}
	failBoundTasks(s, newWorker(s, "h1", "box", "a"), sec)
	if !s.Machines["h1"].Quarantined {
		t.Fatal("a machine is not quarantined although two jobs that are known to run failed on it")
	}
	s.EndJob("j-1", "withdrawn", 4*sec)
	s.EndJob("j-2", "withdrawn", 4*sec)
	for _, jobID := range []string{"j-3", "j-4", "j-5"} {
		s.AddJob(newJob(jobID, 2, model.Array), model.TaskSet{}, "", 0, 0)
	}
	h2 := newWorker(s, "h2", "box", "a")
	failBoundTasks(s, h2, 10*sec)
	if s.Machines["h2"].Quarantined {
		t.Fatal("a machine is quarantined after the first failures of new jobs")
	}
	for _, jobID := range []string{"j-3", "j-4", "j-5"} {
		s.recordCompletion(model.TaskID{Job: jobID, Index: 1}, nil, 15*sec)
	}
	h2.sendHeartbeat(16*sec, 5)
	if !s.Machines["h2"].Quarantined {
		t.Fatal("a machine is not quarantined although the jobs that failed on it have run elsewhere since")
	}
}

// A machine on which all tasks fail is quarantined even if they belong to a single job
// that fits on no other machine: otherwise that job would fail there forever. The job
// gets only one machine quarantined, not every machine on which it fails.
func TestFailingJobQuarantinesOnlyOneMachine(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	for i := range unprovenFailureThreshold {
		if m := s.Machines["h1"]; m != nil && m.Quarantined {
			t.Fatalf("the machine is quarantined after only %d failures", i)
		}
		failBoundTasks(s, w, model.Micros(1+100*i)*sec)
	}
	if !s.Machines["h1"].Quarantined {
		t.Fatalf("the machine is not quarantined after %d failures", unprovenFailureThreshold)
	}
	other := newWorker(s, "h2", "box", "a")
	for i := range 2 * unprovenFailureThreshold {
		failBoundTasks(s, other, model.Micros(1000+100*i)*sec)
	}
	if s.Machines["h2"].Quarantined || len(job.FailedMachines) != 2 {
		t.Fatalf("the job failed on %d machines, want 2, and the second not quarantined", len(job.FailedMachines))
	}
}

// A job of which no task has run yet is at fault if it fails on a machine on which tasks
// of another job run.
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
		t.Fatal("a machine on which another job runs is quarantined for a job that never ran")
	}
	if !faulty.IsAtFault() {
		t.Fatal("a job that fails where another job runs is not marked as at fault")
	}
}

// A job that was submitted with a mistake fails on every machine. Its failures must not
// get healthy machines quarantined: each would be returned, and another one rented for
// its tasks. The job is kept, and is retried with increasing backoff.
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
	// retry starts all tasks that may be bound, reports them as failed, and returns their
	// number.
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
		t.Fatalf("the job failed on %d machines, want %d", len(job.FailedMachines), len(names))
	}
	for _, name := range names {
		m := s.Machines[name]
		if m.Quarantined || m.Draining {
			t.Fatalf("machine %s is quarantined for a job that fails everywhere", name)
		}
	}
	wait := job.NotBefore - now - 2*sec
	if wait < 8*sec {
		t.Fatalf("a job that failed on three machines is retried after %v, want at least 8 s", wait)
	}
	if kept := len(job.Waiting) + job.BindingCount(); job.FinalStatus != "" || kept != 12 {
		t.Fatalf("the job is not kept: final status %q, %d of 12 tasks are waiting or bound", job.FinalStatus, kept)
	}
	// After the backoff, one task at a time is retried. The next backoff is longer, up to a
	// maximum.
	for i := range 8 {
		now = job.NotBefore + sec
		if n := retry(now); n != 1 {
			t.Fatalf("retry %d: %d tasks of a job that fails everywhere are started, want 1", i, n)
		}
		next := job.NotBefore - now - 2*sec
		if next < min(wait, 60*sec) || next > 70*sec {
			t.Fatalf("retry %d: got a backoff of %v after one of %v, want it not shorter up to 60 s, and at most 70 s", i, next, wait)
		}
		wait = next
	}
}

// No task is bound to a machine before a heartbeat shows that responses reach it: a
// heartbeat with an older token may be an old copy.
func TestNoBindingsForMachineWithoutResponses(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	machine := s.AddMachine("h1", "box", "a", false, 0)
	w := newWorker(s, "h1", "box", "a")
	for i := range model.Micros(4) {
		w.sendHeartbeat(i*sec, 4)
	}
	if len(job.Bindings) != 0 {
		t.Fatal("a task is bound to a machine whose heartbeats have an older token")
	}
	w.sendHeartbeat(4*sec, 5)
	if len(job.Bindings) != 1 {
		t.Fatal("no task is bound to a machine that receives responses")
	}
	secondJob := s.AddJob(newJob("j-2", 1, model.Array), model.TaskSet{}, "", 0, 0)
	heartbeat := w.heartbeat
	for i := range model.Micros(8) { // responses are lost: the worker tries other controllers in between
		w.sequence++
		heartbeat.Sequence, heartbeat.Token = w.sequence, 5
		s.ApplyHeartbeat(&heartbeat, 10*sec+i*5*sec)
		s.Place(10*sec+i*5*sec, true)
	}
	if len(secondJob.Bindings) != 0 {
		t.Fatal("a task is bound to a machine that has not received the last responses")
	}
	if !s.Unreachable(machine, 10*sec+35*sec) || s.Unreachable(machine, 10*sec+20*sec) {
		t.Fatal("a machine that sends heartbeats but receives no responses is not unreachable at the right time")
	}
}

// Heartbeats at the largest distance that the settings allow show that responses are
// received, and heartbeats after a lost response don't: then the worker has waited 4 s for
// each of two controllers, and one more second before the next. A fixed limit that suits
// one heartbeat interval would, at another one, exclude half of the machines from a
// placement round, or detect no lost response.
func TestReceivesResponsesAtBothHeartbeatIntervals(t *testing.T) {
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
			if want := i == 1 || i == 2; machine.ReceivesResponses != want {
				t.Errorf("heartbeat interval %v, heartbeat after %v: got ReceivesResponses %v", interval, gap, machine.ReceivesResponses)
			}
		}
		if stopTime := s.NewRound(at).StopTime; stopTime < interval || stopTime > 2*interval {
			t.Errorf("heartbeat interval %v: got a stop time of %v, want one to two intervals", interval, stopTime)
		}
	}
}
