package controller

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	if !testing.Verbose() {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	os.Exit(m.Run())
}

// world is a deployment in simulated time.
type simDeployment struct {
	*standin.Sim
	t          *testing.T
	state      *standin.State
	cloud      *standin.Cloud
	invariants *standin.InvariantChecker
	nodes      []*simNode
	users      []*user
	// settings are read by a node whenever it starts.
	settings func(name string) *config.Settings
	policy   func(name string) *duty.Policy // the duties file, nil: none
	cell     *simCell                       // its part among other cells, nil: there are none

	delayedMachines          map[string]bool   // machines whose reports wait until the cut ends
	delayedHeartbeats        []func(*simNode)  // these reports, to be delivered to a node, or to the one they were sent to (nil)
	unreachableNode          map[string]string // machines that can't reach the node
	responsesLost            map[string]bool   // machines whose heartbeats arrive, but which get no response
	duplicateHeartbeatChance float64           // chance that a report arrives once more, up to duplicateDelay later
	duplicateRequestChance   float64           // chance that a request to the state service or the cloud is carried out once more
	relayedHeartbeats        int               // reports that were handed on and answered
	recordedHeartbeats       []func()          // every heartbeat as it was delivered, if recordsHeartbeats is set
	recordsHeartbeats        bool

	heartbeatsBlocked map[string]bool                          // machines that reach no controller
	canReach          func(x *standin.Worker, n *simNode) bool // whether a worker's network reaches a node; nil: it does
	heartbeatLag      model.Micros                             // reports and answers take up to so much longer
	lateWriteChance   float64                                  // chance that a transaction gets no answer and is carried out later
	lateWriteDelay    func() model.Micros                      // how much later
	lateWritesArrived int                                      // such transactions that came to the state service
	lateWritesApplied int                                      // such transactions that changed something
	checksEveryNode   bool                                     // users ask at all nodes when they are told anything
	everyNodeAnswers  int                                      // questions so asked that were answered
	stateLag          model.Micros                             // requests to the state service take up to so much longer
	startedFaults     []string                                 // the drawn faults that have begun, for failure messages
}

// duplicateDelay is well over a lease.
const maxDuplicateDelay = 60 * model.Second

var simMachineTypes = []model.MachineType{
	{Name: "small", Cores: 8, MemoryGB: 32, CacheGB: 20, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
	{Name: "gpu", Cores: 16, GPUs: 4, MemoryGB: 64, CacheGB: 20, FetchGBps: 1, Price: 8, SpotPrice: 2, BootS: 6, Zones: []string{"a", "b"}},
}

func simSettings(name string) *config.Settings {
	settings := &config.Settings{NodeName: name, ServeOn: "10.0.0.1:8080"}
	for _, sibling := range []string{"node-0", "node-1", "node-2"} {
		if sibling != name && len(settings.Siblings) < 2 {
			settings.Siblings = append(settings.Siblings, config.Sibling{NodeName: sibling})
		}
	}
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 40, GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 20, CPUsMax: 30, GPUs: 0, GPUsMax: 4}}
	params := &settings.Params
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.GangWaitS, params.Workers.GangPeerS, params.Workers.CancelS = 2.5, 18, 30, 5, 38
	params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps = 100, 25, 32, 16
	params.Cloud.RPS, params.Cloud.ListLagS = 8, 3
	return settings
}

// sockets are settings with so many sockets.
func withFDLimit(limit int, settings func(name string) *config.Settings) func(name string) *config.Settings {
	return func(name string) *config.Settings {
		s := settings(name)
		s.Params.Quota.FDLimit = limit
		return s
	}
}

// capacity is so many machines of each type in each zone and of each kind.
func cloudCapacity(small, gpu int) map[string]int {
	capacity := map[string]int{}
	for _, zone := range []string{"a", "b"} {
		for _, spot := range []bool{true, false} {
			capacity[fmt.Sprintf("small/%s/%v", zone, spot)] = small
			capacity[fmt.Sprintf("gpu/%s/%v", zone, spot)] = gpu
		}
	}
	return capacity
}

