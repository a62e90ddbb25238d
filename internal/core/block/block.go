// Package block is the holder's view of the machines in its blocks and of the
// pieces on them: what is bound where, what a report proves, and which commands
// a worker is to get. It is pure: reports and times go in, commands and records
// to be written come out.
package block

import (
	"slices"
	"sort"

	"woadweir/internal/core/model"
	"woadweir/internal/core/place"
)

// Params are the settings that the holder needs.
type Params struct {
	Teams    map[string]*model.Team
	Report   model.Micros
	Lease    model.Micros
	GangWait model.Micros
	MaxValue int                       // bytes of a bundle
	Dense    bool                      // bundles are written in the dense form
	Waits    map[string][]model.Micros // by class: the times within which its tasks are to start, ascending
	Finish   map[string][]model.Micros // by class: the times within which its jobs are to be done, ascending
	// Deadlines are, by class, the multiples of their deadline by which its jobs are
	// to be done, ascending.
	Deadlines map[string][]float64
	// Guarantee is the time within which jobs within their team's guarantee are to
	// start, 0 if they are not counted one by one.
	Guarantee model.Micros
	Margin    model.Micros // added where the end of another's lease is waited for
}

// Piece is a task in a report.
type Piece struct {
	ID     model.PieceID
	Try    uint64
	Status model.Status
	Cause  string
	Stored bool
}

// Report is a worker's report.
type Report struct {
	Host, Addr, Build, Yard string
	Spot                    bool
	Tenure, Tally, Warrant  uint64
	Recall                  bool
	RecallIn                model.Micros
	Pieces                  []Piece
}

// Verdict is what to do with a report.
type Verdict uint8

// Verdicts: Taken reports get a 200, Stale ones are late copies, Deposed means
// that the worker knows a higher token than ours, and Greeted ones, of machines
// that nobody expected, are answered with our token alone: if it is no old copy,
// the next report will show that token.
const (
	Taken Verdict = iota
	Stale
	Deposed
	Greeted
)

// Order is a command to a worker.
type Order struct {
	Verb   string
	Piece  model.PieceID
	Try    uint64
	Leeway model.Micros
}

// Event is a decision worth a log line.
type Event struct {
	What, Host, Piece, Why string
	Try                    uint64
}

// Holder is the state of one block holder. It belongs to one actor.
type Holder struct {
	P       Params
	Token   uint64
	Jobs    map[string]*model.JobState
	Hosts   map[string]*model.Host
	Used    map[string]model.Need
	Flavors map[string]*model.Flavor
	Log     func(Event)
	// NeedPlace is set when something happened that may let waiting work start.
	NeedPlace bool

	seq    uint64
	queue  []string
	queued map[string]bool
	slots  []*slot
	liveAt map[string]int // entry -> the slot with its latest durable version
	copies map[string]int // entry -> how many slots hold some version of it
	ends   []string       // jobs whose end is to be written
	again  []Write        // bundles whose last write may yet be carried out late
	opened int            // bundles begun since the slots were last recounted
	labels map[string]int // bytes of names
	// firstTry is no larger than any attempt bound now, as of the last look.
	firstTry uint64
	runs     map[string]*runStat

	keeps map[*model.JobState][]place.Keep
	loads map[string]load // by class, of the last round
}

// New makes a holder with nothing in it.
func New(p Params, token uint64) *Holder {
	return &Holder{P: p, Token: token, firstTry: token << 20, Jobs: map[string]*model.JobState{}, Hosts: map[string]*model.Host{},
		Used: map[string]model.Need{}, Flavors: map[string]*model.Flavor{}, Log: func(Event) {},
		queued: map[string]bool{}, liveAt: map[string]int{}, copies: map[string]int{}, labels: map[string]int{}, runs: map[string]*runStat{}, keeps: map[*model.JobState][]place.Keep{}}
}

// NextTry gives an attempt number that no start has ever carried: the token is
// this grant's alone, and grows with every grant.
func (h *Holder) NextTry() uint64 {
	h.seq++
	return h.Token<<20 + h.seq
}

