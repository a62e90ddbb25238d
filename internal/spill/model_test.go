package spill

import (
	"testing"

	"pgregory.net/rapid"

	"woadweir/internal/core/model"
)

// lendingModel models one job between a home cell and an execution cell: LentJob and BorrowedJob
// together with everything around them that the safety argument in docs/spill.md depends on.
// These are durable records, shard holders that end, a connection that delays, duplicates and
// reorders messages, a cancellation that the home shard's holder does not know of yet, and a
// worker in the execution cell that receives no answers.
type lendingModel struct {
	now      model.Micros
	t        *rapid.T
	record   OutRecord    // the home cell's durable record
	inRecord *InRecord    // the execution cell's durable record
	syncedAt model.Micros // when the home cell last caught up with its state service

	lent       *LentJob     // held by the home shard's holder, nil: there is no holder
	bound      bool         // the home cell has a task bound, based on a durable record
	takingBack bool         // the home cell's write of the state Home is in flight
	borrowed   *BorrowedJob // held by the execution cell's shard holder, nil: nothing is borrowed
	offers     []uint64
	renewals   []modelRenewal
	answers    []modelAnswer

	cancelledAt     model.Micros // 0: not cancelled
	running         bool         // a task is on the execution cell's machine
	workerReachable bool         // answers reach that machine's worker
	answeredAt      model.Micros // when the worker sent the last heartbeat that was answered
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

// hasAuthority reports whether the home shard's holder may answer renewals.
func (m *lendingModel) hasAuthority() bool {
	return m.lent != nil && m.now-m.syncedAt < modelAuthorityTimeout
}

// lend starts a new lending under the next token.
func (m *lendingModel) lend() {
	m.record = OutRecord{Cell: executionCell, Token: m.record.Token + 1, State: Lent, LeaseUs: int64(modelLease), WorkerLeaseUs: int64(modelWorkerLease)}
	m.lent, m.bound = NewLentJob(m.record, m.now), false
}

// advance lets time pass. Meanwhile the worker sends heartbeats, and its lease may expire.
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

// reportWorker is a heartbeat of the worker: it is answered, answered with a stop, or not
// answered.
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

// checkInvariants fails the test if the job is on machines in both cells, or too long after its
// cancellation.
func (m *lendingModel) checkInvariants() {
	if m.running && m.bound {
		m.t.Fatalf("%.2f s: the job runs in both cells", m.now.Seconds())
	}
	if m.running && m.cancelledAt != 0 && m.now > m.cancelledAt+modelCancelTime {
		m.t.Fatalf("%.2f s: the job still runs after its cancellation at %.2f s", m.now.Seconds(), m.cancelledAt.Seconds())
	}
}

// drawMessage draws one of the latest messages. It is not removed, so that it may be delivered
// again.
func drawMessage[T any](m *lendingModel, list []T) (item T, ok bool) {
	if len(list) == 0 {
		return item, false
	}
	return list[rapid.IntRange(max(0, len(list)-4), len(list)-1).Draw(m.t, "message")], true
}

// actions returns the events that may happen at any moment. The empty name is rapid's invariant
// check. The alphabetical order of the names matters: rapid draws from the sorted names, so that
// another order changes the schedules of a seed.
func (m *lendingModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.checkInvariants() },
		"time passes": func(*rapid.T) {
			m.advance(model.Micros(rapid.IntRange(1, 12).Draw(m.t, "quarters")) * model.Second / 4)
		},
		"long time passes": func(*rapid.T) { m.advance(model.Micros(rapid.IntRange(5, 40).Draw(m.t, "seconds")) * model.Second) },
		"home syncs":       func(*rapid.T) { m.syncedAt = m.now },
		"home offers":      func(*rapid.T) { m.offers = append(m.offers, m.record.Token) },
		"offer arrives":    func(*rapid.T) { m.receiveOffer() },
		"all steps succeed": func(*rapid.T) { // without it, the job is never run in most schedules
			m.syncedAt = m.now
			m.offers = append(m.offers, m.record.Token)
			m.receiveOffer()
			m.sendRenewal()
			m.answerRenewal()
			m.receiveAnswer()
			m.advance(model.Second / 2)
		},
		"renewal succeeds": func(*rapid.T) { // based on what the home cell knows
			m.sendRenewal()
			m.answerRenewal()
			m.receiveAnswer()
		},
		"execution cell sends renewal": func(*rapid.T) { m.sendRenewal() },
		"home answers renewal":         func(*rapid.T) { m.answerRenewal() },
		"answer arrives":               func(*rapid.T) { m.receiveAnswer() },
		"home's holder steps":          func(*rapid.T) { m.stepHome() },
		"home takes back": func(*rapid.T) {
			m.syncedAt = m.now
			m.stepHome()
		},
		"home commits":                  func(*rapid.T) { m.commitHome() },
		"execution cell's holder steps": func(*rapid.T) { m.stepExecutionCell() },
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
		"execution cell's holder changes": func(*rapid.T) {
			if m.borrowed = nil; m.inRecord != nil {
				m.borrowed = NewBorrowedJob(m.inRecord, m.now)
			}
		},
		"the worker's connection changes": func(*rapid.T) { m.workerReachable = !m.workerReachable },
		"cancellation": func(*rapid.T) {
			if m.cancelledAt == 0 && rapid.IntRange(0, 3).Draw(m.t, "one in four") == 0 {
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

// receiveOffer lets the execution cell accept the job, unless an older lending is still there. The
// method refusal of spillManager in internal/controller has the same condition.
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

// stepHome lets the home shard's holder take the job back if there is proof that this is safe.
func (m *lendingModel) stepHome() {
	if m.lent != nil && m.hasAuthority() {
		if _, proven := m.lent.TakeBack(m.now); proven {
			m.takingBack = true
		}
	}
}

// commitHome makes that decision durable. Then a task may be bound in the home cell.
func (m *lendingModel) commitHome() {
	if m.takingBack {
		m.record.State = Home
		m.lent, m.takingBack = nil, false
		m.bound = m.cancelledAt == 0
	}
}

// stepExecutionCell returns or forgets the job if that is due.
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

// A lent job must never be on machines in both cells, nor for too long after its cancellation.
// Lost, late and duplicate messages and changes of shard holders could break this. Random
// schedules of these events are checked.
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
		t.Error("the execution cell ran the job in no schedule")
	}
}
