package model

import (
	"encoding/json"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const submissionBody = `{"ref":"j-000412","jobclass":"train","owner":"vision","shape":"gang","rank":"urgent","pieces":16,
 "cores":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","imageGb":6.2,"builds":["g8"],"yard":null,"samePlace":true,
 "apart":false,"loaners":true,"guessS":240.0,"keepsakeS":30.0,"stowS":4.0,"dueS":900.0,"more":1}`

func TestParseSubmission(t *testing.T) {
	submission, ref, err := ParseSubmission([]byte(submissionBody))
	if err != nil || ref != "j-000412" {
		t.Fatalf("valid submission: ref %q, error %v", ref, err)
	}
	job := submission.Job(7)
	if job.Kind != Gang || job.Priority != HighPriority || job.Request != (Resources{8000, 1000, 64_000}) || job.Deadline != 900*Second || !job.SameZone {
		t.Errorf("converted job: %+v", job)
	}
	for old, replacement := range map[string]string{
		`"pieces":16`: `"pieces":0`, `"pieces":16,`: ``, `"shape":"gang"`: `"shape":"ring"`, `"cores":8.0`: `"cores":"8"`,
		`"ref":"j-000412"`: `"ref":"412"`, `"rank":"urgent"`: `"rank":null`, `"guessS":240.0`: `"guessS":-1`,
		`"pieces":16, `: `"pieces":1.5,`} {
		changed := strings.Replace(submissionBody, old, replacement, 1)
		if _, _, err := ParseSubmission([]byte(changed)); err == nil && changed != submissionBody {
			t.Errorf("accepted with %q instead of %q", replacement, old)
		}
	}
	for awaits, want := range map[string][]string{`["j-1","j-2","j-1"]`: {"j-1", "j-2"}, `[]`: {}, `null`: nil, `"j-1"`: nil, `["1"]`: nil, `["j-1",null]`: nil, `[7]`: nil} {
		submission, _, err := ParseSubmission([]byte(strings.Replace(submissionBody, `"pieces"`, `"awaits":`+awaits+`,"pieces"`, 1)))
		if invalid := want == nil && awaits != "null"; invalid != (err != nil) || !invalid && !slices.Equal(submission.Awaits, want) {
			t.Errorf("awaits %s: error %v, want %v", awaits, err, want)
		}
	}
	for _, malformed := range []string{``, `[]`, `null`, `{`, `"x"`} {
		if _, _, err := ParseSubmission([]byte(malformed)); err == nil {
			t.Errorf("malformed body %q is accepted", malformed)
		}
	}
	if _, ref, err := ParseSubmission([]byte(`{"ref":"j-000412"}`)); err == nil || ref != "j-000412" {
		t.Errorf("invalid submission: ref %q, error %v, want ref j-000412 and an error", ref, err)
	}
}

func TestInfeasibleReason(t *testing.T) {
	teams := map[string]*Team{"vision": {Limit: Resources{Cores: 100_000, GPUs: 16_000}}}
	machineTypes := []MachineType{{Name: "g8", Cores: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	valid, _, _ := ParseSubmission([]byte(submissionBody))
	check := func(what string, feasible bool, change func(*Submission)) {
		submission := *valid
		change(&submission)
		if reason := submission.Job(0).InfeasibleReason(teams, machineTypes); (reason == "") != feasible {
			t.Errorf("%s: reason %q, want feasible: %v", what, reason, feasible)
		}
	}
	otherZone := "b"
	check("a gang over the team's cores", false, func(*Submission) {})
	check("the same as an array", true, func(s *Submission) { s.Kind = "sweep" })
	check("a smaller gang", true, func(s *Submission) { s.Tasks = 12 })
	check("an unknown team", false, func(s *Submission) { s.Tasks, s.Team = 1, "x" })
	check("another machine type", false, func(s *Submission) { s.Tasks, s.MachineTypes = 1, []string{"g9"} })
	check("another zone", false, func(s *Submission) { s.Tasks, s.Zone = 1, &otherZone })
	check("too much memory", false, func(s *Submission) { s.Tasks, s.MemoryGB = 1, 769 })
}

func TestTaskSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := map[int]bool{}
		var set TaskSet
		for _, index := range rapid.SliceOfN(rapid.IntRange(0, MaxTasks-1), 0, 50).Draw(rt, "members") {
			if added := set.Add(index); added == want[index] {
				rt.Fatalf("Add(%d) = %v, want %v", index, added, !want[index])
			}
			want[index] = true
		}
		decoded := TaskSetFromBytes(set.Bytes())
		if decoded.Len() != len(want) {
			rt.Fatalf("%d members after decoding, want %d", decoded.Len(), len(want))
		}
		for index := range want {
			if !decoded.Has(index) {
				rt.Fatalf("%d is missing after decoding", index)
			}
		}
	})
	var full TaskSet
	for index := range MaxTasks {
		full.Add(index)
	}
	if raw, _ := json.Marshal(full.Bytes()); len(raw) > 32*1024 {
		t.Errorf("%d bytes for a full set, want at most %d", len(raw), 32*1024)
	}
}

func TestFitCount(t *testing.T) {
	if count := (Resources{Cores: 2, Mem: 3}).FitCount(Resources{Cores: 10, Mem: 9, GPUs: -1}, 100); count != 3 {
		t.Errorf("limited by memory: %d, want 3", count)
	}
	// A negative amount does not matter if the resource is not requested. If it is
	// requested, nothing fits.
	if count := (Resources{Cores: 2}).FitCount(Resources{Cores: 4, Mem: -5}, 100); count != 2 {
		t.Errorf("negative memory, none requested: %d, want 2", count)
	}
	if count := (Resources{Cores: 2}).FitCount(Resources{Cores: -4}, 100); count != 0 {
		t.Errorf("negative cores: %d, want 0", count)
	}
}
