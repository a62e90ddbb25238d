package state

import (
	"strconv"
	"strings"

	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// FirstShard is the name of the only shard that is used at present. Its holder reclaims work from
// lost machines.
const FirstShard = "b0"

// The kinds of keys. The kind is the part of a key before its first separator.
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

// Keys that exist only once.
const (
	LeaderKey       = kindLeader
	MachineTypesKey = kindMachineTypes
)

// Prefixes of keys. The prefixes for duties, intents, and lent and borrowed jobs are declared in
// packages duty and spill.
const (
	JobPrefix    = kindJob + separator
	BundlePrefix = kindBundle + separator
	GrantPrefix  = kindGrant + separator
	NodePrefix   = kindNode + separator
	SpillPrefix  = kindSpill + separator
)

// JobKey returns the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// GrantKey returns the key of a shard's grant.
func GrantKey(shardName string) string { return GrantPrefix + shardName }

// NodeKey returns the key of a controller's NodeRecord.
func NodeKey(node string) string { return NodePrefix + node }

// BundleKey returns the key of the bundle in one of a shard's slots.
func BundleKey(shardName string, slot int) string {
	return shardBundlePrefix(shardName) + strconv.Itoa(slot)
}

func shardBundlePrefix(shardName string) string { return BundlePrefix + shardName + separator }

// splitKey splits a key into its kind and the rest.
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

// lentJobID returns the job ID in a key with spill.OutPrefix.
func lentJobID(key string) string { return strings.TrimPrefix(key, spill.OutPrefix) }

// borrowedJobID returns the job ID in a key with spill.InPrefix.
func borrowedJobID(key string) string { return key[strings.LastIndex(key, separator)+1:] }
