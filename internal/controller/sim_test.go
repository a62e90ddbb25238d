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

// simDeployment is a deployment of controllers, users, workers, a cloud and a state service
// in simulated time.
type simDeployment struct {
	*standin.Sim
	t          *testing.T
	state      *standin.State
	cloud      *standin.Cloud
	invariants *standin.InvariantChecker
	nodes      []*simNode
	users      []*user
	// settings returns the settings that a node reads whenever it starts.
	settings func(name string) *config.Settings
	policy   func(name string) *duty.Policy // returns a node's duties file; nil: there is none
	cell     *simCell                       // this deployment as one of several cells; nil: there are no others

	delayedMachines          map[string]bool   // machines whose heartbeats are kept in delayedHeartbeats
	delayedHeartbeats        []func(*simNode)  // each delivers a delayed heartbeat to the node given, or to the original receiver if it is nil
	unreachableNode          map[string]string // by machine: the node that it can't reach
	responsesLost            map[string]bool   // machines whose heartbeats arrive but that get no response
	duplicateHeartbeatChance float64           // probability that a heartbeat arrives once more, up to maxDuplicateDelay later
	duplicateRequestChance   float64           // probability that a request to the state service or the cloud is executed once more
	relayedHeartbeats        int               // heartbeats that were relayed and answered with code 200
	recordedHeartbeats       []func()          // each delivers a heartbeat again, to all nodes; recorded if recordsHeartbeats is set
	recordsHeartbeats        bool

	heartbeatsBlocked map[string]bool                                  // machines whose heartbeats reach no controller
	canReach          func(worker *standin.Worker, node *simNode) bool // reports whether a worker's heartbeats reach a node; nil: they do
	heartbeatLag      model.Micros                                     // heartbeats and their responses take up to this much longer
	lateWriteChance   float64                                          // probability that a transaction gets no answer and is executed later
	lateWriteDelay    func() model.Micros                              // returns the delay after which such a transaction is executed
	lateWritesArrived int                                              // number of such transactions that reached the state service
	lateWritesApplied int                                              // number of such transactions that were committed
	checksEveryNode   bool                                             // users query all nodes after an acceptance, a cancellation or a reported end
	everyNodeAnswers  int                                              // number of these requests that were answered with code 200
	stateLag          model.Micros                                     // requests to the state service take up to this much longer
	startedFaults     []string                                         // the injected faults with their times, for failure messages
}

// maxDuplicateDelay is the maximum delay of a duplicate heartbeat; it is well over a worker
// lease.
const maxDuplicateDelay = 60 * model.Second

// simMachineTypes are the machine types that the simulated cloud offers.
var simMachineTypes = []model.MachineType{
	{Name: "small", Cores: 8, MemoryGB: 32, CacheGB: 20, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
	{Name: "gpu", Cores: 16, GPUs: 4, MemoryGB: 64, CacheGB: 20, FetchGBps: 1, Price: 8, SpotPrice: 2, BootS: 6, Zones: []string{"a", "b"}},
}

// simSettings returns the settings of one of three controllers.
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

// withFDLimit returns a function that returns the given settings with a limit of file
// descriptors.
func withFDLimit(limit int, settings func(name string) *config.Settings) func(name string) *config.Settings {
	return func(name string) *config.Settings {
		s := settings(name)
		s.Params.Quota.FDLimit = limit
		return s
	}
}

// cloudCapacity returns a cloud's capacity: the number of small and of GPU machines in each
// zone, both spot and on demand.
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

// newSmallDeployment starts three controllers and a cloud with few machines, so that a small
// load fills the fleet.
func newSmallDeployment(t *testing.T, seed uint64) *simDeployment {
	return newDeployment(t, seed, simSettings, cloudCapacity(4, 2))
}

// newDeployment starts three controllers with a cloud of that capacity.
func newDeployment(t *testing.T, seed uint64, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	sim, defaults := standin.NewSim(seed), settings("")
	invariants := standin.NewInvariantChecker(sim, defaults.Teams(), model.Seconds(defaults.Params.Workers.CancelS))
	deployment := newDeploymentWithoutControllers(t, sim, invariants, settings, capacity)
	for i := range 3 {
		deployment.addNode(fmt.Sprintf("node-%d", i))
	}
	return deployment
}

// newDeploymentWithoutControllers returns a deployment that may share its simulated time and
// its invariant checker with others, so that they form the cells of a larger one.
func newDeploymentWithoutControllers(t *testing.T, sim *standin.Sim, invariants *standin.InvariantChecker, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	deployment := &simDeployment{Sim: sim, invariants: invariants, t: t, settings: settings, unreachableNode: map[string]string{}, responsesLost: map[string]bool{}, delayedMachines: map[string]bool{}, heartbeatsBlocked: map[string]bool{}}
	deployment.state = standin.NewState(deployment.Sim)
	workers := settings("").Params.Workers
	deployment.cloud = standin.NewCloud(deployment.Sim, deployment, deployment.invariants, simMachineTypes, standin.WorkerTimes{HeartbeatInterval: model.Seconds(workers.ReportS), Lease: model.Seconds(workers.LeaseS),
		GangWait: model.Seconds(workers.GangWaitS), GangPeer: model.Seconds(workers.GangPeerS)})
	deployment.cloud.Capacity = capacity
	return deployment
}

// addNode starts another controller.
func (sim *simDeployment) addNode(name string) {
	node := &simNode{sim: sim, name: name, reachableByWorkers: true}
	sim.nodes = append(sim.nodes, node)
	node.start()
}

// requireInvariants fails the test if an invariant was violated.
func (sim *simDeployment) requireInvariants() {
	sim.t.Helper()
	sim.invariants.CheckCancelled()
	if len(sim.invariants.Violations) > 0 {
		sim.t.Fatalf("invariants violated: %v", sim.invariants.Violations)
	}
}

// leader returns the controller that leads and whose authority is valid, or nil.
func (sim *simDeployment) leader() *simNode {
	for _, n := range sim.nodes {
		if n.alive && n.ctl.leading != nil && n.ctl.authority.IsValid(n.ctl.clock()) {
			return n
		}
	}
	return nil
}

// arrayJob returns an array job of team red that may run on spot machines.
func arrayJob(i, tasks int, estimateS float64) *model.Submission {
	return &model.Submission{ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks,
		Cores: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: estimateS}
}

// gangJob returns an urgent gang of team blue with checkpoints, for on-demand machines only.
func gangJob(i, tasks int, estimateS float64) *model.Submission {
	submission := arrayJob(i, tasks, estimateS)
	submission.Kind, submission.Priority, submission.Cores, submission.AllowsSpot, submission.CheckpointS, submission.SaveS, submission.Team = "gang", "urgent", 3, false, 5, 1, "blue"
	return submission
}

// describe returns the state of the cloud and the controllers, for failure messages.
func (sim *simDeployment) describe() string {
	text := sim.cloud.Describe()
	for _, node := range sim.nodes {
		text += fmt.Sprintf("%s: alive %v, session %d, authority valid %v, busy %v, syncing %v", node.name, node.alive, node.ctl.session, node.ctl.authority.IsValid(node.ctl.clock()), node.ctl.lanes.busy, node.ctl.sync.inProgress)
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

// simHeartbeat returns the first heartbeat of a small machine.
func simHeartbeat(machine string) *shard.Heartbeat {
	return &shard.Heartbeat{Machine: machine, MachineType: "small", Zone: "a", Incarnation: 1, Sequence: 1}
}
