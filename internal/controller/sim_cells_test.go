package controller

import (
	"fmt"
	"strings"
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
	"woadweir/internal/standin"
	"woadweir/internal/userapi"
)

// simCell is a deployment's part among other cells.
type simCell struct {
	name      string
	policy    *spill.Policy // the spill file, nil: none
	multiCell *multiCellSim
}

// cellWorld is three cells of two controllers each. They share time and the watch over the
// rules, so that a task that runs in two cells, or a team that is over its limit with what
// it has in all of them, is seen.
type multiCellSim struct {
	*standin.Sim
	t          *testing.T
	invariants *standin.InvariantChecker
	cells      []*simDeployment

	linkStates        map[cellLink]int // how the way from one cell to another is cut
	heldCalls         map[cellLink][]func()
	duplicateRequests float64 // chance that a call arrives once more, up to minutes later
	extraDelay        model.Micros
	// watch, if set, is told of every call that arrives.
	onCall    func(from, to *simDeployment, call any)
	callCount int
}

// cellLink is one direction between two cells.
type cellLink struct{ from, to string }

var cellNames = []string{"north", "south", "west"}

// cellSettings are those of a cell with two controllers.
func cellSettings(name string) *config.Settings {
	settings := simSettings(name)
	settings.Siblings = nil
	for _, other := range []string{"node-0", "node-1"} {
		if other != name {
			settings.Siblings = append(settings.Siblings, config.Sibling{NodeName: other})
		}
	}
	return settings
}

// Leases of the right: the default, and about the longest that fits into cancel_s.
const (
	defaultLeaseS = 10
	longestLeaseS = 17.5
)

