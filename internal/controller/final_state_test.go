package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
)

// cancelledJob submits a job, cancels it while it runs, and waits until the scheduler has forgotten
// it.
func cancelledJob(sim *simDeployment) *user {
	sim.t.Helper()
	job := sim.submit(arrayJob(1, 2, 300), 0)
	sim.runUntil(60*model.Second, "the job runs", func() bool { return sim.invariants.JobTasksOnMachines("j-000001") == 2 })
	job.cancel(nil)
	sim.runUntil(60*model.Second, "the job is cancelled", func() bool {
		leader := sim.leader()
		return job.reportedEnd == model.JobCancelled && leader != nil && leader.ctl.leading.shard.Jobs["j-000001"] == nil
	})
	return job
}

// requireStillCancelled fails the test if the cancelled job has another end in the state service
// or at a node, or if more of its tasks than the first two have started.
func requireStillCancelled(sim *simDeployment) {
	sim.t.Helper()
	entry, err := sim.state.Get("", state.JobKey("j-000001"))
	var record shard.JobRecord
	if err != nil || json.Unmarshal(entry.Value, &record) != nil || record.End != model.JobCancelled {
		sim.t.Errorf("record %+v, error %v, want a cancelled job", record, err)
	}
	for _, n := range sim.nodes {
		if status, _, _, _ := n.ctl.view.Status("j-000001"); status != model.JobCancelled {
			sim.t.Errorf("%s: the cancelled job is %s", n.name, status)
		}
	}
	sim.requireInvariants()
}

// A field that differs from "ref" in case alone is unknown and has to be ignored. One that named a
// cancelled job had that job started again, its end overwritten, and the accepted job never run.
func TestUnknownFieldDoesNotReviveACancelledJob(t *testing.T) {
	for _, name := range []string{"Ref", "REF", "reF"} {
		sim := newSmallDeployment(t, 45)
		cancelledJob(sim)
		starts := sim.invariants.Starts
		job := sim.submitWithFields(arrayJob(2, 2, 5), 0, fmt.Sprintf(`,%q:"j-000001"`, name))
		sim.runUntil(60*model.Second, "the accepted job is done", func() bool { return job.reportedEnd == "done" })
		sim.Run(sim.Now + 30*model.Second)
		if got := sim.invariants.Starts - starts; got != 2 {
			t.Errorf("%s: %d starts for the 2 tasks of the accepted job", name, got)
		}
		requireStillCancelled(sim)
	}
}

// A stored submission may name another job than its key, as an earlier version wrote it: the
// record is that of the key's job. It is read from changes, and from a listing after a restart.
func TestRecordNamesAnotherJob(t *testing.T) {
	for _, restart := range []bool{false, true} {
		sim := newSmallDeployment(t, 46)
		cancelledJob(sim)
		if restart {
			for _, n := range sim.nodes {
				n.crash()
			}
		}
		submission := arrayJob(2, 2, 5)
		sim.invariants.Submitted[submission.ID] = submission.Job(0)
		stored := *submission
		stored.ID = "j-000001"
		key := state.JobKey(submission.ID)
		txn := &state.Txn{Conditions: []state.Condition{{Path: key}}, Then: []state.Op{{Set: key, Value: shard.JobRecord{Spec: &stored}}}}
		if result, err := sim.state.Commit("", txn); err != nil || !result.OK {
			t.Fatal(result, err)
		}
		for _, n := range sim.nodes {
			if restart {
				n.start()
			}
		}
		job := &user{sim: sim, submission: submission}
		job.poll()
		sim.runUntil(90*model.Second, "the accepted job is done", func() bool { return job.reportedEnd == "done" })
		requireStillCancelled(sim)
	}
}

// If the scheduler completes a job that is cancelled, the end that users were told stays, and the
// scheduler's further writes are not held up.
func TestSchedulerCompletesACancelledJob(t *testing.T) {
	sim := newSmallDeployment(t, 47)
	cancelled := cancelledJob(sim)
	completeInScheduler(sim, cancelled)
	job := sim.submit(arrayJob(2, 2, 5), 0)
	sim.runUntil(60*model.Second, "a later job is done", func() bool { return job.reportedEnd == "done" })
	requireStillCancelled(sim)
}

// Even if the leader's view has lost the end of a cancelled job, the state service refuses to
// replace it: an end is conditional on the acceptance.
func TestStateServiceKeepsTheEnd(t *testing.T) {
	sim := newSmallDeployment(t, 48)
	cancelled := cancelledJob(sim)
	jobView := sim.leader().ctl.view.Jobs["j-000001"]
	jobView.End = ""
	completeInScheduler(sim, cancelled)
	refused := 0
	sim.leader().intercept = func(m msgCommitted) bool {
		for _, write := range m.writes {
			if _, isEnd := write.EndedJob(); isEnd {
				refused++
			}
		}
		return false
	}
	sim.Run(sim.Now + 5*model.Second)
	if refused == 0 {
		t.Error("the leader has not tried to write an end")
	}
	jobView.End = model.JobCancelled
	requireStillCancelled(sim)
}

// completeInScheduler makes the leader's scheduler believe that all tasks of a job are done.
func completeInScheduler(sim *simDeployment, job *user) {
	ctl := sim.leader().ctl
	var done model.TaskSet
	for i := range job.submission.Tasks {
		done.Add(i)
	}
	if added := ctl.leading.shard.AddJob(job.submission.Job(0), done, "", ctl.now, 0); !added.EndPending {
		sim.t.Fatal("the scheduler does not want to write the end of the job")
	}
}
