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
func (x *multiCellSim) submitBurst(sim *simDeployment, first, jobs int, seconds float64) (us []*user) {
	for i := range jobs {
		s := arrayJob(first+i, 1+i%4, seconds)
		if i%4 == 3 {
			s = gangJob(first+i, 2, seconds)
		}
		us = append(us, sim.submit(s, 0))
	}
	return us
}

// A crowded cell lends what waits to its idle neighbours, and everything is done sooner
// than without them.
func TestBurstSpillsToIdleNeighbours(t *testing.T) {
	t.Parallel()
	took := map[bool]model.Micros{}
	for _, spills := range []bool{false, true} {
		x := newMultiCellSim(t, 5, defaultLeaseS, 1, 2, 2)
		if !spills {
			x.cells[0].cell.policy.MaxLent = 0
		}
		x.Run(20 * model.Second)
		x.submitBurst(x.cells[0], 0, 24, 25)
		for x.Now < 900*model.Second && !x.allEnded() {
			x.Run(x.Now + model.Second)
		}
		took[spills] = x.Now
		x.requireCleanEnd(t)
		if n := x.lendingCount(); (n > 0) != spills {
			t.Errorf("spilling %v: %d jobs lent", spills, n)
		}
		if x.invariants.ExecutedAgain > 0 {
			t.Errorf("spilling %v: %d tasks executed again", spills, x.invariants.ExecutedAgain)
		}
		t.Logf("spilling %v: %d lent, done after %.0f s", spills, x.lendingCount(), took[spills].Seconds())
	}
	if took[true] >= took[false] {
		t.Errorf("done after %.0f s with spilling, %.0f s without", took[true].Seconds(), took[false].Seconds())
	}
}

