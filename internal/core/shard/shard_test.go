package shard

import "woadweir/internal/core/model"

const sec = model.Second

func newHolder(token uint64) *State {
	h := New(Params{
		Teams: map[string]*model.Team{
			"red":  {Name: "red", Guaranteed: model.Resources{Cores: 8000}, Limit: model.Resources{Cores: 8000}},
			"blue": {Name: "blue", Limit: model.Resources{Cores: 100_000, GPUs: 8000}},
		},
		Report: 5 * sec / 2, Lease: 18 * sec, GangWait: 30 * sec, Margin: sec, MaxValue: 28_000,
	}, token)
	h.SetMachineTypes([]model.MachineType{
		{Name: "box", Cores: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "gpu", Cores: 8, GPUs: 2, MemoryGB: 32, CacheGB: 50, FetchGBps: 1, Price: 9, SpotPrice: 4, BootS: 10, Zones: []string{"a", "b"}}})
	return h
}

func job(ref string, tasks int, shape model.JobKind) *model.Job {
	return &model.Job{ID: ref, Class: "c", Team: "red", Kind: shape, Priority: model.NormalPriority, Tasks: tasks,
		Request: model.Resources{Cores: 1000, Mem: 1000}, Image: "i", ImageGB: 1, EstimatedRun: 10 * sec, AllowsSpot: true}
}

// worker is a scripted worker: it says what it is told to say.
type worker struct {
	h     *State
	r     Report
	tally uint64
}

func newWorker(h *State, ref, machineType, zone string) *worker {
	return &worker{h: h, r: Report{Machine: ref, MachineType: machineType, Zone: zone, Session: 1}}
}

// says has the worker report these tasks, and returns the commands it gets.
// One that has not reported for a while has first to show that it hears.
func (w *worker) says(now model.Micros, token uint64, ps ...TaskStatus) (Verdict, []Command) {
	if m := w.h.Machines[w.r.Machine]; token == w.h.Token && (m == nil || now-m.LastHeartbeat > 3*sec) {
		w.tally++
		r := w.r
		r.Sequence, r.Token, r.Tasks = w.tally, token, ps
		w.h.ApplyHeartbeat(&r, now-sec/2)
	}
	w.tally++
	r := w.r
	r.Sequence, r.Token, r.Tasks = w.tally, token, ps
	v := w.h.ApplyHeartbeat(&r, now)
	if v != Taken {
		return v, nil
	}
	w.h.Place(now, true)
	return v, w.h.Commands(&r, now)
}

// starts has the worker report with nothing on it, and again once what was bound
// then is durable: it is told to start that.
func (w *worker) starts() {
	w.says(sec, w.h.Token)
	write(w.h, sec)
	w.says(2*sec, w.h.Token)
}

// write makes everything that waits durable.
func write(h *State, now model.Micros) (keys []string) {
	for h.Queued() > 0 {
		ws := h.Writes(16, 48<<10)
		for _, w := range ws {
			for e := range w.vers {
				keys = append(keys, e)
			}
		}
		h.Committed(ws, now)
	}
	return keys
}

func verbs(commands []Command, verb string) (n int) {
	for _, o := range commands {
		if o.Op == verb {
			n++
		}
	}
	return n
}

func bound(h *State, ref string) *model.Binding {
	for _, b := range h.Machines[ref].Bindings {
		return b
	}
	return nil
}

// running are the tasks of a report that says that all that is bound to a machine
// runs.
func running(h *State, ref string) (ps []TaskStatus) {
	for _, b := range h.Machines[ref].Bindings {
		ps = append(ps, TaskStatus{ID: b.ID, Attempt: b.Attempt, Status: model.Running})
	}
	return ps
}
