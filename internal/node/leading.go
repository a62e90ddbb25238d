package node

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"woadweir/internal/cloud"
	"woadweir/internal/core/block"
	"woadweir/internal/core/model"
	"woadweir/internal/core/slack"
	"woadweir/internal/state"
	"woadweir/internal/workerapi"
)

// Rhythm of the leader's dealings with the cloud.
const (
	flavorsGap  = 30 * model.Second
	listGap     = 1500 * model.Millisecond
	rentGapSoon = 500 * model.Millisecond
	sweepGap    = 500 * model.Millisecond
	forgetHost  = 600 * model.Second
	forgetSize  = 180 * model.Second
)

// Rhythm of placement rounds: they take so much of the processor's share that the
// settings grant, within bounds. Rounds that may displace work take longer.
const (
	placeLeast    = 40 * model.Millisecond
	placeMost     = 400 * model.Millisecond
	placeShare    = 0.15
	displaceMost  = 800 * model.Millisecond
	displaceShare = 0.1
)

// pace is the pause after something that took so long, so that it gets no more
// than a part of the processor's share.
func (l *leadership) pace(took model.Micros, part float64) model.Micros {
	cores := l.c.set.Params.Quota.Cores
	if cores <= 0 || cores > 1 {
		cores = 1
	}
	return model.Micros(float64(took) / (part * cores))
}

// leadership is what a controller has only while it leads. It is part of the
// controller actor.
type leadership struct {
	c      *controller
	token  uint64
	ready  bool
	resync bool // a transaction failed: no further one before a catch-up
	h      *block.Holder
	held   []held

	loop      *slack.Loop
	nextLoop  model.Micros
	loopSoon  bool
	lastLoop  model.Micros
	hires     int
	renting   map[string]cloud.Rental
	cloudBad  model.Micros // when the cloud last failed
	cloudGood model.Micros
	sizes     map[model.Need]model.Micros
	gone      map[string]model.Micros // machines that were deleted
	missing   map[string]int

	flavorsAt, listAt, sweepAt, placeAt model.Micros
	placeGap                            model.Micros // until the next placement round
	displaceAt, displaceGap             model.Micros // the same for those that may displace
	flavorsBusy, listBusy               bool
	flavorsGot                          bool
	deleting                            map[string]model.Micros // when the deletion was sent, 0: to be sent
	seenLists                           int
}

func newLeadership(c *controller, token uint64) *leadership {
	p := slack.Defaults()
	p.Rate, p.Granularity, p.Refused = float64(c.op.ExtraCapacityRate), int(c.op.Granularity), model.Seconds(float64(c.op.RefusedPauseS))
	return &leadership{c: c, token: token, loop: slack.New(p), renting: map[string]cloud.Rental{}, sizes: map[model.Need]model.Micros{},
		gone: map[string]model.Micros{}, missing: map[string]int{}, deleting: map[string]model.Micros{}}
}

// takeOver builds the holder from a view that has everything that former
// holders wrote: their transactions are shut out by the new grant.
func (l *leadership) takeOver() {
	c := l.c
	w := c.set.Params.Workers
	l.h = block.New(block.Params{Teams: c.teams, Report: model.Seconds(w.ReportS), Lease: model.Seconds(w.LeaseS),
		GangWait: model.Seconds(w.GangWaitS), Margin: model.Second, MaxValue: c.maxValue(), Dense: c.dense(),
		Waits: c.set.Waits(), Finish: c.set.Finish(), Deadlines: c.set.Deadlines(), Guarantee: c.set.Guarantee()}, l.token)
	l.h.Log = logEvent
	l.h.SetFlavors(c.view.Flavors)
	for ref := range c.view.Jobs {
		l.jobNews(ref)
	}
	c.view.Hosts(func(ref string, rec *block.HostRecord) {
		m := l.h.AddHost(ref, rec.Build, rec.Yard, rec.Spot, c.now)
		m.Stored = true
		for job, ps := range rec.Pieces {
			js := l.h.Jobs[job]
			if js == nil {
				continue // it is done, so nothing of it is on any machine
			}
			for _, p := range ps {
				l.h.Restore(js, int(p[0]), p[1], m)
			}
		}
	})
	slots, names := c.view.Bundles(theBlock)
	for i, k := range slots {
		l.h.LoadSlot(k, names[i])
	}
	l.h.Settle()
	l.ready = true
	slog.Info("took over", "token", l.token, "hosts", len(l.h.Hosts), "jobs", len(l.h.Jobs))
}

