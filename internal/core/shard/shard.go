// Package shard holds the state of the machines in a shard and of the tasks bound to
// them. The controller that owns the shard applies the heartbeats of workers, and gets
// the commands for the responses and the records that have to be written. The package
// does no I/O and reads no clock: both are left to the caller.
package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// Params are the settings of a shard.
type Params struct {
	Teams             map[string]*model.Team
	HeartbeatInterval model.Micros // interval between the heartbeats of a worker
	WorkerLease       model.Micros // time without a response after which a worker kills its tasks
	GangWait          model.Micros // time for which a worker keeps a gang's task waiting for the others
	MaxValue          int          // maximum size of a bundle in bytes, 0 for no limit
	DenseBundles      bool         // bundles are written in the dense encoding
	// StartObjectives maps a class to the times within which its tasks should start, in
	// ascending order.
	StartObjectives map[string][]model.Micros
	// FinishObjectives maps a class to the times within which its jobs should be done, in
	// ascending order.
	FinishObjectives map[string][]model.Micros
	// DeadlineObjectives maps a class to the multiples of their deadline within which its
	// jobs should be done, in ascending order.
	DeadlineObjectives map[string][]float64
	// GuaranteeObjective is the time within which jobs within the guarantee of their team
	// should start, 0 if that is not measured for each job.
	GuaranteeObjective model.Micros
	// LeaseMargin is added to the wait for the expiry of another process's lease.
	LeaseMargin model.Micros
}

// Event is a decision or an observation that is logged.
type Event struct {
	Kind    EventKind
	Machine string
	Task    string // id of a task or a job
	Attempt uint64
	Reason  string
}

// EventKind is the kind of an event. Its value is the text of the log line.
type EventKind string

// The kinds of events.
const (
	EventJob             EventKind = "job added"
	EventBind            EventKind = "task bound to machine"
	EventUnbind          EventKind = "task unbound from machine"
	EventStop            EventKind = "task is to be stopped"
	EventRunning         EventKind = "task started running"
	EventFailsEverywhere EventKind = "job has failed on several machines"
	EventAppeared        EventKind = "heartbeat from unknown machine"
	EventUp              EventKind = "machine is up"
	EventLost            EventKind = "worker lease expired"
	EventReclaim         EventKind = "spot machine will be reclaimed"
	EventSlow            EventKind = "tasks on machine run for too long"
	EventQuarantined     EventKind = "machine quarantined"
)

// State is the state of one shard as its owner knows it. It is not safe for concurrent
// use.
type State struct {
	Params       Params
	Token        uint64 // fencing token of the grant under which the shard is owned
	Jobs         map[string]*model.JobState
	Machines     map[string]*model.Machine
	Used         map[string]model.Resources // by team
	MachineTypes map[string]*model.MachineType
	Log          func(Event)
	// NeedsPlacement is set after a change that may allow waiting tasks to start.
	NeedsPlacement bool

	attemptCount uint64
	// oldestAttempt is a lower bound of the attempt numbers that were bound when it was
	// last refreshed.
	oldestAttempt uint64
	runTimes      map[string]*runTimeStats // by class
	classLoads    map[string]classLoad     // by class, as of the last placement round
	reservations  map[*model.JobState][]placement.Reservation

	queue               []string        // entries to be written, in order
	queued              map[string]bool // the entries in queue, as a set
	pendingEnds         []string        // jobs whose end is to be written
	unansweredWrites    []Write         // bundle writes without a response, which may still take effect
	slots               []*bundleSlot
	latestSlot          map[string]int // entry -> the slot with its latest durable version
	copies              map[string]int // entry -> the number of slots that hold any version of it
	bundlesSinceRecount int            // bundles created since the last recount of the slots
	labelSizes          map[string]int // JSON sizes in bytes of the names of machine types and zones
}

// New returns the state of a shard without machines and jobs.
func New(params Params, token uint64) *State {
	return &State{
		Params:        params,
		Token:         token,
		Jobs:          map[string]*model.JobState{},
		Machines:      map[string]*model.Machine{},
		Used:          map[string]model.Resources{},
		MachineTypes:  map[string]*model.MachineType{},
		Log:           func(Event) {},
		oldestAttempt: token << attemptBits,
		runTimes:      map[string]*runTimeStats{},
		reservations:  map[*model.JobState][]placement.Reservation{},
		queued:        map[string]bool{},
		latestSlot:    map[string]int{},
		copies:        map[string]int{},
		labelSizes:    map[string]int{},
	}
}

// attemptBits is the number of low bits of an attempt number that count the attempts
// under a token. The bits above them hold the token.
const attemptBits = 20

// NextAttempt returns an attempt number that has never been used: no other grant has
// the same token, and every grant has a higher token than the grants before it.
func (s *State) NextAttempt() uint64 {
	s.attemptCount++
	return s.Token<<attemptBits + s.attemptCount
}

// AddMachine adds a machine unless it is known already, and returns it.
func (s *State) AddMachine(machineID, machineType, zone string, spot bool, now model.Micros) *model.Machine {
	if m := s.Machines[machineID]; m != nil {
		return m
	}
	m := &model.Machine{
		ID:           machineID,
		MachineType:  machineType,
		Zone:         zone,
		Spot:         spot,
		Bindings:     map[model.TaskID]*model.Binding{},
		LastResponse: now,
		RentedAt:     now,
		EmptySince:   now,
	}
	if known := s.MachineTypes[machineType]; known != nil {
		m.Size = known.Size()
	}
	s.Machines[machineID] = m
	return m
}

// SetMachineTypes updates the machine types, and the sizes of the machines accordingly.
func (s *State) SetMachineTypes(machineTypes []model.MachineType) {
	for i := range machineTypes {
		s.MachineTypes[machineTypes[i].Name] = &machineTypes[i]
	}
	for _, m := range s.Machines {
		if machineType := s.MachineTypes[m.MachineType]; machineType != nil {
			m.Size = machineType.Size()
		}
	}
	s.NeedsPlacement = true
}
