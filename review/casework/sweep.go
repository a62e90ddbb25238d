package main

import (
	"time"
)

func init() { cases["sweep"] = runSweep }

// guestTeam is the guest team of quito-egresados-ops.
const guestTeam = `[[params.teams]]
name = "usfq-genealogia"
cpus = 0.0
cpus_max = 5000.0
gpus = 0.0
gpus_max = 100.0
`

// runSweep: a sweep of very many small tasks comes while other work runs.
func runSweep(trouble bool) int {
	state := newState(100, 25, 32, 16, 6*time.Millisecond)
	w := newWorld()
	types := []machineType{
		{"oficina-sixteen", 16, 0, 64, 60, 0.2, 0.86, 0.2, 12, []string{"quito-norte"}},
		{"bodega-gpu", 96, 8, 384, 80, 0.6, 27.16, 6.91, 8, []string{"quito-norte"}},
	}
	cloud := newCloud(w, types, 16, 5, 3*time.Second, 50*time.Millisecond, workerTimes{2500 * time.Millisecond, 18 * time.Second})
	names := []string{"weirhost-0", "weirhost-1", "weirhost-2", "weirhost-3", "weirhost-4"}
	d := newDeployment(names, "quito-norte", state.Address, cloud.Address, quitoParams+guestTeam)
	cloud.nodes = d.nodes
	for _, n := range d.nodes {
		n.start()
	}
	if !waitHealthy(d.nodes, 15*time.Second) {
		cannotRun("not healthy")
	}
	time.Sleep(time.Second)
	other := arrayJob("j-000001", "photo-match", "relaciones", 4, 10, 36, 50)
	other["rank"], other["gpus"] = "idle", 1.0
	w.add(other, 50*time.Second)
	pieces := 300
	if trouble {
		pieces = 5000
	}
	sweep := arrayJob("j-000002", "census-link", "usfq-genealogia", pieces, 0.01, 0.03, 15)
	sweep["rank"] = "idle"
	w.add(sweep, 15*time.Second)
	if code := submit(d.nodes, other); code != 201 && code != 200 {
		cannotRun("a job isn't accepted: %d", code)
	}
	for time.Since(startedAt) < 60*time.Second && w.onMachines("j-000001") < 4 {
		time.Sleep(200 * time.Millisecond)
	}
	if w.onMachines("j-000001") < 4 {
		cannotRun("the first job doesn't run")
	}
	note("j-000001 runs")
	if code := submit(d.nodes, sweep); code != 201 && code != 200 {
		cannotRun("the sweep isn't accepted: %d", code)
	}
	submittedAt := time.Now()
	note("the sweep j-000002 of %d tasks is accepted", pieces)
	done := func(ref string) bool {
		for _, n := range d.nodes {
			if code, raw := ask("GET", n.serve, "/work/"+ref, nil, pollTimeout); code == 200 {
				return parseJobAnswer(raw).Status == "done"
			}
		}
		return false
	}
	for time.Since(submittedAt) < 80*time.Second {
		time.Sleep(5 * time.Second)
		note("j-000001: %d on machines, %d of 4 completed; j-000002: %d on machines, %d of %d completed", w.onMachines("j-000001"), w.doneCount("j-000001"), w.onMachines("j-000002"), w.doneCount("j-000002"), pieces)
		if done("j-000001") && done("j-000002") {
			note("both jobs are done")
			break
		}
	}
	longest, unreadable := 0, 0
	cloud.mu.Lock()
	for _, m := range cloud.machines {
		m.worker.mu.Lock()
		longest, unreadable = max(longest, m.worker.longestLine), unreadable+m.worker.unreadable
		m.worker.mu.Unlock()
	}
	cloud.mu.Unlock()
	note("longest line in an answer to a worker: %d bytes, allowed: %d; answers that could not be read: %d", longest, maxLine, unreadable)
	if longest > maxLine {
		note("RULE BROKEN: an answer to a worker has a line longer than 64 KiB")
		if w.doneCount("j-000002") == 0 {
			note("and no task of the accepted job j-000002 has completed %.0f s after it was accepted", time.Since(submittedAt).Seconds())
		}
		return ruleBroken
	}
	if !done("j-000002") {
		note("j-000002 is not done: %d of %d", w.doneCount("j-000002"), pieces)
	}
	return ruleHeld
}
