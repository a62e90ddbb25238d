package autoscaler

import (
	"slices"

	"woadweir/internal/core/model"
	"woadweir/internal/core/placement"
)

// unplaceable remembers what found no room: room only gets less, so nothing that may
// use the same machines and needs as much, for no more tasks, has to look again.
type unplaceable []unplacedTasks

// unplacedTasks is a number of a job's tasks without a place.
type unplacedTasks struct {
	demand Demand
	count  int
	zones  *zoneLimits
}

// zoneLimits are what the rules on zones leave to a job's waiting tasks. Room in a zone
// that they may not use must not count as theirs: nothing would be rented for them
// where they may go, and they would wait beside it for ever.
type zoneLimits struct {
	job  *model.JobState
	left map[string]int // by zone, for those that were asked for
	// only is the one zone that is considered for a job whose tasks have to be
	// together and of which none is anywhere yet.
	only string
	// flexible tells that the tasks take only room that is free now, and leave what is
	// open to work that needs ordinary machines.
	flexible bool
}

func newZoneLimits(j *model.JobState, flexible bool) *zoneLimits {
	return &zoneLimits{job: j, left: map[string]int{}, flexible: flexible}
}

// bound tells that such rules apply.
func (y *zoneLimits) bound() bool { return y.job.SameZone || y.job.Spread }

// room is how many more tasks may go to a zone.
func (y *zoneLimits) room(zone string) int {
	if y.only != "" && zone != y.only {
		return 0
	}
	n, ok := y.left[zone]
	if !ok {
		n = placement.ZoneRoom(y.job, zone)
		y.left[zone] = n
	}
	return n
}

// count is how many of n tasks may go to a machine.
func (y *zoneLimits) count(s *slot, n int) int {
	if !y.job.Allows(s.offer.MachineType, s.offer.Zone, s.offer.Spot) || s.machine != nil && !suitsJob(y.job, s) {
		return 0
	}
	room := s.open
	if y.flexible {
		room = s.free
	}
	k := y.job.Request.Count(room, n)
	if k > 0 && y.bound() {
		k = min(k, y.room(s.offer.Zone))
	}
	return k
}

// take puts tasks on a machine.
func (y *zoneLimits) take(s *slot, k int) {
	taken := y.job.Request.Times(k)
	s.free = s.free.Minus(taken)
	if !y.flexible {
		s.open = s.open.Minus(taken)
	}
	if y.bound() {
		y.left[s.offer.Zone] -= k
	}
}

// allows tells whether a machine of that kind may be rented.
func (y *zoneLimits) allows(machineType, zone string, spot bool) bool {
	return y.job.Allows(machineType, zone, spot) && (!y.bound() || y.room(zone) > 0)
}

// choose settles on the zone that has most room for tasks that have to be together.
func (y *zoneLimits) choose(slots []*slot, d Demand) {
	if len(y.job.Bindings) > 0 {
		return // they are where the others are
	}
	in := map[string]int{}
	for _, s := range slots {
		in[s.offer.Zone] += y.count(s, d.Count)
	}
	best := 0
	for zone, n := range in {
		if n > best || n == best && n > 0 && zone < y.only {
			y.only, best = zone, n
		}
	}
}

// elsewhere gives the chosen zone up for any other: all tasks need a place there.
func (y *zoneLimits) elsewhere() { y.left[y.only], y.only = 0, "" }

// zoneExhausted tells that nothing can be rented at present in the zone that was chosen for
// tasks that have to be together.
func (l *Provisioner) zoneExhausted(in *Input, y *zoneLimits) bool {
	if y.only == "" {
		return false
	}
	for label, f := range in.MachineTypes {
		for _, spot := range []bool{true, false} {
			if f.In(y.only) && y.allows(label, y.only, spot) && y.job.Request.Fits(f.Size()) && in.Now >= l.refused[Offer{label, y.only, spot}] {
				return false
			}
		}
	}
	return true
}

func (f unplaceable) has(j *model.JobState, n int) bool {
	for i := range f {
		if o := f[i].demand.Job; f[i].count >= n && o.Request.Fits(j.Request) && o.AllowsSpot == j.AllowsSpot && o.Zone == j.Zone && o.Priority == j.Priority &&
			(o.Request.GPUs > 0) == (j.Request.GPUs > 0) && slices.Equal(o.MachineTypes, j.MachineTypes) {
			return true
		}
	}
	return false
}

// suitsJob tells whether a machine is for such work: one without GPUs alone must
// not keep a GPU machine in pay, unless it is urgent.
func suitsJob(j *model.JobState, s *slot) bool {
	return s.size.GPUs == 0 || j.Request.GPUs > 0 || j.Priority >= model.HighPriority || s.machine != nil && s.machine.Used.GPUs > 0
}

// markSurplus finds the ordinary machines that nothing needs which has to be on one: no
// such task, and no placeholder. There are none as long as some work that may use spot
// machines can't have any: it is what the others are for.
func (l *Provisioner) markSurplus(in *Input, slots []*slot) {
	if len(in.OrdinarySizes) == 0 {
		return
	}
	for _, size := range in.FlexibleSizes {
		if l.spotScarce(in, &model.Job{Request: size, AllowsSpot: true}) {
			return
		}
	}
	for _, s := range slots {
		s.surplus = !s.offer.Spot && !s.needed && len(s.placeholders) == 0
	}
}

// placeFlexible puts tasks that may use spot machines into rooms. Of surplus machines
// they get some only where no spot machine could be had for them lately.
func (l *Provisioner) placeFlexible(in *Input, slots []*slot, waiting []Demand) []unplacedTasks {
	var open []*slot
	for _, s := range slots {
		if !s.surplus {
			open = append(open, s)
		}
	}
	rest := placeWaiting(open, waiting, true)
	var left []unplacedTasks
	for _, t := range rest {
		if !l.spotScarce(in, t.demand.Job.Job) {
			left = append(left, t)
			continue
		}
		for _, s := range slots {
			if k := t.zones.count(s, t.count); s.surplus && k > 0 {
				t.zones.take(s, k)
				t.count -= k
				s.used = true
			}
		}
		if t.count > 0 {
			left = append(left, t)
		}
	}
	for _, s := range slots {
		s.surplus = s.surplus && !s.used
	}
	return left
}

// scarceFor is how long after a refusal spot machines count as scarce.
const scarceFor = 60 * model.Second

// spotScarce tells that a job could not have a spot machine lately.
func (l *Provisioner) spotScarce(in *Input, j *model.Job) bool {
	for name, f := range in.MachineTypes {
		if !j.Request.Fits(f.Size()) {
			continue
		}
		for _, zone := range f.Zones {
			until, refused := l.refused[Offer{name, zone, true}]
			if j.Allows(name, zone, true) && (!refused || in.Now >= until-l.Params.RefusedPause+scarceFor) {
				return false
			}
		}
	}
	return true
}
