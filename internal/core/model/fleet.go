package model

import (
	"fmt"
	"strconv"
	"strings"
)

// PieceID names one task of a job.
type PieceID struct {
	Job string
	N   int
}

func (p PieceID) String() string { return fmt.Sprintf("%s/%d", p.Job, p.N) }

// ParsePiece reads "j-000412/3".
func ParsePiece(s string) (PieceID, bool) {
	job, n, ok := strings.Cut(s, "/")
	if !ok {
		return PieceID{}, false
	}
	i, err := strconv.Atoi(n)
	return PieceID{job, i}, err == nil && i >= 0
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

// Part is the stored form of the members from k*PartPieces on, as many.
func (s *Set) Part(k int) []byte {
	const size = PartPieces / 8
	return s.bits[min(k*size, len(s.bits)):min((k+1)*size, len(s.bits))]
}

// PartPieces is how many tasks of a large job one entry of finished tasks covers,
// where the whole would be too large for a value of the state service.
const PartPieces = 4096

// Parts is the number of such entries.
func Parts(pieces int) int { return (pieces + PartPieces - 1) / PartPieces }

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

// Status of a bound piece, as last reported.
type Status uint8

// The states of a task; Unseen means that no report has shown it yet.
const (
	Unseen Status = iota
	Pulling
	Gathering
	Running
	Saving
	Ended
)

// StatusOf reads the wire form.
func StatusOf(s string) Status {
	switch s {
	case "pulling":
		return Pulling
	case "gathering":
		return Gathering
	case "running":
		return Running
	case "saving":
		return Saving
	case "ended":
		return Ended
	}
	return Unseen
}

// Bound is a piece bound to a host: from the decision until there is proof that
// it is gone.
type Bound struct {
	ID     PieceID
	Try    uint64
	Job    *Job
	Host   *Host
	Ver    uint64 // version of the host's record that first holds it
	Status Status
	// SentTenure and SentTally name the report whose response last carried the
	// start; both 0 if this process never sent it.
	SentTenure, SentTally uint64
	Seen                  bool   // a report under our token has shown it
	At                    Micros // when it was bound
	RunAt                 Micros // first seen running, 0 if not yet
	Fetch                 Micros // how long its image was thought to take when it was bound
	Stop                  bool   // it is to be stopped
	Leeway                Micros // grace of that stop
	StopAt                Micros // when the stop was decided
	StopSent              Micros // when it was first sent
	Why                   string // why it is stopped
}

// Host is a machine.
type Host struct {
	Ref, Addr, Build, Yard string
	Spot                   bool
	Size                   Need
	Used                   Need
	Bound                  map[PieceID]*Bound
	Tasks                  map[string]int // bound pieces by job
	Bytes                  int            // that the bound pieces take in its record
	Ver, DurableVer        uint64
	Stored                 bool // a record of it is in the state service

	Up            bool // has reported to us
	Tenure, Tally uint64
	Heard         Micros // last report taken
	Answered      Micros // latest moment at which an entitled node may have answered it
	Warrant       uint64 // highest token it has told us
	Recall        bool   // spot notice seen
	RecallAt      Micros // when it is taken
	RentedAt      Micros
	EmptyAt       Micros // since when nothing is bound to it
	Changed       bool   // its last report made room, or showed it up
	Hears         bool   // its last report showed that our answer to the one before had reached it
	MuteSince     Micros // since when it reports without hearing, 0: it hears
	Lost          bool   // its lease surely ran out, nothing heard since
	Leaving       bool   // to be returned once empty: no new work
	Deleting      bool   // a deletion is on its way
	Sick          bool
	SlowUntil     Micros // it seemed slow lately: other machines are preferred until then
	Errors        int    // errors in a row
	ErrorJobs     map[string]bool
	Listed        bool
	Failed        bool
	Cache         []string // images, most recently used last
	CacheGB       map[string]float64
	// ReadyAt is when an image that is being fetched is thought to be there. An
	// image without an entry has been seen in use.
	ReadyAt map[string]Micros
}

// Free is the room left.
func (h *Host) Free() Need { return h.Size.Minus(h.Used) }

// HasImage tells whether the image is cached or being fetched by a task that is
// bound here.
func (h *Host) HasImage(img string) bool {
	for _, c := range h.Cache {
		if c == img {
			return true
		}
	}
	return false
}

// Fetching is how long the images that are being fetched are thought to take yet:
// they share the machine's rate.
func (h *Host) Fetching(now Micros) (left Micros) {
	for _, at := range h.ReadyAt {
		left = max(left, at-now)
	}
	return left
}

// TouchImage notes a use of an image and forgets those that no longer fit.
func (h *Host) TouchImage(img string, gb, cacheGB float64) {
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
	// Parts are the versions of Done, by part: one if it is stored as a whole.
	Parts      []Versions
	Ended      string // "", "done" or "withdrawn", durable
	EndWanted  bool   // all done: the end is to be written
	Bound      map[int][]*Bound
	Waiting    []int // unbound and not done, ascending
	Try        uint64
	Broken     bool // gang attempt to be ended before the next
	NotBefore  Micros
	ErrorHosts map[string]bool
	SeenAt     Micros
	Begun      bool   // a task of it has run
	IdleAt     Micros // since when nothing of it is bound
	// What a placement round thinks of it.
	Within  bool // within its team's guarantee
	Soon    bool // and can still start in the time that such work is to start in
	Starved bool // it has waited too long to begin
	Paid    bool // others have been stopped to make room for it
	DueAt   Micros
}

// BoundCount is the number of bound pieces, old attempts included.
func (j *JobState) BoundCount() int {
	n := 0
	for _, b := range j.Bound {
		n += len(b)
	}
	return n
}
