package main

import (
	"errors"
	"time"
)

// Limits of the pages for the case team-limit.
const (
	teamCPUs    = 60 // the limit of the team registro in this small deployment
	leftWaiting = 90 * time.Second
	caseEnds    = 114 * time.Second
)

// quitoSmall is quito-egresados, with its objectives, and with a smaller limit for the team
// registro.
func quitoSmall() *deployment {
	d := quitoOps()
	d.teams = "[[params.teams]]\nname = \"registro\"\ncpus = 30.0\ncpus_max = 60.0\ngpus = 40.0\ngpus_max = 88.0\n" +
		"[[params.teams]]\nname = \"relaciones\"\ncpus = 584.0\ncpus_max = 1456.0\ngpus = 48.0\ngpus_max = 144.0\n" +
		"[[params.objectives]]\nkind = \"wait\"\nclass = \"padron-sync\"\nwithin_s = 8.0\nshare = 0.92\n" +
		"[[params.objectives]]\nkind = \"wait\"\nclass = \"padron-sync\"\nwithin_s = 18.0\nshare = 0.97\n" +
		"[[params.objectives]]\nkind = \"finished\"\nclass = \"padron-sync\"\nwithin_s = 180.0\nshare = 0.95\n" +
		"[[params.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.88\n"
	return d
}

// teamLimit has gangs come several times as often as else. Two of them don't fit into their
// team's limit together; another job of the team does.
func teamLimit(b *bench) error {
	if err := b.open(quitoSmall(), 3, 6*time.Millisecond); err != nil {
		return err
	}
	begin := time.Now()
	if err := b.startAll(15 * time.Second); err != nil {
		return err
	}
	submit := func(j *job) error {
		if code := b.users.submit(b.fleet, j, nil); code != 200 && code != 201 {
			return errors.New(j.Ref + " was not accepted")
		}
		return nil
	}
	if err := submit(padronSync("j-000201")); err != nil {
		return err
	}
	if !b.waitUntil(20*time.Second, func() bool { return b.fleet.onMachines("j-000201") == 3 }) {
		return errors.New("the first gang did not run in time")
	}
	if b.trouble {
		for _, id := range []string{"j-000202", "j-000203", "j-000204"} {
			if err := submit(padronSync(id)); err != nil {
				return err
			}
		}
	}
	small := &job{Ref: "j-000205", Jobclass: "photo-match", Owner: "registro", Shape: "sweep", Rank: "idle", Pieces: 1, Cores: 10, GPUs: 1, MemoryGb: 36,
		Bundle: "img-1", ImageGb: 0.6, Loaners: true, GuessS: 40, runs: 10 * time.Second}
	if err := submit(small); err != nil {
		return err
	}
	var since time.Time // since when it is left waiting
	for i := 0; time.Since(begin) < caseEnds; i++ {
		time.Sleep(500 * time.Millisecond)
		if b.fleet.onMachines(small.Ref) > 0 || b.fleet.completed(small.Ref) > 0 {
			b.record.add("%s has begun", small.Ref)
			return nil
		}
		used, fits := b.registro(small)
		if i%10 == 0 {
			_, status := b.users.poll(small.Ref)
			b.record.add("%s is %s; registro uses %v of %d CPUs; a machine that fits has room: %v", small.Ref, status, used, teamCPUs, fits)
		}
		switch waits := fits && used+small.Cores <= teamCPUs; {
		case !waits:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > leftWaiting:
			b.breaks("left waiting: %s waited for %.1f s while a machine that fits had room and its team was under its limit", small.Ref, time.Since(since).Seconds())
			return nil
		}
	}
	return nil
}

// padronSync returns a gang of the class padron-sync.
func padronSync(id string) *job {
	return &job{Ref: id, Jobclass: "padron-sync", Owner: "registro", Shape: "gang", Rank: "urgent", Pieces: 3, Cores: 15, MemoryGb: 51,
		Bundle: "img-3", ImageGb: 0.2, GuessS: 100, KeepsakeS: 15, StowS: 5, runs: 100 * time.Second}
}

// registro returns the CPUs that the team's tasks take, and whether a machine that is up has
// room for a piece of a job.
func (b *bench) registro(j *job) (used float64, fits bool) {
	for _, w := range b.fleet.allWorkers() {
		w.mu.Lock()
		up := !w.ended && !w.answered.IsZero()
		fits = fits || up && w.free().fits(j)
		for _, p := range w.pieces {
			if p.job != nil && p.status != "ended" && p.job.Owner == j.Owner {
				used += p.job.Cores
			}
		}
		w.mu.Unlock()
	}
	return used, fits
}
