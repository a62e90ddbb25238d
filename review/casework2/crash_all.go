package main

import (
	"errors"
	"fmt"
	"time"
)

// Limits of the pages for the case crash-all.
const (
	earlierJobs    = 150_000 // under a day of quito-egresados-grown: 69 + 46 jobs a minute
	restartDelay   = 6 * time.Second
	forgottenAfter = 75 * time.Second
	observeMore    = 12 * time.Second
)

// quitoGrown is quito-egresados-grown: 5 controllers, and the limits of its state service.
// Its machines are up within two seconds, which the pages allow.
func quitoGrown() *deployment {
	return &deployment{
		zones: []string{"quito-norte"}, rps: 100, writeRPS: 25, cloudRPS: 5, valueKB: 32, txnOps: 16, listLag: 3 * time.Second,
		report: 2500 * time.Millisecond, lease: 18 * time.Second, gangWait: 35 * time.Second, gangPeer: 4 * time.Second, cancel: 43 * time.Second,
		teams:    "[[params.teams]]\nname = \"registro\"\ncpus = 9000.0\ncpus_max = 30000.0\ngpus = 700.0\ngpus_max = 1500.0\n",
		bootTime: 2 * time.Second, capacity: 20, cores: 0.18, ramMB: 125, fdLimit: 1500,
		machineTypes: []machineType{{Label: "oficina-sixteen", Cores: 16, MemoryGb: 64, CacheGb: 60, FetchGbPerS: 0.2, Price: 0.86, LowPrice: 0.2, BootS: 20, Yards: []string{"quito-norte"}}},
	}
}

// crashAll has a store in which the ends of earlier jobs are kept, as they have to be, and
// kills all controllers at once. They are started again 6 s later.
func crashAll(b *bench) error {
	if err := b.open(quitoGrown(), 5, 6*time.Millisecond); err != nil {
		return err
	}
	b.state.preload(endedJobs(earlierJobs))
	if err := b.writeSettings(); err != nil {
		return err
	}
	b.users = newUsers(b.deployment)
	var names []string
	for i, n := range b.nodes { // one after the other, as at a rolling restart
		names = append(names, n.name)
		if err := b.start(i); err != nil {
			return err
		}
		if !b.waitHealthy(names, 8*time.Second) {
			return fmt.Errorf("controller %s was not healthy in time", n.name)
		}
	}
	b.record.add("state service: answers so far %v", b.state.takeAnswers())
	mine := &job{Ref: "j-900001", Jobclass: "photo-match", Owner: "registro", Shape: "sweep", Rank: "standard", Pieces: 2, Cores: 2, MemoryGb: 4,
		Bundle: "img-1", ImageGb: 0.2, Loaners: true, GuessS: 60, runs: 60 * time.Second}
	if code := b.users.submit(b.fleet, mine, nil); code != 201 && code != 200 {
		return errors.New("the job was not accepted before the trouble")
	}
	if b.trouble {
		b.killAll()
		time.Sleep(restartDelay)
		for i := range b.nodes {
			if err := b.start(i); err != nil {
				return err
			}
		}
		b.record.add("the trouble is over")
	}
	asked := []string{mine.Ref, "j-000007"}
	over := time.Now()
	answered := map[string]time.Time{mine.Ref: over, "j-000007": over}
	longest := map[string]time.Duration{}
	forgotten := func() bool { return longest[asked[0]] > forgottenAfter || longest[asked[1]] > forgottenAfter }
	for time.Since(over) < forgottenAfter+observeMore && !forgotten() {
		for _, id := range asked {
			code, status := b.users.poll(id)
			for i := 0; code != 200 && code != 404 && i < len(b.nodes); i++ {
				code, status = b.users.pollAt(b.nodes[i], id) // also at controllers that are not healthy
			}
			if code == 404 {
				b.breaks("forgotten: %s is answered 404", id)
			}
			if code == 200 {
				answered[id] = time.Now()
			}
			if id == "j-000007" && code == 200 && status != "done" {
				b.breaks("went_back: %s was done and is called %s", id, status)
			}
			longest[id] = max(longest[id], time.Since(answered[id]))
		}
		b.record.add("state service: answers %v", b.state.takeAnswers())
		b.record.add("controllers: resident memory, now and most, in kB: %s", b.memory())
		time.Sleep(4 * time.Second)
	}
	for _, id := range asked {
		b.record.add("%s: longest time without an answer %.1f s", id, longest[id].Seconds())
		if longest[id] > forgottenAfter {
			b.breaks("forgotten: no question about %s was answered for %.1f s after the trouble", id, longest[id].Seconds())
		}
	}
	return nil
}

// endedJobs returns the records of jobs that are done, as the service writes them.
func endedJobs(count int) map[string]string {
	records := make(map[string]string, count)
	endedMs := time.Now().Add(-time.Hour).UnixMilli()
	for i := range count {
		records[fmt.Sprintf("job/j-%06d", i)] = fmt.Sprintf(`{"end":"done","pieces":3,"atMs":%d}`, endedMs)
	}
	return records
}
