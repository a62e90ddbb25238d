package shard

import "encoding/json"

// The dense encoding of a bundle is for deployments whose values have to be small: it
// takes a third of the plain JSON. Controllers that do not know it fail to read it and
// stop, as "hosts" is a string in it.
//
// All numbers are unsigned varints, and strings are preceded by their length. Attempts
// are relative to the smallest one in the bundle. Jobs, machine types and zones are
// numbers in tables. Of a machine's name, the prefix that it shares with the machine
// before it is left out.
const denseVersion = 1

// plainBundle is a bundle without the methods, for plain JSON.
type plainBundle BundleRecord

// MarshalJSON writes the dense or the plain encoding, as Dense says.
func (b BundleRecord) MarshalJSON() ([]byte, error) {
	if !b.Dense {
		return json.Marshal(plainBundle(b))
	}
	return json.Marshal(struct {
		Hosts []byte `json:"hosts"`
	}{b.encodeDense()})
}

// UnmarshalJSON reads either encoding.
func (b *BundleRecord) UnmarshalJSON(raw []byte) error {
	var envelope struct {
		Hosts json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &envelope); err != nil {
		return err
	}
	if len(envelope.Hosts) == 0 || envelope.Hosts[0] != '"' {
		return json.Unmarshal(raw, (*plainBundle)(b))
	}
	var encoded []byte
	if err := json.Unmarshal(envelope.Hosts, &encoded); err != nil {
		return err
	}
	return b.decodeDense(encoded)
}
