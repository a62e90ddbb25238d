package state

import (
	"encoding/json"
	"slices"
	"strings"

	"woadweir/internal/core/shard"
	"woadweir/internal/duty"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/spill"
)

// emptyRecordDetail is the Detail of a RecordError for a record without any content.
const emptyRecordDetail = "is empty"

// decode decodes the value of a key into the record type that belongs to the key. It does not
// decode node records: see View.setNode.
func decode(key string, value json.RawMessage) (any, error) {
	kind, name := splitKey(key)
	switch {
	case isJobKey(kind, name):
		return decodeJob(key, value)
	case kind == kindBundle:
		return decodeAs[shard.BundleRecord](key, value)
	case kind == kindLeader:
		return decodeAs[LeaderRecord](key, value)
	case kind == kindGrant:
		return decodeAs[GrantRecord](key, value)
	case kind == kindMachineTypes:
		return decodeAs[MachineTypesRecord](key, value)
	case strings.HasPrefix(key, duty.KeyPrefix) && slices.Contains(duty.Movable, duty.Name(name)):
		return decodeAs[duty.Lease](key, value)
	case isRentalKey(key):
		return decodeAs[duty.Rental](key, value)
	case isReturnKey(key):
		return decodeAs[duty.Return](key, value)
	case isSpillOutKey(key):
		return decodeSpillOut(key, value)
	case isSpillInKey(key):
		return decodeSpillIn(key, value)
	}
	return nil, &RecordError{Key: key}
}

// decodeAs decodes a record of one type.
func decodeAs[Record any](key string, value json.RawMessage) (record Record, err error) {
	if err := jsoncodec.Unmarshal(value, &record); err != nil {
		return record, &RecordError{Key: key, Cause: err}
	}
	return record, nil
}

func decodeJob(key string, value json.RawMessage) (shard.JobRecord, error) {
	record, err := decodeAs[shard.JobRecord](key, value)
	if err == nil && record.Spec == nil && record.End == "" {
		err = &RecordError{Key: key, Detail: emptyRecordDetail}
	}
	return record, err
}

func decodeSpillOut(key string, value json.RawMessage) (spill.OutRecord, error) {
	record, err := decodeAs[spill.OutRecord](key, value)
	if err == nil && record.State != spill.Lent && record.State != spill.Home {
		err = &RecordError{Key: key}
	}
	return record, err
}

func decodeSpillIn(key string, value json.RawMessage) (spill.InRecord, error) {
	record, err := decodeAs[spill.InRecord](key, value)
	if err == nil && record.Spec == nil {
		err = &RecordError{Key: key, Detail: emptyRecordDetail}
	}
	return record, err
}
