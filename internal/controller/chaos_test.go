package controller

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// A quiet world runs everything, and gives machines back afterwards.
func TestQuietWorld(t *testing.T) {
	w := newWorld(t, 1)
	var us []*user
	for i := range 6 {
		us = append(us, w.submit(arrayJob(i, 8, 10), 0))
	}
	for i := 10; i < 14; i++ {
		us = append(us, w.submit(gangJob(i, 1+i%3, 12), 0))
	}
	w.Run(150 * model.Second)
	w.check()
	for _, u := range us {
		if u.ended != "done" {
			t.Errorf("%s: %q; %s", u.sub.ID, u.ended, w.cloud.Describe())
		}
	}
	w.Run(300 * model.Second)
	if n := w.cloud.RentedCount(); n > 3 {
		t.Errorf("%d machines are still rented", n)
	}
}

// Random failures, singly and together, break no rule; and once they are over,
// every accepted job comes to its end.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newDeployment(t, rapid.Uint64().Draw(rt, "seed"), sockets(rapid.SampledFrom([]int{0, 14}).Draw(rt, "sockets"), simSettings), capacity(4, 2))
		const calm = 150 * model.Second
		drawJobs(rt, w)
		drawServices(rt, w)
		drawPipelines(rt, w)
		drawFaults(rt, w, calm)
		drawSimultaneousFaults(rt, w, calm)
		w.duplicateHeartbeats = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "copies")
		w.repeats = rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "repeats")
		w.checksEveryNode = rapid.Bool().Draw(rt, "looks")
		w.At(calm, (&meeting{world: w}).calm)
		w.Run(calm)
		for w.Now < 500*model.Second {
			w.Run(w.Now + model.Second)
			w.rules.CheckWaiting(w.cloud.Workers())
		}
		w.rules.CheckCancelled()
		requireRulesAndEnds(rt, w)
		if w.rules.Starts == 0 {
			rt.Fatal("nothing ran")
		}
	})
}

// requireRulesAndEnds fails if a rule was broken, or an accepted job has not ended.
func requireRulesAndEnds(rt *rapid.T, w *world) {
	rt.Helper()
	if len(w.rules.Violations) > 0 {
		rt.Fatalf("rules broken: %v", w.rules.Violations)
	}
	for ref := range w.rules.Accepted {
		if w.rules.ReportedEnd(ref) == "" {
			rt.Fatalf("%s (%+v) never ended; %s", ref, w.rules.Submitted[ref], w.describe())
		}
	}
}

// drawJobs has jobs of all kinds submitted, and some of them cancelled.
func drawJobs(rt *rapid.T, w *world) {
	for i := range rapid.IntRange(5, 14).Draw(rt, "jobs") {
		at := w.Between(0, 100*model.Second)
		cancel := model.Micros(0)
		if w.Chance(0.3) {
			cancel = w.Between(model.Second, 40*model.Second)
		}
		w.At(at, func() { w.submit(w.randomJob(i), cancel) })
	}
}

// randomJob draws an array or a gang, some with demands on their places.
func (w *world) randomJob(i int) *model.Submission {
	s := arrayJob(i, 1+w.Rand.IntN(12), float64(2+w.Rand.IntN(25)))
	switch w.Rand.IntN(5) {
	case 0:
		s = gangJob(i, 1+w.Rand.IntN(4), float64(2+w.Rand.IntN(25)))
	case 1:
		s.SameZone = true
	case 2:
		s.Spread, s.AllowsSpot = true, false
	case 3:
		s.GPUs, s.Priority = 1, "idle"
	}
	return s
}

// drawServices has services submitted, and cancelled after a while.
func drawServices(rt *rapid.T, w *world) {
	for i := range rapid.IntRange(0, 3).Draw(rt, "services") {
		at, cancel := w.Between(0, 60*model.Second), w.Between(30*model.Second, 200*model.Second)
		w.At(at, func() {
			s := arrayJob(50+i, 1+w.Rand.IntN(4), 0)
			s.Kind, s.Priority, s.AllowsSpot, s.Spread = "service", "critical", false, w.Chance(0.7)
			w.submit(s, cancel)
		})
	}
}

// drawPipelines has pipelines submitted, and one job of some of them cancelled.
func drawPipelines(rt *rapid.T, w *world) {
	for i := range rapid.IntRange(0, 3).Draw(rt, "pipelines") {
		cancel := model.Micros(0)
		if w.Chance(0.4) {
			cancel = w.Between(model.Second, 30*model.Second)
		}
		w.At(w.Between(0, 90*model.Second), func() { w.pipeline(100+10*i, cancel) })
	}
}

// drawFaults has faults occur, each by itself.
func drawFaults(rt *rapid.T, w *world, calm model.Micros) {
	for range rapid.IntRange(1, 10).Draw(rt, "faults") {
		kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
		at := w.Between(5*model.Second, calm-30*model.Second)
		long := w.Between(model.Second, 30*model.Second)
		w.At(at, func() { fault(w, kind, long) })
	}
}

// drawSimultaneousFaults has two or three faults occur within seconds of each other.
func drawSimultaneousFaults(rt *rapid.T, w *world, calm model.Micros) {
	for range rapid.IntRange(0, 3).Draw(rt, "meetings") {
		at := w.Between(20*model.Second, calm-40*model.Second)
		for range rapid.IntRange(2, 3).Draw(rt, "met") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			w.At(at+w.Between(0, 3*model.Second), func() { fault(w, kind, w.Between(model.Second, 40*model.Second)) })
		}
	}
}
