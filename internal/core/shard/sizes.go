package shard

import (
	"encoding/json"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
)

// Upper bounds of the sizes in bytes of parts of records in plain JSON.
const (
	bytesPerMachine  = len(`"":{"build":,"yard":,"spot":true,"pieces":{}},`)
	bytesPerTask     = len(`[,],`)   // without the digits
	bytesPerJob      = len(`"":[],`) // for the tasks of a job on a machine, without the job id
	bytesPerFinished = len(`"":"",`) + 4
	bytesPerBundle   = len(`{"hosts":{},"done":{}}`)
)

// digits returns the number of decimal digits of v.
func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}

// taskBytes returns the size of a bound task in the record of its machine, without its
// job.
func taskBytes(index int, attempt uint64) int {
	return bytesPerTask + digits(uint64(index)) + digits(attempt)
}

// quotedBytes returns the size of a string in JSON.
func quotedBytes(text string) int {
	raw, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

// machineBytes returns the maximum size of the record of a machine in plain JSON.
func (s *State) machineBytes(m *model.Machine) int {
	return bytesPerMachine + len(m.ID) + s.labelBytes(m.MachineType) + s.labelBytes(m.Zone) + m.RecordBytes
}

// labelBytes returns the size of the name of a machine type or a zone in JSON. There are
// few of these names, so the results are cached.
func (s *State) labelBytes(name string) int {
	n, ok := s.labelSizes[name]
	if !ok {
		n = quotedBytes(name)
		s.labelSizes[name] = n
	}
	return n
}

// addRecordBytes adds the size of a bound task to the size of its machine's record if
// sign is 1, and subtracts it if sign is -1.
func addRecordBytes(binding *model.Binding, sign int) {
	machine := binding.Machine
	machine.RecordBytes += sign * taskBytes(binding.ID.Index, binding.Attempt)
	previousCount := machine.TaskCounts[binding.ID.Job]
	if previousCount == 0 || previousCount == 1 && sign < 0 {
		machine.RecordBytes += sign * (bytesPerJob + len(binding.ID.Job))
	}
	if machine.TaskCounts == nil {
		machine.TaskCounts = map[string]int{}
	}
	if machine.TaskCounts[binding.ID.Job] = previousCount + sign; previousCount+sign == 0 {
		delete(machine.TaskCounts, binding.ID.Job)
	}
}

// TaskSlots returns how many more tasks of a job may be bound to a machine so that its
// record fits into a bundle together with the live entries of the bundle's slot.
func (s *State) TaskSlots(job *model.Job, machine *model.Machine) int {
	if s.Params.MaxValue == 0 {
		return model.MaxTasks
	}
	bytesLeft := s.Params.MaxValue - s.Params.MaxValue/liveShareDivisor - s.bundleBytes()
	if s.Params.DenseBundles {
		bytesLeft -= s.denseEntryBytes(MachineEntry+machine.ID, nil) + base64Bytes(denseBytesPerJob+denseNameBytes(job.ID, nil))
		// base64 takes 4 bytes for 3 bytes of the encoding.
		return max(0, bytesLeft*3/4/s.denseTaskBytes(job.Tasks, (s.Token+1)<<attemptBits))
	}
	bytesLeft -= s.machineBytes(machine) + bytesPerJob + len(job.ID)
	return max(0, bytesLeft/taskBytes(job.Tasks, (s.Token+1)<<attemptBits))
}

// needsParts reports whether a job's finished tasks have to be stored in parts.
func (s *State) needsParts(job *model.Job) bool {
	return s.Params.MaxValue > 0 && job.Tasks > model.TasksPerPart && finishedBytes(job, (job.Tasks+7)/8) > s.Params.MaxValue/2
}

// finishedBytes returns the size in plain JSON of a job's finished tasks whose bit set
// has bitSetBytes bytes.
func finishedBytes(job *model.Job, bitSetBytes int) int {
	return bytesPerFinished + len(job.ID) + (bitSetBytes+2)/3*4
}

// partOf returns the job of an entry of finished tasks and the number of the part, or -1
// if the entry holds the whole set. The job is nil if the entry belongs to no known job.
func (s *State) partOf(entry string) (*model.JobState, int) {
	jobID, suffix, isPart := strings.Cut(strings.TrimPrefix(entry, DoneEntry), PartSeparator)
	if !isPart {
		return s.Jobs[jobID], -1
	}
	part, err := strconv.Atoi(suffix)
	job := s.Jobs[jobID]
	if err != nil || job == nil || part < 0 || part >= model.PartCount(job.Tasks) {
		return nil, 0
	}
	return job, part
}

// bundleBytes returns the maximum size of a bundle without its entries.
func (s *State) bundleBytes() int {
	if s.Params.DenseBundles {
		return denseBytesPerBundle
	}
	return bytesPerBundle
}

// entryBytes returns the maximum size of an entry in a bundle without other entries.
func (s *State) entryBytes(entry string) int { return s.entryBytesIn(entry, nil) }

// entryBytesIn returns the maximum size of an entry in a bundle whose string tables
// contain tableNames. Only the dense encoding has string tables.
func (s *State) entryBytesIn(entry string, tableNames map[string]bool) int {
	if s.Params.DenseBundles {
		return s.denseEntryBytes(entry, tableNames)
	}
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		if machine := s.Machines[machineID]; machine != nil {
			return s.machineBytes(machine)
		}
		return bytesPerMachine + len(machineID)
	}
	job, part := s.partOf(entry)
	switch {
	case job == nil:
		return bytesPerFinished
	case part >= 0:
		return finishedBytes(job.Job, len(job.Done.Part(part))) + 4
	}
	return finishedBytes(job.Job, len(job.Done.Bytes()))
}