// AddJob makes a job known that was accepted age ago, with the tasks that are
// already done.
func (h *Holder) AddJob(j *model.Job, done model.Set, ended string, now, age model.Micros) *model.JobState {
	if js := h.Jobs[j.Ref]; js != nil {
		return js
	}
	js := &model.JobState{Job: j, Done: done, Ended: ended, Bound: map[int][]*model.Bound{}, SeenAt: now - age, IdleAt: now - age}
	js.Parts = make([]model.Versions, 1)
	if h.parted(j) && ended == "" {
		// What is done may stand in a whole that is too large to be written again.
		h.split(js)
	}
	if ended == "" {
		js.Waiting = make([]int, 0, j.Pieces-done.Len())
		for i := range j.Pieces {
			if !done.Has(i) {
				js.Waiting = append(js.Waiting, i)
			}
		}
		if done.Len() >= j.Pieces {
			h.wantEnd(js)
		}
	}
	h.Jobs[j.Ref] = js
	h.NeedPlace = true
	h.Log(Event{What: "job", Piece: j.Ref, Why: j.Class + " of " + j.Owner})
	return js
}

// AddHost makes a machine known.
func (h *Holder) AddHost(ref, build, yard string, spot bool, now model.Micros) *model.Host {
	if m := h.Hosts[ref]; m != nil {
		return m
	}
	m := &model.Host{Ref: ref, Build: build, Yard: yard, Spot: spot, Bound: map[model.PieceID]*model.Bound{},
		Answered: now, RentedAt: now, EmptyAt: now}
	if f := h.Flavors[build]; f != nil {
		m.Size = f.Size()
	}
	h.Hosts[ref] = m
	return m
}

// SetFlavors brings the machine types up to date.
func (h *Holder) SetFlavors(fs []model.Flavor) {
	for i := range fs {
		h.Flavors[fs[i].Label] = &fs[i]
	}
	for _, m := range h.Hosts {
		if f := h.Flavors[m.Build]; f != nil {
			m.Size = f.Size()
		}
	}
	h.NeedPlace = true
}

// Restore books a binding that an earlier holder made durable.
func (h *Holder) Restore(js *model.JobState, n int, try uint64, m *model.Host) {
	b := h.book(js, n, m, try, m.Answered)
	b.Ver = m.DurableVer
	m.Stored = true
	if js.Shape == model.Gang && try > js.Try {
		js.Try = try
	}
}

func (h *Holder) book(js *model.JobState, n int, m *model.Host, try uint64, now model.Micros) *model.Bound {
	id := model.PieceID{Job: js.Ref, N: n}
	b := &model.Bound{ID: id, Try: try, Job: js.Job, Host: m, At: now}
	m.Bound[id] = b
	weigh(b, 1)
	js.Bound[n] = append(js.Bound[n], b)
	if i, ok := slices.BinarySearch(js.Waiting, n); ok {
		js.Waiting = slices.Delete(js.Waiting, i, i+1)
	}
	m.Used = m.Used.Plus(js.Need)
	h.Used[js.Owner] = h.Used[js.Owner].Plus(js.Need)
	if f := h.Flavors[m.Build]; f != nil {
		if !m.HasImage(js.Image) && f.FetchGBps > 0 {
			if m.ReadyAt == nil {
				m.ReadyAt = map[string]model.Micros{}
			}
			m.ReadyAt[js.Image] = now + max(h.P.Report/2, m.Fetching(now)) + model.Seconds(js.ImageGB/f.FetchGBps)
		}
		b.Fetch = max(0, m.ReadyAt[js.Image]-now)
		m.TouchImage(js.Image, js.ImageGB, f.CacheGB)
	}
	return b
}

// bind decides that a piece goes to a host. The start may be sent only once the
// record is durable.
func (h *Holder) bind(js *model.JobState, n int, m *model.Host, try uint64, now model.Micros) {
	b := h.book(js, n, m, try, now)
	h.touch(m)
	b.Ver = m.Ver
	if js.Shape == model.Gang {
		js.Try, js.Broken = try, false
	}
	h.Log(Event{What: "bind", Host: m.Ref, Piece: b.ID.String(), Try: try})
}

