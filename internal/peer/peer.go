// Package peer lets controllers talk to each other by gRPC.
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

// Handler answers the other controllers' calls.
type Handler interface {
	// User answers a user's request without forwarding it.
	User(method, path string, body []byte) userapi.Answer
	// Ping tells whether the state service was reached lately, and how many
	// workers reported lately.
	Ping() (stateReached bool, workers int)
	// Report answers a worker's report that a sibling hands on.
	Report(body []byte) (code int, answer []byte)
	// EndSession ends a sibling's session on its own request.
	EndSession(id uint64)
}

type server struct {
	UnimplementedPeerServer
	h Handler
}

func (s *server) Forward(_ context.Context, r *UserRequest) (*UserAnswer, error) {
	a := s.h.User(r.GetMethod(), r.GetPath(), r.GetBody())
	return &UserAnswer{Code: int32(a.Code), Body: a.Body, RetryAfterS: int32(a.RetryAfter)}, nil
}

func (s *server) Ping(context.Context, *PingRequest) (*PingAnswer, error) {
	reached, workers := s.h.Ping()
	return &PingAnswer{StateReached: reached, Workers: int32(workers), Relays: true}, nil
}

func (s *server) Report(_ context.Context, r *ReportRequest) (*ReportAnswer, error) {
	code, body := s.h.Report(r.GetReport())
	return &ReportAnswer{Code: int32(code), Body: body}, nil
}

func (s *server) Resign(_ context.Context, r *ResignRequest) (*ResignAnswer, error) {
	s.h.EndSession(r.GetSession())
	return &ResignAnswer{}, nil
}

// maxCalls is how many calls of one controller may be answered at the same time: a
// sibling may hand on the reports of some thousand workers at once.
const maxCalls = 8192

// Serve answers calls until the context ends, those of further services too.
func Serve(ctx context.Context, ln net.Listener, h Handler, services ...func(grpc.ServiceRegistrar)) error {
	s := grpc.NewServer(grpc.MaxConcurrentStreams(maxCalls))
	RegisterPeerServer(s, &server{h: h})
	for _, register := range services {
		register(s)
	}
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	return s.Serve(ln)
}

// Client calls one other controller.
type Client struct {
	Name string
	conn *grpc.ClientConn
	rpc  PeerClient
}

// Connect prepares a connection to a controller of this cell or of another. Once that is
// back after an absence, however long, it is reached within seconds: gRPC's own backoff
// grows to two minutes.
func Connect(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 2 * time.Second}}))
}

// Dial prepares a client; it connects when it is first used.
func Dial(name, endpoint string) (*Client, error) {
	conn, err := Connect(endpoint)
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, conn: conn, rpc: NewPeerClient(conn)}, nil
}

// Forward has the other controller answer a user's request.
func (c *Client) Forward(ctx context.Context, method, path string, body []byte) (userapi.Answer, error) {
	a, err := c.rpc.Forward(ctx, &UserRequest{Method: method, Path: path, Body: body})
	if err != nil {
		return userapi.Answer{}, err
	}
	return userapi.Answer{Code: int(a.GetCode()), Body: a.GetBody(), RetryAfter: int(a.GetRetryAfterS())}, nil
}

// Pinged is what another controller tells of itself.
type Pinged struct {
	Reached bool // it reaches the state service
	Workers int  // that reported to it lately
	Relays  bool // it hands reports on
}

// Ping asks the other controller how it is.
func (c *Client) Ping(ctx context.Context, self string) (Pinged, error) {
	a, err := c.rpc.Ping(ctx, &PingRequest{Node: self})
	return Pinged{a.GetStateReached(), int(a.GetWorkers()), a.GetRelays()}, err
}

// Report has the other controller, which leads, answer a worker's report.
func (c *Client) Report(ctx context.Context, body []byte) (code int, answer []byte, err error) {
	a, err := c.rpc.Report(ctx, &ReportRequest{Report: body})
	return int(a.GetCode()), a.GetBody(), err
}

// Resign has the other controller end our session.
func (c *Client) Resign(ctx context.Context, session uint64) error {
	_, err := c.rpc.Resign(ctx, &ResignRequest{Session: session})
	return err
}

// Close drops the connection.
func (c *Client) Close() error { return c.conn.Close() }
