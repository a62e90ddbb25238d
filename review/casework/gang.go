package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = runGang }

// The settings are those of quito-egresados.
const egresadosParams = `[params]
nodes = 3
zones = ["quito-norte"]
clock_error_ms = 1000.0
[[params.teams]]
name = "registro"
cpus = 520.0
cpus_max = 1744.0
gpus = 40.0
gpus_max = 88.0
[[params.teams]]
name = "relaciones"
cpus = 584.0
cpus_max = 1456.0
gpus = 48.0
gpus_max = 144.0
[[params.objectives]]
kind = "wait"
class = "padron-sync"
within_s = 8.0
share = 0.92
[[params.objectives]]
kind = "wait"
class = "padron-sync"
within_s = 18.0
share = 0.97
[[params.objectives]]
kind = "finished"
class = "padron-sync"
within_s = 180.0
share = 0.95
[[params.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.88
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

// runGang: gangs come several times as often, and the cloud has no machine left for one of
// them. Other work comes after them.
func runGang(trouble bool) int {
	state := newState(100, 25, 32, 16, 6*time.Millisecond)
	w := newWorld()
	types := []machineType{{"oficina-sixteen", 16, 0, 64, 60, 0.2, 0.86, 0.2, 2, []string{"quito-norte"}}}
	cloud := newCloud(w, types, 3, 5, 3*time.Second, 50*time.Millisecond, workerTimes{2500 * time.Millisecond, 18 * time.Second})
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2"}, "quito-norte", state.Address, cloud.Address, egresadosParams)
	cloud.nodes, cloud.noSpot = d.nodes, true
	for _, n := range d.nodes {
		n.start()
	}
	if !waitHealthy(d.nodes, 15*time.Second) {
		cannotRun("not healthy")
	}
	time.Sleep(time.Second)
	add := func(job map[string]any, runs time.Duration) {
		w.add(job, runs)
		if code := submit(d.nodes, job); code != 201 && code != 200 {
			cannotRun("%s isn't accepted: %d", job["ref"], code)
		}
		note("%s (%s, %s, %d tasks of %v cores) is accepted", job["ref"], job["shape"], job["rank"], job["pieces"], job["cores"])
	}
	waitFor := func(ref string, tasks int) {
		for w.onMachines(ref) < tasks {
			if time.Since(startedAt) > 40*time.Second {
				cannotRun("%s doesn't run", ref)
			}
			time.Sleep(100 * time.Millisecond)
		}
		note("%s runs", ref)
	}
	service := arrayJob("j-000001", "register-desk", "registro", 1, 15, 51, 0)
	service["shape"], service["rank"], service["loaners"] = "service", "critical", false
	add(service, time.Hour)
	waitFor("j-000001", 1)
	gang := func(ref string, pieces int) map[string]any {
		job := arrayJob(ref, "padron-sync", "relaciones", pieces, 15, 51, 100)
		job["shape"], job["rank"], job["loaners"], job["keepsakeS"], job["stowS"] = "gang", "urgent", false, 15.0, 5.0
		return job
	}
	add(gang("j-000002", 1), 100*time.Second)
	waitFor("j-000002", 1)
	if trouble {
		add(gang("j-000003", 3), 100*time.Second)
		add(gang("j-000004", 3), 100*time.Second)
	}
	time.Sleep(8 * time.Second)
	const cores, memory = 2, 6.4
	array := arrayJob("j-000005", "register-check", "registro", 6, cores, memory, 20)
	array["rank"] = "idle"
	add(array, 10*time.Second)
	var waitsSince time.Time // since when a machine that fits has had room, and nothing of the job runs
	for i := 0; ; i++ {
		time.Sleep(500 * time.Millisecond)
		if w.onMachines("j-000005") > 0 || w.doneCount("j-000005") > 0 {
			note("j-000005 has begun")
			return ruleHeld
		}
		room, line := false, ""
		cloud.mu.Lock()
		for _, m := range cloud.machines {
			m.worker.mu.Lock()
			if m.goneAt.IsZero() && m.worker.tenure > 0 {
				free, freeMemory, tasks := m.size.Cores, m.size.MemoryGb, ""
				for _, task := range m.worker.tasks {
					tasks += " " + task.Piece + " " + task.Status
					if task.Status != "ended" {
						free, freeMemory = free-task.spec.cores, freeMemory-task.spec.memoryGb
					}
				}
				room = room || free >= cores && freeMemory >= memory
				line += fmt.Sprintf(" %s: %v cores, %.1f GB free,%s;", m.ref, free, freeMemory, tasks)
			}
			m.worker.mu.Unlock()
		}
		cloud.mu.Unlock()
		if !room {
			waitsSince = time.Time{}
		} else if waitsSince.IsZero() {
			waitsSince = time.Now()
		}
		if i%10 == 9 {
			code, raw := ask("GET", d.nodes[i%len(d.nodes)].serve, "/work/j-000005", nil, pollTimeout)
			note("%d %s%s", code, raw, line)
		}
		if !waitsSince.IsZero() && time.Since(waitsSince) > leftWaiting {
			note("RULE BROKEN: j-000005 has been left waiting for more than %v while machines that fit have room", leftWaiting)
			return ruleBroken
		}
		if time.Since(startedAt) > 117*time.Second {
			cannotRun("no machine had room for long enough")
		}
	}
}
