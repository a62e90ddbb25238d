package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
	"woadweir/internal/state"
)

// lentJob is a world in which one job of the first cell is lent.
type lendingScenario struct {
	*multiCellSim
	home          *simDeployment
	executionCell *simDeployment // nil until it is lent
	user          *user
	jobID         string
	// fillers keep the home cell busy.
	fillerJobs []*user
}

// newLentJob fills the first cell with long work and submits one more job, which is to be
// lent.
func newLendingScenario(t *testing.T, seed uint64, leaseS, seconds float64) *lendingScenario {
	l := &lendingScenario{multiCellSim: newMultiCellSim(t, seed, leaseS, 1, 1, 1), jobID: "j-000900"}
	l.home = l.cells[0]
	l.Run(20 * model.Second)
	for i, team := range []string{"red", "blue"} {
		filler := arrayJob(i, 4, 0) // half of the cell's cores each
		filler.Kind, filler.Team, filler.Cores = "service", team, 4
		l.fillerJobs = append(l.fillerJobs, l.home.submit(filler, 0))
	}
	l.Run(l.Now + 15*model.Second)
	l.home.checksEveryNode = true
	job := arrayJob(900, 4, seconds)
	job.Cores = 4
	l.user = l.home.submit(job, 0)
	return l
}

func (l *lendingScenario) outKey() string { return spill.OutKey(l.jobID) }
func (l *lendingScenario) inKey() string  { return spill.InKey("north", l.jobID) }

// findGuest notes to which cell the job is lent.
func (l *lendingScenario) findExecutionCell() {
	var record spill.OutRecord
	entry, err := l.home.state.Get("", l.outKey())
	if l.executionCell != nil || err != nil || json.Unmarshal(entry.Value, &record) != nil {
		return
	}
	l.executionCell = l.cellNamed(record.Cell)
}

// reach runs until a step of the lending is reached.
func (l *lendingScenario) runUntil(step string, reached func() bool) {
	l.t.Helper()
	for limit := l.Now + 150*model.Second; !reached(); l.findExecutionCell() {
		if l.Now > limit {
			l.t.Fatalf("%s: not reached; %s", step, l.describe(l.jobID))
		}
		l.Run(l.Now + 5*model.Millisecond)
	}
}

func (l *lendingScenario) isRecordedAtHome() bool { return l.home.state.HasKey(l.outKey()) }
func (l *lendingScenario) isAccepted() bool {
	return l.executionCell != nil && l.executionCell.state.HasKey(l.inKey())
}
func (l *lendingScenario) isRunning() bool {
	return l.isAccepted() && l.invariants.JobTasksOnMachines(l.jobID) > 0
}
func (l *lendingScenario) isHalfDone() bool {
	return l.isAccepted() && l.invariants.CompletedTasks(l.jobID) >= l.user.submission.Tasks/2
}
func (l *lendingScenario) isFinished() bool {
	return l.isAccepted() && l.invariants.CompletedTasks(l.jobID) == l.user.submission.Tasks
}
func (l *lendingScenario) isEndReported() bool {
	entry, err := l.home.state.Get("", state.JobKey(l.jobID))
	return err == nil && l.isAccepted() && hasJSONField(entry.Value, "end")
}

func hasJSONField(raw json.RawMessage, field string) bool {
	fields := map[string]json.RawMessage{}
	return json.Unmarshal(raw, &fields) == nil && fields[field] != nil
}

func parseStatus(t *testing.T, body []byte) string {
	var answer struct{ Status string }
	if err := json.Unmarshal(body, &answer); err != nil {
		t.Fatal(err)
	}
	return answer.Status
}

