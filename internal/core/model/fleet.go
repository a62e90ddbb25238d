package model

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

func (p TaskID) String() string { return fmt.Sprintf("%s/%d", p.Job, p.Index) }

// ParseTaskID reads "j-000412/3".
func ParseTaskID(s string) (TaskID, bool) {
	job, n, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, false
	}
	i, err := strconv.Atoi(n)
	return TaskID{job, i}, err == nil && i >= 0
}

// Set is a set of task numbers, kept compactly: 100,000 of them still fit into
// one value of the state service.
type Set struct {
	bits []byte
	n    int
}

// SetOf reads the stored form.
func SetOf(bits []byte) Set {
	s := Set{bits: append([]byte(nil), bits...)}
	for _, b := range bits {
		for ; b != 0; b &= b - 1 {
			s.n++
		}
	}
	return s
}

// Merge adds the members of a stored form whose first bit is number from, a
// multiple of eight.
func (s *Set) Merge(bits []byte, from int) {
	for i, b := range bits {
		for k := 0; b != 0; b, k = b>>1, k+1 {
			if b&1 != 0 {
				s.Add(from + i*8 + k)
			}
		}
	}
}

// Part is the stored form of the members from k*TasksPerPart on, as many.
func (s *Set) Part(k int) []byte {
	const size = TasksPerPart / 8
	return s.bits[min(k*size, len(s.bits)):min((k+1)*size, len(s.bits))]
}

// TasksPerPart is how many tasks of a large job one entry of finished tasks covers,
// where the whole would be too large for a value of the state service.
const TasksPerPart = 4096

// Parts is the number of such entries.
func Parts(tasks int) int { return (tasks + TasksPerPart - 1) / TasksPerPart }

// IsSetOf tells whether the stored form of a set has no member beyond so many tasks.
func IsSetOf(bits []byte, tasks int) bool {
	for i, b := range bits {
		for k := range 8 {
			if b&(1<<k) != 0 && i*8+k >= tasks {
				return false
			}
		}
	}
	return true
}

// Bytes is the stored form.
func (s *Set) Bytes() []byte { return s.bits }

// Len is the number of members.
func (s *Set) Len() int { return s.n }

// Has tells whether i is a member.
func (s *Set) Has(i int) bool { return i/8 < len(s.bits) && s.bits[i/8]&(1<<(i%8)) != 0 }

// Add makes i a member and tells whether it was none before.
func (s *Set) Add(i int) bool {
	if s.Has(i) {
		return false
	}
	for i/8 >= len(s.bits) {
		s.bits = append(s.bits, 0)
	}
	s.bits[i/8] |= 1 << (i % 8)
	s.n++
	return true
}

// Status of a bound task, as last reported.
type Status uint8

// The states of a task; Unseen means that no report has shown it yet.
const (
	Unreported Status = iota
	Fetching
	WaitingForGang
	Running
	Saving
	Exited
)

// StatusOf reads the wire form.
func StatusOf(s string) Status {
	switch s {
	case "pulling":
		return Fetching
	case "gathering":
		return WaitingForGang
	case "running":
		return Running
	case "saving":
		return Saving
	case "ended":
		return Exited
	}
	return Unreported
}

// Binding is a task bound to a machine: from the decision until there is proof that
// it is gone.
type Binding struct {
	ID      TaskID
	Attempt uint64
	Job     *Job
	Machine *Machine
	Version uint64 // version of the machine's record that first holds it
	Status  Status
	// SentIncarnation and SentTally name the report whose response last carried the
	// start; both 0 if this process never sent it.
	SentIncarnation, SentSequence uint64
	Seen                          bool   // a report under our token has shown it
	BoundAt                       Micros // when it was bound
	RunningSince                  Micros // first seen running, 0 if not yet
	ExpectedFetch                 Micros // how long its image was thought to take when it was bound
	Stopping                      bool   // it is to be stopped
	StopGrace                     Micros // grace of that stop
	StopDecidedAt                 Micros // when the stop was decided
	StopSentAt                    Micros // when it was first sent
	StopReason                    string // why it is stopped
}

