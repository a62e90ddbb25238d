package spill

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// lendingModel is one job between a home cell and a guest, with everything round the two
// pure cores that the argument in docs/spill.md speaks of: durable records, holders that
// end, a link that holds, repeats and reorders, a cancellation that home's holder has not
// heard of, and a worker in the guest that answers can't reach.
type lendingModel struct {
	now    model.Micros
	t      *rapid.T
	record OutRecord // home's durable record
	in     *InRecord // the guest's durable record
	synced model.Micros

	home       *Lending // home's holder, nil: none
	bound      bool     // home has a task of it bound, on a durable record
	takingBack bool     // home's write is on its way
	guest      *Hosting // the guest's holder, nil: none
	offers     []uint64
	questions  []modelQuestion
	answers    []modelAnswer

	cancelledAt model.Micros // 0: not cancelled
	running     bool         // a task is on the guest's machine
	reachable   bool         // answers reach that machine's worker
	answered    model.Micros // when its last answered report was sent
}

type modelQuestion struct {
	sent   model.Micros
	report JobReport
}

type modelAnswer struct {
	modelQuestion
	verdict Verdict
	age     model.Micros
}

const (
	modelLease       = 10 * model.Second
	modelWorkerLease = 18 * model.Second
	modelCancel      = 31 * model.Second
	modelWithhold    = 6 * model.Second
	modelAuthority   = 8 * model.Second
)

// authority tells whether home's holder may answer.
func (m *lendingModel) authority() bool { return m.home != nil && m.now-m.synced < modelAuthority }

// lend is a new lending, under the next token.
func (m *lendingModel) lend() {
	m.record = OutRecord{Cell: "guest", Token: m.record.Token + 1, State: Lent, LeaseUs: int64(modelLease), WorkerLeaseUs: int64(modelWorkerLease)}
	m.home, m.bound = NewLending(m.record, m.now), false
}

// pass lets time go by; the worker reports and its lease runs out.
func (m *lendingModel) pass(d model.Micros) {
	for end := m.now + d; m.now < end; {
		m.now += model.Second / 4
		if m.reachable && m.guest != nil && m.in != nil {
			m.report()
		}
		if m.now-m.answered > modelWorkerLease {
			m.running = false
		}
		m.check()
	}
}

// report is the worker's: it is answered, answered with a stop, or not at all.
func (m *lendingModel) report() {
	switch m.guest.Phase(modelWithhold, m.now) {
	case MayRun:
		m.running, m.answered = true, m.now
		m.guest.Begun()
	case Stopped:
		m.running, m.answered = false, m.now
	case Withheld:
	}
}

func (m *lendingModel) check() {
	if m.running && m.bound {
		m.t.Fatalf("%.2f s: it runs in both cells", m.now.Seconds())
	}
	if m.running && m.cancelledAt != 0 && m.now > m.cancelledAt+modelCancel {
		m.t.Fatalf("%.2f s: it runs after its cancellation at %.2f s", m.now.Seconds(), m.cancelledAt.Seconds())
	}
}

// pick draws one of the messages on their way; it stays there, so that copies come.
func pick[T any](m *lendingModel, list []T) (item T, ok bool) {
	if len(list) == 0 {
		return item, false
	}
	return list[rapid.IntRange(max(0, len(list)-4), len(list)-1).Draw(m.t, "message")], true
}

