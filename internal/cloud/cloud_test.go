package cloud

import (
	"errors"
	"net"
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"

	"woadweir/internal/core/model"
)

const timeout = 5 * model.Second

// fakeCloud answers every request with the same status and body, and records the last
// request.
type fakeCloud struct {
	request string
	status  int
	body    string
}

func startFakeCloud(t *testing.T) (*fakeCloud, *Client) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeCloud{status: 200}
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		fake.request = string(rc.Method()) + " " + string(rc.RequestURI()) + " " + string(rc.PostBody())
		rc.SetStatusCode(fake.status)
		rc.SetBodyString(fake.body)
	}}
	go server.Serve(listener) //nolint:errcheck // returns when the listener is closed
	t.Cleanup(func() { listener.Close() })
	return fake, NewClient(listener.Addr().String())
}

func (f *fakeCloud) expectRequest(t *testing.T, want string) {
	t.Helper()
	if f.request != want {
		t.Errorf("got request %s\nwant %s", f.request, want)
	}
}

func TestRent(t *testing.T) {
	fake, client := startFakeCloud(t)
	fake.body = `{"hosts":["h1","h2"]}`
	rental := Rental{RequestID: "r-1", MachineType: "box", Zone: "a", Spot: true, Count: 2}
	machineIDs, err := client.Rent(&rental, timeout)
	if err != nil || !reflect.DeepEqual(machineIDs, []string{"h1", "h2"}) {
		t.Errorf("rented machines: got %v, error %v, want [h1 h2]", machineIDs, err)
	}
	fake.expectRequest(t, `POST /rentals {"hire":"r-1","build":"box","yard":"a","loaners":true,"count":2}`)
}

func TestDelete(t *testing.T) {
	fake, client := startFakeCloud(t)
	if err := client.Delete([]string{"h1", "h2"}, timeout); err != nil {
		t.Error(err)
	}
	fake.expectRequest(t, `POST /rentals/delete {"hosts":["h1","h2"]}`)
}

func TestList(t *testing.T) {
	fake, client := startFakeCloud(t)
	fake.body = `{"hosts":[{"ref":"h1","address":"10.0.0.1:80","build":"box","yard":"a","loaners":true,"status":"up","heldS":1.5}],"hasNext":false}`
	machines, err := client.List(timeout)
	want := []Machine{{ID: "h1", Address: "10.0.0.1:80", MachineType: "box", Zone: "a", Spot: true, Status: "up", HeldS: 1.5}}
	if err != nil || !reflect.DeepEqual(machines, want) {
		t.Errorf("machine list: got %+v, error %v, want %+v", machines, err, want)
	}
	fake.expectRequest(t, "GET /rentals?most=500 ")
}

func TestMachineTypes(t *testing.T) {
	fake, client := startFakeCloud(t)
	fake.body = `{"builds":[{"label":"box"}]}`
	machineTypes, err := client.MachineTypes(timeout)
	if err != nil || len(machineTypes) != 1 || machineTypes[0].Name != "box" {
		t.Errorf("machine types: got %+v, error %v, want one named box", machineTypes, err)
	}
	fake.expectRequest(t, "GET /flavors ")
}

func TestErrors(t *testing.T) {
	fake, client := startFakeCloud(t)
	for _, test := range []struct {
		status int
		body   string
		want   string
	}{
		{429, "", "cloud: too many requests"},
		{503, `{"error":"no capacity"}`, "cloud: no capacity"},
		{503, `{"error":"maintenance"}`, "cloud: service unavailable (status 503)"},
		{503, "no JSON", "cloud: service unavailable (status 503)"},
		{418, "", "cloud: unexpected status 418"},
	} {
		fake.status, fake.body = test.status, test.body
		if _, err := client.Rent(&Rental{}, timeout); err == nil || err.Error() != test.want {
			t.Errorf("rental with response %d %q: got error %v, want %s", test.status, test.body, err, test.want)
		}
	}
	fake.status = 429
	if err := client.Delete(nil, timeout); !errors.Is(err, ErrBusy) {
		t.Errorf("deletion with response 429: got error %v, want %v", err, ErrBusy)
	}
	fake.expectRequest(t, `POST /rentals/delete {"hosts":null}`)
}
