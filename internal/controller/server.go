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
func Run(ctx context.Context, set *config.Settings, op *config.OperatorSettings) error {
	listener, err := net.Listen("tcp4", set.ServeOn)
	if err != nil {
		return err
	}
	slog.Info("start", "node", set.NodeName, "session_s", set.LeaseTimes(op).TTL.Seconds())

	if op.Duties != nil && op.Duties.TraceEndpoint != "" {
		shutdown, err := tracing.Setup(ctx, op.Duties.TraceEndpoint, set.NodeName)
		if err != nil {
			return err
		}
		defer func() { _ = shutdown(context.WithoutCancel(ctx)) }() // what is not sent by now is lost
	}
	group, ctx := errgroup.WithContext(ctx)
	p, err := newProcess(ctx, set, op)
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
func newProcess(ctx context.Context, set *config.Settings, op *config.OperatorSettings) (*process, error) {
	clock, leaseTimes := SteadyClock(), set.LeaseTimes(op)
	mail := make(chan any, mailboxSize)
	stateClient := state.NewClient(set.Services.State)
	peers, err := dialSiblings(set)
	if err != nil {
		return nil, err
	}
	p := &process{mailbox: mail, frontend: &frontend{mailbox: mail, peers: peers, state: stateClient, ctx: ctx}}
	p.http = newHTTPServer(set, p.frontend)
	if p.peerListener, err = net.Listen("tcp4", set.PeerAddress); err != nil {
		return nil, err
	}
	abandon := make(chan uint64, maxAbandonedSessions)
	io := &asyncEffects{mailbox: mail, clock: clock, state: stateClient, cloud: cloud.NewClient(set.Services.Cloud), peers: peers, name: set.NodeName, ctx: ctx,
		abandon: abandon}
	p.controller = newController(set, op, leaseTimes, clock, io)
	p.session = &session{state: stateClient, clock: clock, mailbox: mail, name: set.NodeName, serveAddress: set.ServeOn, ttl: leaseTimes.TTL, mayHoldDuties: op.Duties != nil, spills: op.Spill != nil, abandon: abandon}
	if op.Spill == nil {
		return p, nil
	}
	p.peerServices = append(p.peerServices, func(s grpc.ServiceRegistrar) { cellrpc.Register(s, p.frontend) })
	p.controller.cells, err = newCellIO(io, op.Spill)
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
func dialSiblings(set *config.Settings) (peers []*peer.Client, err error) {
	for _, sibling := range set.Siblings {
		p, err := peer.Dial(sibling.NodeName, sibling.Endpoint)
		if err != nil {
			return nil, err
		}
		peers = append(peers, p)
	}
	return peers, nil
}

// newHTTPServer answers users and workers.
func newHTTPServer(set *config.Settings, f *frontend) *fasthttp.Server {
	server := &fasthttp.Server{Handler: f.serve, Name: "woadweir", MaxRequestBodySize: maxRequestBytes, NoDefaultDate: true,
		ReadBufferSize: readBufferBytes, IdleTimeout: idleTimeout(set), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		Logger: discardLogger{}, NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	if limit := set.Params.Quota.FDLimit; limit > 0 {
		server.Concurrency = max(minConcurrency, limit*concurrencyTenths/10)
	}
	return server
}

// idleTimeout is how long a connection may be idle. Workers whose machines were
// partitioned off come back on new connections, hundreds at once, while nothing closes
// their old ones: those must be closed before there are too many.
func idleTimeout(set *config.Settings) time.Duration {
	return max(minIdleTimeout, (idleHeartbeats * model.Seconds(set.Params.Workers.ReportS)).Duration())
}

// discardLogger drops what the HTTP server logs about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// tick sends the controller actor a message at every interval.
func tick(ctx context.Context, mail chan<- any) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			select {
			case mail <- msgTick{}:
			default: // the mailbox is full, so the actor runs anyway
			}
		}
	}
}

// logEvent logs an event of the leader's scheduler.
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
	if e.Reason != "" {
		args = append(args, "why", e.Reason)
	}
	slog.Info(string(e.Kind), args...)
}