// reload tells the holder of everything that a fresh listing has.
func (l *leadership) reload() {
	if !l.ready {
		return
	}
	for ref := range l.c.view.Jobs {
		l.jobNews(ref)
	}
}

// jobNews tells the holder what the view says of a job.
func (l *leadership) jobNews(ref string) {
	j := l.c.view.Jobs[ref]
	if j == nil {
		return
	}
	if js := l.h.Jobs[ref]; js != nil {
		if j.End != "" {
			l.h.EndJob(ref, j.End, l.c.now)
		} else {
			js.Rank, js.Due = j.Standing()
		}
		return
	}
	if j.Sub == nil || !j.Ready() || j.End != "" && l.ready {
		// Of what is done nothing is on any machine, nor of what has not begun.
		return
	}
	age := model.Micros(max(0, l.c.wall()-j.ReadyMs())) * model.Millisecond
	l.h.AddJob(j.Job(), l.c.view.Done(ref), j.End, l.c.now, age)
	l.loopSoon = true
}

// due tells that something is to be done again, and notes that it is done now.
func (l *leadership) due(at *model.Micros, gap model.Micros) bool {
	if *at != 0 && l.c.now-*at < gap {
		return false
	}
	*at = l.c.now
	return true
}

// lead does what is due for a leader.
func (c *controller) lead() {
	l := c.leading
	if !l.ready || !c.auth.Holds(c.now) {
		l.flush(true)
		return
	}
	if l.due(&l.sweepAt, sweepGap) {
		l.h.Tick(c.now)
		l.clean()
	}
	l.place()
	l.pump()
	l.flush(false)
	if !l.flavorsBusy && (l.flavorsAt == 0 || c.now-l.flavorsAt > flavorsGap || !l.flavorsGot && c.now-l.flavorsAt > model.Second) {
		l.flavorsAt, l.flavorsBusy = c.now, true
		c.io.flavors()
	}
	if !l.listBusy && l.due(&l.listAt, listGap) {
		l.listBusy = true
		c.io.list()
	}
	if c.now >= l.nextLoop || l.loopSoon && c.now-l.lastLoop >= rentGapSoon {
		l.rentLoop()
	}
}

// pump makes the holder's changes durable, one transaction at a time.
func (l *leadership) pump() {
	c := l.c
	if c.busy[laneHolder] || l.resync || c.now < c.pauses[laneHolder] || l.h.Queued() == 0 {
		return
	}
	n := min(c.limits.TxnOps, c.budget.Left(c.now))
	if n < 1 {
		return
	}
	l.h.P.Dense = c.dense()
	ws := l.h.Writes(n, maxTxnBytes)
	if len(ws) == 0 {
		return
	}
	for i := range ws {
		if end, ok := ws[i].Value.(block.JobRecord); ok {
			end.AtMs = c.wall()
			ws[i].Value = end
		}
	}
	t := holderTxn(theBlock, ws, c.view.Stamps, state.Guard{Path: "grant/" + theBlock, Stamp: l.token})
	c.send(laneHolder, msgCommitted{txn: t, writes: ws, token: l.token})
}

// maxTxnBytes keeps a transaction within the state service's 64 KiB, with room
// for keys and guards.
const maxTxnBytes = 48 << 10

func (l *leadership) committed(m msgCommitted) {
	c := l.c
	if m.lane == laneMisc {
		if m.err == nil && m.res.OK {
			for _, op := range m.txn.Then {
				c.view.Put(op.Set, op.Value, m.res.Epoch)
			}
		}
		return
	}
	switch {
	case m.err != nil:
		slog.Debug("commit", "err", m.err)
		if errors.Is(m.err, state.ErrTooBig) {
			c.tighten(m.err)
			l.h.P.MaxValue = c.maxValue()
			l.h.Recut(m.writes)
		} else {
			l.h.Retry(m.writes, !state.NotDone(m.err))
		}
		if errors.Is(m.err, state.ErrBusy) {
			c.budget.Drain(c.now)
		} else {
			// It may have been carried out: the guards tell, after a catch-up.
			l.needSync()
		}
		c.pauses[laneHolder] = c.now + 100*model.Millisecond
	case m.res.OK:
		for _, op := range m.txn.Then {
			c.view.Put(op.Set, op.Value, m.res.Epoch)
		}
		l.h.Committed(m.writes, c.now)
	default:
		slog.Info("conflict", "keys", m.res.Failed)
		if slices.Contains(m.res.Failed, "grant/"+theBlock) {
			c.stepDown("the grant is not ours any more")
			return
		}
		l.h.Retry(m.writes, false)
		l.needSync()
	}
}

