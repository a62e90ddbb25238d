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
		s := arrayJob(i, 4, 0) // half of the cell's cores each
		s.Kind, s.Team, s.Cores = "service", team, 4
		l.fillerJobs = append(l.fillerJobs, l.home.submit(s, 0))
	}
	l.Run(l.Now + 15*model.Second)
	l.home.checksEveryNode = true
	s := arrayJob(900, 4, seconds)
	s.Cores = 4
	l.user = l.home.submit(s, 0)
	return l
}

func (l *lendingScenario) outKey() string { return spill.OutKey(l.jobID) }
func (l *lendingScenario) inKey() string  { return spill.InKey("north", l.jobID) }

// findGuest notes to which cell the job is lent.
func (l *lendingScenario) findExecutionCell() {
	var record spill.OutRecord
	e, err := l.home.state.Get("", l.outKey())
	if l.executionCell != nil || err != nil || json.Unmarshal(e.Value, &record) != nil {
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
	e, err := l.home.state.Get("", state.JobKey(l.jobID))
	return err == nil && l.isAccepted() && hasJSONField(e.Value, "end")
}

func hasJSONField(raw json.RawMessage, field string) bool {
	fields := map[string]json.RawMessage{}
	return json.Unmarshal(raw, &fields) == nil && fields[field] != nil
}

func parseStatus(t *testing.T, body []byte) string {
	var a struct{ Status string }
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	return a.Status
}

// lendingSteps are the steps of a lending at which troubles come.
var lendingSteps = []struct {
	name    string
	reached func(l *lendingScenario) func() bool
}{
	{"home has written its record", func(l *lendingScenario) func() bool { return l.isRecordedAtHome }},
	{"the guest has written its record", func(l *lendingScenario) func() bool { return l.isAccepted }},
	{"it runs", func(l *lendingScenario) func() bool { return l.isRunning }},
	{"half of it is done", func(l *lendingScenario) func() bool { return l.isHalfDone }},
	{"finished, not reported", func(l *lendingScenario) func() bool { return l.isFinished }},
	{"reported, not forgotten", func(l *lendingScenario) func() bool { return l.isEndReported }},
}

// Times for which troubles last: less than each lease, and more than all of them together.
const (
	shortFault = 3 * model.Second
	longFault  = 70 * model.Second
)

// lendingTroubles are what comes at each step.
var lendingFaults = []struct {
	name   string
	inject func(l *lendingScenario)
}{
	{"home drops out shortly", func(l *lendingScenario) { l.crashCell(l.home, shortFault) }},
	{"home drops out for long", func(l *lendingScenario) { l.crashCell(l.home, longFault) }},
	{"the guest drops out shortly", func(l *lendingScenario) { l.crashCell(l.executionCell, shortFault) }},
	{"the guest drops out for long", func(l *lendingScenario) { l.crashCell(l.executionCell, longFault) }},
	{"both drop out shortly", func(l *lendingScenario) { l.crashCell(l.home, shortFault); l.crashCell(l.executionCell, shortFault) }},
	{"both drop out for long", func(l *lendingScenario) { l.crashCell(l.home, longFault); l.crashCell(l.executionCell, longFault) }},
	{"home's holder ends", func(l *lendingScenario) { l.crashHolder(l.home) }},
	{"the guest's holder ends", func(l *lendingScenario) { l.crashHolder(l.executionCell) }},
	{"home's holder wakes late", func(l *lendingScenario) { l.pauseHolder(l.home) }},
	{"the guest's holder wakes late", func(l *lendingScenario) { l.pauseHolder(l.executionCell) }},
	{"home's state service is out", func(l *lendingScenario) { l.stateOutage(l.home, 25*model.Second) }},
	{"the guest's state service is out", func(l *lendingScenario) { l.stateOutage(l.executionCell, 25*model.Second) }},
	{"home's state service refuses its holder", func(l *lendingScenario) { l.refuseHolder(l.home) }},
	{"the guest's state service refuses its holder", func(l *lendingScenario) { l.refuseHolder(l.executionCell) }},
	{"questions do not arrive", func(l *lendingScenario) { l.dropRenewals() }},
	{"answers do not arrive", func(l *lendingScenario) { l.breakLink(l.home, l.executionCell, linkDropping) }},
	{"questions are held", func(l *lendingScenario) { l.breakLink(l.executionCell, l.home, linkHolding) }},
	{"answers are held", func(l *lendingScenario) { l.breakLink(l.home, l.executionCell, linkHolding) }},
	{"cancelled", func(l *lendingScenario) { l.user.cancel(nil) }},
	{"cancelled while the link is cut", (*lendingScenario).cancelWithoutRenewals},
	{"cancelled while answers are held", func(l *lendingScenario) {
		l.breakLink(l.home, l.executionCell, linkHolding)
		l.user.cancel(nil)
	}},
	{"cancelled while home's state service refuses its holder", func(l *lendingScenario) {
		l.refuseHolder(l.home)
		l.user.cancel(nil)
	}},
	{"cancelled during an outage of home's state service", func(l *lendingScenario) {
		l.stateOutage(l.home, 25*model.Second)
		l.user.cancel(nil)
	}},
	{"cancelled while the guest's machines hang", func(l *lendingScenario) { l.hangMachines(); l.user.cancel(nil) }},
	{"cancelled while the guest's machines are cut off", func(l *lendingScenario) { l.blockExecutionHeartbeats(); l.user.cancel(nil) }},
	{"cancelled as the guest's holder ends and the link is cut", func(l *lendingScenario) {
		l.dropRenewals()
		l.crashHolder(l.executionCell)
		l.user.cancel(nil)
	}},
}

// endHolder ends a cell's holder, which comes back after its session is over.
func (l *lendingScenario) crashHolder(sim *simDeployment) {
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

func (l *lendingScenario) pauseHolder(sim *simDeployment) {
	if n := sim.leader(); n != nil {
		n.pauseFor(25 * model.Second)
	}
}

func (l *lendingScenario) stateOutage(sim *simDeployment, long model.Micros) {
	sim.state.SetOutage(true)
	l.After(long, func() { sim.state.SetOutage(false) })
}

func (l *lendingScenario) refuseHolder(sim *simDeployment) {
	if n := sim.leader(); n != nil {
		n.setStateLink(linkRefusing)
		l.After(25*model.Second, func() { n.setStateLink(linkOpen) })
	}
}

func (l *lendingScenario) breakLink(from, to *simDeployment, kind int) {
	l.setLink(from.cell.name, to.cell.name, kind)
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
	for _, x := range l.executionCell.cloud.Workers() {
		x.SetHung(true)
		l.After(15*model.Second, func() { x.SetHung(false) })
	}
}

// cutOffTime is longer than a worker's lease.
const heartbeatBlockTime = 25 * model.Second

func (l *lendingScenario) blockExecutionHeartbeats() { l.blockHeartbeats(l.executionCell) }

// cutOff keeps the machines of a cell from reaching any controller.
func (l *lendingScenario) blockHeartbeats(sim *simDeployment) {
	for _, x := range sim.cloud.Workers() {
		sim.heartbeatsBlocked[x.ID] = true
		l.After(heartbeatBlockTime, func() { delete(sim.heartbeatsBlocked, x.ID) })
	}
}

// At every step of a lending, every trouble: the job ends once, nothing of it runs in two
// places or after its cancellation, and in the end no record is left.
func TestFaultAtEveryLendingStep(t *testing.T) {
	for i, step := range lendingSteps {
		for k, trouble := range lendingFaults {
			t.Run(fmt.Sprintf("%s/%s", step.name, trouble.name), func(t *testing.T) {
				t.Parallel()
				l := newLendingScenario(t, uint64(100*i+k), defaultLeaseS, 12)
				l.runUntil(step.name, step.reached(l))
				trouble.inject(l)
				l.Run(l.Now + 100*model.Second)
				l.requireCleanEnd(t)
				if l.invariants.ReportedEnd(l.jobID) == "" {
					t.Error("users were told of no end")
				}
				// Where the leases outlive the trouble, what has finished is not lost.
				// (A worker with two controllers, one of which does not answer, can lose its lease
				// when the holder ends, whether its tasks are lent or not.)
				if n := l.invariants.ExecutedAgain; n > 0 && strings.HasSuffix(trouble.name, "shortly") {
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
	{"cancelled through a sibling while home's holder gets no syncs", func(l *lendingScenario) {
		n := l.home.leader()
		n.syncsLost, n.peersCutOff = true, true
		l.After(60*model.Second, func() { n.syncsLost, n.peersCutOff = false, false })
		l.user.cancel((&failureScenario{simDeployment: l.home}).otherNode(n))
	}},
	{"cancelled as answers are held for seconds", func(l *lendingScenario) {
		l.setLink("north", l.executionCell.cell.name, linkHolding)
		l.After(2*model.Second, func() { l.user.cancel(nil) })
		l.After(16*model.Second, func() {
			l.setLink("north", l.executionCell.cell.name, linkOpen)
			l.dropRenewals()
		})
	}},
	{"cancelled as the guest's holder stands still with an answer on its way", func(l *lendingScenario) {
		l.onCall = func(from, _ *simDeployment, call any) {
			n := l.executionCell.leader()
			if _, asks := call.(*spill.Renewal); !asks || from != l.executionCell || n == nil {
				return
			}
			l.onCall = nil
			n.peersCutOff = true // or it resigns when it wakes
			n.pauseFor(6 * model.Second)
			l.dropRenewals()
			l.After(20*model.Millisecond, func() { l.user.cancel(nil) })
		}
	}},
	{"cancelled as no question arrives and its team asks for all that it may have", func(l *lendingScenario) {
		l.dropRenewals()
		l.freeHomeCell()
		l.user.cancel(nil)
		l.After(model.Second, func() {
			s := arrayJob(901, 10, 60)
			s.Cores = 4
			l.home.submit(s, 0)
		})
	}},
	{"cancelled as no question arrives", (*lendingScenario).cancelWithoutRenewals},
	{"cancelled as no question arrives and the guest's holder ends", func(l *lendingScenario) {
		l.cancelWithoutRenewals()
		l.crashHolder(l.executionCell)
	}},
	{"no question arrives as home has room", func(l *lendingScenario) {
		l.dropRenewals()
		l.freeHomeCell()
	}},
	{"no question arrives and home's holder ends", func(l *lendingScenario) {
		l.dropRenewals()
		l.freeHomeCell()
		l.crashHolder(l.home)
	}},
	{"home's holder ends while the guest asks the next one", func(l *lendingScenario) {
		l.freeHomeCell()
		l.crashHolder(l.home)
	}},
	{"home's record of taking back is late", func(l *lendingScenario) {
		l.dropRenewals()
		l.freeHomeCell()
		l.delayTakeBack(8*model.Second, func() { l.setLink(l.executionCell.cell.name, "north", linkOpen) })
	}},
	{"home's record of taking back is lost with its holder", func(l *lendingScenario) {
		l.dropRenewals()
		l.freeHomeCell()
		l.delayTakeBack(0, func() {
			l.setLink(l.executionCell.cell.name, "north", linkOpen)
			l.After(8*model.Second, func() {
				if n := l.home.leader(); n != nil {
					n.crash()
					l.blockHeartbeats(l.home) // what ran there would not be stopped
					for _, n := range l.home.nodes {
						n.intercept = nil
					}
					l.After(100*model.Millisecond, n.start)
				}
			})
		})
	}},
}

// holdTakingBack keeps the write that takes the job back from the state service, for so long
// or for ever (0), and tells when it is sent first.
func (l *lendingScenario) delayTakeBack(long model.Micros, sent func()) {
	told := false
	for _, n := range l.home.nodes {
		n.intercept = func(m msgCommitted) bool {
			if m.lane != laneSpill {
				return false
			}
			if !told {
				told = true
				sent()
			}
			life := n.incarnation
			if long == 0 {
				m.err = state.ErrLost
				l.After(commitTimeout, func() { n.deliver(life, m) })
				return true
			}
			l.After(long, func() {
				m.result, m.err = l.home.state.Commit(n.name, m.txn)
				n.intercept = nil
				n.deliver(life, m)
			})
			return true
		}
	}
}

// The worst cases, with the guest's machines cut off from it at any moment after: nothing
// of the job runs in two places, nor too long after its cancellation.
func TestWorstCaseLendingFaults(t *testing.T) {
	for i, c := range worstCaseFaults {
		for cutAfter := model.Micros(0); cutAfter <= 42*model.Second; cutAfter += model.Second {
			t.Run(fmt.Sprintf("%s/machines cut off after %.0f s", c.name, cutAfter.Seconds()), func(t *testing.T) {
				t.Parallel()
				l := newLendingScenario(t, uint64(3000+100*i)+uint64(cutAfter/model.Second), longestLeaseS, 150)
				l.runUntil("all of it runs", func() bool { return l.isAccepted() && l.invariants.JobTasksOnMachines(l.jobID) == 4 })
				l.Run(l.Now + 3*model.Second)
				c.inject(l)
				l.After(cutAfter, l.blockExecutionHeartbeats)
				l.Run(l.Now + 120*model.Second)
				l.requireCleanEnd(t)
			})
		}
	}
}

// The write that lends a job is late, or gets no answer and is carried out late, while home
// comes to have room for it, its holder ends, or it is cancelled.
func TestLateLendingWrite(t *testing.T) {
	t.Parallel()
	for name, come := range map[string]func(l *lendingScenario){
		"home has room":               (*lendingScenario).freeHomeCell,
		"home has room, holder ends":  func(l *lendingScenario) { l.freeHomeCell(); l.crashHolder(l.home) },
		"home has room, holder waits": func(l *lendingScenario) { l.freeHomeCell(); l.pauseHolder(l.home) },
		"home has room, then its machines are cut off": func(l *lendingScenario) {
			l.freeHomeCell()
			l.After(5*model.Second, func() { l.blockHeartbeats(l.home) })
		},
		"cancelled": func(l *lendingScenario) { l.freeHomeCell(); l.user.cancel(nil) },
	} {
		for _, answered := range []bool{true, false} {
			for seed := range uint64(4) {
				l := newLendingScenario(t, 4000+seed, longestLeaseS, 40)
				l.delayLending(answered, func() { come(l) })
				l.Run(l.Now + 150*model.Second)
				l.requireCleanEnd(t)
				if l.invariants.ReportedEnd(l.jobID) == "" {
					t.Errorf("%s, answered %v: no end", name, answered)
				}
			}
		}
	}
}

// delayLending has the write that lends the job carried out seconds after it was sent; first
// is called when it is sent.
func (l *lendingScenario) delayLending(answered bool, first func()) {
	done := false
	for _, n := range l.home.nodes {
		n.intercept = func(m msgCommitted) bool {
			if done || m.lane != laneSpill {
				return false
			}
			done = true
			first()
			life := n.incarnation
			l.After(6*model.Second, func() {
				res, err := l.home.state.Commit(n.name, m.txn)
				if answered {
					m.result, m.err = res, err
					n.deliver(life, m)
				}
			})
			if !answered {
				m.err = state.ErrLost
				l.After(commitTimeout, func() { n.deliver(life, m) })
			}
			return true
		}
	}
}
