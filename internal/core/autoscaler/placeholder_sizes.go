package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// spotExtraFactor multiplies the extra capacity rate for spot machines. An idle spot
// machine costs a fraction of an on-demand one, and when the cloud reclaims spot machines
// without notice, the tasks that ran on them need capacity immediately.
const spotExtraFactor = 2

// placeholderGroup identifies the placeholders for one class of work, on machines with or
// without GPUs.
type placeholderGroup struct {
	gpu  bool
	work workClass
}

// includes reports whether a placeholder belongs to a group, or joins it because classes
// of work are distinguished from now on, or no longer are.
func (g placeholderGroup) includes(placeholder *placeholder) bool {
	return placeholder.gpu == g.gpu && (placeholder.work == g.work || placeholder.work == anyWork || g.work == anyWork)
}

// groupSizes is the number and the sizes of a group's placeholders: one of the largest
// size, unless that is zero, and count others of size each.
type groupSizes struct {
	largest, each model.Resources
	count         int
}

// resize adjusts the number and the sizes of the placeholders to the fleet and the tasks.
// Existing placeholders stay on their machines. If some work needs on-demand machines,
// spot and on-demand machines have separate placeholders, and those on on-demand machines
// are a share of the whole fleet.
func (p *Provisioner) resize(in *Input, candidates []*candidateMachine) {
	if len(in.OnDemandSizes) == 0 {
		p.resizeClass(in, candidates, anyWork, in.Sizes)
	} else {
		p.resizeClass(in, candidates, onDemandWork, in.OnDemandSizes)
		p.resizeClass(in, candidates, spotTolerantWork, in.SpotTolerantSizes)
	}
	// Place the largest first: they are the hardest to place.
	slices.SortStableFunc(p.placeholders, func(a, b *placeholder) int { return cmp.Compare(b.size.Cores, a.size.Cores) })
}

// resizeClass resizes the groups of a class of work whose tasks have the given sizes.
func (p *Provisioner) resizeClass(in *Input, candidates []*candidateMachine, work workClass, taskSizes []model.Resources) {
	for _, gpu := range []bool{false, true} {
		group := placeholderGroup{gpu, work}
		p.resizeGroup(group, p.groupSizes(in, group, candidates, taskSizes))
	}
}

// groupSizes returns the sizes of a group's placeholders: the largest is that of the
// largest task that a machine can hold, and the others split the rest of the extra
// capacity evenly.
func (p *Provisioner) groupSizes(in *Input, group placeholderGroup, candidates []*candidateMachine, taskSizes []model.Resources) groupSizes {
	capacity, machines := group.capacity(candidates)
	sizes := groupSizes{
		largest: minResources(group.largestTask(taskSizes), group.largestMachine(in.MachineTypes)),
		count:   machines * p.Params.Granularity,
	}
	rate := p.Params.ExtraCapacityRate
	if group.work == spotTolerantWork {
		rate *= spotExtraFactor
	}
	extra := model.Resources{Cores: scaled(capacity.Cores, rate), GPUs: scaled(capacity.GPUs, rate), Mem: scaled(capacity.Mem, rate)}
	if sizes.count > 0 {
		sizes.each = evenSplit(extra.Minus(sizes.largest), sizes.count)
	}
	if sizes.each.IsZero() {
		sizes.count = 0
	}
	return sizes
}

// capacity returns the total size and the number of the machines that a group's extra
// capacity is computed from.
func (g placeholderGroup) capacity(candidates []*candidateMachine) (capacity model.Resources, machines int) {
	for _, candidate := range candidates {
		if (candidate.size.GPUs > 0) == g.gpu && (g.work != spotTolerantWork || candidate.offer.Spot) {
			capacity = capacity.Plus(candidate.size)
			machines++
		}
	}
	return capacity, machines
}

// largestMachine returns the size of the group's machine type with the most cores.
func (g placeholderGroup) largestMachine(machineTypes map[string]*model.MachineType) (largest model.Resources) {
	for _, machineType := range machineTypes {
		if size := machineType.Size(); (size.GPUs > 0) == g.gpu && size.Cores >= largest.Cores {
			largest = size
		}
	}
	return largest
}

// largestTask returns the most that any task of the group needs of each resource, taken
// separately.
func (g placeholderGroup) largestTask(taskSizes []model.Resources) (largest model.Resources) {
	for _, size := range taskSizes {
		if (size.GPUs > 0) == g.gpu {
			largest = model.Resources{Cores: max(largest.Cores, size.Cores), GPUs: max(largest.GPUs, size.GPUs), Mem: max(largest.Mem, size.Mem)}
		}
	}
	return largest
}

// resizeGroup adds, removes and resizes a group's placeholders so that they have the given
// sizes.
func (p *Provisioner) resizeGroup(group placeholderGroup, sizes groupSizes) {
	var kept []*placeholder
	others, hasLargest := 0, false
	for _, existing := range p.placeholders {
		switch {
		case !group.includes(existing):
			kept = append(kept, existing)
		case existing.largest && !sizes.largest.IsZero() && !hasLargest:
			hasLargest = true
			existing.size, existing.work = sizes.largest, group.work
			kept = append(kept, existing)
		case !existing.largest && others < sizes.count:
			others++
			existing.size, existing.work = sizes.each, group.work
			kept = append(kept, existing)
		}
	}
	if !hasLargest && !sizes.largest.IsZero() {
		kept = append(kept, &placeholder{size: sizes.largest, gpu: group.gpu, work: group.work, largest: true})
	}
	for ; others < sizes.count; others++ {
		kept = append(kept, &placeholder{size: sizes.each, gpu: group.gpu, work: group.work})
	}
	p.placeholders = kept
}

// scaled returns the part of an amount that a rate gives.
func scaled(amount model.Milli, rate float64) model.Milli {
	return model.Milli(float64(amount) * rate)
}

// minResources returns the smaller amount of each resource.
func minResources(a, b model.Resources) model.Resources {
	return model.Resources{Cores: min(a.Cores, b.Cores), GPUs: min(a.GPUs, b.GPUs), Mem: min(a.Mem, b.Mem)}
}

// evenSplit returns one of count equal parts of an amount; negative amounts count as zero.
func evenSplit(amount model.Resources, count int) model.Resources {
	parts := model.Milli(count)
	return model.Resources{Cores: max(0, amount.Cores) / parts, GPUs: max(0, amount.GPUs) / parts, Mem: max(0, amount.Mem) / parts}
}
