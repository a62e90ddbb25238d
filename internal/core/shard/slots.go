package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// bundleSlot describes a key of the state service that holds a bundle.
type bundleSlot struct {
	sizes     map[string]int // entry -> its size when it was written
	liveBytes int            // size of the entries whose latest version is in this slot
}

// SetSlotEntries records which entries are durable in a slot: those of a bundle that was
// just written, or of a bundle of an earlier owner. It has to be called for bundles in
// the order in which they were written.
func (s *State) SetSlotEntries(slotIndex int, entries []string) {
	for len(s.slots) <= slotIndex {
		s.slots = append(s.slots, &bundleSlot{})
	}
	slot := s.slots[slotIndex]
	previousSizes := slot.sizes
	slot.sizes, slot.liveBytes = make(map[string]int, len(entries)), 0
	for _, entry := range entries {
		size := s.entryBytes(entry)
		slot.sizes[entry] = size
		slot.liveBytes += size
		if _, ok := previousSizes[entry]; !ok {
			s.copies[entry]++
		}
		if previousSlot, ok := s.latestSlot[entry]; ok && previousSlot != slotIndex {
			s.slots[previousSlot].liveBytes -= s.slots[previousSlot].sizes[entry]
		}
		s.latestSlot[entry] = slotIndex
	}
	for entry := range previousSizes {
		if _, ok := slot.sizes[entry]; ok {
			continue
		}
		if s.copies[entry]--; s.copies[entry] == 0 {
			delete(s.copies, entry)
		}
		if s.latestSlot[entry] == slotIndex {
			delete(s.latestSlot, entry)
		}
	}
}

// isLive reports whether an entry has to be included when its slot is rewritten: the
// slot holds its latest version, and that version is still needed. The record that a
// machine is gone is needed as long as another slot holds an older version of the
// machine's record.
func (s *State) isLive(entry string, slotIndex int) bool {
	if s.latestSlot[entry] != slotIndex {
		return false
	}
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		return s.Machines[machineID] != nil || s.copies[entry] > 1
	}
	job, part := s.partOf(entry)
	if job == nil || job.FinalStatus != "" {
		return false
	}
	if part < 0 && len(job.DoneVersions) > 1 {
		// An earlier owner with a higher size limit has stored the whole set. It is needed
		// until all of it is stored in parts.
		return slices.ContainsFunc(job.DoneVersions, func(v model.Versions) bool { return v.Stored == 0 && v.Current > 0 })
	}
	return true
}

// liveEntries returns the entries that have to be included when a slot is rewritten, and
// their total size.
func (s *State) liveEntries(slotIndex int) (entries []string, size int) {
	for entry := range s.slots[slotIndex].sizes {
		if s.isLive(entry, slotIndex) {
			entries = append(entries, entry)
			size += s.entryBytes(entry)
		}
	}
	return entries, size
}

// liveShareDivisor limits the share of a bundle that live entries of its slot may take:
// the maximum bundle size divided by liveShareDivisor.
const liveShareDivisor = 4

// newBundle creates a bundle for an entry of the given size, in the slot with the fewest
// live bytes, and includes the live entries of that slot. A slot is added if all slots
// have too many live bytes.
func (s *State) newBundle(usedSlots map[int]bool, size int) *Write {
	slotIndex := s.chooseSlot(usedSlots, size)
	s.bundlesSinceRecount++
	usedSlots[slotIndex] = true
	write := &Write{Slot: slotIndex, versions: map[string]uint64{}, tableNames: map[string]bool{}, size: s.bundleBytes()}
	entries, _ := s.liveEntries(slotIndex)
	slices.Sort(entries)
	for _, entry := range entries {
		s.include(write, entry)
	}
	return write
}

// chooseSlot returns the unused slot with the fewest live bytes, or a new slot if no slot
// leaves enough space.
func (s *State) chooseSlot(usedSlots map[int]bool, size int) int {
	maxLiveBytes := max(0, min(s.Params.MaxValue/liveShareDivisor, s.Params.MaxValue-s.bundleBytes()-size))
	best := s.emptiestSlot(usedSlots)
	if best >= 0 && s.slots[best].liveBytes > maxLiveBytes && s.bundlesSinceRecount > len(s.slots)/4 {
		// The slots may be full only of entries that are no longer needed.
		s.recountSlots()
		best = s.emptiestSlot(usedSlots)
	}
	for best >= 0 && s.slots[best].liveBytes <= maxLiveBytes {
		// The entries of the slot may have grown since they were written.
		if s.recountSlot(best); s.slots[best].liveBytes <= maxLiveBytes {
			return best
		}
		best = s.emptiestSlot(usedSlots)
	}
	s.slots = append(s.slots, &bundleSlot{})
	return len(s.slots) - 1
}

// recountSlots recomputes the live bytes of every slot.
func (s *State) recountSlots() {
	s.bundlesSinceRecount = 0
	s.refreshOldestAttempt()
	for slotIndex := range s.slots {
		s.recountSlot(slotIndex)
	}
}

// recountSlot recomputes the live bytes of a slot from the current sizes of its entries.
func (s *State) recountSlot(slotIndex int) {
	slot := s.slots[slotIndex]
	slot.liveBytes = 0
	for entry := range slot.sizes {
		slot.sizes[entry] = 0
		if s.isLive(entry, slotIndex) {
			slot.sizes[entry] = s.entryBytes(entry)
			slot.liveBytes += slot.sizes[entry]
		}
	}
}

// emptiestSlot returns the slot with the fewest live bytes, or -1 if all slots are used.
// Live bytes are updated as bundles are written: in a large fleet, adding up all entries
// of all slots would take longer than the rest of a transaction.
func (s *State) emptiestSlot(usedSlots map[int]bool) int {
	best := -1
	for slotIndex, slot := range s.slots {
		if !usedSlots[slotIndex] && (best < 0 || slot.liveBytes < s.slots[best].liveBytes) {
			best = slotIndex
		}
	}
	return best
}
