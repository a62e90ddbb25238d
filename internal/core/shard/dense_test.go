package shard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"woadweir/internal/core/model"
)

// A bundle in the dense encoding decodes to the same bundle, is not larger than its
// estimated size, and takes at most half the size of plain JSON.
func TestDenseEncodingRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	plainBytes, denseBytes := 0, 0
	for round := range 200 {
		s := newTestState(uint64(5 + rng.IntN(100_000)))
		s.Params.MaxValue, s.Params.DenseBundles = 1920, true
		for k := range 1 + rng.IntN(4) {
			s.AddJob(newJob(fmt.Sprintf("j-%06d", rng.IntN(1_000_000)*10+k), 1+rng.IntN(200), model.Array), model.TaskSet{}, "", 0, 0)
		}
		for i := range 1 + rng.IntN(12) {
			machineID := fmt.Sprintf("host-%06d", rng.IntN(3000))
			machine := s.AddMachine(machineID, []string{"box", "big \"<type>"}[i%2], "a", i%3 == 0, 0)
			for _, job := range s.Jobs {
				for range rng.IntN(4) {
					if len(job.Waiting) > 0 {
						s.bind(job, job.Waiting[0], machine, s.NextAttempt()-uint64(rng.IntN(2))<<20, 0)
					}
				}
				if job.Done.Add(rng.IntN(job.Tasks)) {
					s.enqueueFinished(job, 0)
				}
			}
			s.markChanged(machine)
		}
		s.refreshOldestAttempt()
		for s.PendingWrites() > 0 {
			writes := s.Writes(5, 48<<10)
			if len(writes) == 0 {
				t.Fatalf("round %d: got no writes with %d records pending", round, s.PendingWrites())
			}
			for _, write := range writes {
				record := write.Value.(BundleRecord)
				raw, err := json.Marshal(record)
				if err != nil || len(raw) > write.size || len(raw) > s.Params.MaxValue {
					t.Fatalf("got %d bytes, want at most the estimated %d: %v", len(raw), write.size, err)
				}
				denseBytes += len(raw)
				var decoded BundleRecord
				if err := json.Unmarshal(raw, &decoded); err != nil || !decoded.Dense {
					t.Fatalf("decoding: got error %v, want a dense bundle", err)
				}
				// Compare both as plain JSON.
				record.Dense, decoded.Dense = false, false
				want, _ := json.Marshal(record)
				got, _ := json.Marshal(decoded)
				plainBytes += len(want)
				if !bytes.Equal(want, got) {
					t.Fatalf("encoded %s, decoded %s", want, got)
				}
				var plain BundleRecord
				if err := json.Unmarshal(want, &plain); err != nil || plain.Dense {
					t.Fatalf("decoding plain JSON: got error %v, want a bundle that is not dense", err)
				}
			}
			s.Committed(writes, 0)
		}
	}
	if denseBytes*2 > plainBytes {
		t.Errorf("got %d bytes in the dense encoding and %d in plain JSON, want at most half", denseBytes, plainBytes)
	}
}

// Input that is not a complete dense bundle is rejected, and decoding of arbitrary
// changes of a bundle neither panics nor runs forever.
func TestDenseDecodingOfMalformedInput(t *testing.T) {
	bundle := BundleRecord{Dense: true, Machines: map[string]*MachineRecord{"h1": {MachineType: "box", Zone: "a", Tasks: map[string][][2]uint64{"j-1": {{3, 70}}}}, "h2": nil},
		Done: map[string][]byte{"j-1": {7}}}
	encoded := bundle.encodeDense()
	rng := rand.New(rand.NewPCG(5, 6))
	for length := range encoded {
		var decoded BundleRecord
		if decoded.decodeDense(encoded[:length]) == nil {
			t.Errorf("the first %d of %d bytes are accepted", length, len(encoded))
		}
	}
	for range 20_000 {
		malformed := bytes.Clone(encoded)
		for range 1 + rng.IntN(3) {
			malformed[rng.IntN(len(malformed))] = byte(rng.Uint32())
		}
		var decoded BundleRecord
		_ = decoded.decodeDense(malformed) // with or without an error, but without a panic
	}
	for _, input := range []string{`{"hosts":"!"}`, `{"hosts":"AA=="}`, `{"hosts":""}`, `{"hosts":[]}`, `{"hosts":7}`} {
		var decoded BundleRecord
		if json.Unmarshal([]byte(input), &decoded) == nil {
			t.Errorf("%s is accepted", input)
		}
	}
}
