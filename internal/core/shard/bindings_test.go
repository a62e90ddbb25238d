package shard

import (
	"testing"

	"woadweir/internal/core/model"
)

func TestStartOnlyOnceBindingIsDurable(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	if _, commands := w.sendHeartbeat(sec, 5); len(s.Machines["h1"].Bindings) != 2 || countCommands(commands, StartTask) != 0 {
		t.Fatalf("got %d bindings and commands %v, want 2 bindings and no start", len(s.Machines["h1"].Bindings), commands)
	}
	commitAll(s, sec)
	if _, commands := w.sendHeartbeat(2*sec, 5); countCommands(commands, StartTask) != 2 {
		t.Fatalf("got commands %v, want two starts", commands)
	}
}

func TestUnbindNeedsNewerHeartbeatUnderOwnToken(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	machine := s.AddMachine("h1", "box", "a", false, 0)
	s.Restore(job, 0, 77, machine) // bound by an earlier owner
	id := model.TaskID{Job: "j-1"}
	// A late copy may report an exit of the same attempt from before it was started again.
	w.sendHeartbeat(sec, 4, TaskStatus{ID: id, Attempt: 77, Status: model.Exited, Cause: CauseStopped})
	if b := anyBinding(s, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by an exit reported under an older token")
	}
	// The start command of the earlier owner may still be in flight.
	w.sendHeartbeat(2*sec, 4)
	if b := anyBinding(s, "h1"); b == nil || b.Attempt != 77 {
		t.Fatal("unbound by a heartbeat under an older token that lacks the task")
	}
	w.sendHeartbeat(3*sec, 5, TaskStatus{ID: id, Attempt: 77, Status: model.Running})
	w.sendHeartbeat(4*sec, 5)
	if b := anyBinding(s, "h1"); b != nil && b.Attempt == 77 {
		t.Fatal("still bound after a newer heartbeat under the owner's token without it")
	}
}

// A binding is removed only after the lease of its worker has expired, counted from the
// last time at which any node with a right to do so may have answered the worker. That
// the cloud lists the machine as failed, or silence before that, proves nothing.
func TestUnbindAfterLeaseExpiry(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	w.sendHeartbeat(10*sec, 5)
	s.Machines["h1"].Failed = true
	s.Tick(10*sec + 18*sec)
	if anyBinding(s, "h1") == nil {
		t.Fatal("unbound before the lease has certainly expired")
	}
	s.Tick(10*sec + s.LeaseExpiry() + 1)
	if anyBinding(s, "h1") != nil {
		t.Fatal("still bound after the lease has expired")
	}
	if s.LeaseExpiry() <= 18*sec+18*sec/1000 {
		t.Fatal("the lease expiry does not allow for clock drift")
	}
}

// A new owner does not know when the earlier owner last answered a worker, so it counts
// the lease from its own takeover.
func TestLeaseExpiryAfterTakeover(t *testing.T) {
	s := newTestState(9)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 100*sec, 0)
	s.Restore(job, 0, 7, s.AddMachine("h1", "box", "a", false, 100*sec))
	s.Tick(100*sec + 18*sec)
	if anyBinding(s, "h1") == nil {
		t.Fatal("unbound before a lease that was renewed just before the takeover has expired")
	}
}

func TestUnbindAfterMachineDeletion(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	s.MachineDeleted("h1", "deleted", 2*sec)
	if len(job.Waiting) != 1 || len(job.Bindings) != 0 || s.Used["red"] != (model.Resources{}) {
		t.Fatalf("got waiting tasks %v, bindings %v, used resources %v, want one waiting task and nothing else", job.Waiting, job.Bindings, s.Used["red"])
	}
}

func TestCancelledJobIsStoppedAndNotStarted(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 2, model.Array), model.TaskSet{}, "", 0, 0)
	w := newWorker(s, "h1", "box", "a")
	w.startBoundTasks()
	binding := anyBinding(s, "h1")
	s.EndJob("j-1", "withdrawn", 2*sec)
	_, commands := w.sendHeartbeat(3*sec, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Running})
	if countCommands(commands, StartTask) != 0 || countCommands(commands, StopTask) != 1 || commands[0].Grace != 0 {
		t.Fatalf("got commands %v, want one stop without grace", commands)
	}
}