// Machine is a machine.
type Machine struct {
	ID, Addr, MachineType, Zone string
	Spot                        bool
	Size                        Resources
	Used                        Resources
	Bindings                    map[TaskID]*Binding
	TaskCounts                  map[string]int // bound tasks by job
	RecordBytes                 int            // that the bound tasks take in its record
	Version, DurableVersion     uint64
	Stored                      bool // a record of it is in the state service

	Up                    bool // has reported to us
	Incarnation, Sequence uint64
	LastHeartbeat         Micros // last report taken
	LastAnswer            Micros // latest moment at which an entitled node may have answered it
	Token                 uint64 // highest token it has told us
	SpotNotice            bool   // spot notice seen
	ReclaimedAt           Micros // when it is taken
	RentedAt              Micros
	EmptySince            Micros // since when nothing is bound to it
	HasNews               bool   // its last report made room, or showed it up
	ReceivesAnswers       bool   // its last report showed that our answer to the one before had reached it
	UnansweredSince       Micros // since when it reports without hearing, 0: it hears
	Lost                  bool   // its lease surely ran out, nothing heard since
	// Surplus tells that no work needs it which has to be on an ordinary machine: it is
	// to come empty, so work that may use spot machines does not go there.
	Surplus     bool
	Draining    bool // to be returned once empty: no new work
	Deleting    bool // a deletion is on its way
	Quarantined bool
	SlowUntil   Micros // it seemed slow lately: other machines are preferred until then
	// FailuresInRow are the failures of tasks on it since a task last completed
	// there: at most one a job and report, the latest few.
	FailuresInRow []TaskFailure
	Listed        bool
	Failed        bool
	Cache         []string // images, most recently used last
	CacheGB       map[string]float64
	// ReadyAt is when an image that is being fetched is thought to be there. An
	// image without an entry has been seen in use.
	ReadyAt map[string]Micros
}

// Free is the room left.
func (h *Machine) Free() Resources { return h.Size.Minus(h.Used) }

// HasImage tells whether the image is cached or being fetched by a task that is
// bound here.
func (h *Machine) HasImage(img string) bool {
	for _, c := range h.Cache {
		if c == img {
			return true
		}
	}
	return false
}

// FetchTimeLeft is how long the images that are being fetched are thought to take yet:
// they share the machine's rate.
func (h *Machine) FetchTimeLeft(now Micros) (left Micros) {
	for _, at := range h.ReadyAt {
		left = max(left, at-now)
	}
	return left
}

// TouchImage notes a use of an image and forgets those that no longer fit.
func (h *Machine) TouchImage(img string, gb, cacheGB float64) {
	for i, c := range h.Cache {
		if c == img {
			h.Cache = append(append(h.Cache[:i:i], h.Cache[i+1:]...), img)
			return
		}
	}
	if h.CacheGB == nil {
		h.CacheGB = map[string]float64{}
	}
	h.Cache = append(h.Cache, img)
	h.CacheGB[img] = gb
	total := 0.0
	for _, c := range h.Cache {
		total += h.CacheGB[c]
	}
	for total > cacheGB && len(h.Cache) > 1 {
		total -= h.CacheGB[h.Cache[0]]
		delete(h.CacheGB, h.Cache[0])
		delete(h.ReadyAt, h.Cache[0])
		h.Cache = h.Cache[1:]
	}
}

// Versions counts the changes of a record, and tells which is durable.
type Versions struct{ Now, Stored uint64 }

// JobState is a job with what has become of it, as its home holds it.
type JobState struct {
	*Job
	Done Set
	// DoneVersions are the versions of Done, by part: one if it is stored as a whole.
	DoneVersions  []Versions
	Ended         string // "", "done" or "withdrawn", durable
	EndPending    bool   // all done: the end is to be written
	Bindings      map[int][]*Binding
	Waiting       []int // unbound and not done, ascending
	Attempt       uint64
	AttemptFailed bool // gang attempt to be ended before the next
	NotBefore     Micros
	Failures
	ReadySince Micros
	HasRun     bool   // a task of it has run
	IdleSince  Micros // since when nothing of it is bound
	// Suspended tells that no task of it may be bound or started now: it is lent to another
	// cell, or lent by one without a right to run it.
	Suspended bool
	// HomeCell is the cell that has lent it, "": it is a job of this one. Confirmed are then
	// the finished tasks that its home has stored.
	HomeCell  string
	Confirmed Set
	// UnknownToWorkers tells that a worker has refused to start it, as it found no
	// description of the job.
	UnknownToWorkers bool
	// What a placement round thinks of it.
	WithinGuarantee bool // within its team's guarantee
	GuaranteeInTime bool // and can still start in the time that such work is to start in
	Starved         bool // it has waited too long to begin
	// LossMakesLate tells that it misses an aim if one of its tasks has to begin anew.
	LossMakesLate bool
	HasPreempted  bool // others have been stopped to make room for it
	DueAt         Micros
}

// BindingCount is the number of bound tasks, old attempts included.
func (j *JobState) BindingCount() int {
	n := 0
	for _, b := range j.Bindings {
		n += len(b)
	}
	return n
}
