// Package tracing exports spans of work that several controllers take part in to a collector,
// using OTLP over gRPC. Until Setup is called, spans are not recorded and cost very little.
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

// Limits of the exporter, which bound what is kept for a collector that does not answer.
const (
	exportTimeout  = 2 * time.Second
	exportInterval = time.Second
	maxQueuedSpans = 512
)

// traceParentKey is the carrier key of W3C Trace Context that holds the span's context.
const traceParentKey = "traceparent"

// Setup starts the export of this node's spans to the collector at endpoint, and returns the
// function that stops it. Spans that the collector does not accept in time are dropped.
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

// Span is one step of work that may have started on another controller.
type Span struct {
	span    trace.Span
	context string
}

// Start starts a span. The parent is the Context of a span of any controller, or "".
func Start(parent, name string, attributes ...attribute.KeyValue) Span {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceParentKey: parent})
	ctx, span := otel.Tracer("woadweir").Start(ctx, name, trace.WithAttributes(attributes...))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span, carrier[traceParentKey]}
}

// Context returns the trace context that identifies the span to other controllers, or "" if
// the span is not recorded.
func (s Span) Context() string { return s.context }

// End ends the span. If failure is not "", the span gets an error status with that reason.
func (s Span) End(failure string) {
	if s.span == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}
