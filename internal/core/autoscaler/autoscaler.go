// Package autoscaler is the renting loop after "Resource Slack": placeholders that
// live only in the leader reserve room for tasks to come, real tasks push them
// out, and what finds no room has machines rented.
package autoscaler

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
	// Sizes of tasks that are asked for now or were lately, and of those of them that
	// need ordinary machines and that may use spot machines.
	Sizes, OrdinarySizes, FlexibleSizes []model.Resources
	// OrdinaryPriority is the lowest priority of unfinished jobs that need ordinary
	// machines. Work of lower priority that may use spot machines yields to them.
	OrdinaryPriority model.Priority
	// OrdinaryPatience is how long at most such a job waits before others are stopped to
	// make room for it.
	OrdinaryPatience model.Micros
	// Spread tells that some of these jobs have to be spread over zones.
	Spread bool
	// CloudOK tells that the cloud answers: what can't be rented again is kept.
	CloudOK bool
}

// Output is what a round decides.
type Output struct {
	Rent    []Rental
	ScaleIn []*model.Machine
	// Vacate are machines whose tasks have room elsewhere and are to move there.
	Vacate []*model.Machine
	// Surplus are ordinary machines that nothing needs which has to be on one: they are
	// to come empty, so work that may use spot machines is not to go there.
	Surplus  []*model.Machine
	Unplaced int // waiting tasks without a place
}

// Provisioner keeps the placeholders from round to round.
type Provisioner struct {
	Params       Params
	placeholders []*placeholder
	refused      map[Offer]model.Micros // until when an offer is not asked for again
	lastVacated  model.Micros
	zoneMachines map[string]int // ordinary machines by zone, if they are to be even
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
	open         model.Resources // after those that need ordinary machines, on one of these
	spare        model.Resources // what placeholders leave of open
	used         bool            // a waiting task was put here
	needed       bool            // a task that needs an ordinary machine is here
	surplus      bool            // an ordinary machine that is to come empty
	placeholders []*placeholder
}

// usable tells whether a machine can be counted on for work.
func (l *Provisioner) usable(h *model.Machine, f *model.MachineType, now model.Micros) bool {
	if h.Lost || h.Draining || h.Deleting || h.SpotNotice || h.Quarantined || h.Failed || f == nil {
		return false
	}
	return h.Up || now-h.RentedAt < model.Seconds(f.BootS*l.Params.LateAfterBoots)
}

// Round runs the loop once.
func (l *Provisioner) Round(in *Input) Output {
	slots := l.slots(in)
	l.countZones(in, slots)
	first, second := in.split()

	// Waiting tasks take room first: they push placeholders out.
	unplaced := placeWaiting(slots, first, false)
	l.resize(in, slots)
	l.assignZones()
	roaming := l.placePlaceholders(l.keepPlaceholders(slots, false), slots)
	l.markSurplus(in, slots)
	flexible := l.placeFlexible(in, slots, second)
	roaming = append(roaming, l.placePlaceholders(l.keepPlaceholders(slots, true), slots)...)

	// What is homeless now drives renting.
	var fresh []*slot
	fresh = l.rentForTasks(in, fresh, unplaced)
	fresh = l.rentForTasks(in, fresh, flexible)
	fresh = l.rentForPlaceholders(in, slots, fresh, roaming)

	out := Output{Rent: calls(fresh), Unplaced: count(unplaced) + count(flexible)}
	if in.CloudOK {
		out.ScaleIn = l.scaleIn(in, slots)
		if len(unplaced) == 0 && !slices.ContainsFunc(fresh, func(s *slot) bool { return !s.offer.Spot }) {
			out.Vacate = l.vacate(in, slots)
		}
	}
	for _, s := range slots {
		if s.surplus {
			out.Surplus = append(out.Surplus, s.machine)
		}
	}
	l.forgetUnnamed(slots)
	return out
}

// split parts the waiting tasks into those that are served first and those that may
// use spot machines, which take what the first and the placeholders leave of the
// ordinary ones. Where no work needs ordinary machines all are alike.
func (in *Input) split() (first, flexible []Demand) {
	if len(in.OrdinarySizes) == 0 {
		return in.Waiting, nil
	}
	for _, d := range in.Waiting {
		if d.Job.AllowsSpot {
			flexible = append(flexible, d)
		} else {
			first = append(first, d)
		}
	}
	return first, flexible
}

// slots lists the machines that can be counted on.
func (l *Provisioner) slots(in *Input) []*slot {
	slots := make([]*slot, 0, len(in.Machines))
	for _, h := range in.Machines {
		if !l.usable(h, in.MachineTypes[h.MachineType], in.Now) {
			continue
		}
		s := &slot{machine: h, offer: Offer{h.MachineType, h.Zone, h.Spot}, size: h.Size, free: h.Free()}
		s.open = s.free
		if !h.Spot && len(in.OrdinarySizes) > 0 {
			s.countYielding(in)
		}
		slots = append(slots, s)
	}
	slices.SortFunc(slots, func(a, b *slot) int { return cmp.Compare(a.machine.ID, b.machine.ID) })
	return slots
}

// countZones counts the ordinary machines of each zone where jobs have to be spread over
// zones. Room in one zone alone is no use to such a job beyond its share there, so
// placeholders and rentals go to the zones by turns.
func (l *Provisioner) countZones(in *Input, slots []*slot) {
	l.zoneMachines = nil
	if !in.Spread {
		return
	}
	l.zoneMachines = map[string]int{}
	for _, f := range in.MachineTypes {
		for _, zone := range f.Zones {
			l.zoneMachines[zone] += 0
		}
	}
	for _, s := range slots {
		if !s.offer.Spot {
			l.zoneMachines[s.offer.Zone]++
		}
	}
}

