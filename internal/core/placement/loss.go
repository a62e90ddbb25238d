package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// gpuValue is what a GPU counts beside a core when work is weighed.
const gpuValue = 10

// coreEquivalents weighs an amount, in thousandths of a core.
func coreEquivalents(n model.Resources) model.Micros {
	return model.Micros(n.Cores+gpuValue*n.GPUs) / 1000
}

// sortByLoss sorts tasks by the work that is lost when they are stopped, least first.
func (w *World) sortByLoss(bs []*model.Binding) {
	slices.SortFunc(bs, func(a, b *model.Binding) int {
		if c := cmp.Compare(w.PreemptionLoss(a), w.PreemptionLoss(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Attempt, b.Attempt)
	})
}

// PreemptionLoss is the work that is lost when a task is stopped: of one that waits for its
// image, the fetch, which is given up. Were that nothing, tasks with long fetches
// would be stopped again and again and never run.
func (w *World) PreemptionLoss(b *model.Binding) model.Micros {
	if b.RunningSince == 0 {
		return min(w.Now-b.BoundAt, b.ExpectedFetch) * coreEquivalents(b.Job.Request)
	}
	ran := w.Now - b.RunningSince
	if b.Job.CheckpointInterval > 0 {
		ran = b.Job.SaveTime
	}
	return ran * coreEquivalents(b.Job.Request)
}
