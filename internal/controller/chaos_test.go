package controller

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
	"woadweir/internal/standin"
)

// A quiet world runs everything, and gives machines back afterwards.
func TestQuietWorld(t *testing.T) {
	w := newWorld(t, 1)
	var us []*user
	for i := range 6 {
		us = append(us, w.submit(sweepJob(i, 8, 10), 0))
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
	if n := w.cloud.Rented(); n > 3 {
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
		for i := range rapid.IntRange(5, 14).Draw(rt, "jobs") {
			at := w.Between(0, 100*model.Second)
			cancel := model.Micros(0)
			if w.Chance(0.3) {
				cancel = w.Between(model.Second, 40*model.Second)
			}
			w.At(at, func() {
				s := sweepJob(i, 1+w.Rng.IntN(12), float64(2+w.Rng.IntN(25)))
				switch w.Rng.IntN(5) {
				case 0:
					s = gangJob(i, 1+w.Rng.IntN(4), float64(2+w.Rng.IntN(25)))
				case 1:
					s.SameZone = true
				case 2:
					s.Spread, s.AllowsSpot = true, false
				case 3:
					s.GPUs, s.Priority = 1, "idle"
				}
				w.submit(s, cancel)
			})
		}
		for i := range rapid.IntRange(0, 3).Draw(rt, "services") {
			at, cancel := w.Between(0, 60*model.Second), w.Between(30*model.Second, 200*model.Second)
			w.At(at, func() {
				s := sweepJob(50+i, 1+w.Rng.IntN(4), 0)
				s.Kind, s.Priority, s.AllowsSpot, s.Spread = "service", "critical", false, w.Chance(0.7)
				w.submit(s, cancel)
			})
		}
		for i := range rapid.IntRange(0, 3).Draw(rt, "pipelines") {
			cancel := model.Micros(0)
			if w.Chance(0.4) {
				cancel = w.Between(model.Second, 30*model.Second)
			}
			w.At(w.Between(0, 90*model.Second), func() { w.pipeline(100+10*i, cancel) })
		}
		for range rapid.IntRange(1, 10).Draw(rt, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			at := w.Between(5*model.Second, calm-30*model.Second)
			long := w.Between(model.Second, 30*model.Second)
			w.At(at, func() { fault(w, kind, long) })
		}
		// Two or three that meet within seconds.
		for range rapid.IntRange(0, 3).Draw(rt, "meetings") {
			at := w.Between(20*model.Second, calm-40*model.Second)
			for range rapid.IntRange(2, 3).Draw(rt, "met") {
				kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
				w.At(at+w.Between(0, 3*model.Second), func() { fault(w, kind, w.Between(model.Second, 40*model.Second)) })
			}
		}
		w.copies = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "copies")
		w.repeats = rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "repeats")
		w.closeLooks = rapid.Bool().Draw(rt, "looks")
		w.At(calm, (&meeting{world: w}).calm)
		w.Run(calm)
		for w.Now < 500*model.Second {
			w.Run(w.Now + model.Second)
			w.rules.Room(w.cloud.Workers())
		}
		w.rules.Check()
		if len(w.rules.Broken) > 0 {
			rt.Fatalf("rules broken: %v", w.rules.Broken)
		}
		for ref := range w.rules.Accepted {
			if w.rules.Ended(ref) == "" {
				rt.Fatalf("%s (%+v) never ended; %s", ref, w.rules.Subs[ref], w.describe())
			}
		}
		if w.rules.Starts == 0 {
			rt.Fatal("nothing ran")
		}
	})
}

// faultKinds is the number of troubles that fault knows.
const faultKinds = 22

