// Package peer implements the gRPC service through which controllers call each other.
package peer

//go:generate protoc --go_out=../.. --go_opt=module=woadweir --go-grpc_out=../.. --go-grpc_opt=module=woadweir -I ../.. internal/peer/peer.proto

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"woadweir/internal/userapi"
)

// Handler answers the calls of the other controllers.
type Handler interface {
	// User answers a user's request without forwarding it.
	User(method, path string, body []byte) userapi.Answer
	// Ping returns whether the state service was reached recently, and the number of
	// workers that recently sent heartbeats to this controller.
	Ping() (stateReached bool, workers int)
	// Report answers a worker's heartbeat that another controller relays.
	Report(body []byte) (code int, responseBody []byte)
	// EndSession ends another controller's session lease at that controller's request.
	EndSession(leaseID uint64)
}

// server translates between the generated messages and a Handler.
type server struct {
	UnimplementedPeerServer
	handler Handler
}

func (s *server) Forward(_ context.Context, r *UserRequest) (*UserAnswer, error) {
	answer := s.handler.User(r.GetMethod(), r.GetPath(), r.GetBody())
	return &UserAnswer{Code: int32(answer.Code), Body: answer.Body, RetryAfterS: int32(answer.RetryAfter)}, nil
}

func (s *server) Ping(context.Context, *PingRequest) (*PingAnswer, error) {
	reached, workers := s.handler.Ping()
	return &PingAnswer{StateReached: reached, Workers: int32(workers), Relays: true}, nil
}

func (s *server) Report(_ context.Context, r *ReportRequest) (*ReportAnswer, error) {
	code, body := s.handler.Report(r.GetReport())
	return &ReportAnswer{Code: int32(code), Body: body}, nil
}

func (s *server) Resign(_ context.Context, r *ResignRequest) (*ResignAnswer, error) {
	s.handler.EndSession(r.GetSession())
	return &ResignAnswer{}, nil
}

// maxConcurrentCalls is the maximum number of concurrent calls on a connection from one
// controller, which may relay the heartbeats of some thousand workers at once.
const maxConcurrentCalls = 8192

// Serve answers calls until the context ends. services registers further gRPC services on
// the same listener.
func Serve(ctx context.Context, listener net.Listener, handler Handler, services ...func(grpc.ServiceRegistrar)) error {
	grpcServer := grpc.NewServer(grpc.MaxConcurrentStreams(maxConcurrentCalls))
	RegisterPeerServer(grpcServer, &server{handler: handler})
	for _, register := range services {
		register(grpcServer)
	}
	stop := context.AfterFunc(ctx, grpcServer.Stop)
	defer stop()
	return grpcServer.Serve(listener)
}

// Client makes calls to one other controller.
type Client struct {
	Name string
	conn *grpc.ClientConn
	rpc  PeerClient
}

// reconnectParams limits the backoff so that a controller that returns after an outage of
// any length is reached within seconds. gRPC's default backoff grows to two minutes.
var reconnectParams = grpc.ConnectParams{
	MinConnectTimeout: time.Second,
	Backoff: backoff.Config{
		BaseDelay:  200 * time.Millisecond,
		Multiplier: 1.5,
		Jitter:     0.2,
		MaxDelay:   2 * time.Second,
	},
}

// Connect returns a connection to a controller of this cell or of another cell. It is
// established when it is first used.
func Connect(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnectParams))
}

// Dial returns a client for a controller. It connects when it is first used.
func Dial(name, endpoint string) (*Client, error) {
	conn, err := Connect(endpoint)
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, conn: conn, rpc: NewPeerClient(conn)}, nil
}

// Forward forwards a user's request to the other controller and returns its answer.
func (c *Client) Forward(ctx context.Context, method, path string, body []byte) (userapi.Answer, error) {
	answer, err := c.rpc.Forward(ctx, &UserRequest{Method: method, Path: path, Body: body})
	if err != nil {
		return userapi.Answer{}, err
	}
	return userapi.Answer{Code: int(answer.GetCode()), Body: answer.GetBody(), RetryAfter: int(answer.GetRetryAfterS())}, nil
}

// Status is the status that a controller reports in its answer to a ping.
type Status struct {
	ReachesState     bool // the controller recently reached the state service
	Workers          int  // number of workers that recently sent heartbeats to it
	RelaysHeartbeats bool // the controller relays heartbeats to the leader
}

// Ping returns the status of the other controller. self is the name of the caller.
func (c *Client) Ping(ctx context.Context, self string) (Status, error) {
	answer, err := c.rpc.Ping(ctx, &PingRequest{Node: self})
	return Status{ReachesState: answer.GetStateReached(), Workers: int(answer.GetWorkers()), RelaysHeartbeats: answer.GetRelays()}, err
}

// Report relays a worker's heartbeat to the other controller, which leads, and returns its
// response to the worker.
func (c *Client) Report(ctx context.Context, body []byte) (code int, responseBody []byte, err error) {
	answer, err := c.rpc.Report(ctx, &ReportRequest{Report: body})
	return int(answer.GetCode()), answer.GetBody(), err
}

// Resign makes the other controller end this controller's session lease.
func (c *Client) Resign(ctx context.Context, leaseID uint64) error {
	_, err := c.rpc.Resign(ctx, &ResignRequest{Session: leaseID})
	return err
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
