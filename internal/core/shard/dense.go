package shard

import (
	"encoding/json"

	"woadweir/internal/jsoncodec"
)

// denseVersion is the first byte of the dense encoding of a bundle.
//
// The dense encoding is a binary encoding, stored as a base64 string in the JSON field
// "hosts". It is for deployments whose values have to be small: it takes a third of the
// size of plain JSON. Controllers that do not support it fail to read it and stop,
// because they expect an object in "hosts".
//
// All numbers are unsigned varints, and strings are preceded by their length. Attempts
// are relative to the smallest attempt in the bundle. Jobs, machine types and zones are
// indexes into string tables. The name of a machine omits the prefix that it shares with
// the name of the machine before it.
const denseVersion = 1

// plainBundle is a BundleRecord without methods, so that it is encoded as plain JSON.
type plainBundle BundleRecord

// MarshalJSON returns the dense encoding if b.Dense is set, and plain JSON otherwise.
func (b BundleRecord) MarshalJSON() ([]byte, error) {
	if !b.Dense {
		return json.Marshal(plainBundle(b))
	}
	return json.Marshal(struct {
		Hosts []byte `json:"hosts"`
	}{b.encodeDense()})
}

// UnmarshalJSON decodes either encoding.
func (b *BundleRecord) UnmarshalJSON(raw []byte) error {
	var envelope struct {
		Hosts json.RawMessage `json:"hosts"`
	}
	if err := jsoncodec.Unmarshal(raw, &envelope); err != nil {
		return err
	}
	if len(envelope.Hosts) == 0 || envelope.Hosts[0] != '"' {
		return jsoncodec.Unmarshal(raw, (*plainBundle)(b))
	}
	var encoded []byte
	if err := jsoncodec.Unmarshal(envelope.Hosts, &encoded); err != nil {
		return err
	}
	return b.decodeDense(encoded)
}
