package shard

import "woadweir/internal/core/model"

const sec = model.Second

func newTestState(token uint64) *State {
	s := New(Params{
		Teams: map[string]*model.Team{
			"red":  {Name: "red", Guaranteed: model.Resources{Cores: 8000}, Limit: model.Resources{Cores: 8000}},
			"blue": {Name: "blue", Limit: model.Resources{Cores: 100_000, GPUs: 8000}},
		},
		HeartbeatInterval: 5 * sec / 2, WorkerLease: 18 * sec, GangWait: 30 * sec, LeaseMargin: sec, MaxValue: 28_000,
	}, token)
	s.SetMachineTypes([]model.MachineType{
		{Name: "box", Cores: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "gpu", Cores: 8, GPUs: 2, MemoryGB: 32, CacheGB: 50, FetchGBps: 1, Price: 9, SpotPrice: 4, BootS: 10, Zones: []string{"a", "b"}}})
	return s
}

func newJob(id string, tasks int, kind model.JobKind) *model.Job {
	return &model.Job{ID: id, Class: "c", Team: "red", Kind: kind, Priority: model.NormalPriority, Tasks: tasks,
		Request: model.Resources{Cores: 1000, Mem: 1000}, Image: "i", ImageGB: 1, EstimatedRun: 10 * sec, AllowsSpot: true}
}

// worker simulates a worker. It reports the tasks that the test passes to sendHeartbeat.
type worker struct {
	state     *State
	heartbeat Heartbeat
	sequence  uint64
}

func newWorker(s *State, machineID, machineType, zone string) *worker {
	return &worker{state: s, heartbeat: Heartbeat{Machine: machineID, MachineType: machineType, Zone: zone, Incarnation: 1}}
}

// sendHeartbeat applies a heartbeat with the given tasks, runs a placement round, and
// returns the commands for the response. If the last heartbeat is missing or more than 3 s
// old, another heartbeat is applied first, so that the second one shows that responses
// reach the worker.
func (w *worker) sendHeartbeat(now model.Micros, token uint64, tasks ...TaskStatus) (HeartbeatResult, []Command) {
	if m := w.state.Machines[w.heartbeat.Machine]; token == w.state.Token && (m == nil || now-m.LastHeartbeat > 3*sec) {
		w.sequence++
		heartbeat := w.heartbeat
		heartbeat.Sequence, heartbeat.Token, heartbeat.Tasks = w.sequence, token, tasks
		w.state.ApplyHeartbeat(&heartbeat, now-sec/2)
	}
	w.sequence++
	heartbeat := w.heartbeat
	heartbeat.Sequence, heartbeat.Token, heartbeat.Tasks = w.sequence, token, tasks
	result := w.state.ApplyHeartbeat(&heartbeat, now)
	if result != Accepted {
		return result, nil
	}
	w.state.Place(now, true)
	return result, w.state.Commands(&heartbeat, now)
}

// startBoundTasks sends a heartbeat without tasks, makes the resulting bindings durable,
// and sends another heartbeat, whose response starts the bound tasks.
func (w *worker) startBoundTasks() {
	w.sendHeartbeat(sec, w.state.Token)
	commitAll(w.state, sec)
	w.sendHeartbeat(2*sec, w.state.Token)
}

// commitAll makes all queued entries durable and returns their names.
func commitAll(s *State, now model.Micros) (entries []string) {
	for s.PendingWrites() > 0 {
		writes := s.Writes(16, 48<<10)
		for _, write := range writes {
			for entry := range write.versions {
				entries = append(entries, entry)
			}
		}
		s.Committed(writes, now)
	}
	return entries
}

func countCommands(commands []Command, op CommandOp) (n int) {
	for _, command := range commands {
		if command.Op == op {
			n++
		}
	}
	return n
}

// anyBinding returns a binding of a machine, or nil if the machine has none.
func anyBinding(s *State, machineID string) *model.Binding {
	for _, b := range s.Machines[machineID].Bindings {
		return b
	}
	return nil
}

// runningTasks returns the statuses of a heartbeat that reports all tasks bound to a
// machine as running.
func runningTasks(s *State, machineID string) (tasks []TaskStatus) {
	for _, b := range s.Machines[machineID].Bindings {
		tasks = append(tasks, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	}
	return tasks
}
