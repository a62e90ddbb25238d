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

	// Bound tasks.
	Bindings   map[TaskID]*Binding
	TaskCounts map[string]int // number of bound tasks by job
	Used       Resources      // what the bound tasks take
	EmptySince Micros         // since when no task has been bound to the machine

	// The machine's record in the state service.
	Version        uint64 // counts the changes of the record
	DurableVersion uint64 // latest version that is known to be stored
	RecordBytes    int    // size of the bound tasks in the record
	Stored         bool   // the state service has a record of the machine

	// State derived from the worker's heartbeats.
	Up            bool   // a heartbeat has shown that the worker knows the leader's fencing token
	Incarnation   uint64 // of the worker; counts the expiries of its lease
	Sequence      uint64 // of the newest heartbeat of that incarnation
	Token         uint64 // highest fencing token that the worker has reported
	LastHeartbeat Micros // when the newest heartbeat was applied
	LastResponse  Micros // latest time at which a leader may have renewed the worker's lease
	// HasNewCapacity is set when a binding is removed from the machine, and when a heartbeat
	// shows that the machine is up or that responses reach it again. It is cleared by a
	// heartbeat that does not show that the last response was received.
	HasNewCapacity bool
	// ReceivesResponses is set if the newest heartbeat showed that the response to the one
	// before it had arrived.
	ReceivesResponses bool
	NoResponseSince   Micros // since when the worker has sent heartbeats without receiving responses, 0 if it receives them
	Lost              bool   // the worker's lease has certainly expired, and no heartbeat has arrived since
	SpotNotice        bool   // the cloud has announced that it will reclaim the machine
	ReclaimedAt       Micros // when the cloud will reclaim the machine

	// State derived from the cloud's answers.
	Listed bool // the machine has been in a machine list
	Failed bool // the cloud reports that the machine stopped by itself

	// Decisions of the leader.
	// Surplus is set if no work that requires an on-demand machine needs this one. It is to
	// become empty, so work that may use spot machines is not placed there.
	Surplus     bool
	Draining    bool   // no new work; released once empty
	Quarantined bool   // tasks fail on the machine: no new work; released once empty
	Deleting    bool   // a deletion is in progress
	SlowUntil   Micros // the machine seemed slow: other machines are preferred until then
	// ConsecutiveFailures are the latest failures on the machine since a task last ran or
	// completed there, at most one per job and heartbeat.
	ConsecutiveFailures []TaskFailure

	// Image cache.
	Cache   []string           // images, most recently used last
	CacheGB map[string]float64 // sizes of the cached images
	// ReadyAt is when an image that is being fetched is expected to be complete. An image
	// without an entry has been seen in use.
	ReadyAt map[string]Micros
}

// Free returns the resources that no bound task takes.
func (m *Machine) Free() Resources { return m.Size.Minus(m.Used) }

// HasImage reports whether the image is cached, or being fetched by a task that is bound
// to the machine.
func (m *Machine) HasImage(image string) bool {
	for _, cached := range m.Cache {
		if cached == image {
			return true
		}
	}
	return false
}

// FetchTimeLeft returns the estimated time until all images that are being fetched are
// complete; they share the machine's fetch rate.
func (m *Machine) FetchTimeLeft(now Micros) (left Micros) {
	for _, readyAt := range m.ReadyAt {
		left = max(left, readyAt-now)
	}
	return left
}

// TouchImage records a use of an image, and evicts the least recently used images that no
// longer fit into the cache.
func (m *Machine) TouchImage(image string, gb, cacheGB float64) {
	for i, cached := range m.Cache {
		if cached == image {
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
	for _, cached := range m.Cache {
		total += m.CacheGB[cached]
	}
	for total > cacheGB && len(m.Cache) > 1 {
		total -= m.CacheGB[m.Cache[0]]
		delete(m.CacheGB, m.Cache[0])
		delete(m.ReadyAt, m.Cache[0])
		m.Cache = m.Cache[1:]
	}
}