// unbind ends a binding. The caller has proof that the attempt is not on the
// machine and can never start there.
func (h *Holder) unbind(b *model.Bound, proof string, now model.Micros) {
	m := b.Host
	if m.Bound[b.ID] != b {
		return
	}
	delete(m.Bound, b.ID)
	weigh(b, -1)
	m.Used = m.Used.Minus(b.Job.Need)
	m.Changed = true
	if len(m.Bound) == 0 {
		m.EmptyAt = now
	}
	h.Used[b.Job.Owner] = h.Used[b.Job.Owner].Minus(b.Job.Need)
	js := h.Jobs[b.ID.Job]
	js.Bound[b.ID.N] = slices.DeleteFunc(js.Bound[b.ID.N], func(x *model.Bound) bool { return x == b })
	if len(js.Bound[b.ID.N]) == 0 {
		delete(js.Bound, b.ID.N)
		js.IdleAt = now
		if js.Ended == "" && !js.Done.Has(b.ID.N) {
			if i, ok := slices.BinarySearch(js.Waiting, b.ID.N); !ok {
				js.Waiting = slices.Insert(js.Waiting, i, b.ID.N)
			}
		}
	}
	if !js.Done.Has(b.ID.N) || js.Ended != "" {
		// It may be bound elsewhere next, so the record of its leaving has to be
		// durable first: the queue is first in, first out. A completed piece is
		// never bound again, and its leaving can wait for the next write.
		h.touch(m)
	}
	h.Log(Event{What: "unbind", Host: m.Ref, Piece: b.ID.String(), Try: b.Try, Why: proof})
	if js.Shape == model.Gang && js.Ended == "" && !js.EndWanted && len(js.Bound) > 0 && !js.Broken {
		h.breakGang(js, "mate "+b.ID.String()+" gone", now)
	}
	h.NeedPlace = true
	h.forget(js)
}

// breakGang ends what is left of a gang's attempt, so that the next can begin.
func (h *Holder) breakGang(js *model.JobState, why string, now model.Micros) {
	js.Broken = true
	for _, bs := range js.Bound {
		for _, b := range bs {
			h.stop(b, 0, why, now)
		}
	}
}

func (h *Holder) stop(b *model.Bound, leeway model.Micros, why string, now model.Micros) {
	if b.Stop && leeway >= b.Leeway {
		return
	}
	if !b.Stop {
		b.StopAt = now
		h.Log(Event{What: "stop", Host: b.Host.Ref, Piece: b.ID.String(), Try: b.Try, Why: why})
	}
	b.Stop, b.Leeway, b.Why = true, leeway, why
}

// EndJob takes note of a job's durable end.
func (h *Holder) EndJob(ref, status string, now model.Micros) {
	js := h.Jobs[ref]
	if js == nil || js.Ended != "" {
		return
	}
	js.Ended, js.EndWanted, js.Waiting = status, false, nil
	for _, bs := range js.Bound {
		for _, b := range bs {
			h.stop(b, 0, "job "+status, now)
		}
	}
	h.forget(js)
}

// forget drops an ended job once nothing of it is bound: its end is kept in the
// state service, for ever.
func (h *Holder) forget(js *model.JobState) {
	if js.Ended != "" && len(js.Bound) == 0 {
		delete(h.Jobs, js.Ref)
	}
}

func (h *Holder) wantEnd(js *model.JobState) {
	if js.Ended == "" && !js.EndWanted {
		js.EndWanted = true
		js.Waiting = nil
		h.ends = append(h.ends, js.Ref)
	}
}

