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

// statusReadLoad sends status requests to every controller at a fixed rate and counts the
// outcomes.
type statusReadLoad struct {
	sim         *simDeployment
	interval    model.Micros
	perInterval int // requests per interval and controller
	end         model.Micros
	sent        int
	answered    int // with code 200 within userTimeout
	refused     int // with another code and a time to retry, within userTimeout
	late        int // after userTimeout
}

// userTimeout is the time for which a user waits for the answer to a status request.
const userTimeout = 2 * model.Second

// run sends requests every interval until the end.
func (s *statusReadLoad) run(jobIDs []string) {
	sim := s.sim
	if sim.Now >= s.end {
		return
	}
	for _, n := range sim.nodes {
		for k := range s.perInterval {
			s.pollStatus(n, jobIDs[(s.sent+k)%len(jobIDs)])
		}
	}
	sim.After(s.interval, func() { s.run(jobIDs) })
}

// pollStatus requests a job's status from a node and counts the outcome.
func (s *statusReadLoad) pollStatus(n *simNode, jobID string) {
	if !n.alive {
		return
	}
	sim, sentAt := s.sim, s.sim.Now
	s.sent++
	reply := make(chan userapi.Answer, 1)
	n.send(msgStatusRequest{jobID, reply}, func() bool {
		select {
		case a := <-reply:
			sim.invariants.CheckAnswer(jobID, a.Code, a.Body, sentAt)
			took := sim.Now - sentAt
			switch {
			case a.Code != 200 && a.RetryAfter == 0:
				sim.t.Errorf("refused with %d without a time to retry", a.Code)
			case took > userTimeout:
				s.late++
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

// Status requests at forty times the rate put no more load on the state service, since
// requests that arrive together share one read of it; and the share that is answered stays
// the same. (The simulated state service loses one request in fifty; the status requests
// that wait for it are refused with a time to retry.)
func TestStateReadsDoNotGrowWithStatusReads(t *testing.T) {
	requests, answeredShare := map[int]int{}, map[int]float64{}
	for _, perInterval := range []int{1, 40} { // 20 and 800 a second at each controller
		sim := newSmallDeployment(t, 44)
		users := startLongJobs(sim)
		var jobIDs []string
		for _, u := range users {
			jobIDs = append(jobIDs, u.submission.ID)
		}
		before := sim.state.WatchRequests
		load := &statusReadLoad{sim: sim, interval: 50 * model.Millisecond, perInterval: perInterval, end: sim.Now + 20*model.Second}
		load.run(jobIDs)
		sim.Run(load.end + 3*model.Second)
		requests[perInterval] = sim.state.WatchRequests - before
		answeredShare[perInterval] = float64(load.answered) / float64(load.sent)
		if answeredShare[perInterval] < 0.9 || load.late > 0 || load.answered+load.refused != load.sent {
			t.Errorf("%d requests per interval: of %d requests, %d were answered, %d refused, %d late", perInterval, load.sent, load.answered, load.refused, load.late)
		}
		sim.Run(sim.Now + 100*model.Second)
		sim.requireInvariants()
		sim.requireAllDone(users)
	}
	if answeredShare[40] < answeredShare[1]-0.04 {
		t.Errorf("%.3f of the requests are answered at forty times the rate, %.3f at the lower rate", answeredShare[40], answeredShare[1])
	}
	if requests[40] > requests[1]*3/2 {
		t.Errorf("%d reads of the state service at forty times the rate, %d at the lower rate", requests[40], requests[1])
	}
}

// With a slow state service, status requests wait for its answers. Those beyond the limit of
// waiting requests are refused immediately, so that connections are left for workers, and no
// answer arrives after the user's timeout.
func TestStatusReadsWithSlowStateService(t *testing.T) {
	sim := newDeployment(t, 45, withFDLimit(400, simSettings), cloudCapacity(4, 2))
	users := startLongJobs(sim)
	sim.stateLag = 700 * model.Millisecond
	load := &statusReadLoad{sim: sim, interval: 50 * model.Millisecond, perInterval: 60, end: sim.Now + 8*model.Second}
	mostWaiting := 0
	var sample func()
	sample = func() {
		for _, n := range sim.nodes {
			mostWaiting = max(mostWaiting, n.ctl.waitingReads)
		}
		if sim.Now < load.end {
			sim.After(10*model.Millisecond, sample)
		}
	}
	sample()
	load.run([]string{users[0].submission.ID})
	sim.Run(load.end + 3*model.Second)
	sim.stateLag = 0
	if limit := sim.nodes[0].ctl.maxWaitingReads(); mostWaiting != limit {
		t.Errorf("up to %d requests waited, want the limit %d", mostWaiting, limit)
	}
	if load.refused == 0 || load.answered == 0 || load.late > 0 || load.answered+load.refused != load.sent {
		t.Errorf("of %d requests, %d were answered, %d refused, %d late", load.sent, load.answered, load.refused, load.late)
	}
	sim.Run(sim.Now + 120*model.Second)
	sim.requireInvariants()
	sim.requireAllDone(users)
}

// benchState answers synchronizations after stateLatency, without a state service.
type benchState struct {
	effects
	mailbox chan<- any
	clock   Clock
	syncs   atomic.Int64
}

// stateLatency approximates the time that the state service takes for a request.
const stateLatency = 6 * time.Millisecond

func (b *benchState) sync(from uint64, list bool) {
	b.syncs.Add(1)
	synced := msgSynced{sentAt: b.clock()}
	if list {
		synced.view = state.NewView()
		for i := range 1000 {
			synced.view.Put(fmt.Sprintf("job/j-%06d", i), shard.JobRecord{Spec: arrayJob(i, 4, 10)}, 1)
		}
	} else {
		synced.changes = &state.Changes{Revision: from}
	}
	time.AfterFunc(stateLatency, func() { b.mailbox <- synced })
}

func (b *benchState) ping() {}

// BenchmarkStatusReads measures status requests of many concurrent users at one controller,
// from request to answer: answers per second, latencies, and reads of the state service per
// 1000 answers.
func BenchmarkStatusReads(b *testing.B) {
	for _, users := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("users=%d", users), func(b *testing.B) { benchmarkStatusReads(b, users) })
	}
}

// benchmarkStatusReads runs the benchmark with a number of concurrent users.
func benchmarkStatusReads(b *testing.B, users int) {
	ctx, cancel := context.WithCancel(context.Background())
	mailbox, clock := make(chan any, mailboxSize), SteadyClock()
	service := &benchState{mailbox: mailbox, clock: clock}
	settings := simSettings("node-0")
	settings.Params.Quota.FDLimit = 4 * max(users, minWaitingReads) // high enough that none is refused
	ctl := newController(settings, config.DefaultOperatorSettings(), leadership.ComputeLeaseTimes(30*model.Second, 18*model.Second, 5*model.Second/2, 38*model.Second), clock, service)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ctl.run(ctx, mailbox) })
	group.Go(func() error { return tick(ctx, mailbox) })
	front := &frontend{mailbox: mailbox, ctx: ctx}
	for front.User("GET", "/work/j-000001", nil).Code != 200 {
		time.Sleep(10 * time.Millisecond)
	}
	before := service.syncs.Load()
	times := readInParallel(b, front, users)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "answers/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(1000*float64(service.syncs.Load()-before)/float64(b.N), "reads/1000")
	cancel()
	_ = group.Wait() // ends with the error of the cancelled context
}

// readInParallel sends b.N status requests from concurrent users and returns the latencies in
// microseconds. The benchmark's timer runs only during the requests.
func readInParallel(b *testing.B, front *frontend, users int) *hdrhistogram.Histogram {
	b.Helper()
	b.ResetTimer()
	histograms := make([]*hdrhistogram.Histogram, users)
	var next atomic.Int64
	var readers errgroup.Group
	for u := range users {
		histograms[u] = hdrhistogram.New(1, 10_000_000, 3)
		readers.Go(func() error {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return nil
				}
				start := time.Now()
				if a := front.User("GET", fmt.Sprintf("/work/j-%06d", i%1000), nil); a.Code != 200 {
					return fmt.Errorf("answered %d", a.Code)
				}
				if err := histograms[u].RecordValue(time.Since(start).Microseconds()); err != nil {
					return err
				}
			}
		})
	}
	if err := readers.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	merged := histograms[0]
	for _, h := range histograms[1:] {
		merged.Merge(h)
	}
	return merged
}