// newWorld is a small deployment: its fleet is soon full.
func newSmallDeployment(t *testing.T, seed uint64) *simDeployment {
	return newDeployment(t, seed, simSettings, cloudCapacity(4, 2))
}

func newDeployment(t *testing.T, seed uint64, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	sim, defaults := standin.NewSim(seed), settings("")
	invariants := standin.NewInvariantChecker(sim, defaults.Teams(), model.Seconds(defaults.Params.Workers.CancelS))
	deployment := newDeploymentWithoutControllers(t, sim, invariants, settings, capacity)
	for i := range 3 {
		deployment.addNode(fmt.Sprintf("node-%d", i))
	}
	return deployment
}

// newCell is a deployment without controllers that shares time and rules with others.
func newDeploymentWithoutControllers(t *testing.T, sim *standin.Sim, invariants *standin.InvariantChecker, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	deployment := &simDeployment{Sim: sim, invariants: invariants, t: t, settings: settings, unreachableNode: map[string]string{}, responsesLost: map[string]bool{}, delayedMachines: map[string]bool{}, heartbeatsBlocked: map[string]bool{}}
	deployment.state = standin.NewState(deployment.Sim)
	workers := settings("").Params.Workers
	deployment.cloud = standin.NewCloud(deployment.Sim, deployment, deployment.invariants, simMachineTypes, standin.WorkerTimes{HeartbeatInterval: model.Seconds(workers.ReportS), Lease: model.Seconds(workers.LeaseS),
		GangWait: model.Seconds(workers.GangWaitS), GangPeer: model.Seconds(workers.GangPeerS)})
	deployment.cloud.Capacity = capacity
	return deployment
}

// addNode starts one more controller.
func (sim *simDeployment) addNode(name string) {
	node := &simNode{sim: sim, name: name, reachableByWorkers: true}
	sim.nodes = append(sim.nodes, node)
	node.start()
}

func (sim *simDeployment) requireInvariants() {
	sim.t.Helper()
	sim.invariants.CheckCancelled()
	if len(sim.invariants.Violations) > 0 {
		sim.t.Fatalf("rules broken: %v", sim.invariants.Violations)
	}
}

func (sim *simDeployment) leader() *simNode {
	for _, n := range sim.nodes {
		if n.alive && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
			return n
		}
	}
	return nil
}

func arrayJob(i, tasks int, estimateS float64) *model.Submission {
	return &model.Submission{ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks,
		Cores: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: estimateS}
}

func gangJob(i, tasks int, estimateS float64) *model.Submission {
	submission := arrayJob(i, tasks, estimateS)
	submission.Kind, submission.Priority, submission.Cores, submission.AllowsSpot, submission.CheckpointS, submission.SaveS, submission.Team = "gang", "urgent", 3, false, 5, 1, "blue"
	return submission
}

// describe is for failure messages.
func (sim *simDeployment) describe() string {
	text := sim.cloud.Describe()
	for _, node := range sim.nodes {
		text += fmt.Sprintf("%s: alive %v, session %d, holds %v, busy %v, syncing %v", node.name, node.alive, node.ctl.session, node.ctl.authority.IsValid(node.ctl.clock()), node.ctl.lanes.busy, node.ctl.sync.inProgress)
		if leader := node.ctl.leading; leader != nil {
			text += fmt.Sprintf(", leads: ready %v, resync %v, queued %d, budget %d", leader.ready, leader.resync, leader.shard.PendingWrites(), node.ctl.writeBudget.Left(node.ctl.clock()))
		}
		text += "\n"
	}
	if len(sim.startedFaults) > 0 {
		text += "faults: " + strings.Join(sim.startedFaults, "; ") + "\n"
	}
	return text
}

func simHeartbeat(machine string) *shard.Heartbeat {
	return &shard.Heartbeat{Machine: machine, MachineType: "small", Zone: "a", Incarnation: 1, Sequence: 1}
}
