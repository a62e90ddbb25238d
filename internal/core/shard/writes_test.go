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
func TestLostBundleIsWrittenAgainFirst(t *testing.T) {
	h := newHolder(5)
	h.AddJob(job("j-1", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h1", "box", "a").says(sec, 5)
	write(h, sec)
	h.AddJob(job("j-2", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h2", "box", "a").says(sec, 5)
	lost := h.Writes(16, 48<<10)
	h.Params.MaxValue = 400 // a slot that holds anything is full now
	h.AddJob(job("j-3", 4, model.Array), model.Set{}, "", 0, 0)
	newWorker(h, "h3", "box", "a").says(sec, 5)
	h.Retry(lost, true)
	again := h.Writes(16, 48<<10)
	if again[0].Slot != lost[0].Slot {
		t.Fatalf("slot %d is written first, want %d", again[0].Slot, lost[0].Slot)
	}
	h.Committed(again, sec)
	write(h, sec)
	for _, ref := range []string{"h1", "h2"} {
		if m := h.Machines[ref]; m.DurableVersion < m.Version {
			t.Errorf("%s is not durable", ref)
		}
	}
}

// A slot that is written anew carries along what only it holds. A machine that
// is gone is denied as long as an older record of it stands elsewhere, or a new
// holder would take it for present.
func TestBundlesCarryWhatOnlyTheyHold(t *testing.T) {
	h := newHolder(5)
	stored := map[int]BundleRecord{}
	store := func() {
		for h.Queued() > 0 {
			ws := h.Writes(16, 48<<10)
			for _, w := range ws {
				stored[w.Slot] = w.Value.(BundleRecord)
			}
			h.Committed(ws, sec)
		}
	}
	for _, ref := range []string{"h1", "h2", "h3"} {
		h.Params.MaxValue = 280 // one machine fills a quarter
		h.markChanged(h.AddMachine(ref, "box", "a", false, 0))
		store()
	}
	if len(stored) < 2 {
		t.Fatalf("all in %d slots", len(stored))
	}
	seed := uint64(1)
	for i := range 200 {
		seed = seed*6364136223846793005 + 1442695040888963407
		ref := []string{"h1", "h2", "h3", "h4", "h5"}[seed>>33%5]
		if h.Machines[ref] != nil && seed>>50%3 == 0 {
			h.MachineDeleted(ref, "deleted", sec)
		} else {
			h.markChanged(h.AddMachine(ref, "box", "a", false, 0))
		}
		store()
		for _, ref := range []string{"h1", "h2", "h3", "h4", "h5"} {
			k, ok := h.liveAt["host/"+ref]
			rec, there := stored[k].Machines[ref]
			if h.Machines[ref] != nil && (!ok || !there || rec == nil) {
				t.Fatalf("step %d: %s is not where it is thought to be", i, ref)
			}
			for slot, b := range stored {
				if rec := b.Machines[ref]; h.Machines[ref] == nil && rec != nil && (!ok || stored[k].Machines[ref] != nil) {
					t.Fatalf("step %d: %s is gone, but stands in slot %d", i, ref, slot)
				}
			}
		}
	}
}

// What has to be written along with a change stays little, and slots stay few,
// however long machines come, change and go.
func TestSlotsStayFew(t *testing.T) {
	h := newHolder(5)
	js := h.AddJob(job("j-1", 90_000, model.Array), model.Set{}, "", 0, 0)
	next := 0
	add := func() *model.Machine {
		next++
		m := h.AddMachine(fmt.Sprintf("host-%06d", next), "box", "a", false, 0)
		for k := range 6 {
			h.bind(js, next*8+k, m, h.NextAttempt(), 0)
		}
		return m
	}
	var ms []*model.Machine
	for range 300 {
		ms = append(ms, add())
	}
	write(h, sec)
	for i := range 3000 {
		k := i * 7 % len(ms)
		if i%5 == 0 {
			h.MachineDeleted(ms[k].ID, "deleted", sec)
			ms[k] = add()
		} else {
			h.markChanged(ms[k])
		}
		write(h, sec)
	}
	total := 0
	for e, k := range h.liveAt {
		if h.kept(e, k) {
			total += h.size(e)
		}
	}
	if most := 4*total/h.Params.MaxValue + 8; len(h.slots) > most {
		t.Errorf("%d slots for %d bytes, want at most %d", len(h.slots), total, most)
	}
	for k, s := range h.slots {
		if _, size := h.carried(k); s.live < size {
			t.Errorf("slot %d: %d bytes are kept, %d counted", k, size, s.live)
		}
	}
}

// The finished tasks of a job that is too large for a value are stored in parts, and
// what an earlier holder stored as a whole is kept until all of it stands in parts: at
// no moment does a reader miss a completion that it could see before. A holder with
// larger values reads the parts, and so on to and fro.
func TestPartsOfALargeJob(t *testing.T) {
	const pieces = 20_000
	j := job("j-1", pieces, model.Array)
	stored := map[int]BundleRecord{}
	var order []int // slots as they were last written
	store := func(ws []Write) {
		for _, w := range ws {
			stored[w.Slot] = w.Value.(BundleRecord)
			order = append(slices.DeleteFunc(order, func(k int) bool { return k == w.Slot }), w.Slot)
		}
	}
	read := func() (s model.Set) {
		for _, b := range stored {
			s.Merge(b.Done["j-1"], 0)
			for k := range model.Parts(pieces) {
				s.Merge(b.Done[strings.TrimPrefix(PartEntry("j-1", k), DoneEntry)], k*model.TasksPerPart)
			}
		}
		return s
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for token, limit := range []int{28_000, 1_900, 28_000, 1_900, 1_200} {
		h := newHolder(uint64(token + 5))
		h.Params.MaxValue, h.Params.Dense = limit, token == 3
		js := h.AddJob(j, read(), "", 0, 0)
		for _, k := range order {
			b := stored[k]
			h.LoadSlot(k, b.Names())
		}
		for round := range 60 {
			before := read()
			for range 20 {
				h.complete(model.TaskID{Job: "j-1", Index: rng.IntN(pieces)}, nil, sec)
			}
			ws := h.Writes(1, 48<<10)
			for _, w := range ws {
				raw, err := json.Marshal(w.Value)
				if err != nil || len(raw) > limit {
					t.Fatalf("a value of %d bytes where %d are borne: %v", len(raw), limit, err)
				}
			}
			store(ws)
			h.Committed(ws, sec)
			after := read()
			for n := range pieces {
				if before.Has(n) && !after.Has(n) {
					t.Fatalf("limit %d, round %d: the completion of %d was there and is gone", limit, round, n)
				}
			}
		}
		for h.Queued() > 0 {
			ws := h.Writes(3, 48<<10)
			store(ws)
			h.Committed(ws, sec)
		}
		if s := read(); s.Len() != js.Done.Len() || s.Len() < 1000 {
			t.Fatalf("%d of %d completions are stored", s.Len(), js.Done.Len())
		}
	}
}