// lendingSteps are the steps of a lending at which troubles come.
var lendingSteps = []struct {
	name    string
	reached func(scenario *lendingScenario) func() bool
}{
	{"home has written its record", func(scenario *lendingScenario) func() bool { return scenario.isRecordedAtHome }},
	{"the guest has written its record", func(scenario *lendingScenario) func() bool { return scenario.isAccepted }},
	{"it runs", func(scenario *lendingScenario) func() bool { return scenario.isRunning }},
	{"half of it is done", func(scenario *lendingScenario) func() bool { return scenario.isHalfDone }},
	{"finished, not reported", func(scenario *lendingScenario) func() bool { return scenario.isFinished }},
	{"reported, not forgotten", func(scenario *lendingScenario) func() bool { return scenario.isEndReported }},
}

// Times for which troubles last: less than each lease, and more than all of them together.
const (
	shortFault = 3 * model.Second
	longFault  = 70 * model.Second
)

// lendingTroubles are what comes at each step.
var lendingFaults = []struct {
	name   string
	inject func(scenario *lendingScenario)
}{
	{"home drops out shortly", func(scenario *lendingScenario) { scenario.crashCell(scenario.home, shortFault) }},
	{"home drops out for long", func(scenario *lendingScenario) { scenario.crashCell(scenario.home, longFault) }},
	{"the guest drops out shortly", func(scenario *lendingScenario) { scenario.crashCell(scenario.executionCell, shortFault) }},
	{"the guest drops out for long", func(scenario *lendingScenario) { scenario.crashCell(scenario.executionCell, longFault) }},
	{"both drop out shortly", func(scenario *lendingScenario) {
		scenario.crashCell(scenario.home, shortFault)
		scenario.crashCell(scenario.executionCell, shortFault)
	}},
	{"both drop out for long", func(scenario *lendingScenario) {
		scenario.crashCell(scenario.home, longFault)
		scenario.crashCell(scenario.executionCell, longFault)
	}},
	{"home's holder ends", func(scenario *lendingScenario) { scenario.crashLeader(scenario.home) }},
	{"the guest's holder ends", func(scenario *lendingScenario) { scenario.crashLeader(scenario.executionCell) }},
	{"home's holder wakes late", func(scenario *lendingScenario) { scenario.pauseLeader(scenario.home) }},
	{"the guest's holder wakes late", func(scenario *lendingScenario) { scenario.pauseLeader(scenario.executionCell) }},
	{"home's state service is out", func(scenario *lendingScenario) { scenario.stateOutage(scenario.home, 25*model.Second) }},
	{"the guest's state service is out", func(scenario *lendingScenario) { scenario.stateOutage(scenario.executionCell, 25*model.Second) }},
	{"home's state service refuses its holder", func(scenario *lendingScenario) { scenario.refuseLeader(scenario.home) }},
	{"the guest's state service refuses its holder", func(scenario *lendingScenario) { scenario.refuseLeader(scenario.executionCell) }},
	{"questions do not arrive", func(scenario *lendingScenario) { scenario.dropRenewals() }},
	{"answers do not arrive", func(scenario *lendingScenario) {
		scenario.breakLink(scenario.home, scenario.executionCell, linkDropping)
	}},
	{"questions are held", func(scenario *lendingScenario) {
		scenario.breakLink(scenario.executionCell, scenario.home, linkHolding)
	}},
	{"answers are held", func(scenario *lendingScenario) {
		scenario.breakLink(scenario.home, scenario.executionCell, linkHolding)
	}},
	{"cancelled", func(scenario *lendingScenario) { scenario.user.cancel(nil) }},
	{"cancelled while the link is cut", (*lendingScenario).cancelWithoutRenewals},
	{"cancelled while answers are held", func(scenario *lendingScenario) {
		scenario.breakLink(scenario.home, scenario.executionCell, linkHolding)
		scenario.user.cancel(nil)
	}},
	{"cancelled while home's state service refuses its holder", func(scenario *lendingScenario) {
		scenario.refuseLeader(scenario.home)
		scenario.user.cancel(nil)
	}},
	{"cancelled during an outage of home's state service", func(scenario *lendingScenario) {
		scenario.stateOutage(scenario.home, 25*model.Second)
		scenario.user.cancel(nil)
	}},
	{"cancelled while the guest's machines hang", func(scenario *lendingScenario) { scenario.hangMachines(); scenario.user.cancel(nil) }},
	{"cancelled while the guest's machines are cut off", func(scenario *lendingScenario) { scenario.blockExecutionHeartbeats(); scenario.user.cancel(nil) }},
	{"cancelled as the guest's holder ends and the link is cut", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.crashLeader(scenario.executionCell)
		scenario.user.cancel(nil)
	}},
}

