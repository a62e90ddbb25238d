package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// slot is a place for a bundle: what stands there durably, with the sizes it had
// when it was written, and how much of that is the latest version.
type slot struct {
	has  map[string]int
	live int
}

// LoadSlot books what stands durably in a slot: a bundle that was just written, or
// one of an earlier holder's. Bundles have to be booked in the order in which they
// were written.
func (h *State) LoadSlot(k int, names []string) {
	for len(h.slots) <= k {
		h.slots = append(h.slots, &slot{})
	}
	s := h.slots[k]
	old := s.has
	s.has, s.live = make(map[string]int, len(names)), 0
	for _, e := range names {
		size := h.size(e)
		s.has[e] = size
		s.live += size
		if _, ok := old[e]; !ok {
			h.copies[e]++
		}
		if was, ok := h.liveAt[e]; ok && was != k {
			h.slots[was].live -= h.slots[was].has[e]
		}
		h.liveAt[e] = k
	}
	for e := range old {
		if _, ok := s.has[e]; ok {
			continue
		}
		if h.copies[e]--; h.copies[e] == 0 {
			delete(h.copies, e)
		}
		if h.liveAt[e] == k {
			delete(h.liveAt, e)
		}
	}
}

// kept tells whether an entry has to stay when its slot is written anew: its
// latest version stands there and still says something. A machine that is gone
// is remembered as long as an older version of it stands elsewhere.
func (h *State) kept(entry string, k int) bool {
	if h.liveAt[entry] != k {
		return false
	}
	if ref, ok := strings.CutPrefix(entry, MachineEntry); ok {
		return h.Machines[ref] != nil || h.copies[entry] > 1
	}
	js, part := h.partOf(entry)
	if js == nil || js.Ended != "" {
		return false
	}
	if part < 0 && len(js.DoneVersions) > 1 {
		// The whole, of a holder that had larger values: it is read as long as not all
		// that it says stands in parts.
		return slices.ContainsFunc(js.DoneVersions, func(v model.Versions) bool { return v.Stored == 0 && v.Now > 0 })
	}
	return true
}

// carried is what would have to be written along with anything new in a slot.
func (h *State) carried(k int) (entries []string, size int) {
	for e := range h.slots[k].has {
		if h.kept(e, k) {
			entries = append(entries, e)
			size += h.size(e)
		}
	}
	return entries, size
}

// carryShare is the part of a bundle that may be carried along from what stood in
// its slot.
const carryShare = 4

// open begins a bundle for an entry of that size, in the slot that has least to be
// carried along. A new slot is added when all are rather full.
func (h *State) open(taken map[int]bool, size int) *Write {
	slotIndex := h.chooseSlot(taken, size)
	h.opened++
	taken[slotIndex] = true
	w := &Write{Slot: slotIndex, vers: map[string]uint64{}, known: map[string]bool{}, size: h.bundleBytes()}
	entries, _ := h.carried(slotIndex)
	slices.Sort(entries)
	for _, entry := range entries {
		h.include(w, entry)
	}
	return w
}

// chooseSlot finds the slot that has least to be carried along, or adds one.
func (h *State) chooseSlot(taken map[int]bool, size int) int {
	most := max(0, min(h.Params.MaxValue/carryShare, h.Params.MaxValue-h.bundleBytes()-size))
	best := h.emptiest(taken)
	if best >= 0 && h.slots[best].live > most && h.opened > len(h.slots)/4 {
		// What has ended since may be all that fills them.
		h.recountAll()
		best = h.emptiest(taken)
	}
	for best >= 0 && h.slots[best].live <= most {
		// What it has may have grown since it was written.
		if h.recount(best); h.slots[best].live <= most {
			return best
		}
		best = h.emptiest(taken)
	}
	h.slots = append(h.slots, &slot{})
	return len(h.slots) - 1
}

// recountAll finds out anew how much of every slot still has to be kept.
func (h *State) recountAll() {
	h.opened = 0
	h.oldest()
	for k := range h.slots {
		h.recount(k)
	}
}

// recount finds out anew how much of a slot still has to be kept.
func (h *State) recount(k int) {
	s := h.slots[k]
	s.live = 0
	for e := range s.has {
		s.has[e] = 0
		if h.kept(e, k) {
			s.has[e] = h.size(e)
			s.live += s.has[e]
		}
	}
}

// emptiest is the slot in which least is still the latest version, -1 if all are
// taken. Looking through all entries of all slots would cost more, on a large
// fleet, than all else that a transaction takes.
func (h *State) emptiest(taken map[int]bool) int {
	best := -1
	for k, s := range h.slots {
		if !taken[k] && (best < 0 || s.live < h.slots[best].live) {
			best = k
		}
	}
	return best
}
