package lab

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"
)

// Kind tells what a row of the history is about.
type Kind string

// Kinds of rows.
const (
	JobSubmitted Kind = "submitted"   // by a user, for the first time
	JobAccepted  Kind = "accepted"    // as a user was told
	JobDone      Kind = "done"        // as a user was told
	JobForgotten Kind = "forgotten"   // a user was told 404 of an accepted job
	TaskStarted  Kind = "started"     // a task came onto a machine
	TaskRepeated Kind = "again"       // the same of one that had completed before
	StateChange  Kind = "change"      // of a record of spilling
	RuleViolated Kind = "rule broken" // as the stand-ins noted it
	AllReturned  Kind = "all home"    // no record of spilling is left
)

// Row is one thing that happened. Times are microseconds since the start.
type Row struct {
	AtUs  int64  `parquet:"at_us"`
	Kind  Kind   `parquet:"kind,dict"`
	Cell  string `parquet:"cell,dict"`
	Job   string `parquet:"job"`
	Task  int64  `parquet:"task"`
	Key   string `parquet:"key"`
	Bytes int64  `parquet:"bytes"`
	Lent  bool   `parquet:"lent"`
}

// History is what happened, in order.
type History struct {
	mu   sync.Mutex
	rows []Row
}

func (h *History) add(row Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = append(h.rows, row)
}

// Write writes the history to a Parquet file.
func (h *History) Write(path string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return parquet.WriteFile(path, h.rows)
}

// Report is what a history file says.
type Report struct {
	Accepted, Finished, Lost  int
	Duplicated                int // tasks in two places at once, and ends told twice: broken rules
	ExecutedAgain, Starts     int
	LentJobs, StateChanges    int
	StateBytes                int64
	RanElsewhere              int // jobs of which a task started in another cell than that of its user
	Violations                []string
	LastDoneUs, AllReturnedUs int64
	StartWait                 *hdrhistogram.Histogram // milliseconds from submission to a job's first task
}

const maxStartWaitMs = 3_600_000

// Read computes a report from a Parquet file.
func Read(path string) (*Report, error) {
	rows, err := parquet.ReadFile[Row](path)
	if err != nil {
		return nil, err
	}
	r := &Report{StartWait: hdrhistogram.New(1, maxStartWaitMs, 3)}
	submitted, home := map[string]int64{}, map[string]string{}
	accepted, done, began, elsewhere := map[string]bool{}, map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, row := range rows {
		switch row.Kind {
		case JobSubmitted:
			submitted[row.Job], home[row.Job] = row.AtUs, row.Cell
		case JobAccepted:
			accepted[row.Job] = true
		case JobDone:
			done[row.Job]++
			r.LastDoneUs = max(r.LastDoneUs, row.AtUs)
		case JobForgotten:
			r.Lost++
		case TaskRepeated:
			r.ExecutedAgain++
		case TaskStarted:
			r.Starts++
			elsewhere[row.Job] = elsewhere[row.Job] || row.Cell != home[row.Job]
			if !began[row.Job] {
				began[row.Job] = true
				if err := r.StartWait.RecordValue(min(max(1, (row.AtUs-submitted[row.Job])/1000), maxStartWaitMs)); err != nil {
					return nil, err
				}
			}
		case StateChange:
			r.StateChanges++
			r.StateBytes += row.Bytes
			if row.Lent {
				r.LentJobs++
			}
		case RuleViolated:
			r.Violations = append(r.Violations, row.Key)
		case AllReturned:
			r.AllReturnedUs = row.AtUs
		}
	}
	r.countJobs(accepted, done, elsewhere)
	return r, nil
}

// count sums up what became of the jobs.
func (r *Report) countJobs(accepted map[string]bool, done map[string]int, elsewhere map[string]bool) {
	r.Accepted = len(accepted)
	for job := range accepted {
		switch {
		case done[job] == 0:
			r.Lost++
		case done[job] > 1:
			r.Duplicated++
		default:
			r.Finished++
		}
		if elsewhere[job] {
			r.RanElsewhere++
		}
	}
	r.Duplicated += len(r.Violations)
}
