// Package controller runs a controller of the cluster scheduler. All of its state is owned
// by one goroutine, the controller actor, which receives messages from a mailbox: users'
// requests, workers' heartbeats, and the outcomes of its requests to the state service, the
// cloud and the other controllers. One of the controllers is elected the leader, which
// schedules tasks and provisions machines; the others serve users' requests, hold duties
// that have a single holder, and relay heartbeats.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
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
)

// Clock returns the monotonic time of this process.
type Clock func() model.Micros

// SteadyClock returns a monotonic clock that starts at 0.
func SteadyClock() Clock {
	start := time.Now()
	return func() model.Micros { return model.Micros(time.Since(start) / time.Microsecond) }
}

const (
	// mailboxSize is the maximum number of messages that wait for the controller actor.
	// After a takeover, all workers of some thousand machines send heartbeats within a
	// second.
	mailboxSize = 16384
	// tickInterval is the interval at which the controller actor checks for due work.
	tickInterval = 50 * time.Millisecond
	// maxAbandonedSessions is the maximum number of sessions that wait to be ended.
	maxAbandonedSessions = 8
)

// Limits of the HTTP server.
const (
	maxRequestBytes   = 64 << 10
	readBufferBytes   = 4096
	readTimeout       = 30 * time.Second
	writeTimeout      = 10 * time.Second
	minIdleTimeout    = 30 * time.Second
	idleHeartbeats    = 6  // heartbeat intervals without a request after which a connection is closed
	minConcurrency    = 64 // lower bound of the limit on concurrent requests, if connections are limited
	concurrencyTenths = 9  // tenths of the connection limit that may serve requests at a time
)

// Run runs a controller until the context ends or a listener fails.
func Run(ctx context.Context, settings *config.Settings, operator *config.OperatorSettings) error {
	listener, err := net.Listen("tcp4", settings.ServeOn)
	if err != nil {
		return err
	}
	slog.Info("controller starting", "node", settings.NodeName, "session_s", settings.LeaseTimes(operator).TTL.Seconds())

	if operator.Duties != nil && operator.Duties.TraceEndpoint != "" {
		shutdown, err := tracing.Setup(ctx, operator.Duties.TraceEndpoint, settings.NodeName)
		if err != nil {
			return err
		}
		defer func() { _ = shutdown(context.WithoutCancel(ctx)) }() // spans that can't be sent any more are lost
	}
	group, ctx := errgroup.WithContext(ctx)
	p, err := newProcess(ctx, settings, operator)
	if err != nil {
		return err
	}
	p.start(ctx, group, listener)
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// process contains the actors and servers of a controller.
type process struct {
	mailbox      chan any
	controller   *controller
	session      *session
	frontend     *frontend
	http         *fasthttp.Server
	peerListener net.Listener
	peerServices []func(grpc.ServiceRegistrar)
}

// newProcess creates the actors and servers of a controller without starting them.
func newProcess(ctx context.Context, settings *config.Settings, operator *config.OperatorSettings) (*process, error) {
	clock, leaseTimes := SteadyClock(), settings.LeaseTimes(operator)
	mailbox := make(chan any, mailboxSize)
	stateClient := state.NewClient(settings.Services.State)
	peers, err := dialSiblings(settings)
	if err != nil {
		return nil, err
	}
	p := &process{mailbox: mailbox, frontend: &frontend{mailbox: mailbox, peers: peers, state: stateClient, ctx: ctx}}
	p.http = newHTTPServer(settings, p.frontend)
	if p.peerListener, err = net.Listen("tcp4", settings.PeerAddress); err != nil {
		return nil, err
	}
	abandon := make(chan uint64, maxAbandonedSessions)
	io := &asyncEffects{mailbox: mailbox, clock: clock, state: stateClient, cloud: cloud.NewClient(settings.Services.Cloud), peers: peers, name: settings.NodeName, ctx: ctx,
		abandon: abandon}
	p.controller = newController(settings, operator, leaseTimes, clock, io)
	p.session = &session{state: stateClient, clock: clock, mailbox: mailbox, name: settings.NodeName, serveAddress: settings.ServeOn, ttl: leaseTimes.TTL, mayHoldDuties: operator.Duties != nil, spills: operator.Spill != nil, abandon: abandon}
	if operator.Spill == nil {
		return p, nil
	}
	p.peerServices = append(p.peerServices, func(s grpc.ServiceRegistrar) { cellrpc.Register(s, p.frontend) })
	p.controller.cells, err = newCellIO(io, operator.Spill)
	return p, err
}

// start starts the actors and the servers.
func (p *process) start(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	group.Go(func() error { return peer.Serve(ctx, p.peerListener, p.frontend, p.peerServices...) })
	group.Go(func() error { return p.controller.run(ctx, p.mailbox) })
	group.Go(func() error { return p.session.run(ctx) })
	group.Go(func() error { return tick(ctx, p.mailbox) })
	group.Go(func() error { return p.http.Serve(listener) })
	group.Go(func() error { <-ctx.Done(); return p.http.Shutdown() })
}

// dialSiblings creates the clients for the other controllers.
func dialSiblings(settings *config.Settings) (peers []*peer.Client, err error) {
	for _, sibling := range settings.Siblings {
		client, err := peer.Dial(sibling.NodeName, sibling.Endpoint)
		if err != nil {
			return nil, err
		}
		peers = append(peers, client)
	}
	return peers, nil
}

// newHTTPServer returns the HTTP server for users and workers.
func newHTTPServer(settings *config.Settings, f *frontend) *fasthttp.Server {
	server := &fasthttp.Server{Handler: f.serve, Name: "woadweir", MaxRequestBodySize: maxRequestBytes, NoDefaultDate: true,
		ReadBufferSize: readBufferBytes, IdleTimeout: idleTimeout(settings), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		Logger: discardLogger{}, NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	if limit := settings.Params.Quota.FDLimit; limit > 0 {
		server.Concurrency = max(minConcurrency, limit*concurrencyTenths/10)
	}
	return server
}

// idleTimeout returns how long a connection may be idle. Workers whose machines were cut
// off by a network partition return on new connections, hundreds at once, while nothing
// closes their old connections. Those must be closed before there are too many.
func idleTimeout(settings *config.Settings) time.Duration {
	return max(minIdleTimeout, (idleHeartbeats * model.Seconds(settings.Params.Workers.ReportS)).Duration())
}

// discardLogger discards what the HTTP server logs about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// tick sends the controller actor a message at every interval.
func tick(ctx context.Context, mailbox chan<- any) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			select {
			case mailbox <- msgTick{}:
			default: // the mailbox is full, so the actor runs in any case
			}
		}
	}
}

// logEvent logs an event of the leader's scheduler.
func logEvent(event shard.Event) {
	if !slog.Default().Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	args := make([]any, 0, 8)
	if event.Machine != "" {
		args = append(args, "machine", event.Machine)
	}
	if event.Task != "" {
		args = append(args, "task", event.Task, "attempt", event.Attempt)
	}
	if event.Reason != "" {
		args = append(args, "why", event.Reason)
	}
	slog.Info(string(event.Kind), args...)
}
