// Package slack is the renting loop after "Resource Slack": placeholders that
// live only in the leader reserve room for tasks to come, real tasks push them
// out, and what finds no room has machines rented.
package slack

import (
	"cmp"
	"slices"

	"woadweir/internal/core/model"
)

// Params are the settings of the loop, some of them the operators' own.
type Params struct {
	ExtraCapacityRate float64 // min_extra_capacity_rate
	Granularity       int
	LateAfterBoots    float64 // boot times after which a machine is no longer counted on
	FailedAfterBoots  float64 // boot times after which it is given back unseen
	RefusedPause      model.Micros
	MinHeld           model.Micros // the shortest time that is charged
	MaxPriceRatio     float64      // waiting beats a machine that costs this many times the cheapest
	IdleHold          model.Micros // how long placeholders alone keep the cheapest machine
}

// Defaults are the starting values.
func Defaults() Params {
	return Params{ExtraCapacityRate: 0.1, Granularity: 5, LateAfterBoots: 2.5, FailedAfterBoots: 4, RefusedPause: 6 * model.Second, MinHeld: 60 * model.Second,
		MaxPriceRatio: 5, IdleHold: 60 * model.Second}
}

// Demand is a number of waiting tasks of one job.
type Demand struct {
	Job   *model.JobState
	Count int
}

// Input is what a round looks at.
type Input struct {
	Now          model.Micros
	Machines     []*model.Machine
	Waiting      []Demand // in the order in which they are served
	MachineTypes map[string]*model.MachineType
	// Sizes of tasks that are asked for now or were lately.
	Sizes []model.Resources
	// CloudOK tells that the cloud answers: what can't be rented again is kept.
	CloudOK bool
}

// Output is what a round decides.
type Output struct {
	Rent     []Rental
	GiveBack []*model.Machine
	Unplaced int // waiting tasks without a place
}

// Provisioner keeps the placeholders from round to round.
type Provisioner struct {
	Params       Params
	placeholders []*placeholder
	refused      map[Offer]model.Micros // until when an offer is not asked for again
}

// New makes a loop without placeholders; a new leader starts with this.
func New(p Params) *Provisioner { return &Provisioner{Params: p, refused: map[Offer]model.Micros{}} }

// Refuse notes that an offer had no (or too little) capacity.
func (l *Provisioner) Refuse(o Offer, now model.Micros) { l.refused[o] = now + l.Params.RefusedPause }

// slot is a machine of the round, existing or to be rented, with what is
// virtually on it.
type slot struct {
	machine      *model.Machine // nil: to be rented
	offer        Offer
	size         model.Resources
	free         model.Resources // after real and waiting tasks
	spare        model.Resources // after placeholders too
	used         bool            // a waiting task was put here
	placeholders []*placeholder
}

// usable tells whether a machine can be counted on for work.
func (l *Provisioner) usable(h *model.Machine, f *model.MachineType, now model.Micros) bool {
	if h.Lost || h.Draining || h.Deleting || h.SpotNotice || h.Faulty || h.Failed || f == nil {
		return false
	}
	return h.Up || now-h.RentedAt < model.Seconds(f.BootS*l.Params.LateAfterBoots)
}

// Round runs the loop once.
func (l *Provisioner) Round(in *Input) Output {
	var out Output
	slots := make([]*slot, 0, len(in.Machines))
	byRef := map[string]*slot{}
	for _, h := range in.Machines {
		f := in.MachineTypes[h.MachineType]
		if !l.usable(h, f, in.Now) {
			continue
		}
		s := &slot{machine: h, offer: Offer{h.MachineType, h.Zone, h.Spot}, size: h.Size, free: h.Free()}
		slots = append(slots, s)
		byRef[h.ID] = s
	}
	slices.SortFunc(slots, func(a, b *slot) int { return cmp.Compare(a.machine.ID, b.machine.ID) })

	// Waiting tasks take room first: they push placeholders out.
	var tasks []unplacedTasks
	var none unplaceable
	for _, d := range in.Waiting {
		hopeless := none.has(d.Job, 1)
		lim := newZoneLimits(d.Job)
		if d.Job.SameZone && !hopeless {
			lim.choose(slots, d)
		}
		n := d.Count
		for _, s := range slots {
			if n == 0 || hopeless {
				break
			}
			if k := lim.count(s, n); k > 0 {
				lim.take(s, k)
				s.used = true
				n -= k
			}
		}
		if n > 0 {
			if !hopeless && !lim.bound() {
				none = append(none, unplacedTasks{d, n, lim})
			}
			tasks = append(tasks, unplacedTasks{d, n, lim})
			out.Unplaced += n
		}
	}

	l.resize(in, slots)
	for _, s := range slots {
		s.spare = s.free
	}
	var roaming []*placeholder
	for _, p := range l.placeholders {
		s := byRef[p.machine]
		if s != nil && p.size.Fits(s.spare) {
			s.spare = s.spare.Minus(p.size)
			s.placeholders = append(s.placeholders, p)
			continue
		}
		p.machine = ""
		roaming = append(roaming, p)
	}
	roaming = l.placePlaceholders(roaming, slots)

	// What is homeless now drives renting.
	var fresh []*slot
	none = nil
	for _, t := range tasks {
		n := t.count
		if none.has(t.demand.Job, t.count) {
			continue
		}
		for n > 0 {
			for _, s := range fresh {
				if n == 0 {
					break
				}
				if k := t.zones.count(s, n); k > 0 {
					t.zones.take(s, k)
					n -= k
				}
			}
			if n == 0 {
				break
			}
			s := l.cheapest(in, fresh, t.demand.Job.Request, n, t.demand.Job.Priority >= model.HighPriority, t.zones.allows)
			if s == nil && l.zoneExhausted(in, t.zones) {
				t.zones.elsewhere()
				n = t.demand.Count
				continue
			}
			if s == nil {
				if !t.zones.bound() {
					none = append(none, t)
				}
				break
			}
			if t.demand.Job.SameZone && len(t.demand.Job.Bindings) == 0 {
				t.zones.only = s.offer.Zone
			}
			fresh = append(fresh, s)
		}
	}
	for _, s := range fresh {
		s.spare = s.free
	}
	roaming = l.placePlaceholders(roaming, fresh)
	var refused *placeholder // none can be rented for it, nor for its like
	for _, p := range roaming {
		if refused != nil && refused.gpu == p.gpu && refused.size.Fits(p.size) {
			continue
		}
		if len(l.placePlaceholders([]*placeholder{p}, fresh)) == 0 {
			continue
		}
		// Placeholders are for any task to come, so they need an ordinary machine,
		// and one that is not so dear that it soon goes back unused.
		s := l.cheapest(in, fresh, p.size, 1, false, func(machineType, _ string, spot bool) bool {
			f := in.MachineTypes[machineType]
			return !spot && l.idleHold(in, f, spot) >= l.Params.IdleHold/3
		})
		if s == nil {
			refused = p
			continue
		}
		s.spare = s.free
		fresh = append(fresh, s)
		l.placePlaceholders([]*placeholder{p}, fresh)
	}
	out.Rent = calls(fresh)
	if in.CloudOK {
		out.GiveBack = l.giveBack(in, slots)
	}
	for _, p := range l.placeholders {
		// Machines to come have no name yet: their placeholders seek again.
		if byRef[p.machine] == nil {
			p.machine = ""
		}
	}
	return out
}
