package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

type jobPut struct {
	jobID string
	rec   shard.JobRecord
}

func submittedJob(jobID string, awaits ...string) jobPut {
	return jobPut{jobID, shard.JobRecord{Spec: &model.Submission{ID: jobID, Tasks: 1, Priority: "idle", EstimateS: 10, AcceptedMs: 1000, Awaits: awaits}}}
}

func (v *View) putAll(ps ...jobPut) {
	for _, p := range ps {
		v.Put(JobKey(p.jobID), p.rec, uint64(len(v.Revisions)+int(v.Revisions[JobKey(p.jobID)])+1))
	}
}

func doneJob(jobID string, atMs int64) jobPut {
	return jobPut{jobID, shard.JobRecord{End: model.JobDone, Tasks: 1, EndedMs: atMs}}
}

func cancelledJob(p jobPut) jobPut {
	p.rec.End = model.JobCancelled
	return p
}

// What becomes of jobs that await others follows from the records alone, in
// whatever order they become known.
func TestDependenciesInAnyOrder(t *testing.T) {
	b := submittedJob("j-b", "j-a")
	cancelled := submittedJob("j-x")
	all := []jobPut{doneJob("j-a", 5000), b, submittedJob("j-c", "j-a", "j-b"), cancelled, cancelledJob(cancelled), submittedJob("j-y", "j-a", "j-x"), submittedJob("j-z", "j-y"), doneJob("j-d", 7000),
		submittedJob("j-e", "j-d", "j-a"), cancelledJob(submittedJob("j-w", "j-b")), submittedJob("j-v", "j-w")}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		v := NewView()
		revisions := map[string]uint64{"j-a": 1, "j-b": 2, "j-c": 3, "j-x": 4, "j-y": 6, "j-z": 7, "j-d": 8, "j-e": 9, "j-w": 10, "j-v": 11}
		for _, k := range rng.Perm(len(all)) {
			revision := revisions[all[k].jobID]
			if all[k].jobID == "j-x" && all[k].rec.End != "" {
				revision++
			}
			v.Put(JobKey(all[k].jobID), all[k].rec, revision)
		}
		for jobID, want := range map[string]string{"j-a": "done", "j-b": "pending", "j-c": "pending", "j-x": "withdrawn", "j-y": "withdrawn", "j-z": "withdrawn",
			"j-d": "done", "j-e": "pending", "j-w": "withdrawn", "j-v": "withdrawn"} {
			if status, _, _, _ := v.Status(jobID); status != want {
				t.Fatalf("%s is %s, want %s", jobID, status, want)
			}
		}
		for jobID, want := range map[string]bool{"j-b": true, "j-c": false, "j-e": true, "j-y": false, "j-v": false} {
			if v.Jobs[jobID].Ready() != want {
				t.Fatalf("%s is ready: %v", jobID, !want)
			}
		}
		if e := v.Jobs["j-e"]; e.ReadyMs() != 7000 || e.Order() != 9 {
			t.Fatalf("j-e could begin at %d ms, its age is %d", e.ReadyMs(), e.Order())
		}
	}
}

// A job counts its times from the end of the last job that it needs, except its
// deadline; the jobs before it have its priority, and are due early enough for it.
func TestPriorityFollowsFromDependents(t *testing.T) {
	due := 100.0
	last := submittedJob("j-c", "j-b")
	last.rec.Spec.Priority, last.rec.Spec.DeadlineS = "urgent", &due // due at 101,000 ms
	v := NewView()
	v.putAll(submittedJob("j-a"), submittedJob("j-b", "j-a"))
	if priority, due := v.Jobs["j-a"].EffectivePriority(); priority != model.LowPriority || due != 0 {
		t.Errorf("alone: priority %d, due in %d", priority, due)
	}
	v.TakeChangedJobs()
	v.putAll(last)
	if changed := v.TakeChangedJobs(); len(changed) != 1 || changed[0] != "j-a" {
		t.Errorf("changed jobs %v, want j-a, which may begin", changed)
	}
	if priority, due := v.Jobs["j-a"].EffectivePriority(); priority != model.HighPriority || due != 80*model.Second {
		t.Errorf("first: priority %d, due in %.1f s", priority, due.Seconds())
	}
	v.putAll(doneJob("j-a", 31_000))
	if changed := v.TakeChangedJobs(); len(changed) != 1 || changed[0] != "j-b" {
		t.Errorf("changed jobs %v, want j-b, which may begin now", changed)
	}
	if j := v.Jobs["j-b"]; j.ReadyMs() != 31_000 || j.Job().Deadline != 60*model.Second || j.Job().Priority != model.HighPriority {
		t.Errorf("second: from %d ms, %+v", j.ReadyMs(), j.Job())
	}
	v.putAll(doneJob("j-b", 200_000))
	if j := v.Jobs["j-c"]; !j.Ready() || j.Job().Deadline != 1 {
		t.Errorf("last: ready %v, due in %d, which is over", j.Ready(), j.Job().Deadline)
	}
}

