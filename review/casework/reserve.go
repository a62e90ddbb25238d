package main

import (
	"fmt"
	"time"
)

// The settings are those of tshwane-transit-vision.
const visionParams = `[params]
nodes = 3
zones = ["hatfield-yard"]
clock_error_ms = 25.0
[[params.teams]]
name = "depot-eyes-00"
cpus = 0.0
cpus_max = 0.0
gpus = 1500.0
gpus_max = 15000.0
[[params.teams]]
name = "depot-eyes-01"
cpus = 0.0
cpus_max = 0.0
gpus = 1500.0
gpus_max = 15000.0
[[params.objectives]]
kind = "wait"
class = "feed-watch"
within_s = 50.0
share = 0.94
[[params.objectives]]
kind = "deadline"
class = "clip-sift"
share = 0.88
times = 1.0
[[params.objectives]]
kind = "guarantee"
within_s = 40.0
share = 0.95
[params.workers]
report_s = 8.0
lease_s = 38.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 58.0
[params.state]
rps = 100.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 4.0
list_lag_s = 4.0
[params.quota]
cores = 0.18
ram_mb = 179.0
fd_limit = 2000
`

// leftWaiting is how long a job may be left waiting while a machine that fits has room.
const leftWaiting = 90 * time.Second

// runReserve: a job without GPUs comes while services use some of a machine's GPUs, and the
// cloud has no further machine.
func runReserve(trouble bool) int {
	state := newState(100, 25, 4, 12, 3*time.Millisecond)
	w := newWorld()
	types := []machineType{{"lens-rig", 96, 8, 768, 120, 0.8, 27.46, 6.52, 1, []string{"hatfield-yard"}}}
	cloud := newCloud(w, types, 1, 4, 4*time.Second, 50*time.Millisecond, workerTimes{8 * time.Second, 38 * time.Second})
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2"}, "hatfield-yard", state.Address, cloud.Address, visionParams)
	cloud.nodes = d.nodes
	for _, n := range d.nodes {
		n.start()
	}
	if !waitHealthy(d.nodes, 15*time.Second) {
		cannotRun("not healthy")
	}
	time.Sleep(time.Second)
	const replicas = 6
	service := arrayJob("j-000001", "feed-watch", "depot-eyes-00", replicas, 8, 58, 0)
	service["shape"], service["rank"], service["gpus"], service["loaners"] = "service", "critical", 1.0, false
	if trouble {
		w.add(service, time.Hour)
		if code := submit(d.nodes, service); code != 201 && code != 200 {
			cannotRun("the service isn't accepted: %d", code)
		}
		for w.onMachines("j-000001") < replicas {
			if time.Since(startedAt) > 60*time.Second {
				cannotRun("the service doesn't run")
			}
			time.Sleep(100 * time.Millisecond)
		}
		note("the service j-000001 runs: %d tasks with 8 of 96 cores and 1 of 8 GPUs each", replicas)
	}
	job := arrayJob("j-000002", "route-analysis", "depot-eyes-01", 1, 40, 60, 20)
	job["loaners"] = false
	w.add(job, 10*time.Second)
	if code := submit(d.nodes, job); code != 201 && code != 200 {
		cannotRun("the job isn't accepted: %d", code)
	}
	acceptedAt := time.Now()
	note("j-000002 is accepted: one task of 40 cores, 60 GB and no GPU, of a team without a limit on cores")
	var roomSince time.Time // since when a machine that fits has had room
	for i := 0; ; i++ {
		time.Sleep(500 * time.Millisecond)
		if w.onMachines("j-000002") > 0 || w.doneCount("j-000002") > 0 {
			note("j-000002 began %.1f s after it was accepted", time.Since(acceptedAt).Seconds())
			return ruleHeld
		}
		room, line := false, ""
		cloud.mu.Lock()
		for _, m := range cloud.machines {
			if !m.goneAt.IsZero() {
				continue
			}
			m.worker.mu.Lock()
			cores, memory := m.size.Cores, m.size.MemoryGb
			for _, task := range m.worker.tasks {
				if task.Status != "ended" {
					cores, memory = cores-task.spec.cores, memory-task.spec.memoryGb
				}
			}
			up := m.worker.tenure > 0 && !m.worker.dead
			m.worker.mu.Unlock()
			room = room || up && cores >= 40 && memory >= 60
			line += fmt.Sprintf("%s, up: %v, free: %v cores, %v GB; ", m.ref, up, cores, memory)
		}
		cloud.mu.Unlock()
		if !room {
			roomSince = time.Time{}
		} else if roomSince.IsZero() {
			roomSince = time.Now()
		}
		if i%10 == 9 {
			code, raw := ask("GET", d.nodes[i%len(d.nodes)].serve, "/work/j-000002", nil, pollTimeout)
			note("%d %s %s", code, raw, line)
		}
		if since := max(acceptedAt.UnixNano(), roomSince.UnixNano()); !roomSince.IsZero() && time.Now().UnixNano()-since > int64(leftWaiting) {
			note("RULE BROKEN: j-000002 has been left waiting for more than %v while a machine that fits has room", leftWaiting)
			return ruleBroken
		}
		if time.Since(startedAt) > 116*time.Second {
			cannotRun("no machine had room for long enough")
		}
	}
}

func init() { cases["reserve"] = runReserve }
