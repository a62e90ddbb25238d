package controller

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// cellFaultKinds is the number of troubles between cells that cellFault knows, beside
// those that each deployment has for itself.
const cellFaultKinds = 8

// cellFault brings one trouble of or between cells about.
func beginCellFault(x *multiCellSim, kind int, long model.Micros) {
	sim := x.cells[x.Rand.IntN(len(x.cells))]
	from, to := cellNames[x.Rand.IntN(len(cellNames))], cellNames[x.Rand.IntN(len(cellNames))]
	switch kind {
	case 0, 1: // a cell drops out, for less or more than its leases
		x.crashCell(sim, model.Micros(1+4*kind)*long)
	case 2, 3: // one direction of a link, dropping or holding
		x.setLink(from, to, kind-1)
		x.After(2*long, func() { x.setLink(from, to, linkOpen) })
	case 4: // calls arrive again, minutes late
		x.duplicateRequests = 0.4
		x.After(long, func() { x.duplicateRequests = 0 })
	case 5: // the holder stands still for longer than its lease, and wakes late
		if l := sim.leader(); l != nil && !l.paused {
			l.pauseFor(long + 5*model.Second)
		}
	case 6: // users cancel what is lent
		for _, sim := range x.cells {
			for _, u := range sim.users {
				if u.accepted && u.reportedEnd == "" && sim.state.HasKey("spill/out/"+u.submission.ID) && x.Chance(0.5) {
					u.cancel(nil)
				}
			}
		}
	case 7: // a slow link
		x.extraDelay = 1500 * model.Millisecond
		x.After(long, func() { x.extraDelay = 0 })
	}
}

// Random failures of three cells, of the links between them and of what each of them
// consists of break no rule, and lose or repeat no job.
func TestCellsUnderRandomFailures(t *testing.T) {
	t.Parallel()
	lent, again, starts := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		x := newMultiCellSim(t, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]float64{defaultLeaseS, longestLeaseS}).Draw(rt, "lease"), 1, 1+rapid.IntRange(0, 1).Draw(rt, "south"), 2)
		const calm = 150 * model.Second
		for c, sim := range x.cells {
			for i := range rapid.IntRange(3, 8).Draw(rt, "jobs") * 2 / (1 + c) {
				cancel := model.Micros(0)
				if x.Chance(0.25) {
					cancel = x.Between(5*model.Second, 60*model.Second)
				}
				x.At(x.Between(5*model.Second, 70*model.Second), func() {
					s := arrayJob(100*c+i, 1+x.Rand.IntN(5), float64(4+x.Rand.IntN(60)))
					if x.Chance(0.3) {
						s = gangJob(100*c+i, 1+x.Rand.IntN(3), float64(4+x.Rand.IntN(60)))
					}
					sim.submit(s, cancel)
				})
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "cell faults") {
			kind := rapid.IntRange(0, cellFaultKinds-1).Draw(rt, "kind")
			x.At(x.Between(20*model.Second, calm-30*model.Second), func() { beginCellFault(x, kind, x.Between(2*model.Second, 20*model.Second)) })
		}
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			x.At(x.Between(20*model.Second, calm-30*model.Second), func() {
				injectFault(x.cells[x.Rand.IntN(len(x.cells))], kind, x.Between(model.Second, 20*model.Second))
			})
		}
		x.Run(calm)
		x.requireCleanEnd(rt)
		lent += x.lendingCount()
		again += x.invariants.ExecutedAgain
		starts += x.invariants.Starts
	})
	t.Logf("%d starts, %d jobs lent, %d tasks executed again", starts, lent, again)
	if lent == 0 {
		t.Error("nothing was lent")
	}
}