// endHolder ends a cell's holder, which comes back after its session is over.
func (l *lendingScenario) crashLeader(sim *simDeployment) {
	n := sim.leader()
	if n == nil {
		return
	}
	n.crash()
	l.After(14*model.Second, func() {
		if !n.alive {
			n.start()
		}
	})
}

func (l *lendingScenario) pauseLeader(sim *simDeployment) {
	if n := sim.leader(); n != nil {
		n.pauseFor(25 * model.Second)
	}
}

func (l *lendingScenario) stateOutage(sim *simDeployment, duration model.Micros) {
	sim.state.SetOutage(true)
	l.After(duration, func() { sim.state.SetOutage(false) })
}

func (l *lendingScenario) refuseLeader(sim *simDeployment) {
	if n := sim.leader(); n != nil {
		n.setStateLink(linkRefusing)
		l.After(25*model.Second, func() { n.setStateLink(linkOpen) })
	}
}

func (l *lendingScenario) breakLink(from, to *simDeployment, linkState int) {
	l.setLink(from.cell.name, to.cell.name, linkState)
	l.After(longFault, func() { l.setLink(from.cell.name, to.cell.name, linkOpen) })
}

// dropQuestions loses what the guest asks home.
func (l *lendingScenario) dropRenewals() { l.breakLink(l.executionCell, l.home, linkDropping) }

// cancelWithoutQuestions cancels the job while home does not hear the guest.
func (l *lendingScenario) cancelWithoutRenewals() {
	l.dropRenewals()
	l.user.cancel(nil)
}

func (l *lendingScenario) hangMachines() {
	for _, worker := range l.executionCell.cloud.Workers() {
		worker.SetHung(true)
		l.After(15*model.Second, func() { worker.SetHung(false) })
	}
}

// cutOffTime is longer than a worker's lease.
const heartbeatBlockTime = 25 * model.Second

func (l *lendingScenario) blockExecutionHeartbeats() { l.blockHeartbeats(l.executionCell) }

// cutOff keeps the machines of a cell from reaching any controller.
func (l *lendingScenario) blockHeartbeats(sim *simDeployment) {
	for _, worker := range sim.cloud.Workers() {
		sim.heartbeatsBlocked[worker.ID] = true
		l.After(heartbeatBlockTime, func() { delete(sim.heartbeatsBlocked, worker.ID) })
	}
}

// At every step of a lending, every trouble: the job ends once, nothing of it runs in two
// places or after its cancellation, and in the end no record is left.
func TestFaultAtEveryLendingStep(t *testing.T) {
	for i, step := range lendingSteps {
		for k, fault := range lendingFaults {
			t.Run(fmt.Sprintf("%s/%s", step.name, fault.name), func(t *testing.T) {
				t.Parallel()
				scenario := newLendingScenario(t, uint64(100*i+k), defaultLeaseS, 12)
				scenario.runUntil(step.name, step.reached(scenario))
				fault.inject(scenario)
				scenario.Run(scenario.Now + 100*model.Second)
				scenario.requireCleanEnd(t)
				if scenario.invariants.ReportedEnd(scenario.jobID) == "" {
					t.Error("users were told of no end")
				}
				// Where the leases outlive the trouble, what has finished is not lost.
				// (A worker with two controllers, one of which does not answer, can lose its lease
				// when the holder ends, whether its tasks are lent or not.)
				if n := scenario.invariants.ExecutedAgain; n > 0 && strings.HasSuffix(fault.name, "shortly") {
					t.Errorf("%d tasks executed again", n)
				}
			})
		}
	}
}

