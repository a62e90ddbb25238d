package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// What a choice costs, counted in the time that it makes a task wait.
const (
	costGPUMachine   = model.Second      // a GPU machine for a task without GPUs
	costStrand       = 8 * model.Second  // leaving GPUs that nothing can use
	costFailedBefore = 30 * model.Second // the job has failed there before
	costLoss         = 60 * model.Second // a machine may be taken, and the job would be late
	costSlow         = 20 * model.Second // the machine seemed slow lately
	costSuspect      = 10 * model.Second // tasks failed there, and none has completed since
)

// fetchTime is how long the job's image takes to be there.
func (w *World) fetchTime(j *model.JobState, h *model.Machine) model.Micros {
	f := w.MachineTypes[h.MachineType]
	if f == nil || f.FetchGBps <= 0 {
		return 0
	}
	if h.HasImage(j.Image) {
		// Being fetched, it may take a while yet.
		return max(0, h.ReadyAt[j.Image]-w.Now)
	}
	return h.FetchTimeLeft(w.Now) + model.Seconds(j.ImageGB/f.FetchGBps)
}

// cost ranks a machine for a job: the image fetch, and what is spoilt for others.
func (w *World) cost(j *model.JobState, r *room, tasks int) (c model.Micros) {
	h := r.machine
	c += w.fetchTime(j, h)
	c += c / model.Micros(max(1, tasks)) // the fewer tasks share a fetch, the more is spent on it
	if h.Size.GPUs > 0 && j.Request.GPUs == 0 {
		c += costGPUMachine
		if !j.Request.Fits(r.free().Minus(r.reserve)) {
			c += costStrand
		}
	}
	if !h.Spot && j.AllowsSpot && !j.LossMakesLate {
		c += w.premium(j, h)
	}
	if h.Spot && j.LossMakesLate {
		c += costLoss
	}
	if j.FailedMachines[h.ID] {
		c += costFailedBefore
	}
	if len(h.FailuresInRow) > 0 {
		c += costSuspect
	}
	if w.Now < h.SlowUntil {
		c += costSlow
	}
	return c
}

// suitsBest tells whether a machine is of the kind that a job is better off on: a spot
// machine if it may use one, unless it would be late if that were taken.
func suitsBest(j *model.JobState, h *model.Machine) bool {
	return !j.AllowsSpot || h.Spot != j.LossMakesLate
}

// premium is what running on an ordinary machine costs a task that could use a spot
// machine, as the time that its run would last longer on a spot machine for the same
// money: a fetch there is cheaper than the run here.
func (w *World) premium(j *model.JobState, h *model.Machine) model.Micros {
	f := w.MachineTypes[h.MachineType]
	if f == nil || f.SpotPrice <= 0 || f.Price <= f.SpotPrice {
		return model.Second
	}
	return max(model.Second, model.Micros(float64(j.EstimatedRun)*(f.Price/f.SpotPrice-1)))
}

// waitedLongEnough tells that a job has waited as long as it may before others suffer for
// it. What is within its team's guarantee has an aim of its own.
func (w *World) waitedLongEnough(j *model.JobState) bool {
	if w.Patience == nil {
		return false
	}
	p := w.Patience(j)
	if j.GuaranteeInTime {
		p = min(p, w.Guarantee/4)
	}
	return w.Now-j.ReadySince+w.StopTime >= p
}

// mustStartNow tells that a job is urgent and late, and its class is to start within
// a few reports.
func (w *World) mustStartNow(j *model.JobState) bool {
	return j.Priority >= model.HighPriority && w.waitedLongEnough(j) && w.Patience(j) < 2*w.StopTime
}

// gangCanWait tells that a gang can still wait for machines that suit it better.
func (w *World) gangCanWait(j *model.JobState) bool {
	return j.Kind == model.Gang && w.Patience != nil && w.Now-j.ReadySince < w.Patience(j)*8/5
}

// strandsGPUs tells that a gang would strand GPUs on a machine that are wanted and worth
// more than the gang takes. It goes there only when it gets short of time.
func (w *World) strandsGPUs(j *model.JobState, h *model.Machine) bool {
	if h.Size.GPUs == 0 || j.Request.GPUs > 0 || w.WantedGPUs == 0 || h.Size.Cores == 0 || !w.gangCanWait(j) {
		return false
	}
	stranded := model.Resources{GPUs: h.Size.GPUs * j.Request.Cores / h.Size.Cores}
	return 2*coreEquivalents(stranded) > 3*coreEquivalents(j.Request)
}

type candidate struct {
	room *room
	cost model.Micros
	free model.Milli
}

// candidates are the machines with room for a task, best first; none if there is
// not room for that many. What found no room at all is remembered: in a round
// room only gets less, so nothing larger has to look again.
func (w *World) candidates(j *model.JobState, atLeast int, ready bool) []candidate {
	a := w.constraintsOf(j)
	if ready {
		a.image = j.Image
	}
	soon := max(imageReadyWithin, j.EstimatedRun/8)
	for _, n := range w.noRoomFor[a] {
		if n.Fits(j.Request) {
			return nil
		}
	}
	var rs []*room
	count := 0
	suited := false // there is room on the kind of machine that suits the job best
	for i := range w.rooms {
		r := &w.rooms[i]
		u := r.usable(a)
		if !j.Request.Fits(u) || !w.mayUse(j, r.machine) || w.strandsGPUs(j, r.machine) {
			continue
		}
		suited = suited || suitsBest(j, r.machine)
		if ready && w.fetchTime(j, r.machine) > soon {
			continue
		}
		rs = append(rs, r)
		count += j.Request.Count(u, atLeast)
	}
	if ready && suited {
		// An image that is there is no reason to go to the other kind of machine.
		rs = slices.DeleteFunc(rs, func(r *room) bool { return !suitsBest(j, r.machine) })
	}
	if len(rs) == 0 {
		w.noRoomFor[a] = append(w.noRoomFor[a], j.Request)
	}
	if count < atLeast {
		return nil
	}
	cs := make([]candidate, len(rs))
	for i, r := range rs {
		left := r.free().Cores
		if j.Request.GPUs > 0 {
			left = r.free().GPUs // the fewer machines GPUs are used on, the more can go back
		}
		cs[i] = candidate{r, w.cost(j, r, j.Request.Count(r.usable(a), len(j.Waiting))), left}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.free, b.free), cmp.Compare(a.room.machine.ID, b.room.machine.ID))
	})
	return cs
}
