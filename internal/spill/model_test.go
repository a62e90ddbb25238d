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
	now      model.Micros
	t        *rapid.T
	record   OutRecord // home's durable record
	inRecord *InRecord // the guest's durable record
	syncedAt model.Micros

	lent       *LentJob     // home's holder, nil: none
	bound      bool         // home has a task of it bound, on a durable record
	takingBack bool         // home's write is on its way
	borrowed   *BorrowedJob // the guest's holder, nil: none
	offers     []uint64
	renewals   []modelRenewal
	answers    []modelAnswer

	cancelledAt     model.Micros // 0: not cancelled
	running         bool         // a task is on the guest's machine
	workerReachable bool         // answers reach that machine's worker
	answeredAt      model.Micros // when its last answered report was sent
}

type modelRenewal struct {
	sent   model.Micros
	report JobReport
}

type modelAnswer struct {
	modelRenewal
	verdict Verdict
	age     model.Micros
}

const executionCell = "execution"

const (
	modelLease            = 10 * model.Second
	modelWorkerLease      = 18 * model.Second
	modelCancelTime       = 31 * model.Second
	modelWithholdTime     = 6 * model.Second
	modelAuthorityTimeout = 8 * model.Second
)

// hasAuthority tells whether home's holder may answer.
func (m *lendingModel) hasAuthority() bool {
	return m.lent != nil && m.now-m.syncedAt < modelAuthorityTimeout
}

// lend is a new lending, under the next token.
func (m *lendingModel) lend() {
	m.record = OutRecord{Cell: executionCell, Token: m.record.Token + 1, State: Lent, LeaseUs: int64(modelLease), WorkerLeaseUs: int64(modelWorkerLease)}
	m.lent, m.bound = NewLentJob(m.record, m.now), false
}

// advance lets time go by; the worker reports and its lease runs out.
func (m *lendingModel) advance(duration model.Micros) {
	for end := m.now + duration; m.now < end; {
		m.now += model.Second / 4
		if m.workerReachable && m.borrowed != nil && m.inRecord != nil {
			m.reportWorker()
		}
		if m.now-m.answeredAt > modelWorkerLease {
			m.running = false
		}
		m.checkInvariants()
	}
}

// reportWorker is the worker's: it is answered, answered with a stop, or not at all.
func (m *lendingModel) reportWorker() {
	switch m.borrowed.Permission(modelWithholdTime, m.now) {
	case MayRun:
		m.running, m.answeredAt = true, m.now
		m.borrowed.MarkStarted()
	case Stopped:
		m.running, m.answeredAt = false, m.now
	case Withheld:
	}
}

func (m *lendingModel) checkInvariants() {
	if m.running && m.bound {
		m.t.Fatalf("%.2f s: it runs in both cells", m.now.Seconds())
	}
	if m.running && m.cancelledAt != 0 && m.now > m.cancelledAt+modelCancelTime {
		m.t.Fatalf("%.2f s: it runs after its cancellation at %.2f s", m.now.Seconds(), m.cancelledAt.Seconds())
	}
}

// drawMessage draws one of the messages on their way; it stays there, so that copies come.
func drawMessage[T any](m *lendingModel, list []T) (item T, ok bool) {
	if len(list) == 0 {
		return item, false
	}
	return list[rapid.IntRange(max(0, len(list)-4), len(list)-1).Draw(m.t, "message")], true
}

