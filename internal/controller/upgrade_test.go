package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
)

// The records of the version in production, as it reads and writes them. It drops fields that
// are not listed here, and stops at keys that it does not know.
type (
	prodSubmission struct {
		ID           string   `json:"ref"`
		Class        string   `json:"jobclass"`
		Team         string   `json:"owner"`
		Kind         string   `json:"shape"`
		Priority     string   `json:"rank"`
		Tasks        int      `json:"pieces"`
		Cores        float64  `json:"cores"`
		GPUs         float64  `json:"gpus"`
		MemoryGB     float64  `json:"memoryGb"`
		Image        string   `json:"bundle"`
		ImageGB      float64  `json:"imageGb"`
		MachineTypes []string `json:"builds,omitempty"`
		Zone         *string  `json:"yard,omitempty"`
		SameZone     bool     `json:"samePlace,omitempty"`
		Spread       bool     `json:"apart,omitempty"`
		AllowsSpot   bool     `json:"loaners,omitempty"`
		EstimateS    float64  `json:"guessS"`
		CheckpointS  float64  `json:"keepsakeS"`
		SaveS        float64  `json:"stowS"`
		DeadlineS    *float64 `json:"dueS,omitempty"`
		AcceptedMs   int64    `json:"atMs,omitempty"`
	}
	prodJob struct {
		Spec  *prodSubmission `json:"spec,omitempty"`
		End   string          `json:"end,omitempty"`
		Tasks int             `json:"pieces,omitempty"`
	}
	prodMachine struct {
		MachineType string                 `json:"build"`
		Zone        string                 `json:"yard"`
		Spot        bool                   `json:"spot,omitempty"`
		Tasks       map[string][][2]uint64 `json:"pieces,omitempty"`
	}
	prodBundle struct {
		Machines map[string]*prodMachine `json:"hosts,omitempty"`
		Done     map[string][]byte       `json:"done,omitempty"`
	}
	prodLeader struct {
		Node    string `json:"node"`
		Session uint64 `json:"session"`
	}
	prodGrant struct {
		Holder  string                     `json:"holder"`
		Session uint64                     `json:"session"`
		Credit  map[string]model.Resources `json:"credit"`
	}
	prodMachineTypes struct {
		MachineTypes []model.MachineType `json:"builds"`
	}
)

// reencodeAsProduction returns a record as the version in production reads it and would write
// it back. It fails where that version would stop.
func reencodeAsProduction(path string, value json.RawMessage) (json.RawMessage, error) {
	var record any
	switch kind, rest, _ := strings.Cut(path, "/"); {
	case kind == "job" && rest != "" && !strings.Contains(rest, "/"):
		record = new(prodJob)
	case kind == "bound":
		record = new(prodBundle)
	case kind == "leader":
		record = new(prodLeader)
	case kind == "grant":
		record = new(prodGrant)
	case kind == "flavors":
		record = new(prodMachineTypes)
	case kind == "node":
		return value, nil
	default:
		return nil, fmt.Errorf("unknown key %s", path)
	}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", path, err)
	}
	if j, ok := record.(*prodJob); ok && j.Spec == nil && j.End == "" {
		return nil, fmt.Errorf("%s has neither a specification nor an end", path)
	}
	return json.Marshal(record)
}

// valueAsRead returns a stored value as the node's version reads it.
func (n *simNode) valueAsRead(path string, value json.RawMessage) json.RawMessage {
	if !n.runsProductionVersion || path == "" {
		return value
	}
	v, err := reencodeAsProduction(path, value)
	if err != nil {
		panic("the version in production stops: " + err.Error())
	}
	return v
}

// txnAsWritten returns a transaction as the node's version writes it.
func (n *simNode) txnAsWritten(txn *state.Txn) *state.Txn {
	if !n.runsProductionVersion {
		return txn
	}
	out := &state.Txn{Conditions: txn.Conditions}
	for _, op := range txn.Then {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			panic(err)
		}
		op.Value = n.valueAsRead(op.Set, raw)
		out.Then = append(out.Then, op)
	}
	return out
}

// settingsWithNextLimits returns settings that announce much lower limits of the state service.
func settingsWithNextLimits(name string) *config.Settings {
	settings := simSettings(name)
	kb, ops, rate := 2.0, 5, 18.0
	next := &settings.Params.State.Next
	next.ValueKB, next.TxnOps, next.WriteRPS = &kb, &ops, &rate
	return settings
}