// freeHome ends what keeps the home cell busy: what is taken back begins there at once.
func (l *lendingScenario) freeHomeCell() {
	for _, u := range l.fillerJobs {
		u.cancel(nil)
	}
}

// worstCases are troubles that come when a lent job has long to run, with the longest lease
// of the right. Each is what a guard of docs/spill.md is for.
var worstCaseFaults = []struct {
	name   string
	inject func(l *lendingScenario)
}{
	{"cancelled through a sibling while home's holder gets no syncs", func(scenario *lendingScenario) {
		leader := scenario.home.leader()
		leader.syncsLost, leader.peersCutOff = true, true
		scenario.After(60*model.Second, func() { leader.syncsLost, leader.peersCutOff = false, false })
		scenario.user.cancel((&failureScenario{simDeployment: scenario.home}).otherNode(leader))
	}},
	{"cancelled as answers are held for seconds", func(scenario *lendingScenario) {
		scenario.setLink("north", scenario.executionCell.cell.name, linkHolding)
		scenario.After(2*model.Second, func() { scenario.user.cancel(nil) })
		scenario.After(16*model.Second, func() {
			scenario.setLink("north", scenario.executionCell.cell.name, linkOpen)
			scenario.dropRenewals()
		})
	}},
	{"cancelled as the guest's holder stands still with an answer on its way", func(scenario *lendingScenario) {
		scenario.onCall = func(from, _ *simDeployment, call any) {
			leader := scenario.executionCell.leader()
			if _, isRenewal := call.(*spill.Renewal); !isRenewal || from != scenario.executionCell || leader == nil {
				return
			}
			scenario.onCall = nil
			leader.peersCutOff = true // or it resigns when it wakes
			leader.pauseFor(6 * model.Second)
			scenario.dropRenewals()
			scenario.After(20*model.Millisecond, func() { scenario.user.cancel(nil) })
		}
	}},
	{"cancelled as no question arrives and its team asks for all that it may have", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.freeHomeCell()
		scenario.user.cancel(nil)
		scenario.After(model.Second, func() {
			submission := arrayJob(901, 10, 60)
			submission.Cores = 4
			scenario.home.submit(submission, 0)
		})
	}},
	{"cancelled as no question arrives", (*lendingScenario).cancelWithoutRenewals},
	{"cancelled as no question arrives and the guest's holder ends", func(scenario *lendingScenario) {
		scenario.cancelWithoutRenewals()
		scenario.crashLeader(scenario.executionCell)
	}},
	{"no question arrives as home has room", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.freeHomeCell()
	}},
	{"no question arrives and home's holder ends", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.freeHomeCell()
		scenario.crashLeader(scenario.home)
	}},
	{"home's holder ends while the guest asks the next one", func(scenario *lendingScenario) {
		scenario.freeHomeCell()
		scenario.crashLeader(scenario.home)
	}},
	{"home's record of taking back is late", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.freeHomeCell()
		scenario.delayTakeBack(8*model.Second, func() { scenario.setLink(scenario.executionCell.cell.name, "north", linkOpen) })
	}},
	{"home's record of taking back is lost with its holder", func(scenario *lendingScenario) {
		scenario.dropRenewals()
		scenario.freeHomeCell()
		scenario.delayTakeBack(0, func() {
			scenario.setLink(scenario.executionCell.cell.name, "north", linkOpen)
			scenario.After(8*model.Second, func() {
				if leader := scenario.home.leader(); leader != nil {
					leader.crash()
					scenario.blockHeartbeats(scenario.home) // what ran there would not be stopped
					for _, n := range scenario.home.nodes {
						n.intercept = nil
					}
					scenario.After(100*model.Millisecond, leader.start)
				}
			})
		})
	}},
}

