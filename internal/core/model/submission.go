package model

import (
	"math"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"woadweir/internal/jsoncodec"
)

// Names of the kinds of jobs and of the priorities in the protocol.
var (
	jobKinds   = map[string]JobKind{"sweep": Array, "gang": Gang, "service": Service}
	priorities = map[string]Priority{"idle": LowPriority, "standard": NormalPriority, "urgent": HighPriority, "critical": ProductionPriority}
)

// Submission is a job in its wire form, as users post it and as it is stored. The json
// tags are the names in the protocol.
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
	// without duplicates.
	Awaits []string `json:"awaits,omitempty"`
	// AcceptedMs is the time of day of the acceptance. It is set by the controller; a value
	// given by the user is ignored.
	AcceptedMs int64 `json:"atMs,omitempty"`
}

// requiredFields lists the fields that may be neither missing nor null.
var requiredFields = []string{"ref", "jobclass", "owner", "shape", "rank", "pieces", "cores", "gpus", "memoryGb",
	"bundle", "imageGb", "samePlace", "apart", "loaners", "guessS", "keepsakeS", "stowS"}

// ParseSubmission parses and checks the body of a user's POST request. Any error is to be
// answered with status 400. The ref is returned also with an error if it could be read, so
// that a repeated submission of a known job is recognised whatever its other fields are.
func ParseSubmission(body []byte) (submission *Submission, ref string, err error) {
	fields, ref, err := scanFields(body)
	if err != nil {
		return nil, "", err
	}
	for _, field := range requiredFields {
		if !fields[field] {
			return nil, ref, &FieldError{field, "is missing"}
		}
	}
	submission = new(Submission)
	if err := jsoncodec.Unmarshal(body, submission); err != nil {
		return nil, ref, err
	}
	submission.AcceptedMs = 0
	return submission, ref, submission.check()
}

// scanFields returns which fields of a submission are present and not null, and its job ID, ""
// if that is not valid.
func scanFields(body []byte) (present map[string]bool, ref string, err error) {
	present = make(map[string]bool, len(requiredFields))
	err = jsoncodec.EachField(body, func(name string, value jsontext.Value) {
		present[name] = value.Kind() != jsontext.KindNull
		if name == "ref" && (jsoncodec.Unmarshal(value, &ref) != nil || !ValidJobID(ref)) {
			ref = ""
		}
	})
	return present, ref, err
}

// DecodeSubmission decodes and checks a submission that was stored, or sent by another
// cell.
func DecodeSubmission(raw []byte) (*Submission, error) {
	submission := new(Submission)
	if err := jsoncodec.Unmarshal(raw, submission); err != nil {
		return nil, err
	}
	return submission, submission.check()
}

// IsService reports whether the job is a service. Services never end by themselves.
func (s *Submission) IsService() bool { return jobKinds[s.Kind] == Service }

// ValidJobID reports whether s has the form of a job id and can be part of a key.
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

// FieldError reports an invalid field of a submission.
type FieldError struct {
	Field  string // name of the field on the wire
	Reason string
}

func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// maxAmount is the upper bound of every amount and duration in a submission.
const maxAmount = 1e9

const outOfRange = "is out of range"

// check returns the first error found in the submission, and removes duplicates from
// Awaits.
func (s *Submission) check() error {
	if !ValidJobID(s.ID) {
		return &FieldError{"ref", "is not a job id"}
	}
	if err := s.checkKind(); err != nil {
		return err
	}
	if err := s.checkAmounts(); err != nil {
		return err
	}
	if err := s.checkAwaits(); err != nil {
		return err
	}
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 {
		return &FieldError{"builds", "is empty"}
	}
	return nil
}

func (s *Submission) checkKind() error {
	if _, ok := jobKinds[s.Kind]; !ok {
		return &FieldError{"shape", "is not known"}
	}
	if _, ok := priorities[s.Priority]; !ok {
		return &FieldError{"rank", "is not known"}
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return &FieldError{"pieces", outOfRange}
	}
	if s.Class == "" || s.Team == "" || s.Image == "" {
		return &FieldError{"jobclass, owner and bundle", "must not be empty"}
	}
	return nil
}

func (s *Submission) checkAmounts() error {
	amounts := map[string]float64{
		"cores":     s.Cores,
		"gpus":      s.GPUs,
		"memoryGb":  s.MemoryGB,
		"imageGb":   s.ImageGB,
		"guessS":    s.EstimateS,
		"keepsakeS": s.CheckpointS,
		"stowS":     s.SaveS,
	}
	for name, amount := range amounts {
		if amount < 0 || amount > maxAmount || math.IsNaN(amount) {
			return &FieldError{name, outOfRange}
		}
	}
	if s.DeadlineS != nil && (*s.DeadlineS < 0 || *s.DeadlineS > maxAmount) {
		return &FieldError{"dueS", outOfRange}
	}
	return nil
}

func (s *Submission) checkAwaits() error {
	seen := make(map[string]bool, len(s.Awaits))
	for _, jobID := range s.Awaits {
		if !ValidJobID(jobID) {
			return &FieldError{"awaits:", "not a job id"}
		}
	}
	s.Awaits = slices.DeleteFunc(s.Awaits, func(jobID string) bool {
		duplicate := seen[jobID]
		seen[jobID] = true
		return duplicate
	})
	return nil
}