// restartAs restarts a node at once, with the version in production or the new one.
func (n *simNode) restartAs(production bool) {
	n.crash()
	n.runsProductionVersion = production
	n.start()
}

// restartAllAsProduction restarts all nodes with the version in production.
func (sim *simDeployment) restartAllAsProduction() {
	for _, n := range sim.nodes {
		n.restartAs(true)
	}
}

// storedEntries returns everything that the state service stores.
func (sim *simDeployment) storedEntries() []state.Entry {
	sim.t.Helper()
	entries, _, err := sim.state.List("node-0")
	if err != nil {
		sim.t.Fatal(err)
	}
	return entries
}

// requireReadableByProduction fails if the version in production can't read a record, or loses
// some of it when it writes it back. It returns the kind of the record.
func requireReadableByProduction(t *testing.T, entry state.Entry) string {
	t.Helper()
	raw, err := reencodeAsProduction(entry.Path, entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	var ours, theirs map[string]any
	if json.Unmarshal(entry.Value, &ours) != nil || json.Unmarshal(raw, &theirs) != nil {
		t.Fatalf("%s is not a JSON object: %s", entry.Path, entry.Value)
	}
	if delete(ours, "atMs"); fmt.Sprint(ours) != fmt.Sprint(theirs) {
		t.Fatalf("%s is stored as %s, but the version in production reads it as %s", entry.Path, entry.Value, raw)
	}
	kind, _, _ := strings.Cut(entry.Path, "/")
	return kind
}

// countDenseRecords returns the number of records that the version in production refuses to
// read. These may only be bundles.
func (sim *simDeployment) countDenseRecords() (refused int) {
	sim.t.Helper()
	for _, e := range sim.storedEntries() {
		if _, err := reencodeAsProduction(e.Path, e.Value); err != nil {
			refused++
			if !strings.HasPrefix(e.Path, "bound/") {
				sim.t.Fatal(err)
			}
		}
	}
	return refused
}

// restartUpgraded crashes a node and starts it with the new version up to five seconds later.
func (n *simNode) restartUpgraded() {
	n.crash()
	n.sim.After(n.sim.Between(100*model.Millisecond, 5*model.Second), func() {
		n.runsProductionVersion = false
		if !n.alive {
			n.start()
		}
	})
}

// rollingUpgrade upgrades all nodes one after the other, and then calls done.
func (sim *simDeployment) rollingUpgrade(start, interval model.Micros, done func()) {
	for i, n := range sim.nodes {
		sim.At(start+model.Micros(i)*interval, n.restartUpgraded)
	}
	sim.At(start+model.Micros(len(sim.nodes))*interval+6*model.Second, done)
}

// submitPipeline submits dependent jobs, each once the jobs that it awaits are accepted: a
// first one, an array and a gang that await it, and a last one that awaits both and has a
// deadline. If cancelAfter is not 0, it cancels one of them after that time.
func (sim *simDeployment) submitPipeline(first int, cancelAfter model.Micros) (jobs []*user) {
	cancelIndex := sim.Rand.IntN(4)
	add := func(submission *model.Submission, onAccepted func()) *user {
		cancelDelay := model.Micros(0)
		if cancelAfter > 0 && submission.ID == arrayJob(first+cancelIndex, 1, 1).ID {
			cancelDelay = cancelAfter
		}
		job := sim.submit(submission, cancelDelay)
		job.onAccepted = onAccepted
		jobs = append(jobs, job)
		return job
	}
	root, array, gang, last := arrayJob(first, 1+sim.Rand.IntN(6), 4), arrayJob(first+1, 1+sim.Rand.IntN(12), 6), gangJob(first+2, 1+sim.Rand.IntN(3), 6), arrayJob(first+3, 2, 3)
	root.Priority, array.Priority, gang.Priority, last.Priority = "idle", "idle", "standard", "urgent"
	deadline := 60.0
	last.DeadlineS = &deadline
	array.Awaits, gang.Awaits, last.Awaits = []string{root.ID}, []string{root.ID}, []string{array.ID, gang.ID}
	add(root, func() {
		add(array, func() {
			add(gang, func() { add(last, nil) })
		})
	})
	return jobs
}

// Records that the version in production wrote must be read with their meaning unchanged.
func TestProductionRecordsAreRead(t *testing.T) {
	view := state.NewView()
	for revision, entry := range [][2]string{
		{"job/j-000001", `{"spec":{"ref":"j-000001","jobclass":"c","owner":"red","shape":"sweep","rank":"urgent","pieces":3,"cores":2,"gpus":0,"memoryGb":4,"bundle":"img","imageGb":1,"loaners":true,"guessS":5,"keepsakeS":0,"stowS":0,"dueS":90,"atMs":1000}}`},
		{"bound/b0/0", `{"hosts":{"host-000001":{"build":"small","yard":"a","spot":true,"pieces":{"j-000001":[[1,4194305],[2,4194306]]}},"host-000002":null},"done":{"j-000001":"AQ=="}}`},
		{"job/j-000002", `{"end":"done","pieces":4}`},
		{"job/j-000003", `{"spec":{"ref":"j-000003","jobclass":"c","owner":"red","shape":"gang","rank":"idle","pieces":1,"cores":2,"gpus":0,"memoryGb":4,"bundle":"img","imageGb":1,"guessS":5,"keepsakeS":0,"stowS":0,"atMs":1000},"end":"withdrawn"}`},
		{"leader", `{"node":"node-0","session":7}`},
		{"grant/b0", `{"holder":"node-0","session":7,"credit":{"red":{"Cores":40000,"GPUs":8000,"Mem":0}}}`},
		{"flavors", `{"builds":[{"label":"small","cores":8,"gpus":0,"memoryGb":32,"cacheGb":20,"fetchGbPerS":1,"price":1,"lowPrice":0.3,"bootS":5,"yards":["a"]}]}`},
		{"node/node-0", `{"session":7,"serve":"10.0.0.1:8080"}`},
	} {
		if _, err := reencodeAsProduction(entry[0], json.RawMessage(entry[1])); err != nil {
			t.Fatalf("not a record of the version in production: %v", err)
		}
		if ok, err := view.Set(entry[0], json.RawMessage(entry[1]), uint64(revision+5)); !ok || err != nil {
			t.Errorf("reading %s: %v, error %v", entry[0], ok, err)
		}
	}
	if status, done, running, _ := view.Status("j-000001"); status != "running" || done != 1 || running != 2 {
		t.Errorf("j-000001 is %s, %d done, %d running; want running, 1, 2", status, done, running)
	}
	for id, want := range map[string]string{"j-000002": "done", "j-000003": "withdrawn"} {
		if status, _, _, _ := view.Status(id); status != want {
			t.Errorf("%s is %s, want %s", id, status, want)
		}
	}
	j := view.Jobs["j-000001"]
	if !j.Ready() || j.ReadyMs() != 1000 || j.Job().Deadline != 90*model.Second || j.Job().Priority != model.HighPriority {
		t.Errorf("j-000001 is read as %+v; want ready from 1000 ms, deadline 90 s, high priority", j.Job())
	}
	// The times of a job that awaits a job that the version in production ended count from its
	// own submission.
	view.Put("job/j-000004", shard.JobRecord{Spec: &model.Submission{ID: "j-000004", Tasks: 1, AcceptedMs: 9000, Awaits: []string{"j-000002"}}}, 30)
	if j := view.Jobs["j-000004"]; !j.Ready() || j.ReadyMs() != 9000 {
		t.Errorf("j-000004: ready %v from %d ms, want true from 9000 ms", j.Ready(), j.ReadyMs())
	}
}

// While any controller may run the version in production, that version must be able to read
// everything that the others write, and must not lose fields that it knows when it writes a
// record back. Once no controller may run it, bundles are written in the dense layout; at
// these it would stop instead of misreading them.
func TestProductionReadsNewRecords(t *testing.T) {
	sim := newDeployment(t, 51, settingsWithNextLimits, cloudCapacity(4, 2))
	oldNode := sim.nodes[2]
	oldNode.restartAs(true)
	for i := range 8 {
		sim.submit(arrayJob(i, 6, 8), model.Micros(i%3)*10*model.Second)
		sim.submit(gangJob(20+i, 1+i%3, 8), 0)
	}
	kinds := map[string]bool{}
	for range 40 {
		sim.Run(sim.Now + model.Second)
		for _, e := range sim.storedEntries() {
			kinds[requireReadableByProduction(t, e)] = true
		}
	}
	if len(kinds) != 6 {
		t.Errorf("records of kinds %v were written, want 6 kinds", kinds)
	}
	oldNode.restartAs(false)
	sim.submit(arrayJob(50, 10, 20), 0)
	sim.runUntil(30*model.Second, "a dense record is written", func() bool { return sim.countDenseRecords() > 0 })
	// A leader that has not seen the other controllers decides by the stored records.
	for _, n := range sim.nodes {
		n.crash()
	}
	sim.nodes[0].start()
	sim.waitForLeader(20 * model.Second)
	if !sim.nodes[0].ctl.usesDenseLayout() {
		t.Error("a leader without the other controllers uses the plain layout again")
	}
	sim.nodes[1].start()
	sim.nodes[2].start()
	sim.Run(sim.Now + 90*model.Second)
	sim.requireInvariants()
	for id := range sim.invariants.Accepted {
		if sim.invariants.ReportedEnd(id) == "" {
			t.Errorf("accepted job %s never ended", id)
		}
	}
}

// The old and the new version serve, lead and hold grants side by side under failures. Then
// the limits of the state service are lowered and pipelines are submitted. No invariant may be
// violated, and every accepted job must stay known and end. A node that crashes before it is
// upgraded restarts with the old version.
func TestUpgradeUnderFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newDeployment(t, rapid.Uint64().Draw(rt, "seed"), withFDLimit(rapid.SampledFrom([]int{0, 14}).Draw(rt, "FD limit"), settingsWithNextLimits), cloudCapacity(4, 2))
		sim.restartAllAsProduction()
		sim.submitDuringUpgrade()
		interval := sim.Between(3*model.Second, 15*model.Second)
		after := &afterUpgrade{simDeployment: sim}
		sim.rollingUpgrade(sim.Between(10*model.Second, 40*model.Second), interval, after.begin)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			kind := rapid.IntRange(0, upgradeFaultKinds-1).Draw(rt, "kind")
			duration := sim.Between(model.Second, 25*model.Second)
			sim.At(sim.Between(10*model.Second, 130*model.Second), func() { injectFault(sim, kind, duration) })
		}
		sim.duplicateHeartbeatChance = rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "duplicate heartbeat chance")
		sim.At(160*model.Second, func() {
			for _, n := range sim.nodes {
				n.setStateLink(linkOpen)
				n.reachableByWorkers, n.peersCutOff = true, false
			}
			clear(sim.responsesLost)
			sim.duplicateHeartbeatChance = 0
			sim.invariants.FaultsOverAt = sim.Now
		})
		sim.Run(520 * model.Second)
		if !after.limitsLowered || after.pipelines != 4 {
			rt.Fatalf("limits lowered: %v, %d pipelines submitted; want true, 4", after.limitsLowered, after.pipelines)
		}
		requireInvariantsAndEnds(rt, sim)
		if sim.state.TooBigTxns > 0 {
			rt.Fatalf("%d transactions exceeded the limits that had been announced", sim.state.TooBigTxns)
		}
	})
}

