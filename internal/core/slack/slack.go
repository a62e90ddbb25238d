// Package slack is the renting loop after "Resource Slack": placeholders that
// live only in the leader reserve room for tasks to come, real tasks push them
// out, and what finds no room has machines rented.
package slack

import (
	"cmp"
	"math"
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/core/place"
)

// Params are the settings of the loop, some of them the operators' own.
type Params struct {
	Rate        float64 // min_extra_capacity_rate
	Granularity int
	LateBoots   float64 // boot times after which a machine is no longer counted on
	DeadBoots   float64 // boot times after which it is given back unseen
	Refused     model.Micros
	MinHeld     model.Micros // the shortest time that is charged
	Dear        float64      // waiting beats a machine that costs this many times the cheapest
	HoldIdle    model.Micros // how long placeholders alone keep the cheapest machine
}

// Defaults are the starting values.
func Defaults() Params {
	return Params{Rate: 0.1, Granularity: 5, LateBoots: 2.5, DeadBoots: 4, Refused: 6 * model.Second, MinHeld: 60 * model.Second,
		Dear: 5, HoldIdle: 60 * model.Second}
}

// Demand is a number of waiting tasks of one job.
type Demand struct {
	Job   *model.JobState
	Count int
}

// Rental is a request to be made.
type Rental struct {
	Build, Yard string
	Spot        bool
	Count       int
}

// Offer names what can be rented.
type Offer struct {
	Build, Yard string
	Spot        bool
}

// Input is what a round looks at.
type Input struct {
	Now     model.Micros
	Hosts   []*model.Host
	Waiting []Demand // in the order in which they are served
	Flavors map[string]*model.Flavor
	// Sizes of tasks that are asked for now or were lately.
	Sizes []model.Need
	// CloudOK tells that the cloud answers: what can't be rented again is kept.
	CloudOK bool
}

// Output is what a round decides.
type Output struct {
	Rent     []Rental
	GiveBack []*model.Host
	Homeless int // waiting tasks without a place
}

// placeholder is a virtual task.
type placeholder struct {
	size  model.Need
	host  string // "": homeless
	group bool   // true: GPU group
	big   bool   // the group's largest
}

// Loop keeps the placeholders from round to round.
type Loop struct {
	P       Params
	holders []*placeholder
	refused map[Offer]model.Micros // until when an offer is not asked for again
}

// New makes a loop without placeholders; a new leader starts with this.
func New(p Params) *Loop { return &Loop{P: p, refused: map[Offer]model.Micros{}} }

// Refuse notes that an offer had no (or too little) capacity.
func (l *Loop) Refuse(o Offer, now model.Micros) { l.refused[o] = now + l.P.Refused }

// slot is a machine of the round, existing or to be rented, with what is
// virtually on it.
type slot struct {
	h     *model.Host // nil: to be rented
	offer Offer
	size  model.Need
	free  model.Need // after real and waiting tasks
	left  model.Need // after placeholders too
	used  bool       // a waiting task was put here
	held  []*placeholder
}

// counted tells whether a machine can be counted on for work.
func (l *Loop) counted(h *model.Host, f *model.Flavor, now model.Micros) bool {
	if h.Lost || h.Leaving || h.Deleting || h.Recall || h.Sick || h.Failed || f == nil {
		return false
	}
	return h.Up || now-h.RentedAt < model.Seconds(f.BootS*l.P.LateBoots)
}