// Take takes a report in. The answer is made by Orders, after what the report
// made possible has been decided.
func (h *Holder) Take(r *Report, now model.Micros) Verdict {
	if r.Warrant > h.Token {
		return Deposed
	}
	m := h.Hosts[r.Host]
	if m == nil && r.Warrant != h.Token {
		// Perhaps the copy of a report of a machine that is long gone.
		return Greeted
	}
	if m == nil {
		m = h.AddHost(r.Host, r.Build, r.Yard, r.Spot, now)
		h.Log(Event{What: "appeared", Host: r.Host})
	}
	if m.Deleting {
		return Stale
	}
	if r.Tenure < m.Tenure || r.Tenure == m.Tenure && r.Tally <= m.Tally {
		// A late copy must not move knowledge back.
		return Stale
	}
	h.judgeHearing(m, r, now)
	m.Changed = m.Changed && m.Hears // what a report of a deaf machine made room for waits
	if !m.Up && r.Warrant == h.Token {
		m.Up, m.Changed, h.NeedPlace = true, true, true
		h.Log(Event{What: "up", Host: m.Ref})
	}
	m.Lost = false
	m.Addr, m.Tenure, m.Tally, m.Heard, m.Answered, m.Warrant = r.Addr, r.Tenure, r.Tally, now, now, r.Warrant
	if r.Recall && !m.Recall {
		m.Recall, m.RecallAt = true, now+r.RecallIn
		h.drain(m, now)
	}
	seen := make(map[model.PieceID]bool, len(r.Pieces))
	for i := range r.Pieces {
		p := &r.Pieces[i]
		b := m.Bound[p.ID]
		if b != nil && b.Try == p.Try {
			seen[p.ID] = true
			h.progress(b, p, now)
		} else if p.Status == model.Ended && p.Cause == "done" {
			h.complete(p.ID, nil, now)
		}
	}
	h.judgeSpeed(m, now)
	for id, b := range m.Bound {
		if seen[id] || r.Warrant != h.Token {
			// Under an older token an earlier holder's start may still be on its way.
			continue
		}
		sent := b.SentTenure != 0 || b.SentTally != 0
		switch {
		case b.Seen:
			h.unbind(b, "newer report without it", now)
		case b.Stop || h.Jobs[id.Job].Done.Has(id.N) || h.Jobs[id.Job].Ended != "":
			// Never started by us, or the response was dropped: a worker acts on no
			// response but the one to its last report, and this report is newer.
			h.unbind(b, "newer report without it, not wanted", now)
		case sent && now-b.At > h.P.GangWait:
			h.unbind(b, "start never took", now)
		}
	}
	return Taken
}

// judgeHearing tells from a report whether our answer to the one before reached
// the worker: it bears our token, comes as soon as after an answer, in the same
// session, and shows what that answer started. One whose answer got lost goes to
// another controller first, after a pause. A machine whose reports arrive while
// nothing reaches it ends its tasks with its lease, session after session.
func (h *Holder) judgeHearing(m *model.Host, r *Report, now model.Micros) {
	was := m.Hears
	m.Hears = r.Warrant == h.Token && r.Tenure == m.Tenure && now-m.Heard <= h.P.Report*3/2+model.Second
	if m.Hears {
		for _, b := range m.Bound {
			if b.SentTenure == m.Tenure && b.SentTally == m.Tally && !slices.ContainsFunc(r.Pieces, func(p Piece) bool { return p.ID == b.ID && p.Try == b.Try }) {
				m.Hears = false
				break
			}
		}
	}
	switch {
	case m.Hears:
		m.MuteSince = 0
	case m.MuteSince == 0:
		m.MuteSince = now
	}
	if m.Hears && !was {
		m.Changed, h.NeedPlace = true, true
	}
}

// Deaf tells that a machine goes on reporting, but has not heard us for longer
// than its tasks can have lived without an answer.
func (h *Holder) Deaf(m *model.Host, now model.Micros) bool {
	return m.MuteSince != 0 && now-m.MuteSince > h.LeaseOver()+2*h.P.Report && now-m.Heard < h.LeaseOver()
}

// progress takes the reported state of a bound piece.
func (h *Holder) progress(b *model.Bound, p *Piece, now model.Micros) {
	m := b.Host
	b.Seen = true
	if b.Status != model.Running && p.Status == model.Running {
		b.RunAt, h.Jobs[b.ID.Job].Begun = now, true
		h.Log(Event{What: "runs", Host: m.Ref, Piece: b.ID.String(), Try: b.Try})
	}
	b.Status = p.Status
	if p.Status == model.Running || p.Status == model.Gathering || p.Cause == "done" {
		delete(m.ReadyAt, b.Job.Image)
	}
	if p.Status != model.Ended {
		return
	}
	if m.Warrant != h.Token {
		// The report may be an old copy: the same attempt may have been started
		// again since. A completion is a fact all the same.
		if p.Cause == "done" {
			h.complete(p.ID, b, now)
		}
		return
	}
	js := h.Jobs[b.ID.Job]
	switch p.Cause {
	case "done":
		h.complete(p.ID, b, now)
		m.Errors = 0
		h.unbind(b, "ended: done", now)
		return
	case "error":
		h.failed(js, m, now)
	case "full", "in_use", "unknown":
		js.NotBefore = max(js.NotBefore, now+model.Second)
	}
	h.unbind(b, "ended: "+p.Cause, now)
}

