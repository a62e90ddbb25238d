// Package shard has the state of the machines in a shard and of the tasks that are
// bound to them. Its owner, a controller, applies the heartbeats of workers, and gets
// the commands of the responses and the records that have to be written. The package
// does no input or output and reads no clock: both are the caller's.
package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// Params are the settings of a shard.
type Params struct {
	Teams             map[string]*model.Team
	HeartbeatInterval model.Micros // interval of heartbeats
	WorkerLease       model.Micros // workers kill their tasks if they get no response for so long
	GangWait          model.Micros // time for which a worker keeps a gang's task waiting for the others
	MaxValue          int          // bytes of a bundle at most, 0 for no limit
	DenseBundles      bool         // bundles are written in the dense encoding
	// StartObjectives has, by class, the times within which its tasks should start, ascending.
	StartObjectives map[string][]model.Micros
	// FinishObjectives has, by class, the times within which its jobs should be done, ascending.
	FinishObjectives map[string][]model.Micros
	// DeadlineObjectives has, by class, the multiples of their deadline within which its jobs
	// should be done, ascending.
	DeadlineObjectives map[string][]float64
	// GuaranteeObjective is the time within which jobs within the guarantee of their team should
	// start, 0 if that is not measured for each job.
	GuaranteeObjective model.Micros
	// LeaseMargin is added where the expiry of another process's lease is waited for.
	LeaseMargin model.Micros
}

// Event is a decision or an observation that is logged.
type Event struct {
	Kind    EventKind
	Machine string
	Task    string // a task, or a job
	Attempt uint64
	Reason  string
}

// EventKind is the kind of an event, as it is logged.
type EventKind string

// The kinds of events.
const (
	EventJob             EventKind = "job"              // a job was added
	EventBind            EventKind = "bind"             // a task was bound to a machine
	EventUnbind          EventKind = "unbind"           // a binding was removed
	EventStop            EventKind = "stop"             // a task is to be stopped
	EventRunning         EventKind = "runs"             // a task began to run
	EventFailsEverywhere EventKind = "fails everywhere" // a job has failed on several machines
	EventAppeared        EventKind = "appeared"         // an unknown machine sent a heartbeat
	EventUp              EventKind = "up"               // a machine is up
	EventLost            EventKind = "lost"             // the lease of a machine's worker expired
	EventReclaim         EventKind = "recall"           // a spot machine will be reclaimed
	EventSlow            EventKind = "slow"             // tasks on a machine run for too long
	EventQuarantined     EventKind = "sick"             // a machine was quarantined
)

// State is the state of one shard, as its owner knows it. It must be used by a single
// goroutine at a time.
type State struct {
	Params       Params
	Token        uint64 // fencing token of the grant under which we own the shard
	Jobs         map[string]*model.JobState
	Machines     map[string]*model.Machine
	Used         map[string]model.Resources // by team
	MachineTypes map[string]*model.MachineType
	Log          func(Event)
	// NeedsPlacement is set when something happened that may let waiting tasks start.
	NeedsPlacement bool

	attemptCount uint64
	// oldestAttempt is a lower bound of the attempts that were bound at its last refresh.
	oldestAttempt uint64
	runTimes      map[string]*runTimeStats // by class
	classLoads    map[string]classLoad     // by class, as of the last placement round
	reservations  map[*model.JobState][]placement.Reservation

	queue               []string        // entries to be written
	queued              map[string]bool // the same, as a set
	pendingEnds         []string        // jobs whose end is to be written
	unansweredWrites    []Write         // bundles whose last write may yet be carried out late
	slots               []*bundleSlot
	latestSlot          map[string]int // entry -> the slot with its latest durable version
	copies              map[string]int // entry -> the number of slots with some version of it
	bundlesSinceRecount int            // bundles begun since the slots were last recounted
	labelSizes          map[string]int // bytes of the names of machine types and zones
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

// attemptBits is the number of low bits of an attempt that count the attempts under a
// token. The bits above them are the token.
const attemptBits = 20

// NextAttempt returns an attempt number that no start has ever had: no other grant has
// our token, and every grant has a higher one than those before.
func (s *State) NextAttempt() uint64 {
	s.attemptCount++
	return s.Token<<attemptBits + s.attemptCount
}

// AddMachine adds a machine, unless it is known already.
func (s *State) AddMachine(machineID, machineType, zone string, spot bool, now model.Micros) *model.Machine {
	if m := s.Machines[machineID]; m != nil {
		return m
	}
	m := &model.Machine{
		ID:          machineID,
		MachineType: machineType,
		Zone:        zone,
		Spot:        spot,
		Bindings:    map[model.TaskID]*model.Binding{},
		LastAnswer:  now,
		RentedAt:    now,
		EmptySince:  now,
	}
	if known := s.MachineTypes[machineType]; known != nil {
		m.Size = known.Size()
	}
	s.Machines[machineID] = m
	return m
}

// SetMachineTypes updates the machine types.
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
