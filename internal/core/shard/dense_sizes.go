package shard

import "strings"

// Upper bounds of the sizes in bytes of parts of the dense encoding.
const (
	denseBytesPerBundle   = 64 // version, smallest attempt, counts, and the JSON quotes
	denseBytesPerMachine  = 8  // lengths, kind, indexes of type and zone, number of jobs
	denseBytesPerJob      = 4  // index of the job and number of its tasks
	denseBytesPerFinished = 6  // lengths of the name and of the bit set
)

// base64Bytes returns the length of n bytes encoded in base64.
func base64Bytes(n int) int { return (n*4 + 2) / 3 }

// uvarintBytes returns the length of v encoded as an unsigned varint.
func uvarintBytes(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// denseTaskBytes returns the maximum size of a bound task. Its attempt is encoded
// relative to the smallest attempt in the bundle, which is never below the smallest
// attempt that is bound.
func (s *State) denseTaskBytes(index int, attempt uint64) int {
	return uvarintBytes(uint64(index)) + uvarintBytes(attempt-min(s.oldestAttempt, attempt))
}

// denseNameBytes returns the number of bytes that a name adds to the string tables, 0 if
// tableNames contains it already.
func denseNameBytes(name string, tableNames map[string]bool) int {
	if tableNames[name] {
		return 0
	}
	return uvarintBytes(uint64(len(name))) + len(name)
}

// denseEntryBytes returns the maximum size of an entry in a bundle whose string tables
// contain tableNames.
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

// addTableNames adds to tableNames the names that an entry adds to the string tables.
func (s *State) addTableNames(entry string, tableNames map[string]bool) {
	if m := s.Machines[strings.TrimPrefix(entry, MachineEntry)]; m != nil {
		tableNames[m.MachineType], tableNames[m.Zone] = true, true
		for job := range m.TaskCounts {
			tableNames[job] = true
		}
	}
}

// refreshOldestAttempt sets oldestAttempt to the smallest attempt that is bound.
func (s *State) refreshOldestAttempt() {
	s.oldestAttempt = s.Token << attemptBits
	for _, m := range s.Machines {
		for _, b := range m.Bindings {
			s.oldestAttempt = min(s.oldestAttempt, b.Attempt)
		}
	}
}
