package main

import (
	"errors"
	"time"
)

// quitoOps is a small deployment with the machines, limits and teams of
// quito-egresados-ops. Its machines are up within two seconds, which the pages allow.
func quitoOps() *deployment {
	return &deployment{
		zones: []string{"quito-norte"}, rps: 100, writeRPS: 25, cloudRPS: 5, valueKB: 32, txnOps: 16, listLag: 3 * time.Second,
		report: 2500 * time.Millisecond, lease: 18 * time.Second, gangWait: 35 * time.Second, gangPeer: 4 * time.Second, cancel: 43 * time.Second,
		teams: "[[params.teams]]\nname = \"relaciones\"\ncpus = 584.0\ncpus_max = 1456.0\ngpus = 48.0\ngpus_max = 144.0\n" +
			"[[params.teams]]\nname = \"usfq-genealogia\"\ncpus = 0.0\ncpus_max = 1456.0\ngpus = 0.0\ngpus_max = 88.0\n",
		bootTime: 2 * time.Second, capacity: 8, cores: 0.18, ramMB: 125, fdLimit: 1500,
		machineTypes: []machineType{
			{Label: "oficina-sixteen", Cores: 16, MemoryGb: 64, CacheGb: 60, FetchGbPerS: 0.2, Price: 0.86, LowPrice: 0.2, BootS: 20, Yards: []string{"quito-norte"}},
			{Label: "bodega-gpu", Cores: 96, GPUs: 8, MemoryGb: 384, CacheGb: 80, FetchGbPerS: 0.6, Price: 27.16, LowPrice: 6.91, BootS: 25, Yards: []string{"quito-norte"}}},
	}
}

// lineLimit has a guest team's array of very many small tasks come while a job of another
// team runs.
func lineLimit(b *bench) error {
	if err := b.open(quitoOps(), 3, 6*time.Millisecond); err != nil {
		return err
	}
	if err := b.startAll(15 * time.Second); err != nil {
		return err
	}
	first := &job{Ref: "j-000101", Jobclass: "photo-match", Owner: "relaciones", Shape: "sweep", Rank: "idle", Pieces: 4, Cores: 10, GPUs: 1, MemoryGb: 36,
		Bundle: "img-1", ImageGb: 0.6, Loaners: true, GuessS: 40, runs: 45 * time.Second}
	if code := b.users.submit(b.fleet, first, nil); code != 200 && code != 201 {
		return errors.New("the first job was not accepted")
	}
	if !b.waitUntil(30*time.Second, func() bool { return b.fleet.onMachines(first.Ref) == first.Pieces }) {
		return errors.New("the first job did not run in time")
	}
	sweep := &job{Ref: "j-000102", Jobclass: "census-link", Owner: "usfq-genealogia", Shape: "sweep", Rank: "idle", Pieces: 300, Cores: 0.02, MemoryGb: 0.08,
		Bundle: "img-2", ImageGb: 0.6, Loaners: true, GuessS: 15, runs: 15 * time.Second}
	if b.trouble {
		sweep.Pieces = 5000
	}
	if code := b.users.submit(b.fleet, sweep, nil); code != 200 && code != 201 {
		return errors.New("the second job was not accepted")
	}
	b.waitUntil(70*time.Second, func() bool {
		b.record.add("%s: %d on machines, %d of %d completed, %d starts; %s: %d on machines, %d of %d completed", first.Ref, b.fleet.onMachines(first.Ref),
			b.fleet.completed(first.Ref), first.Pieces, b.fleet.startsOf(first), sweep.Ref, b.fleet.onMachines(sweep.Ref), b.fleet.completed(sweep.Ref), sweep.Pieces)
		time.Sleep(1500 * time.Millisecond)
		return b.fleet.completed(first.Ref) == first.Pieces && b.fleet.completed(sweep.Ref) == sweep.Pieces
	})
	if b.fleet.longest > maxLine {
		b.breaks("line limit: an answer to a worker has a line of %d bytes", b.fleet.longest)
	}
	return nil
}
