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

// The write of a bundle that got no response may still take effect. The bundle is written
// again before any other, so that the condition on its revision makes the late copy fail,
// and its entries become durable.
func TestUnansweredBundleIsWrittenAgainFirst(t *testing.T) {
	s := newTestState(5)
	s.AddJob(newJob("j-1", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h1", "box", "a").sendHeartbeat(sec, 5)
	commitAll(s, sec)
	s.AddJob(newJob("j-2", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h2", "box", "a").sendHeartbeat(sec, 5)
	unanswered := s.Writes(16, 48<<10)
	s.Params.MaxValue = 400 // every slot that is not empty is full now
	s.AddJob(newJob("j-3", 4, model.Array), model.TaskSet{}, "", 0, 0)
	newWorker(s, "h3", "box", "a").sendHeartbeat(sec, 5)
	s.Retry(unanswered, true)
	retried := s.Writes(16, 48<<10)
	if retried[0].Slot != unanswered[0].Slot {
		t.Fatalf("got slot %d written first, want %d", retried[0].Slot, unanswered[0].Slot)
	}
	s.Committed(retried, sec)
	commitAll(s, sec)
	for _, machineID := range []string{"h1", "h2"} {
		if machine := s.Machines[machineID]; machine.DurableVersion < machine.Version {
			t.Errorf("%s is not durable", machineID)
		}
	}
}

// When a slot is rewritten, the entries of which it holds the latest version are kept. The
// record that a machine is gone is kept as long as another slot holds an older record of
// it. Otherwise a new owner would restore the machine.
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
		s.Params.MaxValue = 280 // one machine takes a quarter of a bundle
		s.markChanged(s.AddMachine(machineID, "box", "a", false, 0))
		store()
	}
	if len(stored) < 2 {
		t.Fatalf("got %d slots, want at least 2", len(stored))
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
				t.Fatalf("step %d: the record of %s is not in the slot that is recorded for it", i, machineID)
			}
			for staleSlot, bundle := range stored {
				if record := bundle.Machines[machineID]; s.Machines[machineID] == nil && record != nil && (!ok || stored[slot].Machines[machineID] != nil) {
					t.Fatalf("step %d: %s is gone, but has a record in slot %d and no later record that it is gone", i, machineID, staleSlot)
				}
			}
		}
	}
}

// The entries that have to be kept when a slot is rewritten remain small, and the number
// of slots remains bounded, however long machines are added, changed and deleted.
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
		t.Errorf("got %d slots for %d live bytes, want at most %d", len(s.slots), total, maxSlots)
	}
	for slotIndex, slot := range s.slots {
		if _, size := s.liveEntries(slotIndex); slot.liveBytes < size {
			t.Errorf("slot %d: got %d bytes of live entries, but only %d counted", slotIndex, size, slot.liveBytes)
		}
	}
}

// The finished tasks of a job that is too large for one value are stored in parts. The
// whole set that an earlier owner stored is kept until all of it is stored in parts, so
// that a reader never misses a completion that it could see before. An owner with a higher
// limit reads the parts. The test alternates between limits.
func TestFinishedTasksInParts(t *testing.T) {
	const tasks = 20_000
	spec := newJob("j-1", tasks, model.Array)
	stored := map[int]BundleRecord{}
	var order []int // slots in the order of their last writes
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
					t.Fatalf("got a value of %d bytes, want at most %d: %v", len(raw), limit, err)
				}
			}
			store(writes)
			s.Committed(writes, sec)
			after := read()
			for n := range tasks {
				if before.Has(n) && !after.Has(n) {
					t.Fatalf("limit %d, round %d: the stored completion of task %d is lost", limit, round, n)
				}
			}
		}
		for s.PendingWrites() > 0 {
			writes := s.Writes(3, 48<<10)
			store(writes)
			s.Committed(writes, sec)
		}
		if done := read(); done.Len() != job.Done.Len() || done.Len() < 1000 {
			t.Fatalf("got %d of %d completions stored, want all, and at least 1000", done.Len(), job.Done.Len())
		}
	}
}
