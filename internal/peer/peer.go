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
	return &PingAnswer{StateReached: reached, Workers: int32(workers)}, nil
}

func (s *server) Resign(_ context.Context, r *ResignRequest) (*ResignAnswer, error) {
	s.h.EndSession(r.GetSession())
	return &ResignAnswer{}, nil
}

// Serve answers calls until the context ends.
func Serve(ctx context.Context, ln net.Listener, h Handler) error {
	s := grpc.NewServer(grpc.MaxConcurrentStreams(256))
	RegisterPeerServer(s, &server{h: h})
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

// Dial prepares a client; it connects when it is first used.
func Dial(name, endpoint string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 2 * time.Second}}))
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

// Ping tells whether the other controller reaches the state service, and how
// many workers reported to it lately.
func (c *Client) Ping(ctx context.Context, self string) (reached bool, workers int, err error) {
	a, err := c.rpc.Ping(ctx, &PingRequest{Node: self})
	if err != nil {
		return false, 0, err
	}
	return a.GetStateReached(), int(a.GetWorkers()), nil
}

// Resign has the other controller end our session.
func (c *Client) Resign(ctx context.Context, session uint64) error {
	_, err := c.rpc.Resign(ctx, &ResignRequest{Session: session})
	return err
}

// Close drops the connection.
func (c *Client) Close() error { return c.conn.Close() }
