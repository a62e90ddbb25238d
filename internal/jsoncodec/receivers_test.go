package jsoncodec_test

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/state"
	"woadweir/internal/workerapi"
)

const timeout = 5 * model.Second

const submission = `{"ref":"j-000412","jobclass":"train","owner":"vision","shape":"gang","rank":"urgent","pieces":16,` +
	`"cores":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","imageGb":6.2,"builds":["g8"],"yard":"a","samePlace":true,` +
	`"apart":false,"loaners":true,"guessS":240.0,"keepsakeS":30.0,"stowS":4.0,"dueS":900.0,"awaits":["j-000398"],"atMs":7}`

// receiver is a place where JSON from outside of the process is read.
type receiver struct {
	name     string
	document string // with every field that the receiver knows
	read     func(document string) (any, error)
}

// Unknown fields have to be ignored, and names of fields are case-sensitive. A user's
// submission with a field "Ref" that named a cancelled job was stored as that job: it was
// started again, and its end was overwritten.
func TestReceiversIgnoreUnknownFields(t *testing.T) {
	service := startService(t)
	receivers := messageReceivers()
	receivers = append(receivers, recordReceivers()...)
	receivers = append(receivers, service.stateReceivers()...)
	receivers = append(receivers, service.cloudReceivers()...)
	for _, r := range receivers {
		t.Run(r.name, func(t *testing.T) {
			want, err := r.read(r.document)
			if err != nil {
				t.Fatalf("%s: %v", r.document, err)
			}
			for _, field := range fieldsOf(t, r.document) {
				field.checkAdded(t, &r, want)
				field.checkRenamed(t, &r)
			}
		})
	}
}

// field is a field of an object in a document.
type field struct {
	document   string
	name       string
	start, end int // of the name with its quotes, and of the value
	value      string
}

// fieldName matches the name of a field. Keys of maps contain digits in these documents.
var fieldName = regexp.MustCompile(`"([A-Za-z]+)":`)

func fieldsOf(t *testing.T, document string) (fields []field) {
	for _, match := range fieldName.FindAllStringSubmatchIndex(document, -1) {
		var value json.RawMessage
		if err := json.NewDecoder(strings.NewReader(document[match[1]:])).Decode(&value); err != nil {
			t.Fatal(err)
		}
		fields = append(fields, field{document, document[match[2]:match[3]], match[0], match[1] + len(value), string(value)})
	}
	if len(fields) == 0 {
		t.Fatalf("%s has no fields", document)
	}
	return fields
}

// otherNames returns names that differ from the field's only in case, as Unicode folds it.
func (f *field) otherNames() (names []string) {
	for _, name := range []string{
		strings.ToUpper(f.name),
		strings.ToLower(f.name),
		strings.ToUpper(f.name[:1]) + f.name[1:],
		strings.ToLower(f.name[:1]) + f.name[1:],
		strings.Replace(f.name, "s", "\u017f", 1), // long s
		strings.Replace(f.name, "k", "\u212a", 1), // Kelvin sign
	} {
		if name != f.name {
			names = append(names, name)
		}
	}
	return names
}

// otherValues returns values that a receiver would notice: valid ones, and others that are not.
func (f *field) otherValues() []string {
	switch f.value[0] {
	case '"':
		return []string{`"j-000431"`, `"other"`, `{}`}
	case '[':
		return []string{`[]`, `["j-000431"]`, `7`}
	case '{':
		return []string{`{}`, `null`, `"other"`}
	case 't', 'f':
		return []string{`true`, `false`, `[]`}
	}
	return []string{`1`, `2`, `"other"`}
}