// Round runs the loop once.
func (l *Loop) Round(in *Input) Output {
	var out Output
	slots := make([]*slot, 0, len(in.Hosts))
	byRef := map[string]*slot{}
	for _, h := range in.Hosts {
		f := in.Flavors[h.Build]
		if !l.counted(h, f, in.Now) {
			continue
		}
		s := &slot{h: h, offer: Offer{h.Build, h.Yard, h.Spot}, size: h.Size, free: h.Free()}
		slots = append(slots, s)
		byRef[h.Ref] = s
	}
	slices.SortFunc(slots, func(a, b *slot) int { return cmp.Compare(a.h.Ref, b.h.Ref) })

	// Waiting tasks take room first: they push placeholders out.
	var tasks []homeless
	var none futile
	for _, d := range in.Waiting {
		hopeless := none.has(d.Job, 1)
		lim := limits(d.Job)
		if d.Job.SamePlace && !hopeless {
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
				none = append(none, homeless{d, n, lim})
			}
			tasks = append(tasks, homeless{d, n, lim})
			out.Homeless += n
		}
	}

	l.resize(in, slots)
	for _, s := range slots {
		s.left = s.free
	}
	var roaming []*placeholder
	for _, p := range l.holders {
		s := byRef[p.host]
		if s != nil && p.size.Fits(s.left) {
			s.left = s.left.Minus(p.size)
			s.held = append(s.held, p)
			continue
		}
		p.host = ""
		roaming = append(roaming, p)
	}
	roaming = l.seek(roaming, slots)

	// What is homeless now drives renting.
	var fresh []*slot
	none = nil
	for _, t := range tasks {
		n := t.n
		if none.has(t.d.Job, t.n) {
			continue
		}
		for n > 0 {
			for _, s := range fresh {
				if n == 0 {
					break
				}
				if k := t.lim.count(s, n); k > 0 {
					t.lim.take(s, k)
					n -= k
				}
			}
			if n == 0 {
				break
			}
			s := l.cheapest(in, fresh, t.d.Job.Need, n, t.d.Job.Rank >= model.Urgent, t.lim.allows)
			if s == nil && l.closed(in, t.lim) {
				t.lim.elsewhere()
				n = t.d.Count
				continue
			}
			if s == nil {
				if !t.lim.bound() {
					none = append(none, t)
				}
				break
			}
			if t.d.Job.SamePlace && len(t.d.Job.Bound) == 0 {
				t.lim.only = s.offer.Yard
			}
			fresh = append(fresh, s)
		}
	}
	for _, s := range fresh {
		s.left = s.free
	}
	roaming = l.seek(roaming, fresh)
	var refused *placeholder // none can be rented for it, nor for its like
	for _, p := range roaming {
		if refused != nil && refused.group == p.group && refused.size.Fits(p.size) {
			continue
		}
		if len(l.seek([]*placeholder{p}, fresh)) == 0 {
			continue
		}
		// Placeholders are for any task to come, so they need an ordinary machine,
		// and one that is not so dear that it soon goes back unused.
		s := l.cheapest(in, fresh, p.size, 1, false, func(build, _ string, spot bool) bool {
			f := in.Flavors[build]
			return !spot && l.hold(in, f, spot) >= l.P.HoldIdle/3
		})
		if s == nil {
			refused = p
			continue
		}
		s.left = s.free
		fresh = append(fresh, s)
		l.seek([]*placeholder{p}, fresh)
	}
	out.Rent = calls(fresh)
	if in.CloudOK {
		out.GiveBack = l.giveBack(in, slots)
	}
	for _, p := range l.holders {
		// Machines to come have no name yet: their placeholders seek again.
		if byRef[p.host] == nil {
			p.host = ""
		}
	}
	return out
}

// futile remembers what found no room: room only gets less, so nothing that may
// use the same machines and needs as much, for no more tasks, has to look again.
type futile []homeless

// homeless is a number of a job's tasks without a place.
type homeless struct {
	d   Demand
	n   int
	lim *yards
}

// yards are what the rules on zones leave to a job's waiting tasks. Room in a zone
// that they may not use must not count as theirs: nothing would be rented for them
// where they may go, and they would wait beside it for ever.
type yards struct {
	j    *model.JobState
	left map[string]int // by yard, for those that were asked for
	// only is the one zone that is considered for a job whose tasks have to be
	// together and of which none is anywhere yet.
	only string
}

func limits(j *model.JobState) *yards { return &yards{j: j, left: map[string]int{}} }

// bound tells that such rules apply.
func (y *yards) bound() bool { return y.j.SamePlace || y.j.Apart }

// room is how many more tasks may go to a yard.
func (y *yards) room(yard string) int {
	if y.only != "" && yard != y.only {
		return 0
	}
	n, ok := y.left[yard]
	if !ok {
		n = place.YardRoom(y.j, yard)
		y.left[yard] = n
	}
	return n
}

// count is how many of n tasks may go to a machine.
func (y *yards) count(s *slot, n int) int {
	if !y.j.Allows(s.offer.Build, s.offer.Yard, s.offer.Spot) || s.h != nil && !suits(y.j, s) {
		return 0
	}
	k := y.j.Need.Count(s.free, n)
	if k > 0 && y.bound() {
		k = min(k, y.room(s.offer.Yard))
	}
	return k
}

// take puts tasks on a machine.
func (y *yards) take(s *slot, k int) {
	s.free = s.free.Minus(y.j.Need.Times(k))
	if y.bound() {
		y.left[s.offer.Yard] -= k
	}
}

// allows tells whether a machine of that kind may be rented.
func (y *yards) allows(build, yard string, spot bool) bool {
	return y.j.Allows(build, yard, spot) && (!y.bound() || y.room(yard) > 0)
}

