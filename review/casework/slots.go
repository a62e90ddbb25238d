package main

import (
	"fmt"
	"sync"
	"time"
)

// The settings are those of quito-egresados-next, with the guest team of
// quito-egresados-ops.
const nextParams = `[params]
nodes = 3
zones = ["quito-norte"]
clock_error_ms = 1000.0
[[params.teams]]
name = "registro"
cpus = 9000.0
cpus_max = 35000.0
gpus = 700.0
gpus_max = 1500.0
[[params.teams]]
name = "relaciones"
cpus = 10000.0
cpus_max = 25000.0
gpus = 800.0
gpus_max = 2500.0
[[params.teams]]
name = "usfq-genealogia"
cpus = 0.0
cpus_max = 10000.0
gpus = 0.0
gpus_max = 100.0
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
[params.state.next]
write_rps = 18.0
value_kb = 2.0
txn_ops = 5
[params.cloud]
rps = 5.0
list_lag_s = 3.0
[params.quota]
cores = 0.18
ram_mb = 125.0
fd_limit = 1500
`

// runSlots: many jobs of one small task each come at once.
func runSlots(trouble bool) int {
	state := newState(100, 25, 32, 16, 3*time.Millisecond)
	w := newWorld()
	types := []machineType{{"oficina-sixteen", 16, 0, 64, 60, 0.2, 0.86, 0.2, 3, []string{"quito-norte"}}}
	cloud := newCloud(w, types, 80, 5, 3*time.Second, 50*time.Millisecond, workerTimes{2500 * time.Millisecond, 18 * time.Second})
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2"}, "quito-norte", state.Address, cloud.Address, nextParams)
	cloud.nodes = d.nodes
	for _, n := range d.nodes {
		n.start()
	}
	if !waitHealthy(d.nodes, 15*time.Second) {
		cannotRun("not healthy")
	}
	time.Sleep(time.Second)
	count := 150
	if !trouble {
		count = 40
	}
	const cores, memory = 0.175, 0.6
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			job := arrayJob(fmt.Sprintf("j-%06d", i), "name-lookups", "usfq-genealogia", 1, cores, memory, 150)
			job["rank"] = "idle"
			w.add(job, 190*time.Second)
			if code := submit(d.nodes, job); code != 200 && code != 201 {
				note("%s isn't accepted: %d", job["ref"], code)
			}
		})
	}
	group.Wait()
	over := time.Now()
	note("%d jobs accepted", count)
	for {
		time.Sleep(5 * time.Second)
		room, line := 0, ""
		cloud.mu.Lock()
		for _, m := range cloud.machines {
			m.worker.mu.Lock()
			if free := m.size.Cores - cores*float64(len(m.worker.tasks)); m.goneAt.IsZero() && m.worker.tenure > 0 {
				room += int(free / cores)
				line += fmt.Sprintf(" %s: %d tasks, %.2f cores free;", m.ref, len(m.worker.tasks), free)
			}
			m.worker.mu.Unlock()
		}
		cloud.mu.Unlock()
		w.mu.Lock()
		running := len(w.onMachine)
		w.mu.Unlock()
		note("on machines: %d of %d;%s", running, count, line)
		if running == count {
			return ruleHeld
		}
		if time.Since(over) > leftWaiting {
			note("RULE BROKEN: %d jobs have been left waiting for more than %v while the machines have room for %d of their tasks", count-running, leftWaiting, room)
			return ruleBroken
		}
	}
}

func init() { cases["slots"] = runSlots }