// holdTakingBack keeps the write that takes the job back from the state service, for so long
// or for ever (0), and tells when it is sent first.
func (l *lendingScenario) delayTakeBack(delay model.Micros, onSent func()) {
	sent := false
	for _, n := range l.home.nodes {
		n.intercept = func(write msgCommitted) bool {
			if write.lane != laneSpill {
				return false
			}
			if !sent {
				sent = true
				onSent()
			}
			incarnation := n.incarnation
			if delay == 0 {
				write.err = state.ErrLost
				l.After(commitTimeout, func() { n.deliver(incarnation, write) })
				return true
			}
			l.After(delay, func() {
				write.result, write.err = l.home.state.Commit(n.name, write.txn)
				n.intercept = nil
				n.deliver(incarnation, write)
			})
			return true
		}
	}
}

// The worst cases, with the guest's machines cut off from it at any moment after: nothing
// of the job runs in two places, nor too long after its cancellation.
func TestWorstCaseLendingFaults(t *testing.T) {
	for i, fault := range worstCaseFaults {
		for cutAfter := model.Micros(0); cutAfter <= 42*model.Second; cutAfter += model.Second {
			t.Run(fmt.Sprintf("%s/machines cut off after %.0f s", fault.name, cutAfter.Seconds()), func(t *testing.T) {
				t.Parallel()
				scenario := newLendingScenario(t, uint64(3000+100*i)+uint64(cutAfter/model.Second), longestLeaseS, 150)
				scenario.runUntil("all of it runs", func() bool {
					return scenario.isAccepted() && scenario.invariants.JobTasksOnMachines(scenario.jobID) == 4
				})
				scenario.Run(scenario.Now + 3*model.Second)
				fault.inject(scenario)
				scenario.After(cutAfter, scenario.blockExecutionHeartbeats)
				scenario.Run(scenario.Now + 120*model.Second)
				scenario.requireCleanEnd(t)
			})
		}
	}
}

// The write that lends a job is late, or gets no answer and is carried out late, while home
// comes to have room for it, its holder ends, or it is cancelled.
func TestLateLendingWrite(t *testing.T) {
	t.Parallel()
	for name, inject := range map[string]func(scenario *lendingScenario){
		"home has room":               (*lendingScenario).freeHomeCell,
		"home has room, holder ends":  func(scenario *lendingScenario) { scenario.freeHomeCell(); scenario.crashLeader(scenario.home) },
		"home has room, holder waits": func(scenario *lendingScenario) { scenario.freeHomeCell(); scenario.pauseLeader(scenario.home) },
		"home has room, then its machines are cut off": func(scenario *lendingScenario) {
			scenario.freeHomeCell()
			scenario.After(5*model.Second, func() { scenario.blockHeartbeats(scenario.home) })
		},
		"cancelled": func(scenario *lendingScenario) { scenario.freeHomeCell(); scenario.user.cancel(nil) },
	} {
		for _, answered := range []bool{true, false} {
			for seed := range uint64(4) {
				scenario := newLendingScenario(t, 4000+seed, longestLeaseS, 40)
				scenario.delayLending(answered, func() { inject(scenario) })
				scenario.Run(scenario.Now + 150*model.Second)
				scenario.requireCleanEnd(t)
				if scenario.invariants.ReportedEnd(scenario.jobID) == "" {
					t.Errorf("%s, answered %v: no end", name, answered)
				}
			}
		}
	}
}

// delayLending has the write that lends the job carried out seconds after it was sent; first
// is called when it is sent.
func (l *lendingScenario) delayLending(answered bool, onSent func()) {
	delayed := false
	for _, n := range l.home.nodes {
		n.intercept = func(write msgCommitted) bool {
			if delayed || write.lane != laneSpill {
				return false
			}
			delayed = true
			onSent()
			incarnation := n.incarnation
			l.After(6*model.Second, func() {
				result, err := l.home.state.Commit(n.name, write.txn)
				if answered {
					write.result, write.err = result, err
					n.deliver(incarnation, write)
				}
			})
			if !answered {
				write.err = state.ErrLost
				l.After(commitTimeout, func() { n.deliver(incarnation, write) })
			}
			return true
		}
	}
}
