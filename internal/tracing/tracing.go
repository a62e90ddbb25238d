// Package tracing sends spans of what controllers do together to a collector, by OTLP
// over gRPC. Until it is set up, spans cost next to nothing and go nowhere.
package tracing

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Limits of what is kept for a collector that does not answer.
const (
	exportTimeout  = 2 * time.Second
	exportInterval = time.Second
	maxQueuedSpans = 512
)

const traceParentKey = "traceparent"

// Setup begins to send spans of this node to a collector, and returns what ends it.
// Spans that the collector does not take in time are dropped.
func Setup(ctx context.Context, endpoint, node string) (shutdown func(context.Context) error, err error) {
	exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(endpoint), otlptracegrpc.WithInsecure(), otlptracegrpc.WithTimeout(exportTimeout))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithBatchTimeout(exportInterval)),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "woadweir"), attribute.String("service.instance.id", node))))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Span is one step of work that may have begun on another controller.
type Span struct {
	span    trace.Span
	context string
}

// Start begins a span. The parent is the Context of a span of any controller, or "".
func Start(parent, name string, attributes ...attribute.KeyValue) Span {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceParentKey: parent})
	ctx, span := otel.Tracer("woadweir").Start(ctx, name, trace.WithAttributes(attributes...))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span, carrier[traceParentKey]}
}

// Context names the span to other controllers, "" if it is not recorded.
func (s Span) Context() string { return s.context }

// End ends the span; a failure is told by its reason.
func (s Span) End(failure string) {
	if s.span == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}
