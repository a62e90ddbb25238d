package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"woadweir/internal/config"
	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// readStorm has users ask about jobs at every controller, so many a second at each, and
// counts what they are told.
type statusReadLoad struct {
	sim      *simDeployment
	interval model.Micros
	perTick  int
	end      model.Micros
	asked    int
	answered int // in the time that a user waits
	refused  int // at once, with a time to come back
	slow     int // later than a user waits
}

// pollWait is how long a user waits for an answer to a question.
const userTimeout = 2 * model.Second

func (s *statusReadLoad) run(refs []string) {
	sim := s.sim
	if sim.Now >= s.end {
		return
	}
	for _, n := range sim.nodes {
		for k := range s.perTick {
			s.pollStatus(n, refs[(s.asked+k)%len(refs)])
		}
	}
	sim.After(s.interval, func() { s.run(refs) })
}

func (s *statusReadLoad) pollStatus(n *simNode, ref string) {
	if !n.alive {
		return
	}
	sim, asked := s.sim, s.sim.Now
	s.asked++
	reply := make(chan userapi.Answer, 1)
	n.send(msgStatusRequest{ref, reply}, func() bool {
		select {
		case a := <-reply:
			sim.invariants.CheckAnswer(ref, a.Code, a.Body, asked)
			took := sim.Now - asked
			switch {
			case a.Code != 200 && a.RetryAfter == 0:
				sim.t.Errorf("refused with %d without a time to come back", a.Code)
			case took > userTimeout:
				s.slow++
			case a.Code == 200:
				s.answered++
			default:
				s.refused++
			}
			return true
		default:
			return false
		}
	})
}

// Users ask about their jobs many times as often as they used to, at every controller. As
// many of the questions are answered, since the ones that come together share one read of
// the state service: its load does not grow with them. (The stand-in loses one request in
// fifty; the questions that wait for it are refused, with a time to come back.)
func TestStateReadsDoNotGrowWithStatusReads(t *testing.T) {
	reads, share := map[int]int{}, map[int]float64{}
	for _, perTick := range []int{1, 40} { // 20 and 800 a second at each controller
		sim := newSmallDeployment(t, 44)
		us := startLongJobs(sim)
		var refs []string
		for _, u := range us {
			refs = append(refs, u.submission.ID)
		}
		before := sim.state.WatchRequests
		s := &statusReadLoad{sim: sim, interval: 50 * model.Millisecond, perTick: perTick, end: sim.Now + 20*model.Second}
		s.run(refs)
		sim.Run(s.end + 3*model.Second)
		reads[perTick] = sim.state.WatchRequests - before
		share[perTick] = float64(s.answered) / float64(s.asked)
		if share[perTick] < 0.9 || s.slow > 0 || s.answered+s.refused != s.asked {
			t.Errorf("%d a tick: of %d questions %d were answered, %d refused, %d late", perTick, s.asked, s.answered, s.refused, s.slow)
		}
		sim.Run(sim.Now + 100*model.Second)
		sim.requireInvariants()
		sim.requireAllDone(us)
	}
	if share[40] < share[1]-0.04 {
		t.Errorf("%.3f of the questions are answered at forty times the rate, %.3f before", share[40], share[1])
	}
	if reads[40] > reads[1]*3/2 {
		t.Errorf("%d requests to the state service with forty times as many questions, %d before", reads[40], reads[1])
	}
}

