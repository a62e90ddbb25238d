// Package placement decides which waiting task goes to which machine. It only
// decides: binding a task durably and starting it are the holder's business.
package placement

import (
	"slices"

	"woadweir/internal/core/model"
)

// World is what a placement round may look at. Bind is called for every
// decision, and is expected to book it at once, so that the next decision sees
// the room that is left.
type World struct {
	Now              model.Micros
	HeartbeatTimeout model.Micros // a machine not heard for this long gets no new work
	Machines         []*model.Machine
	Jobs             []*model.JobState
	Teams            map[string]*model.Team
	Used             map[string]model.Resources // by team, all bound tasks
	RequestPerGPU    model.Resources            // what a GPU task takes beside each GPU, on average
	WantedGPUs       model.Milli                // GPUs that are, or may soon be, wanted beyond those in use
	NextAttempt      func() uint64
	Bind             func(j *model.JobState, n int, h *model.Machine, try uint64)
	MachineTypes     map[string]*model.MachineType
	// TaskSlots is how many more tasks of a job may be bound to a machine, whatever room
	// it has.
	TaskSlots func(j *model.Job, h *model.Machine) int
	// DueAt is by when a job is to be done to be in time; a job that can't be in
	// time any more, or needn't be, is due late.
	DueAt func(j *model.JobState) model.Micros
	// Stop asks for a bound task to be stopped, to make room.
	Stop func(b *model.Binding, why string)
	// StopTime is about how long it takes until a stopped task's room is free.
	StopTime model.Micros
	// Patience is how long a job may wait before work of lower rank is stopped
	// for it.
	Patience func(j *model.JobState) model.Micros

	// Guarantee is the time within which jobs within their team's guarantee are to
	// start, 0 if they are not counted one by one.
	Guarantee model.Micros
	// Rate is how many tasks of a class come to begin in a second, thought from
	// those that run.
	Rate func(class string) float64

	// Preempting has the round look for work to be stopped, too, which costs more
	// than placing. Reservations is what such a round kept for jobs that still wait; the
	// rounds until the next one hold on to it.
	Preempting   bool
	Reservations map[*model.JobState][]Reservation
	// Remaining is how long a bound task is thought to go on.
	Remaining func(b *model.Binding) model.Micros

	reservedLimit    map[string]model.Resources                 // room within team limits, kept for gangs served earlier
	rooms            []room                                     // the open machines
	noRoomFor        map[constraints][]model.Resources          // by what is allowed: needs for which no machine has room
	lowestPriority   model.Priority                             // of the tasks that could be stopped
	preemptedFor     map[*model.JobState]map[*model.Machine]int // rooms that others were stopped for, of the last preempting round
	protectedJobs    map[string]bool                            // jobs whose first task at last begins
	withholdingGangs int                                        // gangs that room was withheld for
	preemptingJobs   int                                        // jobs that looked for work to be stopped
	reservedZones    map[string]bool                            // zones where a gang waits for machines to come free
	reservedRooms    map[*model.Machine]*room                   // of machines with kept room, made when needed
}

// Round places what it can and calls Bind for each decision.
func (w *World) Round() {
	w.Sort()
	w.prepare()
	for i, k := 0, 0; i < len(w.Jobs); i = k {
		a := w.Jobs[i]
		for k = i; k < len(w.Jobs); k++ {
			if b := w.Jobs[k]; b.Priority != a.Priority || b.Starved != a.Starved || (b.DueAt < Late) != (a.DueAt < Late) {
				break
			}
		}
		w.placeEqualJobs(w.Jobs[i:k])
	}
}

// placeEqualJobs serves jobs of the same standing. Tasks whose image is there go first:
// when GPUs come free one at a time, each would else go to whatever is next in
// order, and spend as long on the image as on the work.
func (w *World) placeEqualJobs(jobs []*model.JobState) {
	waits := func(j *model.JobState) bool {
		return j.Ended == "" && !j.EndPending && len(j.Waiting) > 0 && w.Now >= j.NotBefore
	}
	alike := !jobs[0].Starved
	for _, j := range jobs {
		alike = alike && (j.Kind != model.Gang || !waits(j))
	}
	for _, j := range jobs {
		if alike && waits(j) {
			w.placeTasks(j, true)
		}
	}
	for _, j := range jobs {
		if waits(j) {
			w.placeJob(j)
		}
	}
}

