package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Shape is how a job's tasks relate.
type Shape uint8

// The shapes of PROTOCOL.
const (
	Sweep Shape = iota
	Gang
	Service
)

// Rank orders jobs for preemption; a higher value goes first.
type Rank uint8

// The ranks of PROTOCOL.
const (
	Idle Rank = iota
	Standard
	Urgent
	Critical
)

var (
	shapes = map[string]Shape{"sweep": Sweep, "gang": Gang, "service": Service}
	ranks  = map[string]Rank{"idle": Idle, "standard": Standard, "urgent": Urgent, "critical": Critical}
)

// MaxPieces is the most tasks that a job may have.
const MaxPieces = 100_000

// Submission is the wire form of a job, as users post it and as it is kept in
// the state service.
type Submission struct {
	Ref       string   `json:"ref"`
	Class     string   `json:"jobclass"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"memoryGb"`
	Bundle    string   `json:"bundle"`
	ImageGB   float64  `json:"imageGb"`
	Builds    []string `json:"builds,omitempty"`
	Yard      *string  `json:"yard,omitempty"`
	SamePlace bool     `json:"samePlace,omitempty"`
	Apart     bool     `json:"apart,omitempty"`
	Loaners   bool     `json:"loaners,omitempty"`
	GuessS    float64  `json:"guessS"`
	KeepsakeS float64  `json:"keepsakeS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS,omitempty"`
	// Awaits lists the jobs that have to be done before any task of this one starts,
	// each once.
	Awaits []string `json:"awaits,omitempty"`
	// AtMs is the time of day of acceptance; it is ours, not the user's.
	AtMs int64 `json:"atMs,omitempty"`
}

// required lists the fields that may be neither missing nor null.
var required = []string{"ref", "jobclass", "owner", "shape", "rank", "pieces", "cores", "gpus", "memoryGb",
	"bundle", "imageGb", "samePlace", "apart", "loaners", "guessS", "keepsakeS", "stowS"}

// ParseSubmission reads a user's POST body. Any error means 400. The ref is
// returned as soon as it could be read, so that a known job can be recognised
// whatever else its repeated submission says.
func ParseSubmission(body []byte) (sub *Submission, ref string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", err
	}
	if fields == nil {
		return nil, "", errors.New("not an object")
	}
	if raw, ok := fields["ref"]; ok {
		if json.Unmarshal(raw, &ref) != nil || !ValidRef(ref) {
			ref = ""
		}
	}
	for _, f := range required {
		if raw, ok := fields[f]; !ok || string(raw) == "null" {
			return nil, ref, fmt.Errorf("%s is missing", f)
		}
	}
	sub = new(Submission)
	if err := json.Unmarshal(body, sub); err != nil {
		return nil, ref, err
	}
	sub.AtMs = 0
	return sub, ref, sub.check()
}

// ValidRef tells whether s has the form of a job id and can be part of a key.
func ValidRef(s string) bool {
	rest, ok := strings.CutPrefix(s, "j-")
	if !ok || rest == "" || len(rest) > 64 {
		return false
	}
	for _, c := range rest {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

func (s *Submission) check() error {
	if !ValidRef(s.Ref) {
		return errors.New("ref is not a job id")
	}
	if _, ok := shapes[s.Shape]; !ok {
		return errors.New("shape is not known")
	}
	if _, ok := ranks[s.Rank]; !ok {
		return errors.New("rank is not known")
	}
	if s.Pieces < 1 || s.Pieces > MaxPieces {
		return errors.New("pieces is out of range")
	}
	if s.Class == "" || s.Owner == "" || s.Bundle == "" {
		return errors.New("jobclass, owner and bundle must not be empty")
	}
	for name, v := range map[string]float64{"cores": s.Cores, "gpus": s.GPUs, "memoryGb": s.MemoryGB, "imageGb": s.ImageGB,
		"guessS": s.GuessS, "keepsakeS": s.KeepsakeS, "stowS": s.StowS} {
		if v < 0 || v > 1e9 || math.IsNaN(v) {
			return fmt.Errorf("%s is out of range", name)
		}
	}
	if s.DueS != nil && (*s.DueS < 0 || *s.DueS > 1e9) {
		return errors.New("dueS is out of range")
	}
	for _, a := range s.Awaits {
		if !ValidRef(a) {
			return errors.New("awaits: not a job id")
		}
	}
	seen := make(map[string]bool, len(s.Awaits))
	s.Awaits = slices.DeleteFunc(s.Awaits, func(a string) bool {
		again := seen[a]
		seen[a] = true
		return again
	})
	if s.Builds != nil && len(s.Builds) == 0 {
		return errors.New("builds is empty")
	}
	return nil
}

// Job is a submission made ready for decisions.
type Job struct {
	Ref, Class, Owner     string
	Shape                 Shape
	Rank                  Rank
	Pieces                int
	Need                  Need
	Image                 string
	ImageGB               float64
	Builds                []string
	Yard                  string
	SamePlace, Apart      bool
	Loaners               bool
	Guess, Keepsake, Stow Micros
	Due                   Micros // from submission; 0: none
	AtMs                  int64
	Order                 uint64 // stamp of its acceptance: the age
}

// Job converts a checked submission.
func (s *Submission) Job(order uint64) *Job {
	j := &Job{Ref: s.Ref, Class: s.Class, Owner: s.Owner, Shape: shapes[s.Shape], Rank: ranks[s.Rank], Pieces: s.Pieces,
		Need:  Need{CeilMilli(s.Cores), CeilMilli(s.GPUs), CeilMilli(s.MemoryGB)},
		Image: s.Bundle, ImageGB: s.ImageGB, Builds: s.Builds, SamePlace: s.SamePlace, Apart: s.Apart, Loaners: s.Loaners,
		Guess: Seconds(s.GuessS), Keepsake: Seconds(s.KeepsakeS), Stow: Seconds(s.StowS), AtMs: s.AtMs, Order: order}
	if s.Yard != nil {
		j.Yard = *s.Yard
	}
	if s.DueS != nil {
		j.Due = Seconds(*s.DueS)
	}
	return j
}

// Allows tells whether the job may use machines of this type, yard and kind.
func (j *Job) Allows(build, yard string, spot bool) bool {
	if spot && !j.Loaners || j.Yard != "" && j.Yard != yard {
		return false
	}
	if j.Builds == nil {
		return true
	}
	for _, b := range j.Builds {
		if b == build {
			return true
		}
	}
	return false
}

// PerYard is the most tasks of the job that may be in one yard.
func (j *Job) PerYard() int {
	if j.Apart {
		return (j.Pieces + 1) / 2
	}
	return j.Pieces
}

// CanEverRun tells why a job can never run, or "".
func (j *Job) CanEverRun(teams map[string]*Team, flavors []Flavor) string {
	t := teams[j.Owner]
	if t == nil {
		return "unknown team"
	}
	n := j.Pieces
	if j.Shape == Sweep {
		n = 1
	}
	if !t.Within(j.Need.Times(n)) {
		return "needs more than the team's limit"
	}
	for i := range flavors {
		f := &flavors[i]
		if !j.Need.Fits(f.Size()) {
			continue
		}
		for _, y := range f.Yards {
			if j.Allows(f.Label, y, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}
