package block

import (
	"woadweir/internal/core/model"
	"woadweir/internal/core/place"
)

// runStat is what is known of the run times of a class.
type runStat struct {
	n    int
	mean float64 // microseconds, moving
}

func (h *Holder) learn(class string, run model.Micros) {
	s := h.runs[class]
	if s == nil {
		s = &runStat{}
		h.runs[class] = s
	}
	s.n++
	weight := max(1/float64(s.n), 0.05)
	s.mean += (float64(run) - s.mean) * weight
}

// Expected is how long a task of the job is thought to run: the owner's guess,
// tempered by what the class has shown.
func (h *Holder) Expected(j *model.Job) model.Micros {
	s := h.runs[j.Class]
	if s == nil || s.n < 3 {
		return j.Guess
	}
	if j.Guess == 0 {
		return model.Micros(s.mean)
	}
	return (j.Guess + model.Micros(s.mean)) / 2
}

// Remaining is how long a bound task is thought to go on.
func (h *Holder) Remaining(b *model.Bound, now model.Micros) model.Micros {
	e := h.Expected(b.Job)
	if b.RunAt == 0 {
		return e
	}
	ran := now - b.RunAt
	// The longer it has run beyond what was expected, the longer it may go on.
	return max(e-ran, ran/4)
}

// due ranks jobs of the same rank. What is to start soon goes by age. Of what
// can still be in time (its deadline, or one of its class's aims), that with
// least left to do goes first, so that most jobs are in time when not all can
// be. What can't be in time any more goes after all else, by age.
func (h *Holder) due(j *model.JobState, now model.Micros) model.Micros {
	if _, ok := h.P.Waits[j.Class]; ok {
		return j.SeenAt
	}
	run := h.Expected(j.Job)
	end := now + run*9/10
	left := run * model.Micros(len(j.Waiting))
	if j.Due > 0 {
		if at := j.SeenAt + j.Due; end <= at {
			return left
		}
		return place.Late + j.SeenAt
	}
	for _, f := range h.P.Finish[j.Class] {
		if at := j.SeenAt + f; end <= at {
			return left
		}
	}
	return place.Late + j.SeenAt
}

// What makes a machine seem slow: two tasks that run for three times as long as
// was expected of them, which single wrong guesses hardly explain.
const (
	slowFactor = 3
	slowTasks  = 2
	slowFor    = 60 * model.Second
)

// judgeSpeed notices slow machines. Work on them is left to finish; new work
// prefers others for a while.
func (h *Holder) judgeSpeed(m *model.Host, now model.Micros) {
	n := 0
	for _, b := range m.Bound {
		if e := h.Expected(b.Job); b.RunAt != 0 && e > 0 && now-b.RunAt > slowFactor*max(e, 5*model.Second) {
			n++
		}
	}
	if n < slowTasks {
		return
	}
	if now >= m.SlowUntil {
		h.Log(Event{What: "slow", Host: m.Ref})
	}
	m.SlowUntil = now + slowFor
}