// complete takes note of a finished task.
func (h *Holder) complete(id model.PieceID, b *model.Bound, now model.Micros) {
	js := h.Jobs[id.Job]
	if js == nil || js.Ended != "" || id.N >= js.Pieces {
		return
	}
	if b != nil && b.RunAt != 0 && b.RunAt > b.At {
		h.learn(js.Class, now-b.RunAt)
	}
	if js.Shape == model.Gang {
		// If one task of a gang is done, all of them are.
		h.wantEnd(js)
		return
	}
	if !js.Done.Add(id.N) {
		return
	}
	if i, ok := slices.BinarySearch(js.Waiting, id.N); ok {
		js.Waiting = slices.Delete(js.Waiting, i, i+1)
	}
	if js.Done.Len() >= js.Pieces {
		h.wantEnd(js)
		return
	}
	h.pushDone(js, id.N)
}

// failed judges whether the machine or the job is at fault. Mostly it is the
// machine; a job that fails on several machines is itself to blame and must not
// spoil more of them.
func (h *Holder) failed(js *model.JobState, m *model.Host, now model.Micros) {
	if js.ErrorHosts == nil {
		js.ErrorHosts = map[string]bool{}
	}
	js.ErrorHosts[m.Ref] = true
	if len(js.ErrorHosts) >= 3 && js.Done.Len() == 0 {
		back := model.Second << min(len(js.ErrorHosts), 6)
		js.NotBefore = max(js.NotBefore, now+back)
		return
	}
	if m.ErrorJobs == nil {
		m.ErrorJobs = map[string]bool{}
	}
	m.ErrorJobs[js.Ref] = true
	m.Errors++
	if !m.Sick && (len(m.ErrorJobs) >= 2 || m.Errors >= 2) {
		m.Sick, m.Leaving = true, true
		h.Log(Event{What: "sick", Host: m.Ref, Why: "tasks fail on it"})
		for _, b := range m.Bound {
			if b.Status != model.Running {
				h.stop(b, 0, "machine is sick", now)
			}
		}
	}
}

// drain moves work off a spot machine that is about to be taken: what can save
// does so in time, and what cannot finish in time starts anew elsewhere.
func (h *Holder) drain(m *model.Host, now model.Micros) {
	h.Log(Event{What: "recall", Host: m.Ref})
	left := m.RecallAt - now
	for _, b := range m.Bound {
		js := h.Jobs[b.ID.Job]
		if js.Shape == model.Gang {
			for _, bs := range js.Bound {
				for _, g := range bs {
					h.stop(g, h.leeway(js, left), "spot notice", now)
				}
			}
			js.Broken = true
			continue
		}
		rest := h.Remaining(b, now)
		if b.Status == model.Running && (rest < left || js.Keepsake == 0 && rest < left*3/2) {
			continue
		}
		h.stop(b, h.leeway(js, left), "spot notice", now)
	}
}

func (h *Holder) leeway(js *model.JobState, left model.Micros) model.Micros {
	if js.Keepsake == 0 || left < js.Stow {
		return 0
	}
	return max(js.Stow, left-model.Second)
}