func (l *leadership) needSync() {
	l.resync = true
	l.c.afterSync(func(bool) {})
}

// checkin takes a report. The response may wait a moment for bindings that the
// report made possible.
func (l *leadership) checkin(m msgCheckin) {
	c := l.c
	if l.gone[m.report.Host] != 0 {
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	}
	switch l.h.Take(m.report, c.now) {
	case block.Stale:
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	case block.Deposed:
		c.afterSync(func(bool) {})
		m.reply <- workerAnswer{code: 421, body: workerapi.Elsewhere("")}
		return
	case block.Greeted:
		m.reply <- workerAnswer{code: 200, body: workerapi.Answer(l.token, nil)}
		return
	}
	l.place()
	if l.awaits(m.report.Host) {
		l.held = append(l.held, held{m, c.now + holdCheckin})
		return
	}
	l.respond(m)
}

// place runs a placement round if one is due. On a large fleet reports come much
// faster than rounds can be had: a round then serves many of them.
func (l *leadership) place() {
	c := l.c
	if !l.h.NeedPlace || !l.due(&l.placeAt, l.placeGap) {
		return
	}
	displace := l.due(&l.displaceAt, l.displaceGap)
	start := c.clock()
	l.h.Place(c.now, displace)
	took := c.clock() - start
	if displace {
		l.displaceGap = min(l.pace(took, displaceShare), displaceMost)
	} else {
		l.placeGap = min(max(placeLeast, l.pace(took, placeShare)), placeMost)
	}
	l.loopSoon = true
}

// awaits tells whether the response to a host's report had better wait: for its
// bindings to be durable, or for the round that may give it some.
func (l *leadership) awaits(ref string) bool {
	if l.h.Pending(ref) {
		return true
	}
	m := l.h.Hosts[ref]
	return l.h.NeedPlace && m != nil && m.Changed
}

func (l *leadership) respond(m msgCheckin) {
	h := l.h.Hosts[m.report.Host]
	if h == nil || h.Tenure != m.report.Tenure || h.Tally != m.report.Tally || h.Deleting || !l.c.auth.Holds(l.c.now) {
		m.reply <- workerAnswer{code: 503, body: []byte("{}")}
		return
	}
	m.reply <- workerAnswer{code: 200, body: workerapi.Answer(l.token, l.h.Orders(m.report, l.c.now))}
}

// flush answers reports whose bindings are durable, or that waited enough.
func (l *leadership) flush(all bool) {
	if len(l.held) == 0 {
		return
	}
	keep := l.held[:0]
	for _, h := range l.held {
		if !all && l.awaits(h.msg.report.Host) && l.c.now < h.until {
			keep = append(keep, h)
			continue
		}
		l.respond(h.msg)
	}
	l.held = keep
}

// --- the cloud

func (l *leadership) gotFlavors(m msgFlavors) {
	c := l.c
	l.flavorsBusy = false
	if m.err != nil || len(m.builds) == 0 {
		slog.Debug("flavors", "err", m.err)
		l.cloudBad = c.now
		return
	}
	l.flavorsGot, l.cloudGood = true, c.now
	same := len(m.builds) == len(c.view.Flavors)
	for i := range m.builds {
		same = same && m.builds[i].Label == c.view.Flavors[i].Label && m.builds[i].Size() == c.view.Flavors[i].Size()
	}
	if !same && !c.busy[laneMisc] {
		// As many as a value bears: with some of them it can be told of most
		// submissions, after an outage of the cloud, that they can run.
		rec := state.FlavorsRecord{Builds: m.builds}
		for len(rec.Builds) > 0 && !c.fits(rec) {
			rec.Builds = rec.Builds[:len(rec.Builds)-1]
		}
		t := &state.Txn{Guards: []state.Guard{{Path: "leader", Stamp: c.view.Stamps["leader"]}, {Path: "flavors", Stamp: c.view.Stamps["flavors"]}},
			Then: []state.Op{{Set: "flavors", Value: rec}}}
		c.send(laneMisc, msgCommitted{txn: t, token: l.token})
	}
	if l.ready {
		l.h.SetFlavors(m.builds)
		l.loopSoon = true
	}
}

