package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/jsoncodec"
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

// Measures how long it takes to read the response to a watch with 60 acceptances of jobs, and to
// apply it to a view.
func BenchmarkWatch(b *testing.B) {
	const jobs = 60
	spec := `{"ref":"j-%06d","jobclass":"save-merge","owner":"archive-desk","shape":"sweep","rank":"standard","pieces":16,` +
		`"cores":1,"gpus":0,"memoryGb":3,"bundle":"img-07","imageGb":1.8,"loaners":true,"guessS":40,"keepsakeS":0,"stowS":0,"atMs":1791000000000}`
	var events []string
	for i := range jobs {
		events = append(events, fmt.Sprintf(`{"set":"job/j-%06d","value":{"spec":`+spec+`},"stamp":%d}`, i, i, i+1))
	}
	body := fmt.Appendf(nil, `{"epoch":%d,"events":[%s]}`, jobs, strings.Join(events, ","))
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		var changes Changes
		if err := jsoncodec.Unmarshal(body, &changes); err != nil {
			b.Fatal(err)
		}
		view := NewView()
		for i := range changes.Events {
			if _, err := view.Set(changes.Events[i].Set, changes.Events[i].Value, changes.Events[i].Revision); err != nil {
				b.Fatal(err)
			}
		}
	}
}