// actions are what may happen at any moment.
func (m *lendingModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":              func(*rapid.T) { m.check() },
		"time passes":   func(*rapid.T) { m.pass(model.Micros(rapid.IntRange(1, 12).Draw(m.t, "quarters")) * model.Second / 4) },
		"long time":     func(*rapid.T) { m.pass(model.Micros(rapid.IntRange(5, 40).Draw(m.t, "seconds")) * model.Second) },
		"home syncs":    func(*rapid.T) { m.synced = m.now },
		"home offers":   func(*rapid.T) { m.offers = append(m.offers, m.record.Token) },
		"offer arrives": func(*rapid.T) { m.offerArrives() },
		"all goes well": func(*rapid.T) { // else most schedules come to nothing
			m.synced = m.now
			m.offers = append(m.offers, m.record.Token)
			m.offerArrives()
			m.guestAsks()
			m.homeAnswers()
			m.answerArrives()
			m.pass(model.Second / 2)
		},
		"the guest renews": func(*rapid.T) { // on what home knows
			m.guestAsks()
			m.homeAnswers()
			m.answerArrives()
		},
		"guest asks":     func(*rapid.T) { m.guestAsks() },
		"home answers":   func(*rapid.T) { m.homeAnswers() },
		"answer arrives": func(*rapid.T) { m.answerArrives() },
		"home's step":    func(*rapid.T) { m.homeStep() },
		"home takes back": func(*rapid.T) {
			m.synced = m.now
			m.homeStep()
		},
		"home commits": func(*rapid.T) { m.homeCommits() },
		"guest's step": func(*rapid.T) { m.guestStep() },
		"home recalls": func(*rapid.T) {
			if m.home != nil {
				m.home.Recall(m.now)
			}
		},
		"home's holder ends": func(*rapid.T) { m.home, m.takingBack = nil, false },
		"home takes over": func(*rapid.T) {
			if m.home == nil && m.record.State == Lent {
				m.home, m.synced = RestoredLending(m.record, m.now), m.now
			}
		},
		"guest's holder changes": func(*rapid.T) {
			if m.guest = nil; m.in != nil {
				m.guest = NewHosting(m.in, m.now)
			}
		},
		"the worker is cut off": func(*rapid.T) { m.reachable = !m.reachable },
		"cancelled": func(*rapid.T) {
			if m.cancelledAt == 0 && rapid.IntRange(0, 3).Draw(m.t, "asked") == 0 {
				m.cancelledAt = m.now
			}
		},
		"home lends again": func(*rapid.T) {
			if m.record.State == Home && m.cancelledAt == 0 {
				m.lend()
			}
		},
	}
}

// offerArrives has the guest take a job, as whyNot in internal/controller does: not while an
// older lending is there.
func (m *lendingModel) offerArrives() {
	token, ok := pick(m, m.offers)
	if !ok || m.in != nil || m.running {
		return
	}
	m.in = &InRecord{Home: "home", Token: token, State: Accepted}
	m.guest = NewHosting(m.in, m.now)
}

func (m *lendingModel) guestAsks() {
	if m.guest != nil {
		m.questions = append(m.questions, modelQuestion{m.now, JobReport{Token: m.guest.Token, Returned: m.guest.Report(m.running)}})
	}
}

func (m *lendingModel) homeAnswers() {
	q, ok := pick(m, m.questions)
	if !ok || !m.authority() && (m.home != nil || m.record.State == Lent) {
		return
	}
	a := modelAnswer{q, Verdict{Token: q.report.Token, Kind: Revoked, Lease: modelLease}, m.now - m.synced}
	switch {
	case m.cancelledAt != 0 && m.synced >= m.cancelledAt:
		a.verdict.Kind = Ended
	case m.home != nil:
		a.verdict.Kind = m.home.Answer("guest", &q.report, modelWorkerLease, modelCancel, m.now)
	}
	m.answers = append(m.answers, a)
}

func (m *lendingModel) answerArrives() {
	if a, ok := pick(m, m.answers); ok && m.guest != nil {
		m.guest.Heard(&a.verdict, a.report.Returned, a.sent, a.age)
	}
}

// homeStep has home's holder decide to take the job back.
func (m *lendingModel) homeStep() {
	if m.home != nil && m.authority() {
		if _, proven := m.home.TakeBack(m.now); proven {
			m.takingBack = true
		}
	}
}

// homeCommits makes that durable; then a task may be bound at home.
func (m *lendingModel) homeCommits() {
	if m.takingBack {
		m.record.State = Home
		m.home, m.takingBack = nil, false
		m.bound = m.cancelledAt == 0
	}
}

// guestStep returns and forgets what is to be.
func (m *lendingModel) guestStep() {
	if m.guest == nil || m.in == nil {
		return
	}
	m.guest.ReturnUnlessBegun(12*model.Second, m.now)
	switch {
	case m.running:
	case m.guest.Forgettable():
		m.in, m.guest = nil, nil
	case m.guest.ReturnRequested() && !m.guest.IsReturned() && !m.guest.IsOver():
		m.in.State = Returned
		m.guest.SetReturned()
	}
}

// Whatever happens between two cells and in whatever order, a job is never on machines in
// both, nor too long after its cancellation.
func TestLendingModel(t *testing.T) {
	ran := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &lendingModel{t: rt, now: model.Second, synced: model.Second, reachable: true, answered: -modelWorkerLease}
		m.lend()
		actions := m.actions()
		rt.Repeat(actions)
		if m.answered > 0 {
			ran++
		}
	})
	if ran == 0 {
		t.Error("the guest never ran it")
	}
}