// choose settles on the zone that has most room for tasks that have to be together.
func (y *yards) choose(slots []*slot, d Demand) {
	if len(y.j.Bound) > 0 {
		return // they are where the others are
	}
	in := map[string]int{}
	for _, s := range slots {
		in[s.offer.Yard] += y.count(s, d.Count)
	}
	best := 0
	for yard, n := range in {
		if n > best || n == best && n > 0 && yard < y.only {
			y.only, best = yard, n
		}
	}
}

// elsewhere gives the chosen zone up for any other: all tasks need a place there.
func (y *yards) elsewhere() { y.left[y.only], y.only = 0, "" }

// closed tells that nothing can be rented at present in the zone that was chosen for
// tasks that have to be together.
func (l *Loop) closed(in *Input, y *yards) bool {
	if y.only == "" {
		return false
	}
	for label, f := range in.Flavors {
		for _, spot := range []bool{true, false} {
			if f.In(y.only) && y.allows(label, y.only, spot) && y.j.Need.Fits(f.Size()) && in.Now >= l.refused[Offer{label, y.only, spot}] {
				return false
			}
		}
	}
	return true
}

func (f futile) has(j *model.JobState, n int) bool {
	for i := range f {
		if o := f[i].d.Job; f[i].n >= n && o.Need.Fits(j.Need) && o.Loaners == j.Loaners && o.Yard == j.Yard && o.Rank == j.Rank &&
			(o.Need.GPUs > 0) == (j.Need.GPUs > 0) && slices.Equal(o.Builds, j.Builds) {
			return true
		}
	}
	return false
}

// suits tells whether a machine is for such work: one without GPUs alone must
// not keep a GPU machine in pay, unless it is urgent.
func suits(j *model.JobState, s *slot) bool {
	return s.size.GPUs == 0 || j.Need.GPUs > 0 || j.Rank >= model.Urgent || s.h != nil && s.h.Used.GPUs > 0
}

// seek puts placeholders into rooms and returns those that found none.
func (l *Loop) seek(ps []*placeholder, slots []*slot) (rest []*placeholder) {
	var failed *placeholder // the last that found none: its like need not look
	for _, p := range ps {
		if failed != nil && failed.group == p.group && failed.size.Fits(p.size) {
			rest = append(rest, p)
			continue
		}
		var best *slot
		for _, s := range slots {
			if (s.size.GPUs > 0) != p.group || !p.size.Fits(s.left) {
				continue
			}
			if best == nil || s.left.Cores < best.left.Cores {
				best = s
			}
		}
		if best == nil {
			failed = p
			rest = append(rest, p)
			continue
		}
		best.left = best.left.Minus(p.size)
		best.held = append(best.held, p)
		if best.h != nil {
			p.host = best.h.Ref
		}
	}
	return rest
}

// resize brings number and sizes of the placeholders to what the fleet and the
// tasks ask for, keeping those that exist on their machines.
func (l *Loop) resize(in *Input, slots []*slot) {
	for _, gpu := range []bool{false, true} {
		var capacity, biggest, largest model.Need
		machines := 0
		for _, s := range slots {
			if (s.size.GPUs > 0) == gpu {
				capacity = capacity.Plus(s.size)
				machines++
			}
		}
		for _, f := range in.Flavors {
			if z := f.Size(); (z.GPUs > 0) == gpu && z.Cores >= biggest.Cores {
				biggest = z
			}
		}
		for _, z := range in.Sizes {
			if (z.GPUs > 0) == gpu {
				largest = model.Need{Cores: max(largest.Cores, z.Cores), GPUs: max(largest.GPUs, z.GPUs), Mem: max(largest.Mem, z.Mem)}
			}
		}
		largest = model.Need{Cores: min(largest.Cores, biggest.Cores), GPUs: min(largest.GPUs, biggest.GPUs), Mem: min(largest.Mem, biggest.Mem)}
		extra := model.Need{Cores: share(capacity.Cores, l.P.Rate), GPUs: share(capacity.GPUs, l.P.Rate), Mem: share(capacity.Mem, l.P.Rate)}
		count := machines * l.P.Granularity
		var each model.Need
		if rest := extra.Minus(largest); count > 0 {
			each = model.Need{Cores: max(0, rest.Cores) / model.Milli(count), GPUs: max(0, rest.GPUs) / model.Milli(count), Mem: max(0, rest.Mem) / model.Milli(count)}
		}
		if each.IsZero() {
			count = 0
		}
		want := count
		if !largest.IsZero() {
			want++
		}
		var kept []*placeholder
		mine := 0
		big := false
		for _, p := range l.holders {
			if p.group != gpu {
				kept = append(kept, p)
				continue
			}
			if p.big && !largest.IsZero() && !big {
				big = true
				p.size = largest
				kept = append(kept, p)
			} else if !p.big && mine < count {
				mine++
				p.size = each
				kept = append(kept, p)
			}
		}
		if !big && !largest.IsZero() {
			kept = append(kept, &placeholder{size: largest, group: gpu, big: true})
		}
		for ; mine < count; mine++ {
			kept = append(kept, &placeholder{size: each, group: gpu})
		}
		l.holders = kept
	}
	// The largest first: they are the hardest to place.
	slices.SortStableFunc(l.holders, func(a, b *placeholder) int { return cmp.Compare(b.size.Cores, a.size.Cores) })
}

