package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["limit"] = runLimit }

// runLimit: a gang comes that doesn't fit into what a service leaves of its team's limit.
func runLimit(trouble bool) int {
	state := newState(100, 25, 32, 16, 6*time.Millisecond)
	w := newWorld()
	types := []machineType{{"oficina-sixteen", 16, 0, 64, 60, 0.2, 0.86, 0.2, 2, []string{"quito-norte"}}}
	cloud := newCloud(w, types, 20, 5, 3*time.Second, 50*time.Millisecond, workerTimes{2500 * time.Millisecond, 18 * time.Second})
	const limit = 60
	params := strings.NewReplacer("cpus = 9000.0", "cpus = 30.0", "cpus_max = 30000.0", fmt.Sprintf("cpus_max = %d.0", limit)).Replace(quitoParams)
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2", "weirhost-3", "weirhost-4"}, "quito-norte", state.Address, cloud.Address, params)
	cloud.nodes = d.nodes
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
	service := arrayJob("j-000001", "register-desk", "registro", 2, 15, 51, 0)
	service["shape"], service["rank"], service["loaners"] = "service", "critical", false
	add(service, time.Hour)
	for w.onMachines("j-000001") < 2 {
		if time.Since(startedAt) > 40*time.Second {
			cannotRun("the service doesn't run")
		}
		time.Sleep(100 * time.Millisecond)
	}
	note("the service runs")
	if trouble {
		gang := arrayJob("j-000002", "padron-sync", "registro", 3, 15, 51, 8)
		gang["shape"], gang["rank"], gang["loaners"], gang["keepsakeS"], gang["stowS"] = "gang", "urgent", false, 15.0, 5.0
		add(gang, 8*time.Second)
	}
	time.Sleep(2 * time.Second)
	add(arrayJob("j-000003", "photo-match", "registro", 6, 2, 6.4, 20), 10*time.Second)
	var waitsSince time.Time
	for i := 0; ; i++ {
		time.Sleep(500 * time.Millisecond)
		if w.onMachines("j-000003") > 0 || w.doneCount("j-000003") > 0 {
			note("j-000003 has begun")
			return ruleHeld
		}
		room, used := false, 0.0
		cloud.mu.Lock()
		for _, m := range cloud.machines {
			m.worker.mu.Lock()
			if m.goneAt.IsZero() && m.worker.tenure > 0 {
				free, memory := m.size.Cores, m.size.MemoryGb
				for _, task := range m.worker.tasks {
					if task.Status != "ended" {
						free, memory, used = free-task.spec.cores, memory-task.spec.memoryGb, used+task.spec.cores
					}
				}
				room = room || free >= 2 && memory >= 6.4
			}
			m.worker.mu.Unlock()
		}
		cloud.mu.Unlock()
		if !room || used+2 > limit {
			waitsSince = time.Time{}
		} else if waitsSince.IsZero() {
			waitsSince = time.Now()
		}
		if i%10 == 9 {
			code, raw := ask("GET", d.nodes[i%len(d.nodes)].serve, "/work/j-000003", nil, pollTimeout)
			note("%d %s the team uses %v of %d cores; a machine that fits has room: %v", code, raw, used, limit, room)
		}
		if !waitsSince.IsZero() && time.Since(waitsSince) > leftWaiting {
			note("RULE BROKEN: j-000003 has been left waiting for more than %v while a machine that fits has room and its team is under its limit", leftWaiting)
			return ruleBroken
		}
		if time.Since(startedAt) > 117*time.Second {
			cannotRun("no machine had room for long enough")
		}
	}
}
