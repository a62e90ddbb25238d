package model

// Machine is a rented machine as the leader knows it, with the tasks bound to it.
type Machine struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	RentedAt    Micros
	Size        Resources

	// What is bound to it.
	Bindings   map[TaskID]*Binding
	TaskCounts map[string]int // bound tasks by job
	Used       Resources
	EmptySince Micros // since when nothing is bound to it

	// Its record in the state service.
	Version        uint64 // counts the changes of the record
	DurableVersion uint64 // the version that is known to be stored
	RecordBytes    int    // what the bound tasks take in the record
	Stored         bool   // a record of it is in the state service

	// What its worker's heartbeats tell.
	Up             bool   // a heartbeat has shown that it knows the leader's token
	Incarnation    uint64 // of the worker; counts the expiries of its lease
	Sequence       uint64 // of the newest heartbeat of that incarnation
	Token          uint64 // highest fencing token that it has told
	LastHeartbeat  Micros // when the newest heartbeat was applied
	LastAnswer     Micros // latest time at which a leader may have renewed its lease
	HasNewCapacity bool   // its newest heartbeat freed resources, or showed it up
	// ReceivesAnswers tells that its newest heartbeat showed that the answer to the one
	// before had arrived.
	ReceivesAnswers bool
	UnansweredSince Micros // since when it sends heartbeats without receiving answers, 0: it receives them
	Lost            bool   // its lease has expired for certain, and nothing was heard since
	SpotNotice      bool   // the cloud will reclaim it
	ReclaimedAt     Micros // when the cloud reclaims it

	// What the cloud tells.
	Listed bool // it has been in a list of machines
	Failed bool // the cloud says that it stopped by itself

	// What the leader has decided.
	// Surplus tells that no work needs it which has to be on an ordinary machine: it is
	// to come empty, so work that may use spot machines does not go there.
	Surplus     bool
	Draining    bool   // released once it is empty: no new work
	Quarantined bool   // tasks fail on it: no new work, released once it is empty
	Deleting    bool   // a deletion is in progress
	SlowUntil   Micros // it seemed slow: other machines are preferred until then
	// ConsecutiveFailures are the failures of tasks on it since a task last ran or completed
	// there: at most one a job and heartbeat, the latest few.
	ConsecutiveFailures []TaskFailure

	// Its image cache.
	Cache   []string // images, most recently used last
	CacheGB map[string]float64
	// ReadyAt is when an image that is being fetched is expected to be there. An image
	// without an entry has been seen in use.
	ReadyAt map[string]Micros
}

// Free returns the resources that are not in use.
func (m *Machine) Free() Resources { return m.Size.Minus(m.Used) }

// HasImage tells whether the image is cached or being fetched by a task that is
// bound here.
func (m *Machine) HasImage(image string) bool {
	for _, c := range m.Cache {
		if c == image {
			return true
		}
	}
	return false
}

// FetchTimeLeft is how long the images that are being fetched are thought to take yet:
// they share the machine's rate.
func (m *Machine) FetchTimeLeft(now Micros) (left Micros) {
	for _, at := range m.ReadyAt {
		left = max(left, at-now)
	}
	return left
}

// TouchImage notes a use of an image and forgets those that no longer fit.
func (m *Machine) TouchImage(image string, gb, cacheGB float64) {
	for i, c := range m.Cache {
		if c == image {
			m.Cache = append(append(m.Cache[:i:i], m.Cache[i+1:]...), image)
			return
		}
	}
	if m.CacheGB == nil {
		m.CacheGB = map[string]float64{}
	}
	m.Cache = append(m.Cache, image)
	m.CacheGB[image] = gb
	total := 0.0
	for _, c := range m.Cache {
		total += m.CacheGB[c]
	}
	for total > cacheGB && len(m.Cache) > 1 {
		total -= m.CacheGB[m.Cache[0]]
		delete(m.CacheGB, m.Cache[0])
		delete(m.ReadyAt, m.Cache[0])
		m.Cache = m.Cache[1:]
	}
}
