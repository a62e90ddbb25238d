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
type lentJob struct {
	*cellWorld
	home  *world
	guest *world // nil until it is lent
	user  *user
	job   string
	// fillers keep the home cell busy.
	fillers []*user
}

// newLentJob fills the first cell with long work and submits one more job, which is to be
// lent.
func newLentJob(t *testing.T, seed uint64, leaseS, seconds float64) *lentJob {
	l := &lentJob{cellWorld: newCellWorld(t, seed, leaseS, 1, 1, 1), job: "j-000900"}
	l.home = l.cells[0]
	l.Run(20 * model.Second)
	for i, team := range []string{"red", "blue"} {
		s := arrayJob(i, 4, 0) // half of the cell's cores each
		s.Kind, s.Team, s.Cores = "service", team, 4
		l.fillers = append(l.fillers, l.home.submit(s, 0))
	}
	l.Run(l.Now + 15*model.Second)
	l.home.checksEveryNode = true
	s := arrayJob(900, 4, seconds)
	s.Cores = 4
	l.user = l.home.submit(s, 0)
	return l
}

func (l *lentJob) outKey() string { return spill.OutKey(l.job) }
func (l *lentJob) inKey() string  { return spill.InKey("north", l.job) }

// findGuest notes to which cell the job is lent.
func (l *lentJob) findGuest() {
	var record spill.OutRecord
	e, err := l.home.state.Get("", l.outKey())
	if l.guest != nil || err != nil || json.Unmarshal(e.Value, &record) != nil {
		return
	}
	l.guest = l.cellNamed(record.Cell)
}

// reach runs until a step of the lending is reached.
func (l *lentJob) reach(step string, reached func() bool) {
	l.t.Helper()
	for limit := l.Now + 150*model.Second; !reached(); l.findGuest() {
		if l.Now > limit {
			l.t.Fatalf("%s: not reached; %s", step, l.describe(l.job))
		}
		l.Run(l.Now + 5*model.Millisecond)
	}
}

func (l *lentJob) recorded() bool { return l.home.state.HasKey(l.outKey()) }
func (l *lentJob) accepted() bool { return l.guest != nil && l.guest.state.HasKey(l.inKey()) }
func (l *lentJob) runsAtGuest() bool {
	return l.accepted() && l.rules.JobTasksOnMachines(l.job) > 0
}
func (l *lentJob) halfDone() bool {
	return l.accepted() && l.rules.CompletedTasks(l.job) >= l.user.sub.Tasks/2
}
func (l *lentJob) finished() bool {
	return l.accepted() && l.rules.CompletedTasks(l.job) == l.user.sub.Tasks
}
func (l *lentJob) reported() bool {
	e, err := l.home.state.Get("", state.JobKey(l.job))
	return err == nil && l.accepted() && jsonHas(e.Value, "end")
}

func jsonHas(raw json.RawMessage, field string) bool {
	fields := map[string]json.RawMessage{}
	return json.Unmarshal(raw, &fields) == nil && fields[field] != nil
}

func statusOf(t *testing.T, body []byte) string {
	var a struct{ Status string }
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	return a.Status
}

// lendingSteps are the steps of a lending at which troubles come.
var lendingSteps = []struct {
	name    string
	reached func(l *lentJob) func() bool
}{
	{"home has written its record", func(l *lentJob) func() bool { return l.recorded }},
	{"the guest has written its record", func(l *lentJob) func() bool { return l.accepted }},
	{"it runs", func(l *lentJob) func() bool { return l.runsAtGuest }},
	{"half of it is done", func(l *lentJob) func() bool { return l.halfDone }},
	{"finished, not reported", func(l *lentJob) func() bool { return l.finished }},
	{"reported, not forgotten", func(l *lentJob) func() bool { return l.reported }},
}

// Times for which troubles last: less than each lease, and more than all of them together.
const (
	shortTrouble = 3 * model.Second
	longTrouble  = 70 * model.Second
)

