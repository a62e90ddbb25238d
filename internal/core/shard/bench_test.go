package shard

import (
	"fmt"
	"runtime"
	"testing"

	"woadweir/internal/core/model"
)

// fleetSizes are those of the largest deployments measured, and of more than twice that.
var fleetSizes = []int{1900, 4000}

// bigFleet is a holder of so many machines, nearly full, with more than ten waiting tasks
// for each.
func bigFleet(machines int) (h *State, workers []*worker) {
	h = New(Params{
		Teams: map[string]*model.Team{
			"red":  {Name: "red", Guaranteed: model.Resources{Cores: 40_000_000, GPUs: 3_000_000}, Limit: model.Resources{Cores: 190_000_000, GPUs: 19_000_000}},
			"blue": {Name: "blue", Guaranteed: model.Resources{Cores: 40_000_000}, Limit: model.Resources{Cores: 190_000_000}},
		},
		Report: 5 * sec, Lease: 26500 * model.Millisecond, GangWait: 30 * sec, Margin: sec, MaxValue: 28_000,
		Waits: map[string][]model.Micros{"gang": {30 * sec}},
	}, 5)
	h.SetMachineTypes([]model.MachineType{
		{Name: "box", Cores: 16, MemoryGB: 64, CacheGB: 60, FetchGBps: 0.2, Price: 0.86, SpotPrice: 0.2, BootS: 20, Zones: []string{"a"}},
		{Name: "gpu", Cores: 96, GPUs: 8, MemoryGB: 384, CacheGB: 80, FetchGBps: 0.6, Price: 27, SpotPrice: 6.9, BootS: 25, Zones: []string{"a"}}})
	for i := range machines {
		machineType := "box"
		if i%2 == 0 {
			machineType = "gpu"
		}
		w := newWorker(h, fmt.Sprintf("host-%06d", i), machineType, "a")
		w.r.Spot = i%5 < 2
		workers = append(workers, w)
	}
	ref := 0
	add := func(tasks int, shape model.JobKind, need model.Resources, class, team string) {
		ref++
		j := &model.Job{ID: fmt.Sprintf("j-%06d", ref), Class: class, Team: team, Kind: shape, Priority: model.LowPriority, Tasks: tasks,
			Request: need, Image: fmt.Sprintf("img-%d", ref%6), ImageGB: 4, EstimatedRun: 60 * sec, AllowsSpot: shape == model.Array}
		if shape == model.Gang {
			j.Priority, j.AllowsSpot, j.CheckpointInterval, j.SaveTime = model.HighPriority, false, 15*sec, 5*sec
		}
		h.AddJob(j, model.Set{}, "", 0, 0)
	}
	for range 150 * machines / fleetSizes[0] {
		add(6, model.Gang, model.Resources{Cores: 15_000, Mem: 51_000}, "gang", "blue")
	}
	for range 720 * machines / fleetSizes[0] {
		add(40, model.Array, model.Resources{Cores: 10_000, GPUs: 1000, Mem: 36_000}, "array", "red")
	}
	for range 2 {
		for _, w := range workers {
			w.tally++
			r := w.r
			r.Sequence, r.Token = w.tally, 5
			h.ApplyHeartbeat(&r, sec)
		}
	}
	for range 3 {
		h.Place(sec, true)
	}
	write(h, sec)
	for _, w := range workers {
		w.report(2 * sec)
	}
	return h, workers
}

// report has the worker say that all that is bound runs.
func (w *worker) report(now model.Micros) *Report {
	w.tally++
	r := w.r
	r.Sequence, r.Token, r.Tasks = w.tally, 5, running(w.h, w.r.Machine)
	w.h.ApplyHeartbeat(&r, now)
	return &r
}

// forFleets runs a benchmark with fleets of several sizes.
func forFleets(b *testing.B, bench func(b *testing.B, machines int)) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { bench(b, machines) })
	}
}

func BenchmarkPlace(b *testing.B) { forFleets(b, benchPlace) }

func benchPlace(b *testing.B, machines int) {
	h, ws := bigFleet(machines)
	b.ResetTimer()
	waiting := 0
	for _, j := range h.Jobs {
		waiting += len(j.Waiting)
	}
	b.ReportMetric(float64(waiting), "waiting")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/1e6, "heap-MB")
	for i := range b.N {
		now := 3*sec + model.Micros(i)*100*model.Millisecond
		for _, w := range ws {
			h.Machines[w.r.Machine].LastHeartbeat = now
		}
		// A few tasks end between two rounds.
		for k := range 4 {
			m := h.Machines[ws[(i*7+k*151)%len(ws)].r.Machine]
			for _, x := range m.Bindings {
				if x.Job.Kind == model.Array {
					h.unbind(x, "ended", now)
					break
				}
			}
		}
		h.Place(now, i%6 == 0)
	}
}

func BenchmarkReport(b *testing.B) { forFleets(b, benchReport) }

func benchReport(b *testing.B, machines int) {
	_, ws := bigFleet(machines)
	b.ResetTimer()
	for i := range b.N {
		w := ws[i%len(ws)]
		now := 3*sec + model.Micros(i)*4*model.Millisecond
		w.h.Commands(w.report(now), now)
	}
}

func BenchmarkWrites(b *testing.B) { forFleets(b, benchWrites) }

func benchWrites(b *testing.B, machines int) {
	h, ws := bigFleet(machines)
	b.ResetTimer()
	for i := range b.N {
		for k := range 8 {
			h.markChanged(h.Machines[ws[(i*31+k*71)%len(ws)].r.Machine])
		}
		h.Committed(h.Writes(16, 48<<10), sec)
	}
}
