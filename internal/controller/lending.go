package controller

import (
	"cmp"
	"log/slog"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// jobAdded keeps a job that is lent from being bound when the block learns of it.
func (s *spiller) jobAdded(job string) {
	if record := s.l.c.view.LentOut[job]; record != nil && record.State != spill.Home {
		s.keepHome(job)
	}
}

// keepHome has nothing of a job bound here.
func (s *spiller) keepHome(job string) {
	js := s.l.block.Jobs[job]
	if js == nil || js.Ended != "" {
		return
	}
	s.l.block.Suspend(js, "lent to another cell", s.l.c.now)
}

// reservation is what counts towards a team's limit for a job that is lent.
type reservation struct {
	team   string
	amount model.Resources
}

// reserve counts all of a lent job towards its team's limit: of a task that is known as
// finished another attempt may run in the guest, if that has not heard of it.
func (s *spiller) reserve(job string, record *spill.OutRecord) {
	if _, reserved := s.reserved[job]; reserved {
		return
	}
	s.reserved[job] = reservation{record.Team, record.Reserved()}
	s.l.block.Reserve(record.Team, record.Reserved())
}

// release ends a reservation.
func (s *spiller) release(job string) {
	if r, reserved := s.reserved[job]; reserved {
		delete(s.reserved, job)
		s.l.block.Release(r.team, r.amount)
	}
}

// lendingNews takes what the view says of a job that is or was lent.
func (s *spiller) lendingNews(job string) {
	l := s.l
	record := l.c.view.LentOut[job]
	if record != nil && record.State == spill.Lent {
		lending := s.lendings[job]
		if lending == nil || lending.Record.Token != record.Token {
			s.lendings[job] = spill.NewLending(*record, l.c.now)
			s.keepHome(job)
			s.reserve(job, record)
			slog.Info("lent", "job", job, "cell", record.Cell, "token", record.Token)
			return
		}
		lending.Record = *record
		return
	}
	if record != nil && record.State == spill.Unreadable {
		s.keepHome(job)
		return
	}
	if _, pending := s.changes[spill.OutKey(job)]; pending && record != nil {
		return // it is to be lent again
	}
	delete(s.lendings, job)
	s.release(job)
	if js := l.block.Jobs[job]; js != nil && js.HomeCell == "" {
		l.block.Resume(js)
		l.provisionSoon = true
	}
}

// stepLendings offers what is lent until it is heard of, takes back what is proven to be
// gone, and forgets what has ended.
func (s *spiller) stepLendings() {
	c := s.l.c
	for _, job := range sortedKeys(c.view.LentOut) {
		if _, ended := c.view.Final(job); ended {
			s.forgetEnded(job)
		}
	}
	for _, job := range sortedKeys(s.lendings) {
		lending, js := s.lendings[job], s.l.block.Jobs[job]
		if js == nil || js.EndPending || js.Ended != "" || lending.Record.State != spill.Lent {
			continue
		}
		if reason, proven := lending.TakeBack(c.now); proven {
			s.takeBack(job, lending, reason)
			continue
		}
		if lending.OfferDue(c.now) {
			s.offer(job, lending.Record.Cell, lending.Record.Token)
		}
		s.noteRunning(job, lending)
	}
	if c.now-s.recallAt >= recallGap {
		s.recallAt = c.now
		s.recallOne()
	}
}

// recallOne has one job come home that has not begun in its guest and could begin here.
func (s *spiller) recallOne() {
	looked := 0
	for _, job := range sortedKeys(s.lendings) {
		lending, js := s.lendings[job], s.l.block.Jobs[job]
		if js == nil || js.EndPending || js.Ended != "" || lending.Running() || lending.Recalled() {
			continue
		}
		if looked++; looked > mostLooked {
			return
		}
		if s.wantedHome(js, lending) {
			lending.Recall(s.l.c.now)
			return
		}
	}
}

// forgetEnded removes the record of a job that has ended, once nothing of it can be in the
// guest: until then it counts towards its team's limit.
func (s *spiller) forgetEnded(job string) {
	lending := s.lendings[job]
	if lending != nil {
		if _, proven := lending.TakeBack(s.l.c.now); !proven {
			return
		}
	}
	s.want(spill.OutKey(job), spillChange{})
}

// wantedHome tells that a job that has not begun in its guest is better off at home.
func (s *spiller) wantedHome(js *model.JobState, lending *spill.Lending) bool {
	if s.policy == nil || !s.policy.Knows(lending.Record.Cell) {
		return true
	}
	return s.l.block.RoomSoonFor(js.Job, s.roomWanted(js), s.l.c.now) && !s.l.block.OwnWorkWaits(ownPatience, s.l.c.now)
}

// takeBack has a job come home. Nothing of it is bound here before that is durable.
func (s *spiller) takeBack(job string, lending *spill.Lending, reason spill.ReturnReason) {
	key := spill.OutKey(job)
	record := lending.Record
	if change, ok := s.changes[key].value.(spill.OutRecord); ok && change.State == spill.Home {
		return
	}
	record.State, record.SinceMs, record.Running = spill.Home, s.l.c.wall(), 0
	noteStep(record.Trace, "take back", job, attribute.String("why", string(reason)))
	s.want(key, spillChange{value: record})
	slog.Info("taken back", "job", job, "cell", record.Cell, "token", record.Token, "why", reason)
}

// noteRunning has the users' answers say that a lent job runs, once.
func (s *spiller) noteRunning(job string, lending *spill.Lending) {
	if lending.Record.Running > 0 || !lending.Running() {
		return
	}
	if _, pending := s.changes[spill.OutKey(job)]; pending {
		return
	}
	record := lending.Record
	record.Running = max(1, lending.LastRunning())
	s.want(spill.OutKey(job), spillChange{value: record})
}

// roomWanted is how many tasks have to find room for a job to be well served: all of a
// gang, half of what is left of an array.
func (s *spiller) roomWanted(js *model.JobState) int {
	left := js.Tasks - js.Done.Len()
	if js.Kind == model.Gang {
		return left
	}
	return (left + 1) / 2
}

// findCandidate asks a neighbour whether it takes the job that has waited longest.
func (s *spiller) findCandidate() {
	c := s.l.c
	if !s.enabled() || c.now-s.candidateAt < candidateGap || len(s.lendings) >= s.policy.MostLent || c.cells == nil {
		return
	}
	s.candidateAt = c.now
	neighbour := s.nextNeighbour()
	if neighbour == "" {
		return
	}
	if job := s.oldestWithoutRoom(); job != "" {
		s.probing[neighbour] = true
		s.offer(job, neighbour, 0)
	}
}

// oldestWithoutRoom is the oldest job that may be lent and finds no room here, "" if there
// is none among the oldest few.
func (s *spiller) oldestWithoutRoom() string {
	var jobs []*model.JobState
	for _, js := range s.l.block.Jobs {
		if s.mayLend(js) {
			jobs = append(jobs, js)
		}
	}
	slices.SortFunc(jobs, func(a, b *model.JobState) int { return cmp.Compare(a.AcceptedRevision, b.AcceptedRevision) })
	for _, js := range jobs[:min(len(jobs), mostLooked)] {
		if !s.l.block.RoomSoonFor(js.Job, s.roomWanted(js), s.l.c.now) {
			return js.ID
		}
	}
	return ""
}

// mostLooked is for how many jobs room is looked for in one search.
const mostLooked = 8

// nextNeighbour is a neighbour that may be asked now, "" if there is none. One after the
// other is tried, those last that were asked last.
func (s *spiller) nextNeighbour() string {
	for range s.policy.Neighbours {
		s.nextCell++
		cell := s.policy.Neighbours[s.nextCell%len(s.policy.Neighbours)].Cell
		if !s.probing[cell] && s.contact(cell).Ready(s.l.c.now) && s.unheard(cell) < mostUnheard {
			return cell
		}
	}
	return ""
}

// contact paces the offers to a cell.
func (s *spiller) contact(cell string) *spill.Contact {
	if s.contacts[cell] == nil {
		s.contacts[cell] = &spill.Contact{}
	}
	return s.contacts[cell]
}

// unheard is how many jobs were lent to a cell that it has not asked for yet.
func (s *spiller) unheard(cell string) (n int) {
	for _, lending := range s.lendings {
		if lending.Record.Cell == cell && !lending.Heard() {
			n++
		}
	}
	return n
}

// mayLend tells whether a job may be lent: a whole array or gang of which nothing is
// bound, that has waited long enough and has not come back a moment ago, that no other
// job awaits, that has time, and that its team's limit leaves room for here, so that the
// team stays within it wherever the job runs.
func (s *spiller) mayLend(js *model.JobState) bool {
	c := s.l.c
	view := c.view.Jobs[js.ID]
	switch {
	case js.HomeCell != "" || js.Suspended || js.Ended != "" || js.EndPending || js.Kind == model.Service:
		return false
	case len(js.Bindings) > 0 || len(js.Waiting) == 0 || c.now < js.NotBefore:
		return false
	case c.now-max(js.ReadySince, js.IdleSince) < s.policy.Wait:
		return false
	case view == nil || view.Submission == nil || view.End != "" || !view.Alone():
		return false
	case js.Deadline > 0 && js.ReadySince+js.Deadline < c.now+2*s.policy.Lease:
		return false
	case !s.l.block.WithinLimit(js.Job, js.Tasks):
		return false
	}
	if _, pending := s.changes[spill.OutKey(js.ID)]; pending {
		return false
	}
	record := c.view.LentOut[js.ID]
	return record == nil || record.State == spill.Home && model.Micros(c.wall()-record.SinceMs)*model.Millisecond >= s.policy.Stay
}

// offer asks a cell whether it takes a job, with token 0, or offers what is lent to it. The
// call goes on beside the actor, so it gets a set of finished tasks of its own.
func (s *spiller) offer(job, cell string, token uint64) {
	c := s.l.c
	js, view := s.l.block.Jobs[job], c.view.Jobs[job]
	if c.cells == nil || js == nil || view == nil || view.Submission == nil || s.policy == nil {
		return
	}
	c.cells.offer(msgOffered{cell: cell, job: job, sent: c.now, term: s.l.token,
		offer: &spill.Offer{Home: s.policy.Cell, Token: token, Spec: view.Submission, Done: slices.Clone(js.Done.Bytes()), Trace: s.traceOf(job)}})
}

// traceOf is the trace of a lending, "" if there is none.
func (s *spiller) traceOf(job string) string {
	if lending := s.lendings[job]; lending != nil {
		return lending.Record.Trace
	}
	return ""
}

// offered takes a cell's answer to an offer.
func (s *spiller) offered(m msgOffered) {
	c := s.l.c
	contact := s.contact(m.cell)
	if m.offer.Token == 0 {
		delete(s.probing, m.cell)
	}
	if m.err != nil {
		contact.Failed(0, c.jitter(), c.now)
		slog.Debug("offer", "cell", m.cell, "err", m.err)
		return
	}
	if m.answer.Refusal != spill.NotRefused {
		contact.Failed(m.answer.RetryAfter, c.jitter(), c.now)
		slog.Info("offer refused", "job", m.job, "cell", m.cell, "why", m.answer.Refusal, "detail", m.answer.Detail)
		if lending := s.lendings[m.job]; lending != nil && lending.Record.Token == m.offer.Token {
			lending.Refuse()
		}
		return
	}
	contact.Answered(c.now-m.sent, c.now)
	if m.offer.Token == 0 {
		s.lend(m.job, m.cell, m.answer.WorkerLease)
		s.candidateAt = 0 // the next may follow at once
	}
}

// lend decides that a job is lent. Nothing of it is bound from now on; it is offered once
// the record is durable.
func (s *spiller) lend(job, cell string, workerLease model.Micros) {
	c := s.l.c
	js := s.l.block.Jobs[job]
	if !s.enabled() || js == nil || !s.mayLend(js) || !s.policy.Knows(cell) {
		return
	}
	cancel := model.Seconds(c.set.Params.Workers.CancelS)
	if !spill.FitsCancel(s.policy.Lease, workerLease, cancel) {
		if !s.complained[cell] {
			s.complained[cell] = true
			slog.Error("nothing is lent to this cell: its workers' lease does not fit into cancel_s", "cell", cell, "lease_s", workerLease.Seconds(), "cancel_s", cancel.Seconds())
		}
		s.contact(cell).Failed(refusalQuiet, c.jitter(), c.now)
		return
	}
	record := spill.OutRecord{Cell: cell, Token: s.l.block.NextAttempt(), State: spill.Lent, SinceMs: c.wall(),
		LeaseUs: int64(s.policy.Lease), WorkerLeaseUs: int64(workerLease), Team: js.Team,
		CoresMilli: int64(js.Request.Cores) * int64(js.Tasks), GPUsMilli: int64(js.Request.GPUs) * int64(js.Tasks)}
	record.Trace = noteStep("", "lend", job, attribute.String("cell", cell), attribute.Int64("token", int64(record.Token)))
	s.keepHome(job)
	s.reserve(job, &record)
	s.want(spill.OutKey(job), spillChange{value: record, job: job})
}

// renewal answers a guest's question for the right to run.
func (s *spiller) renewal(r *spill.Renewal) (*spill.RenewalAnswer, error) {
	c := s.l.c
	if s.policy == nil {
		return nil, spill.ErrNotHolder
	}
	answer := &spill.RenewalAnswer{Home: s.policy.Cell, Age: c.now - c.sync.succeededAt}
	for i := range r.Jobs {
		answer.Jobs = append(answer.Jobs, s.verdict(r, &r.Jobs[i]))
	}
	return answer, nil
}

// verdict answers a question about one job, and takes in what the guest tells of it.
func (s *spiller) verdict(r *spill.Renewal, report *spill.JobReport) spill.Verdict {
	c := s.l.c
	verdict := spill.Verdict{Job: report.Job, Token: report.Token}
	if end, ended := c.view.Final(report.Job); ended {
		verdict.Kind, verdict.End = spill.Ended, end
		if lending := s.lendings[report.Job]; lending != nil {
			lending.AnswerEnded(r.Guest, report)
		}
		return verdict
	}
	record, lending, js := c.view.LentOut[report.Job], s.lendings[report.Job], s.l.block.Jobs[report.Job]
	if js != nil && js.HomeCell == "" {
		s.l.block.CompleteElsewhere(js, report.Done, report.Complete, c.now)
		verdict.Confirmed = s.l.block.StoredDone(js)
	}
	switch {
	case record != nil && record.State == spill.Unreadable:
	case lending != nil && lending.Record.State == spill.Lent && lending.Record.Token == report.Token:
		verdict.Kind = lending.Answer(r.Guest, report, r.WorkerLease, model.Seconds(c.set.Params.Workers.CancelS), c.now)
		verdict.Lease = lending.Record.Lease()
	default:
		verdict.Kind = spill.Revoked
	}
	return verdict
}