// A deep chain and wide fans.
func TestDeepAndWideDependencies(t *testing.T) {
	const n = 1000
	idOf := func(i int) string { return fmt.Sprintf("j-%06d", i) }
	chain := NewView()
	chain.putAll(submittedJob(idOf(0)))
	for i := 1; i < n; i++ {
		chain.putAll(submittedJob(idOf(i), idOf(i-1)))
	}
	for i := range n / 2 {
		if !chain.Jobs[idOf(i)].Ready() || chain.Jobs[idOf(i+1)].Ready() {
			t.Fatalf("%d of the chain", i)
		}
		chain.putAll(doneJob(idOf(i), 1))
	}
	chain.putAll(cancelledJob(submittedJob(idOf(n/2), idOf(n/2-1))))
	fan, all := NewView(), make([]string, 0, n)
	fan.putAll(submittedJob("j-first"))
	for i := range n {
		fan.putAll(submittedJob(idOf(i), "j-first"))
		all = append(all, idOf(i))
	}
	fan.putAll(submittedJob("j-last", all...), doneJob("j-first", 1))
	for i := range n {
		if end, _ := chain.EffectiveEnd(idOf(i)); i >= n/2 && end != model.JobCancelled || i < n/2 && end != model.JobDone {
			t.Fatalf("%d of the chain is %q", i, end)
		}
		if !fan.Jobs[idOf(i)].Ready() || fan.Jobs["j-last"].Ready() {
			t.Fatalf("%d of the fan", i)
		}
		fan.putAll(doneJob(idOf(i), 1))
	}
	if !fan.Jobs["j-last"].Ready() {
		t.Error("a thousand jobs are done, and the one after them may not begin")
	}
}

// An entry that one transaction wrote into two bundles still stands in one of them
// when the other drops it.
func TestDuplicateEntries(t *testing.T) {
	machine := map[string]*shard.MachineRecord{"h1": {Tasks: map[string][][2]uint64{"j-1": {{0, 5}}}}}
	for dropped := range 2 {
		v := NewView()
		v.Put("job/j-1", submittedJob("j-1").rec, 1)
		v.Put(BundleKey("b0", 0), shard.BundleRecord{Machines: machine}, 7)
		v.Put(BundleKey("b0", 1), shard.BundleRecord{Machines: machine}, 7)
		v.Put(BundleKey("b0", dropped), shard.BundleRecord{}, 8)
		if status, _, n, _ := v.Status("j-1"); status != "running" || n != 1 {
			t.Errorf("bundle %d dropped it: %s, %d running", dropped, status, n)
		}
		v.Put(BundleKey("b0", 1-dropped), shard.BundleRecord{}, 9)
		if status, _, _, _ := v.Status("j-1"); status != "pending" {
			t.Errorf("both dropped it: %s", status)
		}
	}
}

func BenchmarkPipelines(b *testing.B) {
	const n = 1000
	refs := make([]string, n+1)
	for i := range refs {
		refs[i] = fmt.Sprintf("j-%06d", i)
	}
	b.Run("chain", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			v := NewView()
			v.putAll(submittedJob(refs[0]))
			for i := range n {
				v.putAll(submittedJob(refs[i+1], refs[i]))
			}
			for i := range n {
				v.putAll(doneJob(refs[i], 1))
			}
		}
	})
	b.Run("fans", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			v := NewView()
			v.putAll(submittedJob("j-first"))
			for i := range n {
				v.putAll(submittedJob(refs[i], "j-first"))
			}
			v.putAll(submittedJob("j-last", refs[:n]...), doneJob("j-first", 1))
			for i := range n {
				v.putAll(doneJob(refs[i], 1))
			}
		}
	})
}
