package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// bundleSlot is a key of the state service that holds a bundle.
type bundleSlot struct {
	sizes     map[string]int // the entries, with their sizes when they were written
	liveBytes int            // of the entries whose latest version is in this slot
}

// SetSlotEntries notes the entries that are durable in a slot, in a bundle that was just
// written or one of an earlier owner. Bundles have to be loaded in the order in which
// they were written.
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

// isLive tells whether an entry has to be written again with its slot: the slot has
// its latest version, and that is still needed. The record that a machine is gone is
// needed as long as another slot has an older version of the machine.
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
		// An earlier owner with larger values has stored the whole. It is needed until all
		// of it is stored in parts.
		return slices.ContainsFunc(job.DoneVersions, func(v model.Versions) bool { return v.Stored == 0 && v.Current > 0 })
	}
	return true
}

// liveEntries returns the entries that have to be written again with a slot, and
// their size.
func (s *State) liveEntries(slotIndex int) (entries []string, size int) {
	for entry := range s.slots[slotIndex].sizes {
		if s.isLive(entry, slotIndex) {
			entries = append(entries, entry)
			size += s.entryBytes(entry)
		}
	}
	return entries, size
}

// liveShareDivisor is the divisor of the size of a bundle that gives the most that entries
// kept from its slot may take.
const liveShareDivisor = 4

// newBundle begins a bundle for an entry of the given size, in the slot with the least
// to keep. A slot is added if all of them have much to keep.
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

// chooseSlot returns the slot with the least to keep, or a new one.
func (s *State) chooseSlot(usedSlots map[int]bool, size int) int {
	maxLiveBytes := max(0, min(s.Params.MaxValue/liveShareDivisor, s.Params.MaxValue-s.bundleBytes()-size))
	best := s.emptiestSlot(usedSlots)
	if best >= 0 && s.slots[best].liveBytes > maxLiveBytes && s.bundlesSinceRecount > len(s.slots)/4 {
		// Entries that are no longer needed may be all that fills the slots.
		s.recountSlots()
		best = s.emptiestSlot(usedSlots)
	}
	for best >= 0 && s.slots[best].liveBytes <= maxLiveBytes {
		// Its entries may have grown since they were written.
		if s.recountSlot(best); s.slots[best].liveBytes <= maxLiveBytes {
			return best
		}
		best = s.emptiestSlot(usedSlots)
	}
	s.slots = append(s.slots, &bundleSlot{})
	return len(s.slots) - 1
}

// recountSlots computes anew how much has to be kept of every slot.
func (s *State) recountSlots() {
	s.bundlesSinceRecount = 0
	s.refreshOldestAttempt()
	for slotIndex := range s.slots {
		s.recountSlot(slotIndex)
	}
}

// recountSlot computes anew how much has to be kept of a slot.
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

// emptiestSlot returns the slot with the fewest live bytes, -1 if all are taken. These
// are counted as bundles are written: in a large fleet, adding up all entries of all
// slots would take longer than the rest of a transaction.
func (s *State) emptiestSlot(usedSlots map[int]bool) int {
	best := -1
	for slotIndex, slot := range s.slots {
		if !usedSlots[slotIndex] && (best < 0 || slot.liveBytes < s.slots[best].liveBytes) {
			best = slotIndex
		}
	}
	return best
}
