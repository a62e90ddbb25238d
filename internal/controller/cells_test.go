package controller

import (
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// burst submits arrays and gangs to a cell, more than it has machines for.
func (x *cellWorld) burst(w *world, first, jobs int, seconds float64) (us []*user) {
	for i := range jobs {
		s := arrayJob(first+i, 1+i%4, seconds)
		if i%4 == 3 {
			s = gangJob(first+i, 2, seconds)
		}
		us = append(us, w.submit(s, 0))
	}
	return us
}

// A crowded cell lends what waits to its idle neighbours, and everything is done sooner
// than without them.
func TestBurstSpillsToIdleNeighbours(t *testing.T) {
	t.Parallel()
	took := map[bool]model.Micros{}
	for _, spills := range []bool{false, true} {
		x := newCellWorld(t, 5, defaultRight, 1, 2, 2)
		if !spills {
			x.cells[0].cell.policy.MaxLent = 0
		}
		x.Run(20 * model.Second)
		x.burst(x.cells[0], 0, 24, 25)
		for x.Now < 900*model.Second && !x.allEnded() {
			x.Run(x.Now + model.Second)
		}
		took[spills] = x.Now
		x.verify(t)
		if n := x.lentJobs(); (n > 0) != spills {
			t.Errorf("spilling %v: %d jobs lent", spills, n)
		}
		if x.rules.ExecutedAgain > 0 {
			t.Errorf("spilling %v: %d tasks executed again", spills, x.rules.ExecutedAgain)
		}
		t.Logf("spilling %v: %d lent, done after %.0f s", spills, x.lentJobs(), took[spills].Seconds())
	}
	if took[true] >= took[false] {
		t.Errorf("done after %.0f s with spilling, %.0f s without", took[true].Seconds(), took[false].Seconds())
	}
}

// Cells that are all full keep their work, and when all come free at once nothing goes back
// and forth.
func TestFullCellsKeepTheirWork(t *testing.T) {
	t.Parallel()
	x := newCellWorld(t, 6, defaultRight, 1, 1, 1)
	x.Run(20 * model.Second)
	for i, w := range x.cells {
		x.burst(w, 100*i, 14, 30)
	}
	x.verify(t)
	times := map[string]int{}
	x.eachLending(func(job string, _ *spill.OutRecord) { times[job]++ })
	for job, n := range times {
		if n > 1 {
			t.Errorf("%s was lent %d times", job, n)
		}
	}
}

// A job of a cell's own user begins when one of that name that another cell has lent is
// gone.
func TestSameNameInTwoCells(t *testing.T) {
	t.Parallel()
	l := newLentJob(t, 7, defaultRight, 12)
	l.reach("runs", l.runsAtGuest)
	answers := map[int]bool{}
	l.call(l.guest, func(r chan<- userapi.Answer) any {
		s := *l.user.sub
		return msgSubmit{s.ID, &s, nil, r}
	}, func(a userapi.Answer) { answers[a.Code] = true })
	l.Run(l.Now + 3*model.Second)
	if !answers[201] {
		t.Fatalf("the submission at the guest is answered %v", answers)
	}
	status := ""
	for l.Now < 500*model.Second && status != "done" {
		l.call(l.guest, func(r chan<- userapi.Answer) any { return msgStatusRequest{l.job, r} }, func(a userapi.Answer) {
			if a.Code == 200 {
				status = statusOf(t, a.Body)
			}
			if status == "running" && l.rules.ReportedEnd(l.job) == "" && l.guest.state.HasKey(l.inKey()) && l.rules.JobTasksOnMachines(l.job) > l.user.sub.Tasks {
				t.Errorf("it runs beside the one that was lent")
			}
		})
		l.Run(l.Now + model.Second)
	}
	if status != "done" {
		t.Errorf("the job at the guest is %q; %s", status, l.describe(l.job))
	}
	l.verify(t)
}

// A guest that knows a job by that name as its own refuses it.
func TestGuestRefusesItsOwnName(t *testing.T) {
	t.Parallel()
	x := newCellWorld(t, 8, defaultRight, 1, 2, 2)
	x.Run(20 * model.Second)
	own := arrayJob(20, 1, 20)
	x.rules.Submitted[own.ID] = own.Job(0)
	x.call(x.cells[1], func(r chan<- userapi.Answer) any { s := *own; return msgSubmit{own.ID, &s, nil, r} }, func(userapi.Answer) {})
	x.Run(x.Now + 60*model.Second)
	x.burst(x.cells[0], 0, 30, 20)
	x.verify(t)
	x.eachLending(func(job string, record *spill.OutRecord) {
		if job == own.ID && record.Cell == "south" {
			t.Error("it was lent to a cell that has one of that name")
		}
	})
	if x.lentJobs() == 0 {
		t.Error("nothing was lent")
	}
}

// A cell that is taken out of the file while it has work of this one drains.
func TestNeighbourTakenOutDrains(t *testing.T) {
	t.Parallel()
	l := newLentJob(t, 9, defaultRight, 12)
	l.reach("runs", l.runsAtGuest)
	l.home.cell.policy = spillPolicy(t, `<spill cell="north"/>`)
	for _, n := range l.home.nodes {
		n.crash()
		n.start()
	}
	lent := l.lentJobs()
	l.verify(t)
	if n := l.lentJobs(); n != lent {
		t.Errorf("%d jobs were lent after that", n-lent)
	}
}

// Without a spill file at every controller nothing is lent, and no record differs.
func TestNothingIsLentWithoutTheFile(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(x *cellWorld){
		"no cell has one": func(x *cellWorld) {
			for _, w := range x.cells {
				w.cell.policy = nil
			}
		},
		"the neighbours have none": func(x *cellWorld) { x.cells[1].cell.policy, x.cells[2].cell.policy = nil, nil },
	} {
		x := newCellWorld(t, 10, defaultRight, 1, 2, 2)
		change(x)
		for _, w := range x.cells {
			for _, n := range w.nodes {
				n.crash()
				n.start()
			}
		}
		x.Run(20 * model.Second)
		x.burst(x.cells[0], 0, 24, 10)
		x.verify(t)
		for _, w := range x.cells {
			for _, write := range w.state.Log {
				for _, op := range write.Txn.Then {
					if strings.HasPrefix(op.Set+op.Drop, "spill/") {
						t.Errorf("%s: %s writes %s", name, w.cell.name, op.Set+op.Drop)
					}
					if r, ok := op.Value.(state.NodeRecord); ok && w.cell.policy == nil && r.Layout > state.LayoutDuties && write.At > 20*model.Second {
						t.Errorf("%s: layout %d", name, r.Layout)
					}
				}
			}
		}
		if x.cells[0].cell.policy == nil && x.calls > 0 {
			t.Errorf("%s: %d calls between cells", name, x.calls)
		}
	}
}

// A record that can't be read stops spilling and loses no job.
func TestUnreadableRecordStopsSpilling(t *testing.T) {
	t.Parallel()
	x := newCellWorld(t, 11, defaultRight, 1, 2, 2)
	x.Run(20 * model.Second)
	home := x.cells[0]
	u := home.submit(arrayJob(0, 2, 5), 0)
	for _, op := range []state.Op{{Set: "spill/out/j-000000", Value: "?"}, {Set: "spill/in/south/j-000099", Value: 7}} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{op}}); err != nil {
			t.Fatal(err)
		}
	}
	us := x.burst(home, 1, 24, 5)
	x.Run(x.Now + 200*model.Second)
	if n := x.lentJobs(); n > 0 {
		t.Errorf("%d jobs were lent", n)
	}
	for _, other := range us {
		if other.ended != "done" {
			t.Errorf("%s is %q", other.sub.ID, other.ended)
		}
	}
	if u.ended != "" || x.rules.JobTasksOnMachines(u.sub.ID) > 0 {
		t.Errorf("the job that may be lent is %q", u.ended)
	}
	for _, key := range []string{"spill/out/j-000000", "spill/in/south/j-000099"} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{{Drop: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	x.verify(t)
}

// What a guest's workers do not know goes home and is not offered there again.
func TestWorkersThatDoNotKnowAJob(t *testing.T) {
	t.Parallel()
	x := newCellWorld(t, 12, defaultRight, 1, 2, 2)
	x.rules.LocalJobsOnly = map[string]bool{"south": true}
	x.Run(20 * model.Second)
	x.burst(x.cells[0], 0, 24, 25)
	x.verify(t)
	toSouth, others := map[string]int{}, 0
	x.eachLending(func(job string, record *spill.OutRecord) {
		if record.Cell == "south" {
			toSouth[job]++
		} else {
			others++
		}
	})
	for job, n := range toSouth {
		if n > 1 {
			t.Errorf("%s was lent to south %d times", job, n)
		}
	}
	if len(toSouth) == 0 || others == 0 {
		t.Errorf("%d jobs lent to south, %d lendings to others", len(toSouth), others)
	}
}

// A guest's own work comes first, whatever the rank of a lent job.
func TestLentWorkComesLast(t *testing.T) {
	t.Parallel()
	l := newLentJob(t, 13, defaultRight, 30)
	l.user.sub.Priority = "critical"
	l.reach("runs", l.runsAtGuest)
	if p := l.guest.leader().ctl.leading.shard.Jobs[l.job]; p == nil || p.Priority != model.LowPriority {
		t.Errorf("the lent job is %+v", p)
	}
	own := arrayJob(950, 8, 10)
	own.Team, own.Cores, own.Priority = "blue", 3.5, "standard"
	u := l.guest.submit(own, 0)
	l.Run(l.Now + 60*model.Second)
	if u.ended != "done" {
		t.Errorf("the guest's own work is %q; %s", u.ended, l.describe(l.job))
	}
	l.verify(t)
}

// A guest whose file names the home cell no more stops what it runs for it and forgets it;
// the job is run again at home.
func TestGuestThatLosesTheFile(t *testing.T) {
	t.Parallel()
	l := newLentJob(t, 14, defaultRight, 40)
	l.reach("runs", l.runsAtGuest)
	l.guest.cell.policy = nil
	for _, n := range l.guest.nodes {
		n.crash()
		n.start()
	}
	l.Run(l.Now + 60*model.Second)
	if n := l.guest.state.KeyCount(spill.InPrefix); n > 0 {
		t.Errorf("the guest has %d records; %s", n, l.describe(""))
	}
	l.verify(t)
}

// A lending is one trace in both cells.
func TestTraceAcrossCells(t *testing.T) {
	parents := spanParents(func() {
		x := newCellWorld(t, 5, defaultRight, 1, 2, 2)
		x.Run(20 * model.Second)
		x.burst(x.cells[0], 0, 24, 25)
		x.verify(t)
	})
	if n := parents["take in of lend"]; n == 0 || parents["lend of "] < n {
		t.Errorf("spans: %v", parents)
	}
}
