package shard

import (
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Committed records that writes are durable.
func (s *State) Committed(writes []Write, now model.Micros) {
	for i := range writes {
		write := &writes[i]
		if jobID, isEnd := write.EndedJob(); isEnd {
			s.EndJob(jobID, model.JobDone, now)
			continue
		}
		entries := make([]string, 0, len(write.versions))
		for entry, version := range write.versions {
			entries = append(entries, entry)
			s.markDurable(entry, version)
		}
		s.SetSlotEntries(write.Slot, entries)
	}
}

// markDurable records that a version of an entry is durable.
func (s *State) markDurable(entry string, version uint64) {
	if machineID, ok := strings.CutPrefix(entry, MachineEntry); ok {
		if machine := s.Machines[machineID]; machine != nil {
			machine.DurableVersion, machine.Stored = max(machine.DurableVersion, version), true
		}
		return
	}
	if job, part := s.partOf(entry); job != nil {
		if versions := finishedVersions(job, part); versions != nil {
			versions.Stored = max(versions.Stored, version)
		}
	}
}

// RetryTooLarge requeues writes that were rejected as too large: their entries are
// written in bundles within MaxValue, which the caller has lowered. Earlier tries of
// these writes can no longer take effect.
func (s *State) RetryTooLarge(writes []Write) {
	for _, job := range s.Jobs {
		if len(job.DoneVersions) == 1 && s.needsParts(job.Job) {
			s.storeInParts(job)
		}
	}
	for i := range writes {
		writes[i].unanswered = false
	}
	s.Retry(writes, false)
}

// Retry requeues writes whose transaction failed. If outcomeUnknown is set, the
// transaction got no response. In that case bundles are written again unchanged: they are
// known to fit, and the conditions on the last seen revisions make late copies harmless.
func (s *State) Retry(writes []Write, outcomeUnknown bool) {
	var entries, endedJobs []string
	var unanswered []Write
	for i := range writes {
		write := writes[i]
		if jobID, isEnd := write.EndedJob(); isEnd {
			endedJobs = append(endedJobs, jobID)
			continue
		}
		if write.unanswered = write.unanswered || outcomeUnknown; write.unanswered {
			unanswered = append(unanswered, write)
			continue
		}
		for entry := range write.versions {
			entries = append(entries, entry)
		}
	}
	s.unansweredWrites = append(unanswered, s.unansweredWrites...)
	s.pendingEnds = append(endedJobs, s.pendingEnds...)
	slices.Sort(entries)
	// Entries that have been queued again since move to the front.
	s.queue = slices.DeleteFunc(s.queue, func(entry string) bool { return slices.Contains(entries, entry) })
	for _, entry := range entries {
		s.queued[entry] = true
	}
	s.queue = append(entries, s.queue...)
}