// A slow state service holds questions up. Those that would be too many to hold are
// refused at once, so that connections are left for workers, and no answer comes later
// than a user waits.
func TestStatusReadsWithSlowStateService(t *testing.T) {
	sim := newDeployment(t, 45, withFDLimit(400, simSettings), cloudCapacity(4, 2))
	us := startLongJobs(sim)
	sim.stateLag = 700 * model.Millisecond
	s := &statusReadLoad{sim: sim, interval: 50 * model.Millisecond, perTick: 60, end: sim.Now + 8*model.Second}
	most := 0
	var look func()
	look = func() {
		for _, n := range sim.nodes {
			most = max(most, n.ctl.waitingReads)
		}
		if sim.Now < s.end {
			sim.After(10*model.Millisecond, look)
		}
	}
	look()
	s.run([]string{us[0].submission.ID})
	sim.Run(s.end + 3*model.Second)
	sim.stateLag = 0
	if limit := sim.nodes[0].ctl.maxWaitingReads(); most != limit {
		t.Errorf("%d questions waited, the bound is %d", most, limit)
	}
	if s.refused == 0 || s.answered == 0 || s.slow > 0 || s.answered+s.refused != s.asked {
		t.Errorf("of %d questions %d were answered, %d refused, %d late", s.asked, s.answered, s.refused, s.slow)
	}
	sim.Run(sim.Now + 120*model.Second)
	sim.requireInvariants()
	sim.requireAllDone(us)
}

// benchState answers catch-ups as a state service does that takes some milliseconds.
type benchState struct {
	effects
	mailbox chan<- any
	clock   Clock
	syncs   atomic.Int64
}

// stateLatency is about what the state service takes for a request.
const stateLatency = 6 * time.Millisecond

func (b *benchState) sync(from uint64, list bool) {
	b.syncs.Add(1)
	m := msgSynced{sentAt: b.clock()}
	if list {
		m.view = state.NewView()
		for i := range 1000 {
			m.view.Put(fmt.Sprintf("job/j-%06d", i), shard.JobRecord{Spec: arrayJob(i, 4, 10)}, 1)
		}
	} else {
		m.changes = &state.Changes{Revision: from}
	}
	time.AfterFunc(stateLatency, func() { b.mailbox <- m })
}

func (b *benchState) ping() {}

// BenchmarkStatusReads measures the path of a question from its request to its answer, as
// many users ask one controller at once: answers a second, times, and how many reads of
// the state service are made for them.
func BenchmarkStatusReads(b *testing.B) {
	for _, users := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("users=%d", users), func(b *testing.B) { benchmarkStatusReads(b, users) })
	}
}

func benchmarkStatusReads(b *testing.B, users int) {
	ctx, cancel := context.WithCancel(context.Background())
	mail, clock := make(chan any, mailboxSize), SteadyClock()
	io := &benchState{mailbox: mail, clock: clock}
	set := simSettings("node-0")
	set.Params.Quota.FDLimit = 4 * max(users, minWaitingReads) // none is refused
	c := newController(set, config.DefaultOperatorSettings(), leadership.ComputeLeaseTimes(30*model.Second, 18*model.Second, 5*model.Second/2, 38*model.Second), clock, io)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.run(ctx, mail) })
	g.Go(func() error { return tick(ctx, mail) })
	f := &frontend{mailbox: mail, ctx: ctx}
	for f.User("GET", "/work/j-000001", nil).Code != 200 {
		time.Sleep(10 * time.Millisecond)
	}
	before := io.syncs.Load()
	times := readInParallel(b, f, users)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "answers/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(1000*float64(io.syncs.Load()-before)/float64(b.N), "reads/1000")
	cancel()
	_ = g.Wait() // ended by the context
}

// readInParallel has users ask about jobs, b.N times together, and returns how many
// microseconds the answers took. The benchmark's timer runs meanwhile.
func readInParallel(b *testing.B, f *frontend, users int) *hdrhistogram.Histogram {
	b.Helper()
	b.ResetTimer()
	times := make([]*hdrhistogram.Histogram, users)
	var next atomic.Int64
	var askers errgroup.Group
	for u := range users {
		times[u] = hdrhistogram.New(1, 10_000_000, 3)
		askers.Go(func() error {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return nil
				}
				start := time.Now()
				if a := f.User("GET", fmt.Sprintf("/work/j-%06d", i%1000), nil); a.Code != 200 {
					return fmt.Errorf("answered %d", a.Code)
				}
				if err := times[u].RecordValue(time.Since(start).Microseconds()); err != nil {
					return err
				}
			}
		})
	}
	if err := askers.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	all := times[0]
	for _, h := range times[1:] {
		all.Merge(h)
	}
	return all
}