// checkAdded adds an unknown field before and after the field.
func (f *field) checkAdded(t *testing.T, r *receiver, want any) {
	for _, name := range f.otherNames() {
		for _, value := range f.otherValues() {
			unknown := fmt.Sprintf("%q:%s", name, value)
			before := f.document[:f.start] + unknown + "," + f.document[f.start:]
			after := f.document[:f.end] + "," + unknown + f.document[f.end:]
			repeated := f.document[:f.end] + "," + unknown + "," + unknown + f.document[f.end:]
			for _, document := range []string{before, after, repeated} {
				if got, err := r.read(document); err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("%s:\ngot  %+v, error %v\nwant %+v", document, got, err, want)
				}
			}
		}
	}
}

// checkRenamed changes the case of the field's name, which must have the effect of leaving the
// field out.
func (f *field) checkRenamed(t *testing.T, r *receiver) {
	rename := func(name string) string {
		return f.document[:f.start] + fmt.Sprintf("%q:%s", name, f.value) + f.document[f.end:]
	}
	want, wantErr := r.read(rename("unheardOf"))
	for _, name := range f.otherNames() {
		got, err := r.read(rename(name))
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v, error %v\nwant %+v, error %v", rename(name), got, err, want, wantErr)
		}
	}
}

// messageReceivers returns the receivers of messages from users, workers and other cells.
func messageReceivers() []receiver {
	type parsed struct {
		submission *model.Submission
		ref        string
	}
	heartbeat := `{"host":"host-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,` +
		`"tenure":3,"tally":88,"warrant":41,"recallS":7.5,"pieces":[` +
		`{"piece":"j-000412/3","try":5,"status":"running"},` +
		`{"piece":"j-000398/0","try":4,"status":"ended","cause":"stopped","stored":true}]}`
	return []receiver{
		{"submission", submission, func(document string) (any, error) {
			submission, ref, err := model.ParseSubmission([]byte(document))
			return parsed{submission, ref}, err
		}},
		{"submission from another cell", submission, func(document string) (any, error) {
			return model.DecodeSubmission([]byte(document))
		}},
		{"heartbeat", heartbeat, func(document string) (any, error) {
			return workerapi.ParseHeartbeat([]byte(document))
		}},
	}
}

// recordReceivers returns the receivers of records in the state service.
func recordReceivers() (receivers []receiver) {
	for key, document := range map[string]string{
		"job/j-000412":          `{"spec":` + submission + `}`,
		"job/j-000398":          `{"end":"done","pieces":3,"atMs":5}`,
		"bound/b0/1":            `{"hosts":{"host-000231":{"build":"g8","yard":"a","spot":true,"pieces":{"j-000412":[[0,7]]}}},"done":{"j-000412":"AQ=="}}`,
		"node/weirhost-0":       `{"session":7,"serve":"10.0.0.1:8080","layout":3,"duties":true}`,
		"leader":                `{"node":"weirhost-0","session":7,"duties":true}`,
		"grant/b0":              `{"holder":"weirhost-0","session":7,"credit":{"team-1":{"Cores":1000,"GPUs":2000,"Mem":3000}}}`,
		"flavors":               `{"builds":[{"label":"g8","cores":96,"gpus":8,"memoryGb":768,"cacheGb":200,"fetchGbPerS":1.5,"price":12.5,"lowPrice":4.5,"bootS":45,"yards":["a","b"]}]}`,
		"duty/renting":          `{"holder":"weirhost-0","session":7,"sinceMs":9,"previous":"weirhost-1","previousToken":6,"why":"overloaded","avoid":{"weirhost-2":{"untilMs":12,"times":3}},"trace":"t"}`,
		"intent/rent/0":         `{"request":"r-1","machineType":"g8","zone":"a","spot":true,"count":5,"grant":41,"state":"open","machines":["host-000231"],"token":44,"trace":"t"}`,
		"intent/return/0":       `{"machines":["host-000231"],"grant":41,"state":"open","token":44,"trace":"t"}`,
		"spill/out/j-000412":    `{"cell":"east-1","token":44,"state":"lent","sinceMs":9,"leaseUs":8,"workerLeaseUs":7,"team":"vision","coresMilli":6,"gpusMilli":5,"trace":"t","running":4}`,
		"spill/in/w-1/j-000412": `{"home":"w-1","token":44,"state":"accepted","spec":` + submission + `,"done":"AQ==","sinceMs":9,"trace":"t"}`,
	} {
		receivers = append(receivers, receiver{"record " + key, document, func(document string) (any, error) {
			view := state.NewView()
			_, err := view.Set(key, json.RawMessage(document), 9)
			return view, err
		}})
	}
	return receivers
}

