package shard

import "strings"

// Upper bounds of the bytes that parts of the dense encoding take.
const (
	denseBytesPerBundle   = 64 // version, smallest attempt, counts, and the quotes
	denseBytesPerMachine  = 8  // lengths, kind, numbers of type and zone, number of jobs
	denseBytesPerJob      = 4  // number and count
	denseBytesPerFinished = 6
)

// base64Bytes returns the length of n bytes in base64.
func base64Bytes(n int) int { return (n*4 + 2) / 3 }

// uvarintBytes returns the length of a number as an unsigned varint.
func uvarintBytes(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// denseTaskBytes returns the most that a bound task takes. Its attempt is relative to
// the smallest one in the bundle, which is never below the smallest one that is bound.
func (s *State) denseTaskBytes(index int, attempt uint64) int {
	return uvarintBytes(uint64(index)) + uvarintBytes(attempt-min(s.oldestAttempt, attempt))
}

// denseNameBytes returns what a name takes in a table, 0 if it is there already.
func denseNameBytes(name string, tableNames map[string]bool) int {
	if tableNames[name] {
		return 0
	}
	return uvarintBytes(uint64(len(name))) + len(name)
}

// denseEntryBytes returns the most that an entry takes in a bundle whose tables have
// the known names.
func (s *State) denseEntryBytes(entry string, tableNames map[string]bool) int {
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		size := denseBytesPerMachine + len(machineID)
		machine := s.Machines[machineID]
		if machine == nil {
			return base64Bytes(size)
		}
		size += denseNameBytes(machine.MachineType, tableNames) + denseNameBytes(machine.Zone, tableNames)
		for job := range machine.TaskCounts {
			size += denseBytesPerJob + denseNameBytes(job, tableNames)
		}
		for id, b := range machine.Bindings {
			size += s.denseTaskBytes(id.Index, b.Attempt)
		}
		return base64Bytes(size)
	}
	job, part := s.partOf(entry)
	switch {
	case job == nil:
		return base64Bytes(denseBytesPerFinished)
	case part >= 0:
		return base64Bytes(denseBytesPerFinished + 4 + len(job.ID) + len(job.Done.Part(part)))
	}
	return base64Bytes(denseBytesPerFinished + len(job.ID) + len(job.Done.Bytes()))
}

// addTableNames adds the names that an entry puts into the tables to the known ones.
func (s *State) addTableNames(entry string, tableNames map[string]bool) {
	if m := s.Machines[strings.TrimPrefix(entry, MachineEntry)]; m != nil {
		tableNames[m.MachineType], tableNames[m.Zone] = true, true
		for job := range m.TaskCounts {
			tableNames[job] = true
		}
	}
}

// refreshOldestAttempt finds the smallest attempt that is bound.
func (s *State) refreshOldestAttempt() {
	s.oldestAttempt = s.Token << attemptBits
	for _, m := range s.Machines {
		for _, b := range m.Bindings {
			s.oldestAttempt = min(s.oldestAttempt, b.Attempt)
		}
	}
}
