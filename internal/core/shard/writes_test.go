package shard

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

// A bundle whose write got no answer may yet be carried out. It is written again
// before any other, so that its guard shuts the late copy out, and what it held
// is written again, too.
func TestUnansweredBundleIsWrittenAgainFirst(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h1", "box", "a").sendHeartbeat(sec, 5)
	commitAll(s, sec)
	s.AddJob(newJob("j-2", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h2", "box", "a").sendHeartbeat(sec, 5)
	unanswered := s.Writes(16, 48<<10)
	s.Params.MaxValue = 400 // a slot that holds anything is full now
	s.AddJob(newJob("j-3", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h3", "box", "a").sendHeartbeat(sec, 5)
	s.Retry(unanswered, true)
	retried := s.Writes(16, 48<<10)
	if retried[0].Slot != unanswered[0].Slot {
		t.Fatalf("slot %d is written first, want %d", retried[0].Slot, unanswered[0].Slot)
	}
	s.Committed(retried, sec)
	commitAll(s, sec)
	for _, machineID := range []string{"h1", "h2"} {
		if machine := s.Machines[machineID]; machine.DurableVersion < machine.Version {
			t.Errorf("%s is not durable", machineID)
		}
	}
}

// A slot that is written anew carries along what only it holds. A machine that
// is gone is denied as long as an older record of it stands elsewhere, or a new
// owner would take it for present.
func TestBundlesKeepLiveEntries(t *testing.T) {
	s := newTestState(5)
	stored := map[int]BundleRecord{}
	store := func() {
		for s.PendingWrites() > 0 {
			writes := s.Writes(16, 48<<10)
			for _, write := range writes {
				stored[write.Slot] = write.Value.(BundleRecord)
			}
			s.Committed(writes, sec)
		}
	}
	for _, machineID := range []string{"h1", "h2", "h3"} {
		s.Params.MaxValue = 280 // one machine fills a quarter
		s.markChanged(s.AddMachine(machineID, "box", "a", false, 0))
		store()
	}
	if len(stored) < 2 {
		t.Fatalf("all in %d slots", len(stored))
	}
	seed := uint64(1)
	for i := range 200 {
		seed = seed*6364136223846793005 + 1442695040888963407
		machineID := []string{"h1", "h2", "h3", "h4", "h5"}[seed>>33%5]
		if s.Machines[machineID] != nil && seed>>50%3 == 0 {
			s.MachineDeleted(machineID, "deleted", sec)
		} else {
			s.markChanged(s.AddMachine(machineID, "box", "a", false, 0))
		}
		store()
		for _, machineID := range []string{"h1", "h2", "h3", "h4", "h5"} {
			slot, ok := s.latestSlot["host/"+machineID]
			record, present := stored[slot].Machines[machineID]
			if s.Machines[machineID] != nil && (!ok || !present || record == nil) {
				t.Fatalf("step %d: %s is not where it is thought to be", i, machineID)
			}
			for staleSlot, bundle := range stored {
				if record := bundle.Machines[machineID]; s.Machines[machineID] == nil && record != nil && (!ok || stored[slot].Machines[machineID] != nil) {
					t.Fatalf("step %d: %s is gone, but stands in slot %d", i, machineID, staleSlot)
				}
			}
		}
	}
}

// What has to be written along with a change stays little, and slots stay few,
// however long machines come, change and go.
func TestNumberOfSlotsIsBounded(t *testing.T) {
	s := newTestState(5)
	job := s.AddJob(newJob("j-1", 90_000, model.Array), model.TaskSet{}, "", 0, 0)
	lastIndex := 0
	add := func() *model.Machine {
		lastIndex++
		machine := s.AddMachine(fmt.Sprintf("host-%06d", lastIndex), "box", "a", false, 0)
		for k := range 6 {
			s.bind(job, lastIndex*8+k, machine, s.NextAttempt(), 0)
		}
		return machine
	}
	var machines []*model.Machine
	for range 300 {
		machines = append(machines, add())
	}
	commitAll(s, sec)
	for i := range 3000 {
		index := i * 7 % len(machines)
		if i%5 == 0 {
			s.MachineDeleted(machines[index].ID, "deleted", sec)
			machines[index] = add()
		} else {
			s.markChanged(machines[index])
		}
		commitAll(s, sec)
	}
	total := 0
	for entry, slotIndex := range s.latestSlot {
		if s.isLive(entry, slotIndex) {
			total += s.entryBytes(entry)
		}
	}
	if maxSlots := 4*total/s.Params.MaxValue + 8; len(s.slots) > maxSlots {
		t.Errorf("%d slots for %d bytes, want at most %d", len(s.slots), total, maxSlots)
	}
	for slotIndex, slot := range s.slots {
		if _, size := s.liveEntries(slotIndex); slot.liveBytes < size {
			t.Errorf("slot %d: %d bytes are kept, %d counted", slotIndex, size, slot.liveBytes)
		}
	}
}

// The finished tasks of a job that is too large for a value are stored in parts, and
// what an earlier owner stored as a whole is kept until all of it stands in parts: at
// no moment does a reader miss a completion that it could see before. A owner with
// larger values reads the parts, and so on to and fro.
func TestFinishedTasksInParts(t *testing.T) {
	const tasks = 20_000
	spec := newJob("j-1", tasks, model.Array)
	stored := map[int]BundleRecord{}
	var order []int // slots as they were last written
	store := func(writes []Write) {
		for _, write := range writes {
			stored[write.Slot] = write.Value.(BundleRecord)
			order = append(slices.DeleteFunc(order, func(k int) bool { return k == write.Slot }), write.Slot)
		}
	}
	read := func() (done model.TaskSet) {
		for _, bundle := range stored {
			done.Merge(bundle.Done["j-1"], 0)
			for part := range model.PartCount(tasks) {
				done.Merge(bundle.Done[strings.TrimPrefix(PartEntry("j-1", part), DoneEntry)], part*model.TasksPerPart)
			}
		}
		return done
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for token, limit := range []int{28_000, 1_900, 28_000, 1_900, 1_200} {
		s := newTestState(uint64(token + 5))
		s.Params.MaxValue, s.Params.DenseBundles = limit, token == 3
		job := s.AddJob(spec, read(), "", 0, 0)
		for _, slot := range order {
			bundle := stored[slot]
			s.SetSlotEntries(slot, bundle.Names())
		}
		for round := range 60 {
			before := read()
			for range 20 {
				s.recordCompletion(model.TaskID{Job: "j-1", Index: rng.IntN(tasks)}, nil, sec)
			}
			writes := s.Writes(1, 48<<10)
			for _, write := range writes {
				raw, err := json.Marshal(write.Value)
				if err != nil || len(raw) > limit {
					t.Fatalf("a value of %d bytes where %d are borne: %v", len(raw), limit, err)
				}
			}
			store(writes)
			s.Committed(writes, sec)
			after := read()
			for n := range tasks {
				if before.Has(n) && !after.Has(n) {
					t.Fatalf("limit %d, round %d: the completion of %d was there and is gone", limit, round, n)
				}
			}
		}
		for s.PendingWrites() > 0 {
			writes := s.Writes(3, 48<<10)
			store(writes)
			s.Committed(writes, sec)
		}
		if done := read(); done.Len() != job.Done.Len() || done.Len() < 1000 {
			t.Fatalf("%d of %d completions are stored", done.Len(), job.Done.Len())
		}
	}
}
