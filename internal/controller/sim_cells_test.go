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
	s := simSettings(name)
	s.Siblings = nil
	for _, other := range []string{"node-0", "node-1"} {
		if other != name {
			s.Siblings = append(s.Siblings, config.Sibling{NodeName: other})
		}
	}
	return s
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
	w := cellSettings("").Params.Workers
	p, err := spill.ParseSettings([]byte(file), model.Seconds(w.LeaseS), model.Seconds(w.CancelS))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// newCellWorld starts the cells; small is each one's capacity of small machines by zone
// and kind.
func newMultiCellSim(t *testing.T, seed uint64, leaseS float64, small ...int) *multiCellSim {
	sim, set := standin.NewSim(seed), cellSettings("")
	x := &multiCellSim{Sim: sim, t: t, invariants: standin.NewInvariantChecker(sim, set.Teams(), model.Seconds(set.Params.Workers.CancelS)),
		linkStates: map[cellLink]int{}, heldCalls: map[cellLink][]func(){}}
	for i, name := range cellNames {
		cell := newDeploymentWithoutControllers(t, sim, x.invariants, cellSettings, cloudCapacity(small[i], 0))
		cell.state.KeepLog = true
		cell.cell = &simCell{name: name, policy: parseSpillPolicy(t, spillFile(name, leaseS)), multiCell: x}
		cell.cloud.Cell = name
		x.cells = append(x.cells, cell)
		cell.addNode("node-0")
		cell.addNode("node-1")
	}
	return x
}

func (x *multiCellSim) cellNamed(name string) *simDeployment {
	for _, sim := range x.cells {
		if sim.cell.name == name {
			return sim
		}
	}
	return nil
}

// set cuts one direction between two cells; open delivers what was held.
func (x *multiCellSim) setLink(from, to string, kind int) {
	link := cellLink{from, to}
	x.linkStates[link] = kind
	if kind == linkOpen {
		late := x.heldCalls[link]
		delete(x.heldCalls, link)
		for _, f := range late {
			f()
		}
	}
}

// pass carries something over one direction of a link.
func (x *multiCellSim) sendOverLink(from, to string, f func()) {
	link := cellLink{from, to}
	switch x.linkStates[link] {
	case linkDropping:
	case linkHolding:
		x.heldCalls[link] = append(x.heldCalls[link], f)
	default:
		x.After(x.Between(model.Millisecond, 10*model.Millisecond+x.extraDelay), f)
	}
}

// simCells carries a controller's calls to other cells.
type simCellCalls struct{ node *simNode }

// call asks the controllers of a cell in turn until one that holds the shard answers; done
// is called once, with no answer after the patience.
func (s *simCellCalls) call(cell string, request any, send func(n *simNode, answer func(any, error)), done func(any, error)) {
	x, home := s.node.sim.cell.multiCell, s.node.sim
	guest := x.cellNamed(cell)
	answered := false
	give := func(a any, err error) {
		if !answered {
			answered = true
			done(a, err)
		}
	}
	x.After(model.Micros(cellCallTimeout.Microseconds()), func() { give(nil, spill.ErrUnreachable) })
	arrive := func() {
		x.callCount++
		if x.onCall != nil {
			x.onCall(home, guest, request)
		}
		for _, n := range guest.nodes {
			send(n, func(a any, err error) {
				if err == nil {
					x.sendOverLink(cell, home.cell.name, func() { give(a, nil) })
				}
			})
		}
	}
	x.sendOverLink(home.cell.name, cell, arrive)
	if x.duplicateRequests > 0 && x.Chance(x.duplicateRequests) {
		x.After(x.Between(model.Second, 150*model.Second), arrive)
	}
}

func (s *simCellCalls) offer(m msgOffered) {
	life := s.node.incarnation
	s.call(m.cell, m.offer, func(n *simNode, answer func(any, error)) {
		reply := make(chan offerReply, 1)
		offer := *m.offer
		n.send(msgOffer{&offer, reply}, func() bool {
			r, got := tryReceive(reply)
			if got {
				answer(r.answer, r.err)
			}
			return got
		})
	}, func(a any, err error) {
		m.answer, _ = a.(*spill.OfferAnswer)
		m.err = err
		s.node.deliver(life, m)
	})
}

