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

// fakeCollector is a collector that keeps the spans it receives.
type fakeCollector struct {
	collector.UnimplementedTraceServiceServer
	mu    sync.Mutex
	spans []*otlp.Span
}

func (c *fakeCollector) Export(_ context.Context, request *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resourceSpans := range request.GetResourceSpans() {
		for _, scopeSpans := range resourceSpans.GetScopeSpans() {
			c.spans = append(c.spans, scopeSpans.GetSpans()...)
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

// Spans are not recorded until Setup is called. After that they reach the collector, and a
// span started with another span's context is its child.
func TestSpansReachTheCollector(t *testing.T) {
	if span := Start("", "before"); span.Context() != "" {
		t.Errorf("a span is recorded before Setup: got context %q, want none", span.Context())
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received, server := &fakeCollector{}, grpc.NewServer()
	collector.RegisterTraceServiceServer(server, received)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	shutdown, err := Setup(ctx, listener.Addr().String(), "node-1")
	if err != nil {
		t.Fatal(err)
	}
	parentSpan := Start("", "intent", attribute.String("request", "w1-1"))
	childSpan := Start(parentSpan.Context(), "call")
	childSpan.End("refused")
	parentSpan.End("")
	if err := shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	received.mu.Lock()
	defer received.mu.Unlock()
	if len(received.spans) != 2 {
		t.Fatalf("collector got %d spans, want 2", len(received.spans))
	}
	child, parent := received.spans[0], received.spans[1]
	if child.GetName() != "call" || string(child.GetTraceId()) != string(parent.GetTraceId()) || string(child.GetParentSpanId()) != string(parent.GetSpanId()) {
		t.Errorf("span %v is not the span \"call\" with parent %v", child, parent)
	}
	if child.GetStatus().GetMessage() != "refused" || parent.GetStatus().GetMessage() != "" || parent.GetAttributes()[0].GetValue().GetStringValue() != "w1-1" {
		t.Errorf("wrong status or attributes: child %v, parent %v", child, parent)
	}
}
