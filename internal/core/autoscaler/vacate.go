package autoscaler

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// When services end, those that go on are left on many machines that are partly full, and
// none of them comes empty for as long as a service lasts. A replica that moves to a
// machine which has its image is down for about a report period. That is worth it where
// it empties a machine that is mostly unused, and not more often than this.
const (
	vacateGap   = 5 * model.Second  // between two machines that are vacated
	settledFor  = 60 * model.Second // a replica that began later is not moved
	vacateShare = 2                 // no more than one part in so many of the machine is used
)

// vacate chooses a machine that is mostly unused and whose replicas all have room on
// other machines that have their images, beside the placeholders.
func (l *Provisioner) vacate(in *Input, slots []*slot) []*model.Machine {
	if in.Now-l.lastVacated < vacateGap {
		return nil
	}
	var candidates []*slot
	for _, s := range slots {
		if l.vacatable(in, s) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *slot) int {
		return cmp.Or(len(a.machine.Bindings)-len(b.machine.Bindings), cmp.Compare(a.machine.ID, b.machine.ID))
	})
	for _, s := range candidates {
		if l.fitsElsewhere(s, slots) {
			l.lastVacated = in.Now
			return []*model.Machine{s.machine}
		}
	}
	return nil
}

func (l *Provisioner) vacatable(in *Input, s *slot) bool {
	h := s.machine
	if !h.Up || h.Spot || s.used || len(h.Bindings) == 0 || in.Now-h.RentedAt < l.Params.MinHeld {
		return false
	}
	used := h.Used.Times(vacateShare)
	if used.Cores > h.Size.Cores || used.GPUs > h.Size.GPUs || used.Mem > h.Size.Mem {
		return false
	}
	for _, b := range h.Bindings {
		if b.Job.Kind != model.Service || b.Stopping || b.RunningSince == 0 || in.Now-b.RunningSince < settledFor {
			return false
		}
	}
	return true
}

// fitsElsewhere tells whether all that is on a machine has room on others of its zone that
// have the images, and its placeholders on any. If so, the room is taken.
func (l *Provisioner) fitsElsewhere(s *slot, slots []*slot) bool {
	others := slices.DeleteFunc(slices.Clone(slots), func(o *slot) bool {
		return o == s || o.surplus || o.offer.Spot || !o.machine.Up || len(o.machine.Bindings) <= len(s.machine.Bindings)
	})
	spare := make([]model.Resources, len(others))
	for i, o := range others {
		spare[i] = o.spare
	}
	restore := func() {
		for i, o := range others {
			o.spare = spare[i]
		}
	}
	for _, b := range s.machine.Bindings {
		i := slices.IndexFunc(others, func(o *slot) bool {
			return o.offer.Zone == s.offer.Zone && b.Job.Allows(o.offer.MachineType, o.offer.Zone, false) &&
				b.Job.Request.Fits(o.spare) && b.Job.Request.Fits(o.free) && o.machine.HasImage(b.Job.Image)
		})
		if i < 0 {
			restore()
			return false
		}
		others[i].spare = others[i].spare.Minus(b.Job.Request)
	}
	if len(l.placePlaceholders(s.placeholders, others)) > 0 {
		restore()
		return false
	}
	return true
}
