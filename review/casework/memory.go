package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = runMemory }

// The settings are those of tshwane-gamevault-fleet.
const fleetParams = `[params]
nodes = 3
zones = ["centurion-hall", "mamelodi-annex", "pretoria-central", "soshanguve-hub"]
clock_error_ms = 100.0
[[params.teams]]
name = "player-support"
cpus = 3000.0
cpus_max = 6000.0
gpus = 150.0
gpus_max = 300.0
[[params.teams]]
name = "library-systems"
cpus = 5000.0
cpus_max = 15000.0
gpus = 250.0
gpus_max = 500.0
[[params.teams]]
name = "inventory-keepers"
cpus = 2000.0
cpus_max = 6000.0
gpus = 120.0
gpus_max = 400.0
[[params.teams]]
name = "archive-desk"
cpus = 5000.0
cpus_max = 15000.0
gpus = 300.0
gpus_max = 900.0
[[params.objectives]]
kind = "wait"
class = "restore-gang"
within_s = 250.0
share = 0.88
[[params.objectives]]
kind = "finished"
class = "restore-gang"
within_s = 400.0
share = 0.92
[[params.objectives]]
kind = "deadline"
class = "texture-bake"
share = 0.55
times = 1.0
[[params.objectives]]
kind = "deadline"
class = "texture-bake"
share = 0.85
times = 1.75
[[params.objectives]]
kind = "finished"
class = "save-merge"
within_s = 150.0
share = 0.93
[[params.objectives]]
kind = "finished"
class = "save-merge"
within_s = 300.0
share = 0.992
[[params.objectives]]
kind = "guarantee"
within_s = 30.0
share = 0.96
[[params.objectives]]
kind = "wait"
class = "save-merge"
within_s = 100.0
share = 0.995
[params.workers]
report_s = 5.0
lease_s = 26.5
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 46.5
[params.state]
rps = 300.0
write_rps = 90.0
value_kb = 32.0
txn_ops = 24
[params.cloud]
rps = 12.0
list_lag_s = 5.0
[params.quota]
cores = 0.384
ram_mb = 220.0
fd_limit = 3205
`

const (
	memoryLimitKB = 220_000_000 / 1024
	fleetRestart  = 4 * time.Second // the site's restart_delay_s
	startEvery    = 8 * time.Second // the controllers start one after the other
)

// runMemory: a deployment that has been in service for some days, whose platform ends
// processes that hold more than the settings' ram_mb.
func runMemory(trouble bool) int {
	state := newState(300, 90, 32, 24, 6*time.Millisecond)
	w := newWorld()
	types := []machineType{{"kiosk-box", 4, 0, 16, 25, 0.25, 0.24, 0.07, 8, []string{"pretoria-central"}}}
	cloud := newCloud(w, types, 8, 12, 5*time.Second, 50*time.Millisecond, workerTimes{5 * time.Second, 26500 * time.Millisecond})
	d := newDeployment([]string{"weirhost-0", "weirhost-1", "weirhost-2"}, "pretoria-central", state.Address, cloud.Address, fleetParams)
	cloud.nodes = d.nodes
	paths := make([]string, envInt("CASE_HISTORY", 1_000_000))
	at := time.Now().Add(-time.Hour).UnixMilli()
	for i := range paths {
		paths[i] = fmt.Sprintf("job/j-%06d", i)
	}
	state.preload(paths, func(i int) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"end":"done","pieces":%d,"atMs":%d}`, 1+i%30, at))
	})
	note("the state service has the ends of %d jobs", len(paths))
	refs := []string{"j-000000", "j-004711", fmt.Sprintf("j-%06d", len(paths)-1)}
	var kills atomic.Int32
	for i, n := range d.nodes {
		go func() {
			time.Sleep(time.Duration(i) * startEvery) // one after the other
			n.start()
			for range time.Tick(500 * time.Millisecond) {
				kb := n.anonymousKB()
				if !trouble || kb <= memoryLimitKB {
					continue
				}
				note("%s holds %d KB, more than the %d of its settings: the platform ends it", n.name, kb, memoryLimitKB)
				n.kill()
				kills.Add(1)
				time.Sleep(fleetRestart)
				n.start()
			}
		}()
	}
	// All controllers have been started once, and nothing else happens.
	over := startedAt.Add(2*startEvery + 3*time.Second)
	lastAnswer := map[string]time.Time{}
	for time.Since(over) < silence+3*time.Second {
		answered, most := 0, 0
		var mu sync.Mutex
		var polls sync.WaitGroup
		for _, n := range d.nodes {
			most = max(most, n.anonymousKB())
			for _, ref := range refs {
				polls.Go(func() {
					code, raw := ask("GET", n.serve, "/work/"+ref, nil, pollTimeout)
					if code != 200 || parseJobAnswer(raw).Status != "done" {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					answered++
					lastAnswer[ref] = time.Now()
				})
			}
		}
		polls.Wait()
		note("answers 200: %d of %d; most memory of a controller %d KB; ended by the platform %d times; %v", answered, len(refs)*len(d.nodes), most, kills.Load(), state.counters())
		if answered == len(refs)*len(d.nodes) && time.Since(over) > 20*time.Second {
			break
		}
		time.Sleep(2 * time.Second)
	}
	code := ruleHeld
	for _, ref := range refs {
		silent := time.Since(over)
		if at := lastAnswer[ref]; at.After(over) {
			silent = time.Since(at)
		}
		if silent > silence {
			note("RULE BROKEN: forgotten: no question about %s was answered for %.0f s", ref, silent.Seconds())
			code = ruleBroken
		}
	}
	return code
}

// anonymousKB returns the memory that a controller holds, without the program's own file.
func (n *node) anonymousKB() int { return n.statusKB("RssAnon") }
