package duty

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// How long something has to stand unneeded before it is removed.
const (
	// The shard's holder writes unused bundles anew before it adds others.
	retainBundle = 120 * model.Second
	// A removed slot could be created once more by a late copy of a write, so it stays
	// for longer than any message is late.
	retainIntent = 1800 * model.Second
)

// Removal is a key that nobody needs, with the revision that was looked at.
type Removal struct {
	Key      string
	Revision uint64
}

// UnneededKey is a key that could be removed, were it to stay as it is.
type UnneededKey struct {
	Removal
	Retain model.Micros
}

// UnneededIntent makes the slot of a finished intent a candidate for removal.
func UnneededIntent(key string, revision uint64) UnneededKey {
	return UnneededKey{Removal{key, revision}, retainIntent}
}

// UnneededBundle makes an unused bundle a candidate for removal.
func UnneededBundle(key string, revision uint64) UnneededKey {
	return UnneededKey{Removal{key, revision}, retainBundle}
}

// firstSeen is when a candidate was first seen in its present revision.
type firstSeen struct {
	revision uint64
	at       model.Micros
}

// Cleaner chooses which keys to remove. It remembers only what it has seen itself, so a
// new holder of the duty begins to count anew.
type Cleaner struct{ firstSeen map[string]firstSeen }

// NewCleaner makes a cleaner that has seen nothing.
func NewCleaner() *Cleaner { return &Cleaner{firstSeen: map[string]firstSeen{}} }

// Plan chooses at most so many of the keys that have stood unneeded for long enough, the
// longest known first.
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
