// Package controller wires a controller: sockets and timers round the core, and the
// actors that own the state.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"woadweir/internal/cellrpc"
	"woadweir/internal/cloud"
	"woadweir/internal/config"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/peer"
	"woadweir/internal/state"
	"woadweir/internal/tracing"
	"woadweir/internal/userapi"
	"woadweir/internal/workerapi"
)

// Clock gives the steady time of this process.
type Clock func() model.Micros

// SteadyClock counts from its own start.
func SteadyClock() Clock {
	start := time.Now()
	return func() model.Micros { return model.Micros(time.Since(start) / time.Microsecond) }
}

// mailboxSize is how many messages may wait for the controller actor. After a takeover
// all workers of some thousand machines report within a second.
const mailboxSize = 16384

// Run serves until the context ends or a listener fails.
func Run(ctx context.Context, set *config.Settings, op *config.Operator) error {
	clock := SteadyClock()
	ln, err := net.Listen("tcp4", set.ServeOn)
	if err != nil {
		return err
	}
	leaseTimes := set.LeaseTimes(op)
	slog.Info("start", "node", set.NodeName, "session_s", leaseTimes.TTL.Seconds())

	if op.Duties != nil && op.Duties.TraceEndpoint != "" {
		shutdown, err := tracing.Setup(ctx, op.Duties.TraceEndpoint, set.NodeName)
		if err != nil {
			return err
		}
		defer func() { _ = shutdown(context.WithoutCancel(ctx)) }() // what is not sent by now is lost
	}
	g, ctx := errgroup.WithContext(ctx)
	mail := make(chan any, mailboxSize)
	st := state.NewClient(set.Services.State)
	peers, err := dialSiblings(set)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp4", set.Back)
	if err != nil {
		return err
	}
	f := &front{mail: mail, peers: peers, state: st, ctx: ctx}
	var services []func(grpc.ServiceRegistrar)
	if op.Spill != nil {
		services = append(services, func(s grpc.ServiceRegistrar) { cellrpc.Register(s, f) })
	}
	g.Go(func() error { return peer.Serve(ctx, back, f, services...) })
	abandon := make(chan uint64, 8)
	io := &inputOutput{mail: mail, clock: clock, state: st, cloud: cloud.NewClient(set.Services.Cloud), peers: peers, name: set.NodeName, ctx: ctx,
		abandon: abandon}
	c := newController(set, op, leaseTimes, clock, io)
	if op.Spill != nil {
		if c.cells, err = newCellIO(io, op.Spill); err != nil {
			return err
		}
	}
	g.Go(func() error { return c.run(ctx, mail) })
	ses := &session{state: st, clock: clock, mail: mail, name: set.NodeName, serve: set.ServeOn, ttl: leaseTimes.TTL, duties: op.Duties != nil, spills: op.Spill != nil, abandon: abandon}
	g.Go(func() error { return ses.run(ctx) })
	g.Go(func() error { return tick(ctx, mail) })
	srv := newServer(set, f)
	g.Go(func() error { return srv.Serve(ln) })
	g.Go(func() error { <-ctx.Done(); return srv.Shutdown() })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// dialSiblings prepares the calls to the other controllers.
func dialSiblings(set *config.Settings) (peers []*peer.Client, err error) {
	for _, s := range set.Siblings {
		p, err := peer.Dial(s.NodeName, s.Endpoint)
		if err != nil {
			return nil, err
		}
		peers = append(peers, p)
	}
	return peers, nil
}

// newServer answers users and workers.
func newServer(set *config.Settings, f *front) *fasthttp.Server {
	srv := &fasthttp.Server{Handler: f.serve, Name: "woadweir", MaxRequestBodySize: 64 << 10, NoDefaultDate: true,
		ReadBufferSize: 4096, IdleTimeout: idleTimeout(set), ReadTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second,
		Logger: quiet{}, NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	if n := set.Params.Quota.FDLimit; n > 0 {
		srv.Concurrency = max(64, n*9/10)
	}
	return srv
}

// idleTimeout is how long a connection may be silent. Workers whose machines were
// cut off come back on new connections, hundreds at once, while nothing ends their
// old ones: those must be gone before they are too many.
func idleTimeout(set *config.Settings) time.Duration {
	return max(30*time.Second, (6 * model.Seconds(set.Params.Workers.ReportS)).Duration())
}

// quiet drops the HTTP server's own complaints about broken connections.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func tick(ctx context.Context, mail chan<- any) error {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			select {
			case mail <- msgTick{}:
			default: // the actor is behind; it has work enough
			}
		}
	}
}

// How long a request may wait for the controller actor.
const (
	patienceUser   = 4500 * time.Millisecond
	patiencePoll   = 1800 * time.Millisecond
	patienceWorker = 3500 * time.Millisecond
	patienceRelay  = 2500 * time.Millisecond
	patienceUp     = 900 * time.Millisecond
)

// front turns requests into messages and answers into responses.
type front struct {
	mail  chan<- any
	peers []*peer.Client
	state *state.Client
	ctx   context.Context
}

