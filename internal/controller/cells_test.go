package controller

import (
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// submitBurst submits arrays and gangs to a cell, more than it has machines for.
func (m *multiCellSim) submitBurst(sim *simDeployment, firstNumber, jobs int, seconds float64) (users []*user) {
	for i := range jobs {
		submission := arrayJob(firstNumber+i, 1+i%4, seconds)
		if i%4 == 3 {
			submission = gangJob(firstNumber+i, 2, seconds)
		}
		users = append(users, sim.submit(submission, 0))
	}
	return users
}

// A full cell lends waiting jobs to its idle neighbours, and all jobs are done sooner than
// without spilling.
func TestBurstSpillsToIdleNeighbours(t *testing.T) {
	t.Parallel()
	took := map[bool]model.Micros{}
	for _, spills := range []bool{false, true} {
		multi := newMultiCellSim(t, 5, defaultLeaseS, 1, 2, 2)
		if !spills {
			multi.cells[0].cell.policy.MaxLent = 0
		}
		multi.Run(20 * model.Second)
		multi.submitBurst(multi.cells[0], 0, 24, 25)
		for multi.Now < 900*model.Second && !multi.allEnded() {
			multi.Run(multi.Now + model.Second)
		}
		took[spills] = multi.Now
		multi.requireCleanEnd(t)
		if n := multi.lendingCount(); (n > 0) != spills {
			t.Errorf("spilling %v: %d jobs lent", spills, n)
		}
		if multi.invariants.ExecutedAgain > 0 {
			t.Errorf("spilling %v: %d tasks executed again", spills, multi.invariants.ExecutedAgain)
		}
		t.Logf("spilling %v: %d lent, done after %.0f s", spills, multi.lendingCount(), took[spills].Seconds())
	}
	if took[true] >= took[false] {
		t.Errorf("done after %.0f s with spilling, %.0f s without", took[true].Seconds(), took[false].Seconds())
	}
}

// Cells that are all full keep their jobs, and when all have free capacity again at the same time
// no job is lent back and forth.
func TestFullCellsLendEachJobAtMostOnce(t *testing.T) {
	t.Parallel()
	multi := newMultiCellSim(t, 6, defaultLeaseS, 1, 1, 1)
	multi.Run(20 * model.Second)
	for i, sim := range multi.cells {
		multi.submitBurst(sim, 100*i, 14, 30)
	}
	multi.requireCleanEnd(t)
	lendings := map[string]int{}
	multi.eachLending(func(jobID string, _ *spill.OutRecord) { lendings[jobID]++ })
	for jobID, n := range lendings {
		if n > 1 {
			t.Errorf("%s was lent %d times, want once at most", jobID, n)
		}
	}
}

// A user submits a job to a cell that has borrowed a job of the same ID. The cell's own job must
// not run beside the borrowed one; it starts when the borrowed one is gone.
func TestSameJobIDInTwoCells(t *testing.T) {
	t.Parallel()
	scenario := newLendingScenario(t, 7, defaultLeaseS, 12)
	scenario.runUntil("tasks run", scenario.isRunning)
	answers := map[int]bool{}
	scenario.sendUserRequest(scenario.executionCell, func(r chan<- userapi.Answer) any {
		submission := *scenario.user.submission
		return msgSubmit{submission.ID, &submission, nil, r}
	}, func(a userapi.Answer) { answers[a.Code] = true })
	scenario.Run(scenario.Now + 3*model.Second)
	if !answers[201] {
		t.Fatalf("submission to the execution cell: got status codes %v, want 201", answers)
	}
	status := ""
	for scenario.Now < 500*model.Second && status != "done" {
		scenario.sendUserRequest(scenario.executionCell, func(r chan<- userapi.Answer) any { return msgStatusRequest{scenario.jobID, r} }, func(a userapi.Answer) {
			if a.Code == 200 {
				status = parseStatus(t, a.Body)
			}
			if status == "running" && scenario.invariants.ReportedEnd(scenario.jobID) == "" && scenario.executionCell.state.HasKey(scenario.inKey()) && scenario.invariants.JobTasksOnMachines(scenario.jobID) > scenario.user.submission.Tasks {
				t.Errorf("%s of the execution cell runs beside the borrowed job of the same ID", scenario.jobID)
			}
		})
		scenario.Run(scenario.Now + model.Second)
	}
	if status != "done" {
		t.Errorf("the execution cell's own job: got status %q, want done; %s", status, scenario.describe(scenario.jobID))
	}
	scenario.requireCleanEnd(t)
}

// A cell refuses an offer of a job whose ID is that of a job of its own.
func TestExecutionCellRefusesItsOwnJobID(t *testing.T) {
	t.Parallel()
	multi := newMultiCellSim(t, 8, defaultLeaseS, 1, 2, 2)
	multi.Run(20 * model.Second)
	own := arrayJob(20, 1, 20)
	multi.invariants.Submitted[own.ID] = own.Job(0)
	multi.sendUserRequest(multi.cells[1], func(r chan<- userapi.Answer) any { submission := *own; return msgSubmit{own.ID, &submission, nil, r} }, func(userapi.Answer) {})
	multi.Run(multi.Now + 60*model.Second)
	multi.submitBurst(multi.cells[0], 0, 30, 20)
	multi.requireCleanEnd(t)
	multi.eachLending(func(jobID string, record *spill.OutRecord) {
		if jobID == own.ID && record.Cell == "south" {
			t.Errorf("%s was lent to a cell that has a job of its own with that ID", jobID)
		}
	})
	if multi.lendingCount() == 0 {
		t.Error("no job was lent")
	}
}

// When a neighbour is removed from the spill file while it runs a job of this cell, the lent job
// ends and nothing more is lent.
func TestRemovedNeighbourDrains(t *testing.T) {
	t.Parallel()
	scenario := newLendingScenario(t, 9, defaultLeaseS, 12)
	scenario.runUntil("tasks run", scenario.isRunning)
	scenario.home.cell.policy = parseSpillPolicy(t, `<spill cell="north"/>`)
	for _, n := range scenario.home.nodes {
		n.crash()
		n.start()
	}
	lent := scenario.lendingCount()
	scenario.requireCleanEnd(t)
	if n := scenario.lendingCount(); n != lent {
		t.Errorf("%d jobs were lent after the neighbours were removed, want none", n-lent)
	}
}

// Without a spill file at every controller nothing is lent, no spill record is written, and cells
// without the file write node records of the same layout as before spilling.
func TestNothingIsLentWithoutSpillFile(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(multi *multiCellSim){
		"no cell has a spill file": func(multi *multiCellSim) {
			for _, sim := range multi.cells {
				sim.cell.policy = nil
			}
		},
		"the neighbours have no spill file": func(multi *multiCellSim) { multi.cells[1].cell.policy, multi.cells[2].cell.policy = nil, nil },
	} {
		multi := newMultiCellSim(t, 10, defaultLeaseS, 1, 2, 2)
		change(multi)
		for _, sim := range multi.cells {
			for _, n := range sim.nodes {
				n.crash()
				n.start()
			}
		}
		multi.Run(20 * model.Second)
		multi.submitBurst(multi.cells[0], 0, 24, 10)
		multi.requireCleanEnd(t)
		for _, sim := range multi.cells {
			for _, write := range sim.state.Log {
				for _, op := range write.Txn.Then {
					if strings.HasPrefix(op.Set+op.Drop, "spill/") {
						t.Errorf("%s: %s wrote %s, want no spill record", name, sim.cell.name, op.Set+op.Drop)
					}
					if record, ok := op.Value.(state.NodeRecord); ok && sim.cell.policy == nil && record.Layout > state.LayoutDuties && write.At > 20*model.Second {
						t.Errorf("%s: got a node record of layout %d, want %d at most", name, record.Layout, state.LayoutDuties)
					}
				}
			}
		}
		if multi.cells[0].cell.policy == nil && multi.callCount > 0 {
			t.Errorf("%s: %d calls between cells, want none", name, multi.callCount)
		}
	}
}

// A spill record that can't be read stops spilling. All other jobs are done, and the job that the
// record may have lent does not run until the record is deleted. No job is lost.
func TestUnreadableRecordStopsSpilling(t *testing.T) {
	t.Parallel()
	multi := newMultiCellSim(t, 11, defaultLeaseS, 1, 2, 2)
	multi.Run(20 * model.Second)
	home := multi.cells[0]
	unreadable := home.submit(arrayJob(0, 2, 5), 0)
	for _, op := range []state.Op{{Set: "spill/out/j-000000", Value: "?"}, {Set: "spill/in/south/j-000099", Value: 7}} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{op}}); err != nil {
			t.Fatal(err)
		}
	}
	others := multi.submitBurst(home, 1, 24, 5)
	multi.Run(multi.Now + 200*model.Second)
	if n := multi.lendingCount(); n > 0 {
		t.Errorf("%d jobs were lent beside unreadable records, want none", n)
	}
	for _, other := range others {
		if other.reportedEnd != "done" {
			t.Errorf("%s: got end %q, want done", other.submission.ID, other.reportedEnd)
		}
	}
	if unreadable.reportedEnd != "" || multi.invariants.JobTasksOnMachines(unreadable.submission.ID) > 0 {
		t.Errorf("the job that may be lent runs or has ended (%q)", unreadable.reportedEnd)
	}
	for _, key := range []string{"spill/out/j-000000", "spill/in/south/j-000099"} {
		if _, err := home.state.Commit("", &state.Txn{Then: []state.Op{{Drop: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	multi.requireCleanEnd(t)
}

// A borrowed job that the execution cell's workers do not know is returned, and is not offered to
// that cell again.
func TestBorrowedJobUnknownToWorkersReturns(t *testing.T) {
	t.Parallel()
	multi := newMultiCellSim(t, 12, defaultLeaseS, 1, 2, 2)
	multi.invariants.LocalJobsOnly = map[string]bool{"south": true}
	multi.Run(20 * model.Second)
	multi.submitBurst(multi.cells[0], 0, 24, 25)
	multi.requireCleanEnd(t)
	toSouth, toOthers := map[string]int{}, 0
	multi.eachLending(func(jobID string, record *spill.OutRecord) {
		if record.Cell == "south" {
			toSouth[jobID]++
		} else {
			toOthers++
		}
	})
	for jobID, n := range toSouth {
		if n > 1 {
			t.Errorf("%s was lent to south %d times, want once at most", jobID, n)
		}
	}
	if len(toSouth) == 0 || toOthers == 0 {
		t.Errorf("%d jobs lent to south, %d lendings to other cells, want some of both", len(toSouth), toOthers)
	}
}

// An execution cell's own jobs go before borrowed ones, whatever priority these have at home.
func TestBorrowedJobHasLowPriority(t *testing.T) {
	t.Parallel()
	scenario := newLendingScenario(t, 13, defaultLeaseS, 30)
	scenario.user.submission.Priority = "critical"
	scenario.runUntil("tasks run", scenario.isRunning)
	if job := scenario.executionCell.leader().ctl.leading.shard.Jobs[scenario.jobID]; job == nil || job.Priority != model.LowPriority {
		t.Errorf("borrowed job: got %+v, want low priority", job)
	}
	submission := arrayJob(950, 8, 10)
	submission.Team, submission.Cores, submission.Priority = "blue", 3.5, "standard"
	own := scenario.executionCell.submit(submission, 0)
	scenario.Run(scenario.Now + 60*model.Second)
	if own.reportedEnd != "done" {
		t.Errorf("the execution cell's own job: got end %q, want done; %s", own.reportedEnd, scenario.describe(scenario.jobID))
	}
	scenario.requireCleanEnd(t)
}

// An execution cell whose spill file no longer names the home cell (here it has no file at all)
// stops the jobs that it runs for that cell and deletes their records. They run again at home.
func TestExecutionCellWithoutSpillFileDropsBorrowedJob(t *testing.T) {
	t.Parallel()
	scenario := newLendingScenario(t, 14, defaultLeaseS, 40)
	scenario.runUntil("tasks run", scenario.isRunning)
	scenario.executionCell.cell.policy = nil
	for _, n := range scenario.executionCell.nodes {
		n.crash()
		n.start()
	}
	scenario.Run(scenario.Now + 60*model.Second)
	if n := scenario.executionCell.state.KeyCount(spill.InPrefix); n > 0 {
		t.Errorf("the execution cell has %d records of borrowed jobs, want none; %s", n, scenario.describe(""))
	}
	scenario.requireCleanEnd(t)
}

// A lending is one trace across both cells: the execution cell's span is a child of the home
// cell's.
func TestTraceAcrossCells(t *testing.T) {
	parents := countSpansByParent(func() {
		multi := newMultiCellSim(t, 5, defaultLeaseS, 1, 2, 2)
		multi.Run(20 * model.Second)
		multi.submitBurst(multi.cells[0], 0, 24, 25)
		multi.requireCleanEnd(t)
	})
	if n := parents["take in of lend"]; n == 0 || parents["lend of "] < n {
		t.Errorf("spans by parent: got %v, want \"take in\" below \"lend\"", parents)
	}
}
