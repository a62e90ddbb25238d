package shard

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// runStat is what is known of the run times of a class.
type runStat struct {
	n    int
	mean float64 // microseconds, moving
}

func (h *State) recordRunTime(class string, run model.Micros) {
	s := h.runTimes[class]
	if s == nil {
		s = &runStat{}
		h.runTimes[class] = s
	}
	s.n++
	weight := max(1/float64(s.n), 0.05)
	s.mean += (float64(run) - s.mean) * weight
}

// Expected is how long a task of the job is thought to run: the owner's guess,
// tempered by what the class has shown.
func (h *State) Expected(j *model.Job) model.Micros {
	s := h.runTimes[j.Class]
	if s == nil || s.n < 3 {
		return j.EstimatedRun
	}
	if j.EstimatedRun == 0 {
		return model.Micros(s.mean)
	}
	return (j.EstimatedRun + model.Micros(s.mean)) / 2
}

// Remaining is how long a bound task is thought to go on.
func (h *State) Remaining(b *model.Binding, now model.Micros) model.Micros {
	e := h.Expected(b.Job)
	if b.RunningSince == 0 {
		return e
	}
	ran := now - b.RunningSince
	// The longer it has run beyond what was expected, the longer it may go on.
	return max(e-ran, ran/4)
}

// classLoad is what a class asks for and gets.
type classLoad struct {
	rate    float64 // tasks that end in a second, and make room for others
	waiting int     // tasks
}

// drain is how long it takes until what waits now has begun.
func (l classLoad) drain() model.Micros {
	if l.waiting == 0 {
		return 0
	}
	if l.rate <= 0 {
		return forever
	}
	return model.Seconds(min(float64(l.waiting)/l.rate, forever.Seconds()))
}

const forever = model.Micros(1) << 50

// updateClassLoads finds out the load of every class: from what is bound, so that a new
// holder knows it at once.
func (h *State) updateClassLoads(jobs []*model.JobState, now model.Micros) {
	h.classLoads = make(map[string]classLoad, len(h.runTimes)+1)
	for _, j := range jobs {
		l := h.classLoads[j.Class]
		if n := len(j.Bindings); n > 0 {
			l.rate += float64(n) / max(h.Expected(j.Job), model.Second).Seconds()
		}
		if now >= j.NotBefore {
			l.waiting += len(j.Waiting)
		}
		h.classLoads[j.Class] = l
	}
}

// missed is where the due times begin of jobs that have missed an aim, but can
// still meet another.
const missed = placement.Late / 2

// nearMost bounds how long a job may be overtaken by others that have less to do:
// well within the four minutes in which even the largest are to begin, as those
// take longest to get their machines together.
const nearMost = 90 * model.Second

// due ranks jobs of the same rank. Of what can still meet all aims of its class,
// that with least left to do goes first, so that most jobs are in time when not
// all can be; then what has missed one and can meet another, and at last, by age,
// what can't be in time any more. What is about to miss the last time in which it
// is to start, or to be done, goes before all these, as long as what waits can all
// be had in time: if it can't, this would only make everything late.
func (h *State) due(j *model.JobState, now model.Micros) model.Micros {
	if j.Kind == model.Gang && j.HasRun {
		// It had its turn, and lost its machines: it need not queue again.
		return j.ReadySince - placement.Late
	}
	run := h.Expected(j.Job)
	left := run * model.Micros(len(j.Waiting))
	age, end := now-j.ReadySince, now-j.ReadySince+run*9/10
	met, lost := 0, 0
	aim := func(in bool) {
		if in {
			met++
		} else {
			lost++
		}
	}
	waits := h.Params.Waits[j.Class]
	if n := len(waits); n > 0 {
		last := waits[n-1]
		if near := min(last*3/4, nearMost); age >= near && age < last && h.classLoads[j.Class].drain() < last*3/4 {
			return j.ReadySince - placement.Late
		}
		for _, w := range waits {
			aim(age < w)
		}
	}
	if j.Deadline > 0 {
		aim(end <= j.Deadline)
		for _, times := range h.Params.Deadlines[j.Class] {
			aim(end <= model.Micros(float64(j.Deadline)*times))
		}
	}
	finish := h.Params.Finish[j.Class]
	if n := len(finish); n > 0 && len(waits) > 0 {
		last := finish[n-1]
		if end >= last*3/4 && end <= last && h.classLoads[j.Class].drain() < last/4 {
			return j.ReadySince - placement.Late
		}
	}
	for _, f := range finish {
		aim(end <= f)
	}
	switch {
	case met == 0:
		return placement.Late + j.ReadySince
	case lost == 0 || len(waits) == 0 && j.Deadline == 0:
		return left
	}
	return missed + left
}

// What makes a machine seem slow: two tasks that run for three times as long as
// was expected of them, which single wrong guesses hardly explain.
const (
	slowFactor = 3
	slowTasks  = 2
	slowFor    = 60 * model.Second
)

// detectSlowMachine notices slow machines. Work on them is left to finish; new work
// prefers others for a while.
func (h *State) detectSlowMachine(m *model.Machine, now model.Micros) {
	n := 0
	for _, b := range m.Bindings {
		if e := h.Expected(b.Job); b.RunningSince != 0 && e > 0 && now-b.RunningSince > slowFactor*max(e, 5*model.Second) {
			n++
		}
	}
	if n < slowTasks {
		return
	}
	if now >= m.SlowUntil {
		h.Log(Event{What: "slow", Machine: m.ID})
	}
	m.SlowUntil = now + slowFor
}

// lossMakesLate tells that a job is thought to meet an aim as it is, but not if one of its
// tasks is lost half through its run and begins anew: such work is better off on machines
// that are not taken away.
func (h *State) lossMakesLate(j *model.JobState, now model.Micros) bool {
	if j.Deadline <= 0 {
		return false
	}
	run := h.Expected(j.Job)
	age := now - j.ReadySince
	for _, times := range append([]float64{1}, h.Params.Deadlines[j.Class]...) {
		aim := model.Micros(float64(j.Deadline) * times)
		if age+run*9/10 <= aim {
			return age+run*3/2+2*h.Params.Report > aim
		}
	}
	return false
}