// actions are what may happen at any moment.
func (m *lendingModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.checkInvariants() },
		"time passes": func(*rapid.T) {
			m.advance(model.Micros(rapid.IntRange(1, 12).Draw(m.t, "quarters")) * model.Second / 4)
		},
		"long time":     func(*rapid.T) { m.advance(model.Micros(rapid.IntRange(5, 40).Draw(m.t, "seconds")) * model.Second) },
		"home syncs":    func(*rapid.T) { m.syncedAt = m.now },
		"home offers":   func(*rapid.T) { m.offers = append(m.offers, m.record.Token) },
		"offer arrives": func(*rapid.T) { m.receiveOffer() },
		"all goes well": func(*rapid.T) { // else most schedules come to nothing
			m.syncedAt = m.now
			m.offers = append(m.offers, m.record.Token)
			m.receiveOffer()
			m.sendRenewal()
			m.answerRenewal()
			m.receiveAnswer()
			m.advance(model.Second / 2)
		},
		"the guest renews": func(*rapid.T) { // on what home knows
			m.sendRenewal()
			m.answerRenewal()
			m.receiveAnswer()
		},
		"guest asks":     func(*rapid.T) { m.sendRenewal() },
		"home answers":   func(*rapid.T) { m.answerRenewal() },
		"answer arrives": func(*rapid.T) { m.receiveAnswer() },
		"home's step":    func(*rapid.T) { m.stepHome() },
		"home takes back": func(*rapid.T) {
			m.syncedAt = m.now
			m.stepHome()
		},
		"home commits": func(*rapid.T) { m.commitHome() },
		"guest's step": func(*rapid.T) { m.stepExecutionCell() },
		"home recalls": func(*rapid.T) {
			if m.lent != nil {
				m.lent.Recall(m.now)
			}
		},
		"home's holder ends": func(*rapid.T) { m.lent, m.takingBack = nil, false },
		"home takes over": func(*rapid.T) {
			if m.lent == nil && m.record.State == Lent {
				m.lent, m.syncedAt = RestoreLentJob(m.record, m.now), m.now
			}
		},
		"guest's holder changes": func(*rapid.T) {
			if m.borrowed = nil; m.inRecord != nil {
				m.borrowed = NewBorrowedJob(m.inRecord, m.now)
			}
		},
		"the worker is cut off": func(*rapid.T) { m.workerReachable = !m.workerReachable },
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
func (m *lendingModel) receiveOffer() {
	token, ok := drawMessage(m, m.offers)
	if !ok || m.inRecord != nil || m.running {
		return
	}
	m.inRecord = &InRecord{Home: "home", Token: token, State: Accepted}
	m.borrowed = NewBorrowedJob(m.inRecord, m.now)
}

func (m *lendingModel) sendRenewal() {
	if m.borrowed != nil {
		m.renewals = append(m.renewals, modelRenewal{m.now, JobReport{Token: m.borrowed.Token, Returned: m.borrowed.ReportsReturned(m.running)}})
	}
}

func (m *lendingModel) answerRenewal() {
	renewal, ok := drawMessage(m, m.renewals)
	if !ok || !m.hasAuthority() && (m.lent != nil || m.record.State == Lent) {
		return
	}
	answer := modelAnswer{renewal, Verdict{Token: renewal.report.Token, Kind: Revoked, Lease: modelLease}, m.now - m.syncedAt}
	switch {
	case m.cancelledAt != 0 && m.syncedAt >= m.cancelledAt:
		answer.verdict.Kind = Ended
	case m.lent != nil:
		answer.verdict.Kind = m.lent.AnswerRenewal(executionCell, &renewal.report, modelWorkerLease, modelCancelTime, m.now)
	}
	m.answers = append(m.answers, answer)
}

func (m *lendingModel) receiveAnswer() {
	if answer, ok := drawMessage(m, m.answers); ok && m.borrowed != nil {
		m.borrowed.ApplyVerdict(&answer.verdict, answer.report.Returned, answer.sent, answer.age)
	}
}

// homeStep has home's holder decide to take the job back.
func (m *lendingModel) stepHome() {
	if m.lent != nil && m.hasAuthority() {
		if _, proven := m.lent.TakeBack(m.now); proven {
			m.takingBack = true
		}
	}
}

// homeCommits makes that durable; then a task may be bound at home.
func (m *lendingModel) commitHome() {
	if m.takingBack {
		m.record.State = Home
		m.lent, m.takingBack = nil, false
		m.bound = m.cancelledAt == 0
	}
}

// guestStep returns and forgets what is to be.
func (m *lendingModel) stepExecutionCell() {
	if m.borrowed == nil || m.inRecord == nil {
		return
	}
	m.borrowed.ReturnUnlessStarted(12*model.Second, m.now)
	switch {
	case m.running:
	case m.borrowed.CanForget():
		m.inRecord, m.borrowed = nil, nil
	case m.borrowed.IsReturnRequested() && !m.borrowed.IsReturned() && !m.borrowed.IsLendingOver():
		m.inRecord.State = Returned
		m.borrowed.SetReturned()
	}
}

// Whatever happens between two cells and in whatever order, a job is never on machines in
// both, nor too long after its cancellation.
func TestLendingModel(t *testing.T) {
	schedulesWithRun := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &lendingModel{t: rt, now: model.Second, syncedAt: model.Second, workerReachable: true, answeredAt: -modelWorkerLease}
		m.lend()
		actions := m.actions()
		rt.Repeat(actions)
		if m.answeredAt > 0 {
			schedulesWithRun++
		}
	})
	if schedulesWithRun == 0 {
		t.Error("the guest never ran it")
	}
}
