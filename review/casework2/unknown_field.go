package main

import (
	"errors"
	"net/http"
	"time"
)

// tshwaneSmall is a deployment like tshwane-gamevault: 3 controllers, and the limits of its
// state service. Its machines are up within two seconds, which the pages allow.
func tshwaneSmall() *deployment {
	return &deployment{
		zones: []string{"pretoria-central", "centurion-hall", "soshanguve-hub"}, rps: 120, writeRPS: 40, cloudRPS: 8, valueKB: 32, txnOps: 24, listLag: 5 * time.Second,
		report: 2500 * time.Millisecond, lease: 18 * time.Second, gangWait: 30 * time.Second, gangPeer: 5 * time.Second, cancel: 38 * time.Second,
		teams: "[[params.teams]]\nname = \"inventory-keepers\"\ncpus = 48.0\ncpus_max = 136.0\ngpus = 4.0\ngpus_max = 12.0\n" +
			"[[params.teams]]\nname = \"archive-desk\"\ncpus = 104.0\ncpus_max = 320.0\ngpus = 8.0\ngpus_max = 24.0\n",
		bootTime: 2 * time.Second, capacity: 10, cores: 0.18, ramMB: 98, fdLimit: 1500,
		machineTypes: []machineType{{Label: "rack-thirtytwo", Cores: 32, MemoryGb: 128, CacheGb: 80, FetchGbPerS: 0.2, Price: 2.01, LowPrice: 0.54, BootS: 35,
			Yards: []string{"pretoria-central", "centurion-hall", "soshanguve-hub"}}},
	}
}

// startAll starts all controllers and waits until they are healthy.
func (b *bench) startAll(limit time.Duration) error {
	if err := b.writeSettings(); err != nil {
		return err
	}
	b.users = newUsers(b.deployment)
	var names []string
	for i, n := range b.nodes {
		names = append(names, n.name)
		if err := b.start(i); err != nil {
			return err
		}
	}
	if !b.waitHealthy(names, limit) {
		return errors.New("the controllers were not healthy in time")
	}
	return nil
}

// saveMerge returns a job of the class save-merge.
func saveMerge(id, owner string, pieces int, runs time.Duration) *job {
	return &job{Ref: id, Jobclass: "save-merge", Owner: owner, Shape: "sweep", Rank: "standard", Pieces: pieces, Cores: 1, MemoryGb: 3,
		Bundle: "img-1", ImageGb: 0.2, Loaners: true, GuessS: runs.Seconds(), runs: runs}
}

// unknownField has a job cancelled, and then another one submitted with a field that the
// pages don't know.
func unknownField(b *bench) error {
	if err := b.open(tshwaneSmall(), 3, 6*time.Millisecond); err != nil {
		return err
	}
	if err := b.startAll(15 * time.Second); err != nil {
		return err
	}
	first, second := saveMerge("j-000412", "inventory-keepers", 2, 5*time.Second), saveMerge("j-000431", "archive-desk", 2, 5*time.Second)
	first.runs = 40 * time.Second
	if code := b.users.submit(b.fleet, first, nil); code != 200 && code != 201 {
		return errors.New("the first job was not accepted")
	}
	if !b.waitUntil(20*time.Second, func() bool { _, status := b.users.poll(first.Ref); return status == "running" }) {
		return errors.New("the first job did not run in time")
	}
	if !b.waitUntil(20*time.Second, func() bool { return b.withdraw(first) == "withdrawn" }) {
		return errors.New("the first job was not cancelled in time")
	}
	time.Sleep(5 * time.Second)
	first.runs = 5 * time.Second
	var extra map[string]any
	if b.trouble {
		extra = map[string]any{"Ref": first.Ref} // unknown: names are case-sensitive
	}
	if code := b.users.submit(b.fleet, second, extra); code != 200 && code != 201 {
		return errors.New("the second job was not accepted")
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		if code, status := b.users.poll(first.Ref); code == 200 && status != "withdrawn" {
			b.breaks("went_back: %s was called withdrawn and is called %s", first.Ref, status)
			break
		}
	}
	_, status := b.users.poll(second.Ref)
	b.record.add("%s is %s, %d starts of its pieces", second.Ref, status, b.fleet.startsOf(second))
	return nil
}

// waitUntil asks about twice a second until something holds.
func (b *bench) waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// withdraw asks once for a job to be cancelled and returns the status that is answered.
func (b *bench) withdraw(j *job) string {
	code, answer, _ := b.users.send(http.MethodPost, "/work/"+j.Ref+"/withdraw", nil, submitTimeout)
	if code != 200 {
		return ""
	}
	if answer.Status == "withdrawn" {
		b.fleet.mu.Lock()
		j.withdrawn = time.Now()
		b.fleet.mu.Unlock()
	}
	return answer.Status
}

func (f *fleet) startsOf(j *job) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return j.starts
}