// prepare looks at the machines.
func (w *World) prepare() {
	w.reservedLimit = map[string]model.Resources{}
	w.noRoomFor = map[constraints][]model.Resources{}
	w.reservedZones = map[string]bool{}
	w.rooms = make([]room, 0, len(w.Machines))
	w.lowestPriority = model.ProductionPriority
	for _, h := range w.Machines {
		if !w.Open(h) {
			continue
		}
		w.rooms = append(w.rooms, room{machine: h})
		if !w.Preempting {
			continue
		}
		for _, b := range h.Bindings {
			if b.Job.Priority < w.lowestPriority && b.Job.Kind != model.Gang {
				w.lowestPriority = b.Job.Priority
			}
		}
	}
	w.reserveBesideGPUs()
	if w.Preempting {
		w.preemptedFor = map[*model.JobState]map[*model.Machine]int{}
		for j, ks := range w.Reservations {
			for _, k := range ks {
				if k.Preempted {
					if w.preemptedFor[j] == nil {
						w.preemptedFor[j] = map[*model.Machine]int{}
					}
					w.preemptedFor[j][k.Machine]++
				}
			}
		}
		// Room that others were stopped for stays with the job it was made for until
		// that is served: else one served before it, short of a machine for a moment,
		// would take that room for nothing, this job would have more stopped
		// elsewhere, and so on down the line.
		for j, ks := range w.Reservations {
			ks = slices.DeleteFunc(ks, func(k Reservation) bool { return !k.Preempted })
			if len(ks) == 0 || len(j.Waiting) == 0 || j.Ended != "" {
				delete(w.Reservations, j)
			} else {
				w.Reservations[j] = ks
			}
		}
		w.protectedJobs = map[string]bool{}
		for _, j := range w.Jobs {
			if hasNotRun(j) && w.Now-j.ReadySince > protectFirstTaskAfter {
				w.protectedJobs[j.ID] = true
			}
		}
	}
	w.applyReservations(1)
}

// maxPreemptingJobs bounds the jobs of a round that look for work to be stopped: the
// first in order; the others' turn comes when those are served.
const maxPreemptingJobs = 24

// placeJob places what it can of one job.
func (w *World) placeJob(j *model.JobState) {
	if len(w.Reservations[j]) > 0 {
		// What was kept for it is its own; what it does not take stays kept. A round
		// that preempts chooses anew.
		w.applyReservations(-1, j)
		w.noRoomFor = map[constraints][]model.Resources{}
		if w.Preempting {
			delete(w.Reservations, j)
		} else {
			defer func() {
				if len(j.Waiting) == 0 {
					delete(w.Reservations, j)
				}
				w.applyReservations(1, j)
			}()
		}
	}
	kept := false
	if j.Kind == model.Gang {
		if w.teamRoom(j, j.Tasks) < j.Tasks {
			w.preemptWithinTeam(j)
			return
		}
		kept = w.placeGang(j)
		if _, ok := w.reservedLimit[j.Team]; !ok && len(j.Waiting) > 0 && len(j.Bindings) == 0 {
			// It waits for machines alone. Were nothing owed to it, the team's other
			// work would take its room within the limit meanwhile, and be stopped for
			// it again; were all such gangs owed theirs, there would be no room left.
			w.reserveLimit(j)
		}
	} else {
		w.placeTasks(j, false)
	}
	if !w.Preempting && j.Kind == model.Gang && len(j.Waiting) == j.Tasks {
		w.withhold(j)
	}
	if len(j.Waiting) > 0 && w.Preempting && w.Stop != nil && !kept {
		if (j.Priority > w.lowestPriority || j.Priority >= model.HighPriority) && w.preemptingJobs < maxPreemptingJobs {
			w.preemptingJobs++
			kept = w.preempt(j, func(*model.Machine) bool { return true })
		}
		if !kept && j.Kind == model.Gang {
			w.reserveNextFree(j)
		}
	}
}

// placeTasks places single tasks; those that are ready only where their image is.
func (w *World) placeTasks(j *model.JobState, ready bool) {
	left := j.TasksAtOnce(w.teamRoom(j, len(j.Waiting)))
	if j.Starved {
		left = min(left, 1)
	}
	if left == 0 {
		return
	}
	a := w.constraintsOf(j)
	for _, c := range w.candidates(j, 1, ready) {
		h := c.room.machine
		k := min(left, j.Request.Count(c.room.usable(a), left), ZoneRoom(j, h.Zone), w.taskSlots(j, h))
		for ; k > 0; k-- {
			w.Bind(j, j.Waiting[0], h, w.NextAttempt())
			left--
		}
		if left == 0 {
			return
		}
	}
}
