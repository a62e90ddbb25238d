package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"woadweir/internal/userapi"
)

// fakeHandler returns fixed answers, and records the session that it was asked to end.
type fakeHandler struct{ endedSession uint64 }

func (*fakeHandler) User(method, path string, body []byte) userapi.Answer {
	return userapi.Answer{Code: 503, Body: []byte(method + " " + path + " " + string(body)), RetryAfter: 2}
}
func (*fakeHandler) Ping() (bool, int) { return true, 7 }
func (*fakeHandler) Report(body []byte) (int, []byte) {
	return 421, append([]byte("answer to "), body...)
}
func (f *fakeHandler) EndSession(id uint64) { f.endedSession = id }

func TestCalls(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	handler := &fakeHandler{}
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, handler) }()
	client, err := Dial("n1", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if answer, err := client.Forward(ctx, "POST", "/work", []byte("{}")); err != nil || answer.Code != 503 || answer.RetryAfter != 2 || string(answer.Body) != "POST /work {}" {
		t.Errorf("forwarded request: got %+v, error %v, want code 503, retry after 2 s and body POST /work {}", answer, err)
	}
	if status, err := client.Ping(ctx, "n0"); err != nil || status != (Status{true, 7, true}) {
		t.Errorf("ping: got %+v, error %v, want %+v", status, err, Status{true, 7, true})
	}
	if code, body, err := client.Report(ctx, []byte("{}")); err != nil || code != 421 || string(body) != "answer to {}" {
		t.Errorf("relayed heartbeat: got %d %s, error %v, want 421 answer to {}", code, body, err)
	}
	if err := client.Resign(ctx, 9); err != nil || handler.endedSession != 9 {
		t.Errorf("resignation: session %d was ended, error %v, want session 9", handler.endedSession, err)
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve returned error %v", err)
	}
}
