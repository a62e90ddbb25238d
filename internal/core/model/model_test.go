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

const body = `{"ref":"j-000412","jobclass":"train","owner":"vision","shape":"gang","rank":"urgent","pieces":16,
 "cores":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","imageGb":6.2,"builds":["g8"],"yard":null,"samePlace":true,
 "apart":false,"loaners":true,"guessS":240.0,"keepsakeS":30.0,"stowS":4.0,"dueS":900.0,"more":1}`

func TestParseSubmission(t *testing.T) {
	s, ref, err := ParseSubmission([]byte(body))
	if err != nil || ref != "j-000412" {
		t.Fatal(ref, err)
	}
	j := s.Job(7)
	if j.Kind != Gang || j.Priority != HighPriority || j.Request != (Resources{8000, 1000, 64_000}) || j.Deadline != 900*Second || !j.SameZone {
		t.Errorf("%+v", j)
	}
	for old, with := range map[string]string{
		`"pieces":16`: `"pieces":0`, `"pieces":16,`: ``, `"shape":"gang"`: `"shape":"ring"`, `"cores":8.0`: `"cores":"8"`,
		`"ref":"j-000412"`: `"ref":"412"`, `"rank":"urgent"`: `"rank":null`, `"guessS":240.0`: `"guessS":-1`,
		`"pieces":16, `: `"pieces":1.5,`} {
		changed := strings.Replace(body, old, with, 1)
		if _, _, err := ParseSubmission([]byte(changed)); err == nil && changed != body {
			t.Errorf("taken with %s", with)
		}
	}
	for awaits, want := range map[string][]string{`["j-1","j-2","j-1"]`: {"j-1", "j-2"}, `[]`: {}, `null`: nil, `"j-1"`: nil, `["1"]`: nil, `["j-1",null]`: nil, `[7]`: nil} {
		s, _, err := ParseSubmission([]byte(strings.Replace(body, `"pieces"`, `"awaits":`+awaits+`,"pieces"`, 1)))
		if bad := want == nil && awaits != "null"; bad != (err != nil) || !bad && !slices.Equal(s.Awaits, want) {
			t.Errorf("awaits %s: %v", awaits, err)
		}
	}
	for _, b := range []string{``, `[]`, `null`, `{`, `"x"`} {
		if _, _, err := ParseSubmission([]byte(b)); err == nil {
			t.Errorf("%q is taken", b)
		}
	}
	if _, ref, err := ParseSubmission([]byte(`{"ref":"j-000412"}`)); err == nil || ref != "j-000412" {
		t.Error("the ref of a malformed submission is not told")
	}
}

func TestCanEverRun(t *testing.T) {
	teams := map[string]*Team{"vision": {Limit: Resources{Cores: 100_000, GPUs: 16_000}}}
	machineTypes := []MachineType{{Name: "g8", Cores: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	s, _, _ := ParseSubmission([]byte(body))
	check := func(what string, want bool, change func(*Submission)) {
		c := *s
		change(&c)
		if why := c.Job(0).InfeasibleReason(teams, machineTypes); (why == "") != want {
			t.Errorf("%s: %q", what, why)
		}
	}
	elsewhere := "b"
	check("a gang over the team's cores", false, func(*Submission) {})
	check("the same as an array", true, func(s *Submission) { s.Kind = "sweep" })
	check("a smaller gang", true, func(s *Submission) { s.Tasks = 12 })
	check("an unknown team", false, func(s *Submission) { s.Tasks, s.Team = 1, "x" })
	check("another type", false, func(s *Submission) { s.Tasks, s.MachineTypes = 1, []string{"g9"} })
	check("another yard", false, func(s *Submission) { s.Tasks, s.Zone = 1, &elsewhere })
	check("too much memory", false, func(s *Submission) { s.Tasks, s.MemoryGB = 1, 769 })
}

func TestSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := map[int]bool{}
		var s TaskSet
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, MaxTasks-1), 0, 50).Draw(rt, "members") {
			if s.Add(i) == want[i] {
				rt.Fatalf("%d is added twice, or not at all", i)
			}
			want[i] = true
		}
		back := TaskSetFromBytes(s.Bytes())
		if back.Len() != len(want) {
			rt.Fatalf("%d members, want %d", back.Len(), len(want))
		}
		for i := range want {
			if !back.Has(i) {
				rt.Fatalf("%d is missing", i)
			}
		}
	})
	var full TaskSet
	for i := range MaxTasks {
		full.Add(i)
	}
	if raw, _ := json.Marshal(full.Bytes()); len(raw) > 32*1024 {
		t.Errorf("%d bytes for a full set", len(raw))
	}
}

func TestCount(t *testing.T) {
	if n := (Resources{Cores: 2, Mem: 3}).FitCount(Resources{Cores: 10, Mem: 9, GPUs: -1}, 100); n != 3 {
		t.Errorf("%d", n)
	}
	// A room that is overdrawn in what is not asked for is no obstacle, one that
	// is overdrawn in what is asked for is none at all.
	if n := (Resources{Cores: 2}).FitCount(Resources{Cores: 4, Mem: -5}, 100); n != 2 {
		t.Errorf("%d", n)
	}
	if n := (Resources{Cores: 2}).FitCount(Resources{Cores: -4}, 100); n != 0 {
		t.Errorf("%d", n)
	}
}
