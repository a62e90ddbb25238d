package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// The settings are those of quito-egresados-grown.
const quitoParams = `[params]
nodes = 5
zones = ["quito-norte"]
clock_error_ms = 1000.0
[[params.teams]]
name = "registro"
cpus = 9000.0
cpus_max = 30000.0
gpus = 700.0
gpus_max = 1500.0
[[params.teams]]
name = "relaciones"
cpus = 10000.0
cpus_max = 25000.0
gpus = 800.0
gpus_max = 2500.0
[[params.objectives]]
kind = "wait"
class = "padron-sync"
within_s = 30.0
share = 0.9
[params.workers]
report_s = 2.5
lease_s = 18.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 43.0
[params.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[params.cloud]
rps = 5.0
list_lag_s = 3.0
[params.quota]
cores = 0.18
ram_mb = 125.0
fd_limit = 1500
`

var quitoTypes = []machineType{
	{"oficina-sixteen", 16, 0, 64, 60, 0.2, 0.86, 0.2, 8, []string{"quito-norte"}},
	{"bodega-gpu", 96, 8, 384, 60, 0.2, 27.16, 6.91, 25, []string{"quito-norte"}},
}

// historyJobs is the number of jobs that are over: what the site's users submit in some
// 14 hours (116 a minute).
func historyJobs() int {
	if n, err := strconv.Atoi(os.Getenv("CASE_HISTORY")); err == nil {
		return n
	}
	return 100_000
}

// silence is for how long no question about an accepted job may go unanswered.
const silence = 75 * time.Second

// runHistory: a deployment that has been in service for some days loses all its controllers
// at once, and they come back.
func runHistory(trouble bool) int {
	state := newState(100, 25, 32, 16, 6*time.Millisecond)
	w := newWorld()
	cloud := newCloud(w, quitoTypes, 8, 5, 3*time.Second, 50*time.Millisecond, workerTimes{2500 * time.Millisecond, 18 * time.Second})
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2", "weirhost-3", "weirhost-4"}, "quito-norte", state.Address, cloud.Address, quitoParams)
	cloud.nodes = d.nodes

	// What the controllers have stored of the jobs that are over, in the form in which they
	// store it.
	paths := make([]string, historyJobs())
	at := time.Now().Add(-time.Hour).UnixMilli()
	for i := range paths {
		paths[i] = fmt.Sprintf("job/j-%06d", i)
	}
	state.preload(paths, func(i int) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"end":"done","pieces":%d,"atMs":%d}`, 1+i%30, at))
	})
	note("the state service has the ends of %d jobs", len(paths))

	for _, n := range d.nodes { // one after the other, as in a rolling restart
		n.start()
		if !waitHealthy([]*node{n}, 15*time.Second) {
			cannotRun("%s isn't healthy: %v", n.name, state.counters())
		}
		note("%s is healthy", n.name)
	}
	time.Sleep(time.Second)
	var refs []string
	for i := range 6 {
		job := arrayJob(fmt.Sprintf("j-%06d", 900_000+i), "photo-match", "relaciones", 4, 4, 8, 5)
		w.add(job, 5*time.Second)
		if code := submit(d.nodes, job); code != 201 && code != 200 {
			cannotRun("a job isn't accepted: %d", code)
		}
		refs = append(refs, job["ref"].(string))
	}
	refs = append(refs, "j-000000", "j-004711") // two that were done long ago
	note("accepted: %v", refs)

	var mu sync.Mutex
	lastAnswer := map[string]time.Time{}
	now := time.Now()
	for _, ref := range refs {
		lastAnswer[ref] = now
	}
	poll := func() (answered int) {
		var group sync.WaitGroup
		for i, ref := range refs {
			for j, n := range d.nodes {
				group.Go(func() {
					time.Sleep(time.Duration(i*len(d.nodes)+j) * 20 * time.Millisecond)
					code, raw := ask("GET", n.serve, "/work/"+ref, nil, pollTimeout)
					if a := parseJobAnswer(raw); code == 200 && a.Ref == ref {
						mu.Lock()
						answered++
						lastAnswer[ref] = time.Now()
						mu.Unlock()
					}
				})
			}
		}
		group.Wait()
		return answered
	}
	if poll() == 0 {
		cannotRun("no question is answered before the disruption")
	}
	if trouble {
		for _, n := range d.nodes {
			n.kill()
		}
		time.Sleep(6 * time.Second) // the site's restart_delay_s
		for _, n := range d.nodes {
			n.start()
		}
	}
	over := time.Now()
	note("the disruption is over; from here on, each job has to be answered at least once in %v", silence)
	mu.Lock()
	for _, ref := range refs {
		lastAnswer[ref] = over
	}
	mu.Unlock()
	code := ruleHeld
	for time.Since(over) < silence+2*time.Second {
		roundAt := time.Now()
		answered := poll()
		note("answers 200: %d of %d; state service: %v", answered, len(refs)*len(d.nodes), state.counters())
		if answered == len(refs)*len(d.nodes) && w.doneCount(refs[0]) == 4 && time.Since(over) > 30*time.Second {
			break
		}
		time.Sleep(time.Until(roundAt.Add(5 * time.Second)))
	}
	for _, ref := range refs {
		mu.Lock()
		silent := time.Since(lastAnswer[ref])
		mu.Unlock()
		if silent > silence {
			note("RULE BROKEN: forgotten: no question about %s was answered for %.0f s after all troubles were over", ref, silent.Seconds())
			code = ruleBroken
		}
	}
	for _, n := range d.nodes {
		note("%s: %d KB resident, ended by itself: %v", n.name, n.residentKB(), n.hasExited())
	}
	return code
}

func init() { cases["history"] = runHistory }
