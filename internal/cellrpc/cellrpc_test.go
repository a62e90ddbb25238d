package cellrpc

import (
	"context"
	"errors"
	"net"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/grpc"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// holder answers as a cell's holder; others refuse.
type holder struct {
	holds bool
	cell  string
	asked int
}

func (h *holder) Offer(o *spill.Offer) (*spill.OfferAnswer, error) {
	if h.asked++; !h.holds {
		return nil, spill.ErrNotHolder
	}
	return &spill.OfferAnswer{Cell: h.cell, Refusal: spill.Busy, Detail: o.Spec.ID, RetryAfter: 5, WorkerLease: 18}, nil
}

func (h *holder) Renew(r *spill.Renewal) (*spill.RenewalAnswer, error) {
	if h.asked++; !h.holds {
		return nil, spill.ErrNotHolder
	}
	return &spill.RenewalAnswer{Home: h.cell, Age: 7, Jobs: []spill.Verdict{{Job: r.Jobs[0].Job, Token: r.Jobs[0].Token, Kind: spill.Ended, End: "done", Confirmed: r.Jobs[0].Done}}}, nil
}

func serve(t *testing.T, h *holder) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	Register(s, h)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Stop)
	return ln.Addr().String()
}

// Calls find the holder, and come back as they were; what breaks the rules of a message is
// refused with its field, by whoever gets it.
func TestCallsAreChecked(t *testing.T) {
	other, south := &holder{}, &holder{holds: true, cell: "south"}
	addresses := []string{serve(t, other), serve(t, south)}
	client, err := Dial("south", addresses)
	if err != nil {
		t.Fatal(err)
	}
	const spec = `{"ref":"j-1","jobclass":"c","owner":"red","shape":"sweep","rank":"standard","pieces":2,"cores":1,"bundle":"i"}`
	offer, err := client.Offer(t.Context(), &spill.Offer{Home: "north", Token: 3, Done: []byte{1}}, []byte(spec))
	if want := (&spill.OfferAnswer{Cell: "south", Refusal: spill.Busy, Detail: "j-1", RetryAfter: 5, WorkerLease: 18}); err != nil || !reflect.DeepEqual(offer, want) {
		t.Errorf("%+v, %v", offer, err)
	}
	question := &spill.Renewal{ExecutionCell: "west", WorkerLease: 18 * model.Second, Jobs: []spill.JobReport{{Job: "j-1", Token: 3, Running: 1, Done: []byte{2}}}}
	answer, err := client.Renew(t.Context(), question)
	want := &spill.RenewalAnswer{Home: "south", Age: 7, Jobs: []spill.Verdict{{Job: "j-1", Token: 3, Kind: spill.Ended, End: "done", Confirmed: []byte{2}}}}
	if err != nil || !reflect.DeepEqual(answer, want) {
		t.Errorf("%+v, %v", answer, err)
	}
	if other.asked != 1 {
		t.Errorf("the controller that does not hold the block was asked %d times", other.asked)
	}
	asked := south.asked
	for says, call := range map[string]func() error{
		"home": func() error {
			_, err := client.Offer(t.Context(), &spill.Offer{Home: "No Cell", Token: 3}, []byte(spec))
			return err
		},
		"spec: ref": func() error {
			_, err := client.Offer(t.Context(), &spill.Offer{Home: "north", Token: 3}, []byte(`{"ref":"?"}`))
			return err
		},
		"done: a task that": func() error {
			_, err := client.Offer(t.Context(), &spill.Offer{Home: "north", Token: 3, Done: []byte{4}}, []byte(spec))
			return err
		},
		"jobs[0].token":   func() error { return renew(client, spill.JobReport{Job: "j-1"}) },
		"jobs[0].job":     func() error { return renew(client, spill.JobReport{Job: "../x", Token: 1}) },
		"worker_lease_us": func() error { _, err := client.Renew(t.Context(), &spill.Renewal{ExecutionCell: "west"}); return err },
	} {
		if err := call(); !errors.Is(err, spill.ErrUnreachable) || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want %s", err, says)
		}
	}
	if south.asked != asked {
		t.Error("a message that breaks the rules came to the holder")
	}
	west, err := Dial("west", addresses)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := west.Renew(t.Context(), question); err == nil || !strings.Contains(err.Error(), `calls itself "south"`) {
		t.Errorf("a cell that answers under another name: %v", err)
	}
}

func renew(c *Client, report spill.JobReport) error {
	_, err := c.Renew(context.Background(), &spill.Renewal{ExecutionCell: "west", WorkerLease: 1, Jobs: []spill.JobReport{report}})
	return err
}
