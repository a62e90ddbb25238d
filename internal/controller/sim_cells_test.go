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

// simCell is what a simulated deployment needs to be one of several cells.
type simCell struct {
	name      string
	policy    *spill.Policy // the contents of the spill file, nil: there is none
	multiCell *multiCellSim
}

// multiCellSim simulates three cells with two controllers each. The cells share the simulated
// time and the invariant checker, so that the checker sees a task that runs in two cells, and a
// team that exceeds its limit with what it uses in all cells together.
type multiCellSim struct {
	*standin.Sim
	t          *testing.T
	invariants *standin.InvariantChecker
	cells      []*simDeployment

	linkStates        map[cellLink]int      // linkOpen if absent
	heldCalls         map[cellLink][]func() // calls and answers to be delivered once the link is open
	duplicateRequests float64               // chance that a call arrives a second time, up to minutes later
	extraDelay        model.Micros          // calls and answers take up to so much longer
	// onCall, if set, is called for every call that arrives.
	onCall    func(from, to *simDeployment, call any)
	callCount int // calls that have arrived
}

// cellLink is one direction of the link between two cells.
type cellLink struct{ from, to string }

var cellNames = []string{"north", "south", "west"}

// cellSettings returns the settings of a controller in a cell with two controllers.
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

// Execution leases in seconds: the default, and about the longest that fits into cancel_s.
const (
	defaultLeaseS = 10
	longestLeaseS = 17.5
)

// spillFile returns the text of a cell's spill file, with all other cells as neighbours.
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

// newMultiCellSim starts the cells. smallMachines are the numbers of small machines that each
// cell's cloud has per zone and kind (spot or not).
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

// setLink sets the state of a link. linkOpen delivers what was held.
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

// sendOverLink calls deliver, which delivers a call or an answer, after the delay of the link.
// If the link holds or drops what is sent, deliver is called once it is open, or never.
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

// simCellCalls sends a controller's calls to other cells.
type simCellCalls struct{ node *simNode }

// call sends a request to all controllers of a cell, of which only the leader, which holds the
// shard, answers without an error. onAnswer is called once, with spill.ErrUnreachable if there
// is no answer within cellCallTimeout.
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

// tryReceive returns the reply, if there is one yet.
func tryReceive[T any](reply <-chan T) (answer T, ok bool) {
	select {
	case answer = <-reply:
		return answer, true
	default:
		return answer, false
	}
}

// crashCell crashes all controllers of a cell. Each restarts up to a second after the duration.
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

// endFaults ends all faults.
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

// allEnded reports whether the end of all submitted jobs was reported to users, except for
// submissions that were not accepted in time.
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

// spillRecordCount returns the number of spill records in all cells.
func (m *multiCellSim) spillRecordCount() (n int) {
	for _, sim := range m.cells {
		n += sim.state.KeyCount("spill/")
	}
	return n
}

// lendingCount returns the number of lendings that the state services of all cells have
// accepted.
func (m *multiCellSim) lendingCount() (n int) {
	m.eachLending(func(string, *spill.OutRecord) { n++ })
	return n
}

// eachLending calls visit for every lending whose record a home cell has stored.
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

// sendUserRequest sends a user's request to any controller of a cell.
func (m *multiCellSim) sendUserRequest(sim *simDeployment, newRequest func(chan<- userapi.Answer) any, onAnswer func(userapi.Answer)) {
	sim.sendUserRequest(nil, 5*model.Second, newRequest, onAnswer)
}

// requireCleanEnd ends all faults and checks that every accepted job ends, that no invariant
// was violated, and that no spill record is left.
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
		tb.Fatalf("invariants violated: %v", m.invariants.Violations)
	}
	for jobID := range m.invariants.Accepted {
		if m.invariants.ReportedEnd(jobID) == "" {
			tb.Fatalf("%s (%+v) never ended; %s", jobID, m.invariants.Submitted[jobID], m.describe(jobID))
		}
	}
	if n := m.spillRecordCount(); n > 0 {
		tb.Fatalf("%d spill records are left, want none: %s", n, m.describe(""))
	}
}

// describe returns the state of the cells for failure messages: their spill records, and with a
// job ID also all other records of that job.
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