// upgradeFaultKinds is the number of faults that are drawn during an upgrade: the first ones
// of the list.
const upgradeFaultKinds = 14

// submitDuringUpgrade schedules arrays and gangs at random times, and cancels some.
func (sim *simDeployment) submitDuringUpgrade() {
	for i := range 14 {
		sim.At(sim.Between(0, 110*model.Second), func() {
			submission := arrayJob(i, 1+sim.Rand.IntN(12), float64(2+sim.Rand.IntN(25)))
			if sim.Chance(0.3) {
				submission = gangJob(i, 1+sim.Rand.IntN(4), float64(2+sim.Rand.IntN(25)))
			}
			sim.submit(submission, model.Micros(sim.Rand.IntN(3)/2)*sim.Between(model.Second, 30*model.Second))
		})
	}
}

// afterUpgrade submits pipelines and lowers the limits of the state service once all nodes
// run the new version.
type afterUpgrade struct {
	*simDeployment
	pipelines     int
	limitsLowered bool
}

func (a *afterUpgrade) begin() {
	for i := range 4 {
		a.After(a.Between(0, 60*model.Second), func() {
			cancelDelay := model.Micros(0)
			if a.Chance(0.4) {
				cancelDelay = a.Between(model.Second, 20*model.Second)
			}
			a.pipelines++
			a.submitPipeline(100+10*i, cancelDelay)
		})
	}
	a.After(a.Between(0, 40*model.Second), func() {
		a.state.LowerLimits(2, 5, 18)
		a.limitsLowered = true
	})
}