func (f *front) serve(rc *fasthttp.RequestCtx) {
	method, path := string(rc.Method()), string(rc.Path())
	rc.SetContentType("application/json")
	if path == "/checkin" && method == "POST" {
		f.checkin(rc)
		return
	}
	a := f.User(method, path, rc.PostBody())
	if a.Helper != "" {
		a = f.forward(a, method, path, rc.PostBody())
	}
	answer(rc, a)
}

const patienceForward = 1200 * time.Millisecond

// forward has a sibling answer; without its answer, ours stands.
func (f *front) forward(a userapi.Answer, method, path string, body []byte) userapi.Answer {
	for _, p := range f.peers {
		if p.Name != a.Helper {
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, patienceForward)
		defer cancel()
		if b, err := p.Forward(ctx, method, path, body); err == nil {
			return b
		}
	}
	return a
}

// Ping answers a sibling's ping.
func (f *front) Ping() (stateReached bool, workers int) {
	reply := make(chan pinged, 1)
	p, _ := ask(f.mail, msgReached{reply}, reply, patienceUp)
	return p.reached, p.workers
}

// EndSession ends a sibling's session on its own request.
func (f *front) EndSession(id uint64) {
	if err := f.state.RevokeLease(id, 2*model.Second); err != nil {
		slog.Info("a sibling's session could not be ended", "id", id, "err", err)
	}
}

// User answers a user's request by what this controller itself knows.
func (f *front) User(method, path string, body []byte) userapi.Answer {
	route, ref := userapi.Parse(method, path)
	if (route == userapi.Poll || route == userapi.Cancel) && !model.ValidJobID(ref) {
		return userapi.Error(404, "no such job", 0)
	}
	reply := make(chan userapi.Answer, 1)
	switch route {
	case userapi.Up:
		up := make(chan bool, 1)
		if ok, got := ask(f.mail, msgUp{up}, up, patienceUp); !got || !ok {
			return userapi.Error(503, "not ready", 1)
		}
		return userapi.Answer{Code: 200, Body: []byte("{}")}
	case userapi.Submit:
		sub, ref, err := model.ParseSubmission(body)
		if err != nil && ref == "" {
			return userapi.Error(400, err.Error(), 0)
		}
		return askUser(f.mail, msgSubmit{ref, sub, err, reply}, reply, patienceUser)
	case userapi.Poll:
		return askUser(f.mail, msgStatusRequest{ref, reply}, reply, patiencePoll)
	case userapi.Cancel:
		return askUser(f.mail, msgCancel{ref, reply}, reply, patienceUser)
	}
	return userapi.Error(404, "no such page", 0)
}

func (f *front) checkin(rc *fasthttp.RequestCtx) {
	body := rc.PostBody()
	r, err := workerapi.ParseHeartbeat(body)
	if err != nil {
		answer(rc, userapi.Error(400, err.Error(), 0))
		return
	}
	reply := make(chan workerAnswer, 1)
	a, got := ask(f.mail, msgHeartbeat{report: r, reply: reply}, reply, patienceWorker)
	if !got {
		answer(rc, userapi.Error(503, "busy", 1))
		return
	}
	if a.relay != "" {
		a = f.relay(a, body)
	}
	rc.SetStatusCode(a.code)
	rc.Response.SetBodyRaw(a.body)
}

// relay hands a report on to the leader; without its answer, ours stands.
func (f *front) relay(a workerAnswer, body []byte) workerAnswer {
	for _, p := range f.peers {
		if p.Name != a.relay {
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, patienceRelay)
		defer cancel()
		if code, answer, err := p.Report(ctx, body); err == nil {
			return workerAnswer{code: code, body: answer}
		}
	}
	select {
	case f.mail <- msgRelayFailed{}:
	default: // the next will tell
	}
	return a
}

// ask sends a message and waits for its answer. When the actor's mailbox is
// full, the request is refused at once.
func ask[T any](mail chan<- any, msg any, reply <-chan T, patience time.Duration) (answer T, got bool) {
	select {
	case mail <- msg:
	default:
		return answer, false
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case answer = <-reply:
		return answer, true
	case <-t.C:
		return answer, false
	}
}

func askUser(mail chan<- any, msg any, reply <-chan userapi.Answer, patience time.Duration) userapi.Answer {
	a, got := ask(mail, msg, reply, patience)
	if !got {
		return userapi.Error(503, "try again", 1)
	}
	return a
}

func answer(rc *fasthttp.RequestCtx, a userapi.Answer) {
	rc.SetStatusCode(a.Code)
	if a.RetryAfter > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	rc.Response.SetBodyRaw(a.Body)
}

// logEvent writes a decision of the core.
func logEvent(e shard.Event) {
	if !slog.Default().Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	args := make([]any, 0, 8)
	if e.Machine != "" {
		args = append(args, "machine", e.Machine)
	}
	if e.Task != "" {
		args = append(args, "task", e.Task, "attempt", e.Attempt)
	}
	if e.Why != "" {
		args = append(args, "why", e.Why)
	}
	slog.Info(string(e.Kind), args...)
}
