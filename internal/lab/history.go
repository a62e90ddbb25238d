package lab

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"
)

// Kind is the kind of event that a row of the history records.
type Kind string

// Kinds of rows.
const (
	JobSubmitted Kind = "submitted"   // a user submits a job for the first time
	JobAccepted  Kind = "accepted"    // a user is told that a job is accepted
	JobDone      Kind = "done"        // a user is told that a job is done
	JobForgotten Kind = "forgotten"   // a user gets status 404 for an accepted job
	TaskStarted  Kind = "started"     // a task comes onto a machine
	TaskRepeated Kind = "again"       // a task that had completed before comes onto a machine
	StateChange  Kind = "change"      // a spill record is changed
	RuleViolated Kind = "rule broken" // the invariant checker found a violation
	AllReturned  Kind = "all home"    // no spill record is left
)

// Row is one event. Times are microseconds since the start.
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

// History has the events of a run in order.
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

// Report summarises a history file.
type Report struct {
	Accepted, Finished, Lost  int
	Duplicated                int // jobs reported done more than once, plus all violations, such as a task in two places at once
	ExecutedAgain, Starts     int
	Lendings, StateChanges    int
	StateBytes                int64
	RanElsewhere              int // jobs of which a task started in another cell than its user's
	Violations                []string
	LastDoneUs, AllReturnedUs int64
	StartWait                 *hdrhistogram.Histogram // milliseconds from submission to a job's first task
}

// maxStartWaitMs is the longest wait that Report.StartWait distinguishes: one hour.
const maxStartWaitMs = 3_600_000

// Read computes a report from a Parquet file.
func Read(path string) (*Report, error) {
	rows, err := parquet.ReadFile[Row](path)
	if err != nil {
		return nil, err
	}
	report := &Report{StartWait: hdrhistogram.New(1, maxStartWaitMs, 3)}
	submitted, home := map[string]int64{}, map[string]string{}
	accepted, done, started, ranElsewhere := map[string]bool{}, map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, row := range rows {
		switch row.Kind {
		case JobSubmitted:
			submitted[row.Job], home[row.Job] = row.AtUs, row.Cell
		case JobAccepted:
			accepted[row.Job] = true
		case JobDone:
			done[row.Job]++
			report.LastDoneUs = max(report.LastDoneUs, row.AtUs)
		case JobForgotten:
			report.Lost++
		case TaskRepeated:
			report.ExecutedAgain++
		case TaskStarted:
			report.Starts++
			ranElsewhere[row.Job] = ranElsewhere[row.Job] || row.Cell != home[row.Job]
			if !started[row.Job] {
				started[row.Job] = true
				if err := report.StartWait.RecordValue(min(max(1, (row.AtUs-submitted[row.Job])/1000), maxStartWaitMs)); err != nil {
					return nil, err
				}
			}
		case StateChange:
			report.StateChanges++
			report.StateBytes += row.Bytes
			if row.Lent {
				report.Lendings++
			}
		case RuleViolated:
			report.Violations = append(report.Violations, row.Key)
		case AllReturned:
			report.AllReturnedUs = row.AtUs
		}
	}
	report.countJobs(accepted, done, ranElsewhere)
	return report, nil
}

// countJobs adds up the outcomes of the accepted jobs.
func (r *Report) countJobs(accepted map[string]bool, done map[string]int, ranElsewhere map[string]bool) {
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
		if ranElsewhere[job] {
			r.RanElsewhere++
		}
	}
	r.Duplicated += len(r.Violations)
}
