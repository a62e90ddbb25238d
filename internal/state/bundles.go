package state

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// bundleView is the view's information on a bundle: one key that holds the records of many
// machines and jobs.
type bundleView struct {
	revision   uint64
	entryNames []string // see shard.BundleRecord.Names
}

// entryView is the latest version of a bundle entry: the record of a machine, nil if the machine
// is gone, or the set of finished tasks of a job.
type entryView struct {
	machine *shard.MachineRecord
	done    []byte
	bundle  string // key of the bundle that the entry was read from
	// duplicate is the key of another bundle that has the same version of the entry, written in
	// the same transaction: if one bundle drops the entry, the other still has it.
	duplicate string
}

// Bundles returns the slots of a shard's bundles with the names of their entries, in the order in
// which the bundles were written.
func (v *View) Bundles(shardName string) (slots []int, entryNames [][]string) {
	type slotBundle struct {
		slot   int
		bundle *bundleView
	}
	prefix := shardBundlePrefix(shardName)
	var bundles []slotBundle
	for key, bundle := range v.bundles {
		suffix, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		if slot, err := strconv.Atoi(suffix); err == nil && slot >= 0 {
			bundles = append(bundles, slotBundle{slot, bundle})
		}
	}
	slices.SortFunc(bundles, func(a, b slotBundle) int {
		return cmp.Or(cmp.Compare(a.bundle.revision, b.bundle.revision), a.slot-b.slot)
	})
	for _, b := range bundles {
		slots = append(slots, b.slot)
		entryNames = append(entryNames, b.bundle.entryNames)
	}
	return slots, entryNames
}

// Machines calls visit with the latest record of every machine.
func (v *View) Machines(visit func(machineID string, record *shard.MachineRecord)) {
	for name, entry := range v.entries {
		if entry.machine != nil {
			visit(strings.TrimPrefix(name, shard.MachineEntry), entry.machine)
		}
	}
}

// Done returns the set of a job's finished tasks. The set of a large job is stored in parts; an
// entry for the whole job counts too, until all parts have replaced it.
func (v *View) Done(jobID string) model.TaskSet {
	var done model.TaskSet
	job := v.Jobs[jobID]
	if job == nil || job.Submission == nil {
		return done
	}
	if entry := v.entries[shard.DoneEntry+jobID]; entry != nil {
		done = model.TaskSetFromBytes(entry.done)
	}
	if job.Submission.Tasks <= model.TasksPerPart {
		return done
	}
	for part := range model.PartCount(job.Submission.Tasks) {
		if entry := v.entries[shard.PartEntry(jobID, part)]; entry != nil {
			done.Merge(entry.done, part*model.TasksPerPart)
		}
	}
	return done
}

// UnusedBundles calls visit for every bundle that is no longer needed. None of its entries is the
// latest version of a machine or of an unfinished job, or records that a machine is gone while
// another bundle still has an older version of it.
func (v *View) UnusedBundles(visit func(key string, revision uint64)) {
	copies := map[string]int{}
	for _, bundle := range v.bundles {
		for _, name := range bundle.entryNames {
			copies[name]++
		}
	}
	for key, bundle := range v.bundles {
		needed := func(name string) bool { return v.needsEntry(name, key, copies[name]) }
		if !slices.ContainsFunc(bundle.entryNames, needed) {
			visit(key, bundle.revision)
		}
	}
}

// needsEntry reports whether this bundle's version of the entry is still needed. The record of a
// deleted machine is needed as long as another bundle has an entry of that machine: otherwise the
// machine would reappear from it.
func (v *View) needsEntry(name, bundleKey string, copies int) bool {
	entry := v.entries[name]
	if entry == nil || entry.bundle != bundleKey && entry.duplicate != bundleKey {
		return false
	}
	deletedMachine := entry.machine == nil && strings.HasPrefix(name, shard.MachineEntry)
	return !deletedMachine || copies > 1
}

// putBundle applies a bundle and drops the entries that only its previous version had.
func (v *View) putBundle(key string, record *shard.BundleRecord, revision uint64) {
	if record.Dense {
		v.NewestLayout = LayoutDense
	}
	for machineID, machine := range record.Machines {
		v.putEntry(shard.MachineEntry+machineID, entryView{machine: machine, bundle: key}, revision)
	}
	for name, done := range record.Done {
		jobID, _, _ := strings.Cut(name, shard.PartSeparator)
		if job := v.Jobs[jobID]; job == nil || job.End == "" {
			v.putEntry(shard.DoneEntry+name, entryView{done: done, bundle: key}, revision)
		}
	}
	if previous := v.bundles[key]; previous != nil {
		for _, name := range previous.entryNames {
			if !record.Has(name) {
				v.dropEntry(name, key)
			}
		}
	}
	v.bundles[key] = &bundleView{revision, record.Names()}
}

// dropBundle removes a bundle with all its entries.
func (v *View) dropBundle(key string) {
	bundle := v.bundles[key]
	if bundle == nil {
		return
	}
	for _, name := range bundle.entryNames {
		v.dropEntry(name, key)
	}
	delete(v.bundles, key)
}

// putEntry applies an entry of a bundle, unless a newer version of it is known.
func (v *View) putEntry(name string, entry entryView, revision uint64) {
	if old := v.entries[name]; old != nil && old.bundle != entry.bundle {
		if oldBundle := v.bundles[old.bundle]; oldBundle != nil && oldBundle.revision >= revision {
			if oldBundle.revision > revision {
				return
			}
			entry.duplicate = old.bundle
		}
	}
	v.countBoundTasks(name, -1)
	v.entries[name] = &entry
	v.countBoundTasks(name, 1)
}

// dropEntry removes an entry of one bundle. A duplicate in another bundle stays.
func (v *View) dropEntry(name, bundleKey string) {
	switch entry := v.entries[name]; {
	case entry == nil:
	case entry.duplicate == bundleKey:
		entry.duplicate = ""
	case entry.bundle == bundleKey && entry.duplicate != "":
		entry.bundle, entry.duplicate = entry.duplicate, ""
	case entry.bundle == bundleKey:
		v.countBoundTasks(name, -1)
		delete(v.entries, name)
	}
}

// dropDoneEntries removes the sets of finished tasks of a job that has ended.
func (v *View) dropDoneEntries(jobID string, tasks int) {
	delete(v.entries, shard.DoneEntry+jobID)
	if tasks <= model.TasksPerPart {
		return
	}
	for part := range model.PartCount(tasks) {
		delete(v.entries, shard.PartEntry(jobID, part))
	}
}

// countBoundTasks adds the tasks of a machine's entry to the jobs' counts of bound tasks, or
// subtracts them if sign is -1.
func (v *View) countBoundTasks(name string, sign int) {
	entry := v.entries[name]
	if entry == nil || entry.machine == nil {
		return
	}
	for jobID, tasks := range entry.machine.Tasks {
		if v.boundTasks[jobID] += sign * len(tasks); v.boundTasks[jobID] == 0 {
			delete(v.boundTasks, jobID)
		}
	}
}