func (c *controller) gotFlavors(m msgFlavors) {
	if c.leading != nil {
		c.leading.gotFlavors(m)
	}
}

func (c *controller) listed(m msgListed) {
	l := c.leading
	if l == nil || !l.ready {
		return
	}
	l.listBusy = false
	if m.err != nil {
		l.cloudBad = c.now
		return
	}
	l.cloudGood = c.now
	l.seenLists++
	in := make(map[string]bool, len(m.machines))
	for i := range m.machines {
		x := &m.machines[i]
		in[x.Ref] = true
		if l.gone[x.Ref] != 0 {
			continue
		}
		h := l.h.Hosts[x.Ref]
		if h == nil {
			h = l.h.AddHost(x.Ref, x.Build, x.Yard, x.Loaners, c.now)
			h.RentedAt = m.sent - model.Seconds(x.HeldS)
			slog.Info("listed", "host", x.Ref, "build", x.Build, "status", x.Status)
		}
		h.Listed = true
		if x.Status == "failed" && !h.Failed {
			h.Failed = true
			slog.Info("failed", "host", x.Ref)
		}
	}
	for ref, h := range l.h.Hosts {
		if in[ref] || !h.Listed {
			delete(l.missing, ref)
			continue
		}
		l.missing[ref]++
	}
}

func (c *controller) rented(m msgRented) {
	l := c.leading
	if l == nil || l.token != m.term {
		return
	}
	delete(l.renting, m.rental.Hire)
	l.loopSoon = true
	if m.err != nil {
		if !errors.Is(m.err, cloud.ErrNoCapacity) {
			l.cloudBad = c.now
		}
		slog.Info("rent refused", "build", m.rental.Build, "yard", m.rental.Yard, "spot", m.rental.Loaners, "err", m.err)
		l.loop.Refuse(m.offer, c.now)
		return
	}
	l.cloudGood = c.now
	if len(m.hosts) < m.rental.Count {
		l.loop.Refuse(m.offer, c.now)
	}
	slog.Info("rented", "build", m.rental.Build, "yard", m.rental.Yard, "spot", m.rental.Loaners, "hosts", m.hosts)
	for _, ref := range m.hosts {
		if l.gone[ref] == 0 {
			l.h.AddHost(ref, m.rental.Build, m.rental.Yard, m.rental.Loaners, c.now)
		}
	}
}

func (c *controller) deleted(m msgDeleted) {
	l := c.leading
	if l == nil || l.token != m.term {
		return
	}
	if m.err != nil {
		l.cloudBad = c.now
		for _, ref := range m.refs {
			l.deleting[ref] = c.now + model.Second // again then
		}
		return
	}
	l.cloudGood = c.now
	for _, ref := range m.refs {
		delete(l.deleting, ref)
		l.gone[ref] = c.now
		l.h.HostGone(ref, "deleted", c.now)
		slog.Info("deleted", "host", ref)
	}
	l.loopSoon = true
}

// cloudOK tells whether the cloud answered last.
func (l *leadership) cloudOK() bool { return l.cloudGood > l.cloudBad }

// giveBack decides that a machine is returned. There is no way back: a deletion
// that got no answer may still be carried out.
func (l *leadership) giveBack(h *model.Host, why string) {
	if h.Deleting {
		return
	}
	h.Deleting = true
	l.deleting[h.Ref] = 0
	slog.Info("give back", "host", h.Ref, "build", h.Build, "why", why)
}

// lists is how many lists in a row have to lack a machine until it is taken to
// be gone. What has been listed stays listed until it is gone, but a list may be
// older than the one before it, so a young machine may be missing from one.
func (l *leadership) lists(h *model.Host) int {
	if l.c.now-h.RentedAt > 5*model.Seconds(l.c.set.Params.Cloud.ListLagS) {
		return 1
	}
	return 2
}

// deafAlone tells that few machines do not hear us. When many don't, the fault may
// be ours, as when this controller falls behind, and returning them all would be
// worse than any of it.
func (l *leadership) deafAlone() bool {
	mute := 0
	for _, h := range l.h.Hosts {
		if h.MuteSince != 0 {
			mute++
		}
	}
	return mute <= max(1, len(l.h.Hosts)/4)
}

