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
	name   string
	policy *spill.Policy // the spill file, nil: none
	cells  *cellWorld
}

// cellWorld is three cells of two controllers each. They share time and the watch over the
// rules, so that a task that runs in two cells, or a team that is over its limit with what
// it has in all of them, is seen.
type cellWorld struct {
	*standin.Sim
	t     *testing.T
	rules *standin.InvariantChecker
	cells []*world

	cut               map[cellLink]int // how the way from one cell to another is cut
	held              map[cellLink][]func()
	duplicateRequests float64 // chance that a call arrives once more, up to minutes later
	slow              model.Micros
	// watch, if set, is told of every call that arrives.
	watch func(from, to *world, call any)
	calls int
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
	defaultRight = 10
	longestRight = 17.5
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

func spillPolicy(t *testing.T, file string) *spill.Policy {
	w := cellSettings("").Params.Workers
	p, err := spill.ParseSettings([]byte(file), model.Seconds(w.LeaseS), model.Seconds(w.CancelS))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// newCellWorld starts the cells; small is each one's capacity of small machines by zone
// and kind.
func newCellWorld(t *testing.T, seed uint64, leaseS float64, small ...int) *cellWorld {
	sim, set := standin.NewSim(seed), cellSettings("")
	x := &cellWorld{Sim: sim, t: t, rules: standin.NewInvariantChecker(sim, set.Teams(), model.Seconds(set.Params.Workers.CancelS)),
		cut: map[cellLink]int{}, held: map[cellLink][]func(){}}
	for i, name := range cellNames {
		w := newCell(t, sim, x.rules, cellSettings, capacity(small[i], 0))
		w.state.KeepLog = true
		w.cell = &simCell{name: name, policy: spillPolicy(t, spillFile(name, leaseS)), cells: x}
		w.cloud.Cell = name
		x.cells = append(x.cells, w)
		w.addNode("node-0")
		w.addNode("node-1")
	}
	return x
}

func (x *cellWorld) cellNamed(name string) *world {
	for _, w := range x.cells {
		if w.cell.name == name {
			return w
		}
	}
	return nil
}

// set cuts one direction between two cells; open delivers what was held.
func (x *cellWorld) set(from, to string, kind int) {
	link := cellLink{from, to}
	x.cut[link] = kind
	if kind == open {
		late := x.held[link]
		delete(x.held, link)
		for _, f := range late {
			f()
		}
	}
}

// pass carries something over one direction of a link.
func (x *cellWorld) pass(from, to string, f func()) {
	link := cellLink{from, to}
	switch x.cut[link] {
	case dropped:
	case holding:
		x.held[link] = append(x.held[link], f)
	default:
		x.After(x.Between(model.Millisecond, 10*model.Millisecond+x.slow), f)
	}
}

// simCells carries a controller's calls to other cells.
type simCells struct{ n *simNode }

// call asks the controllers of a cell in turn until one that holds the shard answers; done
// is called once, with no answer after the patience.
func (s *simCells) call(cell string, request any, send func(n *simNode, answer func(any, error)), done func(any, error)) {
	x, home := s.n.w.cell.cells, s.n.w
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
		x.calls++
		if x.watch != nil {
			x.watch(home, guest, request)
		}
		for _, n := range guest.nodes {
			send(n, func(a any, err error) {
				if err == nil {
					x.pass(cell, home.cell.name, func() { give(a, nil) })
				}
			})
		}
	}
	x.pass(home.cell.name, cell, arrive)
	if x.duplicateRequests > 0 && x.Chance(x.duplicateRequests) {
		x.After(x.Between(model.Second, 150*model.Second), arrive)
	}
}

func (s *simCells) offer(m msgOffered) {
	life := s.n.life
	s.call(m.cell, m.offer, func(n *simNode, answer func(any, error)) {
		reply := make(chan offerReply, 1)
		offer := *m.offer
		n.ask(msgOffer{&offer, reply}, func() bool {
			r, got := received(reply)
			if got {
				answer(r.answer, r.err)
			}
			return got
		})
	}, func(a any, err error) {
		m.answer, _ = a.(*spill.OfferAnswer)
		m.err = err
		s.n.deliver(life, m)
	})
}

func (s *simCells) renew(m msgRenewed) {
	life := s.n.life
	s.call(m.home, m.renewal, func(n *simNode, answer func(any, error)) {
		reply := make(chan renewalReply, 1)
		n.ask(msgRenewal{m.renewal, reply}, func() bool {
			r, got := received(reply)
			if got {
				answer(r.answer, r.err)
			}
			return got
		})
	}, func(a any, err error) {
		m.answer, _ = a.(*spill.RenewalAnswer)
		m.err = err
		s.n.deliver(life, m)
	})
}

// received tells whether a reply is there.
func received[T any](reply <-chan T) (answer T, got bool) {
	select {
	case answer = <-reply:
		return answer, true
	default:
		return answer, false
	}
}

// drop ends all controllers of a cell, for so long.
func (x *cellWorld) drop(w *world, long model.Micros) {
	for _, n := range w.nodes {
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
func (x *cellWorld) calm() {
	for _, w := range x.cells {
		for _, n := range w.nodes {
			n.intercept = nil
			if n.paused {
				n.resumeAfter(0)
			}
		}
		(&meeting{world: w}).calm()
	}
	for _, from := range cellNames {
		for _, to := range cellNames {
			x.set(from, to, open)
		}
	}
	x.duplicateRequests, x.slow, x.watch = 0, 0, nil
}

// allEnded tells whether users were told of the end of all jobs that they submitted, but for
// those that they gave up.
func (x *cellWorld) allEnded() bool {
	for _, w := range x.cells {
		for _, u := range w.users {
			if x.rules.ReportedEnd(u.sub.ID) == "" && (u.accepted || x.Now < u.deadline) {
				return false
			}
		}
	}
	return true
}

// records counts the records of spilling in all cells.
func (x *cellWorld) records() (n int) {
	for _, w := range x.cells {
		n += w.state.KeyCount("spill/")
	}
	return n
}

// lentJobs counts the lendings that the state services of all cells have accepted.
func (x *cellWorld) lentJobs() (n int) {
	x.eachLending(func(string, *spill.OutRecord) { n++ })
	return n
}

// eachLending calls f for every lending that a home cell has written.
func (x *cellWorld) eachLending(f func(job string, record *spill.OutRecord)) {
	for _, w := range x.cells {
		seen := map[uint64]bool{}
		for _, write := range w.state.Log {
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
func (x *cellWorld) call(w *world, msg func(chan<- userapi.Answer) any, f func(userapi.Answer)) {
	w.call(nil, 5*model.Second, msg, f)
}

// verify sees, all troubles over, that everything accepted ends, the rules held, and no
// record of spilling is left.
func (x *cellWorld) verify(f interface {
	Helper()
	Fatalf(string, ...any)
}) {
	f.Helper()
	x.calm()
	for _, w := range x.cells {
		for _, u := range w.users {
			if u.accepted && u.sub.Kind == "service" {
				u.cancel(nil)
			}
		}
	}
	limit := x.Now + 500*model.Second
	for x.Now < limit && !(x.allEnded() && x.records() == 0) {
		x.Run(x.Now + model.Second)
	}
	x.rules.CheckCancelled()
	if len(x.rules.Violations) > 0 {
		f.Fatalf("rules broken: %v", x.rules.Violations)
	}
	for ref := range x.rules.Accepted {
		if x.rules.ReportedEnd(ref) == "" {
			f.Fatalf("%s (%+v) never ended; %s", ref, x.rules.Submitted[ref], x.describe(ref))
		}
	}
	if n := x.records(); n > 0 {
		f.Fatalf("%d records of spilling are left: %s", n, x.describe(""))
	}
}

// describe is for failure messages.
func (x *cellWorld) describe(ref string) string {
	var b strings.Builder
	for _, w := range x.cells {
		entries, _, _ := w.state.List("")
		for _, e := range entries {
			if strings.HasPrefix(e.Path, "spill/") || ref != "" && strings.HasSuffix(e.Path, ref) {
				fmt.Fprintf(&b, "%s %s = %s\n", w.cell.name, e.Path, e.Value)
			}
		}
		b.WriteString(w.describe())
	}
	return b.String()
}
