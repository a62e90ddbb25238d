package controller

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// cellFaultKinds is the number of faults of and between cells that injectCellFault knows, in
// addition to the faults within a deployment.
const cellFaultKinds = 8

// injectCellFault begins a fault of a cell or between cells now.
func injectCellFault(multi *multiCellSim, kind int, duration model.Micros) {
	sim := multi.cells[multi.Rand.IntN(len(multi.cells))]
	from, to := cellNames[multi.Rand.IntN(len(cellNames))], cellNames[multi.Rand.IntN(len(cellNames))]
	switch kind {
	case 0, 1: // a cell is down, for less or more than its leases
		multi.crashCell(sim, model.Micros(1+4*kind)*duration)
	case 2, 3: // one direction of a link drops or holds calls
		multi.setLink(from, to, kind-1)
		multi.After(2*duration, func() { multi.setLink(from, to, linkOpen) })
	case 4: // calls arrive a second time, minutes late
		multi.duplicateRequests = 0.4
		multi.After(duration, func() { multi.duplicateRequests = 0 })
	case 5: // the leader is paused, mostly for longer than its session
		if leader := sim.leader(); leader != nil && !leader.paused {
			leader.pauseFor(duration + 5*model.Second)
		}
	case 6: // users cancel lent jobs
		for _, sim := range multi.cells {
			for _, u := range sim.users {
				if u.accepted && u.reportedEnd == "" && sim.state.HasKey("spill/out/"+u.submission.ID) && multi.Chance(0.5) {
					u.cancel(nil)
				}
			}
		}
	case 7: // the links are slow
		multi.extraDelay = 1500 * model.Millisecond
		multi.After(duration, func() { multi.extraDelay = 0 })
	}
}

// Random faults of three cells, of the links between them and within each cell violate no
// invariant, and no job is lost or repeated.
func TestCellsUnderRandomFailures(t *testing.T) {
	t.Parallel()
	lent, executedAgain, starts := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		multi := newMultiCellSim(t, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]float64{defaultLeaseS, longestLeaseS}).Draw(rt, "lease"), 1, 1+rapid.IntRange(0, 1).Draw(rt, "south"), 2)
		const faultsEnd = 150 * model.Second
		for cellIndex, sim := range multi.cells {
			for i := range rapid.IntRange(3, 8).Draw(rt, "jobs") * 2 / (1 + cellIndex) {
				cancelAfter := model.Micros(0)
				if multi.Chance(0.25) {
					cancelAfter = multi.Between(5*model.Second, 60*model.Second)
				}
				multi.At(multi.Between(5*model.Second, 70*model.Second), func() {
					submission := arrayJob(100*cellIndex+i, 1+multi.Rand.IntN(5), float64(4+multi.Rand.IntN(60)))
					if multi.Chance(0.3) {
						submission = gangJob(100*cellIndex+i, 1+multi.Rand.IntN(3), float64(4+multi.Rand.IntN(60)))
					}
					sim.submit(submission, cancelAfter)
				})
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "cell faults") {
			kind := rapid.IntRange(0, cellFaultKinds-1).Draw(rt, "kind")
			multi.At(multi.Between(20*model.Second, faultsEnd-30*model.Second), func() { injectCellFault(multi, kind, multi.Between(2*model.Second, 20*model.Second)) })
		}
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(rt, "kind")
			multi.At(multi.Between(20*model.Second, faultsEnd-30*model.Second), func() {
				injectFault(multi.cells[multi.Rand.IntN(len(multi.cells))], kind, multi.Between(model.Second, 20*model.Second))
			})
		}
		multi.Run(faultsEnd)
		multi.requireCleanEnd(rt)
		lent += multi.lendingCount()
		executedAgain += multi.invariants.ExecutedAgain
		starts += multi.invariants.Starts
	})
	t.Logf("%d starts, %d jobs lent, %d tasks executed again", starts, lent, executedAgain)
	if lent == 0 {
		t.Error("no job was lent in any run")
	}
}