// Orders makes the commands of the response to the report that was taken last
// from this host. The caller sends them at once or not at all.
func (h *Holder) Orders(r *Report, now model.Micros) []Order {
	m := h.Hosts[r.Host]
	if m == nil {
		return nil
	}
	var orders []Order
	for i := range r.Pieces {
		p := &r.Pieces[i]
		if b := m.Bound[p.ID]; b != nil && b.Try == p.Try {
			if b.Stop && p.Status != model.Ended {
				if b.StopSent == 0 {
					b.StopSent = now
				}
				if !(p.Status == model.Saving && b.Leeway > 0) {
					orders = append(orders, Order{Verb: "stop", Piece: p.ID, Try: p.Try, Leeway: b.Leeway})
				}
			}
			continue
		}
		if p.Status != model.Ended {
			// Nothing durable says that it may be here.
			orders = append(orders, Order{Verb: "stop", Piece: p.ID, Try: p.Try})
			continue
		}
		if js := h.Jobs[p.ID.Job]; p.Cause == "done" && js != nil && js.Ended == "" &&
			(js.EndWanted || !settled(js, p.ID.N)) {
			continue // its completion is not durable yet: it must not be forgotten
		}
		orders = append(orders, Order{Verb: "clear", Piece: p.ID, Try: p.Try})
	}
	reported := make(map[model.PieceID]uint64, len(r.Pieces))
	for i := range r.Pieces {
		reported[r.Pieces[i].ID] = r.Pieces[i].Try
	}
	var starts []*model.Bound
	for id, b := range m.Bound {
		js := h.Jobs[id.Job]
		if b.Ver > m.DurableVer || b.Stop || b.Seen || js.Ended != "" || js.EndWanted || js.Done.Has(id.N) || reported[id] == b.Try {
			continue
		}
		if js.Shape == model.Gang && (js.Broken || !h.gangDurable(js) || h.early(js, b)) {
			continue
		}
		starts = append(starts, b)
	}
	sort.Slice(starts, func(i, j int) bool {
		a, b := starts[i], starts[j]
		return a.Job.Rank > b.Job.Rank || a.Job.Rank == b.Job.Rank && a.Try < b.Try
	})
	for _, b := range starts {
		b.SentTenure, b.SentTally = r.Tenure, r.Tally
		orders = append(orders, Order{Verb: "start", Piece: b.ID, Try: b.Try})
	}
	return orders
}

// gangDurable tells whether every binding of the attempt is durable: none
// starts before all may.
func (h *Holder) gangDurable(js *model.JobState) bool {
	if len(js.Bound) != js.Pieces {
		return false
	}
	for _, bs := range js.Bound {
		for _, b := range bs {
			if b.Ver > b.Host.DurableVer {
				return false
			}
		}
	}
	return true
}

// early tells that a gang's task had better start later: others of the gang have
// an image to fetch that may take longer than a task waits for its gang. It
// starts when theirs is there. The order among them is by the length of the
// fetch, so that no two wait for each other.
func (h *Holder) early(js *model.JobState, b *model.Bound) bool {
	for _, bs := range js.Bound {
		for _, o := range bs {
			if o.Fetch-b.Fetch > h.P.GangWait*2/3 && o.Status < model.Gathering {
				return true
			}
		}
	}
	return false
}

// Pending tells whether the host has a binding that is not durable yet.
func (h *Holder) Pending(ref string) bool {
	m := h.Hosts[ref]
	return m != nil && m.Ver > m.DurableVer
}

// HostGone unbinds everything on a machine whose deletion was answered.
func (h *Holder) HostGone(ref, proof string, now model.Micros) {
	m := h.Hosts[ref]
	if m == nil {
		return
	}
	for _, b := range m.Bound {
		h.unbind(b, proof, now)
	}
	delete(h.Hosts, ref)
	if m.Stored || m.Ver > 0 {
		h.push(HostEntry + ref)
	}
}

// LeaseOver is how long after the last possible answer a worker surely has
// killed everything.
func (h *Holder) LeaseOver() model.Micros { return h.P.Lease + h.P.Lease/500 + h.P.Margin }

// Tick unbinds what was on machines whose lease has surely run out.
func (h *Holder) Tick(now model.Micros) {
	for _, m := range h.Hosts {
		if now-m.Answered <= h.LeaseOver() {
			continue
		}
		for _, b := range m.Bound {
			h.unbind(b, "worker's lease is over", now)
		}
		if m.Up && !m.Lost {
			m.Lost = true
			h.Log(Event{What: "lost", Host: m.Ref})
		}
	}
	for _, js := range h.Jobs {
		h.checkGang(js, now)
	}
	// Time alone makes jobs late.
	h.NeedPlace = true
}

// checkGang ends an attempt that has not come together in all the time that its
// images and the waiting for each other can have taken: whatever holds it up,
// its machines must not stand idle for it for ever.
func (h *Holder) checkGang(js *model.JobState, now model.Micros) {
	if js.Shape != model.Gang || js.Broken || js.Ended != "" || js.EndWanted || len(js.Bound) == 0 {
		return
	}
	fetch, since := model.Micros(0), now
	for _, bs := range js.Bound {
		for _, b := range bs {
			if b.Status >= model.Running {
				return
			}
			fetch, since = max(fetch, b.Fetch), min(since, b.At)
		}
	}
	if now-since > 3*fetch+2*h.P.GangWait+h.LeaseOver() {
		h.breakGang(js, "it does not come together", now)
	}
}