// The removal of a task's binding is durable before, or together with, its binding to
// another machine.
func TestUnbindIsWrittenBeforeRebind(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	w1 := newWorker(s, "h1", "box", "a")
	w1.sendHeartbeat(sec, 5)
	commitAll(s, sec)
	w1.sendHeartbeat(2*sec, 5)
	binding := anyBinding(s, "h1")
	newWorker(s, "h2", "box", "a").sendHeartbeat(2*sec, 5)
	s.Machines["h1"].Draining = true
	w1.sendHeartbeat(3*sec, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Exited, Cause: CauseError})
	if anyBinding(s, "h2") == nil {
		t.Fatal("not bound to another machine")
	}
	writes := s.Writes(1, 48<<10)
	if record := writes[0].Value.(BundleRecord); len(writes) != 1 || len(record.Machines) != 2 || len(record.Machines["h1"].Tasks) != 0 {
		t.Fatalf("got writes %+v, want one bundle with both machines and no task on h1", writes)
	}
}

// If a binding became durable before the removal of the task's earlier binding, a new
// owner finds the task bound twice. The newest attempt is the valid one: the older
// attempt must never be started in parallel with it.
func TestNewestAttemptIsKeptAtTakeover(t *testing.T) {
	s := newTestState(9)
	job := s.AddJob(newJob("j-1", 1, model.Array), model.TaskSet{}, "", 0, 0)
	for machineID, attempt := range map[string]uint64{"h1": 7, "h2": 8} {
		s.Restore(job, 0, attempt, s.AddMachine(machineID, "box", "a", false, 0))
	}
	s.StopSuperseded()
	_, olderCommands := newWorker(s, "h1", "box", "a").sendHeartbeat(sec, 5)
	_, newestCommands := newWorker(s, "h2", "box", "a").sendHeartbeat(sec, 5)
	if countCommands(olderCommands, StartTask) != 0 || countCommands(newestCommands, StartTask) != 1 {
		t.Fatalf("got commands %v for the older attempt and %v for the newest, want only the newest started", olderCommands, newestCommands)
	}
}

func TestAttemptsNeverRepeat(t *testing.T) {
	earlier, later := newTestState(5), newTestState(6)
	var last uint64
	for range 1000 {
		last = earlier.NextAttempt()
	}
	if first := later.NextAttempt(); first <= last {
		t.Fatalf("got attempt %d under the later grant, want more than %d, the last one under the earlier grant", first, last)
	}
}

// A machine that is being drained gets no new tasks. Its tasks are started on other
// machines once they are gone from it, never before.
func TestDrainRestartsTasksOnlyOnceTheyAreGone(t *testing.T) {
	s := newTestState(5)
	w := newWorker(s, "h1", "box", "a")
	s.AddJob(newJob("j-1", 1, model.Service), model.TaskSet{}, "", 0, 0)
	w.startBoundTasks()
	w.sendHeartbeat(3*sec, 5, runningTasks(s, "h1")...)
	other := newWorker(s, "h2", "box", "a")
	other.sendHeartbeat(3*sec, 5)
	s.Drain(s.Machines["h1"], 4*sec)
	if _, commands := w.sendHeartbeat(5*sec, 5, runningTasks(s, "h1")...); len(commands) != 1 || commands[0].Op != StopTask {
		t.Fatalf("got commands %v, want a stop", commands)
	}
	other.sendHeartbeat(5*sec, 5)
	if n := len(s.Machines["h2"].Bindings); n != 0 {
		t.Fatal("bound to another machine before it is gone from the drained one")
	}
	binding := s.Machines["h1"].Bindings[model.TaskID{Job: "j-1"}]
	w.sendHeartbeat(6*sec, 5, TaskStatus{ID: binding.ID, Attempt: binding.Attempt, Status: model.Exited, Cause: CauseStopped})
	if len(s.Machines["h1"].Bindings) != 0 || len(s.Machines["h2"].Bindings) != 1 {
		t.Errorf("got %d tasks on the drained machine and %d on the other, want 0 and 1", len(s.Machines["h1"].Bindings), len(s.Machines["h2"].Bindings))
	}
}