// spillFile is the spill file of a cell.
func spillFile(name string, leaseS float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<spill cell="%s"><wait-s>8</wait-s><stay-s>20</stay-s><start-s>25</start-s><lease-s>%v</lease-s>`, name, leaseS)
	for _, other := range cellNames {
		if other != name {
			fmt.Fprintf(&b, `<neighbour cell="%s"><controller>10.0.0.1:9</controller></neighbour>`, other)
		}
	}
	return b.String() + "</spill>"
}

func parseSpillPolicy(t *testing.T, file string) *spill.Policy {
	workers := cellSettings("").Params.Workers
	policy, err := spill.ParseSettings([]byte(file), model.Seconds(workers.LeaseS), model.Seconds(workers.CancelS))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

// newCellWorld starts the cells; small is each one's capacity of small machines by zone
// and kind.
func newMultiCellSim(t *testing.T, seed uint64, leaseS float64, smallMachines ...int) *multiCellSim {
	simulation, settings := standin.NewSim(seed), cellSettings("")
	m := &multiCellSim{Sim: simulation, t: t, invariants: standin.NewInvariantChecker(simulation, settings.Teams(), model.Seconds(settings.Params.Workers.CancelS)),
		linkStates: map[cellLink]int{}, heldCalls: map[cellLink][]func(){}}
	for i, name := range cellNames {
		sim := newDeploymentWithoutControllers(t, simulation, m.invariants, cellSettings, cloudCapacity(smallMachines[i], 0))
		sim.state.KeepLog = true
		sim.cell = &simCell{name: name, policy: parseSpillPolicy(t, spillFile(name, leaseS)), multiCell: m}
		sim.cloud.Cell = name
		m.cells = append(m.cells, sim)
		sim.addNode("node-0")
		sim.addNode("node-1")
	}
	return m
}

func (m *multiCellSim) cellNamed(name string) *simDeployment {
	for _, sim := range m.cells {
		if sim.cell.name == name {
			return sim
		}
	}
	return nil
}

// set cuts one direction between two cells; open delivers what was held.
func (m *multiCellSim) setLink(from, to string, linkState int) {
	link := cellLink{from, to}
	m.linkStates[link] = linkState
	if linkState == linkOpen {
		held := m.heldCalls[link]
		delete(m.heldCalls, link)
		for _, deliver := range held {
			deliver()
		}
	}
}

// pass carries something over one direction of a link.
func (m *multiCellSim) sendOverLink(from, to string, deliver func()) {
	link := cellLink{from, to}
	switch m.linkStates[link] {
	case linkDropping:
	case linkHolding:
		m.heldCalls[link] = append(m.heldCalls[link], deliver)
	default:
		m.After(m.Between(model.Millisecond, 10*model.Millisecond+m.extraDelay), deliver)
	}
}

// simCells carries a controller's calls to other cells.
type simCellCalls struct{ node *simNode }

// call asks the controllers of a cell in turn until one that holds the shard answers; done
// is called once, with no answer after the patience.
func (s *simCellCalls) call(cell string, request any, send func(n *simNode, answer func(any, error)), onAnswer func(any, error)) {
	multi, caller := s.node.sim.cell.multiCell, s.node.sim
	callee := multi.cellNamed(cell)
	answered := false
	answerOnce := func(answer any, err error) {
		if !answered {
			answered = true
			onAnswer(answer, err)
		}
	}
	multi.After(model.Micros(cellCallTimeout.Microseconds()), func() { answerOnce(nil, spill.ErrUnreachable) })
	arrive := func() {
		multi.callCount++
		if multi.onCall != nil {
			multi.onCall(caller, callee, request)
		}
		for _, n := range callee.nodes {
			send(n, func(reply any, err error) {
				if err == nil {
					multi.sendOverLink(cell, caller.cell.name, func() { answerOnce(reply, nil) })
				}
			})
		}
	}
	multi.sendOverLink(caller.cell.name, cell, arrive)
	if multi.duplicateRequests > 0 && multi.Chance(multi.duplicateRequests) {
		multi.After(multi.Between(model.Second, 150*model.Second), arrive)
	}
}

func (s *simCellCalls) offer(m msgOffered) {
	incarnation := s.node.incarnation
	s.call(m.cell, m.offer, func(n *simNode, answer func(any, error)) {
		reply := make(chan offerReply, 1)
		offer := *m.offer
		n.send(msgOffer{&offer, reply}, func() bool {
			received, ok := tryReceive(reply)
			if ok {
				answer(received.answer, received.err)
			}
			return ok
		})
	}, func(answer any, err error) {
		m.answer, _ = answer.(*spill.OfferAnswer)
		m.err = err
		s.node.deliver(incarnation, m)
	})
}

func (s *simCellCalls) renew(m msgRenewed) {
	incarnation := s.node.incarnation
	s.call(m.home, m.renewal, func(n *simNode, answer func(any, error)) {
		reply := make(chan renewalReply, 1)
		n.send(msgRenewal{m.renewal, reply}, func() bool {
			received, ok := tryReceive(reply)
			if ok {
				answer(received.answer, received.err)
			}
			return ok
		})
	}, func(answer any, err error) {
		m.answer, _ = answer.(*spill.RenewalAnswer)
		m.err = err
		s.node.deliver(incarnation, m)
	})
}

// received tells whether a reply is there.
func tryReceive[T any](reply <-chan T) (answer T, ok bool) {
	select {
	case answer = <-reply:
		return answer, true
	default:
		return answer, false
	}
}

// drop ends all controllers of a cell, for so long.
func (m *multiCellSim) crashCell(sim *simDeployment, duration model.Micros) {
	for _, n := range sim.nodes {
		if n.alive {
			n.crash()
			m.After(duration+m.Between(0, model.Second), func() {
				if !n.alive {
					n.start()
				}
			})
		}
	}
}

// calm ends all troubles.
func (m *multiCellSim) endFaults() {
	for _, sim := range m.cells {
		for _, n := range sim.nodes {
			n.intercept = nil
			if n.paused {
				n.resumeAfter(0)
			}
		}
		(&failureScenario{simDeployment: sim}).endFaults()
	}
	for _, from := range cellNames {
		for _, to := range cellNames {
			m.setLink(from, to, linkOpen)
		}
	}
	m.duplicateRequests, m.extraDelay, m.onCall = 0, 0, nil
}

// allEnded tells whether users were told of the end of all jobs that they submitted, but for
// those that they gave up.
func (m *multiCellSim) allEnded() bool {
	for _, sim := range m.cells {
		for _, u := range sim.users {
			if m.invariants.ReportedEnd(u.submission.ID) == "" && (u.accepted || m.Now < u.deadline) {
				return false
			}
		}
	}
	return true
}

// records counts the records of spilling in all cells.
func (m *multiCellSim) spillRecordCount() (n int) {
	for _, sim := range m.cells {
		n += sim.state.KeyCount("spill/")
	}
	return n
}

// lentJobs counts the lendings that the state services of all cells have accepted.
func (m *multiCellSim) lendingCount() (n int) {
	m.eachLending(func(string, *spill.OutRecord) { n++ })
	return n
}

// eachLending calls f for every lending that a home cell has written.
func (m *multiCellSim) eachLending(visit func(jobID string, record *spill.OutRecord)) {
	for _, sim := range m.cells {
		seen := map[uint64]bool{}
		for _, write := range sim.state.Log {
			for _, op := range write.Txn.Then {
				record, ok := op.Value.(spill.OutRecord)
				if ok && len(write.Rejected) == 0 && record.State == spill.Lent && !seen[record.Token] {
					seen[record.Token] = true
					visit(strings.TrimPrefix(op.Set, spill.OutPrefix), &record)
				}
			}
		}
	}
}

// call asks any controller of a cell.
func (m *multiCellSim) sendUserRequest(sim *simDeployment, newRequest func(chan<- userapi.Answer) any, onAnswer func(userapi.Answer)) {
	sim.sendUserRequest(nil, 5*model.Second, newRequest, onAnswer)
}

// verify sees, all troubles over, that everything accepted ends, the rules held, and no
// record of spilling is left.
func (m *multiCellSim) requireCleanEnd(tb interface {
	Helper()
	Fatalf(string, ...any)
}) {
	tb.Helper()
	m.endFaults()
	for _, sim := range m.cells {
		for _, u := range sim.users {
			if u.accepted && u.submission.Kind == "service" {
				u.cancel(nil)
			}
		}
	}
	limit := m.Now + 500*model.Second
	for m.Now < limit && !(m.allEnded() && m.spillRecordCount() == 0) {
		m.Run(m.Now + model.Second)
	}
	m.invariants.CheckCancelled()
	if len(m.invariants.Violations) > 0 {
		tb.Fatalf("rules broken: %v", m.invariants.Violations)
	}
	for jobID := range m.invariants.Accepted {
		if m.invariants.ReportedEnd(jobID) == "" {
			tb.Fatalf("%s (%+v) never ended; %s", jobID, m.invariants.Submitted[jobID], m.describe(jobID))
		}
	}
	if n := m.spillRecordCount(); n > 0 {
		tb.Fatalf("%d records of spilling are left: %s", n, m.describe(""))
	}
}

// describe is for failure messages.
func (m *multiCellSim) describe(jobID string) string {
	var b strings.Builder
	for _, sim := range m.cells {
		entries, _, _ := sim.state.List("")
		for _, entry := range entries {
			if strings.HasPrefix(entry.Path, "spill/") || jobID != "" && strings.HasSuffix(entry.Path, jobID) {
				fmt.Fprintf(&b, "%s %s = %s\n", sim.cell.name, entry.Path, entry.Value)
			}
		}
		b.WriteString(sim.describe())
	}
	return b.String()
}
