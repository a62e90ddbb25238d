// Package controller runs a controller of the cluster scheduler. All of its state belongs
// to one goroutine, the controller actor, which takes messages from a mailbox: users'
// requests, workers' heartbeats, and the outcomes of what it has asked of the state
// service, the cloud and the other controllers. One of the controllers is elected the
// leader, which schedules tasks and provisions machines; the others serve users' requests
// and single-holder duties, and relay heartbeats.
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

// Clock gives the monotonic time of this process.
type Clock func() model.Micros

// SteadyClock counts from its own start.
func SteadyClock() Clock {
	start := time.Now()
	return func() model.Micros { return model.Micros(time.Since(start) / time.Microsecond) }
}

const (
	// mailboxSize is how many messages may wait for the controller actor. After a
	// takeover all workers of some thousand machines send heartbeats within a second.
	mailboxSize = 16384
	// tickInterval is how often the controller actor looks for what is due.
	tickInterval = 50 * time.Millisecond
	// maxAbandonedSessions is how many sessions may wait to be ended.
	maxAbandonedSessions = 8
)

// Limits of the HTTP server.
const (
	maxRequestBytes   = 64 << 10
	readBufferBytes   = 4096
	readTimeout       = 30 * time.Second
	writeTimeout      = 10 * time.Second
	minIdleTimeout    = 30 * time.Second
	idleHeartbeats    = 6  // heartbeat intervals after which a connection is idle
	minConcurrency    = 64 // requests at a time, where connections are limited
	concurrencyTenths = 9  // tenths of the connection limit
)

// Run serves until the context ends or a listener fails.
func Run(ctx context.Context, settings *config.Settings, operator *config.OperatorSettings) error {
	listener, err := net.Listen("tcp4", settings.ServeOn)
	if err != nil {
		return err
	}
	slog.Info("start", "node", settings.NodeName, "session_s", settings.LeaseTimes(operator).TTL.Seconds())

	if operator.Duties != nil && operator.Duties.TraceEndpoint != "" {
		shutdown, err := tracing.Setup(ctx, operator.Duties.TraceEndpoint, settings.NodeName)
		if err != nil {
			return err
		}
		defer func() { _ = shutdown(context.WithoutCancel(ctx)) }() // what is not sent by now is lost
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

// process is a controller with all that it runs: the actors and the servers.
type process struct {
	mailbox      chan any
	controller   *controller
	session      *session
	frontend     *frontend
	http         *fasthttp.Server
	peerListener net.Listener
	peerServices []func(grpc.ServiceRegistrar)
}

// newProcess sets a controller up, without starting anything.
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

// dialSiblings prepares the calls to the other controllers.
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

// newHTTPServer answers users and workers.
func newHTTPServer(settings *config.Settings, f *frontend) *fasthttp.Server {
	server := &fasthttp.Server{Handler: f.serve, Name: "woadweir", MaxRequestBodySize: maxRequestBytes, NoDefaultDate: true,
		ReadBufferSize: readBufferBytes, IdleTimeout: idleTimeout(settings), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		Logger: discardLogger{}, NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	if limit := settings.Params.Quota.FDLimit; limit > 0 {
		server.Concurrency = max(minConcurrency, limit*concurrencyTenths/10)
	}
	return server
}

// idleTimeout is how long a connection may be idle. Workers whose machines were
// partitioned off come back on new connections, hundreds at once, while nothing closes
// their old ones: those must be closed before there are too many.
func idleTimeout(settings *config.Settings) time.Duration {
	return max(minIdleTimeout, (idleHeartbeats * model.Seconds(settings.Params.Workers.ReportS)).Duration())
}

// discardLogger drops what the HTTP server logs about broken connections.
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
			default: // the mailbox is full, so the actor runs anyway
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
