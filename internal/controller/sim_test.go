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
	s := &config.Settings{NodeName: name, ServeOn: "10.0.0.1:8080"}
	for _, n := range []string{"node-0", "node-1", "node-2"} {
		if n != name && len(s.Siblings) < 2 {
			s.Siblings = append(s.Siblings, config.Sibling{NodeName: n})
		}
	}
	s.Params.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 40, GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUs: 20, CPUsMax: 30, GPUs: 0, GPUsMax: 4}}
	p := &s.Params
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2.5, 18, 30, 5, 38
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 100, 25, 32, 16
	p.Cloud.RPS, p.Cloud.ListLagS = 8, 3
	return s
}

// sockets are settings with so many sockets.
func withFDLimit(n int, settings func(name string) *config.Settings) func(name string) *config.Settings {
	return func(name string) *config.Settings {
		s := settings(name)
		s.Params.Quota.FDLimit = n
		return s
	}
}

// capacity is so many machines of each type in each zone and of each kind.
func cloudCapacity(small, gpu int) map[string]int {
	m := map[string]int{}
	for _, y := range []string{"a", "b"} {
		for _, spot := range []bool{true, false} {
			m[fmt.Sprintf("small/%s/%v", y, spot)] = small
			m[fmt.Sprintf("gpu/%s/%v", y, spot)] = gpu
		}
	}
	return m
}

// newWorld is a small deployment: its fleet is soon full.
func newSmallDeployment(t *testing.T, seed uint64) *simDeployment {
	return newDeployment(t, seed, simSettings, cloudCapacity(4, 2))
}

func newDeployment(t *testing.T, seed uint64, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	sim, set := standin.NewSim(seed), settings("")
	rules := standin.NewInvariantChecker(sim, set.Teams(), model.Seconds(set.Params.Workers.CancelS))
	deployment := newDeploymentWithoutControllers(t, sim, rules, settings, capacity)
	for i := range 3 {
		deployment.addNode(fmt.Sprintf("node-%d", i))
	}
	return deployment
}

// newCell is a deployment without controllers that shares time and rules with others.
func newDeploymentWithoutControllers(t *testing.T, sim *standin.Sim, rules *standin.InvariantChecker, settings func(name string) *config.Settings, capacity map[string]int) *simDeployment {
	deployment := &simDeployment{Sim: sim, invariants: rules, t: t, settings: settings, unreachableNode: map[string]string{}, responsesLost: map[string]bool{}, delayedMachines: map[string]bool{}, heartbeatsBlocked: map[string]bool{}}
	deployment.state = standin.NewState(deployment.Sim)
	ps := settings("").Params.Workers
	deployment.cloud = standin.NewCloud(deployment.Sim, deployment, deployment.invariants, simMachineTypes, standin.WorkerTimes{HeartbeatInterval: model.Seconds(ps.ReportS), Lease: model.Seconds(ps.LeaseS),
		GangWait: model.Seconds(ps.GangWaitS), GangPeer: model.Seconds(ps.GangPeerS)})
	deployment.cloud.Capacity = capacity
	return deployment
}

// addNode starts one more controller.
func (sim *simDeployment) addNode(name string) {
	n := &simNode{sim: sim, name: name, reachableByWorkers: true}
	sim.nodes = append(sim.nodes, n)
	n.start()
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

func arrayJob(i, tasks int, guess float64) *model.Submission {
	return &model.Submission{ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks,
		Cores: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: guess}
}

func gangJob(i, tasks int, guess float64) *model.Submission {
	s := arrayJob(i, tasks, guess)
	s.Kind, s.Priority, s.Cores, s.AllowsSpot, s.CheckpointS, s.SaveS, s.Team = "gang", "urgent", 3, false, 5, 1, "blue"
	return s
}

// describe is for failure messages.
func (sim *simDeployment) describe() string {
	s := sim.cloud.Describe()
	for _, n := range sim.nodes {
		s += fmt.Sprintf("%s: alive %v, session %d, holds %v, busy %v, syncing %v", n.name, n.alive, n.ctl.session, n.ctl.authority.IsValid(n.ctl.clock()), n.ctl.lanes.busy, n.ctl.sync.inProgress)
		if l := n.ctl.leading; l != nil {
			s += fmt.Sprintf(", leads: ready %v, resync %v, queued %d, budget %d", l.ready, l.resync, l.shard.PendingWrites(), n.ctl.writeBudget.Left(n.ctl.clock()))
		}
		s += "\n"
	}
	if len(sim.startedFaults) > 0 {
		s += "faults: " + strings.Join(sim.startedFaults, "; ") + "\n"
	}
	return s
}

func simHeartbeat(machine string) *shard.Heartbeat {
	return &shard.Heartbeat{Machine: machine, MachineType: "small", Zone: "a", Incarnation: 1, Sequence: 1}
}