// Cells that are all full keep their work, and when all come free at once nothing goes back
// and forth.
func TestFullCellsLendEachJobAtMostOnce(t *testing.T) {
	t.Parallel()
	x := newMultiCellSim(t, 6, defaultLeaseS, 1, 1, 1)
	x.Run(20 * model.Second)
	for i, sim := range x.cells {
		x.submitBurst(sim, 100*i, 14, 30)
	}
	x.requireCleanEnd(t)
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
func TestSameJobIDInTwoCells(t *testing.T) {
	t.Parallel()
	l := newLendingScenario(t, 7, defaultLeaseS, 12)
	l.runUntil("runs", l.isRunning)
	answers := map[int]bool{}
	l.sendUserRequest(l.executionCell, func(r chan<- userapi.Answer) any {
		s := *l.user.submission
		return msgSubmit{s.ID, &s, nil, r}
	}, func(a userapi.Answer) { answers[a.Code] = true })
	l.Run(l.Now + 3*model.Second)
	if !answers[201] {
		t.Fatalf("the submission at the guest is answered %v", answers)
	}
	status := ""
	for l.Now < 500*model.Second && status != "done" {
		l.sendUserRequest(l.executionCell, func(r chan<- userapi.Answer) any { return msgStatusRequest{l.jobID, r} }, func(a userapi.Answer) {
			if a.Code == 200 {
				status = parseStatus(t, a.Body)
			}
			if status == "running" && l.invariants.ReportedEnd(l.jobID) == "" && l.executionCell.state.HasKey(l.inKey()) && l.invariants.JobTasksOnMachines(l.jobID) > l.user.submission.Tasks {
				t.Errorf("it runs beside the one that was lent")
			}
		})
		l.Run(l.Now + model.Second)
	}
	if status != "done" {
		t.Errorf("the job at the guest is %q; %s", status, l.describe(l.jobID))
	}
	l.requireCleanEnd(t)
}

// A guest that knows a job by that name as its own refuses it.
func TestExecutionCellRefusesItsOwnJobID(t *testing.T) {
	t.Parallel()
	x := newMultiCellSim(t, 8, defaultLeaseS, 1, 2, 2)
	x.Run(20 * model.Second)
	own := arrayJob(20, 1, 20)
	x.invariants.Submitted[own.ID] = own.Job(0)
	x.sendUserRequest(x.cells[1], func(r chan<- userapi.Answer) any { s := *own; return msgSubmit{own.ID, &s, nil, r} }, func(userapi.Answer) {})
	x.Run(x.Now + 60*model.Second)
	x.submitBurst(x.cells[0], 0, 30, 20)
	x.requireCleanEnd(t)
	x.eachLending(func(job string, record *spill.OutRecord) {
		if job == own.ID && record.Cell == "south" {
			t.Error("it was lent to a cell that has one of that name")
		}
	})
	if x.lendingCount() == 0 {
		t.Error("nothing was lent")
	}
}

// A cell that is taken out of the file while it has work of this one drains.
func TestRemovedNeighbourDrains(t *testing.T) {
	t.Parallel()
	l := newLendingScenario(t, 9, defaultLeaseS, 12)
	l.runUntil("runs", l.isRunning)
	l.home.cell.policy = parseSpillPolicy(t, `<spill cell="north"/>`)
	for _, n := range l.home.nodes {
		n.crash()
		n.start()
	}
	lent := l.lendingCount()
	l.requireCleanEnd(t)
	if n := l.lendingCount(); n != lent {
		t.Errorf("%d jobs were lent after that", n-lent)
	}
}

// Without a spill file at every controller nothing is lent, and no record differs.
func TestNothingIsLentWithoutSpillFile(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(x *multiCellSim){
		"no cell has one": func(x *multiCellSim) {
			for _, sim := range x.cells {
				sim.cell.policy = nil
			}
		},
		"the neighbours have none": func(x *multiCellSim) { x.cells[1].cell.policy, x.cells[2].cell.policy = nil, nil },
	} {
		x := newMultiCellSim(t, 10, defaultLeaseS, 1, 2, 2)
		change(x)
		for _, sim := range x.cells {
			for _, n := range sim.nodes {
				n.crash()
				n.start()
			}
		}
		x.Run(20 * model.Second)
		x.submitBurst(x.cells[0], 0, 24, 10)
		x.requireCleanEnd(t)
		for _, sim := range x.cells {
			for _, write := range sim.state.Log {
				for _, op := range write.Txn.Then {
					if strings.HasPrefix(op.Set+op.Drop, "spill/") {
						t.Errorf("%s: %s writes %s", name, sim.cell.name, op.Set+op.Drop)
					}
					if r, ok := op.Value.(state.NodeRecord); ok && sim.cell.policy == nil && r.Layout > state.LayoutDuties && write.At > 20*model.Second {
						t.Errorf("%s: layout %d", name, r.Layout)
					}
				}
			}
		}
		if x.cells[0].cell.policy == nil && x.callCount > 0 {
			t.Errorf("%s: %d calls between cells", name, x.callCount)
		}
	}
}

// A record that can't be read stops spilling and loses no job.
func TestUnreadableRecordStopsSpilling(t *testing.T) {
	t.Parallel()
	x := newMultiCellSim(t, 11, defaultLeaseS, 1, 2, 2)
	x.Run(20 * model.Second)
	home := x.cells[0]
	u := home.submit(arrayJob(0, 2, 5), 0)
	for _, op := range []state.Op{{Set: "spill/out/j-000000", Value: "?"}, {Set: "spill/in/south/j-000099", Value: 7}} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{op}}); err != nil {
			t.Fatal(err)
		}
	}
	us := x.submitBurst(home, 1, 24, 5)
	x.Run(x.Now + 200*model.Second)
	if n := x.lendingCount(); n > 0 {
		t.Errorf("%d jobs were lent", n)
	}
	for _, other := range us {
		if other.reportedEnd != "done" {
			t.Errorf("%s is %q", other.submission.ID, other.reportedEnd)
		}
	}
	if u.reportedEnd != "" || x.invariants.JobTasksOnMachines(u.submission.ID) > 0 {
		t.Errorf("the job that may be lent is %q", u.reportedEnd)
	}
	for _, key := range []string{"spill/out/j-000000", "spill/in/south/j-000099"} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{{Drop: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	x.requireCleanEnd(t)
}

// What a guest's workers do not know goes home and is not offered there again.
func TestBorrowedJobUnknownToWorkersReturns(t *testing.T) {
	t.Parallel()
	x := newMultiCellSim(t, 12, defaultLeaseS, 1, 2, 2)
	x.invariants.LocalJobsOnly = map[string]bool{"south": true}
	x.Run(20 * model.Second)
	x.submitBurst(x.cells[0], 0, 24, 25)
	x.requireCleanEnd(t)
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
func TestBorrowedJobHasLowPriority(t *testing.T) {
	t.Parallel()
	l := newLendingScenario(t, 13, defaultLeaseS, 30)
	l.user.submission.Priority = "critical"
	l.runUntil("runs", l.isRunning)
	if p := l.executionCell.leader().ctl.leading.shard.Jobs[l.jobID]; p == nil || p.Priority != model.LowPriority {
		t.Errorf("the lent job is %+v", p)
	}
	own := arrayJob(950, 8, 10)
	own.Team, own.Cores, own.Priority = "blue", 3.5, "standard"
	u := l.executionCell.submit(own, 0)
	l.Run(l.Now + 60*model.Second)
	if u.reportedEnd != "done" {
		t.Errorf("the guest's own work is %q; %s", u.reportedEnd, l.describe(l.jobID))
	}
	l.requireCleanEnd(t)
}

// A guest whose file names the home cell no more stops what it runs for it and forgets it;
// the job is run again at home.
func TestExecutionCellWithoutSpillFileDropsBorrowedJob(t *testing.T) {
	t.Parallel()
	l := newLendingScenario(t, 14, defaultLeaseS, 40)
	l.runUntil("runs", l.isRunning)
	l.executionCell.cell.policy = nil
	for _, n := range l.executionCell.nodes {
		n.crash()
		n.start()
	}
	l.Run(l.Now + 60*model.Second)
	if n := l.executionCell.state.KeyCount(spill.InPrefix); n > 0 {
		t.Errorf("the guest has %d records; %s", n, l.describe(""))
	}
	l.requireCleanEnd(t)
}

// A lending is one trace in both cells.
func TestTraceAcrossCells(t *testing.T) {
	parents := countSpansByParent(func() {
		x := newMultiCellSim(t, 5, defaultLeaseS, 1, 2, 2)
		x.Run(20 * model.Second)
		x.submitBurst(x.cells[0], 0, 24, 25)
		x.requireCleanEnd(t)
	})
	if n := parents["take in of lend"]; n == 0 || parents["lend of "] < n {
		t.Errorf("spans: %v", parents)
	}
}