// service answers every request with the same response, except those for a further page of a
// list: there is none.
type service struct {
	address  string
	status   int
	response string
}

func startService(t *testing.T) *service {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{address: listener.Addr().String(), status: 200}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(s.status)
		if ctx.QueryArgs().Has("from") && !ctx.QueryArgs().Has("blockMs") {
			ctx.SetBodyString("{}")
			return
		}
		ctx.SetBodyString(s.response)
	}}
	go server.Serve(listener) //nolint:errcheck // ends with the listener
	t.Cleanup(func() { listener.Close() })
	return s
}

// receiver returns a receiver of the service's responses with a status.
func (s *service) receiver(name string, status int, document string, request func() (any, error)) receiver {
	return receiver{name, document, func(document string) (any, error) {
		s.status, s.response = status, document
		return request()
	}}
}

// failing turns the error of a request into the value that is compared, where an error is what
// the response means.
func failing[T any](request func() (T, error)) func() (any, error) {
	return func() (any, error) {
		_, err := request()
		return fmt.Sprint(err), nil
	}
}

// stateReceivers returns the receivers of the state service's responses.
func (s *service) stateReceivers() []receiver {
	client := state.NewClient(s.address)
	commit := func() (any, error) { return client.Commit(&state.Txn{}, timeout) }
	return []receiver{
		s.receiver("key", 200, `{"path":"a/b","value":{"x1":3},"stamp":412,"tenancy":7}`, func() (any, error) { return client.Get("a/b", timeout) }),
		s.receiver("list", 200, `{"entries":[{"path":"a/b","value":{"x1":3},"stamp":412,"tenancy":7}],"hasNext":false,"epoch":431}`, func() (any, error) {
			var entries []state.Entry
			revision, err := client.List(timeout, func(entry state.Entry) error {
				entries = append(entries, entry)
				return nil
			})
			return []any{revision, entries}, err
		}),
		s.receiver("watch", 200, `{"epoch":433,"events":[{"set":"c/9","value":{"x1":3},"stamp":433},{"drop":"c/d","stamp":432}]}`, func() (any, error) { return client.Watch(5, timeout) }),
		s.receiver("commit", 200, `{"epoch":432}`, commit),
		s.receiver("conflict", 409, `{"failed":["a/b"],"epoch":431}`, commit),
		s.receiver("malformed transaction", 400, `{"error":"no such lease"}`, failing(commit)),
		s.receiver("lease", 200, `{"tenancy":7}`, func() (any, error) { return client.GrantLease(model.Second, timeout) }),
	}
}

// cloudReceivers returns the receivers of the cloud's responses.
func (s *service) cloudReceivers() []receiver {
	client := cloud.NewClient(s.address)
	rent := func() (any, error) { return client.Rent(&cloud.Rental{}, timeout) }
	return []receiver{
		s.receiver("machine types", 200, `{"builds":[{"label":"g8","cores":96,"gpus":8,"memoryGb":768,"cacheGb":200,"fetchGbPerS":1.5,"price":12.5,"lowPrice":4.5,"bootS":45,"yards":["a","b"]}]}`,
			func() (any, error) { return client.MachineTypes(timeout) }),
		s.receiver("rental", 200, `{"hosts":["host-000231"]}`, rent),
		s.receiver("refused rental", 503, `{"error":"no capacity"}`, failing(rent)),
		s.receiver("machine list", 200, `{"hosts":[{"ref":"host-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"status":"running","heldS":61.5}],"hasNext":false}`,
			func() (any, error) { return client.List(timeout) }),
	}
}
