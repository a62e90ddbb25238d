package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"woadweir/internal/userapi"
)

type scripted struct{ ended uint64 }

func (*scripted) User(method, path string, body []byte) userapi.Answer {
	return userapi.Answer{Code: 503, Body: []byte(method + " " + path + " " + string(body)), RetryAfter: 2}
}
func (*scripted) Ping() (bool, int) { return true, 7 }
func (*scripted) Report(body []byte) (int, []byte) {
	return 421, append([]byte("answer to "), body...)
}
func (s *scripted) EndSession(id uint64) { s.ended = id }

func TestCalls(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &scripted{}
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, ln, h) }()
	c, err := Dial("n1", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if a, err := c.Forward(ctx, "POST", "/work", []byte("{}")); err != nil || a.Code != 503 || a.RetryAfter != 2 || string(a.Body) != "POST /work {}" {
		t.Errorf("%+v, %v", a, err)
	}
	if p, err := c.Ping(ctx, "n0"); err != nil || p != (Status{true, 7, true}) {
		t.Errorf("%+v %v", p, err)
	}
	if code, body, err := c.Report(ctx, []byte("{}")); err != nil || code != 421 || string(body) != "answer to {}" {
		t.Errorf("%d %s %v", code, body, err)
	}
	if err := c.Resign(ctx, 9); err != nil || h.ended != 9 {
		t.Errorf("ended %d, %v", h.ended, err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("served: %v", err)
	}
}
