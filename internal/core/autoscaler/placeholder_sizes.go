package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// spotExtraFactor is how many times the extra share of ordinary machines is held on spot
// machines. A spot machine that is idle costs a fraction of an ordinary one, and those
// that are taken without notice take their tasks with them, which then need room at once.
const spotExtraFactor = 2

// placeholderGroup is the placeholders for one class of work, on machines with or without
// GPUs.
type placeholderGroup struct {
	gpu  bool
	work workClass
}

// includes reports whether a placeholder is of a group, or becomes part of it now that
// classes of work are told apart, or are not any more.
func (g placeholderGroup) includes(placeholder *placeholder) bool {
	return placeholder.gpu == g.gpu && (placeholder.work == g.work || placeholder.work == anyWork || g.work == anyWork)
}

// groupSizes is what a group's placeholders are to be: one of the largest size, unless
// that is zero, and count others.
type groupSizes struct {
	largest, each model.Resources
	count         int
}

// resize brings number and sizes of the placeholders to what the fleet and the
// tasks ask for, keeping those that exist on their machines. Where some work needs
// ordinary machines, each kind of machine has its own, and those on ordinary ones are a
// share of the whole fleet.
func (p *Provisioner) resize(in *Input, candidates []*candidateMachine) {
	if len(in.OnDemandSizes) == 0 {
		p.resizeClass(in, candidates, anyWork, in.Sizes)
	} else {
		p.resizeClass(in, candidates, onDemandWork, in.OnDemandSizes)
		p.resizeClass(in, candidates, spotTolerantWork, in.SpotTolerantSizes)
	}
	// The largest first: they are the hardest to place.
	slices.SortStableFunc(p.placeholders, func(a, b *placeholder) int { return cmp.Compare(b.size.Cores, a.size.Cores) })
}

// resizeClass resizes the groups of a class of work, whose tasks have these sizes.
func (p *Provisioner) resizeClass(in *Input, candidates []*candidateMachine, work workClass, taskSizes []model.Resources) {
	for _, gpu := range []bool{false, true} {
		group := placeholderGroup{gpu, work}
		p.resizeGroup(group, p.groupSizes(in, group, candidates, taskSizes))
	}
}

// groupSizes is the largest task that a machine can hold, and an even split of the rest of
// the extra capacity.
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

// capacity is the size and number of the machines that a group's share is taken of.
func (g placeholderGroup) capacity(candidates []*candidateMachine) (capacity model.Resources, machines int) {
	for _, candidate := range candidates {
		if (candidate.size.GPUs > 0) == g.gpu && (g.work != spotTolerantWork || candidate.offer.Spot) {
			capacity = capacity.Plus(candidate.size)
			machines++
		}
	}
	return capacity, machines
}

// largestMachine is the size of the machine type with the most cores.
func (g placeholderGroup) largestMachine(machineTypes map[string]*model.MachineType) (largest model.Resources) {
	for _, machineType := range machineTypes {
		if size := machineType.Size(); (size.GPUs > 0) == g.gpu && size.Cores >= largest.Cores {
			largest = size
		}
	}
	return largest
}

// largestTask is the most that any task needs, of each resource taken alone.
func (g placeholderGroup) largestTask(taskSizes []model.Resources) (largest model.Resources) {
	for _, size := range taskSizes {
		if (size.GPUs > 0) == g.gpu {
			largest = model.Resources{Cores: max(largest.Cores, size.Cores), GPUs: max(largest.GPUs, size.GPUs), Mem: max(largest.Mem, size.Mem)}
		}
	}
	return largest
}

// resizeGroup has a group's placeholders be of these sizes.
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

func scaled(amount model.Milli, rate float64) model.Milli {
	return model.Milli(float64(amount) * rate)
}

func minResources(a, b model.Resources) model.Resources {
	return model.Resources{Cores: min(a.Cores, b.Cores), GPUs: min(a.GPUs, b.GPUs), Mem: min(a.Mem, b.Mem)}
}

// evenSplit is one of count equal parts of what is positive of an amount.
func evenSplit(amount model.Resources, count int) model.Resources {
	parts := model.Milli(count)
	return model.Resources{Cores: max(0, amount.Cores) / parts, GPUs: max(0, amount.GPUs) / parts, Mem: max(0, amount.Mem) / parts}
}