// countYielding finds out what of an ordinary machine is taken by work that yields to
// work that needs ordinary machines: it may use spot machines, is of lower priority, and
// is stopped sooner than a machine could boot. Its room counts as open to such work and
// to the placeholders that stand for it. Else each task that goes there while the room is
// idle would have one more ordinary machine rented, at several times the price of the
// spot machine that it could have had.
func (s *slot) countYielding(in *Input) {
	quick := in.OrdinaryPatience < model.Seconds(in.MachineTypes[s.offer.MachineType].BootS)
	for _, b := range s.machine.Bindings {
		if quick && b.Job.AllowsSpot && b.Job.Kind != model.Gang && b.Job.Priority < in.OrdinaryPriority {
			s.open = s.open.Plus(b.Job.Request)
		}
		s.needed = s.needed || !b.Job.AllowsSpot
	}
}

// placeWaiting puts waiting tasks into rooms and returns those that found none.
func placeWaiting(slots []*slot, waiting []Demand, flexible bool) (rest []unplacedTasks) {
	var none unplaceable
	for _, d := range waiting {
		hopeless := none.has(d.Job, 1)
		lim := newZoneLimits(d.Job, flexible)
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
				s.used, s.needed = true, s.needed || !flexible
				n -= k
			}
		}
		if n > 0 {
			if !hopeless && !lim.bound() {
				none = append(none, unplacedTasks{d, n, lim})
			}
			rest = append(rest, unplacedTasks{d, n, lim})
		}
	}
	return rest
}

// count is the number of tasks.
func count(tasks []unplacedTasks) (n int) {
	for _, t := range tasks {
		n += t.count
	}
	return n
}

// keepPlaceholders leaves the placeholders on their machines as far as they fit there,
// and returns the others. Those for flexible work come after that work has been placed.
func (l *Provisioner) keepPlaceholders(slots []*slot, flexible bool) (roaming []*placeholder) {
	byID := make(map[string]*slot, len(slots))
	for _, s := range slots {
		if !flexible || s.offer.Spot {
			s.resetSpare(flexible)
		}
		byID[s.machine.ID] = s
	}
	for _, p := range l.placeholders {
		if (p.work == flexibleWork) != flexible {
			continue
		}
		s := byID[p.machine]
		if s != nil && p.suits(s) && p.size.Fits(s.spare) {
			s.spare = s.spare.Minus(p.size)
			s.placeholders = append(s.placeholders, p)
			continue
		}
		p.machine = ""
		roaming = append(roaming, p)
	}
	return roaming
}

// resetSpare has placeholders find all that tasks leave of a machine. Once flexible work
// is placed, that is on spot machines what this work leaves, too.
func (s *slot) resetSpare(flexiblePlaced bool) {
	s.spare = s.open
	if flexiblePlaced && s.offer.Spot {
		s.spare = s.free
	}
}

// forgetUnnamed has the placeholders of machines to come, which have no name yet, seek
// again in the next round.
func (l *Provisioner) forgetUnnamed(slots []*slot) {
	known := make(map[string]bool, len(slots))
	for _, s := range slots {
		known[s.machine.ID] = true
	}
	for _, p := range l.placeholders {
		if !known[p.machine] {
			p.machine = ""
		}
	}
}

// rentForTasks adds the machines that homeless tasks need to those to be rented.
func (l *Provisioner) rentForTasks(in *Input, fresh []*slot, unplaced []unplacedTasks) []*slot {
	var none unplaceable
	for _, t := range unplaced {
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
	return fresh
}

// rentForPlaceholders adds the machines that homeless placeholders need.
func (l *Provisioner) rentForPlaceholders(in *Input, slots, fresh []*slot, roaming []*placeholder) []*slot {
	for _, s := range fresh {
		s.resetSpare(true)
	}
	roaming = l.placePlaceholders(roaming, fresh)
	var elsewhere []*placeholder
	for _, p := range roaming {
		if p.zone != "" && !l.available(in, p.zone) {
			// Nothing can be had in its zone at present: room in another is better than none.
			p.zone = ""
			elsewhere = append(elsewhere, p)
		}
	}
	if len(elsewhere) > 0 {
		l.placePlaceholders(elsewhere, slots)
		roaming = slices.DeleteFunc(roaming, func(p *placeholder) bool { return p.machine != "" })
	}
	var refused *placeholder // none can be rented for it, nor for its like
	for _, p := range roaming {
		if refused != nil && refused.like(p) && refused.size.Fits(p.size) {
			continue
		}
		if len(l.placePlaceholders([]*placeholder{p}, fresh)) == 0 {
			continue
		}
		// Placeholders for any task to come need an ordinary machine. None is rented
		// that is so dear that it would soon go back unused.
		s := l.cheapest(in, fresh, p.size, 1, false, func(machineType, zone string, spot bool) bool {
			f := in.MachineTypes[machineType]
			return p.allows(zone, spot) && (p.work == flexibleWork || !spot) && l.idleHold(in, f, spot) >= l.Params.IdleHold/3
		})
		if s == nil {
			refused = p
			continue
		}
		s.resetSpare(true)
		fresh = append(fresh, s)
		l.placePlaceholders([]*placeholder{p}, fresh)
	}
	return fresh
}