// lendingTroubles are what comes at each step.
var lendingTroubles = []struct {
	name string
	come func(l *lentJob)
}{
	{"home drops out shortly", func(l *lentJob) { l.drop(l.home, shortTrouble) }},
	{"home drops out for long", func(l *lentJob) { l.drop(l.home, longTrouble) }},
	{"the guest drops out shortly", func(l *lentJob) { l.drop(l.guest, shortTrouble) }},
	{"the guest drops out for long", func(l *lentJob) { l.drop(l.guest, longTrouble) }},
	{"both drop out shortly", func(l *lentJob) { l.drop(l.home, shortTrouble); l.drop(l.guest, shortTrouble) }},
	{"both drop out for long", func(l *lentJob) { l.drop(l.home, longTrouble); l.drop(l.guest, longTrouble) }},
	{"home's holder ends", func(l *lentJob) { l.endHolder(l.home) }},
	{"the guest's holder ends", func(l *lentJob) { l.endHolder(l.guest) }},
	{"home's holder wakes late", func(l *lentJob) { l.pauseHolder(l.home) }},
	{"the guest's holder wakes late", func(l *lentJob) { l.pauseHolder(l.guest) }},
	{"home's state service is out", func(l *lentJob) { l.outage(l.home, 25*model.Second) }},
	{"the guest's state service is out", func(l *lentJob) { l.outage(l.guest, 25*model.Second) }},
	{"home's state service refuses its holder", func(l *lentJob) { l.refuse(l.home) }},
	{"the guest's state service refuses its holder", func(l *lentJob) { l.refuse(l.guest) }},
	{"questions do not arrive", func(l *lentJob) { l.dropQuestions() }},
	{"answers do not arrive", func(l *lentJob) { l.link(l.home, l.guest, dropped) }},
	{"questions are held", func(l *lentJob) { l.link(l.guest, l.home, holding) }},
	{"answers are held", func(l *lentJob) { l.link(l.home, l.guest, holding) }},
	{"cancelled", func(l *lentJob) { l.user.cancel(nil) }},
	{"cancelled while the link is cut", (*lentJob).cancelWithoutQuestions},
	{"cancelled while answers are held", func(l *lentJob) {
		l.link(l.home, l.guest, holding)
		l.user.cancel(nil)
	}},
	{"cancelled while home's state service refuses its holder", func(l *lentJob) {
		l.refuse(l.home)
		l.user.cancel(nil)
	}},
	{"cancelled during an outage of home's state service", func(l *lentJob) {
		l.outage(l.home, 25*model.Second)
		l.user.cancel(nil)
	}},
	{"cancelled while the guest's machines hang", func(l *lentJob) { l.hang(); l.user.cancel(nil) }},
	{"cancelled while the guest's machines are cut off", func(l *lentJob) { l.cutOffGuest(); l.user.cancel(nil) }},
	{"cancelled as the guest's holder ends and the link is cut", func(l *lentJob) {
		l.dropQuestions()
		l.endHolder(l.guest)
		l.user.cancel(nil)
	}},
}