// The limits of the state service are lowered during a takeover, while large bundles of the
// version in production are still stored, and a machine has more tasks than fit into a value
// now. All of these must be processed, and no job may be lost or get stuck.
func TestStateLimitsLoweredDuringTakeover(t *testing.T) {
	sim := newDeployment(t, 52, settingsWithNextLimits, cloudCapacity(6, 2))
	sim.restartAllAsProduction()
	var jobs []*user
	for i := range 3 {
		submission := arrayJob(i, 400, 25)
		submission.Cores, submission.MemoryGB = 0.05, 0.1
		jobs = append(jobs, sim.submit(submission, 0))
	}
	sim.runUntil(60*model.Second, "more than 700 tasks are on machines", func() bool { return sim.invariants.TasksOnMachines() > 700 })
	largest := func() (size int) {
		for _, e := range sim.storedEntries() {
			size = max(size, len(e.Value))
		}
		return size
	}
	if n := largest(); n < 4096 {
		t.Fatalf("the largest value has %d bytes, want at least 4096", n)
	}
	for _, n := range sim.nodes {
		n.crash()
		n.runsProductionVersion = false
		sim.After(sim.Between(0, 2*model.Second), n.start)
	}
	sim.After(500*model.Millisecond, func() { sim.state.LowerLimits(2, 5, 18) })
	for i := 10; i < 14; i++ {
		jobs = append(jobs, sim.submit(arrayJob(i, 20, 5), 0))
	}
	sim.runUntil(300*model.Second, "all jobs are done", func() bool { return allReportedDone(jobs) })
	if sim.state.TooBigTxns > 0 {
		t.Errorf("%d transactions exceeded the limits", sim.state.TooBigTxns)
	}
	sim.requireInvariants()
}

