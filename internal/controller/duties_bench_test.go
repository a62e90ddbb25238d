package controller

import (
	"fmt"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// handOvers is how many losses of a holder are measured with each number of controllers.
const handOvers = 120

// loss is a way in which a holder loses its duties.
type loss struct {
	name string
	// strike begins it, and end ends it.
	strike, end func(*simNode)
}

func losses() []loss {
	pause := func(d model.Micros) loss {
		return loss{fmt.Sprintf("paused %2.0f s", d.Seconds()), func(n *simNode) { n.pauseFor(d) }, func(*simNode) {}}
	}
	return []loss{
		pause(5 * model.Second), pause(12 * model.Second), pause(40 * model.Second),
		{"ends, back in 20 s", func(n *simNode) { n.crash(); n.w.After(20*model.Second, n.start) }, func(*simNode) {}},
		{"ends, back in 0.2 s", func(n *simNode) { n.crash(); n.w.After(200*model.Millisecond, n.start) }, func(*simNode) {}},
		{"no state service", func(n *simNode) { n.setCut(dropped) }, func(n *simNode) { n.setCut(open) }},
		{"no cloud", func(n *simNode) { n.noCloud = true }, func(n *simNode) { n.noCloud = false }},
	}
}

// severalControllers is a small deployment with more than three controllers.
func severalControllers(b *testing.B, seed uint64, controllers int, policy func(string) *duty.Policy) *world {
	names := make([]string, controllers)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	settings := func(name string) *config.Settings {
		s := simSettings(name)
		s.Siblings = nil
		for _, other := range names {
			if other != name {
				s.Siblings = append(s.Siblings, config.Sibling{NodeName: other})
			}
		}
		return s
	}
	w := newDeployment(&testing.T{}, seed, settings, capacity(4, 2))
	for _, name := range names[len(w.nodes):] {
		w.nodes = append(w.nodes, &simNode{w: w, name: name, workers: true})
	}
	w.state.KeepLog, w.policy = true, policy
	for _, n := range w.nodes {
		n.crash()
		n.start()
	}
	return w
}

// measured is what a run of hand-overs has shown.
type measured struct {
	without  map[string]*hdrhistogram.Histogram // time without an able holder, ms, by loss
	kept     map[string]int                     // losses that the holder outlived
	rejected int
	broken   []string
}

// measureHandOvers has the holder of renting fail again and again.
func measureHandOvers(w *world) measured {
	m := measured{without: map[string]*hdrhistogram.Histogram{}, kept: map[string]int{}}
	all := losses()
	for _, l := range all {
		m.without[l.name] = hdrhistogram.New(1, 600_000, 3)
	}
	w.somework(handOvers*10, 8*model.Second)
	w.Run(60 * model.Second)
	for i := range handOvers {
		l := all[i%len(all)]
		first := w.holderOf(duty.Renting)
		if first == nil {
			w.Run(w.Now + 10*model.Second)
			continue
		}
		before, from := w.leaseWrites(duty.Renting), w.Now
		l.strike(first)
		for w.Now < from+50*model.Second && w.leaseWrites(duty.Renting) == before {
			w.Run(w.Now + 20*model.Millisecond)
		}
		if w.leaseWrites(duty.Renting) == before {
			m.kept[l.name]++
		} else if err := m.without[l.name].RecordValue(int64((w.Now - from) / model.Millisecond)); err != nil {
			panic(err)
		}
		w.Run(from + 55*model.Second)
		l.end(first)
		w.Run(w.Now + 30*model.Second)
	}
	for _, write := range w.state.Log {
		if len(write.Rejected) > 0 && fenced(write.Txn) {
			m.rejected++
		}
	}
	m.broken = append(w.rules.Violations, w.dutyHistory()...)
	return m
}

// fenced tells whether a write is one of duties.
func fenced(t *state.Txn) bool {
	for _, op := range t.Then {
		switch op.Value.(type) {
		case duty.Lease, duty.Rental, duty.Return:
			return true
		}
	}
	return false
}

// changesPerSecond is how many changes a quiet world asks of the state service.
func changesPerSecond(b *testing.B, policy func(string) *duty.Policy) float64 {
	w := severalControllers(b, 3, 3, policy)
	w.somework(60, 4*model.Second)
	w.Run(300 * model.Second)
	return float64(w.state.RequestedWrites) / 300
}

// BenchmarkDutyHandOver measures, in simulated time, how long renting is without a holder
// that can perform it. It is a measurement, not a part of CI:
//
//	go test -run '^$' -bench DutyHandOver -benchtime 1x ./internal/controller
func BenchmarkDutyHandOver(b *testing.B) {
	policy, err := duty.ParseSettings([]byte(spreadDuties), []string{}, 60*model.Second)
	if err != nil {
		b.Fatal(err)
	}
	spread := func(string) *duty.Policy { return policy }
	b.Logf("simulated; changes a second at the state service, 3 controllers: %.2f without the file, %.2f with the leader's duties, %.2f spread",
		changesPerSecond(b, nil), changesPerSecond(b, func(string) *duty.Policy { return duty.LeaderOnly() }), changesPerSecond(b, spread))
	for _, controllers := range []int{3, 5, 9} {
		b.Run(fmt.Sprint(controllers), func(b *testing.B) { reportHandOvers(b, controllers, spread) })
	}
}

func reportHandOvers(b *testing.B, controllers int, policy func(string) *duty.Policy) {
	w := severalControllers(b, uint64(controllers), controllers, policy)
	m := measureHandOvers(w)
	b.Logf("simulated; %d controllers, session %.1f s: %d fenced writes rejected, %d violations", controllers,
		w.nodes[0].ctl.authority.Times.TTL.Seconds(), m.rejected, len(m.broken))
	for _, l := range losses() {
		h := m.without[l.name]
		b.Logf("simulated; %d controllers, %-19s: %3d hand-overs, ms without holder: median %d, 0.9 %d, most %d; outlived %d", controllers, l.name,
			h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max(), m.kept[l.name])
	}
	if len(m.broken) > 0 {
		b.Errorf("violations: %v", m.broken[:min(4, len(m.broken))])
	}
}
