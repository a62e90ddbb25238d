package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// JobKind is how a job's tasks relate.
type JobKind uint8

// The shapes of PROTOCOL.
const (
	Array JobKind = iota
	Gang
	Service
)

// Priority orders jobs for preemption; a higher value goes first.
type Priority uint8

// The ranks of PROTOCOL.
const (
	LowPriority Priority = iota
	NormalPriority
	HighPriority
	ProductionPriority
)

var (
	jobKinds   = map[string]JobKind{"sweep": Array, "gang": Gang, "service": Service}
	priorities = map[string]Priority{"idle": LowPriority, "standard": NormalPriority, "urgent": HighPriority, "critical": ProductionPriority}
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Submission is the wire form of a job, as users post it and as it is kept in
// the state service.
type Submission struct {
	ID           string   `json:"ref"`
	Class        string   `json:"jobclass"`
	Team         string   `json:"owner"`
	Kind         string   `json:"shape"`
	Priority     string   `json:"rank"`
	Tasks        int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	GPUs         float64  `json:"gpus"`
	MemoryGB     float64  `json:"memoryGb"`
	Image        string   `json:"bundle"`
	ImageGB      float64  `json:"imageGb"`
	MachineTypes []string `json:"builds,omitempty"`
	Zone         *string  `json:"yard,omitempty"`
	SameZone     bool     `json:"samePlace,omitempty"`
	Spread       bool     `json:"apart,omitempty"`
	AllowsSpot   bool     `json:"loaners,omitempty"`
	EstimateS    float64  `json:"guessS"`
	CheckpointS  float64  `json:"keepsakeS"`
	SaveS        float64  `json:"stowS"`
	DeadlineS    *float64 `json:"dueS,omitempty"`
	// Awaits lists the jobs that have to be done before any task of this one starts,
	// each once.
	Awaits []string `json:"awaits,omitempty"`
	// AcceptedMs is the time of day of acceptance; it is ours, not the user's.
	AcceptedMs int64 `json:"atMs,omitempty"`
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
		if json.Unmarshal(raw, &ref) != nil || !ValidJobID(ref) {
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
	sub.AcceptedMs = 0
	return sub, ref, sub.check()
}

// DecodeSubmission reads and checks a submission as it is stored, and as one cell sends
// it to another.
func DecodeSubmission(raw []byte) (*Submission, error) {
	sub := new(Submission)
	if err := json.Unmarshal(raw, sub); err != nil {
		return nil, err
	}
	return sub, sub.check()
}

// ValidJobID tells whether s has the form of a job id and can be part of a key.
func ValidJobID(s string) bool {
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
	if !ValidJobID(s.ID) {
		return errors.New("ref is not a job id")
	}
	if _, ok := jobKinds[s.Kind]; !ok {
		return errors.New("shape is not known")
	}
	if _, ok := priorities[s.Priority]; !ok {
		return errors.New("rank is not known")
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.New("pieces is out of range")
	}
	if s.Class == "" || s.Team == "" || s.Image == "" {
		return errors.New("jobclass, owner and bundle must not be empty")
	}
	for name, v := range map[string]float64{"cores": s.Cores, "gpus": s.GPUs, "memoryGb": s.MemoryGB, "imageGb": s.ImageGB,
		"guessS": s.EstimateS, "keepsakeS": s.CheckpointS, "stowS": s.SaveS} {
		if v < 0 || v > 1e9 || math.IsNaN(v) {
			return fmt.Errorf("%s is out of range", name)
		}
	}
	if s.DeadlineS != nil && (*s.DeadlineS < 0 || *s.DeadlineS > 1e9) {
		return errors.New("dueS is out of range")
	}
	for _, a := range s.Awaits {
		if !ValidJobID(a) {
			return errors.New("awaits: not a job id")
		}
	}
	seen := make(map[string]bool, len(s.Awaits))
	s.Awaits = slices.DeleteFunc(s.Awaits, func(a string) bool {
		again := seen[a]
		seen[a] = true
		return again
	})
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 {
		return errors.New("builds is empty")
	}
	return nil
}

// Job is a submission made ready for decisions.
type Job struct {
	ID, Class, Team                            string
	Kind                                       JobKind
	Priority                                   Priority
	Tasks                                      int
	Request                                    Resources
	Image                                      string
	ImageGB                                    float64
	MachineTypes                               []string
	Zone                                       string
	SameZone, Spread                           bool
	AllowsSpot                                 bool
	EstimatedRun, CheckpointInterval, SaveTime Micros
	Deadline                                   Micros // from submission; 0: none
	AcceptedMs                                 int64
	AcceptedRevision                           uint64 // stamp of its acceptance: the age
}

// Job converts a checked submission.
func (s *Submission) Job(order uint64) *Job {
	j := &Job{ID: s.ID, Class: s.Class, Team: s.Team, Kind: jobKinds[s.Kind], Priority: priorities[s.Priority], Tasks: s.Tasks,
		Request: Resources{CeilMilli(s.Cores), CeilMilli(s.GPUs), CeilMilli(s.MemoryGB)},
		Image:   s.Image, ImageGB: s.ImageGB, MachineTypes: s.MachineTypes, SameZone: s.SameZone, Spread: s.Spread, AllowsSpot: s.AllowsSpot,
		EstimatedRun: Seconds(s.EstimateS), CheckpointInterval: Seconds(s.CheckpointS), SaveTime: Seconds(s.SaveS), AcceptedMs: s.AcceptedMs, AcceptedRevision: order}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		j.Deadline = Seconds(*s.DeadlineS)
	}
	return j
}

// Allows tells whether the job may use machines of this type, zone and kind.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	if spot && !j.AllowsSpot || j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.MachineTypes == nil {
		return true
	}
	for _, b := range j.MachineTypes {
		if b == machineType {
			return true
		}
	}
	return false
}

// MaxPerZone is the most tasks of the job that may be in one zone.
func (j *Job) MaxPerZone() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// CanEverRun tells why a job can never run, or "".
func (j *Job) CanEverRun(teams map[string]*Team, machineTypes []MachineType) string {
	t := teams[j.Team]
	if t == nil {
		return "unknown team"
	}
	n := j.Tasks
	if j.Kind == Array {
		n = 1
	}
	if !t.Within(j.Request.Times(n)) {
		return "needs more than the team's limit"
	}
	for i := range machineTypes {
		f := &machineTypes[i]
		if !j.Request.Fits(f.Size()) {
			continue
		}
		for _, y := range f.Zones {
			if j.Allows(f.Name, y, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}