func (s *simCellCalls) renew(m msgRenewed) {
	life := s.node.incarnation
	s.call(m.home, m.renewal, func(n *simNode, answer func(any, error)) {
		reply := make(chan renewalReply, 1)
		n.send(msgRenewal{m.renewal, reply}, func() bool {
			r, got := tryReceive(reply)
			if got {
				answer(r.answer, r.err)
			}
			return got
		})
	}, func(a any, err error) {
		m.answer, _ = a.(*spill.RenewalAnswer)
		m.err = err
		s.node.deliver(life, m)
	})
}

// received tells whether a reply is there.
func tryReceive[T any](reply <-chan T) (answer T, got bool) {
	select {
	case answer = <-reply:
		return answer, true
	default:
		return answer, false
	}
}

// drop ends all controllers of a cell, for so long.
func (x *multiCellSim) crashCell(sim *simDeployment, long model.Micros) {
	for _, n := range sim.nodes {
		if n.alive {
			n.crash()
			x.After(long+x.Between(0, model.Second), func() {
				if !n.alive {
					n.start()
				}
			})
		}
	}
}

// calm ends all troubles.
func (x *multiCellSim) endFaults() {
	for _, sim := range x.cells {
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
			x.setLink(from, to, linkOpen)
		}
	}
	x.duplicateRequests, x.extraDelay, x.onCall = 0, 0, nil
}

// allEnded tells whether users were told of the end of all jobs that they submitted, but for
// those that they gave up.
func (x *multiCellSim) allEnded() bool {
	for _, sim := range x.cells {
		for _, u := range sim.users {
			if x.invariants.ReportedEnd(u.submission.ID) == "" && (u.accepted || x.Now < u.deadline) {
				return false
			}
		}
	}
	return true
}

// records counts the records of spilling in all cells.
func (x *multiCellSim) spillRecordCount() (n int) {
	for _, sim := range x.cells {
		n += sim.state.KeyCount("spill/")
	}
	return n
}

// lentJobs counts the lendings that the state services of all cells have accepted.
func (x *multiCellSim) lendingCount() (n int) {
	x.eachLending(func(string, *spill.OutRecord) { n++ })
	return n
}

// eachLending calls f for every lending that a home cell has written.
func (x *multiCellSim) eachLending(f func(job string, record *spill.OutRecord)) {
	for _, sim := range x.cells {
		seen := map[uint64]bool{}
		for _, write := range sim.state.Log {
			for _, op := range write.Txn.Then {
				record, ok := op.Value.(spill.OutRecord)
				if ok && len(write.Rejected) == 0 && record.State == spill.Lent && !seen[record.Token] {
					seen[record.Token] = true
					f(strings.TrimPrefix(op.Set, spill.OutPrefix), &record)
				}
			}
		}
	}
}

// call asks any controller of a cell.
func (x *multiCellSim) sendUserRequest(sim *simDeployment, msg func(chan<- userapi.Answer) any, f func(userapi.Answer)) {
	sim.sendUserRequest(nil, 5*model.Second, msg, f)
}

// verify sees, all troubles over, that everything accepted ends, the rules held, and no
// record of spilling is left.
func (x *multiCellSim) requireCleanEnd(f interface {
	Helper()
	Fatalf(string, ...any)
}) {
	f.Helper()
	x.endFaults()
	for _, sim := range x.cells {
		for _, u := range sim.users {
			if u.accepted && u.submission.Kind == "service" {
				u.cancel(nil)
			}
		}
	}
	limit := x.Now + 500*model.Second
	for x.Now < limit && !(x.allEnded() && x.spillRecordCount() == 0) {
		x.Run(x.Now + model.Second)
	}
	x.invariants.CheckCancelled()
	if len(x.invariants.Violations) > 0 {
		f.Fatalf("rules broken: %v", x.invariants.Violations)
	}
	for ref := range x.invariants.Accepted {
		if x.invariants.ReportedEnd(ref) == "" {
			f.Fatalf("%s (%+v) never ended; %s", ref, x.invariants.Submitted[ref], x.describe(ref))
		}
	}
	if n := x.spillRecordCount(); n > 0 {
		f.Fatalf("%d records of spilling are left: %s", n, x.describe(""))
	}
}

// describe is for failure messages.
func (x *multiCellSim) describe(ref string) string {
	var b strings.Builder
	for _, sim := range x.cells {
		entries, _, _ := sim.state.List("")
		for _, e := range entries {
			if strings.HasPrefix(e.Path, "spill/") || ref != "" && strings.HasSuffix(e.Path, ref) {
				fmt.Fprintf(&b, "%s %s = %s\n", sim.cell.name, e.Path, e.Value)
			}
		}
		b.WriteString(sim.describe())
	}
	return b.String()
}