// Limits that are lowered without announcement must be detected: refused changes are split
// again into smaller transactions, and work continues.
func TestStateLimitsLoweredUnannounced(t *testing.T) {
	sim := newSmallDeployment(t, 53)
	var jobs []*user
	for i := range 3 {
		jobs = append(jobs, sim.submit(arrayJob(i, 30, 10), 0))
	}
	sim.runUntil(60*model.Second, "more than 5 tasks are on machines", func() bool { return sim.invariants.TasksOnMachines() > 5 })
	sim.state.LowerLimits(2, 4, 20)
	for i := 10; i < 40; i++ {
		jobs = append(jobs, sim.submit(arrayJob(i, 6, 5), 0))
	}
	sim.runUntil(400*model.Second, "all jobs are done", func() bool { return allReportedDone(jobs) })
	sim.requireInvariants()
}

// A job that was accepted under larger limits can be cancelled under smaller ones, and a
// leader can be elected although the limits of all teams do not fit into its grant.
func TestCancellationAndElectionUnderLoweredLimits(t *testing.T) {
	settings := func(name string) *config.Settings {
		s := settingsWithNextLimits(name)
		for i := range 60 {
			s.Params.Teams = append(s.Params.Teams, config.Team{Name: fmt.Sprintf("team-%d-of-many", i), CPUsMax: 10})
		}
		return s
	}
	sim := newDeployment(t, 54, settings, cloudCapacity(4, 2))
	sim.restartAllAsProduction()
	sim.waitForLeader(10 * model.Second)
	submission := arrayJob(1, 4, 60)
	submission.Image = strings.Repeat("x", 5000)
	job := sim.submit(submission, 0)
	sim.waitForRunningTasks(4)
	for _, n := range sim.nodes {
		n.restartAs(false)
	}
	sim.state.LowerLimits(2, 5, 18)
	sim.waitForLeader(20 * model.Second)
	sim.invariants.CancelRequested(submission.ID)
	job.sendCancel()
	sim.runUntil(10*model.Second, "the cancellation is confirmed", func() bool { return sim.invariants.ReportedEnd(submission.ID) == "withdrawn" })
	sim.runUntil(38*model.Second, "no task of the job is on a machine", func() bool { return sim.invariants.TasksOnMachines() == 0 })
	if sim.state.TooBigTxns > 0 {
		t.Errorf("%d transactions exceeded the limits", sim.state.TooBigTxns)
	}
	sim.requireInvariants()
}