// World is what a placement round looks at.
func (h *Holder) World(now model.Micros) *place.World {
	w := &place.World{Now: now, Guarantee: h.P.Guarantee, Silent: 3 * h.P.Report, StopTime: h.P.Report * 6 / 5, Teams: h.P.Teams, Used: h.Used, NextTry: h.NextTry, Flavors: h.Flavors, Slots: h.Slots,
		Hosts: make([]*model.Host, 0, len(h.Hosts)), Jobs: make([]*model.JobState, 0, len(h.Jobs))}
	for _, m := range h.Hosts {
		w.Hosts = append(w.Hosts, m)
	}
	var gpus model.Milli
	var beside model.Need
	wanted := map[string]model.Milli{}
	for _, j := range h.Jobs {
		if j.Ended != "" {
			continue
		}
		w.Jobs = append(w.Jobs, j)
		if g := j.Need.GPUs; g > 0 {
			n := len(j.Waiting) + j.BoundCount()
			gpus += g * model.Milli(n)
			beside = beside.Plus(j.Need.Times(n))
			if t := h.P.Teams[j.Owner]; t != nil {
				room := t.Max.Minus(h.Used[j.Owner])
				need := j.Need
				need.Mem = 0
				wanted[j.Owner] += g * model.Milli(need.Count(room, len(j.Waiting)))
			}
		}
	}
	if gpus > 0 {
		w.PerGPU = model.Need{Cores: beside.Cores * 1000 / gpus, Mem: beside.Mem * 1000 / gpus}
	}
	for owner, g := range wanted {
		// Besides what waits, some more may come: half of what is in use.
		if t := h.P.Teams[owner]; t != nil {
			used := h.Used[owner].GPUs
			w.GPUs += max(0, min(t.Max.GPUs-used, g+used/2))
		}
	}
	w.Stop = func(b *model.Bound, why string) {
		leeway := model.Micros(0)
		if b.Job.Keepsake > 0 {
			leeway = b.Job.Stow + model.Second
		}
		h.stop(b, leeway, why, now)
	}
	w.Patience = func(j *model.JobState) model.Micros {
		if ps := h.P.Waits[j.Class]; len(ps) > 0 {
			p := ps[0]
			if p < 60*model.Second {
				return p / 4
			}
			return p * 2 / 5
		}
		if j.Due > 0 && j.Rank >= model.Urgent {
			// What is urgent by its deadline alone has what is left of it after its run.
			return min(180*model.Second, max(0, j.Due-h.Expected(j.Job))/4)
		}
		return 180 * model.Second
	}
	h.drains(w.Jobs, now)
	w.Rate = func(class string) float64 { return h.loads[class].rate }
	w.Left = func(b *model.Bound) model.Micros { return h.Remaining(b, now) }
	w.Due = func(j *model.JobState) model.Micros { return h.due(j, now) }
	w.Bind = func(j *model.JobState, n int, m *model.Host, try uint64) { h.bind(j, n, m, try, now) }
	return w
}

// Place runs a placement round. One that displaces also looks for work to be
// stopped, which takes longer.
func (h *Holder) Place(now model.Micros, displace bool) {
	h.NeedPlace = false
	w := h.World(now)
	w.Keeps, w.Displace = h.keeps, displace
	w.Round()
}

// Settle drops what a takeover found ended already, once everything has been
// restored. Where a task is bound more than once, the earlier holder had proof
// that the older attempts were gone, and only their leaving was not written any
// more: they must never be started again beside the newest.
func (h *Holder) Settle() {
	for _, js := range h.Jobs {
		for _, bs := range js.Bound {
			newest := uint64(0)
			for _, b := range bs {
				newest = max(newest, b.Try)
			}
			for _, b := range bs {
				switch {
				case js.Ended != "":
					h.stop(b, 0, "job "+js.Ended, b.Host.Answered)
				case b.Try < newest:
					h.stop(b, 0, "a newer attempt is bound", b.Host.Answered)
				}
			}
		}
		if js.Shape == model.Gang && len(js.Bound) > 0 && len(js.Bound) < js.Pieces && js.Ended == "" {
			h.breakGang(js, "attempt is not whole", 0)
		}
		h.forget(js)
	}
	h.oldest()
}
