package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// jobPut is a job record to be put into a view.
type jobPut struct {
	jobID  string
	record shard.JobRecord
}

func submittedJob(jobID string, awaits ...string) jobPut {
	return jobPut{jobID, shard.JobRecord{Spec: &model.Submission{ID: jobID, Tasks: 1, Priority: "idle", EstimateS: 10, AcceptedMs: 1000, Awaits: awaits}}}
}

func (v *View) putAll(puts ...jobPut) {
	for _, put := range puts {
		v.Put(JobKey(put.jobID), put.record, uint64(len(v.Revisions)+int(v.Revisions[JobKey(put.jobID)])+1))
	}
}

func doneJob(jobID string, atMs int64) jobPut {
	return jobPut{jobID, shard.JobRecord{End: model.JobDone, Tasks: 1, EndedMs: atMs}}
}

func cancelledJob(put jobPut) jobPut {
	put.record.End = model.JobCancelled
	return put
}

// The state of jobs that await others must depend on the records alone, not on the order in which
// they are applied. Otherwise controllers would disagree about which jobs may start.
func TestDependenciesInAnyOrder(t *testing.T) {
	b := submittedJob("j-b", "j-a")
	cancelled := submittedJob("j-x")
	all := []jobPut{doneJob("j-a", 5000), b, submittedJob("j-c", "j-a", "j-b"), cancelled, cancelledJob(cancelled), submittedJob("j-y", "j-a", "j-x"), submittedJob("j-z", "j-y"), doneJob("j-d", 7000),
		submittedJob("j-e", "j-d", "j-a"), cancelledJob(submittedJob("j-w", "j-b")), submittedJob("j-v", "j-w")}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		view := NewView()
		revisions := map[string]uint64{"j-a": 1, "j-b": 2, "j-c": 3, "j-x": 4, "j-y": 6, "j-z": 7, "j-d": 8, "j-e": 9, "j-w": 10, "j-v": 11}
		for _, index := range rng.Perm(len(all)) {
			revision := revisions[all[index].jobID]
			if all[index].jobID == "j-x" && all[index].record.End != "" {
				revision++
			}
			view.Put(JobKey(all[index].jobID), all[index].record, revision)
		}
		for jobID, want := range map[string]string{"j-a": "done", "j-b": "pending", "j-c": "pending", "j-x": "withdrawn", "j-y": "withdrawn", "j-z": "withdrawn",
			"j-d": "done", "j-e": "pending", "j-w": "withdrawn", "j-v": "withdrawn"} {
			if status, _, _, _ := view.Status(jobID); status != want {
				t.Fatalf("%s is %s, want %s", jobID, status, want)
			}
		}
		for jobID, want := range map[string]bool{"j-b": true, "j-c": false, "j-e": true, "j-y": false, "j-v": false} {
			if view.Jobs[jobID].Ready() != want {
				t.Fatalf("%s: ready is %v, want %v", jobID, !want, want)
			}
		}
		if job := view.Jobs["j-e"]; job.ReadyMs() != 7000 || job.Order() != 9 {
			t.Fatalf("j-e: ready at %d ms with order %d, want 7000 and 9", job.ReadyMs(), job.Order())
		}
	}
}

// The times of a job count from the end of its last dependency, except for its deadline. Its
// dependencies inherit its priority, and deadlines that let it meet its own.
func TestDependentsRaisePriority(t *testing.T) {
	deadlineS := 100.0
	last := submittedJob("j-c", "j-b")
	last.record.Spec.Priority, last.record.Spec.DeadlineS = "urgent", &deadlineS // due at 101,000 ms
	view := NewView()
	view.putAll(submittedJob("j-a"), submittedJob("j-b", "j-a"))
	if priority, deadline := view.Jobs["j-a"].EffectivePriority(); priority != model.LowPriority || deadline != 0 {
		t.Errorf("without dependents: priority %d, deadline %d, want low priority and no deadline", priority, deadline)
	}
	view.TakeChangedJobs()
	view.putAll(last)
	if changed := view.TakeChangedJobs(); len(changed) != 1 || changed[0] != "j-a" {
		t.Errorf("changed jobs %v, want j-a, which may start", changed)
	}
	if priority, deadline := view.Jobs["j-a"].EffectivePriority(); priority != model.HighPriority || deadline != 80*model.Second {
		t.Errorf("first job: priority %d, deadline in %.1f s, want high priority and 80 s", priority, deadline.Seconds())
	}
	view.putAll(doneJob("j-a", 31_000))
	if changed := view.TakeChangedJobs(); len(changed) != 1 || changed[0] != "j-b" {
		t.Errorf("changed jobs %v, want j-b, which may start now", changed)
	}
	if job := view.Jobs["j-b"]; job.ReadyMs() != 31_000 || job.Job().Deadline != 60*model.Second || job.Job().Priority != model.HighPriority {
		t.Errorf("second job: ready at %d ms, %+v; want 31000 ms, a deadline of 60 s and high priority", job.ReadyMs(), job.Job())
	}
	view.putAll(doneJob("j-b", 200_000))
	if job := view.Jobs["j-c"]; !job.Ready() || job.Job().Deadline != 1 {
		t.Errorf("last job, past its deadline: ready %v, deadline %d, want true and 1", job.Ready(), job.Job().Deadline)
	}
}

