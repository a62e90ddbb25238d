package shard

import (
	"fmt"
	"runtime"
	"testing"

	"woadweir/internal/core/model"
)

// fleetSizes are the size of the largest measured deployments and more than twice that.
var fleetSizes = []int{1900, 4000}

// newLargeFleet returns a nearly full shard with the given number of machines, and with
// more than ten waiting tasks per machine.
func newLargeFleet(machines int) (s *State, workers []*worker) {
	s = newLargeShard()
	for i := range machines {
		machineType := "box"
		if i%2 == 0 {
			machineType = "gpu"
		}
		w := newWorker(s, fmt.Sprintf("host-%06d", i), machineType, "a")
		w.heartbeat.Spot = i%5 < 2
		workers = append(workers, w)
	}
	addLargeFleetJobs(s, machines)
	for range 2 {
		for _, w := range workers {
			w.sequence++
			heartbeat := w.heartbeat
			heartbeat.Sequence, heartbeat.Token = w.sequence, 5
			s.ApplyHeartbeat(&heartbeat, sec)
		}
	}
	for range 3 {
		s.Place(sec, true)
	}
	commitAll(s, sec)
	for _, w := range workers {
		w.reportRunning(2 * sec)
	}
	return s, workers
}

// newLargeShard returns a shard with the teams and machine types of a large fleet.
func newLargeShard() *State {
	s := New(Params{
		Teams: map[string]*model.Team{
			"red":  {Name: "red", Guaranteed: model.Resources{Cores: 40_000_000, GPUs: 3_000_000}, Limit: model.Resources{Cores: 190_000_000, GPUs: 19_000_000}},
			"blue": {Name: "blue", Guaranteed: model.Resources{Cores: 40_000_000}, Limit: model.Resources{Cores: 190_000_000}},
		},
		HeartbeatInterval: 5 * sec, WorkerLease: 26500 * model.Millisecond, GangWait: 30 * sec, LeaseMargin: sec, MaxValue: 28_000,
		StartObjectives: map[string][]model.Micros{"gang": {30 * sec}},
	}, 5)
	s.SetMachineTypes([]model.MachineType{
		{Name: "box", Cores: 16, MemoryGB: 64, CacheGB: 60, FetchGBps: 0.2, Price: 0.86, SpotPrice: 0.2, BootS: 20, Zones: []string{"a"}},
		{Name: "gpu", Cores: 96, GPUs: 8, MemoryGB: 384, CacheGB: 80, FetchGBps: 0.6, Price: 27, SpotPrice: 6.9, BootS: 25, Zones: []string{"a"}}})
	return s
}

// addLargeFleetJobs adds gangs and arrays in proportion to the number of machines.
func addLargeFleetJobs(s *State, machines int) {
	jobCount := 0
	add := func(tasks int, kind model.JobKind, request model.Resources, class, team string) {
		jobCount++
		job := &model.Job{ID: fmt.Sprintf("j-%06d", jobCount), Class: class, Team: team, Kind: kind, Priority: model.LowPriority, Tasks: tasks,
			Request: request, Image: fmt.Sprintf("img-%d", jobCount%6), ImageGB: 4, EstimatedRun: 60 * sec, AllowsSpot: kind == model.Array}
		if kind == model.Gang {
			job.Priority, job.AllowsSpot, job.CheckpointInterval, job.SaveTime = model.HighPriority, false, 15*sec, 5*sec
		}
		s.AddJob(job, model.TaskSet{}, "", 0, 0)
	}
	for range 150 * machines / fleetSizes[0] {
		add(6, model.Gang, model.Resources{Cores: 15_000, Mem: 51_000}, "gang", "blue")
	}
	for range 720 * machines / fleetSizes[0] {
		add(40, model.Array, model.Resources{Cores: 10_000, GPUs: 1000, Mem: 36_000}, "array", "red")
	}
}

// reportRunning applies a heartbeat that reports all tasks bound to the machine as
// running.
func (w *worker) reportRunning(now model.Micros) *Heartbeat {
	w.sequence++
	heartbeat := w.heartbeat
	heartbeat.Sequence, heartbeat.Token, heartbeat.Tasks = w.sequence, 5, runningTasks(w.state, w.heartbeat.Machine)
	w.state.ApplyHeartbeat(&heartbeat, now)
	return &heartbeat
}

// forFleets runs a benchmark for each of the fleetSizes.
func forFleets(b *testing.B, bench func(b *testing.B, machines int)) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { bench(b, machines) })
	}
}

func BenchmarkPlace(b *testing.B) { forFleets(b, benchPlace) }

func benchPlace(b *testing.B, machines int) {
	s, workers := newLargeFleet(machines)
	b.ResetTimer()
	waiting := 0
	for _, job := range s.Jobs {
		waiting += len(job.Waiting)
	}
	b.ReportMetric(float64(waiting), "waiting")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/1e6, "heap-MB")
	for i := range b.N {
		now := 3*sec + model.Micros(i)*100*model.Millisecond
		for _, w := range workers {
			s.Machines[w.heartbeat.Machine].LastHeartbeat = now
		}
		// A few tasks end between two rounds.
		for k := range 4 {
			m := s.Machines[workers[(i*7+k*151)%len(workers)].heartbeat.Machine]
			for _, binding := range m.Bindings {
				if binding.Job.Kind == model.Array {
					s.unbind(binding, "ended", now)
					break
				}
			}
		}
		s.Place(now, i%6 == 0)
	}
}

func BenchmarkHeartbeat(b *testing.B) { forFleets(b, benchHeartbeat) }

func benchHeartbeat(b *testing.B, machines int) {
	_, workers := newLargeFleet(machines)
	b.ResetTimer()
	for i := range b.N {
		w := workers[i%len(workers)]
		now := 3*sec + model.Micros(i)*4*model.Millisecond
		w.state.Commands(w.reportRunning(now), now)
	}
}

func BenchmarkWrites(b *testing.B) { forFleets(b, benchWrites) }

func benchWrites(b *testing.B, machines int) {
	s, workers := newLargeFleet(machines)
	b.ResetTimer()
	for i := range b.N {
		for k := range 8 {
			s.markChanged(s.Machines[workers[(i*31+k*71)%len(workers)].heartbeat.Machine])
		}
		s.Committed(s.Writes(16, 48<<10), sec)
	}
}
