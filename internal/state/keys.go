package state

import (
	"strconv"
	"strings"

	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// FirstShard names the only shard of the current policy. Its holder reclaims work from
// lost machines.
const FirstShard = "b0"

// The kinds of keys: the part of a key before its first separator.
const (
	separator = "/"

	kindJob          = "job"
	kindBundle       = "bound"
	kindGrant        = "grant"
	kindNode         = "node"
	kindLeader       = "leader"
	kindMachineTypes = "flavors"
	kindDuty         = "duty"
	kindIntent       = "intent"
	kindSpill        = "spill"
)

// Keys of which there is only one.
const (
	LeaderKey       = kindLeader
	MachineTypesKey = kindMachineTypes
)

// Prefixes of keys. Those of duties, intents and the two directions of spilling are
// declared in their own packages.
const (
	JobPrefix    = kindJob + separator
	BundlePrefix = kindBundle + separator
	GrantPrefix  = kindGrant + separator
	NodePrefix   = kindNode + separator
	SpillPrefix  = kindSpill + separator
)

// JobKey is the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// GrantKey is the key of a shard's grant.
func GrantKey(shardName string) string { return GrantPrefix + shardName }

// NodeKey is the key of a controller's own record.
func NodeKey(node string) string { return NodePrefix + node }

// BundleKey is the key of one of a shard's bundles.
func BundleKey(shardName string, slot int) string {
	return shardBundlePrefix(shardName) + strconv.Itoa(slot)
}

func shardBundlePrefix(shardName string) string { return BundlePrefix + shardName + separator }

// splitKey separates the kind of a key from the rest.
func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, separator)
	return kind, name
}

func isJobKey(kind, name string) bool {
	return kind == kindJob && name != "" && !strings.Contains(name, separator)
}

func isSpillOutKey(key string) bool { return strings.HasPrefix(key, spill.OutPrefix) }

func isSpillInKey(key string) bool { return strings.HasPrefix(key, spill.InPrefix) }

func isRentalKey(key string) bool { return strings.HasPrefix(key, duty.RentalPrefix) }

func isReturnKey(key string) bool { return strings.HasPrefix(key, duty.ReturnPrefix) }

// lentJobID is the job of a key with spill.OutPrefix.
func lentJobID(key string) string { return strings.TrimPrefix(key, spill.OutPrefix) }
