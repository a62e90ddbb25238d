package placement

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// coresPerGPU is the worth of a GPU in cores when work is compared.
const coresPerGPU = 10

// coreEquivalents returns the worth of resources in cores.
func coreEquivalents(resources model.Resources) model.Micros {
	return model.Micros(resources.Cores+coresPerGPU*resources.GPUs) / milliPerUnit
}

// sortByLoss sorts tasks by the work that is lost if they are stopped, least first.
func (r *Round) sortByLoss(bindings []*model.Binding) {
	slices.SortFunc(bindings, func(a, b *model.Binding) int {
		return cmp.Or(
			cmp.Compare(r.PreemptionLoss(a), r.PreemptionLoss(b)),
			cmp.Compare(a.Attempt, b.Attempt))
	})
}

// PreemptionLoss returns the work that is lost if a task is stopped, as core time. For a
// task that waits for its image, it is the time spent on the fetch: if that did not count,
// tasks with long fetches would be preempted repeatedly and never run.
func (r *Round) PreemptionLoss(binding *model.Binding) model.Micros {
	value := coreEquivalents(binding.Job.Request)
	switch {
	case binding.RunningSince == 0:
		return min(r.Now-binding.BoundAt, binding.ExpectedFetch) * value
	case binding.Job.CheckpointInterval > 0:
		return binding.Job.SaveTime * value
	}
	return (r.Now - binding.RunningSince) * value
}
