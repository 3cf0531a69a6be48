package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	gtrace "github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/lilackeel/lilackeel/fault"
)

// instrumentationScope is the OpenTelemetry instrumentation scope of the spans.
const instrumentationScope = "github.com/lilackeel/lilackeel"

// spanFileMode is the mode with which ExporterFile creates its file.
const spanFileMode = 0o640

// propagator handles the W3C traceparent and tracestate headers.
var propagator = propagation.TraceContext{}

// activeTracer is the tracer in use; nil while tracing is off.
var activeTracer atomic.Pointer[trace.Tracer]

// StartTracing starts recording spans for the whole process as configured by cfg.
// The returned function exports the buffered spans and stops recording.
func StartTracing(ctx context.Context, cfg Config) (shutdown func(context.Context) error, err error) {
	exporter, closer, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Daemon),
			attribute.String("host.name", cfg.Host),
		)),
	)
	otel.SetTextMapPropagator(propagator)
	tracer := provider.Tracer(instrumentationScope)
	activeTracer.Store(&tracer)
	return func(ctx context.Context) error {
		activeTracer.CompareAndSwap(&tracer, nil)
		return gtrace.Wrap(errors.Join(provider.Shutdown(ctx), closer.Close()))
	}, nil
}

// newExporter returns the exporter that cfg selects and a closer to call after its
// shutdown. The exporter is nil if tracing is off.
func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, io.Closer, error) {
	none := io.NopCloser(nil)
	switch cfg.TraceExporter {
	case "", ExporterOff:
		return nil, none, nil
	case ExporterStdout:
		exporter, err := stdouttrace.New()
		return exporter, none, gtrace.Wrap(err)
	case ExporterFile:
		file, err := os.OpenFile(cfg.TraceEndpoint, os.O_CREATE|os.O_APPEND|os.O_WRONLY, spanFileMode)
		if err != nil {
			return nil, nil, fault.New(fault.Invalid, "the file of -trace-endpoint cannot be opened",
				"name a file in a directory that the daemon may write to").WithCause(err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file, gtrace.Wrap(err)
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collectorURL(cfg.TraceEndpoint)))
		return exporter, none, gtrace.Wrap(err)
	}
	return nil, nil, fault.Newf(fault.Invalid, "use off, stdout, file or otlp",
		"unknown trace exporter %q", cfg.TraceExporter)
}

// defaultCollectorPath is the path at which OTLP/HTTP collectors accept spans.
const defaultCollectorPath = "/v1/traces"

// collectorURL adds defaultCollectorPath to a collector URL that has no path.
func collectorURL(endpoint string) string {
	parsed, err := url.Parse(endpoint)
	if err != nil || strings.Trim(parsed.Path, "/") != "" {
		return endpoint
	}
	parsed.Path = defaultCollectorPath
	return parsed.String()
}

// StartSpan starts a child span of the one in ctx. The caller must end it, normally
// with EndSpan. While tracing is off, it returns ctx unchanged and a no-op span.
func StartSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	tracer := activeTracer.Load()
	if tracer == nil {
		return ctx, noopSpan
	}
	return (*tracer).Start(ctx, name, trace.WithAttributes(slices.Clone(attrs)...))
}

// noopSpan is the span that StartSpan returns while tracing is off.
var noopSpan = trace.SpanFromContext(context.Background())

// EndSpan ends a span. A non-nil error marks it as failed, with the kind of the
// error; the message is omitted because it may quote a caller's data.
func EndSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		kind := string(fault.KindOf(err))
		span.SetAttributes(attribute.String("fault.kind", kind))
		span.SetStatus(codes.Error, kind)
	}
	span.End()
}

// Extract returns ctx with the trace context of the HTTP headers, if there is one.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace context of ctx to the HTTP headers.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