func fault(w *world, kind int, long model.Micros) {
	n := w.nodes[w.Rng.IntN(len(w.nodes))]
	if l := w.leader(); l != nil && w.Chance(0.7) {
		n = l
	}
	restart := func(n *simNode) {
		if !n.alive {
			return
		}
		n.crash()
		d := w.Between(100*model.Millisecond, 6*model.Second)
		if w.Chance(0.3) {
			d = w.Between(0, 300*model.Millisecond)
		}
		w.After(d, n.start)
	}
	ws := w.cloud.Workers()
	switch kind {
	case 0:
		restart(n)
	case 1:
		for _, n := range w.nodes {
			restart(n)
		}
	case 2, 3, 4:
		n.setCut(kind - 1)
		w.After(long, func() { n.setCut(open) })
	case 5:
		w.state.SetOutage(true)
		w.After(long, func() { w.state.SetOutage(false) })
	case 6:
		n.workers = false
		w.After(long, func() { n.workers = true })
	case 7:
		w.cloud.Down = true
		w.After(long, func() { w.cloud.Down = false })
	case 8:
		for _, x := range ws {
			if w.Chance(0.4) {
				x.Hang(true)
				w.After(long, func() { x.Hang(false) })
			}
		}
	case 10: // alone with its workers
		n.setCut(dropped)
		n.alone = true
		w.After(long, func() { n.setCut(open); n.alone = false })
	case 11:
		for _, x := range ws {
			if w.Chance(0.3) {
				w.deaf[x.ID] = true
				w.After(2*long, func() { delete(w.deaf, x.ID) })
			}
		}
	case 12: // again and again, in the middle of elections
		for i := range model.Micros(4) {
			w.After(i*300*model.Millisecond, func() {
				for _, n := range w.nodes {
					if n.alive && w.Chance(0.6) {
						n.crash()
						w.After(w.Between(0, 200*model.Millisecond), n.start)
					}
				}
			})
		}
	case 13:
		for _, x := range ws {
			if w.Chance(0.4) {
				x.Restart()
			}
		}
	case 14:
		for _, x := range ws {
			if w.Chance(0.4) {
				w.mute[x.ID] = true
				w.After(long, func() { delete(w.mute, x.ID) })
			}
		}
	case 15, 16:
		w.lateWrites, w.lateBy = 0.4, w.afterNewer
		if kind == 16 {
			w.lateBy = w.atOnce
		}
		w.After(long, func() { w.lateWrites = 0 })
	case 17: // many cancellations at once, and machines of these jobs hang
		for _, u := range w.users {
			if u.accepted && u.ended == "" && w.Chance(0.5) {
				u.cancel(nil)
				for _, x := range ws {
					if x.Has(u.sub.ID) && w.Chance(0.5) {
						x.Hang(true)
						w.After(long, func() { x.Hang(false) })
					}
				}
			}
		}
	case 18: // a zone with its workers and a controller
		n.setCut(dropped)
		n.alone, n.hidden = true, true
		w.reaches = func(x *standin.Worker, o *simNode) bool { return (x.Zone == "a") == (o == n) }
		w.After(long, func() {
			n.setCut(open)
			n.alone, n.hidden = false, false
			w.reaches = nil
		})
	case 19: // what workers reported until now comes once more, to all, as another leads
		w.record = true
		w.After(3*model.Second, func() {
			old := w.heard
			w.record, w.heard = false, nil
			if l := w.leader(); l != nil {
				restart(l)
			}
			for d := range model.Micros(8) {
				w.After(d*2*model.Second, func() {
					for _, tell := range old {
						tell()
					}
				})
			}
		})
	case 20: // users cancel jobs at the moment of their end
		w.rules.Finished = func(ref string) {
			for _, u := range w.users {
				if u.sub.ID == ref && u.accepted && w.Chance(0.7) {
					w.After(w.Between(0, 1500*model.Millisecond), func() { u.cancel(nil) })
				}
			}
		}
		w.After(long, func() { w.rules.Finished = nil })
	case 21: // users ask everywhere, repeat submissions, altered ones too, and cancel what is done
		looks := w.closeLooks
		w.closeLooks = true
		for _, u := range w.users {
			if u.accepted && w.Chance(0.6) {
				u.look()
			}
			if u.ended == "done" && w.Chance(0.5) {
				u.cancel(nil)
			}
		}
		w.closeLooks = looks
	case 9:
		for _, x := range ws {
			switch {
			case x.Spot && w.Chance(0.7):
				x.Recall(w.Between(0, 15*model.Second))
			case w.Chance(0.2):
				x.Die()
			case w.Chance(0.2):
				x.Faulty = true
			}
		}
	}
}
