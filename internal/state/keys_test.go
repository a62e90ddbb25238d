package state

import (
	"encoding/json"
	"errors"
	"testing"
)

// Keys are stored and read by other versions, so their exact form must not change.
func TestKeys(t *testing.T) {
	for got, want := range map[string]string{
		JobKey("j-1"):              "job/j-1",
		GrantKey(FirstShard):       "grant/b0",
		NodeKey("node-0"):          "node/node-0",
		BundleKey("b0", 12):        "bound/b0/12",
		LeaderKey:                  "leader",
		MachineTypesKey:            "flavors",
		SpillPrefix:                "spill/",
		JobPrefix:                  "job/",
		BundlePrefix:               "bound/",
		lentJobID("spill/out/j-1"): "j-1",
	} {
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// The error for an unreadable record names the key and what is wrong with the value.
func TestRecordError(t *testing.T) {
	for _, c := range []struct{ key, value, want string }{
		{"else", `1`, "record of another layout: else"},
		{"job/j-1", `{}`, "record of another layout: job/j-1 is empty"},
		{"leader", `{"node":`, "record of another layout: leader: jsontext: unexpected EOF within \"/node\" after offset 8"},
		{"spill/out/j-1", `{"state":"?"}`, "record of another layout: spill/out/j-1"},
		{"spill/in/south/j-1", `{}`, "record of another layout: spill/in/south/j-1 is empty"},
	} {
		_, err := decode(c.key, json.RawMessage(c.value))
		var recordError *RecordError
		if !errors.As(err, &recordError) || recordError.Key != c.key || !errors.Is(err, ErrLayout) || err.Error() != c.want {
			t.Errorf("%s: got error %q, want %q", c.key, err, c.want)
		}
	}
}
