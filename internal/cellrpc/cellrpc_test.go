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

// fakeController answers calls if it is the holder, and refuses them otherwise.
type fakeController struct {
	isHolder bool
	cell     string
	calls    int
}

func (c *fakeController) Offer(offer *spill.Offer) (*spill.OfferAnswer, error) {
	if c.calls++; !c.isHolder {
		return nil, spill.ErrNotHolder
	}
	return &spill.OfferAnswer{Cell: c.cell, Refusal: spill.Busy, Detail: offer.Spec.ID, RetryAfter: 5, WorkerLease: 18}, nil
}

func (c *fakeController) Renew(renewal *spill.Renewal) (*spill.RenewalAnswer, error) {
	if c.calls++; !c.isHolder {
		return nil, spill.ErrNotHolder
	}
	return &spill.RenewalAnswer{Home: c.cell, Age: 7, Jobs: []spill.Verdict{{Job: renewal.Jobs[0].Job, Token: renewal.Jobs[0].Token, Kind: spill.Ended, End: "done", Confirmed: renewal.Jobs[0].Done}}}, nil
}

func startServer(t *testing.T, handler *fakeController) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	Register(server, handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// Calls reach the holder, and its answers come back unchanged. A request that breaks the
// validation rules is refused with the name of the field before it reaches the handler. A
// reply from a cell other than the one that was called is refused too.
func TestCallsReachHolderAndAreValidated(t *testing.T) {
	nonHolder, holder := &fakeController{}, &fakeController{isHolder: true, cell: "south"}
	addresses := []string{startServer(t, nonHolder), startServer(t, holder)}
	client, err := Dial("south", addresses)
	if err != nil {
		t.Fatal(err)
	}
	const spec = `{"ref":"j-1","jobclass":"c","owner":"red","shape":"sweep","rank":"standard","pieces":2,"cores":1,"bundle":"i"}`
	offerAnswer, err := client.Offer(t.Context(), &spill.Offer{Home: "north", Token: 3, Done: []byte{1}}, []byte(spec))
	if want := (&spill.OfferAnswer{Cell: "south", Refusal: spill.Busy, Detail: "j-1", RetryAfter: 5, WorkerLease: 18}); err != nil || !reflect.DeepEqual(offerAnswer, want) {
		t.Errorf("offer: got %+v, %v, want %+v", offerAnswer, err, want)
	}
	renewal := &spill.Renewal{ExecutionCell: "west", WorkerLease: 18 * model.Second, Jobs: []spill.JobReport{{Job: "j-1", Token: 3, Running: 1, Done: []byte{2}}}}
	renewalAnswer, err := client.Renew(t.Context(), renewal)
	want := &spill.RenewalAnswer{Home: "south", Age: 7, Jobs: []spill.Verdict{{Job: "j-1", Token: 3, Kind: spill.Ended, End: "done", Confirmed: []byte{2}}}}
	if err != nil || !reflect.DeepEqual(renewalAnswer, want) {
		t.Errorf("renewal: got %+v, %v, want %+v", renewalAnswer, err, want)
	}
	if nonHolder.calls != 1 {
		t.Errorf("the controller that does not hold the shard was called %d times, want once", nonHolder.calls)
	}
	callsBefore := holder.calls
	for want, call := range map[string]func() error{
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
		"jobs[0].token":   func() error { return renewJob(client, spill.JobReport{Job: "j-1"}) },
		"jobs[0].job":     func() error { return renewJob(client, spill.JobReport{Job: "../x", Token: 1}) },
		"worker_lease_us": func() error { _, err := client.Renew(t.Context(), &spill.Renewal{ExecutionCell: "west"}); return err },
	} {
		if err := call(); !errors.Is(err, spill.ErrUnreachable) || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid request: got error %v, want one with %q", err, want)
		}
	}
	if holder.calls != callsBefore {
		t.Error("an invalid message reached the holder's handler")
	}
	west, err := Dial("west", addresses)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := west.Renew(t.Context(), renewal); err == nil || !strings.Contains(err.Error(), `comes from cell "south"`) {
		t.Errorf("reply from another cell: got error %v, want one with its name", err)
	}
}

func renewJob(client *Client, report spill.JobReport) error {
	_, err := client.Renew(context.Background(), &spill.Renewal{ExecutionCell: "west", WorkerLease: 1, Jobs: []spill.JobReport{report}})
	return err
}