// Dependencies must be resolved and cancelled correctly along a chain of 1,000 jobs and across a
// fan-out and fan-in of 1,000 jobs.
func TestDeepAndWideDependencies(t *testing.T) {
	const jobCount = 1000
	idOf := func(i int) string { return fmt.Sprintf("j-%06d", i) }
	chain := NewView()
	chain.putAll(submittedJob(idOf(0)))
	for i := 1; i < jobCount; i++ {
		chain.putAll(submittedJob(idOf(i), idOf(i-1)))
	}
	for i := range jobCount / 2 {
		if !chain.Jobs[idOf(i)].Ready() || chain.Jobs[idOf(i+1)].Ready() {
			t.Fatalf("chain: job %d is not ready or the one after it is", i)
		}
		chain.putAll(doneJob(idOf(i), 1))
	}
	chain.putAll(cancelledJob(submittedJob(idOf(jobCount/2), idOf(jobCount/2-1))))
	fan, all := NewView(), make([]string, 0, jobCount)
	fan.putAll(submittedJob("j-first"))
	for i := range jobCount {
		fan.putAll(submittedJob(idOf(i), "j-first"))
		all = append(all, idOf(i))
	}
	fan.putAll(submittedJob("j-last", all...), doneJob("j-first", 1))
	for i := range jobCount {
		if end, _ := chain.EffectiveEnd(idOf(i)); i >= jobCount/2 && end != model.JobCancelled || i < jobCount/2 && end != model.JobDone {
			t.Fatalf("chain: job %d has the end %q", i, end)
		}
		if !fan.Jobs[idOf(i)].Ready() || fan.Jobs["j-last"].Ready() {
			t.Fatalf("fan: job %d is not ready or the last job is", i)
		}
		fan.putAll(doneJob(idOf(i), 1))
	}
	if !fan.Jobs["j-last"].Ready() {
		t.Error("fan: all dependencies of the last job are done, but it is not ready")
	}
}

// An entry that one transaction wrote into two bundles must remain when one of the bundles drops
// it; otherwise tasks that are bound would be lost.
func TestDuplicateEntries(t *testing.T) {
	machine := map[string]*shard.MachineRecord{"h1": {Tasks: map[string][][2]uint64{"j-1": {{0, 5}}}}}
	for dropped := range 2 {
		view := NewView()
		view.Put("job/j-1", submittedJob("j-1").record, 1)
		view.Put(BundleKey("b0", 0), shard.BundleRecord{Machines: machine}, 7)
		view.Put(BundleKey("b0", 1), shard.BundleRecord{Machines: machine}, 7)
		view.Put(BundleKey("b0", dropped), shard.BundleRecord{}, 8)
		if status, _, running, _ := view.Status("j-1"); status != "running" || running != 1 {
			t.Errorf("after bundle %d dropped the entry: status %s, %d running; want running, 1", dropped, status, running)
		}
		view.Put(BundleKey("b0", 1-dropped), shard.BundleRecord{}, 9)
		if status, _, _, _ := view.Status("j-1"); status != "pending" {
			t.Errorf("after both bundles dropped the entry: status %s, want pending", status)
		}
	}
}

func BenchmarkPipelines(b *testing.B) {
	const jobCount = 1000
	jobIDs := make([]string, jobCount+1)
	for i := range jobIDs {
		jobIDs[i] = fmt.Sprintf("j-%06d", i)
	}
	b.Run("chain", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			view := NewView()
			view.putAll(submittedJob(jobIDs[0]))
			for i := range jobCount {
				view.putAll(submittedJob(jobIDs[i+1], jobIDs[i]))
			}
			for i := range jobCount {
				view.putAll(doneJob(jobIDs[i], 1))
			}
		}
	})
	b.Run("fans", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			view := NewView()
			view.putAll(submittedJob("j-first"))
			for i := range jobCount {
				view.putAll(submittedJob(jobIDs[i], "j-first"))
			}
			view.putAll(submittedJob("j-last", jobIDs[:jobCount]...), doneJob("j-first", 1))
			for i := range jobCount {
				view.putAll(doneJob(jobIDs[i], 1))
			}
		}
	})
}
