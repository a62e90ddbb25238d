package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// A view of 1,900 machines takes a bundle with the records of forty of them in.
func BenchmarkView(b *testing.B) {
	v := NewView()
	for i := range 2000 {
		v.Put(fmt.Sprintf("job/j-%06d", i), shard.JobRecord{Spec: &model.Submission{ID: fmt.Sprintf("j-%06d", i), Tasks: 10}}, uint64(i+1))
	}
	bundle := func(from int) json.RawMessage {
		r := shard.BundleRecord{Machines: map[string]*shard.MachineRecord{}}
		for i := range 40 {
			n := (from + i*13) % 1900
			tasks := map[string][][2]uint64{}
			for k := range uint64(6) {
				job := fmt.Sprintf("j-%06d", (n+int(k)*7)%2000)
				tasks[job] = append(tasks[job], [2]uint64{k, 5<<20 + uint64(n)})
			}
			r.Machines[fmt.Sprintf("host-%06d", n)] = &shard.MachineRecord{MachineType: "box", Zone: "a", Tasks: tasks}
		}
		raw, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		return raw
	}
	var raws []json.RawMessage
	for i := range 100 {
		raws = append(raws, bundle(i*19))
	}
	b.ResetTimer()
	for i := range b.N {
		if _, err := v.Set(BundleKey("b0", i%100), raws[i%100], uint64(3000+i)); err != nil {
			b.Fatal(err)
		}
	}
}