// endHolder ends a cell's holder, which comes back after its session is over.
func (l *lentJob) endHolder(w *world) {
	n := w.leader()
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

func (l *lentJob) pauseHolder(w *world) {
	if n := w.leader(); n != nil {
		n.pauseFor(25 * model.Second)
	}
}

func (l *lentJob) outage(w *world, long model.Micros) {
	w.state.SetOutage(true)
	l.After(long, func() { w.state.SetOutage(false) })
}

func (l *lentJob) refuse(w *world) {
	if n := w.leader(); n != nil {
		n.setCut(refused)
		l.After(25*model.Second, func() { n.setCut(open) })
	}
}

func (l *lentJob) link(from, to *world, kind int) {
	l.set(from.cell.name, to.cell.name, kind)
	l.After(longTrouble, func() { l.set(from.cell.name, to.cell.name, open) })
}

// dropQuestions loses what the guest asks home.
func (l *lentJob) dropQuestions() { l.link(l.guest, l.home, dropped) }

// cancelWithoutQuestions cancels the job while home does not hear the guest.
func (l *lentJob) cancelWithoutQuestions() {
	l.dropQuestions()
	l.user.cancel(nil)
}

func (l *lentJob) hang() {
	for _, x := range l.guest.cloud.Workers() {
		x.SetHung(true)
		l.After(15*model.Second, func() { x.SetHung(false) })
	}
}

// cutOffTime is longer than a worker's lease.
const cutOffTime = 25 * model.Second

func (l *lentJob) cutOffGuest() { l.cutOff(l.guest) }

// cutOff keeps the machines of a cell from reaching any controller.
func (l *lentJob) cutOff(w *world) {
	for _, x := range w.cloud.Workers() {
		w.heartbeatsBlocked[x.ID] = true
		l.After(cutOffTime, func() { delete(w.heartbeatsBlocked, x.ID) })
	}
}

// At every step of a lending, every trouble: the job ends once, nothing of it runs in two
// places or after its cancellation, and in the end no record is left.
func TestTroubleAtEveryStepOfALending(t *testing.T) {
	for i, step := range lendingSteps {
		for k, trouble := range lendingTroubles {
			t.Run(fmt.Sprintf("%s/%s", step.name, trouble.name), func(t *testing.T) {
				t.Parallel()
				l := newLentJob(t, uint64(100*i+k), defaultRight, 12)
				l.reach(step.name, step.reached(l))
				trouble.come(l)
				l.Run(l.Now + 100*model.Second)
				l.verify(t)
				if l.rules.ReportedEnd(l.job) == "" {
					t.Error("users were told of no end")
				}
				// Where the leases outlive the trouble, what has finished is not lost.
				// (A worker with two controllers, one of which does not answer, can lose its lease
				// when the holder ends, whether its tasks are lent or not.)
				if n := l.rules.ExecutedAgain; n > 0 && strings.HasSuffix(trouble.name, "shortly") {
					t.Errorf("%d tasks executed again", n)
				}
			})
		}
	}
}

// freeHome ends what keeps the home cell busy: what is taken back begins there at once.
func (l *lentJob) freeHome() {
	for _, u := range l.fillers {
		u.cancel(nil)
	}
}

// worstCases are troubles that come when a lent job has long to run, with the longest lease
// of the right. Each is what a guard of docs/spill.md is for.
var worstCases = []struct {
	name string
	come func(l *lentJob)
}{
	{"cancelled through a sibling while home's holder gets no syncs", func(l *lentJob) {
		n := l.home.leader()
		n.syncsLost, n.peersCutOff = true, true
		l.After(60*model.Second, func() { n.syncsLost, n.peersCutOff = false, false })
		l.user.cancel((&meeting{world: l.home}).other(n))
	}},
	{"cancelled as answers are held for seconds", func(l *lentJob) {
		l.set("north", l.guest.cell.name, holding)
		l.After(2*model.Second, func() { l.user.cancel(nil) })
		l.After(16*model.Second, func() {
			l.set("north", l.guest.cell.name, open)
			l.dropQuestions()
		})
	}},
	{"cancelled as the guest's holder stands still with an answer on its way", func(l *lentJob) {
		l.watch = func(from, _ *world, call any) {
			n := l.guest.leader()
			if _, asks := call.(*spill.Renewal); !asks || from != l.guest || n == nil {
				return
			}
			l.watch = nil
			n.peersCutOff = true // or it resigns when it wakes
			n.pauseFor(6 * model.Second)
			l.dropQuestions()
			l.After(20*model.Millisecond, func() { l.user.cancel(nil) })
		}
	}},
	{"cancelled as no question arrives and its team asks for all that it may have", func(l *lentJob) {
		l.dropQuestions()
		l.freeHome()
		l.user.cancel(nil)
		l.After(model.Second, func() {
			s := arrayJob(901, 10, 60)
			s.Cores = 4
			l.home.submit(s, 0)
		})
	}},
	{"cancelled as no question arrives", (*lentJob).cancelWithoutQuestions},
	{"cancelled as no question arrives and the guest's holder ends", func(l *lentJob) {
		l.cancelWithoutQuestions()
		l.endHolder(l.guest)
	}},
	{"no question arrives as home has room", func(l *lentJob) {
		l.dropQuestions()
		l.freeHome()
	}},
	{"no question arrives and home's holder ends", func(l *lentJob) {
		l.dropQuestions()
		l.freeHome()
		l.endHolder(l.home)
	}},
	{"home's holder ends while the guest asks the next one", func(l *lentJob) {
		l.freeHome()
		l.endHolder(l.home)
	}},
	{"home's record of taking back is late", func(l *lentJob) {
		l.dropQuestions()
		l.freeHome()
		l.holdTakingBack(8*model.Second, func() { l.set(l.guest.cell.name, "north", open) })
	}},
	{"home's record of taking back is lost with its holder", func(l *lentJob) {
		l.dropQuestions()
		l.freeHome()
		l.holdTakingBack(0, func() {
			l.set(l.guest.cell.name, "north", open)
			l.After(8*model.Second, func() {
				if n := l.home.leader(); n != nil {
					n.crash()
					l.cutOff(l.home) // what ran there would not be stopped
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
func (l *lentJob) holdTakingBack(long model.Micros, sent func()) {
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
			life := n.life
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
func TestWorstCasesOfALending(t *testing.T) {
	for i, c := range worstCases {
		for cutAfter := model.Micros(0); cutAfter <= 42*model.Second; cutAfter += model.Second {
			t.Run(fmt.Sprintf("%s/machines cut off after %.0f s", c.name, cutAfter.Seconds()), func(t *testing.T) {
				t.Parallel()
				l := newLentJob(t, uint64(3000+100*i)+uint64(cutAfter/model.Second), longestRight, 150)
				l.reach("all of it runs", func() bool { return l.accepted() && l.rules.JobTasksOnMachines(l.job) == 4 })
				l.Run(l.Now + 3*model.Second)
				c.come(l)
				l.After(cutAfter, l.cutOffGuest)
				l.Run(l.Now + 120*model.Second)
				l.verify(t)
			})
		}
	}
}

// The write that lends a job is late, or gets no answer and is carried out late, while home
// comes to have room for it, its holder ends, or it is cancelled.
func TestLendingIsWrittenLate(t *testing.T) {
	t.Parallel()
	for name, come := range map[string]func(l *lentJob){
		"home has room":               (*lentJob).freeHome,
		"home has room, holder ends":  func(l *lentJob) { l.freeHome(); l.endHolder(l.home) },
		"home has room, holder waits": func(l *lentJob) { l.freeHome(); l.pauseHolder(l.home) },
		"home has room, then its machines are cut off": func(l *lentJob) {
			l.freeHome()
			l.After(5*model.Second, func() { l.cutOff(l.home) })
		},
		"cancelled": func(l *lentJob) { l.freeHome(); l.user.cancel(nil) },
	} {
		for _, answered := range []bool{true, false} {
			for seed := range uint64(4) {
				l := newLentJob(t, 4000+seed, longestRight, 40)
				l.delayLending(answered, func() { come(l) })
				l.Run(l.Now + 150*model.Second)
				l.verify(t)
				if l.rules.ReportedEnd(l.job) == "" {
					t.Errorf("%s, answered %v: no end", name, answered)
				}
			}
		}
	}
}

// delayLending has the write that lends the job carried out seconds after it was sent; first
// is called when it is sent.
func (l *lentJob) delayLending(answered bool, first func()) {
	done := false
	for _, n := range l.home.nodes {
		n.intercept = func(m msgCommitted) bool {
			if done || m.lane != laneSpill {
				return false
			}
			done = true
			first()
			life := n.life
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