// clean returns machines that are of no use, and sends deletions.
func (l *leadership) clean() {
	c := l.c
	alone := l.deafAlone()
	for ref, h := range l.h.Hosts {
		f := l.h.Flavors[h.Build]
		silent := c.now - max(h.Heard, h.RentedAt)
		switch {
		case h.Deleting:
		case h.Failed:
			l.giveBack(h, "failed")
		case l.missing[ref] >= l.lists(h) && silent > 2*l.h.P.Report:
			l.giveBack(h, "not listed any more")
		case h.Up && h.Lost && silent > l.h.LeaseOver()+5*model.Second:
			l.giveBack(h, "silent")
		case alone && l.h.Deaf(h, c.now):
			l.giveBack(h, "does not hear")
		case h.Leaving && len(h.Bound) == 0:
			l.giveBack(h, "not wanted")
		case !h.Up && f != nil && len(h.Bound) == 0 && c.now-h.RentedAt > max(model.Seconds(f.BootS*l.loop.P.DeadBoots), 60*model.Second):
			l.giveBack(h, "never came up")
		}
	}
	for ref, at := range l.gone {
		if c.now-at > forgetHost {
			delete(l.gone, ref)
		}
	}
	var refs []string
	for ref, at := range l.deleting {
		if at == 0 || at > 0 && c.now >= at {
			refs = append(refs, ref)
			if len(refs) == 100 {
				break
			}
		}
	}
	if len(refs) > 0 {
		for _, ref := range refs {
			l.deleting[ref] = -1 // on its way
		}
		c.io.remove(refs, l.token)
	}
}

// rentLoop is a round of the renting loop.
func (l *leadership) rentLoop() {
	c := l.c
	l.lastLoop, l.nextLoop, l.loopSoon = c.now, c.now+model.Seconds(float64(c.op.LoopPeriodS)), false
	if len(l.h.Flavors) == 0 || l.seenLists == 0 {
		// Before the first list it may seem that nothing is rented.
		l.loopSoon = true
		return
	}
	w := l.h.World(c.now)
	w.Sort()
	in := &slack.Input{Now: c.now, Hosts: w.Hosts, Flavors: l.h.Flavors, CloudOK: l.cloudOK()}
	for hire, r := range l.renting {
		for k := range r.Count {
			in.Hosts = append(in.Hosts, &model.Host{Ref: fmt.Sprintf("~%s-%d", hire, k), Build: r.Build, Yard: r.Yard, Spot: r.Loaners,
				Size: l.h.Flavors[r.Build].Size(), RentedAt: c.now, EmptyAt: c.now})
		}
	}
	room := map[string]model.Need{}
	for _, t := range c.teams {
		room[t.Name] = t.Max.Minus(w.Used[t.Name])
	}
	for _, j := range w.Jobs {
		l.sizes[j.Need] = c.now
		if len(j.Waiting) == 0 || c.now < j.NotBefore {
			continue
		}
		need := j.Need
		need.Mem = 0
		k := need.Count(room[j.Owner], len(j.Waiting))
		if j.Shape == model.Gang && k < len(j.Waiting) {
			continue
		}
		room[j.Owner] = room[j.Owner].Minus(need.Times(k))
		if k > 0 {
			in.Waiting = append(in.Waiting, slack.Demand{Job: j, Count: k})
		}
	}
	for z, at := range l.sizes {
		if c.now-at > forgetSize {
			delete(l.sizes, z)
			continue
		}
		in.Sizes = append(in.Sizes, z)
	}
	out := l.loop.Round(in)
	if l.cloudOK() || c.now-l.cloudBad > 2*model.Second {
		for _, r := range out.Rent {
			l.hires++
			// The token is this leader's alone, so no other process ever makes the
			// same name.
			hire := fmt.Sprintf("w%d-%d", l.token, l.hires)
			rental := cloud.Rental{Hire: hire, Build: r.Build, Yard: r.Yard, Loaners: r.Spot, Count: r.Count}
			l.renting[hire] = rental
			slog.Info("rent", "hire", hire, "build", r.Build, "yard", r.Yard, "spot", r.Spot, "count", r.Count, "homeless", out.Homeless)
			c.io.rent(msgRented{rental: rental, offer: slack.Offer{Build: r.Build, Yard: r.Yard, Spot: r.Spot}, term: l.token})
		}
	}
	for _, h := range out.GiveBack {
		l.giveBack(h, "idle")
	}
	if out.Homeless > 0 {
		l.loopSoon = true
	}
}
