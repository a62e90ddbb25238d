package tracing

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	otlp "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/grpc"
)

// receiver is a collector that keeps what it is sent.
type receiver struct {
	collector.UnimplementedTraceServiceServer
	mu    sync.Mutex
	spans []*otlp.Span
}

func (r *receiver) Export(_ context.Context, q *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rs := range q.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			r.spans = append(r.spans, ss.GetSpans()...)
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

// Spans go nowhere until tracing is set up; then they reach the collector, with a parent
// that another controller has named.
func TestSpansReachTheCollector(t *testing.T) {
	if off := Start("", "before"); off.Context() != "" {
		t.Errorf("a span is recorded without a collector: %s", off.Context())
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, server := &receiver{}, grpc.NewServer()
	collector.RegisterTraceServiceServer(server, r)
	go func() { _ = server.Serve(ln) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	shutdown, err := Setup(ctx, ln.Addr().String(), "node-1")
	if err != nil {
		t.Fatal(err)
	}
	decision := Start("", "intent", attribute.String("request", "w1-1"))
	call := Start(decision.Context(), "call")
	call.End("refused")
	decision.End("")
	if err := shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spans) != 2 {
		t.Fatalf("%d spans", len(r.spans))
	}
	child, parent := r.spans[0], r.spans[1]
	if child.GetName() != "call" || string(child.GetTraceId()) != string(parent.GetTraceId()) || string(child.GetParentSpanId()) != string(parent.GetSpanId()) {
		t.Errorf("%v is no child of %v", child, parent)
	}
	if child.GetStatus().GetMessage() != "refused" || parent.GetStatus().GetMessage() != "" || parent.GetAttributes()[0].GetValue().GetStringValue() != "w1-1" {
		t.Errorf("%v, %v", child, parent)
	}
}
