package node

import (
	"encoding/json"
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// lentJob is a world in which one job of the first cell is lent.
type lentJob struct {
	*cellWorld
	home  *world
	guest *world // nil until it is lent
	user  *user
	job   string
}

// newLentJob fills the first cell with long work and submits one more job, which is to be
// lent.
func newLentJob(t *testing.T, seed uint64, tasks int) *lentJob {
	l := &lentJob{cellWorld: newCellWorld(t, seed, 1, 1, 1), job: "j-000900"}
	l.home = l.cells[0]
	l.Run(20 * model.Second)
	for i, team := range []string{"red", "blue"} {
		s := sweepJob(i, 4, 150) // half of the cell's cores each
		s.Team, s.Cores = team, 4
		l.home.submit(s, 0)
	}
	l.Run(l.Now + 15*model.Second)
	l.home.closeLooks = true
	s := sweepJob(900, tasks, 12)
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

func (l *lentJob) recorded() bool { return l.home.state.Has(l.outKey()) }
func (l *lentJob) accepted() bool { return l.guest != nil && l.guest.state.Has(l.inKey()) }
func (l *lentJob) runsAtGuest() bool {
	return l.accepted() && l.rules.OnMachineOf(l.job) > 0
}
func (l *lentJob) halfDone() bool {
	return l.accepted() && l.rules.DoneTasks(l.job) >= l.user.sub.Tasks/2
}
func (l *lentJob) finished() bool {
	return l.accepted() && l.rules.DoneTasks(l.job) == l.user.sub.Tasks
}
func (l *lentJob) reported() bool {
	e, err := l.home.state.Get("", jobPrefix+l.job)
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
	{"questions do not arrive", func(l *lentJob) { l.link(l.guest, l.home, dropped) }},
	{"answers do not arrive", func(l *lentJob) { l.link(l.home, l.guest, dropped) }},
	{"questions are held", func(l *lentJob) { l.link(l.guest, l.home, holding) }},
	{"answers are held", func(l *lentJob) { l.link(l.home, l.guest, holding) }},
	{"cancelled", func(l *lentJob) { l.user.cancel(nil) }},
	{"cancelled while the link is cut", func(l *lentJob) {
		l.link(l.guest, l.home, dropped)
		l.user.cancel(nil)
	}},
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
	{"cancelled while the guest's machines are cut off", func(l *lentJob) { l.mute(); l.user.cancel(nil) }},
	{"cancelled as the guest's holder ends and the link is cut", func(l *lentJob) {
		l.link(l.guest, l.home, dropped)
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

func (l *lentJob) hang() {
	for _, x := range l.guest.cloud.Workers() {
		x.Hang(true)
		l.After(15*model.Second, func() { x.Hang(false) })
	}
}

func (l *lentJob) mute() {
	for _, x := range l.guest.cloud.Workers() {
		l.guest.mute[x.ID] = true
		l.After(15*model.Second, func() { delete(l.guest.mute, x.ID) })
	}
}

// At every step of a lending, every trouble: the job ends once, nothing of it runs in two
// places or after its cancellation, and in the end no record is left.
func TestTroubleAtEveryStepOfALending(t *testing.T) {
	for i, step := range lendingSteps {
		for k, trouble := range lendingTroubles {
			t.Run(fmt.Sprintf("%s/%s", step.name, trouble.name), func(t *testing.T) {
				t.Parallel()
				l := newLentJob(t, uint64(100*i+k), 4)
				l.reach(step.name, step.reached(l))
				trouble.come(l)
				l.Run(l.Now + 100*model.Second)
				l.verify(t)
				if l.rules.Ended(l.job) == "" {
					t.Error("users were told of no end")
				}
			})
		}
	}
}
