package duty

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// How long a key has to be unneeded before it is removed.
const (
	// The shard's holder reuses the slots of unused bundles before it adds others.
	retainBundle = 120 * model.Second
	// A delayed duplicate of a write could create a removed slot again, so the slot is kept for
	// longer than any message is delayed.
	retainIntent = 1800 * model.Second
)

// Removal is a key to be removed, at the revision at which it was found unneeded.
type Removal struct {
	Key      string
	Revision uint64
}

// UnneededKey is a key that may be removed once it has stayed unneeded at the same revision for the
// time Retain.
type UnneededKey struct {
	Removal
	Retain model.Micros
}

// UnneededIntent returns the key of a finished intent's slot as a candidate for removal.
func UnneededIntent(key string, revision uint64) UnneededKey {
	return UnneededKey{Removal{key, revision}, retainIntent}
}

// UnneededBundle returns the key of an unused bundle as a candidate for removal.
func UnneededBundle(key string, revision uint64) UnneededKey {
	return UnneededKey{Removal{key, revision}, retainBundle}
}

// firstSeen says when a candidate was first seen at its present revision.
type firstSeen struct {
	revision uint64
	at       model.Micros
}

// Cleaner chooses which keys to remove. It counts only the time since it has first seen a key
// itself, so with a new holder of the duty the time starts from zero.
type Cleaner struct{ firstSeen map[string]firstSeen }

// NewCleaner returns a cleaner that has seen no keys.
func NewCleaner() *Cleaner { return &Cleaner{firstSeen: map[string]firstSeen{}} }

// Plan returns up to limit keys that have been unneeded for long enough, those that were seen first
// at the front.
func (c *Cleaner) Plan(now model.Micros, unneeded []UnneededKey, limit int) []Removal {
	seen := make(map[string]firstSeen, len(unneeded))
	var removals []Removal
	for _, candidate := range unneeded {
		first, known := c.firstSeen[candidate.Key]
		if !known || first.revision != candidate.Revision {
			first = firstSeen{candidate.Revision, now}
		}
		seen[candidate.Key] = first
		if now-first.at >= candidate.Retain {
			removals = append(removals, candidate.Removal)
		}
	}
	c.firstSeen = seen
	slices.SortFunc(removals, func(a, b Removal) int {
		return cmp.Or(cmp.Compare(seen[a.Key].at, seen[b.Key].at), cmp.Compare(a.Key, b.Key))
	})
	return removals[:min(len(removals), max(0, limit))]
}
