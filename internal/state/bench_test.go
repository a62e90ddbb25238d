package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
)

// Measures how long a view of 1,900 machines takes to apply a bundle with the records of 40 of
// them.
func BenchmarkView(b *testing.B) {
	view := NewView()
	for i := range 2000 {
		view.Put(fmt.Sprintf("job/j-%06d", i), shard.JobRecord{Spec: &model.Submission{ID: fmt.Sprintf("j-%06d", i), Tasks: 10}}, uint64(i+1))
	}
	bundle := func(from int) json.RawMessage {
		record := shard.BundleRecord{Machines: map[string]*shard.MachineRecord{}}
		for i := range 40 {
			machine := (from + i*13) % 1900
			tasks := map[string][][2]uint64{}
			for task := range uint64(6) {
				jobID := fmt.Sprintf("j-%06d", (machine+int(task)*7)%2000)
				tasks[jobID] = append(tasks[jobID], [2]uint64{task, 5<<20 + uint64(machine)})
			}
			record.Machines[fmt.Sprintf("host-%06d", machine)] = &shard.MachineRecord{MachineType: "box", Zone: "a", Tasks: tasks}
		}
		value, err := json.Marshal(record)
		if err != nil {
			b.Fatal(err)
		}
		return value
	}
	var values []json.RawMessage
	for i := range 100 {
		values = append(values, bundle(i*19))
	}
	b.ResetTimer()
	for i := range b.N {
		if _, err := view.Set(BundleKey("b0", i%100), values[i%100], uint64(3000+i)); err != nil {
			b.Fatal(err)
		}
	}
}