func share(m model.Milli, rate float64) model.Milli { return model.Milli(float64(m) * rate) }

// cheapest chooses the offer that holds n such tasks at the lowest price per
// task. A type already chosen in this round is only asked for in the same yard
// and kind: one call per type and round.
func (l *Loop) cheapest(in *Input, fresh []*slot, need model.Need, n int, anyPrice bool, allows func(build, yard string, spot bool) bool) *slot {
	var best *slot
	bestCost := 0.0
	floor := math.Inf(1) // the lowest price per task, had everything capacity
	var labels []string
	for label := range in.Flavors {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	for _, label := range labels {
		f := in.Flavors[label]
		size := f.Size()
		k := need.Count(size, n)
		if k == 0 {
			continue
		}
		var called *Offer
		calls := 0
		for _, s := range fresh {
			if s.offer.Build == label {
				called = &s.offer
				calls++
			}
		}
		if calls >= 50 {
			continue
		}
		for _, y := range f.Yards {
			for _, spot := range []bool{true, false} {
				o := Offer{label, y, spot}
				if !allows(label, y, spot) {
					continue
				}
				cost := f.PriceOf(spot) / float64(need.Count(size, 1<<20))
				floor = min(floor, cost)
				if in.Now < l.refused[o] || called != nil && *called != o {
					continue
				}
				cost = f.PriceOf(spot) / float64(k)
				if best == nil || cost < bestCost {
					best, bestCost = &slot{offer: o, size: size, free: size, left: size}, cost
				}
			}
		}
	}
	if best != nil && !anyPrice && bestCost*float64(need.Count(best.size, n)) > l.P.Dear*floor*float64(need.Count(best.size, 1<<20)) {
		return nil
	}
	return best
}

// calls groups the machines to be rented.
func calls(fresh []*slot) []Rental {
	var rs []Rental
	for _, s := range fresh {
		i := slices.IndexFunc(rs, func(r Rental) bool { return r.Build == s.offer.Build })
		if i < 0 {
			rs = append(rs, Rental{s.offer.Build, s.offer.Yard, s.offer.Spot, 1})
		} else {
			rs[i].Count++
		}
	}
	return rs
}

// hold is how long placeholders alone keep a machine: the dearer it is per
// core than the cheapest, the shorter.
func (l *Loop) hold(in *Input, f *model.Flavor, spot bool) model.Micros {
	floor := math.Inf(1)
	for _, o := range in.Flavors {
		if o.Cores > 0 {
			floor = min(floor, o.Price/o.Cores)
		}
	}
	own := f.PriceOf(spot) / max(f.Cores, 1)
	return model.Micros(float64(l.P.HoldIdle) * min(1, floor/own))
}

// giveBack chooses empty machines that are not needed: no waiting task was put
// there, its placeholders find room elsewhere, and keeping it for the next work
// would by now have cost more than renting anew.
func (l *Loop) giveBack(in *Input, slots []*slot) (back []*model.Host) {
	slices.SortStableFunc(slots, func(a, b *slot) int {
		return cmp.Compare(in.Flavors[b.offer.Build].PriceOf(b.offer.Spot), in.Flavors[a.offer.Build].PriceOf(a.offer.Spot))
	})
	for i, s := range slots {
		f := in.Flavors[s.offer.Build]
		if !s.h.Up || len(s.h.Bound) > 0 || s.used ||
			in.Now-s.h.RentedAt < l.P.MinHeld || in.Now-s.h.EmptyAt < model.Seconds(f.BootS/2) {
			continue
		}
		others := slices.Concat(slots[:i:i], slots[i+1:])
		others = slices.DeleteFunc(others, func(o *slot) bool { return slices.Contains(back, o.h) })
		saved := make([]model.Need, len(others))
		for k, o := range others {
			saved[k] = o.left
		}
		moved := make([]string, len(s.held))
		for k, p := range s.held {
			moved[k] = p.host
		}
		if rest := l.seek(s.held, others); len(rest) > 0 && in.Now-s.h.EmptyAt < l.hold(in, f, s.offer.Spot) {
			for k, o := range others {
				o.left = saved[k]
			}
			for k, p := range s.held {
				p.host = moved[k]
			}
			continue
		}
		back = append(back, s.h)
	}
	return back
}
