// Package shard is the holder's view of the machines in its blocks and of the
// tasks on them: what is bound where, what a report proves, and which commands
// a worker is to get. It is pure: reports and times go in, commands and records
// to be written come out.
package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// Params are the settings that the holder needs.
type Params struct {
	Teams    map[string]*model.Team
	Report   model.Micros
	Lease    model.Micros
	GangWait model.Micros
	MaxValue int                       // bytes of a bundle
	Dense    bool                      // bundles are written in the dense form
	Waits    map[string][]model.Micros // by class: the times within which its tasks are to start, ascending
	Finish   map[string][]model.Micros // by class: the times within which its jobs are to be done, ascending
	// Deadlines are, by class, the multiples of their deadline by which its jobs are
	// to be done, ascending.
	Deadlines map[string][]float64
	// Guarantee is the time within which jobs within their team's guarantee are to
	// start, 0 if they are not counted one by one.
	Guarantee model.Micros
	Margin    model.Micros // added where the end of another's lease is waited for
}

// Event is a decision worth a log line.
type Event struct {
	What, Machine, Task, Why string
	Attempt                  uint64
}

// State is the state of one block holder. It belongs to one actor.
type State struct {
	Params       Params
	Token        uint64
	Jobs         map[string]*model.JobState
	Machines     map[string]*model.Machine
	Used         map[string]model.Resources
	MachineTypes map[string]*model.MachineType
	Log          func(Event)
	// NeedsPlacement is set when something happened that may let waiting work start.
	NeedsPlacement bool

	seq    uint64
	queue  []string
	queued map[string]bool
	slots  []*slot
	liveAt map[string]int // entry -> the slot with its latest durable version
	copies map[string]int // entry -> how many slots hold some version of it
	ends   []string       // jobs whose end is to be written
	again  []Write        // bundles whose last write may yet be carried out late
	opened int            // bundles begun since the slots were last recounted
	labels map[string]int // bytes of names
	// oldestAttempt is no larger than any attempt bound now, as of the last look.
	oldestAttempt uint64
	runTimes      map[string]*runStat

	reservations map[*model.JobState][]placement.Reservation
	classLoads   map[string]classLoad // by class, of the last round
}

// New makes a holder with nothing in it.
func New(p Params, token uint64) *State {
	return &State{Params: p, Token: token, oldestAttempt: token << 20, Jobs: map[string]*model.JobState{}, Machines: map[string]*model.Machine{},
		Used: map[string]model.Resources{}, MachineTypes: map[string]*model.MachineType{}, Log: func(Event) {},
		queued: map[string]bool{}, liveAt: map[string]int{}, copies: map[string]int{}, labels: map[string]int{}, runTimes: map[string]*runStat{}, reservations: map[*model.JobState][]placement.Reservation{}}
}

// NextAttempt gives an attempt number that no start has ever carried: the token is
// this grant's alone, and grows with every grant.
func (h *State) NextAttempt() uint64 {
	h.seq++
	return h.Token<<20 + h.seq
}

// AddMachine makes a machine known.
func (h *State) AddMachine(ref, machineType, zone string, spot bool, now model.Micros) *model.Machine {
	if m := h.Machines[ref]; m != nil {
		return m
	}
	m := &model.Machine{ID: ref, MachineType: machineType, Zone: zone, Spot: spot, Bindings: map[model.TaskID]*model.Binding{},
		LastAnswer: now, RentedAt: now, EmptySince: now}
	if f := h.MachineTypes[machineType]; f != nil {
		m.Size = f.Size()
	}
	h.Machines[ref] = m
	return m
}

// SetMachineTypes brings the machine types up to date.
func (h *State) SetMachineTypes(fs []model.MachineType) {
	for i := range fs {
		h.MachineTypes[fs[i].Name] = &fs[i]
	}
	for _, m := range h.Machines {
		if f := h.MachineTypes[m.MachineType]; f != nil {
			m.Size = f.Size()
		}
	}
	h.NeedsPlacement = true
}
